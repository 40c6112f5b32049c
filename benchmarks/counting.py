"""Benchmarks the shared counter: call load from a fleet on a slow counter, and ceilings while the counter fails.

Run as `python -m benchmarks.counting [--short]`; the last line of output is one JSON object. The first part gives the
counter less capacity than the fleet has requests and measures the share of calls answered in time. The second part
replays seeded schedules in which the counter loses calls or its state, and checks that no ceiling is exceeded by more
than its slack. Everything is simulated and seeded; no sockets are used.
"""

from __future__ import annotations

import argparse
import json
import sys
import time

from rig.schedules import CEILING_PLAN, simulate_ceiling_overspend, simulate_counter_overload

REQUESTS_PER_SECOND = 400.0  # per second, over all 40 gateways
CAPACITY_RATIOS = (0.1, 0.2, 0.5, 1.0, 2.0)  # capacity of the counter, in calls for each request
MIN_ANSWERED_SHARE = 0.9  # lowest share of calls that must be answered in time


def main() -> int:
    """Run the benchmark; return 0 if every checked bound holds, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="run fewer schedules; ends within 45 s")
    short = parser.parse_args().short
    answered_shares, settling_seconds = {}, 0.0
    for capacity_ratio in CAPACITY_RATIOS:
        runs = [
            simulate_counter_overload(capacity_ratio * REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, seed=seed)
            for seed in range(2 if short else 5)
        ]
        lowest_share = min(run.answered_in_time / max(1, run.calls) for run in runs)
        answered_shares[capacity_ratio], settling_seconds = (
            lowest_share,
            max([settling_seconds, *(run.settled_after_seconds for run in runs)]),
        )
        print(
            f"counter capacity {capacity_ratio:g} calls per request: at least {lowest_share:.3f} answered in time, "
            f"{sum(run.calls for run in runs) / len(runs) / 10 / REQUESTS_PER_SECOND:.3f} calls per request"
        )
    started, schedules, worst_excess, bounds_broken = time.monotonic(), 0, 0.0, 0
    unguarded_broken = 0
    for seed in range(40 if short else 400):
        for gateways in (4, 7, 30):
            schedules += 1
            excess = simulate_ceiling_overspend(seed, gateways)
            worst_excess, bounds_broken = (
                max(worst_excess, excess),
                bounds_broken + (excess > CEILING_PLAN.ceiling_slack),
            )
            if seed < 10:
                unguarded_broken += (
                    simulate_ceiling_overspend(seed, gateways, count_before_sending=False) > CEILING_PLAN.ceiling_slack
                )
    print(
        f"{schedules} schedules in {time.monotonic() - started:.1f} s; "
        f"counting after sending broke {unguarded_broken} of 30"
    )
    units_per_minute = CEILING_PLAN.ceiling_capacity + 60 * CEILING_PLAN.ceiling_rate
    figures = {
        "answered_share": round(min(answered_shares.values()), 3),
        "settles_s": settling_seconds,
        "schedules": schedules,
        "bound_broken": bounds_broken,
        "worst_excess": round(worst_excess / units_per_minute, 4),
        "bound": round(CEILING_PLAN.ceiling_slack / units_per_minute, 4),
        "unguarded_broken": unguarded_broken,
    }
    ok = min(answered_shares.values()) >= MIN_ANSWERED_SHARE and not bounds_broken and unguarded_broken > 0
    print(json.dumps({**figures, "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
