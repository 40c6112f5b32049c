"""In which order a gateway that starts returns to service, what it waits for at each stage, and when it opens.

memory > peers > list > planners > room > gather > open. Each stage has a longest time of its own, so each start ends.
The last two are the fleet's: at `room` all others that can be reached have heard that this one is here, so that
nobody uses its part of a cold worker's room; at `gather` those that lost power together open together, so that the
first one up is not met by all clients. Who comes back alone opens at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

MEMORY, PEERS, LIST, PLANNERS, ROOM, GATHER, OPEN = "memory", "peers", "list", "planners", "room", "gather", "open"
ORDER = (MEMORY, PEERS, LIST, PLANNERS, ROOM, GATHER, OPEN)


@dataclass(frozen=True, slots=True)
class Limits:
    """The longest that a start waits at each stage, seconds; 0 does not wait."""

    memory: float = 3.0
    peers: float = 0.6
    list: float = 2.0
    planners: float = 1.2
    room: float = 0.3
    gather: float = 0.4

    def __post_init__(self) -> None:
        for each in fields(self):
            value = getattr(self, each.name)
            if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < math.inf:
                raise ValueError(f"{each.name} must be a number of at least 0, not {value!r}")

    def of(self, stage: str) -> float:
        """A stage's."""
        value: float = getattr(self, stage)
        return value


@dataclass(frozen=True, slots=True)
class Over:
    """A stage that is over: how long it took, and what was still missing, if its time ran out."""

    stage: str
    took: float
    missing: str = ""


class Recovery:
    """One start. `waits` says, at each look, what the present stage still waits for: nothing, and it is over."""

    def __init__(self, now: float, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.stage, self._since = MEMORY, now
        self.waits_for = ""
        self.over: list[Over] = []
        self.began = now

    @property
    def open(self) -> bool:
        """Whether clients are served."""
        return self.stage == OPEN

    def look(self, now: float, waits: Mapping[str, str]) -> str:
        """Go on as far as may be; the stage. `waits` has what each stage waits for, empty or left out: nothing."""
        while self.stage != OPEN:
            missing = waits.get(self.stage, "")
            if missing and now - self._since < self.limits.of(self.stage):
                self.waits_for = missing
                return self.stage
            self.over.append(Over(self.stage, now - self._since, missing))
            self.stage = ORDER[ORDER.index(self.stage) + 1]
            self._since = now
        self.waits_for = ""
        return self.stage

    def back(self, now: float, stage: str) -> None:
        """Begin anew at a stage, for what turned out to be wrong before it; not once clients are served."""
        if self.stage != OPEN and ORDER.index(stage) < ORDER.index(self.stage):
            self.stage, self._since = stage, now


def gathers(mine: str, others: Iterable[tuple[str, str, bool]]) -> str:
    """Whom a gateway at `gather` waits for, in words; empty: nobody.

    `others`: name, stage, and whether it started in the same moment, of those that are there. One of an earlier start
    that serves takes the clients meanwhile: then nobody is waited for.
    """
    late = []
    for name, stage, together in others:
        if stage == OPEN and not together:
            return ""
        if together and stage not in (GATHER, OPEN):
            late.append(name)
    return ", ".join(late)
