"""What the decisions serve at deployments of two kinds, against a policy with the true state: the parts of quotas.

`python -m benchmarks.deployments [--short]`. The last line is one JSON object. Each day is drawn from a seed and played
twice on the same arrivals: by gatekeepers that reckon the whole store from the meter, and by their parts alone, with no
meter, both against one store for each customer that sees all tries. The kinds are the project's own: the first with a
quick meter, small customers and marked repeats; the second with a slow meter, tries of up to four units, unmarked
repeats and few places at once. Workers, load reports, cold workers and drains are not in it yet.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from dataclasses import replace

from benchmarks.planners import spread
from micagate import interface as i
from rig.customers import Day, play, total, wide

SLOW_METER = Day(
    gateways=2, customers=90, seconds=40.0, skew=0.45, moves=14.0, patient=0.65, elsewhere=0.5, late=0.7, period=2.0,
    units=4, marked=False, wait=0.12, plans=(
        i.Plan("small", rate=1.6, burst=8.0, beyond_earns=0.1),
        i.Plan("middle", rate=5.3, burst=22.0, at_once=2.0, excess_cost=1.2),
        i.Plan("large", rate=21.0, burst=42.0, excess_cost=0.6)))
KINDS = {"first": replace(wide(3), seconds=40.0), "second": SLOW_METER}
SURE = {"first": 0.93, "second": 0.93}  # what each must serve, and never less than parts alone by more than noise
NOISE = 0.02


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
        print(f"{kind:7} parts alone: served {spread([w for w, _ in parts])}, over {spread([o for _, o in parts])}; "
              f"gain {spread(gains)}, {time.monotonic() - began:.0f} s", flush=True)
        served = statistics.median(w for w, _ in whole)
        figures[f"served_{kind}"] = round(served, 4)
        figures[f"served_{kind}_spread"] = spread([w for w, _ in whole])
        figures[f"over_{kind}"] = round(statistics.median(o for _, o in whole), 4)
        figures[f"parts_{kind}"] = round(statistics.median(w for w, _ in parts), 4)
        figures[f"parts_over_{kind}"] = round(statistics.median(o for _, o in parts), 4)
        figures[f"gain_{kind}"] = round(statistics.median(gains), 4)
        ok = ok and served >= SURE[kind] and statistics.median(gains) >= -NOISE
    print(json.dumps({**figures, "seconds": round(time.monotonic() - began, 1), "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
