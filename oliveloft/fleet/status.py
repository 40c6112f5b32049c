"""Implements `python -m oliveloft fleet status`: queries each member and shows its state and its view of the others."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Mapping
from typing import Any

from oliveloft.config.loading import ConfigError
from oliveloft.fleet.config import FleetConfig, load
from oliveloft.planners import wire
from oliveloft.planners.status import query_status

States = dict[str, dict[str, Any]]


async def query_members(config: FleetConfig) -> States:
    """Return the state of each member; one that cannot be queried has an `error`."""

    async def one(name: str) -> dict[str, Any]:
        try:
            return await query_status("member", config.members[name], config.secret, config.tls, len(config.members))
        except ConnectionRefusedError:
            return {"name": name, "error": "nobody listens there"}
        except (OSError, wire.WireError, TimeoutError) as error:
            return {"name": name, "error": str(error) or "no answer in time"}

    states = await asyncio.gather(*(one(name) for name in config.members))
    return dict(zip(config.members, states, strict=True))


def table(states: Mapping[str, dict[str, Any]]) -> str:
    """Format the states as a table for operators."""
    lines = [f"{'member':12} {'stage':9} {'up s':>8} {'sees':>5} {'memory':24}  what"]
    digests = {state["digest"] for state in states.values() if "error" not in state}
    for name, state in states.items():
        if "error" in state:
            reported = sorted(
                {
                    f"{record['status']} ({record['cause']})" if record.get("cause") else str(record["status"])
                    for other in states.values()
                    if (record := other.get("members", {}).get(name))
                }
            )
            lines.append(
                f"{name:12} {'-':9} {'-':>8} {'-':>5} {'-':24}  {state['error']}; others: "
                + (", ".join(reported) or "nothing")
            )
            continue
        memory = state["memory"]
        memory_state = f"{memory['records']} records" if memory["believed"] else f"none: {memory['why']}"
        remarks = [f"waits for {state['waits_for']}"] if state["waits_for"] else []
        remarks += [f"{direction} link to {peer}" for peer, direction in state["cut"].items()]
        remarks += [f"slow link to {peer}" for peer in state["slow"]]
        remarks += [f"ended {state['ended']}, disk {state['disk']}"] if state["up_s"] < 60 else []
        remarks += ["another process has this name and began later"] if state["twin"] else []
        alive = sum(other["status"] in ("alive", "suspect") for other in state["members"].values())
        lines.append(
            f"{name:12} {state['stage']:9} {state['up_s']:8.1f} {alive:5d} {memory_state[:24]:24}  {'; '.join(remarks)}"
        )
    lines.append(
        "all see the same" if len(digests) == 1 else f"{len(digests)} different views: news is on its way, or a cut"
    )
    maintenance_by_worker = {
        worker: maintenance for state in states.values() for worker, maintenance in state.get("bans", {}).items()
    }
    for worker, maintenance in sorted(maintenance_by_worker.items()):
        if maintenance["out"]:
            lines.append(f"worker {worker}: out for maintenance, said at {maintenance['by']}")
    return "\n".join(lines)


def main(path: str, as_json: bool) -> int:
    """Print the state of all members; return 0 if each serves, 1 if not, 2 for an invalid configuration."""
    try:
        config = load(path)
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
    states = asyncio.run(query_members(config))
    print(json.dumps(states) if as_json else table(states))
    return 0 if all(state.get("open") for state in states.values()) else 1
