"""Measures planning time and message bytes of one planner by the number of forwarders, workers and customers.

Run as `python -m benchmarks.planning_scale`; it prints one JSON object per size. No sockets are used: every forwarder
is a real `Holder`, the planner is a real `Ledger`, and messages are encoded as on the wire.
"""

from __future__ import annotations

import json
import sys
import time
from random import Random

from micagate.planning.holder import Holder, ResourceNeed
from micagate.planning.ledger import Ledger
from micagate.planning.messages import RestartSession
from micagate.planning.terms import Terms
from micagate.resource_keys import customer_key, worker_key
from oliveloft.planners import wire

FORWARDERS_PER_CUSTOMER = 4  # forwarders that receive a customer's requests
MOVED_SHARE = 0.02  # share of the customers whose traffic moves in each round


def measure(forwarders: int, workers: int, customers: int, rounds: int = 5, seed: int = 1) -> dict[str, float]:
    """Return the figures of one planner that owns every shard; a round is one planning interval (0.2 s)."""
    terms, random = Terms(shards=1), Random(seed)
    ledger = Ledger(terms, 0, 1, forwarders, 0.0)
    holders = [Holder(terms, n, forwarders, -1e6, first_session=n * 1000 + 1) for n in range(forwarders)]
    names = [f"f{n}" for n in range(forwarders)]
    index_by_name = {name: n for n, name in enumerate(names)}
    message_bytes = {"up": 0, "down": 0}
    planner_seconds = 0.0
    first_forwarders = [random.randrange(forwarders) for _ in range(customers)]
    # The index, in a customer's set of forwarders, of the one that the customer uses.
    offsets = [random.randrange(FORWARDERS_PER_CUSTOMER) for _ in range(customers)]
    now = 0.0
    for holder in holders:
        holder.planner_elected(now, "p", 0, 1)

    def report_demand(customer: int, offset: int, amount: float) -> None:
        index = (first_forwarders[customer] + offset) % forwarders
        holders[index].update_needs(
            now,
            [
                ResourceNeed(
                    customer_key("plan", f"{customer:016x}"),
                    first_forwarders[customer],
                    FORWARDERS_PER_CUSTOMER,
                    amount,
                )
            ],
        )

    def exchange() -> None:
        """Run one round in four steps: demand reports to the planner, share updates and acknowledgements back."""
        nonlocal now, planner_seconds
        for _ in range(4):
            now += terms.interval / 4
            for index, holder in enumerate(holders):
                for _, report in holder.reports(now):
                    message_bytes["up"] += len(wire.encode(report))
                    started = time.perf_counter()
                    reply = ledger.report(now, names[index], index, report)
                    planner_seconds += time.perf_counter() - started
                    if isinstance(reply, RestartSession):
                        raise RuntimeError("the planner restarted a session")
            started = time.perf_counter()
            updates = ledger.pending_updates(now)
            planner_seconds += time.perf_counter() - started
            for name, update in updates:
                message_bytes["down"] += len(wire.encode(update))
                holders[index_by_name[name]].receive_update(now, "p", update)

    for customer in range(customers):
        report_demand(customer, offsets[customer], random.uniform(0.1, 0.9))
    for n in range(workers):
        for holder in holders:
            holder.update_needs(now, [ResourceNeed(worker_key(f"w{n}"), 0, forwarders, 0.02)])
    exchange()
    first_plan_seconds = planner_seconds
    message_bytes.update(up=0, down=0)
    planner_seconds = 0.0
    for _ in range(rounds):
        for customer in random.sample(range(customers), int(MOVED_SHARE * customers)):
            report_demand(customer, offsets[customer], 0.0)
            offsets[customer] = (offsets[customer] + 1) % FORWARDERS_PER_CUSTOMER
            report_demand(customer, offsets[customer], random.uniform(0.1, 0.9))
        exchange()
    seconds = rounds * terms.interval
    return {
        "forwarders": forwarders,
        "workers": workers,
        "customers": customers,
        "first_plan_s": round(first_plan_seconds, 3),
        "plan_ms_per_round": round(1000 * planner_seconds / rounds, 2),
        "cores": round(planner_seconds / seconds, 3),
        "bytes_per_forwarder_s": round((message_bytes["up"] + message_bytes["down"]) / seconds / forwarders, 1),
    }


def main() -> int:
    """Print one JSON line for each size."""
    for forwarders, workers, customers in (
        (20, 20, 2_000),
        (100, 50, 10_000),
        (100, 50, 30_000),
        (500, 200, 30_000),
        (500, 200, 100_000),
    ):
        print(json.dumps(measure(forwarders, workers, customers, rounds=3)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
