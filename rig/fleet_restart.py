"""A loss of power of a whole fleet in simulated time: gateways before modelled workers, and what each second serves.

`remember` makes the memory that a gateway of the next life begins with out of one of the last; None: it begins with
nothing. Several ways can be compared on the same seed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from micagate import Gateway, interface
from rig.capacity import Capacity
from rig.fleet import UNIT, Entrance, Fleet
from rig.simulation import Clock

Remember = Callable[[Gateway, float], Callable[[Gateway, float], None]]
CLASSES = (
    interface.RequestClass("read", aim=0.4, deadline=1.5),
    interface.RequestClass("write", 0.6, 2.0, interface.SIDE_EFFECT, importance=3.0),
)
PLAN = interface.Plan("team", rate=30.0, burst=60.0, ceiling_rate=40.0, ceiling_capacity=80.0, excess_cost=0.5)
TICK = 0.1  # seconds between looks of a gateway that came back


class Return:
    """`count` gateways and `workers` that can do `room` times what is asked, cold for `ramp` seconds after the loss."""

    def __init__(
        self,
        seed: int,
        count: int = 5,
        workers: int = 6,
        rate: float = 340.0,
        room: float = 1.06,
        ramp: float = 6.0,
        cold_from: float = 0.25,
        off: float = 0.7,
        boot: float = 0.3,
        remember: Remember | None = None,
        follow: Callable[[Gateway, float], None] | None = None,
        insist: float = 0.0,
    ) -> None:
        self.clock, self.random, self.seed = Clock(), Random(seed), seed
        self.count, self.rate, self.off, self.boot = count, rate, off, boot
        self.remember, self.follow, self.insist = remember, follow, insist
        speed = rate * room * UNIT / (2 * workers)  # of each of two cores
        self.capacity = Capacity(cores=2, queue=24, speed=speed, cold_from=cold_from, ramp=ramp, thrash=0.05)
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
        self.life = 0
        self.front = list(range(count))  # the gateways that clients come to
        self.seconds: dict[int, Counter[str]] = {}
        self.reasons: dict[int, Counter[str]] = {}
        self.gates: list[Gateway] = []
        self.entrances: list[Entrance | None] = []
        self._begin([None] * count)
        self.clock.after(self.random.expovariate(rate), self._ask)

    def _begin(self, kept: Sequence[Callable[[Gateway, float], None] | None]) -> None:
        self.life += 1
        self.gates, self.entrances, self.fleet.entrances = [], [], []
        for n in range(self.count):
            gate = Gateway(self.settings, self.seed * 1000 + self.life * 100 + n, self.clock.now)
            self.gates.append(gate)
            self.entrances.append(Entrance(self.fleet, gate.handle, self.settings, f"{self.life}g{n}"))
        self.fleet.tell(whole=True)
        for gate, restore in zip(self.gates, kept, strict=True):
            if restore is not None:
                restore(gate, self.clock.now)
                self._look(gate, self.life)

    def _look(self, gate: Gateway, life: int) -> None:
        if life == self.life and self.follow is not None:
            self.follow(gate, self.clock.now)
            self.clock.after(TICK, self._look, gate, life)

    def _ask(self) -> None:
        clock = self.clock
        clock.after(self.random.expovariate(self.rate), self._ask)
        at = int(clock.now)
        tally = self.seconds.setdefault(at, Counter())
        tally["asked"] += 1
        n = self.random.choice(self.front)
        entrance = self.entrances[n]
        if entrance is None:
            return
        before = Counter(entrance.tally.ends)
        klass = "write" if self.random.random() < 0.2 else "read"
        entrance.ask(klass, PLAN.name, f"{self.random.randrange(34):x}", spread=self.count)
        if entrance.tally.ends["refused"] > before["refused"]:
            self.reasons.setdefault(at, Counter())["control" if self.gates[n].throttle.active else "else"] += 1

    def lose(self) -> None:
        """All power goes, and comes back `off` seconds later; gateways serve `boot` seconds after that."""
        kept = [self.remember(gate, self.clock.now) if self.remember is not None else None for gate in self.gates]
        self.entrances = [None] * self.count
        self.clock.run(self.clock.now + self.off)
        for name in self.fleet.places:
            self.fleet.restart(name)
        self.clock.run(self.clock.now + self.boot)
        self._begin(kept)

    def served(self, seconds: float) -> list[int]:
        """Run on: what each tenth of a second of the time served in its aim."""
        made = []
        for _ in range(round(seconds * 10)):
            before = self.fleet.ends["served"]
            self.clock.run(self.clock.now + 0.1)
            made.append(self.fleet.ends["served"] - before)
        return made


def by_second(tenths: Sequence[int]) -> list[int]:
    """Sums of ten."""
    return [sum(tenths[n : n + 10]) for n in range(0, len(tenths), 10)]
