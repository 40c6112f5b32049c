"""Model of a worker's capacity: cores, a bounded queue and slow start. No I/O; the time is an argument."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """Parameters of a worker's model; times are in seconds.

    `cores` requests are processed in parallel, up to `queue_limit` more wait, and any further one is rejected. A warm
    worker takes 1/`speed` of a request's nominal time. A worker that starts has the fraction `min_warm_up_factor` of
    its speed, which rises linearly to 1 over `warm_up_seconds`. `queue_slowdown` is the fraction by which each request
    waiting per core slows new work: a worker with a long queue gets less done, so that overload reinforces itself.
    """

    cores: int = 2
    queue_limit: int = 16
    speed: float = 1.0
    min_warm_up_factor: float = 1.0
    warm_up_seconds: float = 0.0
    queue_slowdown: float = 0.0


class Load:
    """Requests at a worker, served in order of arrival, each by the first core that becomes free."""

    def __init__(self, capacity: Capacity, started: float | None = None) -> None:
        self.capacity, self.started = capacity, started
        self._core_free_times = [0.0] * capacity.cores
        self._queued_start_times: deque[float] = deque()
        self.served = self.rejected = 0
        self.max_queue_length = 0  # longest queue so far

    def warm_up_factor(self, now: float) -> float:
        """Return the warm-up factor: the fraction of its full speed that the worker has, up to 1."""
        capacity = self.capacity
        if self.started is None or now - self.started >= capacity.warm_up_seconds:
            return 1.0
        return (
            capacity.min_warm_up_factor
            + (1 - capacity.min_warm_up_factor) * max(0.0, now - self.started) / capacity.warm_up_seconds
        )

    def queue_length(self, now: float) -> int:
        """Return the number of requests that wait for a core."""
        while self._queued_start_times and self._queued_start_times[0] <= now:
            self._queued_start_times.popleft()
        return len(self._queued_start_times)

    def next_core_free_at(self, now: float) -> float:
        """Return when the next core is free."""
        return max(now, self._core_free_times[0])

    def arrive(self, now: float, work: float) -> float | None:
        """Add a request of `work` seconds of a warm core at speed 1; return its end, or None if the queue is full."""
        waiting = self.queue_length(now)
        start = self.next_core_free_at(now)
        if start > now and waiting >= self.capacity.queue_limit:
            self.rejected += 1
            return None
        slowdown = 1.0 + self.capacity.queue_slowdown * waiting / self.capacity.cores
        done = start + work * slowdown / (self.capacity.speed * self.warm_up_factor(now))
        heapq.heapreplace(self._core_free_times, done)
        if start > now:
            self._queued_start_times.append(start)
            self.max_queue_length = max(self.max_queue_length, waiting + 1)
        self.served += 1
        return done
