"""State of the requests and attempts that have not ended. `micagate/gateway.py` makes all decisions on them."""

from __future__ import annotations

import math

from micagate import interface
from micagate.accounts import Account
from micagate.counting.counting import CounterCall

ACCOUNT_DURATION_WEIGHT = 0.1  # weight of a new attempt in the mean duration of its customer's attempts


class Attempt:
    """An attempt, from when it is sent until its outcome arrives. `status` is the outcome's, "" until then."""

    __slots__ = (
        "worker",
        "zone",
        "cell",
        "klass",
        "begun_at",
        "sent_at",
        "ended_at",
        "status",
        "overload_signalled",
        "account",
        "timers",
        "holds_slot",
        "pending",
    )

    def __init__(
        self, entry: interface.WorkerEntry, klass: interface.RequestClass, sent_at: float, pending: Pending
    ) -> None:
        self.worker, self.zone, self.cell = entry.worker, entry.zone, entry.cell
        self.klass, self.account = klass, pending.account
        # The first byte and the last one, which is later where the body is streamed.
        self.begun_at = self.sent_at = sent_at
        self.ended_at: float | None = None
        self.pending = pending  # stays set when the request has ended before the attempt
        self.status, self.overload_signalled = "", False  # at most one overload signal is recorded for an attempt
        self.timers: list[int] = []
        self.holds_slot = True  # whether it counts against its customer's concurrency limit

    def arrival_seconds(self, now: float) -> float:
        """Return the time that the request took at most to arrive at the worker, 0 for one with a short body."""
        if self.pending.request.complete and not self.pending.request.long_body:
            return 0.0
        return (now if self.ended_at is None else self.ended_at) - self.begun_at

    def finish(self, took: float) -> None:
        """Release the concurrency slot and add the duration, `took` seconds, to the customer's mean."""
        self.release_slot()
        account = self.account
        account.mean_duration += (took - account.mean_duration) * (
            ACCOUNT_DURATION_WEIGHT if account.mean_duration else 1.0
        )

    def release_slot(self) -> None:
        """Release the concurrency slot of its customer, once."""
        if self.holds_slot:
            self.holds_slot = False
            self.account.in_flight -= 1


class Pending:
    """A request without a final response yet. `deadline` is on the caller's clock, infinite until it is complete."""

    __slots__ = (
        "request",
        "klass",
        "account",
        "deadline",
        "within_quota",
        "attempts",
        "streaming",
        "timer",
        "counter_call",
        "complete",
        "retryable",
        "on_counter",
    )

    def __init__(
        self, request: interface.Request, klass: interface.RequestClass, account: Account, deadline: float
    ) -> None:
        self.request, self.klass, self.account, self.deadline = request, klass, account, deadline
        self.within_quota, self.streaming = True, False
        self.attempts: list[Attempt] = []
        self.timer = 0  # ref of the deadline timer; 0: none is set
        self.complete, self.retryable = request.complete, True
        if not request.complete:
            self.deadline = math.inf  # the deadline counts from the last byte
        self.counter_call: CounterCall | None = None  # the call to the shared counter that counted it
        self.on_counter = False  # its units are charged to the shared counter, not to the local share of the ceiling
