"""What passes beyond quotas on a quiet day costs, beside a policy that sees the true state late.

`python -m benchmarks.quiet_quotas [--short]`; the last line is one JSON object. Simulated, seeded, no sockets, no
counter: parts of quotas and the meter decide alone. Some customers ask several times their quota. The cost is that of
the units sent on beyond the whole quota, as a share of the worth that is offered inside quotas.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import replace
from statistics import mean, stdev

from micagate import interface
from rig.customers import PLANS, Day, play, wide

SEES = 0.25  # seconds by which the policy that is compared with sees the true state late (ours)
MOST = 0.1  # more cost than that policy's
MIX = (("calm", 0.62), ("full", 0.2), ("heavy", 0.1), ("spiky", 0.08))
SIZED = (
    interface.Plan("one", rate=1.7, burst=7.0, excess_cost=0.8),
    interface.Plan("two", rate=3.0, burst=14.0, excess_revenue=0.3),
    interface.Plan("three", rate=12.0, burst=28.0, excess_cost=1.0, price=1.6),
)
CAPPED = (
    interface.Plan("one", rate=12.0, burst=48.0, excess_cost=0.8),
    interface.Plan("two", rate=24.0, burst=110.0, excess_revenue=0.3),
    interface.Plan(
        "three",
        rate=80.0,
        burst=170.0,
        excess_cost=1.0,
        price=1.6,
        ceiling_rate=160.0,
        ceiling_capacity=340.0,
        ceiling_slack=34.0,
    ),
)
KINDS: dict[str, dict[str, object]] = {
    "metered": {"plans": PLANS},
    "sized": {"plans": SIZED, "units": 4, "meter": False, "marked": False},
    "capped": {"plans": CAPPED, "meter": False, "seconds": 6.0},
    "slow_meter": {"plans": SIZED, "units": 4, "period": 2.0, "late": 0.7, "marked": False},
}


def cost(day: Day, seed: int) -> tuple[float, float]:
    """The cost, and what is earned inside quotas, as shares of the worth offered."""
    told = play(day, seed).values()
    worth = max(1.0, sum(kind.worth for kind in told))
    return sum(kind.cost for kind in told) / worth, sum(kind.earned for kind in told) / worth


def main() -> int:
    """Run; 0 where the bound holds everywhere."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="fewer seeds and no 200 gatekeepers, within 45 s")
    short = parser.parse_args().short
    figures: dict[str, float] = {}
    for name, changes in KINDS.items():
        for gateways in (4, 40) if short else (4, 40, 200):
            crowd = min(360, wide(gateways).customers)
            options = {"customers": crowd, "mix": MIX, "seconds": 12.0, **changes}
            day = replace(wide(gateways), **options)  # type: ignore[arg-type]
            seeds = range(2 if short else 5)
            ours, late = ([cost(one, seed) for seed in seeds] for one in (day, replace(day, sees=SEES)))
            more = [a[0] - b[0] for a, b in zip(ours, late, strict=True)]
            figures[f"{name}_{gateways}"] = round(mean(more), 3)
            print(
                f"{name:10} {gateways:4} gatekeepers: cost {mean(a[0] for a in ours):.3f}, seen late "
                f"{mean(b[0] for b in late):.3f}, more {mean(more):+.3f} (deviation {stdev(more):.3f}); "
                f"earned inside {mean(a[1] for a in ours):.3f}, seen late {mean(b[1] for b in late):.3f}",
                flush=True,
            )
    ok = max(figures.values()) <= MOST
    print(json.dumps({**figures, "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
