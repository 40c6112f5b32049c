"""Plan time and bytes of one planner as forwarders, workers and customers grow, in memory with no sockets.

Every forwarder has a real `Holder`, the planner a real `Ledger`, and messages are encoded as on the wire.
"""

from __future__ import annotations

import json
import sys
import time
from random import Random

from micagate.planning.holder import Demand, Holder
from micagate.planning.ledger import Ledger
from micagate.planning.messages import RestartSession
from micagate.planning.terms import Terms
from micagate.resource_keys import customer_key, worker_key
from oliveloft.planners import wire

SPREAD = 4  # forwarders that see a customer
CHANGED = 0.02  # of the customers whose traffic moves in each round


def measure(forwarders: int, workers: int, customers: int, rounds: int = 5, seed: int = 1) -> dict[str, float]:
    """The figures of one planner that plans everything; a round is one interval (0.2 s)."""
    terms, random = Terms(shards=1), Random(seed)
    ledger = Ledger(terms, 0, 1, forwarders, 0.0)
    holders = [Holder(terms, n, forwarders, -1e6, first_session=n * 1000 + 1) for n in range(forwarders)]
    names = [f"f{n}" for n in range(forwarders)]
    number = {name: n for n, name in enumerate(names)}
    sizes = {"up": 0, "down": 0}
    spent = 0.0
    firsts = [random.randrange(forwarders) for _ in range(customers)]
    at = [random.randrange(SPREAD) for _ in range(customers)]  # the forwarder of its set that a customer uses
    now = 0.0
    for holder in holders:
        holder.planner_elected(now, "p", 0, 1)

    def need(customer: int, place: int, amount: float) -> None:
        index = (firsts[customer] + place) % forwarders
        holders[index].demand(now, [Demand(customer_key("plan", f"{customer:016x}"), firsts[customer], SPREAD, amount)])

    def exchange() -> None:
        """One round: reports up, words down, and the answers to those, until nothing is due."""
        nonlocal now, spent
        for _ in range(4):
            now += terms.interval / 4
            for index, holder in enumerate(holders):
                for _, report in holder.reports(now):
                    sizes["up"] += len(wire.encode(report))
                    began = time.perf_counter()
                    answer = ledger.report(now, names[index], index, report)
                    spent += time.perf_counter() - began
                    if isinstance(answer, RestartSession):
                        raise RuntimeError("a session broke")
            began = time.perf_counter()
            words = ledger.pending_updates(now)
            spent += time.perf_counter() - began
            for name, word in words:
                sizes["down"] += len(wire.encode(word))
                holders[number[name]].receive_update(now, "p", word)

    for customer in range(customers):
        need(customer, at[customer], random.uniform(0.1, 0.9))
    for n in range(workers):
        for holder in holders:
            holder.demand(now, [Demand(worker_key(f"w{n}"), 0, forwarders, 0.02)])
    exchange()
    first = spent
    sizes.update(up=0, down=0)
    spent = 0.0
    for _ in range(rounds):
        for customer in random.sample(range(customers), int(CHANGED * customers)):
            need(customer, at[customer], 0.0)
            at[customer] = (at[customer] + 1) % SPREAD
            need(customer, at[customer], random.uniform(0.1, 0.9))
        exchange()
    seconds = rounds * terms.interval
    return {
        "forwarders": forwarders,
        "workers": workers,
        "customers": customers,
        "first_plan_s": round(first, 3),
        "plan_ms_per_round": round(1000 * spent / rounds, 2),
        "cores": round(spent / seconds, 3),
        "bytes_per_forwarder_s": round((sizes["up"] + sizes["down"]) / seconds / forwarders, 1),
    }


def main() -> int:
    """Print a line for each size."""
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
