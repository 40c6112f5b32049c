"""What a worker can take: cores, a bounded queue, and slowness while it is cold. No I/O, the time is told."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """A worker's model; times are seconds.

    `cores` requests are worked on at once and `queue` more wait, the next is turned away. Work takes
    1/`speed` of its time on a warm worker. One that starts has the share `cold_from` of its speed, which
    rises evenly to the whole over `ramp`. `thrash` slows work by that share for each request waiting a core:
    a worker with a deep queue gets less done, so that overload feeds on itself.
    """

    cores: int = 2
    queue: int = 16
    speed: float = 1.0
    cold_from: float = 1.0
    ramp: float = 0.0
    thrash: float = 0.0


class Load:
    """What is at a worker: the first come is served first, by the core that is free first."""

    def __init__(self, capacity: Capacity, started: float | None = None) -> None:
        self.capacity, self.started = capacity, started
        self._core_free_times = [0.0] * capacity.cores
        self._queued_start_times: deque[float] = deque()
        self.served = self.rejected = 0
        self.max_queue_length = 0  # the longest queue yet

    def warmth(self, now: float) -> float:
        """The share of its speed that it has."""
        capacity = self.capacity
        if self.started is None or now - self.started >= capacity.ramp:
            return 1.0
        return capacity.cold_from + (1 - capacity.cold_from) * max(0.0, now - self.started) / capacity.ramp

    def waiting(self, now: float) -> int:
        """How many wait for a core."""
        while self._queued_start_times and self._queued_start_times[0] <= now:
            self._queued_start_times.popleft()
        return len(self._queued_start_times)

    def free(self, now: float) -> float:
        """When the next core is free."""
        return max(now, self._core_free_times[0])

    def arrive(self, now: float, work: float) -> float | None:
        """A request that would take `work` seconds of an idle warm core: when it is done, or None if full."""
        waiting = self.waiting(now)
        start = self.free(now)
        if start > now and waiting >= self.capacity.queue:
            self.rejected += 1
            return None
        slowdown = 1.0 + self.capacity.thrash * waiting / self.capacity.cores
        done = start + work * slowdown / (self.capacity.speed * self.warmth(now))
        heapq.heapreplace(self._core_free_times, done)
        if start > now:
            self._queued_start_times.append(start)
            self.max_queue_length = max(self.max_queue_length, waiting + 1)
        self.served += 1
        return done
