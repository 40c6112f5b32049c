"""How much one gateway may ask of a counter that all share and that bears few calls, learned from its answers.

The level says whom to count: customers stand in one order that all gateways reckon alike, and those below it are
counted. A customer that some gateways count and others do not is worse off than one that none counts, so that what
matters most is that all have one level. It follows the time that answers take, on average over the last ones: all
gateways see one line, and what each saw before is soon forgotten. (A level that each raises by steps and lowers by a
factor, as congestion windows are, drifted apart by a fifth of itself within 20 s: no gateway sees enough answers.)

A counter that answers nothing at all, not even late, is silent, not crowded: the level stays, and only now and then
a call looks whether it is back.
"""

from __future__ import annotations

import math
from random import Random

from micagate import interface

LAST = 20  # answers that the average goes back (ours)
EASY, LEAST = 0.33, 0.02  # of the wait: what answers take while the level is full; what is left of that at least (ours)
STEEP = 0.25  # waits by which the average is longer where the level is down to a third (ours)
MISSED = 2.0  # waits: what counts for an answer that did not come in time
SLOW = 0.5  # of the wait: an answer that takes longer is late
HOLD, ROW = 0.1, 3  # seconds, and up to thrice that, without calls after so many in a row that were late (ours)
SILENT, UNHEARD = 0.25, 3  # seconds without an answer, and calls: then it is silent
LOOK = 0.4  # seconds between looks at a silent counter, at random up to twice that


class Budget:
    """One gateway's level: up to `most`."""

    def __init__(self, now: float, most: float, wait: float, random: Random) -> None:
        self.most, self._wait, self._random = most, wait, random
        self._took = 0.0  # the average, in waits
        self._heard, self._unheard, self._look = now, 0, now
        self._row, self._held = 0, now

    @property
    def level(self) -> float:
        """Which customers are counted: those below it in their order."""
        return self.most * min(1.0, max(LEAST, math.exp((EASY - self._took) / STEEP)))

    def heard(self, now: float, status: str, took: float) -> None:
        """An answer, or that none came in time."""
        if status == interface.LATE_RESPONSE:
            self._heard, self._unheard = now, 0
            return  # it counted when it had timed out
        bad = status != interface.SUCCESS or took > SLOW * self._wait
        self._row = self._row + 1 if bad else 0
        if self._row >= ROW:
            # Guards against a line that stays as long as callers wait, where each call is worked off too late.
            self._row, self._held = 0, now + HOLD * (1 + 2 * self._random.random())
        if status in (interface.TIMED_OUT, interface.UNREACHABLE):
            self._unheard += 1
        else:
            self._heard, self._unheard = now, 0
        if not self.silent(now):
            self._took += ((took / self._wait if status == interface.SUCCESS else MISSED) - self._took) / LAST

    def silent(self, now: float) -> bool:
        """Whether nothing has been answered lately."""
        return self._unheard >= UNHEARD and now - self._heard > SILENT

    def may(self, now: float) -> bool:
        """Whether a call may be made now; of a silent counter only a look."""
        if now < self._held:
            return False
        if not self.silent(now):
            return True
        if now < self._look:
            return False
        self._look = now + LOOK * (1 + self._random.random())
        return True
