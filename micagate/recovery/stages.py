"""The stages in which a starting gateway returns to service: what it waits for at each, and when it serves clients.

memory > peers > list > planners > room > gather > open. Each stage has a timeout, so that every start ends. At `room`
the gateway waits until all reachable members know that it is back, so that none uses its share of the capacity of
a worker in slow start. At `gather` members that lost power together wait for each other, so that the first one does
not get all clients. A gateway that restarts alone serves at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

MEMORY, PEERS, LIST, PLANNERS, ROOM, GATHER, OPEN = "memory", "peers", "list", "planners", "room", "gather", "open"
ORDER = (MEMORY, PEERS, LIST, PLANNERS, ROOM, GATHER, OPEN)


@dataclass(frozen=True, slots=True)
class Limits:
    """The timeout of each stage in seconds; 0 does not wait.

    `memory`: reading the persisted state. `peers`: answers of the other members. `list`: the list of workers.
    `planners`: the expiry of leases of the previous incarnation. `room` and `gather`: see the module.
    """

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

    def limit(self, stage: str) -> float:
        """Return the timeout of a stage."""
        value: float = getattr(self, stage)
        return value


@dataclass(frozen=True, slots=True)
class CompletedStage:
    """A completed stage: its duration in seconds, and what was still missing if it timed out."""

    stage: str
    duration: float
    missing: str = ""


class StartProgress:
    """The progress of one start through its stages."""

    def __init__(self, now: float, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.stage, self._stage_started_at = MEMORY, now
        self.waits_for = ""
        self.completed: list[CompletedStage] = []
        self.started_at = now

    @property
    def is_open(self) -> bool:
        """Whether the gateway serves clients."""
        return self.stage == OPEN

    def advance(self, now: float, pending: Mapping[str, str]) -> str:
        """Advance through the stages that are complete or timed out, and return the present stage.

        `pending` says for each stage what it waits for; a stage that is missing or empty is complete.
        """
        while self.stage != OPEN:
            missing = pending.get(self.stage, "")
            if missing and now - self._stage_started_at < self.limits.limit(self.stage):
                self.waits_for = missing
                return self.stage
            self.completed.append(CompletedStage(self.stage, now - self._stage_started_at, missing))
            self.stage = ORDER[ORDER.index(self.stage) + 1]
            self._stage_started_at = now
        self.waits_for = ""
        return self.stage

    def return_to(self, now: float, stage: str) -> None:
        """Go back to an earlier stage whose result proved wrong; does nothing once the gateway serves clients."""
        if self.stage != OPEN and ORDER.index(stage) < ORDER.index(self.stage):
            self.stage, self._stage_started_at = stage, now


def pending_peers(member: str, others: Iterable[tuple[str, str, bool]]) -> str:
    """Return the names of the members that a gateway at `gather` waits for, comma-separated, empty if none.

    `others` has the name and stage of each live member, and whether it started at the same time. If a member that
    started earlier serves, it takes the clients meanwhile, and the gateway waits for nobody.
    """
    pending = []
    for name, stage, is_simultaneous in others:
        if stage == OPEN and not is_simultaneous:
            return ""
        if is_simultaneous and stage not in (GATHER, OPEN):
            pending.append(name)
    return ", ".join(pending)
