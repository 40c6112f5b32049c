"""One send of a request to an endpoint, and the answer to it.

An attempt ends exactly once, by `Attempt.finish`, whatever happens to its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from micagate import interface
from micagate.invariants import AttemptState
from oliveloft.bodies.body import Body
from oliveloft.shared_types import ResponseSink

if TYPE_CHECKING:
    from oliveloft.backend.connection import Connection


class Response:
    """A worker's whole answer."""

    __slots__ = ("status", "headers", "body", "used", "not_processed", "told")

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[bytes] = []  # end-to-end header lines, ready to go out
        self.body = b""
        self.used: float | None = None
        self.told = 0.0  # when its head came
        self.not_processed = False


class Attempt:
    """One send of a request: written at most once, finished exactly once."""

    __slots__ = (
        "request",
        "number",
        "worker",
        "head",
        "body",
        "deadline",
        "began",
        "report",
        "state",
        "status",
        "connection",
        "timer",
        "begins",
        "wrote",
        "first",
    )

    def __init__(
        self,
        request: str,
        number: int,
        worker: str,
        head: bytes,
        body: bytes | Body,
        deadline: float,
        began: float,
        report: Callable[[Attempt, str, Response | None], None],
        begins: Callable[[Attempt, Response, int | None, Connection], ResponseSink | None] | None = None,
        wrote: Callable[[Attempt], None] | None = None,
    ) -> None:
        self.request, self.number, self.worker = request, number, worker
        self.head, self.body, self.deadline, self.began = head, body, deadline, began
        self.report, self.begins, self.wrote = report, begins, wrote
        self.first: float | None = None  # when a long answer began
        self.state = AttemptState.CONNECTING
        self.status: str | None = None  # of `interface`, once it is over
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def done(self) -> bool:
        """Whether it has ended."""
        return self.state is AttemptState.OVER

    def finish(self, status: str, answer: Response | None = None) -> None:
        """End the attempt and report; a second end is none."""
        if self.done:
            return
        self.state, self.status = AttemptState.OVER, status
        self.connection = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.report(self, status, answer)

    def cancel(self, status: str) -> None:
        """Stop waiting: the worker learns of it by the close of its connection."""
        if self.done:
            return
        connection = self.connection
        if connection is not None:
            connection.attempt = None
            connection.close()
        self.finish(status)

    def withdraw(self) -> None:
        """End it before anything of it is written; the connection that is coming up for it is of use to others."""
        if self.connection is not None:
            self.connection.attempt = None
        self.finish(interface.NOT_SENT)

    def unsent(self) -> bool:
        """Whether nothing of it has been written: its connection is still coming up."""
        return not self.done and self.connection is not None and self.connection.transport is None

    def written(self) -> bool:
        """Whether the worker has all of the request."""
        return self.connection is not None and self.connection.wrote_all

    def message(self, now: float) -> bytes:
        """The request as it goes to the worker, with what is left of its time; a long body follows by itself."""
        body = self.body if isinstance(self.body, bytes) else b""
        return b"%bX-Timeout: %.3f\r\n\r\n%b" % (self.head, max(0.001, self.deadline - now), body)
