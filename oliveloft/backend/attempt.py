"""An attempt, which is one send of a request to a worker, and the worker's response.

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
    """A worker's response; complete unless its body is streamed."""

    __slots__ = ("status", "headers", "body", "allowance_used", "not_processed", "head_received_at")

    def __init__(self) -> None:
        self.status = 0
        self.headers = bytearray()  # end-to-end header lines, as they are forwarded to the client
        self.body = b""
        self.allowance_used: float | None = None  # X-Allowance-Used as a share (1.0: all of it)
        self.head_received_at = 0.0  # loop time
        self.not_processed = False  # X-Not-Processed: 1, the worker has not run the request


class Attempt:
    """One send of a request: written at most once, finished exactly once."""

    __slots__ = (
        "request",
        "number",
        "worker",
        "head",
        "body",
        "deadline",
        "started_at",
        "ended_at",
        "on_end",
        "state",
        "status",
        "connection",
        "timer",
        "repeat_until",
        "repeat_timer",
        "on_response",
        "on_written",
        "response_started_at",
    )

    def __init__(
        self,
        request: str,
        number: int,
        worker: str,
        head: bytes,
        body: bytes | Body,
        deadline: float,
        started_at: float,
        on_end: Callable[[Attempt, str, Response | None], None],
        on_response: Callable[[Attempt, Response, int | None, Connection], ResponseSink | None] | None = None,
        on_written: Callable[[Attempt], None] | None = None,
    ) -> None:
        self.request, self.number, self.worker = request, number, worker
        self.head, self.body, self.deadline, self.started_at = head, body, deadline, started_at
        self.on_end, self.on_response, self.on_written = on_end, on_response, on_written
        self.response_started_at: float | None = None  # loop time at which a streamed response started
        self.state = AttemptState.CONNECTING
        self.status: str | None = None  # a status of `interface`, once the attempt has ended
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.repeat_until: float | None = None  # loop time by which the last byte of a repeat has to arrive
        self.repeat_timer: asyncio.TimerHandle | None = None  # ends a repeat that has not arrived in time
        self.ended_at: float | None = None  # loop time

    @property
    def done(self) -> bool:
        """Whether the attempt has ended."""
        return self.state is AttemptState.OVER

    def finish(self, status: str, response: Response | None = None) -> None:
        """End the attempt and report its status; ignored if it has ended already."""
        if self.done:
            return
        self.state, self.status = AttemptState.OVER, status
        self.connection = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.repeat_timer is not None:
            self.repeat_timer.cancel()
            self.repeat_timer = None
        self.on_end(self, status, response)

    def cancel(self, status: str) -> None:
        """End the attempt early with this status, and close its connection, which tells the worker."""
        if self.done:
            return
        connection = self.connection
        if connection is not None:
            connection.attempt = None
            connection.close()
        self.finish(status)

    def withdraw(self) -> None:
        """End an attempt of which nothing is written; the connection being established is left for later attempts."""
        if self.connection is not None:
            self.connection.attempt = None
        self.finish(interface.NOT_SENT)

    def give_up_unless_arrived(self) -> None:
        """End the attempt if a part of its request has not arrived yet, so that the worker does not run it."""
        if self.is_unsent():
            self.withdraw()
        elif self.connection is not None:
            self.connection.fail_unless_arrived()

    def is_unsent(self) -> bool:
        """Whether nothing of the attempt has been written: its connection is still being established."""
        return not self.done and self.connection is not None and self.connection.transport is None

    def is_written(self) -> bool:
        """Whether all of the request has been written to the worker's connection."""
        return self.connection is not None and self.connection.request_written

    def has_arrived(self) -> bool:
        """Whether all of the request has arrived at the worker, or the attempt has ended."""
        return self.done or self.connection is not None and self.connection.has_arrived()

    def message(self, now: float) -> tuple[bytes, bytes]:
        """Head and body of the request as written to the worker, with the remaining time.

        The body is empty if it is streamed, which is written separately.
        """
        head = b"%bX-Timeout: %.3f\r\n\r\n" % (self.head, max(0.001, self.deadline - now))
        return head, self.body if isinstance(self.body, bytes) else b""

    def release_body(self) -> None:
        """Release a body that is not streamed: the request is over, and is not sent again."""
        if isinstance(self.body, bytes):
            self.body = b""
