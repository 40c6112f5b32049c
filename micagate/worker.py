"""A worker as a gateway knows it, and what fades of that. Decides nothing."""

from __future__ import annotations

import math
from collections import deque

from micagate import interface

FORGET = 10.0  # seconds in which an old judgement of a worker's speed, or of what it loses, fades (ours)

BACKOFF, LONGEST_BACKOFF = 0.25, 4.0  # seconds before the first and any later trial of a failing worker (ours)
SELDOM = 4.0  # times the longest where many gateways each meet a worker seldom: all of them try it
FAILS = 3  # errors or time-outs in a row that make a worker suspect


class Worker:
    """A worker as this gateway knows it."""

    __slots__ = (
        "entry",
        "usable",
        "slow",
        "learned",
        "out",
        "heard",
        "latest",
        "losses",
        "fails",
        "until",
        "held",
        "turn",
        "pause",
        "rank",
        "answers",
        "fulls",
    )

    def __init__(self, entry: interface.WorkerEntry, slow: float, now: float, rank: float) -> None:
        self.entry = entry
        self.rank = rank  # drawn by chance: a gateway among many keeps to the first few
        self.usable = False
        self.slow = slow  # answer time over the usual one
        self.learned = now
        self.out: dict[tuple[str, int], float] = {}
        self.heard = self.latest = now  # the last answer; when the latest-sent of those answered was sent
        self.losses: dict[str, tuple[float, float]] = {}  # by class: share left unanswered, and as of when
        self.fails = 0
        self.answers = self.fulls = 0  # answers ever; refusals as full since the last
        self.until = 0.0
        self.turn: float | None = None  # when this gateway may next send to it while it is too cold for all
        self.pause = 0.0
        self.held: deque[float] = deque()  # ends of the places that time-outs and refusals still hold

    def suspect(self) -> bool:
        """Whether it failed last, or has turned away all lately."""
        return bool(self.fails) or self.fulls > 1

    def failed(self, now: float, sudden: bool, seldom: bool) -> None:
        """An error or a time-out; a sudden one puts it out at once, others after some in a row."""
        self.fails += 1
        if sudden or self.fails >= FAILS:
            doublings = self.fails - (1 if sudden else FAILS)
            self.until = now + min(LONGEST_BACKOFF * (SELDOM if seldom else 1.0), BACKOFF * 2 ** min(doublings, 10))

    def turned_away(self, now: float) -> None:
        """A refusal as full: after two with no answer between, as of one that drains unannounced, others go first."""
        self.fulls += 1
        if self.fulls > 1:
            self.until = now + min(LONGEST_BACKOFF, BACKOFF * 2 ** min(self.fulls - 2, 10))

    def slowness(self, now: float) -> float:
        """Its answer time over the usual; an old judgement fades, so that it is tried again."""
        return 1.0 + (self.slow - 1.0) * math.exp((self.learned - now) / FORGET)

    def loss(self, now: float, klass: str) -> float:
        """The share of a class that it leaves unanswered; it fades, so that it is tried again."""
        if klass not in self.losses:
            return 0.0
        loss, at = self.losses[klass]
        return loss * math.exp((at - now) / FORGET)

    def lose(self, now: float, klass: str, lost: bool, weight: float) -> None:
        """One of a class went unanswered, or was answered."""
        loss = self.loss(now, klass)
        self.losses[klass] = loss + weight * (lost - loss), now
