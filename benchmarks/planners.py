"""What planners are worth and what their loss costs: real processes on loopback, paired, with seeds.

`python -m benchmarks.planners [--short]`. Four installations run side by side on the same traffic, which moves
between forwarders: undisturbed, with one planner killed, with all of them killed, and with none at all. The short
form has 6 forwarders and 3 planners; the long one 20 and 3. The last line is one JSON object.
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
from oliveloft.planners.status import gather
from rig.capacity import Capacity
from rig.installation import Installation
from rig.limited_worker import overspent
from rig.planning import World
from rig.traffic import Customer, Report, Traffic

PLANS: list[dict[str, Any]] = [
    {"Name": "solo", "Refill": 6, "MostAtOnce": 12},
    {"Name": "team", "Refill": 15, "MostAtOnce": 30},
    # Let in beyond its quota up to its ceiling, which some customers of it ask for twice over.
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
SLACK = 3 + 14 * 0.15  # units: the plan's, and what the ceiling's rate gives in 150 ms
SPREAD = 4
EVERY = 4.0  # seconds after which a customer's traffic goes to another forwarder of its set
WAYS = ("undisturbed", "one_planner_killed", "all_planners_killed", "no_planners")


@dataclass(slots=True)
class Size:
    """How much is measured."""

    forwarders: int
    planners: int
    customers: int
    seconds: float
    seeds: tuple[int, ...]
    schedules: int
    scales: tuple[tuple[int, int, int], ...]
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


def moving(seed: int, size: Size, plans: dict[str, Any]) -> list[Customer]:
    """Customers of whom each uses one forwarder of its set at a time; one in seven asks for three times its quota."""
    made = []
    for n in range(size.customers):
        random = Random(f"{seed} {n}")
        plan = list(plans)[n % len(plans)]
        kind = random.random()
        use = random.uniform(0.3, 0.7) if kind < 0.6 else random.uniform(0.8, 1.0) if kind < 0.85 else 3.0
        first, phase = random.randrange(size.forwarders), random.uniform(0, EVERY)
        hops = [random.randrange(SPREAD) for _ in range(200)]
        rate = use * plans[plan].rate

        def route(at: float, first: int = first, phase: float = phase, hops: list[int] = hops) -> int:
            return first + hops[int((at + phase) / EVERY)]

        def steady(at: float, rate: float = rate) -> float:
            return rate

        made.append(
            Customer(
                f"{n + 1:016x}",
                plan,
                steady,
                route,
                top=rate,
                spread=SPREAD,
                first=first,
                klass="write" if n % 4 == 3 else "read",
            )
        )
    return made


@dataclass(slots=True)
class Run:
    """What one installation showed."""

    report: Report
    takeover: float = 0.0
    bytes_a_second: float = 0.0
    excess: float = 0.0
    twice: int = 0
    series: list[int] = field(default_factory=list)


async def owned_by(fleet: Installation, names: set[str]) -> bool:
    """Whether each shard has an owner among these that answers."""
    config = fleet.config()
    states = await gather(replace(config, planners={n: w for n, w in config.planners.items() if n in names}))
    return len({s for state in states.values() for s in state.get("shards", {})}) == config.terms.shards


async def settled(fleet: Installation) -> None:
    """Wait until the planners have dealt out the shards among them."""
    for _ in range(200):
        states = await gather(fleet.config())
        held = [len(state.get("shards", {})) for state in states.values()]
        if sum(held) == fleet.terms.shards and all(held):
            return
        await asyncio.sleep(0.05)


async def play(way: str, seed: int, size: Size, begin: asyncio.Event, ready: asyncio.Semaphore) -> Run:
    """One installation: started, then played together with the others."""
    planners = 0 if way == "no_planners" else size.planners
    async with Installation(
        size.forwarders,
        planners,
        workers=8,
        capacity=Capacity(cores=4, queue=64),
        service=0.02,
        plans=PLANS,
        seed=seed,
        terms=Terms(),
        session=2.0,
    ) as fleet:
        if planners:
            await settled(fleet)
        fleet.record.keep_units = True
        load = Traffic(fleet.ports, moving(seed, size, fleet.plans), fleet.plans, seed, timeout=1.0, aim=0.4)
        ready.release()
        await begin.wait()
        playing = asyncio.create_task(load.run(size.seconds))
        takeover = 0.0
        if way.endswith("killed"):
            await asyncio.sleep(size.seconds / 3)
            names = set(fleet.names)
            victims = {"p1"} if way.startswith("one") else names
            for name in victims:
                fleet.planners[name].process.kill()
            began = time.monotonic()
            if names - victims:
                while not await owned_by(fleet, names - victims):
                    await asyncio.sleep(0.02)
                takeover = time.monotonic() - began
        report = await playing
        run = Run(report, takeover)
        if way == "undisturbed":
            states = (await gather(fleet.config())).values()
            up = min(state["up_s"] for state in states)
            run.bytes_a_second = sum(entry["bytes"] for state in states for entry in state["forwarders"].values()) / (
                size.forwarders * up
            )
        run.excess = max(
            (overspent(units, 14, 28) for (_, plan), units in fleet.record.units.items() if plan == "firm"),
            default=-28.0,
        )
        run.twice = sum(fleet.record.begun[name] > 1 for name in load.filings)
        run.series = [report.series.get(s, Counter())["served"] for s in range(int(size.seconds))]
        return run


async def compare(seed: int, size: Size) -> dict[str, Run]:
    """All four ways side by side on the same traffic."""
    begin, ready = asyncio.Event(), asyncio.Semaphore(0)
    tasks = {way: asyncio.create_task(play(way, seed, size, begin, ready)) for way in WAYS}

    async def all_ready() -> None:
        for _ in WAYS:
            await ready.acquire()

    waiting: set[asyncio.Task[Any]] = {asyncio.create_task(all_ready()), *tasks.values()}
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    begin.set()
    return dict(zip(WAYS, await asyncio.gather(*tasks.values()), strict=True))


def cpu(pid: int) -> float:
    """Seconds of processor that a process has used."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def cost(seconds: float, seed: int, rate: float = 500.0) -> dict[str, float]:
    """Processor microseconds a request of a forwarder with shares and of a plain gatekeeper, side by side."""

    async def one(planners: int) -> float:
        async with Installation(
            1,
            planners,
            workers=4,
            capacity=Capacity(cores=16, queue=256),
            service=0.001,
            plans=[{"Name": "big", "Refill": 5000, "MostAtOnce": 5000}],
            seed=seed,
            terms=Terms(),
        ) as fleet:
            if planners:
                while not await owned_by(fleet, set(fleet.names)):
                    await asyncio.sleep(0.05)
            asked = [
                Customer(f"{n + 1:016x}", "big", lambda at: rate / 50, lambda at: 0, top=rate / 50) for n in range(50)
            ]
            load = Traffic(fleet.ports, asked, fleet.plans, seed, timeout=1.0, aim=0.5)
            await load.run(1.0, settle=False)
            pid = fleet.forwarders[0].process.pid
            before, ended = cpu(pid), sum(load.report.ends.values())
            await load.run(seconds)
            return 1e6 * (cpu(pid) - before) / (sum(load.report.ends.values()) - ended)

    plain, shared = await asyncio.gather(one(0), one(1))
    return {"without": plain, "with": shared}


def schedule(seed: int) -> tuple[bool, bool]:
    """Whether a drawn schedule hands anything out twice, or lets a ceiling be passed."""
    seen = World(seed).run(20.0)
    return seen.excess > 1e-6, seen.overspent > 1e-6


def spread(values: list[float]) -> list[float]:
    """Least, median and greatest."""
    return [round(min(values), 4), round(statistics.median(values), 4), round(max(values), 4)]


def main() -> int:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--short", action="store_true", help="6 forwarders, within 45 s")
    words.add_argument("--picture", metavar="FILE", help="draw served work through the planners' deaths (PNG)")
    given = words.parse_args()
    size = SHORT if given.short else LONG
    with ProcessPoolExecutor(2) as pool:
        # The schedules and the scale take other cores than the installations, which want them quiet.
        drawn: list[Future[tuple[bool, bool]]] = [pool.submit(schedule, seed) for seed in range(size.schedules)]
        scales = [pool.submit(measure, *scale, 3) for scale in size.scales]
        if not given.short:
            found = [future.result() for future in drawn]
            grown = [future.result() for future in scales]
        runs: list[dict[str, Run]] = []
        costs = []
        for seed in size.seeds:
            runs.append(uvloop.run(compare(seed, size)))
            shares = {way: round(run.report.share, 4) for way, run in runs[-1].items()}
            print(f"seed {seed}: {json.dumps(shares)}", flush=True)
        for number in range(size.cpu_rounds):
            costs.append(uvloop.run(cost(size.cpu_seconds, number)))
            print(f"cpu: {json.dumps({k: round(v, 1) for k, v in costs[-1].items()})}", flush=True)
        if given.short:
            found = [future.result() for future in drawn]
            grown = [future.result() for future in scales]
    for line in grown:
        print(f"scale: {json.dumps(line)}")
    if given.picture:
        picture(runs, given.picture)
    served = {way: [run[way].report.share for run in runs] for way in WAYS}
    kill = [a / b for a, b in zip(served["one_planner_killed"], served["undisturbed"], strict=True)]
    gain = [a / b for a, b in zip(served["undisturbed"], served["no_planners"], strict=True)]
    excess = max(run.excess for each in runs for run in each.values())
    twice = sum(run.twice for each in runs for run in each.values())
    doubles = sum(double or over for double, over in found)
    extra = [c["with"] / c["without"] for c in costs]
    figures = {
        "forwarders": size.forwarders,
        "planners": size.planners,
        "seconds": size.seconds,
        "seeds": list(size.seeds),
        **{way: spread(values) for way, values in served.items()},
        "kill_ratio": spread(kill),
        "gain": spread(gain),
        "double_grants": doubles,
        "schedules": len(found),
        "filings_twice": twice,
        "ceiling_excess": round(max(0.0, excess), 2),
        "ceiling_left": round(max(0.0, -excess), 2),
        "ceiling_slack": SLACK,
        "takeover_s": spread([run["one_planner_killed"].takeover for run in runs]),
        "bytes_per_forwarder_s": round(statistics.median(run["undisturbed"].bytes_a_second for run in runs)),
        "cpu_us_per_request": {
            "without": round(statistics.median(c["without"] for c in costs), 1),
            "with": round(statistics.median(c["with"] for c in costs), 1),
            "ratio": spread(extra),
        },
        "ok": bool(
            doubles == 0
            and twice == 0
            and excess <= SLACK
            and min(gain) > 1.0
            and statistics.median(kill) >= (0.9 if given.short else 0.99)
        ),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


def picture(runs: list[dict[str, Run]], file: str) -> None:
    """Served requests by second, the mean of the seeds, through the planners' deaths."""
    import matplotlib  # not among the requirements: pip install matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for way in WAYS:
        rows = [run[way].series for run in runs]
        axes.plot([statistics.mean(column) for column in zip(*rows, strict=True)], label=way.replace("_", " "))
    axes.axvline(len(runs[0]["undisturbed"].series) / 3, color="grey", linestyle=":", label="planners are killed")
    axes.set_xlabel("seconds")
    axes.set_ylabel("served in their aim, a second")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right", fontsize="small")
    figure.tight_layout()
    figure.savefig(file, dpi=90)


if __name__ == "__main__":
    sys.exit(main())
