"""Measures the benefit of planners that learn the capacity of workers, with uneven, small and slowing workers.

Run as `python -m benchmarks.planner_workers [--short]`; the last line of output is one JSON object. Each case runs with
and without that knowledge on the same seeds: first in simulated time, with 20 forwarders and one planner before 8
workers; then with real processes on loopback, two installations side by side.
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

from benchmarks.planners import min_median_max, wait_for_shard_owners
from micagate import interface
from micagate.planning.terms import Terms
from rig.capacity import Capacity
from rig.cluster import Cluster
from rig.installation import Installation
from rig.traffic import Customer, Traffic

FORWARDERS, WORK_CORE_SECONDS = 20, 0.02  # core seconds of a simulated request
FLEETS = {
    "even": [Capacity(cores=4, queue_limit=64, queue_slowdown=0.05)] * 8,
    "small and large": [Capacity(cores=n, queue_limit=16 * n, queue_slowdown=0.05) for n in (1, 1, 2, 2, 4, 4, 8, 8)],
    "slow and fast": [
        Capacity(cores=4, queue_limit=64, speed=s, queue_slowdown=0.05) for s in (0.25, 0.25, 0.5, 0.5, 1, 1, 2, 2)
    ],
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
    """A fleet of workers, the load as a share of its capacity, and whether two workers slow to a quarter meanwhile."""

    fleet: str
    load: float
    slowing: bool

    @property
    def name(self) -> str:
        """The name in the output."""
        return f"{self.fleet}, {self.load:.0%}{', two slow down' if self.slowing else ''}"


SHORT_CASES = [
    Case("even", 0.7, False),
    Case("small and large", 0.7, False),
    Case("slow and fast", 0.7, False),
    Case("slow and fast", 0.9, False),
    Case("even", 0.7, True),
]
LONG_CASES = [Case(fleet, load, slowing) for fleet in FLEETS for load in (0.5, 0.7, 0.9) for slowing in (False, True)]


def simulate(case: Case, seed: int, learn_capacity: bool, seconds: float) -> float:
    """Return the share of requests served within the latency objective, from the fifth second on."""
    capacities = FLEETS[case.fleet]
    rate = case.load * sum(capacity.cores * capacity.speed for capacity in capacities) / WORK_CORE_SECONDS
    cluster = Cluster(
        seed,
        [rate / FORWARDERS] * FORWARDERS,
        {f"w{n}": capacity for n, capacity in enumerate(capacities)},
        SETTINGS,
        planner=True,
        report_capacity=learn_capacity,
    )

    def set_speed(factor: float) -> None:
        for n in (5, 7):
            capacity = capacities[n]
            cluster.set_capacity(
                f"w{n}",
                Capacity(
                    capacity.cores,
                    capacity.queue_limit,
                    capacity.speed * factor,
                    queue_slowdown=capacity.queue_slowdown,
                ),
            )

    if case.slowing:
        cluster.clock.at(4.0 + seconds / 4, set_speed, 0.25)
        cluster.clock.at(4.0 + seconds * 5 / 8, set_speed, 1.0)
    return cluster.served_ratio(4.0, 4.0 + seconds)


@dataclass(slots=True)
class Run:
    """The results of one installation."""

    ends: Counter[str]  # requests by how they ended
    p99_seconds: float  # 99th percentile of the response time of served requests, in seconds

    @property
    def share(self) -> float:
        """The share of requests served within the latency objective."""
        return self.ends["served"] / self.ends.total()


async def run_installation(seed: int, forwarders: int, learn_capacity: bool, seconds: float, load: float) -> Run:
    """Run one installation of slow and fast workers; `learn_capacity`: planners learn the capacity of workers."""
    capacities = FLEETS["slow and fast"]
    service_seconds = 0.05
    rate = load * sum(capacity.cores * capacity.speed for capacity in capacities) / service_seconds
    plans = [{"Name": "big", "Refill": 5000, "MostAtOnce": 5000}]
    async with Installation(
        forwarders,
        2,
        capacities=capacities,
        service_seconds=service_seconds,
        plans=plans,
        seed=seed,
        terms=Terms(),
        paces=learn_capacity,
        session_seconds=2.0,
    ) as installation:
        await wait_for_shard_owners(installation)

        def make_traffic(seed: int) -> Traffic:
            customers = [
                Customer(
                    f"{n + 1:016x}",
                    "big",
                    lambda now: rate / forwarders,
                    lambda now, n=n: n,  # type: ignore
                    peak_rate=rate / forwarders,
                )
                for n in range(forwarders)
            ]
            return Traffic(installation.ports, customers, installation.plans, seed, timeout=1.5, latency_objective=0.4)

        await make_traffic(seed).run(4.0)
        report = await make_traffic(seed + 1000).run(seconds)
        response_times = sorted(report.latencies)
        return Run(report.outcomes, response_times[int(0.99 * len(response_times))] if response_times else 0.0)


async def compare(seed: int, forwarders: int, seconds: float, load: float) -> tuple[Run, Run]:
    """Run an installation with learned worker capacity and one without, side by side on the same traffic."""
    with_, without = await asyncio.gather(
        run_installation(seed, forwarders, True, seconds, load),
        run_installation(seed, forwarders, False, seconds, load),
    )
    return with_, without


def rounded(values: Iterable[float]) -> list[float]:
    """Return the values rounded to four places for the JSON output."""
    return [round(value, 4) for value in values]


def main() -> int:
    """Run the benchmark and print the figures; return 0 if every bound holds, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="run fewer cases and seeds; ends within 45 s")
    short = parser.parse_args().short
    cases, seeds = (SHORT_CASES, (1, 2)) if short else (LONG_CASES, tuple(range(1, 7)))
    seconds = 8.0 if short else 16.0
    simulated: dict[str, dict[str, list[float]]] = {}
    with ProcessPoolExecutor() as pool:
        jobs = {
            (case, seed, learn_capacity): pool.submit(simulate, case, seed, learn_capacity, seconds)
            for case in cases
            for seed in seeds
            for learn_capacity in (True, False)
        }
        for case in cases:
            with_, without = (
                [jobs[case, seed, learn_capacity].result() for seed in seeds] for learn_capacity in (True, False)
            )
            ratios = [measured / baseline for measured, baseline in zip(with_, without, strict=True)]
            simulated[case.name] = {
                "with": min_median_max(with_),
                "without": min_median_max(without),
                "ratio": min_median_max(ratios),
            }
            print(f"simulated {case.name}: {json.dumps(simulated[case.name])}", flush=True)
    runs = []
    for seed in seeds[: 1 if short else 3]:
        runs.append(uvloop.run(compare(seed, 6 if short else FORWARDERS, 8.0 if short else 30.0, 0.7)))
        print(f"real, seed {seed}: with {runs[-1][0].share:.4f}, without {runs[-1][1].share:.4f}", flush=True)
    real_ratios = [with_.share / without.share for with_, without in runs]
    uneven_ratios = [
        figure["ratio"][1]
        for name, figure in simulated.items()
        if not name.startswith("even") and "70%" in name and "slow down" not in name
    ]
    even_ratios = [
        figure["ratio"][1] for name, figure in simulated.items() if name.startswith("even") and "slow down" not in name
    ]
    figures = {
        "seeds": list(seeds),
        "simulated": simulated,
        "forwarders": 6 if short else FORWARDERS,
        "real_with": rounded(with_.share for with_, _ in runs),
        "real_without": rounded(without.share for _, without in runs),
        "real_ratio": min_median_max(real_ratios),
        "real_p99_s": {
            "with": rounded(with_.p99_seconds for with_, _ in runs),
            "without": rounded(without.p99_seconds for _, without in runs),
        },
        "ok": bool(min(uneven_ratios) > 1.0 and min(even_ratios) > 0.97 and statistics.median(real_ratios) > 0.97),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
