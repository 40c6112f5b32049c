"""Which workers a gateway among many keeps to: an arc of one ring of all that are usable.

Every gateway that knows its number has the same ring, by ranks drawn from the workers' names, and an own place on
it (deterministic apertures: Twitter's Finagle). Places are even: each worker is in as many arcs as any other, or
in one more. An arc holds so many workers *that are fit*, whatever else stands between them.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from micagate.worker import Worker

NEAR = 8  # workers that a gateway among many keeps to: each is met every few seconds
TOGETHER = 3.0  # attempts at a worker that all gateways together may always have (latecomer and cold guards)


class WorkerSubset:
    """The ring, and this gateway's arc of it."""

    def __init__(self, number: int | None, gateways: int) -> None:
        self._number, self._gateways = number, gateways
        self.ring: list[Worker] = []  # the usable ones by rank
        self.fit, self._span = 1, 1  # in the arc last looked at: those that were fit, and all
        self._count()

    def add(self, worker: Worker) -> None:
        """A worker has become usable."""
        self.ring.insert(sum(w.rank < worker.rank for w in self.ring), worker)
        self._count()

    def remove(self, worker: Worker) -> None:
        """A worker is usable no more."""
        self.ring.remove(worker)
        self._count()

    def _count(self) -> None:
        """Once for each change of the ring, since every choice asks for these."""
        serving = len(self.ring)
        # How many a gateway keeps to; all of a small fleet.
        self.size = min(serving, max(NEAR, math.ceil(TOGETHER * serving / self._gateways)))
        # Whether this is a gateway of many that keeps to few of many workers.
        self.is_partial = self._number is not None and self.size < serving
        self.reachable_count = self.size if self.is_partial else serving  # how many workers it sends to

    def members(self, span: int, fit: Callable[[Worker], bool] | None = None) -> list[Worker]:
        """The arc from the own place on of so many workers, or of so many that are `fit`, with those between.

        Guards against arcs of which a mass replacement or a lost zone leaves hardly any that may be sent to.
        Harm: while many are unfit, each gateway meets more workers, and each of these less often.
        """
        at = (self._number or 0) * len(self.ring) // self._gateways % max(1, len(self.ring))
        ring = self.ring[at:] + self.ring[:at]
        if fit is None:
            return ring[:span]
        arc, found = [], 0
        for worker in ring:
            arc.append(worker)
            if fit(worker) and (found := found + 1) == span:
                break
        self.fit, self._span = max(1, found), max(1, len(arc))
        return arc

    def overlap(self) -> float:
        """The share of the gateways in whose arcs a worker is, if theirs are as long as this one's."""
        return self._span / max(1, len(self.ring))
