"""Implements `python -m oliveloft planners status`: queries each planner and shows which shards it owns."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from oliveloft.config.loading import ConfigError
from oliveloft.planners import wire
from oliveloft.planners.config import PlannersConfig, Tls, load

QUERY_TIMEOUT_SECONDS = 2.0  # for a planner or member to answer


async def query_planner(name: str, config: PlannersConfig) -> dict[str, Any]:
    """Return one planner's state. WireError, OSError or TimeoutError where it cannot be queried."""
    return await query_status("planner", config.planners[name], config.secret, config.tls, config.forwarders)


async def query_status(
    role: str, address: tuple[str, int], secret: bytes, tls: Tls | None, process_count: int
) -> dict[str, Any]:
    """Return the state of the process at an address; `side` is `planner` or `member`.

    Raises WireError, OSError or TimeoutError where it cannot be queried.
    """
    host, port = address
    context = tls.client() if tls else None
    async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(host, port, ssl=context)
        framer = wire.Framer()
        framer.max_frame_bytes = 16 * 1024 * 1024
        nonce, challenge = wire.nonce(), b""
        try:
            while data := await reader.read(65536):
                for message in framer.feed(data):
                    match message:
                        case wire.Challenge(_, peer_nonce):
                            challenge = peer_nonce
                            proof = wire.proof(secret, "peer", peer_nonce, nonce, "status")
                            writer.write(
                                wire.encode(
                                    wire.Hello(wire.VERSION, "status", "status", 0, process_count, nonce, proof)
                                )
                            )
                        case wire.Welcome(planner, proof):
                            if not wire.verify_proof(secret, role, nonce, challenge, planner, proof):
                                raise wire.WireError("the secret is wrong")
                        case wire.Status(state):
                            decoded: dict[str, Any] = json.loads(state)
                            return decoded
                        case wire.Refused(why):
                            raise wire.WireError(f"refused: {why}")
                        case _:
                            raise wire.WireError(f"unexpected {type(message).__name__}")
        finally:
            writer.close()
    raise wire.WireError("the connection was closed")


async def query_planners(config: PlannersConfig) -> dict[str, dict[str, Any]]:
    """Return the state of each planner; one that cannot be queried has an `error`."""

    async def one(name: str) -> dict[str, Any]:
        try:
            return await query_planner(name, config)
        except (OSError, wire.WireError, TimeoutError) as error:
            return {"planner": name, "error": str(error) or "no answer in time"}

    states = await asyncio.gather(*(one(name) for name in config.planners))
    return dict(zip(config.planners, states, strict=True))


def table(states: dict[str, dict[str, Any]], shards: int) -> str:
    """Format the states as a table for operators."""
    lines = [f"{'planner':12} {'shards':>7} {'epochs':>12} {'things':>7} {'up s':>8}  store"]
    covered: set[str] = set()
    forwarders: dict[str, dict[str, Any]] = {}
    for name, state in states.items():
        if "error" in state:
            lines.append(f"{name:12} {'-':>7} {'-':>12} {'-':>7} {'-':>8}  not reached: {state['error']}")
            continue
        owned = state["shards"]
        covered |= owned.keys()
        epochs = [shard["epoch"] for shard in owned.values()]
        epoch_range = f"{min(epochs)} to {max(epochs)}" if epochs else "-"
        resource_count = sum(shard["things"] for shard in owned.values())
        lines.append(
            f"{name:12} {len(owned):7} {epoch_range:>12} {resource_count:7} {state['up_s']:8.0f}  {state['store']}"
        )
        for forwarder, entry in state["forwarders"].items():
            totals = forwarders.setdefault(forwarder, {"planners": 0, "report_s": None, "grants": 0, "granted": 0.0})
            totals["planners"] += entry["number"] is not None
            totals["grants"] += entry["grants"]
            totals["granted"] += entry["granted"]
            ages = [age for age in (totals["report_s"], entry["report_s"]) if age is not None]
            totals["report_s"] = min(ages, default=None)
    lines.append(f"shards with an owner that answers: {len(covered)} of {shards}")
    if forwarders:
        lines.append(f"{'forwarder':12} {'planners':>9} {'last report':>12} {'grants':>7} {'wholes':>8}")
    for forwarder, totals in sorted(forwarders.items()):
        age = "-" if totals["report_s"] is None else f"{totals['report_s']:.2f} s"
        lines.append(f"{forwarder:12} {totals['planners']:9} {age:>12} {totals['grants']:7} {totals['granted']:8.2f}")
    workers = {
        name: worker_status for state in states.values() for name, worker_status in state.get("workers", {}).items()
    }
    if workers:
        lines.append(
            f"{'worker':16} {'can do /s':>9} {'answers /s':>10} {'out':>7} {'slow':>6} {'refused':>8} "
            f"{'missed':>7} {'failed':>7}"
        )
    for name, row in sorted(workers.items()):
        capacity = f"{row['pace']:.1f}" if row["pace"] else "-"
        lines.append(
            f"{name:16} {capacity:>9} {row['answers']:10.1f} {row['out']:7.1f} {row['slow']:6.1f} "
            f"{row['refused']:8.3f} {row['missed']:7.3f} {row['failed']:7.3f}"
        )
    return "\n".join(lines)


def main(file: str, as_json: bool) -> int:
    """Print the state; return 0 if all shards are owned by planners that answer, 1 if not, 2 for an invalid
    configuration."""
    try:
        config = load(file)
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
    states = asyncio.run(query_planners(config))
    if as_json:
        print(json.dumps(states))
    else:
        print(table(states, config.terms.shards))
    owned = {shard for state in states.values() for shard in state.get("shards", {})}
    return 0 if len(owned) == config.terms.shards else 1
