"""What the decisions serve at deployments of two kinds, against what is possible: quotas, and a pressed fleet.

`python -m benchmarks.deployments [--short]`. The last line is one JSON object. Each day is drawn from a seed and played
twice on the same arrivals: by gatekeepers that reckon the whole store from the meter, and by their parts alone, with no
meter, both against one store for each customer that sees all tries. The kinds are the project's own: the first with a
quick meter, small customers and marked repeats; the second with a slow meter, tries of up to four units, unmarked
repeats and few places at once. Then each kind's fleet is pressed, released and slowed down (`rig/overload.py`), by
decisions that know what classes are worth and by the same ones not told, on the same arrivals. Load reports are not in
it: no decision follows them.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from dataclasses import replace

from benchmarks.planners import spread
from micagate import interface
from rig.capacity import Capacity
from rig.customers import Day, play, total, wide
from rig.overload import Kind
from rig.overload import play as press

SLOW_METER = Day(
    gateways=2,
    customers=90,
    seconds=40.0,
    skew=0.45,
    moves=14.0,
    patient=0.65,
    elsewhere=0.5,
    late=0.7,
    period=2.0,
    units=4,
    marked=False,
    wait=0.12,
    plans=(
        interface.Plan("small", rate=1.6, burst=8.0, excess_revenue=0.1),
        interface.Plan("middle", rate=5.3, burst=22.0, concurrency_limit=2.0, excess_cost=1.2),
        interface.Plan("large", rate=21.0, burst=42.0, excess_cost=0.6),
    ),
)
KINDS = {"first": replace(wide(3), seconds=40.0), "second": SLOW_METER}
PRESSED = {
    "first": Kind(
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
        capacity=Capacity(cores=2, queue=24, cold_from=0.24, ramp=9.0, thrash=0.02),
        overload_factor=2.0,
        fall_time=3.0,
    ),
    "second": Kind(
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
        capacity=Capacity(cores=2, queue=24, cold_from=0.21, ramp=12.0, thrash=0.02),
        overload_factor=2.5,
        fall_time=1.5,
    ),
}
SURE = {"first": 0.93, "second": 0.93}  # what each must serve, and never less than parts alone by more than noise
NOISE = 0.02
PRESSED_SURE = {"first": 0.85, "second": 0.85}  # of the bound's worth, and no less than with all classes alike
WASTED = 0.03  # share of the attempts begun, at the most


def worth(day: Day, seed: int, meter: bool) -> tuple[float, float]:
    """Served and over, as shares of what one store lets in."""
    told = total([play(replace(day, meter=meter), seed)])
    return told["served"], told["over"]


def main() -> int:
    """Play both kinds; the exit status is 0 where all that is asked of them holds."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.deployments", description=main.__doc__)
    parser.add_argument("--short", action="store_true", help="four days of each kind, within 45 s")
    options = parser.parse_args()
    began, seeds = time.monotonic(), range(4 if options.short else 16)
    figures: dict[str, object] = {}
    ok = True
    for kind, day in KINDS.items():
        whole = [worth(day, seed, True) for seed in seeds]
        parts = [worth(day, seed, False) for seed in seeds]
        gains = [ours[0] - theirs[0] for ours, theirs in zip(whole, parts, strict=True)]
        print(f"{kind:7} whole store: served {spread([w for w, _ in whole])}, over {spread([o for _, o in whole])}")
        print(
            f"{kind:7} parts alone: served {spread([w for w, _ in parts])}, over {spread([o for _, o in parts])}; "
            f"gain {spread(gains)}, {time.monotonic() - began:.0f} s",
            flush=True,
        )
        served = statistics.median(w for w, _ in whole)
        figures[f"served_{kind}"] = round(served, 4)
        figures[f"served_{kind}_spread"] = spread([w for w, _ in whole])
        figures[f"over_{kind}"] = round(statistics.median(o for _, o in whole), 4)
        figures[f"parts_{kind}"] = round(statistics.median(w for w, _ in parts), 4)
        figures[f"parts_over_{kind}"] = round(statistics.median(o for _, o in parts), 4)
        figures[f"gain_{kind}"] = round(statistics.median(gains), 4)
        ok = ok and served >= SURE[kind] and statistics.median(gains) >= -NOISE
    wasted, falls, breaks = [], 0, 0
    for name, fleet in PRESSED.items():
        told = [press(fleet, seed) for seed in seeds]
        alike = [press(fleet, seed, alike=True) for seed in seeds]
        gains = [ours.worth - theirs.worth for ours, theirs in zip(told, alike, strict=True)]
        wasted += [day.wasted for day in told]
        falls += sum(day.cold_falls for day in told)
        breaks += sum(day.drain_breaks for day in told)
        classes = ", ".join(
            f"{klass} {statistics.median(day.by_class[klass] for day in told):.2f}" for klass in told[0].by_class
        )
        print(
            f"{name:7} pressed: worth {spread([day.worth for day in told])} of the bound, all classes alike "
            f"{spread([day.worth for day in alike])}; gain {spread(gains)}; served {classes}, "
            f"{time.monotonic() - began:.0f} s",
            flush=True,
        )
        got = statistics.median(day.worth for day in told)
        figures[f"pressed_{name}"] = round(got, 4)
        figures[f"pressed_{name}_spread"] = spread([day.worth for day in told])
        figures[f"pressed_{name}_gain"] = round(statistics.median(gains), 4)
        ok = ok and got >= PRESSED_SURE[name] and statistics.median(gains) > 0
    figures["wasted_share"], figures["cold_falls"] = round(statistics.median(wasted), 4), falls
    figures["drain_breaks"] = breaks
    ok = ok and statistics.median(wasted) <= WASTED and not falls and not breaks
    print(json.dumps({**figures, "seconds": round(time.monotonic() - began, 1), "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
