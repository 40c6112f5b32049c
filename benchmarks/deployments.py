"""Compares what gatekeepers serve in two kinds of deployment to what is possible: quotas, and a fleet under overload.

Run as `python -m benchmarks.deployments [--short]`; the last line of output is one JSON object. Each simulated day is
drawn from a seed and played twice on the same arrivals: by gatekeepers that estimate the level of a customer's whole
token bucket from the usage meter, and by gatekeepers that use their local shares alone, with no meter. Both are
compared to one token bucket per customer that sees every request. The first kind of deployment has a fast meter, small
customers and marked client retries; the second has a slow meter, requests of up to four units, unmarked client retries
and low concurrency limits.

Then the fleet of each kind is overloaded, redeployed and slowed down (`rig/overload.py`), on the same arrivals once
with the importance of classes configured and once with all classes alike. The value served is compared to a bound: the
most valuable work for its cost that the capacity of all workers allows in each span of time. Load reports of workers
are left out, because no decision depends on them.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from dataclasses import replace

from benchmarks.planners import min_median_max
from micagate import interface
from rig.capacity import Capacity
from rig.customers import Scenario, play, scenario_for, total
from rig.overload import Deployment
from rig.overload import play as play_overload

SLOW_METER_DAY = Scenario(
    gateways=2,
    customers=90,
    seconds=40.0,
    skew=0.45,
    weights_change_interval=14.0,
    follows_advice=0.65,
    retry_elsewhere=0.5,
    meter_delay=0.7,
    meter_period=2.0,
    max_units=4,
    mark_retries=False,
    retry_delay=0.12,
    plans=(
        interface.Plan("small", rate=1.6, burst=8.0, excess_revenue=0.1),
        interface.Plan("middle", rate=5.3, burst=22.0, concurrency_limit=2.0, excess_cost=1.2),
        interface.Plan("large", rate=21.0, burst=42.0, excess_cost=0.6),
    ),
)
QUOTA_DAYS = {"first": replace(scenario_for(3), seconds=40.0), "second": SLOW_METER_DAY}
# Deployments of the overload part: classes with their share of requests and units of work, workers and rules.
OVERLOAD_DEPLOYMENTS = {
    "first": Deployment(
        (
            (interface.RequestClass("fetch", aim=1.0, deadline=4.0, importance=3.0), 0.6, 4.0),
            (
                interface.RequestClass("file", aim=1.0, deadline=4.0, effect=interface.SIDE_EFFECT, importance=2.0),
                0.4,
                5.0,
            ),
        ),
        gateways=3,
        workers=10,
        capacity=Capacity(cores=2, queue_limit=24, min_warm_up_factor=0.24, warm_up_seconds=9.0, queue_slowdown=0.02),
        overload_factor=2.0,
        fall_time=3.0,
    ),
    "second": Deployment(
        (
            (interface.RequestClass("read", aim=1.2, deadline=3.0, importance=1.0), 0.61, 5.0),
            (
                interface.RequestClass(
                    "change", aim=0.6, deadline=1.5, effect=interface.TOKEN, group="cell", window=3.0, importance=2.0
                ),
                0.20,
                3.5,
            ),
            (
                interface.RequestClass("pay", aim=1.2, deadline=4.0, effect=interface.SIDE_EFFECT, importance=3.0),
                0.19,
                5.0,
            ),
        ),
        gateways=2,
        workers=10,
        capacity=Capacity(cores=2, queue_limit=24, min_warm_up_factor=0.21, warm_up_seconds=12.0, queue_slowdown=0.02),
        overload_factor=2.5,
        fall_time=1.5,
    ),
}
# Lowest median share served. The median gain over local shares alone may be negative by `GAIN_NOISE` at most.
MIN_SERVED_SHARE = {"first": 0.93, "second": 0.93}
GAIN_NOISE = 0.02
# Lowest median share of the bound's value. It must also exceed the value with all classes alike.
MIN_OVERLOAD_VALUE_SHARE = {"first": 0.85, "second": 0.85}
MAX_WASTED_SHARE = 0.03  # highest median share of the started attempts


def served_and_over(day: Scenario, seed: int, meter: bool) -> tuple[float, float]:
    """Return the units served and those beyond the quota, as shares of what one token bucket admits."""
    shares = total([play(replace(day, meter=meter), seed)])
    return shares["served"], shares["over"]


def main() -> int:
    """Simulate both kinds of deployment; the exit status is 0 if every bound holds."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.deployments", description=main.__doc__)
    parser.add_argument("--short", action="store_true", help="simulate four days of each kind; ends within 45 s")
    options = parser.parse_args()
    started, seeds = time.monotonic(), range(4 if options.short else 16)
    figures: dict[str, object] = {}
    ok = True
    for kind, day in QUOTA_DAYS.items():
        metered = [served_and_over(day, seed, True) for seed in seeds]
        unmetered = [served_and_over(day, seed, False) for seed in seeds]
        gains = [result[0] - baseline[0] for result, baseline in zip(metered, unmetered, strict=True)]
        print(
            f"{kind:7} with meter: served {min_median_max([share for share, _ in metered])}, "
            f"over {min_median_max([excess for _, excess in metered])}"
        )
        print(
            f"{kind:7} local shares alone: served {min_median_max([share for share, _ in unmetered])}, "
            f"over {min_median_max([excess for _, excess in unmetered])}; "
            f"gain {min_median_max(gains)}, {time.monotonic() - started:.0f} s",
            flush=True,
        )
        served = statistics.median(share for share, _ in metered)
        figures[f"served_{kind}"] = round(served, 4)
        figures[f"served_{kind}_spread"] = min_median_max([share for share, _ in metered])
        figures[f"over_{kind}"] = round(statistics.median(excess for _, excess in metered), 4)
        figures[f"parts_{kind}"] = round(statistics.median(share for share, _ in unmetered), 4)
        figures[f"parts_over_{kind}"] = round(statistics.median(excess for _, excess in unmetered), 4)
        figures[f"gain_{kind}"] = round(statistics.median(gains), 4)
        ok = ok and served >= MIN_SERVED_SHARE[kind] and statistics.median(gains) >= -GAIN_NOISE
    wasted, cold_falls, drain_breaks = [], 0, 0
    for name, deployment in OVERLOAD_DEPLOYMENTS.items():
        ranked = [play_overload(deployment, seed) for seed in seeds]
        alike = [play_overload(deployment, seed, equal_importance=True) for seed in seeds]
        gains = [result.worth - baseline.worth for result, baseline in zip(ranked, alike, strict=True)]
        wasted += [day.wasted for day in ranked]
        cold_falls += sum(day.cold_falls for day in ranked)
        drain_breaks += sum(day.drain_breaks for day in ranked)
        classes = ", ".join(
            f"{klass} {statistics.median(day.by_class[klass] for day in ranked):.2f}" for klass in ranked[0].by_class
        )
        print(
            f"{name:7} overload: value {min_median_max([day.worth for day in ranked])} of the bound, all classes alike "
            f"{min_median_max([day.worth for day in alike])}; gain {min_median_max(gains)}; served {classes}, "
            f"{time.monotonic() - started:.0f} s",
            flush=True,
        )
        median_value = statistics.median(day.worth for day in ranked)
        figures[f"pressed_{name}"] = round(median_value, 4)
        figures[f"pressed_{name}_spread"] = min_median_max([day.worth for day in ranked])
        figures[f"pressed_{name}_gain"] = round(statistics.median(gains), 4)
        ok = ok and median_value >= MIN_OVERLOAD_VALUE_SHARE[name] and statistics.median(gains) > 0
    figures["wasted_share"], figures["cold_falls"] = round(statistics.median(wasted), 4), cold_falls
    figures["drain_breaks"] = drain_breaks
    ok = ok and statistics.median(wasted) <= MAX_WASTED_SHARE and not cold_falls and not drain_breaks
    print(json.dumps({**figures, "seconds": round(time.monotonic() - started, 1), "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
