"""Measures the benefit of planners and the cost of losing them, with real processes on loopback.

Run as `python -m benchmarks.planners [--short]`; the last line of output is one JSON object. For each seed, four
installations run side by side on the same traffic, in which customers move between forwarders: undisturbed, with one
planner killed, with all planners killed, and without planners. The short form has 6 forwarders and 3 planners, the long
one 20 and 3.

Beside them it measures the CPU time per request with and without planners, the cost of planning at several sizes
(`benchmarks/planning_scale.py`), and runs seeded fault schedules in simulated time (`rig/planning.py`) that must never
grant a share twice nor exceed a ceiling.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import time
from collections import Counter
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from benchmarks.planning_scale import measure
from micagate.planning.terms import Terms
from oliveloft.planners.status import query_planners
from rig.capacity import Capacity
from rig.installation import Installation
from rig.limited_worker import max_overspending
from rig.planning import PlanningSimulation
from rig.traffic import Customer, Traffic, TrafficReport

PLANS: list[dict[str, Any]] = [
    {"Name": "solo", "Refill": 6, "MostAtOnce": 12},
    {"Name": "team", "Refill": 15, "MostAtOnce": 30},
    # Admitted beyond the quota up to the ceiling; some customers of this plan request twice their ceiling.
    {
        "Name": "firm",
        "Refill": 10,
        "MostAtOnce": 20,
        "HardRate": 14,
        "CapDepth": 28,
        "CapSlack": 3,
        "BeyondEarns": 1.0,
        "ExcessCost": 0.5,
    },
]
CEILING_SLACK_UNITS = 3 + 14 * 0.15  # units: CapSlack of "firm" plus what its ceiling refills in 150 ms
FORWARDERS_PER_CUSTOMER = 4  # forwarders that a customer's traffic may reach
MOVE_INTERVAL_SECONDS = 4.0  # seconds after which a customer's traffic moves within its set of forwarders
VARIANTS = ("undisturbed", "one_planner_killed", "all_planners_killed", "no_planners")


@dataclass(slots=True)
class Size:
    """The extent of a benchmark run."""

    forwarders: int
    planners: int
    customers: int
    seconds: float
    seeds: tuple[int, ...]
    schedules: int  # fault schedules in simulated time
    scales: tuple[tuple[int, int, int], ...]  # forwarders, workers and customers of each planning scale
    cpu_seconds: float
    cpu_rounds: int


SHORT = Size(6, 3, 24, 9.0, (1, 2), 80, ((20, 20, 2_000), (100, 50, 10_000)), 4.0, 1)
LONG = Size(
    20,
    3,
    60,
    45.0,
    (1, 2, 3, 4),
    2000,
    ((20, 20, 2_000), (100, 50, 10_000), (100, 50, 30_000), (500, 200, 30_000), (500, 200, 100_000)),
    8.0,
    5,
)


def moving_customers(seed: int, size: Size, plans: dict[str, Any]) -> list[Customer]:
    """Return customers that use one forwarder of their set at a time; one in seven requests three times its quota."""
    customers = []
    for n in range(size.customers):
        random = Random(f"{seed} {n}")
        plan = list(plans)[n % len(plans)]
        usage_draw = random.random()
        quota_fraction = (
            random.uniform(0.3, 0.7) if usage_draw < 0.6 else random.uniform(0.8, 1.0) if usage_draw < 0.85 else 3.0
        )
        first, phase = random.randrange(size.forwarders), random.uniform(0, MOVE_INTERVAL_SECONDS)
        offsets = [random.randrange(FORWARDERS_PER_CUSTOMER) for _ in range(200)]
        rate = quota_fraction * plans[plan].rate

        def route(seconds: float, first: int = first, phase: float = phase, offsets: list[int] = offsets) -> int:
            return first + offsets[int((seconds + phase) / MOVE_INTERVAL_SECONDS)]

        def constant_rate(seconds: float, rate: float = rate) -> float:
            return rate

        customers.append(
            Customer(
                f"{n + 1:016x}",
                plan,
                constant_rate,
                route,
                peak_rate=rate,
                spread=FORWARDERS_PER_CUSTOMER,
                first=first,
                klass="write" if n % 4 == 3 else "read",
            )
        )
    return customers


@dataclass(slots=True)
class Run:
    """The results of one installation."""

    report: TrafficReport
    failover_seconds: float = 0.0  # seconds from the kill of one planner until every shard has an owner
    bytes_per_second: float = 0.0  # planner traffic of one forwarder
    excess: float = 0.0  # units beyond a ceiling, of the worst customer; negative if none exceeded it
    duplicate_count: int = 0  # requests with side effects that workers started more than once
    series: list[int] = field(default_factory=list)  # requests served within the latency objective, by second


async def all_shards_owned_by(fleet: Installation, names: set[str]) -> bool:
    """Return whether every shard has an owner among these planners that responds."""
    config = fleet.config()
    statuses = await query_planners(
        replace(config, planners={name: address for name, address in config.planners.items() if name in names})
    )
    return len({shard for status in statuses.values() for shard in status.get("shards", {})}) == config.terms.shards


async def wait_for_shard_owners(fleet: Installation) -> None:
    """Wait until every shard has an owner and every planner owns shards; return without error after 200 polls."""
    for _ in range(200):
        statuses = await query_planners(fleet.config())
        shard_counts = [len(status.get("shards", {})) for status in statuses.values()]
        if sum(shard_counts) == fleet.terms.shards and all(shard_counts):
            return
        await asyncio.sleep(0.05)


async def run_variant(variant: str, seed: int, size: Size, begin: asyncio.Event, ready: asyncio.Semaphore) -> Run:
    """Start one installation, wait for the others, then run the traffic and return the results.

    `variant` is one of `VARIANTS`. `ready` is released when the installation is up; traffic begins when `begin` is set.
    """
    planners = 0 if variant == "no_planners" else size.planners
    async with Installation(
        size.forwarders,
        planners,
        workers=8,
        capacity=Capacity(cores=4, queue_limit=64),
        service_seconds=0.02,
        plans=PLANS,
        seed=seed,
        terms=Terms(),
        session_seconds=2.0,
    ) as fleet:
        if planners:
            await wait_for_shard_owners(fleet)
        fleet.record.records_units = True
        traffic = Traffic(
            fleet.ports,
            moving_customers(seed, size, fleet.plans),
            fleet.plans,
            seed,
            timeout=1.0,
            latency_objective=0.4,
        )
        ready.release()
        await begin.wait()
        load_task = asyncio.create_task(traffic.run(size.seconds))
        failover_seconds = 0.0
        if variant.endswith("killed"):
            await asyncio.sleep(size.seconds / 3)
            names = set(fleet.planner_names)
            victims = {"p1"} if variant.startswith("one") else names
            for name in victims:
                fleet.planners[name].process.kill()
            killed_at = time.monotonic()
            if names - victims:
                while not await all_shards_owned_by(fleet, names - victims):
                    await asyncio.sleep(0.02)
                failover_seconds = time.monotonic() - killed_at
        report = await load_task
        run = Run(report, failover_seconds)
        if variant == "undisturbed":
            statuses = (await query_planners(fleet.config())).values()
            uptime_seconds = min(status["up_s"] for status in statuses)
            run.bytes_per_second = sum(
                entry["bytes"] for status in statuses for entry in status["forwarders"].values()
            ) / (size.forwarders * uptime_seconds)
        run.excess = max(
            (max_overspending(units, 14, 28) for (_, plan), units in fleet.record.units.items() if plan == "firm"),
            default=-28.0,
        )
        run.duplicate_count = sum(fleet.record.start_counts[name] > 1 for name in traffic.unrepeatable_ids)
        run.series = [report.outcomes_by_second.get(second, Counter())["served"] for second in range(int(size.seconds))]
        return run


async def compare(seed: int, size: Size) -> dict[str, Run]:
    """Run the four variants side by side on the same traffic."""
    begin, ready = asyncio.Event(), asyncio.Semaphore(0)
    tasks = {variant: asyncio.create_task(run_variant(variant, seed, size, begin, ready)) for variant in VARIANTS}

    async def all_ready() -> None:
        for _ in VARIANTS:
            await ready.acquire()

    pending: set[asyncio.Task[Any]] = {asyncio.create_task(all_ready()), *tasks.values()}
    await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
    begin.set()
    return dict(zip(VARIANTS, await asyncio.gather(*tasks.values()), strict=True))


def cpu_seconds_used(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def cpu_per_request(seconds: float, seed: int, rate: float = 500.0) -> dict[str, float]:
    """Return CPU microseconds per request of a forwarder with a planner and of a gatekeeper without, side by side."""

    async def measure_one(planners: int) -> float:
        async with Installation(
            1,
            planners,
            workers=4,
            capacity=Capacity(cores=16, queue_limit=256),
            service_seconds=0.001,
            plans=[{"Name": "big", "Refill": 5000, "MostAtOnce": 5000}],
            seed=seed,
            terms=Terms(),
        ) as fleet:
            if planners:
                while not await all_shards_owned_by(fleet, set(fleet.planner_names)):
                    await asyncio.sleep(0.05)
            customers = [
                Customer(f"{n + 1:016x}", "big", lambda now: rate / 50, lambda now: 0, peak_rate=rate / 50)
                for n in range(50)
            ]
            traffic = Traffic(fleet.ports, customers, fleet.plans, seed, timeout=1.0, latency_objective=0.5)
            await traffic.run(1.0, wait_for_in_flight=False)
            pid = fleet.forwarders[0].process.pid
            cpu_before, ended_before = cpu_seconds_used(pid), sum(traffic.report.outcomes.values())
            await traffic.run(seconds)
            return 1e6 * (cpu_seconds_used(pid) - cpu_before) / (sum(traffic.report.outcomes.values()) - ended_before)

    without, with_planner = await asyncio.gather(measure_one(0), measure_one(1))
    return {"without": without, "with": with_planner}


def run_schedule(seed: int) -> tuple[bool, bool]:
    """Return whether the fault schedule of this seed grants a share twice, and whether it exceeds a ceiling."""
    result = PlanningSimulation(seed).run(20.0)
    return result.max_excess > 1e-6, result.max_overspent > 1e-6


def min_median_max(values: list[float]) -> list[float]:
    """Return the minimum, the median and the maximum, rounded to four places."""
    return [round(min(values), 4), round(statistics.median(values), 4), round(max(values), 4)]


def main() -> int:
    """Run the benchmark and print the figures; return 0 if every bound holds, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="use 6 forwarders; ends within 45 s")
    parser.add_argument(
        "--picture", metavar="FILE", help="write a PNG plot of the requests served while planners are killed"
    )
    options = parser.parse_args()
    size = SHORT if options.short else LONG
    with ProcessPoolExecutor(2) as pool:
        # Two processes of their own run the schedules and scales, since installations need undisturbed cores.
        schedule_jobs: list[Future[tuple[bool, bool]]] = [
            pool.submit(run_schedule, seed) for seed in range(size.schedules)
        ]
        scale_jobs = [pool.submit(measure, *scale, 3) for scale in size.scales]
        if not options.short:
            schedule_results = [future.result() for future in schedule_jobs]
            scale_results = [future.result() for future in scale_jobs]
        runs: list[dict[str, Run]] = []
        costs = []
        for seed in size.seeds:
            runs.append(uvloop.run(compare(seed, size)))
            served_shares = {variant: round(run.report.served_value_share, 4) for variant, run in runs[-1].items()}
            print(f"seed {seed}: {json.dumps(served_shares)}", flush=True)
        for number in range(size.cpu_rounds):
            costs.append(uvloop.run(cpu_per_request(size.cpu_seconds, number)))
            print(
                f"cpu: {json.dumps({name: round(microseconds, 1) for name, microseconds in costs[-1].items()})}",
                flush=True,
            )
        if options.short:
            schedule_results = [future.result() for future in schedule_jobs]
            scale_results = [future.result() for future in scale_jobs]
    for scale_result in scale_results:
        print(f"scale: {json.dumps(scale_result)}")
    if options.picture:
        plot_served(runs, options.picture)
    served = {variant: [run[variant].report.served_value_share for run in runs] for variant in VARIANTS}
    kill_ratios = [
        numerator / denominator
        for numerator, denominator in zip(served["one_planner_killed"], served["undisturbed"], strict=True)
    ]
    gains = [
        numerator / denominator
        for numerator, denominator in zip(served["undisturbed"], served["no_planners"], strict=True)
    ]
    excess = max(run.excess for variants in runs for run in variants.values())
    duplicate_count = sum(run.duplicate_count for variants in runs for run in variants.values())
    violations = sum(double or overspent for double, overspent in schedule_results)
    cpu_ratios = [cost["with"] / cost["without"] for cost in costs]
    figures = {
        "forwarders": size.forwarders,
        "planners": size.planners,
        "seconds": size.seconds,
        "seeds": list(size.seeds),
        **{variant: min_median_max(values) for variant, values in served.items()},
        "kill_ratio": min_median_max(kill_ratios),
        "gain": min_median_max(gains),
        "double_grants": violations,
        "schedules": len(schedule_results),
        "filings_twice": duplicate_count,
        "ceiling_excess": round(max(0.0, excess), 2),
        "ceiling_left": round(max(0.0, -excess), 2),
        "ceiling_slack": CEILING_SLACK_UNITS,
        "takeover_s": min_median_max([run["one_planner_killed"].failover_seconds for run in runs]),
        "bytes_per_forwarder_s": round(statistics.median(run["undisturbed"].bytes_per_second for run in runs)),
        "cpu_us_per_request": {
            "without": round(statistics.median(cost["without"] for cost in costs), 1),
            "with": round(statistics.median(cost["with"] for cost in costs), 1),
            "ratio": min_median_max(cpu_ratios),
        },
        "ok": bool(
            violations == 0
            and duplicate_count == 0
            and excess <= CEILING_SLACK_UNITS
            and min(gains) > 1.0
            and statistics.median(kill_ratios) >= (0.9 if options.short else 0.99)
        ),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


def plot_served(runs: list[dict[str, Run]], path: str) -> None:
    """Plot the requests served in each second, averaged over the seeds, while planners are killed."""
    import matplotlib  # not in the requirements; install it with pip

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for variant in VARIANTS:
        rows = [run[variant].series for run in runs]
        axes.plot([statistics.mean(column) for column in zip(*rows, strict=True)], label=variant.replace("_", " "))
    axes.axvline(len(runs[0]["undisturbed"].series) / 3, color="grey", linestyle=":", label="planners are killed")
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests per second served within the latency objective")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    sys.exit(main())
