"""What a decision costs as workers and customers grow, and what parts of quotas lose: the module alone.

`python -m benchmarks.routing [--short]`. The last line is one JSON object. Measured so far: time a request by workers,
memory of a million customers seen once, and the longest single step while they come, are let go and come back; of
what one store for each customer would let in, what is served by gatekeepers that hold parts (`rig/customers.py`); and
what is served by a simulated fleet with slow workers, against a choice that sees all true queues
(`rig/worker_selection.py`).
"""

from __future__ import annotations

import argparse
import gc
import json
import statistics
import sys
import time
from dataclasses import replace

from benchmarks.planners import spread
from micagate import Gateway, interface
from rig.customers import play, total, wide
from rig.memory import resident
from rig.worker_selection import Field, served

CLASSES = (interface.RequestClass("fetch", aim=0.4, deadline=1.0),)
PLANS = (interface.Plan("capped", rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_capacity=40.0),)
SIZES = (6, 60, 200, 1000)


def module_us(workers: int, requests: int) -> float:
    """Microseconds of a request and its outcome, with so many workers."""
    gate = Gateway(interface.Settings(CLASSES, PLANS, max_attempts=2), 1, 0.0)
    gate.handle(0.0, interface.WorkerList(tuple(interface.WorkerEntry(f"w{n}") for n in range(workers)), whole=True))
    now = 0.0
    spent = 0.0
    for n in range(requests):
        now += 0.005
        began = time.perf_counter()
        actions = gate.handle(now, interface.Request(f"r{n}", "fetch", "capped", f"c{n % 100}", 1.0))
        spent += time.perf_counter() - began
        for action in actions:
            if isinstance(action, interface.Send):
                outcome = interface.Outcome(action.request, 0, action.worker, interface.SUCCESS, True, 0.02)
                began = time.perf_counter()
                gate.handle(now + 0.004, outcome)
                spent += time.perf_counter() - began
    return 1e6 * spent / requests


def customers(count: int) -> dict[str, float]:
    """A million customers once each, at 16,000 a second, and then all idle: memory and single steps.

    A step's time is the thread's on the processor: what else runs on the machine doesn't count.
    """
    gate = Gateway(interface.Settings(CLASSES, PLANS), 1, -100.0)
    gate.handle(0.0, interface.WorkerList((interface.WorkerEntry("w"),), whole=True))
    gc.collect()
    gc.freeze()
    gc.disable()  # the collector's own pauses are the process's matter: it freezes what it starts with
    begun = resident()
    for n in range(count):
        gate.quotas.account(n / 16_000, f"{n:016x}", PLANS[0], 1)
    memory = (resident() - begun) / 1e6
    longest = 0.0
    now = count / 16_000
    for n in range(count // 4):
        now += 1 / 16_000
        began = time.thread_time()
        gate.quotas.account(now, f"again{n:012x}", PLANS[0], 1)
        longest = max(longest, time.thread_time() - began)
    kept = len(gate.quotas.accounts)
    now += 100.0  # all are idle
    for _ in range(kept):
        began = time.thread_time()
        gate.quotas.account(now, "late", PLANS[0], 1)
        longest = max(longest, time.thread_time() - began)
    gc.enable()
    return {"memory_mb": memory, "kept": kept, "left": len(gate.quotas.accounts), "longest_ms": 1e3 * longest}


def main() -> int:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--short", action="store_true", help="within 45 s")
    short = words.parse_args().short
    rounds, requests = (3, 100) if short else (7, 2000)
    taken: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(rounds):
        for size in SIZES:  # in turn, so that a slow spell of the machine meets all of them
            taken[size].append(module_us(size, requests))
    for size, times in taken.items():
        print(f"module_us {size} workers: {spread(times)}", flush=True)
    growth = [big / small for big, small in zip(taken[SIZES[-1]], taken[SIZES[0]], strict=True)]
    seen = customers(1_000_000)
    print(f"customers: {json.dumps(seen)}", flush=True)
    parts = {}
    for gateways in (4, 10):
        days = [total([play(wide(gateways), seed)]) for seed in range(1 if short else 12)]
        parts[str(gateways)] = {name: spread([told[name] for told in days]) for name in days[0]}
        print(f"parts of quotas, {gateways} gatekeepers: {json.dumps(parts[str(gateways)])}", flush=True)
    field = Field(seconds=1.0, warm_up=4.0) if short else Field(seconds=10.0, warm_up=10.0)
    seen_at_once = replace(field, warm_up=1.5)  # nothing to learn
    ideal, chosen = [], []
    for seed in range(1 if short else 5):
        ideal.append(served("sees_all", seen_at_once, seed))
        chosen.append(served("module", field, seed) / ideal[-1])
        print(
            f"served by {field.workers} workers, seed {seed}: {ideal[-1]:.4f} where all queues are seen, "
            f"{chosen[-1]:.4f} of that here",
            flush=True,
        )
    figures = {
        "module_us": {str(size): round(statistics.median(times), 1) for size, times in taken.items()},
        "growth": spread(growth),
        "growth_aim": 1.3,
        "memory_mb_million_accounts": round(seen["memory_mb"], 1),
        "accounts_kept": seen["kept"],
        "quota_parts": parts,
        "served_vs_ideal": spread(chosen),
        "served_vs_ideal_aim": 0.97,
        "longest_pause_ms": round(seen["longest_ms"], 3),
        "ok": bool(
            seen["memory_mb"] < 60
            and seen["longest_ms"] < 5
            and seen["left"] <= 4
            and statistics.median(chosen) >= 0.97
        ),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
