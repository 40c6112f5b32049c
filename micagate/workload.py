"""Counts the demand of customers and the outcomes of attempts at each worker, for the demand reports to planners.

`Workload` counts attempts by worker. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from micagate import interface
from micagate.accounts import Account
from micagate.resource_keys import worker_key

# The attribute of `_WorkerCounts` that counts an unsuccessful outcome. All others count as failed, but for cancelled
# attempts and those that were not sent.
COUNTER_BY_STATUS = {
    interface.OVERLOADED: "refused",
    interface.TIMED_OUT: "missed",
}


class _WorkerCounts:
    """The counts of one worker since the last report; `in_flight_seconds` is `busy` in `interface.WorkerLoad`."""

    __slots__ = ("sent", "answered", "load", "in_flight_seconds", "refused", "missed", "failed", "updated_at")

    def __init__(self, now: float) -> None:
        self.sent = self.answered = self.refused = self.missed = self.failed = 0
        self.load = self.in_flight_seconds = 0.0
        self.updated_at = now

    def advance(self, now: float, in_flight: int) -> None:
        """Add the time that attempts were in flight, before their number changes."""
        self.in_flight_seconds += in_flight * (now - self.updated_at)
        self.updated_at = now


class Workload:
    """The counts of all workers. Each call gives the number of attempts in flight before the change it reports."""

    def __init__(self) -> None:
        self._counts: dict[str, _WorkerCounts] = {}
        self._shortest_latencies: dict[str, float] = {}  # by class: lowest usual latency so far

    def _advanced_counts(self, now: float, worker: str, in_flight: int) -> _WorkerCounts:
        """Return the counts of a worker, advanced to the present."""
        counts = self._counts.get(worker)
        if counts is None:  # time in flight before its first count is ignored
            counts = self._counts[worker] = _WorkerCounts(now)
        counts.advance(now, in_flight)
        return counts

    def record_sent(self, now: float, worker: str, in_flight: int) -> None:
        """Count an attempt sent to a worker with so many in flight."""
        self._advanced_counts(now, worker, in_flight).sent += 1

    def record_ended(
        self, now: float, worker: str, in_flight: int, klass: str, usual_latency: float, status: str, latency: float
    ) -> None:
        """Count the end of one of the attempts in flight; `usual_latency` is that of its class."""
        counts = self._advanced_counts(now, worker, in_flight)
        if status == interface.SUCCESS:
            shortest_latency = self._shortest_latencies[klass] = min(
                self._shortest_latencies.get(klass, math.inf), usual_latency
            )
            counts.answered += 1
            counts.load += latency / max(shortest_latency, 1e-6)
        elif status not in (interface.CANCELLED, interface.NOT_SENT):
            counter = COUNTER_BY_STATUS.get(status, "failed")
            setattr(counts, counter, getattr(counts, counter) + 1)

    def sent_count(self, worker: str) -> int:
        """Return the number of attempts sent to a worker since the last report."""
        counts = self._counts.get(worker)
        return counts.sent if counts is not None else 0

    def take_loads(self, now: float, in_flight: Mapping[str, int]) -> list[interface.WorkerLoad]:
        """Return the loads since the last report and reset the counts.

        `in_flight` gives the attempts in flight by worker; the counts of workers not in it are discarded.
        """
        loads = []
        previous, self._counts = self._counts, {}
        for worker, attempts in in_flight.items():
            if (counts := previous.get(worker)) is not None:
                counts.advance(now, attempts)
                load = interface.WorkerLoad(
                    worker_key(worker),
                    counts.answered,
                    counts.load,
                    counts.in_flight_seconds,
                    counts.refused,
                    counts.missed,
                    counts.failed,
                )
                if load.busy or load.answered or load.refused or load.missed or load.failed:
                    loads.append(load)
            self._counts[worker] = _WorkerCounts(now)
        return loads


def customer_demands(accounts: Iterable[Account]) -> list[interface.ResourceDemand]:
    """Return the demand for each customer's quota since the last report, and reset it."""
    demands = []
    for account in accounts:
        rates = [rate for rate in (account.plan.rate, account.plan.ceiling_rate) if rate]
        if rates or account.plan.concurrency_limit:  # the tightest limit determines the share that is needed
            bursts = (
                account.plan.burst if account.plan.rate else math.inf,
                account.plan.ceiling_capacity if account.plan.ceiling_rate else math.inf,
            )
            demands.append(
                interface.ResourceDemand(
                    account.key,
                    account.first_gateway,
                    account.gateway_count,
                    account.requested_units,
                    account.peak_in_flight,
                    min(rates, default=0.0),
                    min(bursts) if rates else 0.0,
                    account.plan.concurrency_limit,
                )
            )
        account.requested_units, account.peak_in_flight = 0.0, 0
    return demands


def resource_demands(
    workers: Mapping[str, tuple[float | None, float]],
    workload: Workload | None,
    warm_demand: float,
    core_capacity: float,
    gateway_count: int,
) -> list[interface.ResourceDemand]:
    """Return the attempts sent to each warm worker of known capacity, and the demand for each one in slow start.

    `workers` gives the warm-up factor of each worker, None if it is warm, and its capacity in responses a second, 0 if
    unknown. A worker in slow start would get `warm_demand` attempts if it were warm. `core_capacity` is what one warm
    core serves, in responses a second.
    """
    demands = []
    for name, (warm_up_factor, capacity) in workers.items():
        demand: float = (
            warm_demand if warm_up_factor is not None else workload.sent_count(name) if workload is not None else 0
        )
        total_capacity = warm_up_factor * core_capacity if warm_up_factor is not None else capacity
        if total_capacity:
            demands.append(
                interface.ResourceDemand(worker_key(name), 0, gateway_count, demand, 0.0, total_capacity, 0.0, 0.0)
            )
    return demands
