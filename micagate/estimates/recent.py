"""What the last answers of all workers together took, of the times in which they were wanted."""

from __future__ import annotations

import math

SPELL = 2.0  # seconds in which an answer is forgotten
BRISK = 0.2  # of the aim: pooled answer time under which answers are brisk


class Recent:
    """Times of the last answers, their aims, and the aims of attempts that were given up; all in seconds."""

    def __init__(self, now: float) -> None:
        self._at, self._took, self._aims, self._missed = now, 0.0, 0.0, 0.0

    def _add(self, now: float, took: float, aim: float, missed: float) -> None:
        old_took, old_aims, old_missed = self.at(now)
        self._at = now
        self._took, self._aims, self._missed = old_took + took, old_aims + aim, old_missed + missed

    def answered(self, now: float, took: float, aim: float) -> None:
        """An answer came."""
        self._add(now, took, aim, 0.0)

    def missed(self, now: float, aim: float) -> None:
        """An attempt passed its aim in silence."""
        self._add(now, 0.0, 0.0, aim)

    def at(self, now: float) -> tuple[float, float, float]:
        """What answers took, their aims, and the aims of what was missed, as far as they count now."""
        fade = math.exp((self._at - now) / SPELL)
        return self._took * fade, self._aims * fade, self._missed * fade

    def lossy(self) -> bool:
        """Whether silence tells of lost answers, not of load: those that come are brisk and no fewer.

        Guards against control over losses of the network, hung and dying workers. Harm: where part of the
        fleet is overloaded and the rest is not, silence starts control only by what comes late.
        """
        return self._took < BRISK * self._aims and self._missed <= self._aims
