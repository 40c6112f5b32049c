"""Simulates a power loss of a whole fleet: gateways and simulated workers, and what is served each second.

`persist` persists the state of a gateway at the power loss and returns the function that restores it in the gateway's
next incarnation; without it gateways start without state. Variants can be compared on the same seed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from micagate import Gateway, interface
from rig.capacity import Capacity
from rig.fleet import UNIT_CORE_SECONDS, EntryPoint, Fleet
from rig.simulation import Clock

Persist = Callable[[Gateway, float], Callable[[Gateway, float], None]]
CLASSES = (
    interface.RequestClass("read", aim=0.4, deadline=1.5),
    interface.RequestClass("write", 0.6, 2.0, interface.SIDE_EFFECT, importance=3.0),
)
PLAN = interface.Plan("team", rate=30.0, burst=60.0, ceiling_rate=40.0, ceiling_capacity=80.0, excess_cost=0.5)
TICK_SECONDS = 0.1  # between two calls of `after_restore` for a restored gateway


class PowerLossSimulation:
    """`count` gateways and `workers` workers that start slowly for `ramp` seconds after the power loss.

    `rate` is in requests per second; the warm workers can serve `capacity_factor` times that. `after_restore` is
    called periodically for each restored gateway.
    """

    def __init__(
        self,
        seed: int,
        count: int = 5,
        workers: int = 6,
        rate: float = 340.0,
        capacity_factor: float = 1.06,
        ramp: float = 6.0,
        cold_from: float = 0.25,
        outage_seconds: float = 0.7,
        boot_seconds: float = 0.3,
        persist: Persist | None = None,
        after_restore: Callable[[Gateway, float], None] | None = None,
        insist: float = 0.0,
    ) -> None:
        self.clock, self.random, self.seed = Clock(), Random(seed), seed
        self.count, self.rate, self.outage_seconds, self.boot_seconds = count, rate, outage_seconds, boot_seconds
        self.persist, self.after_restore, self.insist = persist, after_restore, insist
        speed = rate * capacity_factor * UNIT_CORE_SECONDS / (2 * workers)  # of each of the two cores
        self.capacity = Capacity(
            cores=2,
            queue_limit=24,
            speed=speed,
            min_warm_up_factor=cold_from,
            warm_up_seconds=ramp,
            queue_slowdown=0.05,
        )
        self.fleet = Fleet(self.clock, self.random, {f"w{n}": self.capacity for n in range(workers)})
        self.settings = interface.Settings(
            CLASSES,
            (PLAN,),
            gateways=count,
            max_attempts=3,
            can_cancel=True,
            max_retry_after=0.5,
            meter_period=0.0,
            slow_start_min_factor=cold_from,
            slow_start_duration=ramp,
        )
        self.incarnation = 0
        self.reachable_gateways = list(range(count))  # gateways that clients connect to
        self.counts_by_second: dict[int, Counter[str]] = {}
        self.refusals_by_second: dict[int, Counter[str]] = {}
        self.gateways: list[Gateway] = []
        self.entry_points: list[EntryPoint | None] = []
        self._start_gateways([None] * count)
        self.clock.after(self.random.expovariate(rate), self._submit)

    def _start_gateways(self, restore_functions: Sequence[Callable[[Gateway, float], None] | None]) -> None:
        self.incarnation += 1
        self.gateways, self.entry_points, self.fleet.entry_points = [], [], []
        for n in range(self.count):
            gateway = Gateway(self.settings, self.seed * 1000 + self.incarnation * 100 + n, self.clock.now)
            self.gateways.append(gateway)
            self.entry_points.append(EntryPoint(self.fleet, gateway.handle, self.settings, f"{self.incarnation}g{n}"))
        self.fleet.send_update(whole=True)
        for gateway, restore in zip(self.gateways, restore_functions, strict=True):
            if restore is not None:
                restore(gateway, self.clock.now)
                self._after_restore(gateway, self.incarnation)

    def _after_restore(self, gateway: Gateway, incarnation: int) -> None:
        if incarnation == self.incarnation and self.after_restore is not None:
            self.after_restore(gateway, self.clock.now)
            self.clock.after(TICK_SECONDS, self._after_restore, gateway, incarnation)

    def _submit(self) -> None:
        clock = self.clock
        clock.after(self.random.expovariate(self.rate), self._submit)
        second = int(clock.now)
        counts = self.counts_by_second.setdefault(second, Counter())
        counts["asked"] += 1
        n = self.random.choice(self.reachable_gateways)
        entrance = self.entry_points[n]
        if entrance is None:
            return
        counts_before = Counter(entrance.counts.results)
        klass = "write" if self.random.random() < 0.2 else "read"
        entrance.submit(klass, PLAN.name, f"{self.random.randrange(34):x}", spread=self.count)
        if entrance.counts.results["refused"] > counts_before["refused"]:
            self.refusals_by_second.setdefault(second, Counter())[
                "control" if self.gateways[n].throttle.active else "else"
            ] += 1

    def lose_power(self) -> None:
        """Cut the power for `outage_seconds`; the gateways serve again `boot_seconds` after it is back."""
        restore_functions = [
            self.persist(gate, self.clock.now) if self.persist is not None else None for gate in self.gateways
        ]
        self.entry_points = [None] * self.count
        self.clock.run(self.clock.now + self.outage_seconds)
        for name in self.fleet.workers:
            self.fleet.restart(name)
        self.clock.run(self.clock.now + self.boot_seconds)
        self._start_gateways(restore_functions)

    def served_per_tenth(self, seconds: float) -> list[int]:
        """Run for `seconds`; return the number of requests served within the objective in each tenth of a second."""
        served = []
        for _ in range(round(seconds * 10)):
            before = self.fleet.results["served"]
            self.clock.run(self.clock.now + 0.1)
            served.append(self.fleet.results["served"] - before)
        return served


def by_second(tenths: Sequence[int]) -> list[int]:
    """Sum counts per tenth of a second to counts per second."""
    return [sum(tenths[n : n + 10]) for n in range(0, len(tenths), 10)]
