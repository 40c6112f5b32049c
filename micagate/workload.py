"""What customers asked and what became of attempts at each worker, counted for planners. Decides nothing."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from micagate import interface
from micagate.accounts import Account
from micagate.resource_keys import worker_key

KINDS = {
    interface.OVERLOADED: "refused",
    interface.TIMED_OUT: "missed",
}  # all else that is no answer, and was not called off: failed


class _Counts:
    __slots__ = ("asked", "answered", "load", "busy", "refused", "missed", "failed", "at")

    def __init__(self, now: float) -> None:
        self.asked = self.answered = self.refused = self.missed = self.failed = 0
        self.load = self.busy = 0.0
        self.at = now

    def tick(self, now: float, out: int) -> None:
        """Add up what was out, before that changes."""
        self.busy += out * (now - self.at)
        self.at = now


class Workload:
    """The counts of all workers; what is out is told with each change, as it was before."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._least: dict[str, float] = {}  # by class: the shortest usual answer time so far

    def _ticked(self, now: float, worker: str, out: int) -> _Counts:
        counts = self._counts.get(worker)
        if counts is None:  # what was out before it was first counted is left out
            counts = self._counts[worker] = _Counts(now)
        counts.tick(now, out)
        return counts

    def sent(self, now: float, worker: str, out: int) -> None:
        """An attempt goes to a worker that has so many out."""
        self._ticked(now, worker, out).asked += 1

    def ended(self, now: float, worker: str, out: int, klass: str, usual: float, status: str, took: float) -> None:
        """One of so many out has ended; `usual` is the usual answer time of its class."""
        counts = self._ticked(now, worker, out)
        if status == interface.SUCCESS:
            least = self._least[klass] = min(self._least.get(klass, math.inf), usual)
            counts.answered += 1
            counts.load += took / max(least, 1e-6)
        elif status not in (interface.CANCELLED, interface.NOT_SENT):
            kind = KINDS.get(status, "failed")
            setattr(counts, kind, getattr(counts, kind) + 1)

    def asked(self, worker: str) -> int:
        """How many attempts have gone to a worker since the last survey."""
        counts = self._counts.get(worker)
        return counts.asked if counts is not None else 0

    def take(self, now: float, out: Mapping[str, int]) -> list[interface.WorkerLoad]:
        """What was counted, and begin anew, for workers with so many out; others are forgotten."""
        made = []
        before, self._counts = self._counts, {}
        for worker, many in out.items():
            if (counts := before.get(worker)) is not None:
                counts.tick(now, many)
                work = interface.WorkerLoad(
                    worker_key(worker),
                    counts.answered,
                    counts.load,
                    counts.busy,
                    counts.refused,
                    counts.missed,
                    counts.failed,
                )
                if work.busy or work.answered or work.refused or work.missed or work.failed:
                    made.append(work)
            self._counts[worker] = _Counts(now)
        return made


def asked_of(accounts: Iterable[Account]) -> list[interface.ResourceDemand]:
    """What was asked of customers' quotas since the last survey, and begin anew."""
    tallies = []
    for a in accounts:
        rates = [rate for rate in (a.plan.rate, a.plan.ceiling_rate) if rate]
        if rates or a.plan.concurrency_limit:  # what binds first says how much of the whole is needed
            bursts = (
                a.plan.burst if a.plan.rate else math.inf,
                a.plan.ceiling_capacity if a.plan.ceiling_rate else math.inf,
            )
            tallies.append(
                interface.ResourceDemand(
                    a.key,
                    a.first_gateway,
                    a.gateway_count,
                    a.requested_units,
                    a.peak_in_flight,
                    min(rates, default=0.0),
                    min(bursts) if rates else 0.0,
                    a.plan.concurrency_limit,
                )
            )
        a.requested_units, a.peak_in_flight = 0.0, 0
    return tallies


def sent_to(
    standing: Mapping[str, tuple[float | None, float]],
    workload: Workload | None,
    usual: float,
    core: float,
    gateways: int,
) -> list[interface.ResourceDemand]:
    """What was sent to each warm worker of known pace; what would be to each cold one, were it warm.

    `standing` gives a worker's warmth, if it is cold, and its pace, answers a second, if that is known. `usual`
    attempts went to a warm one, and `core` answers a second is what one warm core can do.
    """
    tallies = []
    for name, (warm, pace) in standing.items():
        asked: float = usual if warm is not None else workload.asked(name) if workload is not None else 0
        whole = warm * core if warm is not None else pace
        if whole:
            tallies.append(interface.ResourceDemand(worker_key(name), 0, gateways, asked, 0.0, whole, 0.0, 0.0))
    return tallies
