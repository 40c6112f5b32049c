"""Counting on a shared counter: what a fleet asks of one that bears little, and ceilings while it fails.

`python -m benchmarks.counting [--short]`; the last line is one JSON object. Simulated, seeded, no sockets.
"""

from __future__ import annotations

import argparse
import json
import sys
import time

from rig.schedules import HELD, ceiling, crowd

TRIES = 400.0  # a second, over forty gateways
SHARES = (0.1, 0.2, 0.5, 1.0, 2.0)  # calls that the counter bears for each try
ANSWERED = 0.9


def main() -> int:
    """Run; 0 where the bounds hold that are judged here."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="fewer schedules, within 45 s")
    short = parser.parse_args().short
    shares, settles = {}, 0.0
    for share in SHARES:
        runs = [crowd(share * TRIES, TRIES, seed=seed) for seed in range(2 if short else 5)]
        least = min(run.answered / max(1, run.asked) for run in runs)
        shares[share], settles = least, max([settles, *(run.settles for run in runs)])
        print(
            f"a call for {share:g} of the tries: {least:.3f} answered in time at the least, "
            f"{sum(run.asked for run in runs) / len(runs) / 10 / TRIES:.3f} calls a try"
        )
    began, schedules, worst, broken = time.monotonic(), 0, 0.0, 0
    unguarded = 0
    for seed in range(40 if short else 400):
        for gateways in (4, 7, 30):
            schedules += 1
            below = ceiling(seed, gateways)
            worst, broken = max(worst, below), broken + (below > HELD.ceiling_slack)
            if seed < 10:
                unguarded += ceiling(seed, gateways, before=False) > HELD.ceiling_slack
    print(f"{schedules} schedules in {time.monotonic() - began:.1f} s; counting after spending broke {unguarded} of 30")
    minute = HELD.ceiling_capacity + 60 * HELD.ceiling_rate
    figures = {
        "answered_share": round(min(shares.values()), 3),
        "settles_s": settles,
        "schedules": schedules,
        "bound_broken": broken,
        "worst_excess": round(worst / minute, 4),
        "bound": round(HELD.ceiling_slack / minute, 4),
        "unguarded_broken": unguarded,
    }
    ok = min(shares.values()) >= ANSWERED and not broken and unguarded > 0
    print(json.dumps({**figures, "ok": ok}))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
