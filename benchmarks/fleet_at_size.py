"""The same load through 4, 12 and 40 gateways before 60 workers: what is lost because there are so many.

`python -m benchmarks.fleet_at_size [--short]`. The last line is one JSON object. The real decisions in simulated
gateways (`rig/fleet.py`, `rig/simulation.py`) on a quiet stretch, a mass kill of gateways, a lost zone that comes back
cold, and a replacement of six workers in ten within 7 s, of which each gateway hears up to 3 s late. Customers have
quotas, a few ask several times as much; a meter tells late. Served is the worth inside quotas that was answered in
time, less what went beyond at its price, over that of a policy that sees every store and queue as it is. Beside each
stands the same with what is for many gateways taken away: no arcs, parts of quotas alone, however thin.

Clients do not repeat here, connections are counted as the most that were out at once by gateway and worker, and calls
for lists are those of real watches on a loopback service that takes one call at a time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import statistics
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from benchmarks.planners import spread
from micagate import Gateway, interface
from micagate.estimates import metering
from micagate.estimates.start_times import StartTimes
from oliveloft.discovery import policy as times
from oliveloft.discovery.watch import DiscoveryWatch
from oliveloft.shared_types import DiscoveryUpdate
from rig.capacity import Capacity, Load
from rig.fake_servers import BusyDiscovery
from rig.fleet import Entrance, Fleet
from rig.simulation import Clock
from rig.traffic import PlanShape, Store

SIZES, DAYS = (4, 12, 40), ("quiet", "kill", "zone", "join")
WORKERS, RATE, GRACE = 60, 280.0, 0.5  # requests a second; seconds in which a drained worker may still be sent to
RAMP, FALL, FACTOR, FROM = 8.0, 3.0, 2.0, 0.25
WARM = Capacity(cores=2, speed=1 / 7, queue=20, cold_from=FROM, ramp=RAMP)
PLAN = interface.Plan("p", rate=1.2, burst=5.0, excess_cost=0.8)
SETTINGS = interface.Settings(
    (
        interface.RequestClass("fetch", aim=1.0, deadline=4.0, importance=3.0),
        interface.RequestClass("file", aim=1.0, deadline=4.0, effect=interface.SIDE_EFFECT, importance=2.0),
    ),
    (PLAN,),
    zone="a",
    tick=0.004,
    max_attempts=4,
    can_cancel=True,
    meter_period=0.5,
    slow_start_min_factor=FROM,
    slow_start_duration=RAMP,
    overload_factor=FACTOR,
    fall_time=FALL,
)


@dataclass
class Seer:
    """A policy with the true state: one store for each customer, and the worker that would be done first."""

    fleet: Fleet
    stores: dict[str, Store] = field(default_factory=dict)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Let in what is inside its quota, and send it where it is done first."""
        if isinstance(event, interface.Outcome) and not event.terminal:
            return [interface.Fail(event.request)]
        if not isinstance(event, interface.Request):
            return []
        store = self.stores.setdefault(event.customer, Store(PlanShape(PLAN.rate, PLAN.burst), 0.0))
        if not store.take(now, 1):
            return [interface.Refuse(event.request)]
        up = [
            (p.load.free(now) + 0.14 / p.load.warmth(now), n)
            for n, p in self.fleet.places.items()
            if p.up and not p.hung
        ]
        return [interface.Send(event.request, min(up)[1])]


class Day:
    """One day of one size."""

    def __init__(self, kind: str, gateways: int, seed: int, seconds: float, policy: str) -> None:
        self.kind, self.seconds, self.random, self.clock = kind, seconds, Random(seed), Clock()
        self.fleet = Fleet(self.clock, self.random, {f"w{n:02}": WARM for n in range(WORKERS)}, work_cv=0.8)
        self.policy, self.count, self.seed = policy, gateways, seed
        self.settings = replace(SETTINGS, gateways=gateways)
        self.gates: list[Gateway | Seer] = []
        self.entrances: list[Entrance] = []
        seer = Seer(self.fleet)
        self.down: set[int] = set()
        self.told: dict[tuple[int, str], float] = {}  # when a gateway was told that a worker drains
        self.drain_breaks = self.controls = 0
        self.peak: Counter[tuple[int, str]] = Counter()
        self.arrivals: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.loads: list[tuple[str, Load]] = []
        for n in range(gateways):
            gate = seer if policy == "sees_all" else self._gate(n, 0.0)
            self.gates.append(gate)
            entrance = Entrance(self.fleet, self._handle(n), self.settings, f"g{n}-")
            entrance.used = self._used
            self.entrances.append(entrance)
        self.fleet.arrived = lambda now, name, work, done: self.arrivals[name].append((now, work / WARM.speed))
        self.fleet.tell(whole=True)
        self.use: dict[str, Counter[int]] = defaultdict(Counter)
        self.stores: dict[str, Store] = {}
        self.inside: dict[str, float] = {}  # requests sent on inside their quotas: when they came
        self.over = self.got = 0.0
        self.customers = [
            (f"c{n}", self.random.choices((0.25, 0.9, 3.0), (0.7, 0.2, 0.1))[0])
            for n in range(int(RATE / (0.655 * PLAN.rate)))
        ]
        self.homes = {
            name: self.random.sample(range(gateways), max(1, math.ceil(0.75 * gateways))) for name, _ in self.customers
        }

    def _gate(self, n: int, now: float) -> Gateway:
        number = n if self.policy == "with" else None
        return Gateway(replace(self.settings, number=number), self.seed * 100 + n + int(now), now)

    def _used(self, customer: str) -> float | None:
        period = int((self.clock.now - 0.8) / 0.5) - 1
        return self.use[customer][period] / 0.5 / PLAN.rate if period >= 0 else None

    def _handle(self, n: int) -> Callable[[float, interface.Event], list[interface.Action]]:
        def handle(now: float, event: interface.Event) -> list[interface.Action]:
            gate = self.gates[n]
            was = isinstance(gate, Gateway) and gate.throttle.active
            actions = gate.handle(now, event)
            if isinstance(event, interface.Outcome) and event.status == interface.SUCCESS:
                self.got += now - self.inside.pop(event.request, -math.inf) <= SETTINGS.classes[0].aim
            self.controls += isinstance(gate, Gateway) and gate.throttle.active and not was
            for action in actions:
                if isinstance(action, interface.Send):
                    self._sent(n, now, action, event)
            return actions

        return handle

    def _sent(self, n: int, now: float, action: interface.Send, event: interface.Event) -> None:
        key = n, action.worker
        self.peak[key] = max(
            self.peak[key], 1 + sum(action.worker in attempts for attempts in self.entrances[n]._attempts.values())
        )
        self.drain_breaks += now > self.told.get(key, math.inf) + GRACE
        if isinstance(event, interface.Request):
            customer = event.customer
            store = self.stores.setdefault(customer, Store(PlanShape(PLAN.rate, PLAN.burst), 0.0))
            self.use[customer][int(now / 0.5)] += 1
            if store.take(now, 1):
                self.inside[event.request] = now
            else:
                self.over += PLAN.excess_cost

    def _ask(self) -> None:
        name, _ = self.random.choices(self.customers, [rate for _, rate in self.customers])[0]
        homes = self.homes[name]
        ranks = [(rank + 1) ** -0.9 for rank in range(len(homes))]
        n = self.random.choices(homes, ranks)[0]
        if n in self.down:
            n = self.random.choice(
                [m for m in homes if m not in self.down] or [m for m in range(self.count) if m not in self.down]
            )
        klass = "fetch" if self.random.random() < 0.55 else "file"
        self.entrances[n].ask(klass, PLAN.name, name, spread=len(homes))
        self.clock.after(self.random.expovariate(RATE), self._ask)

    def _hear(self, name: str, late: float) -> None:
        """Each gateway hears of a worker up to so many seconds late."""
        for n, entrance in enumerate(self.entrances):
            self.clock.after(self.random.uniform(0.1, 0.1 + late), self._tell, n, entrance, name)

    def _tell(self, n: int, entrance: Entrance, name: str) -> None:
        entry = self.fleet.entry(name)
        if entry.state == interface.HEALTHY:
            self.told.pop((n, name), None)
        else:
            self.told[n, name] = self.clock.now
        entrance.hand(interface.WorkerList((entry,)), "")

    def _replace(self, name: str) -> None:
        self.fleet.places[name].up = False
        self._hear(name, 3.0)
        self.clock.after(4.0, self._start, name)

    def _start(self, name: str) -> None:
        place = self.fleet.places[name]
        place.load = Load(WARM, started=self.clock.now)
        place.up, place.hung = True, False
        self.arrivals[name] = []
        self.loads.append((name, place.load))
        self._hear(name, 3.0)

    def _kill(self) -> None:
        self.down = set(self.random.sample(range(self.count), int(0.7 * self.count)))
        for n in self.down:
            self.clock.after(2.0, self._return, n)

    def _return(self, n: int) -> None:
        if self.policy != "sees_all":
            self.gates[n] = self._gate(n, self.clock.now)
            self.entrances[n].hand(
                interface.WorkerList(tuple(map(self.fleet.entry, self.fleet.places)), whole=True), ""
            )
        self.down.discard(n)

    def play(self) -> Day:
        """Play it; returns itself."""
        names = sorted(self.fleet.places)
        if self.kind == "kill":
            self.clock.at(4.0, self._kill)
        for m, name in enumerate(names):
            if self.kind == "join" and m % 5 < 3:
                self.clock.at(4.0 + self.random.uniform(0.0, 7.0), self._replace, name)
            if self.kind == "zone" and self.fleet.places[name].zone == "b":
                self.clock.at(4.0, setattr, self.fleet.places[name], "hung", True)
                self.clock.at(9.0, self._start, name)
        self.clock.after(0.0, self._ask)
        self.clock.run(self.seconds)
        return self

    def served(self) -> float:
        """Answered in time, less what went beyond quotas at its price."""
        return self.got - self.over

    def falls(self) -> int:
        """Cold workers that were sent more than they bear: capacity at that moment, over any span."""
        fell = 0
        for name, load in self.loads:
            times = self.arrivals[name]
            for k, (begin, _) in enumerate(times):
                work = sum(w for t, w in times[k:] if t < begin + FALL)
                room = FACTOR * load.warmth(begin) * WARM.cores * FALL
                if work > room + 4 * 0.14:  # a little for chance
                    fell += 1
                    break
        return fell


def list_calls(gatekeepers: int, turns: bool) -> int:
    """Calls until all of them, started in the same instant, have heard from a service that takes one at a time."""
    service, heard = BusyDiscovery(0.004, 0.04), set[int]()
    usual, times.EACH_SECONDS = times.EACH_SECONDS, 0.006

    def told(number: int) -> Callable[[DiscoveryUpdate], None]:
        return lambda news: heard.add(number)

    async def scenario() -> None:
        loop, where = asyncio.get_running_loop(), await service.start()
        watches = [
            DiscoveryWatch(
                loop, where, StartTimes(0.0), told(n), 3 if turns else None, gatekeepers if turns else 1, n, seed=n
            )
            for n in range(gatekeepers)
        ]
        for each_watch in watches:
            each_watch.start()
        for _ in range(1000):
            await asyncio.sleep(0.01)
            if len(heard) == gatekeepers:
                break
        for each_watch in watches:
            each_watch.stop()
        service.stop()

    asyncio.run(scenario())
    times.EACH_SECONDS = usual
    return service.calls


def main() -> int:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--short", action="store_true", help="within 45 s")
    short = words.parse_args().short
    seeds, seconds, sizes = (1, 9.0, SIZES) if short else (5, 24.0, SIZES)
    shares: dict[str, dict[int, list[float]]] = {p: {size: [] for size in sizes} for p in ("with", "without")}
    chance: dict[str, list[float]] = {p: [] for p in shares}
    connects: dict[str, list[float]] = {p: [] for p in shares}
    falls = breaks = 0
    slivers = metering.SLIVER
    for seed in range(seeds):
        for kind in DAYS:
            for size in sizes:
                ideal = Day(kind, size, seed, seconds, "sees_all").play().served()
                for policy in shares:
                    metering.SLIVER = slivers if policy == "with" else 0.0
                    day = Day(kind, size, seed, seconds, policy).play()
                    metering.SLIVER = slivers
                    shares[policy][size].append(day.served() / ideal)
                    if size == SIZES[-1]:
                        connects[policy].append(sum(day.peak.values()))
                        if kind == "quiet":
                            chance[policy].append(day.controls)
                    if policy == "with":
                        falls, breaks = falls + day.falls(), breaks + day.drain_breaks
                print(
                    f"{kind}, {size} gateways, seed {seed}: of the ideal "
                    f"{shares['with'][size][-1]:.3f} with, {shares['without'][size][-1]:.3f} without",
                    flush=True,
                )
    calls = {p: [float(list_calls(40, p == "with")) for _ in range(1 if short else 5)] for p in shares}
    figures = {
        **{f"served_{size}": {p: spread(shares[p][size]) for p in shares} for size in sizes},
        "list_calls": {p: spread(calls[p]) for p in shares},
        "connects": {p: spread(connects[p]) for p in shares},
        "cold_falls": falls,
        "drain_breaks": breaks,
        "controls_by_chance": {p: spread(chance[p]) for p in shares},
        "ok": bool(
            not falls
            and not breaks
            and statistics.median(calls["with"]) <= 80
            and statistics.median(shares["with"][40]) > 0.95 * statistics.median(shares["without"][40])
        ),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
