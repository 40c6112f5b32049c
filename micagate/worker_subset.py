"""Chooses the subset of workers that one of many gateways sends to: a section of a ring of all usable workers.

All gateways that know their number have the same ring, ordered by ranks drawn from the workers' names, and each has a
start of its own on it (deterministic subsetting, as the deterministic aperture of Twitter's Finagle). The starts are
evenly spaced, so each worker is in as many subsets as any other, or in one more. A subset is extended until it holds
enough *eligible* workers.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from micagate.worker import Worker

MIN_SUBSET_SIZE = 8  # small enough that a gateway with little traffic sends to each worker every few seconds
# Attempts that all gateways together may always have at a worker, whatever the limits on overload and slow start.
# Subsets are sized so that each worker is in about as many of them.
MIN_FLEET_ATTEMPTS_PER_WORKER = 3.0


class WorkerSubset:
    """The ring of usable workers, and this gateway's subset of it."""

    def __init__(self, number: int | None, gateway_count: int) -> None:
        self._number, self._gateway_count = number, gateway_count
        self.ring: list[Worker] = []  # usable workers in the order of their ranks
        self.eligible_count, self._length = 1, 1  # number of eligible workers, and of all, in the subset last returned
        self._update_sizes()

    def add(self, worker: Worker) -> None:
        """Add a worker that has become usable."""
        self.ring.insert(sum(other.rank < worker.rank for other in self.ring), worker)
        self._update_sizes()

    def remove(self, worker: Worker) -> None:
        """Remove a worker that is no longer usable."""
        self.ring.remove(worker)
        self._update_sizes()

    def _update_sizes(self) -> None:
        """Update the sizes after a change of the ring, since every choice of a worker reads them."""
        usable_count = len(self.ring)
        # The number of workers in a subset: all of a small fleet.
        self.size = min(
            usable_count,
            max(MIN_SUBSET_SIZE, math.ceil(MIN_FLEET_ATTEMPTS_PER_WORKER * usable_count / self._gateway_count)),
        )
        # Whether this gateway sends to only a part of the workers.
        self.is_partial = self._number is not None and self.size < usable_count
        self.reachable_count = self.size if self.is_partial else usable_count  # workers it sends to

    def members(self, count: int, is_eligible: Callable[[Worker], bool] | None = None) -> list[Worker]:
        """Return the first `count` workers from this gateway's start on the ring.

        With `is_eligible`, the section holds `count` eligible workers and the others between them. So a subset
        keeps enough of them when many workers are replaced at once or a zone fails. Trade-off: while many are not
        eligible, each gateway sends to more workers, and to each less often.
        """
        start = (self._number or 0) * len(self.ring) // self._gateway_count % max(1, len(self.ring))
        ring = self.ring[start:] + self.ring[:start]
        if is_eligible is None:
            return ring[:count]
        subset, eligible_count = [], 0
        for worker in ring:
            subset.append(worker)
            if is_eligible(worker) and (eligible_count := eligible_count + 1) == count:
                break
        self.eligible_count, self._length = max(1, eligible_count), max(1, len(subset))
        return subset

    def overlap(self) -> float:
        """Return the share of the gateways that have a worker in their subset, if all subsets are as long as this."""
        return self._length / max(1, len(self.ring))
