"""Classes of unlike worth before a pressed fleet, in simulated time: what is served of it, wasted and broken.

Gatekeepers that know nothing of each other, workers that are released one by one (told as draining, then replaced
by a cold one), a rush beyond what all can do, and a spell in which every worker is slower. Held against a bound from
the true state: in each span of time the work that is worth most for its cost, as far as the capacity of all workers,
warm and never away, goes; nothing is carried from one span to the next. Clients don't repeat and no plan has a quota:
`rig/customers.py` is for those. Times in seconds, work in seconds of a core.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from micagate import Gateway, interface
from rig.capacity import Capacity, Load
from rig.fleet import UNIT_CORE_SECONDS, Entrance, Fleet
from rig.simulation import Clock

BOUND_SPAN_SECONDS = 2.0  # in which the bound may move work about


@dataclass(frozen=True)
class Kind:
    """A deployment: its classes with their share of requests and units, its workers, and the rules' figures."""

    classes: tuple[tuple[interface.RequestClass, float, float], ...]
    gateways: int
    workers: int
    capacity: Capacity
    overload_factor: float
    fall_time: float
    seconds: float = 40.0
    load: float = 0.55  # of the capacity, outside the rush
    rush: tuple[float, float, float] = (10.0, 20.0, 1.3)  # from, to, load
    slow: tuple[float, float, float] = (26.0, 32.0, 0.5)  # from, to, every worker's speed
    release: tuple[float, float] = (3.0, 4.0)  # the first worker's drain, and between two of them

    def settings(self, alike: bool) -> interface.Settings:
        """A gateway's settings; `alike`: no class is told to be worth more than another."""
        classes = tuple(replace(klass, importance=1.0) if alike else klass for klass, _, _ in self.classes)
        return interface.Settings(
            classes,
            (interface.Plan("free"),),
            gateways=self.gateways,
            zone="a",
            max_attempts=3,
            can_cancel=True,
            slow_start_min_factor=self.capacity.cold_from,
            slow_start_duration=self.capacity.ramp,
            overload_factor=self.overload_factor,
            fall_time=self.fall_time,
        )


@dataclass(frozen=True)
class DayResult:
    """What became of a day. Shares are of the bound's worth, of attempts begun, and counts of broken rules."""

    worth: float
    wasted: float
    cold_falls: int
    drain_breaks: int
    by_class: dict[str, float]  # share of each class's requests served in their aim


def arrivals(deployment: Kind, random: Random) -> list[tuple[float, int, int]]:
    """When, of which class and at which gateway."""
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


def worth_bound(deployment: Kind, requests: list[tuple[float, int, int]]) -> float:
    """The worth that the true capacity has room for, span by span; all workers count as warm and never away."""
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


def play(kind: Kind, seed: int, alike: bool = False) -> DayResult:
    """One day; the same arrivals for each seed, whatever the decisions."""
    random, clock = Random(seed), Clock()
    requests = arrivals(kind, random)
    names = [f"w{n:02}" for n in range(kind.workers)]
    fleet = Fleet(clock, Random(seed + 1), dict.fromkeys(names, kind.capacity))
    settings = kind.settings(alike)
    entrances = [
        Entrance(fleet, Gateway(settings, seed * 100 + n, 0.0).handle, settings, f"g{n}") for n in range(kind.gateways)
    ]
    attempts: list[tuple[float, str, float]] = []  # when, where, work
    drain_violations = 0
    drain_times: dict[str, float] = {}

    def record_arrival(now: float, name: str, work: float, done: float | None) -> None:
        nonlocal drain_violations
        drain_violations += name in drain_times and now > drain_times[name] + 0.5
        if done is not None:
            attempts.append((now, name, work))

    def drain(name: str) -> None:
        fleet.places[name].up = False
        drain_times[name] = clock.now
        fleet.tell(name)
        clock.after(1.5, replace_worker, name)

    cold_starts: list[tuple[str, float]] = []

    def replace_worker(name: str) -> None:
        drain_times.pop(name)
        fleet.places[name].up = True
        cold_starts.append((name, clock.now))
        fleet.restart(name, current_capacity())

    def current_capacity() -> Capacity:
        slow = kind.slow[0] <= clock.now < kind.slow[1]
        return replace(kind.capacity, speed=kind.slow[2] if slow else 1.0)

    def update_capacities() -> None:
        for place in fleet.places.values():
            place.load.capacity = current_capacity()

    fleet.arrived = record_arrival
    for n, name in enumerate(names):
        if (at := kind.release[0] + n * kind.release[1]) < kind.seconds - 2.0:
            clock.at(at, drain, name)
    for at in kind.slow[:2]:
        clock.at(at, update_capacities)
    for at, class_index, gateway in requests:
        klass, _, units = kind.classes[class_index]
        clock.at(at, entrances[gateway].ask, klass.name, "free", klass.name, units)
    fleet.tell(whole=True)
    clock.run(kind.seconds + max(klass.deadline for klass, _, _ in kind.classes) + 1.0)

    worth, served, shares = 0.0, 0.0, {}
    for n, (klass, _, units) in enumerate(kind.classes):
        count = sum(entrance.units_served.get((klass.name, "free"), 0.0) for entrance in entrances) / units
        worth += count * klass.importance
        served += count
        shares[klass.name] = count / max(1, sum(class_index == n for _, class_index, _ in requests))
    return DayResult(
        worth / worth_bound(kind, requests),
        1 - served / max(1, len(attempts)),
        sum(was_overloaded(kind, attempts, name, at) for name, at in cold_starts),
        drain_violations,
        shares,
    )


def was_overloaded(deployment: Kind, attempts: list[tuple[float, str, float]], name: str, started: float) -> bool:
    """Whether a cold worker got more than `overload_factor` times what it could do, for all of a fall's span."""
    capacity = deployment.capacity
    arrivals = [(at, work) for at, where, work in attempts if where == name and started <= at < started + capacity.ramp]
    for end, _ in arrivals:
        start = end - deployment.fall_time
        if start < started:
            continue
        work_limit = (
            deployment.overload_factor * capacity.cores * Load(capacity, started).warmth(end)
        )  # within the span
        if sum(work for at, work in arrivals if start < at <= end) > work_limit * deployment.fall_time:
            return True
    return False
