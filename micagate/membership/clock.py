"""A hybrid logical clock: stamps that order what was said, near the wall's time, whatever the walls' clocks do.

Kulkarni and others, "Logical Physical Clocks" (2014): a stamp is (milliseconds, count, who); it is above all that its
maker has made or heard of. A clock that is stepped back goes on from the last stamp; one that is stepped ahead takes
the others with it, and all that is said from then on is still said later.
"""

from __future__ import annotations

Stamp = tuple[int, int, str]

FIRST: Stamp = (0, 0, "")


class HybridClock:
    """One member's."""

    def __init__(self, who: str, last: Stamp = FIRST) -> None:
        self._who, self._ms, self._count = who, last[0], last[1]

    def stamp(self, wall: float) -> Stamp:
        """A stamp for something that is said now; `wall` is Unix time in seconds."""
        ms = int(wall * 1000)
        if ms > self._ms:
            self._ms, self._count = ms, 0
        else:
            self._count += 1
        return self._ms, self._count, self._who

    def heard(self, stamp: Stamp) -> None:
        """Something with this stamp was heard: what is said from now on comes after it."""
        self._ms, self._count = max((self._ms, self._count), stamp[:2])
