"""What it is worth that planners learn what workers can do: uneven, small and slowing workers, paired, with seeds.

`python -m benchmarks.planner_workers [--short]`. First in simulated time, 20 forwarders and one planner before 8
workers; then real processes on loopback, two installations side by side. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import uvloop

from benchmarks.planners import settled, spread
from micagate import interface
from micagate.planning.terms import Terms
from rig.capacity import Capacity
from rig.cluster import Cluster
from rig.installation import Installation
from rig.traffic import Customer, Traffic

FORWARDERS, WORK = 20, 0.02  # seconds of a core that a request takes in the rig
FLEETS = {
    "even": [Capacity(cores=4, queue=64, thrash=0.05)] * 8,
    "small and large": [Capacity(cores=n, queue=16 * n, thrash=0.05) for n in (1, 1, 2, 2, 4, 4, 8, 8)],
    "slow and fast": [Capacity(cores=4, queue=64, speed=s, thrash=0.05) for s in (0.25, 0.25, 0.5, 0.5, 1, 1, 2, 2)],
}
SETTINGS = interface.Settings(
    (interface.RequestClass("fetch", aim=0.4, deadline=1.0),),
    (interface.Plan("free"),),
    gateways=FORWARDERS,
    zone="a",
    max_attempts=3,
    can_cancel=True,
)


@dataclass(frozen=True, slots=True)
class Case:
    """A fleet, the share of what it can do that is asked, and whether two workers slow to a quarter for a while."""

    fleet: str
    load: float
    slowing: bool

    @property
    def name(self) -> str:
        """As it is shown."""
        return f"{self.fleet}, {self.load:.0%}{', two slow down' if self.slowing else ''}"


SHORT_CASES = [
    Case("even", 0.7, False),
    Case("small and large", 0.7, False),
    Case("slow and fast", 0.7, False),
    Case("slow and fast", 0.9, False),
    Case("even", 0.7, True),
]
LONG_CASES = [Case(fleet, load, slowing) for fleet in FLEETS for load in (0.5, 0.7, 0.9) for slowing in (False, True)]


def simulate(case: Case, seed: int, paces: bool, seconds: float) -> float:
    """The share of requests that is served in its aim, from the fifth second on."""
    models = FLEETS[case.fleet]
    rate = case.load * sum(model.cores * model.speed for model in models) / WORK
    made = Cluster(
        seed,
        [rate / FORWARDERS] * FORWARDERS,
        {f"w{n}": model for n, model in enumerate(models)},
        SETTINGS,
        planner=True,
        paces=paces,
    )

    def slow(by: float) -> None:
        for n in (5, 7):
            model = models[n]
            made.become(f"w{n}", Capacity(model.cores, model.queue, model.speed * by, thrash=model.thrash))

    if case.slowing:
        made.clock.at(4.0 + seconds / 4, slow, 0.25)
        made.clock.at(4.0 + seconds * 5 / 8, slow, 1.0)
    return made.served(4.0, 4.0 + seconds)


@dataclass(slots=True)
class Run:
    """What one installation showed."""

    ends: Counter[str]
    wait: float  # seconds to the answer that 99 of 100 of those served were under

    @property
    def share(self) -> float:
        """The share of requests that was served in its aim."""
        return self.ends["served"] / self.ends.total()


async def play(seed: int, forwarders: int, paces: bool, seconds: float, load: float) -> Run:
    """One installation of slow and fast workers, with the planners that learn of them or without."""
    models = FLEETS["slow and fast"]
    service = 0.05
    rate = load * sum(model.cores * model.speed for model in models) / service
    plans = [{"Name": "big", "Refill": 5000, "MostAtOnce": 5000}]
    async with Installation(
        forwarders,
        2,
        capacities=models,
        service=service,
        plans=plans,
        seed=seed,
        terms=Terms(),
        paces=paces,
        session=2.0,
    ) as fleet:
        await settled(fleet)

        def traffic(seed: int) -> Traffic:
            asked = [
                Customer(
                    f"{n + 1:016x}",
                    "big",
                    lambda at: rate / forwarders,
                    lambda at, n=n: n,  # type: ignore
                    top=rate / forwarders,
                )
                for n in range(forwarders)
            ]
            return Traffic(fleet.ports, asked, fleet.plans, seed, timeout=1.5, aim=0.4)

        await traffic(seed).run(4.0)
        report = await traffic(seed + 1000).run(seconds)
        waits = sorted(report.waits)
        return Run(report.ends, waits[int(0.99 * len(waits))] if waits else 0.0)


async def compare(seed: int, forwarders: int, seconds: float, load: float) -> tuple[Run, Run]:
    """With and without, side by side on the same traffic."""
    with_, without = await asyncio.gather(
        play(seed, forwarders, True, seconds, load), play(seed, forwarders, False, seconds, load)
    )
    return with_, without


def rounded(values: Iterable[float]) -> list[float]:
    """For the JSON line."""
    return [round(value, 4) for value in values]


def main() -> int:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--short", action="store_true", help="within 45 s")
    short = words.parse_args().short
    cases, seeds = (SHORT_CASES, (1, 2)) if short else (LONG_CASES, tuple(range(1, 7)))
    seconds = 8.0 if short else 16.0
    simulated: dict[str, dict[str, list[float]]] = {}
    with ProcessPoolExecutor() as pool:
        jobs = {
            (case, seed, paces): pool.submit(simulate, case, seed, paces, seconds)
            for case in cases
            for seed in seeds
            for paces in (True, False)
        }
        for case in cases:
            with_, without = ([jobs[case, seed, paces].result() for seed in seeds] for paces in (True, False))
            gains = [a / b for a, b in zip(with_, without, strict=True)]
            simulated[case.name] = {"with": spread(with_), "without": spread(without), "ratio": spread(gains)}
            print(f"simulated {case.name}: {json.dumps(simulated[case.name])}", flush=True)
    runs = []
    for seed in seeds[: 1 if short else 3]:
        runs.append(uvloop.run(compare(seed, 6 if short else FORWARDERS, 8.0 if short else 30.0, 0.7)))
        print(f"real, seed {seed}: with {runs[-1][0].share:.4f}, without {runs[-1][1].share:.4f}", flush=True)
    ratios = [with_.share / without.share for with_, without in runs]
    uneven = [
        line["ratio"][1]
        for name, line in simulated.items()
        if not name.startswith("even") and "70%" in name and "slow down" not in name
    ]
    calm = [line["ratio"][1] for name, line in simulated.items() if name.startswith("even") and "slow down" not in name]
    figures = {
        "seeds": list(seeds),
        "simulated": simulated,
        "forwarders": 6 if short else FORWARDERS,
        "real_with": rounded(with_.share for with_, _ in runs),
        "real_without": rounded(without.share for _, without in runs),
        "real_ratio": spread(ratios),
        "real_p99_s": {
            "with": rounded(with_.wait for with_, _ in runs),
            "without": rounded(without.wait for _, without in runs),
        },
        "ok": bool(min(uneven) > 1.0 and min(calm) > 0.97 and statistics.median(ratios) > 0.97),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
