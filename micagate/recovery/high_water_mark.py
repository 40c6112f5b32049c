"""A mark: what a part of a ceiling holds at the least from some time on. See `write_ahead`."""

from __future__ import annotations

from typing import NamedTuple


class Mark(NamedTuple):
    """From `at` on (seconds on the caller's clock) the account `key` is to stay at `level` units or above.

    That fills at `rate` up to `top`, which is less than the whole part, so that an account that has long been idle
    may be spent from without waiting for its next mark. A level below 0 is one of 0 that begins to fill later.
    """

    key: str
    level: float
    at: float
    top: float
    rate: float

    def stands(self, now: float) -> float:
        """What the account holds at the least."""
        return max(0.0, min(self.top, self.level + max(0.0, now - self.at) * self.rate))
