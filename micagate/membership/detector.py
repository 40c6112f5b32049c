"""When a silence is unusual: by a fixed time, or by how signs of life came so far (phi accrual).

Hayashibara and others, "The phi accrual failure detector" (2004): phi is minus the decimal logarithm of the chance that
the next sign comes later still, with the times between signs taken to be normally distributed.
"""

from __future__ import annotations

import math

LEARN = 0.1  # weight of a new interval
SUSPECT = 8.0  # phi from which a silence is unusual: one in 10^8 (the paper's example)
LEAST_SPREAD = 0.15  # of the interval: signs that came evenly so far may still come unevenly (ours)


class Arrivals:
    """The signs of life on one link; `least` and `most` bound how long a silence is unusual, in intervals."""

    def __init__(self, now: float, interval: float, least: float, most: float) -> None:
        self._interval, self._least, self._most = interval, least * interval, most * interval
        self.mean, self._variance = interval, (interval / 2) ** 2
        self.last = now

    def came(self, now: float) -> None:
        """A sign of life."""
        gap = now - self.last
        self.last = now
        if gap <= self._most:  # a pause that was a failure is no interval
            self.mean += LEARN * (gap - self.mean)
            self._variance += LEARN * ((gap - self.mean) ** 2 - self._variance)

    def phi(self, now: float) -> float:
        """How unusual the silence is."""
        spread = max(math.sqrt(self._variance), LEAST_SPREAD * self._interval)
        later = 0.5 * math.erfc((now - self.last - self.mean) / spread / math.sqrt(2))
        return -math.log10(later) if later > 0 else math.inf

    def unusual(self, now: float, slack: float = 1.0) -> bool:
        """Whether nothing was heard for too long; `slack` times as long where this side itself is late."""
        silence = (now - self.last) / slack
        if silence <= self._least:
            return False
        return silence > self._most or self.phi(self.last + silence) > SUSPECT
