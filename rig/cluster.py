"""Forwarders with one planner, or none, and simulated workers in simulated time: gateways, holders and a ledger.

Messages to and from the planner take no time and none is lost; `rig/planning.py` simulates delays and losses of those.
Here the workers differ in speed, slow down, start slowly and are replaced.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from random import Random

from micagate import Gateway, interface
from micagate.planning.demand import DemandEstimator
from micagate.planning.holder import Holder
from micagate.planning.ledger import Ledger
from micagate.planning.terms import Terms
from rig.capacity import Capacity
from rig.fleet import EntryPoint, Fleet
from rig.simulation import Clock

TERMS = Terms(shards=1)
EXCHANGE_INTERVAL_SECONDS = 0.1  # between two demand reports of a forwarder


class Cluster:
    """Forwarders that report to one planner (or none) and send to one fleet.

    `rates` are requests per second by forwarder, all of one customer without a quota; `capacities` are the workers'.
    """

    def __init__(
        self,
        seed: int,
        rates: Sequence[float],
        capacities: dict[str, Capacity],
        settings: interface.Settings,
        planner: bool,
        report_capacity: bool = False,
        zones: str = "a",
    ) -> None:
        self.random, self.clock = Random(seed), Clock()
        self.report_capacity = report_capacity  # whether forwarders report the workers' load
        self.rates = list(rates)
        self.fleet = Fleet(self.clock, self.random, capacities, zones=zones)
        self.klass, self.plan = settings.classes[0].name, settings.plans[0].name
        count = len(rates)
        self.ledger = Ledger(TERMS, 0, 1, count, 0.0) if planner else None
        self.max_borrowed = 0.0  # largest share ever borrowed of a resource
        self.entry_points: list[EntryPoint] = []
        self.share_holders: list[Holder] = []
        self.demand_estimates: list[DemandEstimator] = []
        self.gateways: list[Gateway] = []
        for n in range(count):
            numbered = settings.number is not None  # then each gateway gets its own number
            gateway = Gateway(replace(settings, number=n) if numbered else settings, seed * 100 + n, 0.0)
            self.gateways.append(gateway)
            self.entry_points.append(EntryPoint(self.fleet, gateway.handle, settings, f"f{n}"))
            holder = Holder(TERMS, n, count, -1e6, n * 1000 + 1)
            if planner:
                holder.planner_elected(0.0, "p", 0, 1)
            self.share_holders.append(holder)
            self.demand_estimates.append(DemandEstimator(0.0))
            self.clock.after(self.random.expovariate(self.rates[n]), self._submit, n)
        self.arrivals: list[tuple[float, str, float]] = []  # time, worker, seconds of work
        self.fleet.on_arrival = lambda now, name, work, done: self.arrivals.append((now, name, work))
        self.fleet.send_update(whole=True)
        self.clock.after(EXCHANGE_INTERVAL_SECONDS, self._exchange)

    def _submit(self, n: int) -> None:
        if self.rates[n] > 0:
            self.entry_points[n].submit(self.klass, self.plan, "c", spread=1)
        self.clock.after(self.random.expovariate(self.rates[n] or 10.0), self._submit, n)

    def _exchange(self) -> None:
        now = self.clock.now
        for n, holder in enumerate(self.share_holders):
            (tallies,) = (
                a
                for a in self.gateways[n].handle(now, interface.DemandQuery(self.report_capacity))
                if isinstance(a, interface.DemandReport)
            )
            holder.update_needs(now, self.demand_estimates[n].update(now, tallies.resources))
            holder.record_worker_loads(tallies.workers)
            for event in [*holder.share_updates(now), *holder.expired_sessions(now)]:
                self.gateways[n].handle(now, event)
                self.max_borrowed = max(self.max_borrowed, *(share.borrowed for share in event.changes), 0.0)
            for _, report in holder.reports(now):
                if self.ledger is not None:
                    self.ledger.report(now, f"f{n}", n, report)
        if self.ledger is not None:
            for name, update in self.ledger.pending_updates(now):
                self.share_holders[int(name[1:])].receive_update(now, "p", update)
        self.clock.after(EXCHANGE_INTERVAL_SECONDS, self._exchange)

    def restart(self, name: str, capacity: Capacity | None = None) -> None:
        """Replace a worker by a newly started one."""
        self.fleet.restart(name, capacity)

    def set_capacity(self, name: str, capacity: Capacity) -> None:
        """Change a worker's capacity while it runs, without an update to the gateways."""
        self.fleet.workers[name].load.capacity = capacity

    def served_ratio(self, start: float, end: float) -> float:
        """Run until `end`; return the share of the requests ended since `start` that met the latency objective."""
        self.clock.run(start)
        before = self.results
        self.clock.run(end)
        results = self.results
        results.subtract(before)
        return results["served"] / results.total()

    @property
    def results(self) -> Counter[str]:
        """Number of ended requests by result."""
        return self.fleet.results
