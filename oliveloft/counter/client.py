"""Client of the shared counter service: pipelined calls in RESP2 over TCP, each with exactly one result.

A call ends as added (`success`, with the total), not added (`full`: rejected by the service; `unreachable`: never
sent as a whole) or possibly added (`timed_out`). If a total arrives after the timeout, it is reported in a second
result as `late`, so that the amount added is known. Replies on a connection come in the order of its calls (RESP,
"Request-Response model"); a reply that cannot be parsed closes the connection, since later replies could no longer be
matched to their calls.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from random import Random
from typing import cast

import hiredis

from micagate import interface

log = logging.getLogger("oliveloft")

INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 2.0  # upper bounds of the random delay before reconnecting
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_PENDING_CALLS = 512  # keeps a service that answers nothing from filling the memory

ResultCallback = Callable[[interface.CounterResult], None]


class PendingCall:
    """A call that waits for its reply, also after its timeout."""

    __slots__ = ("name", "started_at", "on_result", "timer", "ended")

    def __init__(self, name: int, started_at: float, on_result: ResultCallback) -> None:
        self.name, self.started_at = name, started_at
        self.on_result, self.ended = on_result, False
        self.timer: asyncio.TimerHandle | None = None

    def end(self, status: str, total: float, now: float) -> None:
        """Report the result; after a timeout only a late total is reported, as a second result."""
        if self.timer is not None:
            self.timer.cancel()
        if self.ended:
            status = interface.LATE_RESPONSE if status == interface.SUCCESS else ""
        self.ended = True
        if status:
            self.on_result(interface.CounterResult(self.name, status, total, now - self.started_at))


class Connection(asyncio.Protocol):
    """One connection to the counter service."""

    def __init__(self, counter: CounterClient) -> None:
        self._counter = counter
        self._reader = hiredis.Reader()
        self._pending: deque[PendingCall] = deque()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make the connection available for calls."""
        self.transport = cast(asyncio.Transport, transport)
        self._counter.on_connected(self)

    def send(self, pending: PendingCall, amount: float, ttl_seconds: float) -> None:
        """Write a call."""
        name, number = str(pending.name), f"{amount:.9f}"
        ttl_ms = str(max(1, round(ttl_seconds * 1000)))
        text = "*4\r\n$6\r\nADDGET\r\n" + "".join(f"${len(w)}\r\n{w}\r\n" for w in (name, number, ttl_ms))
        self._pending.append(pending)
        assert self.transport is not None
        self.transport.write(text.encode())

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def closed(self) -> bool:
        """Whether nothing can be written any more."""
        return self.transport is None or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Match the replies to the calls, in order."""
        now = self._counter.loop.time()
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                self._on_reply(reply, now)
        except (hiredis.HiredisError, ValueError) as error:
            log.warning("counter: %s", error)
            self.abort()

    def _on_reply(self, reply: object, now: float) -> None:
        if not self._pending:
            raise ValueError("reply without a pending call")
        if isinstance(reply, hiredis.ReplyError):
            if not str(reply).startswith("BUSY"):
                log.warning("counter: %s", reply)
            self._pending.popleft().end(interface.OVERLOADED, 0.0, now)
            return
        total = float(reply) if isinstance(reply, bytes) else math.nan
        if not math.isfinite(total):
            raise ValueError(f"reply is not a finite number: {reply!r}")
        self._pending.popleft().end(interface.SUCCESS, total, now)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the pending calls as timed out, since the service may have added their amounts."""
        self.transport = None
        self._counter.on_disconnected(self)
        now = self._counter.loop.time()
        while self._pending:
            self._pending.popleft().end(interface.TIMED_OUT, 0.0, now)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class CounterClient:
    """Client of the counter service at one address; a call waits at most `timeout_seconds`.

    After a failed connect the next one waits for a random time within a bound that doubles.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], timeout_seconds: float, seed: int
    ) -> None:
        self.loop, self._address, self._timeout_seconds = loop, address, timeout_seconds
        self._random = Random(seed)
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self._retry_at, self._failures, self._stopped = 0.0, 0, False
        self._start_connecting()

    def add(self, count: interface.CounterAdd, on_result: ResultCallback) -> None:
        """Send a call; `on_result` is called later, never from within this method."""
        pending = PendingCall(count.name, self.loop.time(), on_result)
        connection = self._connection
        if connection is not None and connection.closed:  # a connection may close without `connection_lost`
            self._connection = connection = None
        if connection is None or len(connection) >= MAX_PENDING_CALLS:
            if connection is None:
                self._start_connecting()
            self.loop.call_soon(pending.end, interface.UNREACHABLE, 0.0, pending.started_at)
            return
        pending.timer = self.loop.call_later(
            self._timeout_seconds, pending.end, interface.TIMED_OUT, 0.0, pending.started_at + self._timeout_seconds
        )
        connection.send(pending, count.amount, count.ttl)

    def change_address(self, address: tuple[str, int]) -> None:
        """Use another address from now on; a connection to the earlier one is closed."""
        if address != self._address:
            self._address, self._failures, self._retry_at = address, 0, 0.0
            if self._connection is not None:
                self._connection.abort()

    def stop(self) -> None:
        """Close the connection and make no further one."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.abort()

    def _start_connecting(self) -> None:
        """Connect, unless that is under way or the delay after a failure is not over."""
        if self._task is None and not self._stopped and self.loop.time() >= self._retry_at:
            self._task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        connection = Connection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self.loop.create_connection(lambda: connection, *self._address)
        except (OSError, TimeoutError) as error:
            # The connection may have been established at the very moment of the timeout. The event loop then closes
            # it without a call to `connection_lost`.
            self.on_disconnected(connection)
            connection.abort()
            backoff_bound = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**self._failures)
            self._failures = min(10, self._failures + 1)
            self._retry_at = self.loop.time() + backoff_bound * self._random.random()
            log.warning("counter: %s", "connect timed out" if isinstance(error, TimeoutError) else error)
        finally:
            self._task = None

    def on_connected(self, connection: Connection) -> None:
        """Use a connection that has been established."""
        self._connection, self._failures = connection, 0

    def on_disconnected(self, connection: Connection) -> None:
        """Stop using a connection that has closed."""
        if self._connection is connection:
            self._connection = None
