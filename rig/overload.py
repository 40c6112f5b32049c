"""Simulates an overloaded fleet with request classes of different importance: worth served, waste and violations.

A day has gatekeepers without knowledge of each other, a rolling release (each worker is draining, then replaced by a
newly started one), a rush above the capacity of all workers, and a period in which every worker is slower. The worth
served is compared with an upper bound from the true state: in each span of time, the requests with the highest worth
for their cost, up to the capacity of all workers if they were always warm and in service; nothing is carried from one
span to the next. Clients do not retry and plans have no quotas; `rig/customers.py` simulates those. Times are in
seconds, work is in seconds of a core.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from micagate import Gateway, interface
from rig.capacity import Capacity, Load
from rig.fleet import UNIT_CORE_SECONDS, EntryPoint, Fleet
from rig.simulation import Clock

BOUND_SPAN_SECONDS = 2.0  # within which the bound may reorder work


@dataclass(frozen=True)
class Deployment:
    """A deployment: its classes with their shares of requests and units per request, its workers, and its limits."""

    classes: tuple[tuple[interface.RequestClass, float, float], ...]
    gateways: int
    workers: int
    capacity: Capacity
    overload_factor: float
    fall_time: float
    seconds: float = 40.0
    load: float = 0.55  # as a share of the capacity, outside the rush
    rush: tuple[float, float, float] = (10.0, 20.0, 1.3)  # from, to, load
    slow: tuple[float, float, float] = (26.0, 32.0, 0.5)  # from, to, speed of every worker
    release: tuple[float, float] = (3.0, 4.0)  # start of the first worker's drain, and interval between drains

    def settings(self, equal_importance: bool) -> interface.Settings:
        """Return a gateway's settings; with `equal_importance` all classes have the same importance."""
        classes = tuple(replace(klass, importance=1.0) if equal_importance else klass for klass, _, _ in self.classes)
        return interface.Settings(
            classes,
            (interface.Plan("free"),),
            gateways=self.gateways,
            zone="a",
            max_attempts=3,
            can_cancel=True,
            slow_start_min_factor=self.capacity.min_warm_up_factor,
            slow_start_duration=self.capacity.warm_up_seconds,
            overload_factor=self.overload_factor,
            fall_time=self.fall_time,
        )


@dataclass(frozen=True)
class DayResult:
    """Result of a day.

    `worth` is a share of the bound, `wasted` the share of attempts without a request served in time. `cold_falls`
    counts newly started workers that were overloaded, `drain_breaks` attempts sent to draining workers.
    """

    worth: float
    wasted: float
    cold_falls: int
    drain_breaks: int
    by_class: dict[str, float]  # share of requests served within the objective, by class


def arrivals(deployment: Deployment, random: Random) -> list[tuple[float, int, int]]:
    """Return the requests of a day: time, index of the class, index of the gateway."""
    work = sum(share * units * UNIT_CORE_SECONDS for _, share, units in deployment.classes)
    base_rate = deployment.load * deployment.workers * deployment.capacity.cores / work
    begin, end, factor = deployment.rush
    shares = [share for _, share, _ in deployment.classes]
    now, arrival_list = 0.0, list[tuple[float, int, int]]()
    while True:
        rate = base_rate * (factor / deployment.load if begin <= now < end else 1.0)
        now += random.expovariate(rate)
        if now >= deployment.seconds:
            return arrival_list
        arrival_list.append((now, random.choices(range(len(shares)), shares)[0], random.randrange(deployment.gateways)))


def worth_bound(deployment: Deployment, requests: list[tuple[float, int, int]]) -> float:
    """Return the worth that the true capacity can serve, span by span, with all workers always warm and in service."""
    total, counts = 0.0, Counter((int(at / BOUND_SPAN_SECONDS), class_index) for at, class_index, _ in requests)
    by_value = sorted(
        range(len(deployment.classes)), key=lambda n: -deployment.classes[n][0].importance / deployment.classes[n][2]
    )
    for span in range(int(deployment.seconds / BOUND_SPAN_SECONDS) + 1):
        start = span * BOUND_SPAN_SECONDS
        slow_seconds = max(0.0, min(start + BOUND_SPAN_SECONDS, deployment.slow[1]) - max(start, deployment.slow[0]))
        remaining_work = (
            deployment.workers
            * deployment.capacity.cores
            * (BOUND_SPAN_SECONDS - slow_seconds * (1 - deployment.slow[2]))
        )
        for n in by_value:
            klass, _, units = deployment.classes[n]
            served = min(float(counts[span, n]), remaining_work / (units * UNIT_CORE_SECONDS))
            remaining_work -= served * units * UNIT_CORE_SECONDS
            total += served * klass.importance
    return total


def play(deployment: Deployment, seed: int, equal_importance: bool = False) -> DayResult:
    """Simulate one day; the arrivals depend on the seed alone, not on the decisions."""
    random, clock = Random(seed), Clock()
    requests = arrivals(deployment, random)
    names = [f"w{n:02}" for n in range(deployment.workers)]
    fleet = Fleet(clock, Random(seed + 1), dict.fromkeys(names, deployment.capacity))
    settings = deployment.settings(equal_importance)
    entrances = [
        EntryPoint(fleet, Gateway(settings, seed * 100 + n, 0.0).handle, settings, f"g{n}")
        for n in range(deployment.gateways)
    ]
    attempts: list[tuple[float, str, float]] = []  # time, worker, work
    drain_violations = 0
    drain_times: dict[str, float] = {}

    def record_arrival(now: float, name: str, work: float, done: float | None) -> None:
        nonlocal drain_violations
        drain_violations += name in drain_times and now > drain_times[name] + 0.5
        if done is not None:
            attempts.append((now, name, work))

    def drain(name: str) -> None:
        fleet.workers[name].in_service = False
        drain_times[name] = clock.now
        fleet.send_update(name)
        clock.after(1.5, replace_worker, name)

    cold_starts: list[tuple[str, float]] = []

    def replace_worker(name: str) -> None:
        drain_times.pop(name)
        fleet.workers[name].in_service = True
        cold_starts.append((name, clock.now))
        fleet.restart(name, current_capacity())

    def current_capacity() -> Capacity:
        slow = deployment.slow[0] <= clock.now < deployment.slow[1]
        return replace(deployment.capacity, speed=deployment.slow[2] if slow else 1.0)

    def update_capacities() -> None:
        for place in fleet.workers.values():
            place.load.capacity = current_capacity()

    fleet.on_arrival = record_arrival
    for n, name in enumerate(names):
        if (at := deployment.release[0] + n * deployment.release[1]) < deployment.seconds - 2.0:
            clock.at(at, drain, name)
    for at in deployment.slow[:2]:
        clock.at(at, update_capacities)
    for at, class_index, gateway in requests:
        klass, _, units = deployment.classes[class_index]
        clock.at(at, entrances[gateway].submit, klass.name, "free", klass.name, units)
    fleet.send_update(whole=True)
    clock.run(deployment.seconds + max(klass.deadline for klass, _, _ in deployment.classes) + 1.0)

    worth, served, shares = 0.0, 0.0, {}
    for n, (klass, _, units) in enumerate(deployment.classes):
        count = sum(entrance.units_served.get((klass.name, "free"), 0.0) for entrance in entrances) / units
        worth += count * klass.importance
        served += count
        shares[klass.name] = count / max(1, sum(class_index == n for _, class_index, _ in requests))
    return DayResult(
        worth / worth_bound(deployment, requests),
        1 - served / max(1, len(attempts)),
        sum(was_overloaded(deployment, attempts, name, at) for name, at in cold_starts),
        drain_violations,
        shares,
    )


def was_overloaded(deployment: Deployment, attempts: list[tuple[float, str, float]], name: str, started: float) -> bool:
    """Whether a newly started worker got over `overload_factor` times its capacity during some `fall_time` seconds."""
    capacity = deployment.capacity
    arrivals = [
        (at, work)
        for at, where, work in attempts
        if where == name and started <= at < started + capacity.warm_up_seconds
    ]
    for end, _ in arrivals:
        start = end - deployment.fall_time
        if start < started:
            continue
        # Work per second; the warm-up factor at the end is the highest within the span.
        work_limit = deployment.overload_factor * capacity.cores * Load(capacity, started).warm_up_factor(end)
        if sum(work for at, work in arrivals if start < at <= end) > work_limit * deployment.fall_time:
            return True
    return False
