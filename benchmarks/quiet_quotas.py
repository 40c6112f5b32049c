"""Compares the cost of exceeding quotas without overload to that of a policy that sees the true state late.

Run as `python -m benchmarks.quiet_quotas [--short]`; the last line of output is one JSON object. Simulated and seeded,
with no sockets and no shared counter: gatekeepers decide by their local shares of quotas and the usage meter alone.
Some customers request several times their quota. The cost is that of the units sent beyond the whole quota, as a share
of the value that is offered inside quotas.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import replace
from statistics import mean, stdev

from micagate import interface
from rig.customers import PLANS, Scenario, play, scenario_for

REFERENCE_STATE_AGE_SECONDS = 0.25  # age of the true state when the reference policy sees it
MAX_EXTRA_COST = 0.1  # bound on the cost beyond the reference policy's, as a share of the value offered
CUSTOMER_MIX = (("calm", 0.62), ("full", 0.2), ("heavy", 0.1), ("spiky", 0.08))
MULTI_UNIT_PLANS = (
    interface.Plan("one", rate=1.7, burst=7.0, excess_cost=0.8),
    interface.Plan("two", rate=3.0, burst=14.0, excess_revenue=0.3),
    interface.Plan("three", rate=12.0, burst=28.0, excess_cost=1.0, price=1.6),
)
CEILING_PLANS = (
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
# By name of a case: the fields of `Scenario` in which it differs.
CASES: dict[str, dict[str, object]] = {
    "metered": {"plans": PLANS},
    "sized": {"plans": MULTI_UNIT_PLANS, "max_units": 4, "meter": False, "mark_retries": False},
    "capped": {"plans": CEILING_PLANS, "meter": False, "seconds": 6.0},
    "slow_meter": {
        "plans": MULTI_UNIT_PLANS,
        "max_units": 4,
        "meter_period": 2.0,
        "meter_delay": 0.7,
        "mark_retries": False,
    },
}


def cost_and_earnings(day: Scenario, seed: int) -> tuple[float, float]:
    """Return the cost and the value earned inside quotas, both as shares of the value offered."""
    results = play(day, seed).values()
    worth = max(1.0, sum(result.revenue_offered for result in results))
    return sum(result.cost for result in results) / worth, sum(result.revenue_served for result in results) / worth


def main() -> int:
    """Run the benchmark; return 0 if the bound holds in every case, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--short", action="store_true", help="run fewer seeds and skip 200 gatekeepers; ends within 45 s"
    )
    short = parser.parse_args().short
    figures: dict[str, float] = {}
    for name, changes in CASES.items():
        for gateways in (4, 40) if short else (4, 40, 200):
            customers = min(360, scenario_for(gateways).customers)
            options = {"customers": customers, "kind_shares": CUSTOMER_MIX, "seconds": 12.0, **changes}
            day = replace(scenario_for(gateways), **options)  # type: ignore[arg-type]
            seeds = range(2 if short else 5)
            gatekeepers, reference = (
                [cost_and_earnings(variant, seed) for seed in seeds]
                for variant in (day, replace(day, global_view_delay=REFERENCE_STATE_AGE_SECONDS))
            )
            extra = [run[0] - ref[0] for run, ref in zip(gatekeepers, reference, strict=True)]
            figures[f"{name}_{gateways}"] = round(mean(extra), 3)
            print(
                f"{name:10} {gateways:4} gatekeepers: cost {mean(run[0] for run in gatekeepers):.3f}, reference "
                f"{mean(ref[0] for ref in reference):.3f}, difference {mean(extra):+.3f} "
                f"(deviation {stdev(extra):.3f}); "
                f"earned inside quotas {mean(run[1] for run in gatekeepers):.3f}, "
                f"reference {mean(ref[1] for ref in reference):.3f}",
                flush=True,
            )
    ok = max(figures.values()) <= MAX_EXTRA_COST
    print(json.dumps({**figures, "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
