"""Measures the cost and quality of routing decisions in `micagate` alone, without sockets.

Run as `python -m benchmarks.routing [--short]`; the last line of output is one JSON object. It measures:

- time per request by the number of workers;
- memory of the accounts of a million customers seen once, and the longest single step while accounts are created,
  evicted and created again;
- what gatekeepers that hold local shares of quotas serve, as a share of what one token bucket per customer would admit
  (`rig/customers.py`);
- what a simulated fleet with slow workers serves, compared to a policy that sees every true queue
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

from benchmarks.planners import min_median_max
from micagate import Gateway, interface
from rig.customers import play, scenario_for, total
from rig.memory import resident_bytes
from rig.worker_selection import Scenario, served_ratio

CLASSES = (interface.RequestClass("fetch", aim=0.4, deadline=1.0),)
PLANS = (interface.Plan("capped", rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_capacity=40.0),)
WORKER_COUNTS = (6, 60, 200, 1000)


def microseconds_per_request(workers: int, requests: int) -> float:
    """Return the mean microseconds for handling a request and its outcome with this many workers."""
    gateway = Gateway(interface.Settings(CLASSES, PLANS, max_attempts=2), 1, 0.0)
    gateway.handle(0.0, interface.WorkerList(tuple(interface.WorkerEntry(f"w{n}") for n in range(workers)), whole=True))
    now = 0.0
    spent_seconds = 0.0
    for n in range(requests):
        now += 0.005
        started = time.perf_counter()
        actions = gateway.handle(now, interface.Request(f"r{n}", "fetch", "capped", f"c{n % 100}", 1.0))
        spent_seconds += time.perf_counter() - started
        for action in actions:
            if isinstance(action, interface.Send):
                outcome = interface.Outcome(action.request, 0, action.worker, interface.SUCCESS, True, 0.02)
                started = time.perf_counter()
                gateway.handle(now + 0.004, outcome)
                spent_seconds += time.perf_counter() - started
    return 1e6 * spent_seconds / requests


def measure_accounts(count: int) -> dict[str, float]:
    """Measure memory and the longest step for `count` customers seen once each, at 16,000 per second, then all idle.

    A step is timed in CPU time of the thread, so that other load on the machine does not count.
    """
    gateway = Gateway(interface.Settings(CLASSES, PLANS), 1, -100.0)
    gateway.handle(0.0, interface.WorkerList((interface.WorkerEntry("w"),), whole=True))
    gc.collect()
    gc.freeze()
    gc.disable()  # collector pauses are not measured here: a serving process freezes its startup objects
    resident_before = resident_bytes()
    for n in range(count):
        gateway.quotas.account(n / 16_000, f"{n:016x}", PLANS[0], 1)
    memory_mb = (resident_bytes() - resident_before) / 1e6
    longest_seconds = 0.0
    now = count / 16_000
    for n in range(count // 4):
        now += 1 / 16_000
        started = time.thread_time()
        gateway.quotas.account(now, f"again{n:012x}", PLANS[0], 1)
        longest_seconds = max(longest_seconds, time.thread_time() - started)
    kept_count = len(gateway.quotas.accounts)
    now += 100.0  # all accounts are idle by now
    for _ in range(kept_count):
        started = time.thread_time()
        gateway.quotas.account(now, "late", PLANS[0], 1)
        longest_seconds = max(longest_seconds, time.thread_time() - started)
    gc.enable()
    return {
        "memory_mb": memory_mb,
        "kept": kept_count,
        "left": len(gateway.quotas.accounts),
        "longest_ms": 1e3 * longest_seconds,
    }


def main() -> int:
    """Run the benchmark and print the figures; return 0 if every bound holds, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="run a reduced benchmark; ends within 45 s")
    short = parser.parse_args().short
    rounds, requests = (3, 100) if short else (7, 2000)
    microseconds: dict[int, list[float]] = {worker_count: [] for worker_count in WORKER_COUNTS}
    for _ in range(rounds):
        for worker_count in WORKER_COUNTS:  # interleaved, so that a slow period of the machine affects every size
            microseconds[worker_count].append(microseconds_per_request(worker_count, requests))
    for worker_count, times in microseconds.items():
        print(f"module_us {worker_count} workers: {min_median_max(times)}", flush=True)
    growth = [
        big / small for big, small in zip(microseconds[WORKER_COUNTS[-1]], microseconds[WORKER_COUNTS[0]], strict=True)
    ]
    accounts = measure_accounts(1_000_000)
    print(f"customers: {json.dumps(accounts)}", flush=True)
    quota_shares = {}
    for gateways in (4, 10):
        days = [total([play(scenario_for(gateways), seed)]) for seed in range(1 if short else 12)]
        quota_shares[str(gateways)] = {name: min_median_max([shares[name] for shares in days]) for name in days[0]}
        print(f"local quota shares, {gateways} gatekeepers: {json.dumps(quota_shares[str(gateways)])}", flush=True)
    field = Scenario(seconds=1.0, warm_up=4.0) if short else Scenario(seconds=10.0, warm_up=10.0)
    reference_field = replace(field, warm_up=1.5)  # this policy learns nothing, so it needs less warm-up
    ideal, ratios = [], []
    for seed in range(1 if short else 5):
        ideal.append(served_ratio("sees_all", reference_field, seed))
        ratios.append(served_ratio("module", field, seed) / ideal[-1])
        print(
            f"served by {field.workers} workers, seed {seed}: {ideal[-1]:.4f} when every queue is seen, "
            f"{ratios[-1]:.4f} of that by the gateway",
            flush=True,
        )
    figures = {
        "module_us": {
            str(worker_count): round(statistics.median(times), 1) for worker_count, times in microseconds.items()
        },
        "growth": min_median_max(growth),
        "growth_aim": 1.3,
        "memory_mb_million_accounts": round(accounts["memory_mb"], 1),
        "accounts_kept": accounts["kept"],
        "quota_parts": quota_shares,
        "served_vs_ideal": min_median_max(ratios),
        "served_vs_ideal_aim": 0.97,
        "longest_pause_ms": round(accounts["longest_ms"], 3),
        "ok": bool(
            accounts["memory_mb"] < 60
            and accounts["longest_ms"] < 5
            and accounts["left"] <= 4
            and statistics.median(ratios) >= 0.97
        ),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
