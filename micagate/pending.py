"""Requests and attempts that are not over. Decides nothing."""

from __future__ import annotations

import math

from micagate import interface
from micagate.accounts import Account
from micagate.counting.counting import Call

TOOK = 0.1  # weight of an attempt in how long a customer's are on average


class Attempt:
    """An attempt until its outcome has come."""

    __slots__ = (
        "worker",
        "zone",
        "cell",
        "klass",
        "sent_at",
        "status",
        "overload_signalled",
        "account",
        "timers",
        "holds_slot",
        "pending",
    )

    def __init__(
        self, entry: interface.WorkerEntry, klass: interface.RequestClass, sent: float, pending: Pending
    ) -> None:
        self.worker, self.zone, self.cell = entry.worker, entry.zone, entry.cell
        self.klass, self.sent_at, self.account = klass, sent, pending.account
        self.pending = pending  # the request's, also when that is over
        self.status, self.overload_signalled = "", False
        self.timers: list[int] = []
        self.holds_slot = True  # among what its customer has out

    def finish(self, took: float) -> None:
        """It is out no more, after `took` seconds, which are averaged with its customer's others."""
        self.release_slot()
        account = self.account
        account.mean_duration += (took - account.mean_duration) * (TOOK if account.mean_duration else 1.0)

    def release_slot(self) -> None:
        """Count it no more among what its customer has out."""
        if self.holds_slot:
            self.holds_slot = False
            self.account.in_flight -= 1


class Pending:
    """A request that is owed its end."""

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
        self.timer = 0
        self.complete, self.retryable = request.complete, True
        if not request.complete:
            self.deadline = math.inf  # its time has not begun
        self.counter_call: Call | None = None  # that counted it
        self.on_counter = False  # its units stand on the counter, and not in the part of the ceiling here
