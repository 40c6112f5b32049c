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
        "relative_latency",
        "latency_updated_at",
        "in_flight",
        "last_response_at",
        "latest_answered_sent_at",
        "loss_rates",
        "consecutive_failures",
        "backoff_until",
        "held_slots_until",
        "next_turn_at",
        "turn_interval",
        "rank",
        "response_count",
        "consecutive_overloads",
    )

    def __init__(self, entry: interface.WorkerEntry, slow: float, now: float, rank: float) -> None:
        self.entry = entry
        self.rank = rank  # drawn by chance: a gateway among many keeps to the first few
        self.usable = False
        self.relative_latency = slow  # answer time over the usual one
        self.latency_updated_at = now
        self.in_flight: dict[tuple[str, int], float] = {}
        self.last_response_at = self.latest_answered_sent_at = (
            now  # the last answer; when the latest-sent of those answered was sent
        )
        self.loss_rates: dict[str, tuple[float, float]] = {}  # by class: share left unanswered, and as of when
        self.consecutive_failures = 0
        self.response_count = self.consecutive_overloads = 0  # answers ever; refusals as full since the last
        self.backoff_until = 0.0
        self.next_turn_at: float | None = None  # when this gateway may next send to it while it is too cold for all
        self.turn_interval = 0.0
        self.held_slots_until: deque[float] = deque()  # ends of the places that time-outs and refusals still hold

    def is_suspect(self) -> bool:
        """Whether it failed last, or has turned away all lately."""
        return bool(self.consecutive_failures) or self.consecutive_overloads > 1

    def record_failure(self, now: float, sudden: bool, seldom: bool) -> None:
        """An error or a time-out; a sudden one puts it out at once, others after some in a row."""
        self.consecutive_failures += 1
        if sudden or self.consecutive_failures >= FAILS:
            doublings = self.consecutive_failures - (1 if sudden else FAILS)
            self.backoff_until = now + min(
                LONGEST_BACKOFF * (SELDOM if seldom else 1.0), BACKOFF * 2 ** min(doublings, 10)
            )

    def record_overload(self, now: float) -> None:
        """A refusal as full: after two with no answer between, as of one that drains unannounced, others go first."""
        self.consecutive_overloads += 1
        if self.consecutive_overloads > 1:
            self.backoff_until = now + min(LONGEST_BACKOFF, BACKOFF * 2 ** min(self.consecutive_overloads - 2, 10))

    def slowness(self, now: float) -> float:
        """Its answer time over the usual; an old judgement fades, so that it is tried again."""
        return 1.0 + (self.relative_latency - 1.0) * math.exp((self.latency_updated_at - now) / FORGET)

    def loss_rate(self, now: float, klass: str) -> float:
        """The share of a class that it leaves unanswered; it fades, so that it is tried again."""
        if klass not in self.loss_rates:
            return 0.0
        loss, at = self.loss_rates[klass]
        return loss * math.exp((at - now) / FORGET)

    def record_loss(self, now: float, klass: str, lost: bool, weight: float) -> None:
        """One of a class went unanswered, or was answered."""
        loss = self.loss_rate(now, klass)
        self.loss_rates[klass] = loss + weight * (lost - loss), now
