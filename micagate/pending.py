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
        "sent",
        "status",
        "signalled",
        "account",
        "timers",
        "counted",
        "group",
    )

    def __init__(
        self, entry: interface.WorkerEntry, klass: interface.RequestClass, sent: float, pending: Pending
    ) -> None:
        self.worker, self.zone, self.cell = entry.worker, entry.zone, entry.cell
        self.klass, self.sent, self.account = klass, sent, pending.account
        self.group = pending  # the request's, also when that is over
        self.status, self.signalled = "", False
        self.timers: list[int] = []
        self.counted = True  # among what its customer has out

    def end(self, took: float) -> None:
        """It is out no more, after `took` seconds, which are averaged with its customer's others."""
        self.free()
        account = self.account
        account.took += (took - account.took) * (TOOK if account.took else 1.0)

    def free(self) -> None:
        """Count it no more among what its customer has out."""
        if self.counted:
            self.counted = False
            self.account.out -= 1


class Pending:
    """A request that is owed its end."""

    __slots__ = (
        "request",
        "klass",
        "account",
        "deadline",
        "inside",
        "attempts",
        "streaming",
        "timer",
        "call",
        "whole",
        "kept",
        "counted",
    )

    def __init__(
        self, request: interface.Request, klass: interface.RequestClass, account: Account, deadline: float
    ) -> None:
        self.request, self.klass, self.account, self.deadline = request, klass, account, deadline
        self.inside, self.streaming = True, False
        self.attempts: list[Attempt] = []
        self.timer = 0
        self.whole, self.kept = request.complete, True
        if not request.complete:
            self.deadline = math.inf  # its time has not begun
        self.call: Call | None = None  # that counted it
        self.counted = False  # its units stand on the counter, and not in the part of the ceiling here
