"""Model of a worker's capacity: cores, a bounded queue and slow start. No I/O; the time is an argument."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """Parameters of a worker's model; times are in seconds.

    `cores` requests are processed in parallel, up to `queue` more wait, and any further one is rejected. A warm worker
    takes 1/`speed` of a request's nominal time. A worker that starts has the fraction `cold_from` of its speed, which
    rises linearly to 1 over `ramp`. `thrash` is the fraction by which each request waiting per core slows new work:
    a worker with a long queue gets less done, so that overload reinforces itself.
    """

    cores: int = 2
    queue: int = 16
    speed: float = 1.0
    cold_from: float = 1.0
    ramp: float = 0.0
    thrash: float = 0.0


class Load:
    """Requests at a worker, served in order of arrival, each by the first core that becomes free."""

    def __init__(self, capacity: Capacity, started: float | None = None) -> None:
        self.capacity, self.started = capacity, started
        self._core_free_times = [0.0] * capacity.cores
        self._queued_start_times: deque[float] = deque()
        self.served = self.rejected = 0
        self.max_queue_length = 0  # longest queue so far

    def warmth(self, now: float) -> float:
        """Return the warm-up factor: the fraction of its full speed that the worker has, up to 1."""
        capacity = self.capacity
        if self.started is None or now - self.started >= capacity.ramp:
            return 1.0
        return capacity.cold_from + (1 - capacity.cold_from) * max(0.0, now - self.started) / capacity.ramp

    def waiting(self, now: float) -> int:
        """Return the number of requests that wait for a core."""
        while self._queued_start_times and self._queued_start_times[0] <= now:
            self._queued_start_times.popleft()
        return len(self._queued_start_times)

    def free(self, now: float) -> float:
        """Return when the next core is free."""
        return max(now, self._core_free_times[0])

    def arrive(self, now: float, work: float) -> float | None:
        """Add a request of `work` seconds of a warm core at speed 1; return its end, or None if the queue is full."""
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
