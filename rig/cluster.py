"""Forwarders with one planner, or none, before modelled workers, in simulated time: modules, holders and a ledger.

The planner's messages take no time and none gets lost: `rig/planning.py` is for what befalls those. Here the workers
are uneven, slow down, start cold and are replaced.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from random import Random

from micagate import Gateway, interface
from micagate.planning.demand import Demands
from micagate.planning.holder import Holder
from micagate.planning.ledger import Ledger
from micagate.planning.terms import Terms
from rig.capacity import Capacity
from rig.fleet import Entrance, Fleet
from rig.simulation import Clock

TERMS = Terms(shards=1)
EXCHANGE_INTERVAL_SECONDS = 0.1  # seconds between a forwarder's surveys


class Cluster:
    """Forwarders that ask a planner (or none) and send to one fleet.

    `rates` are requests a second by forwarder, of a customer with no quota; `capacities` the workers.
    """

    def __init__(
        self,
        seed: int,
        rates: Sequence[float],
        capacities: dict[str, Capacity],
        settings: interface.Settings,
        planner: bool,
        paces: bool = False,
        zones: str = "a",
    ) -> None:
        self.random, self.clock = Random(seed), Clock()
        self.paces = paces  # whether forwarders report of workers
        self.rates = list(rates)
        self.fleet = Fleet(self.clock, self.random, capacities, zones=zones)
        self.klass, self.plan = settings.classes[0].name, settings.plans[0].name
        count = len(rates)
        self.ledger = Ledger(TERMS, 0, 1, count, 0.0) if planner else None
        self.moved = 0.0  # the most ever borrowed of a thing
        self.entrances: list[Entrance] = []
        self.holders: list[Holder] = []
        self.demand_estimates: list[Demands] = []
        self.gates: list[Gateway] = []
        for n in range(count):
            numbered = settings.number is not None  # then each has its own
            gateway = Gateway(replace(settings, number=n) if numbered else settings, seed * 100 + n, 0.0)
            self.gates.append(gateway)
            self.entrances.append(Entrance(self.fleet, gateway.handle, settings, f"f{n}"))
            holder = Holder(TERMS, n, count, -1e6, n * 1000 + 1)
            if planner:
                holder.planner_elected(0.0, "p", 0, 1)
            self.holders.append(holder)
            self.demand_estimates.append(Demands(0.0))
            self.clock.after(self.random.expovariate(self.rates[n]), self._submit, n)
        self.sent: list[tuple[float, str, float]] = []  # when, where, seconds of work
        self.fleet.arrived = lambda now, name, work, done: self.sent.append((now, name, work))
        self.fleet.tell(whole=True)
        self.clock.after(EXCHANGE_INTERVAL_SECONDS, self._exchange)

    def _submit(self, n: int) -> None:
        if self.rates[n] > 0:
            self.entrances[n].ask(self.klass, self.plan, "c", spread=1)
        self.clock.after(self.random.expovariate(self.rates[n] or 10.0), self._submit, n)

    def _exchange(self) -> None:
        now = self.clock.now
        for n, holder in enumerate(self.holders):
            (tallies,) = (
                a
                for a in self.gates[n].handle(now, interface.DemandQuery(self.paces))
                if isinstance(a, interface.DemandReport)
            )
            holder.demand(now, self.demand_estimates[n].survey(now, tallies.resources))
            holder.record_worker_loads(tallies.workers)
            for event in [*holder.share_updates(now), *holder.expired_sessions(now)]:
                self.gates[n].handle(now, event)
                self.moved = max(self.moved, *(share.borrowed for share in event.changes), 0.0)
            for _, report in holder.reports(now):
                if self.ledger is not None:
                    self.ledger.report(now, f"f{n}", n, report)
        if self.ledger is not None:
            for name, update in self.ledger.pending_updates(now):
                self.holders[int(name[1:])].receive_update(now, "p", update)
        self.clock.after(EXCHANGE_INTERVAL_SECONDS, self._exchange)

    def restart(self, name: str, capacity: Capacity | None = None) -> None:
        """A worker is replaced by a cold one."""
        self.fleet.restart(name, capacity)

    def become(self, name: str, capacity: Capacity) -> None:
        """A worker's capacity changes while it runs, unannounced."""
        self.fleet.places[name].load.capacity = capacity

    def served(self, start: float, end: float) -> float:
        """Run on to the end: the share of what has ended between two times that was served in its aim."""
        self.clock.run(start)
        before = self.ends
        self.clock.run(end)
        results = self.ends
        results.subtract(before)
        return results["served"] / results.total()

    @property
    def ends(self) -> Counter[str]:
        """How all requests so far have ended."""
        return self.fleet.ends
