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
from rig.fleet import UNIT, Entrance, Fleet
from rig.simulation import Clock

SPAN = 2.0  # in which the bound may move work about


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
class Outcome:
    """What became of a day. Shares are of the bound's worth, of attempts begun, and counts of broken rules."""

    worth: float
    wasted: float
    cold_falls: int
    drain_breaks: int
    by_class: dict[str, float]  # share of each class's requests served in their aim


def arrivals(kind: Kind, random: Random) -> list[tuple[float, int, int]]:
    """When, of which class and at which gateway."""
    work = sum(share * units * UNIT for _, share, units in kind.classes)
    usual = kind.load * kind.workers * kind.capacity.cores / work
    begin, end, factor = kind.rush
    shares = [share for _, share, _ in kind.classes]
    now, made = 0.0, list[tuple[float, int, int]]()
    while True:
        rate = usual * (factor / kind.load if begin <= now < end else 1.0)
        now += random.expovariate(rate)
        if now >= kind.seconds:
            return made
        made.append((now, random.choices(range(len(shares)), shares)[0], random.randrange(kind.gateways)))


def bound(kind: Kind, asked: list[tuple[float, int, int]]) -> float:
    """The worth that the true capacity has room for, span by span; all workers count as warm and never away."""
    total, counts = 0.0, Counter((int(at / SPAN), which) for at, which, _ in asked)
    dear = sorted(range(len(kind.classes)), key=lambda n: -kind.classes[n][0].importance / kind.classes[n][2])
    for span in range(int(kind.seconds / SPAN) + 1):
        start = span * SPAN
        slow = max(0.0, min(start + SPAN, kind.slow[1]) - max(start, kind.slow[0]))
        room = kind.workers * kind.capacity.cores * (SPAN - slow * (1 - kind.slow[2]))
        for n in dear:
            klass, _, units = kind.classes[n]
            fits = min(float(counts[span, n]), room / (units * UNIT))
            room -= fits * units * UNIT
            total += fits * klass.importance
    return total


def play(kind: Kind, seed: int, alike: bool = False) -> Outcome:
    """One day; the same arrivals for each seed, whatever the decisions."""
    random, clock = Random(seed), Clock()
    asked = arrivals(kind, random)
    names = [f"w{n:02}" for n in range(kind.workers)]
    fleet = Fleet(clock, Random(seed + 1), dict.fromkeys(names, kind.capacity))
    settings = kind.settings(alike)
    entrances = [
        Entrance(fleet, Gateway(settings, seed * 100 + n, 0.0).handle, settings, f"g{n}") for n in range(kind.gateways)
    ]
    begun: list[tuple[float, str, float]] = []  # when, where, work
    breaks = 0
    drained: dict[str, float] = {}

    def arrived(now: float, name: str, work: float, done: float | None) -> None:
        nonlocal breaks
        breaks += name in drained and now > drained[name] + 0.5
        if done is not None:
            begun.append((now, name, work))

    def drain(name: str) -> None:
        fleet.places[name].up = False
        drained[name] = clock.now
        fleet.tell(name)
        clock.after(1.5, renew, name)

    cold: list[tuple[str, float]] = []

    def renew(name: str) -> None:
        drained.pop(name)
        fleet.places[name].up = True
        cold.append((name, clock.now))
        fleet.restart(name, pace())

    def pace() -> Capacity:
        slow = kind.slow[0] <= clock.now < kind.slow[1]
        return replace(kind.capacity, speed=kind.slow[2] if slow else 1.0)

    def change() -> None:
        for place in fleet.places.values():
            place.load.capacity = pace()

    fleet.arrived = arrived
    for n, name in enumerate(names):
        if (at := kind.release[0] + n * kind.release[1]) < kind.seconds - 2.0:
            clock.at(at, drain, name)
    for at in kind.slow[:2]:
        clock.at(at, change)
    for at, which, gateway in asked:
        klass, _, units = kind.classes[which]
        clock.at(at, entrances[gateway].ask, klass.name, "free", klass.name, units)
    fleet.tell(whole=True)
    clock.run(kind.seconds + max(klass.deadline for klass, _, _ in kind.classes) + 1.0)

    worth, served, shares = 0.0, 0.0, {}
    for n, (klass, _, units) in enumerate(kind.classes):
        count = sum(entrance.served.get((klass.name, "free"), 0.0) for entrance in entrances) / units
        worth += count * klass.importance
        served += count
        shares[klass.name] = count / max(1, sum(which == n for _, which, _ in asked))
    return Outcome(
        worth / bound(kind, asked),
        1 - served / max(1, len(begun)),
        sum(fell(kind, begun, name, at) for name, at in cold),
        breaks,
        shares,
    )


def fell(kind: Kind, begun: list[tuple[float, str, float]], name: str, started: float) -> bool:
    """Whether a cold worker got more than `overload_factor` times what it could do, for all of a fall's span."""
    c = kind.capacity
    times = [(at, work) for at, where, work in begun if where == name and started <= at < started + c.ramp]
    for end, _ in times:
        start = end - kind.fall_time
        if start < started:
            continue
        best = kind.overload_factor * c.cores * Load(c, started).warmth(end)  # within the span
        if sum(work for at, work in times if start < at <= end) > best * kind.fall_time:
            return True
    return False
