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


async def gather(config: FleetConfig) -> States:
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
    whole = {state["digest"] for state in states.values() if "error" not in state}
    for name, state in states.items():
        if "error" in state:
            said = sorted(
                {
                    f"{seen['status']} ({seen['cause']})" if seen.get("cause") else str(seen["status"])
                    for other in states.values()
                    if (seen := other.get("members", {}).get(name))
                }
            )
            lines.append(
                f"{name:12} {'-':9} {'-':>8} {'-':>5} {'-':24}  {state['error']}; others: "
                + (", ".join(said) or "nothing")
            )
            continue
        memory = state["memory"]
        kept = f"{memory['records']} records" if memory["believed"] else f"none: {memory['why']}"
        what = [f"waits for {state['waits_for']}"] if state["waits_for"] else []
        what += [f"{how} link to {peer}" for peer, how in state["cut"].items()]
        what += [f"slow link to {peer}" for peer in state["slow"]]
        what += [f"ended {state['ended']}, disk {state['disk']}"] if state["up_s"] < 60 else []
        what += ["another process has this name and began later"] if state["twin"] else []
        seen = sum(other["status"] in ("alive", "suspect") for other in state["members"].values())
        lines.append(f"{name:12} {state['stage']:9} {state['up_s']:8.1f} {seen:5d} {kept[:24]:24}  {'; '.join(what)}")
    lines.append(
        "all see the same" if len(whole) == 1 else f"{len(whole)} different views: news is on its way, or a cut"
    )
    bans = {worker: ban for state in states.values() for worker, ban in state.get("bans", {}).items()}
    for worker, ban in sorted(bans.items()):
        if ban["out"]:
            lines.append(f"worker {worker}: out for maintenance, said at {ban['by']}")
    return "\n".join(lines)


def main(path: str, as_json: bool) -> int:
    """Print the state of all members; return 0 if each serves, 1 if not, 2 for an invalid configuration."""
    try:
        config = load(path)
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
    states = asyncio.run(gather(config))
    print(json.dumps(states) if as_json else table(states))
    return 0 if all(state.get("open") for state in states.values()) else 1
