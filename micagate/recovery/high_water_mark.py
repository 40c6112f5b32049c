"""High-water marks of spending: persisted lower bounds of the local share of a ceiling. See `write_ahead`."""

from __future__ import annotations

from typing import NamedTuple


class HighWaterMark(NamedTuple):
    """A lower bound of an account's ceiling balance: at least `level` units from `since` on, in the caller's time.

    The bound rises by `rate` units a second up to `max_level`, which is less than the local share, so that requests of
    an account that was idle for long need not wait for its next mark. A negative level counts as 0 until it has risen.
    """

    key: str
    level: float
    since: float
    max_level: float
    rate: float

    def level_at(self, now: float) -> float:
        """Return the lower bound of the account's balance at `now`, in units."""
        return max(0.0, min(self.max_level, self.level + max(0.0, now - self.since) * self.rate))
