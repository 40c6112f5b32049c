"""A failure detector that decides when a heartbeat is overdue: by fixed bounds, and by the intervals so far.

Hayashibara and others, "The phi accrual failure detector" (2004): phi is minus the decimal logarithm of the probability
that the next heartbeat arrives even later, if the intervals are normally distributed.
"""

from __future__ import annotations

import math

INTERVAL_WEIGHT = 0.1  # weight of a new interval
PHI_THRESHOLD = 8.0  # phi above which a heartbeat is overdue: a probability of 1 in 10^8 (the paper's example)
MIN_DEVIATION_FRACTION = 0.15  # least standard deviation, of the interval: even arrivals so far may become uneven


class PhiAccrualDetector:
    """The heartbeat arrivals on one link.

    A heartbeat is never overdue within `min_intervals` of the last one, and always after `max_intervals`.
    """

    def __init__(self, now: float, interval: float, min_intervals: float, max_intervals: float) -> None:
        self._interval, self._min_silence, self._max_silence = (
            interval,
            min_intervals * interval,
            max_intervals * interval,
        )
        self.mean, self._variance = interval, (interval / 2) ** 2
        self.last_arrival = now

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a heartbeat or other message."""
        gap = now - self.last_arrival
        self.last_arrival = now
        if gap <= self._max_silence:  # a longer gap was a failure and would distort the mean
            self.mean += INTERVAL_WEIGHT * (gap - self.mean)
            self._variance += INTERVAL_WEIGHT * ((gap - self.mean) ** 2 - self._variance)

    def phi(self, now: float) -> float:
        """Return phi for the time since the last arrival."""
        deviation = max(math.sqrt(self._variance), MIN_DEVIATION_FRACTION * self._interval)
        probability = 0.5 * math.erfc((now - self.last_arrival - self.mean) / deviation / math.sqrt(2))
        return -math.log10(probability) if probability > 0 else math.inf

    def is_overdue(self, now: float, tolerance: float = 1.0) -> bool:
        """Return whether a heartbeat is overdue; all bounds are `tolerance` times as long if this side is late."""
        elapsed = (now - self.last_arrival) / tolerance
        if elapsed <= self._min_silence:
            return False
        return elapsed > self._max_silence or self.phi(self.last_arrival + elapsed) > PHI_THRESHOLD
