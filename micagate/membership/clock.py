"""A hybrid logical clock: stamps close to wall time that stay ordered even if wall clocks are wrong or stepped.

Kulkarni and others, "Logical Physical Clocks" (2014). A stamp is (milliseconds, count, member name) and is greater than
all stamps that its member has made or received before. After a wall clock is stepped back, stamps go on from the last
one; a clock that is stepped ahead takes the other members' stamps with it, and later stamps are still greater.
"""

from __future__ import annotations

Stamp = tuple[int, int, str]

ZERO_STAMP: Stamp = (0, 0, "")


class HybridClock:
    """The clock of one member."""

    def __init__(self, name: str, last_stamp: Stamp = ZERO_STAMP) -> None:
        self._name, self._ms, self._count = name, last_stamp[0], last_stamp[1]

    def stamp(self, wall: float) -> Stamp:
        """Return a stamp for an event now; `wall` is Unix time in seconds."""
        ms = int(wall * 1000)
        if ms > self._ms:
            self._ms, self._count = ms, 0
        else:
            self._count += 1
        return self._ms, self._count, self._name

    def observe(self, stamp: Stamp) -> None:
        """Record a received stamp: all further stamps are greater."""
        self._ms, self._count = max((self._ms, self._count), stamp[:2])
