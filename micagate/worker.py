"""Holds what a gateway knows of one worker: its latency, losses, failures and attempts in flight.

`micagate/fleet.py` decides by it. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections import deque

from micagate import interface

DECAY_SECONDS = 10.0  # time constant with which the estimates of a worker's latency and losses return to normal
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.25, 4.0  # wait before the first and any later probe of a failing worker
# Factor of the longest backoff if gateways use subsets: many gateways probe each worker, each of them seldom.
SUBSET_BACKOFF_FACTOR = 4.0
FAILURES_BEFORE_BACKOFF = 3  # consecutive errors or timeouts after which a worker backs off


class Worker:
    """The state of one worker as this gateway sees it."""

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

    def __init__(self, entry: interface.WorkerEntry, relative_latency: float, now: float, rank: float) -> None:
        self.entry = entry
        self.rank = rank  # random position on the ring of workers, from 0 to 1 (`micagate/worker_subset.py`)
        self.usable = False  # it is listed, and healthy by the list
        self.relative_latency = relative_latency  # latency over the usual one of the class
        self.latency_updated_at = now
        self.in_flight: dict[tuple[str, int], float] = {}  # by request and attempt number: send time
        # The time of the last response, and the latest send time of an answered attempt.
        self.last_response_at = self.latest_answered_sent_at = now
        self.loss_rates: dict[str, tuple[float, float]] = {}  # by class: share of lost responses, and its time
        self.consecutive_failures = 0
        # All successful responses, and the rejections as overloaded since the last one.
        self.response_count = self.consecutive_overloads = 0
        self.backoff_until = 0.0
        self.next_turn_at: float | None = None  # next turn of this gateway during slow start
        self.turn_interval = 0.0  # seconds between two such turns
        self.held_slots_until: deque[float] = deque()  # attempts that failed count as in flight until then

    def is_suspect(self) -> bool:
        """Return whether its last attempt failed, or its last two or more were rejected as overloaded."""
        return bool(self.consecutive_failures) or self.consecutive_overloads > 1

    def record_failure(self, now: float, immediate: bool, in_partial_subset: bool) -> None:
        """Record an error or a timeout.

        An `immediate` failure starts the backoff at once, others after several in a row.
        """
        self.consecutive_failures += 1
        if immediate or self.consecutive_failures >= FAILURES_BEFORE_BACKOFF:
            doublings = self.consecutive_failures - (1 if immediate else FAILURES_BEFORE_BACKOFF)
            self.backoff_until = now + min(
                MAX_BACKOFF_SECONDS * (SUBSET_BACKOFF_FACTOR if in_partial_subset else 1.0),
                MIN_BACKOFF_SECONDS * 2 ** min(doublings, 10),
            )

    def record_overload(self, now: float) -> None:
        """Record a rejection as overloaded.

        After two without a response between, the worker backs off: it may be draining without notice.
        """
        self.consecutive_overloads += 1
        if self.consecutive_overloads > 1:
            self.backoff_until = now + min(
                MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2 ** min(self.consecutive_overloads - 2, 10)
            )

    def slowness(self, now: float) -> float:
        """Return its latency over the usual one. It decays towards 1, so that a slow worker is tried again."""
        return 1.0 + (self.relative_latency - 1.0) * math.exp((self.latency_updated_at - now) / DECAY_SECONDS)

    def loss_rate(self, now: float, klass: str) -> float:
        """Return its share of lost responses in a class. It decays towards 0, so that the worker is tried again."""
        if klass not in self.loss_rates:
            return 0.0
        loss_rate, updated_at = self.loss_rates[klass]
        return loss_rate * math.exp((updated_at - now) / DECAY_SECONDS)

    def record_loss(self, now: float, klass: str, lost: bool, weight: float) -> None:
        """Update the loss rate of a class with one attempt, lost or answered."""
        loss_rate = self.loss_rate(now, klass)
        self.loss_rates[klass] = loss_rate + weight * (lost - loss_rate), now
