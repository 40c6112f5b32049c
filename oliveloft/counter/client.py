"""A client of the counter: RESP2 over TCP, calls one behind another, each answered once.

A call ends as added (`success`, with the total), not added (`full`: turned away; `unreachable`: it never went out
whole) or may have been added (`timed_out`). A total that comes later than the wait is told once more, as `late`: then
it is known what was added. The answers on a connection come in the order of its calls (RESP, "Request-Response
model"); one that cannot be read ends the connection, as nothing behind it can be told apart.
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

AGAIN, LONGEST = 0.05, 2.0  # seconds within which a connection is made anew at first, and in the end
CONNECT_SECONDS = 1.0  # that a connection has to come up
MOST = 512  # calls that may be out: a counter that answers nothing must not fill the memory

Heard = Callable[[interface.CounterResult], None]


class Pending:
    """A call until its answer, or until its wait is over."""

    __slots__ = ("name", "began", "heard", "timer", "over")

    def __init__(self, name: int, began: float, heard: Heard) -> None:
        self.name, self.began = name, began
        self.heard, self.over = heard, False
        self.timer: asyncio.TimerHandle | None = None

    def end(self, status: str, total: float, now: float) -> None:
        """Its one answer; after a time-out the total that came late."""
        if self.timer is not None:
            self.timer.cancel()
        if self.over:
            status = interface.LATE_RESPONSE if status == interface.SUCCESS else ""
        self.over = True
        if status:
            self.heard(interface.CounterResult(self.name, status, total, now - self.began))


class Line(asyncio.Protocol):
    """One connection."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._reader = hiredis.Reader()
        self._waiting: deque[Pending] = deque()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Calls may go from now on."""
        self.transport = cast(asyncio.Transport, transport)
        self._counter.up(self)

    def call(self, pending: Pending, amount: float, life: float) -> None:
        """Write a call."""
        name, number = str(pending.name), f"{amount:.9f}"
        life_ms = str(max(1, round(life * 1000)))
        text = "*4\r\n$6\r\nADDGET\r\n" + "".join(f"${len(w)}\r\n{w}\r\n" for w in (name, number, life_ms))
        self._waiting.append(pending)
        assert self.transport is not None
        self.transport.write(text.encode())

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def closed(self) -> bool:
        """Whether nothing can be written any more."""
        return self.transport is None or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Answers, in the order of the calls."""
        now = self._counter.loop.time()
        try:
            self._reader.feed(data)
            while (answer := self._reader.gets()) is not False:
                self._answer(answer, now)
        except (hiredis.HiredisError, ValueError) as error:
            log.warning("counter: %s", error)
            self.drop()

    def _answer(self, answer: object, now: float) -> None:
        if not self._waiting:
            raise ValueError("an answer to no call")
        if isinstance(answer, hiredis.ReplyError):
            if not str(answer).startswith("BUSY"):
                log.warning("counter: %s", answer)
            self._waiting.popleft().end(interface.OVERLOADED, 0.0, now)
            return
        total = float(answer) if isinstance(answer, bytes) else math.nan
        if not math.isfinite(total):
            raise ValueError(f"no total: {answer!r}")
        self._waiting.popleft().end(interface.SUCCESS, total, now)

    def connection_lost(self, exc: Exception | None) -> None:
        """What was written whole may have been added."""
        self.transport = None
        self._counter.down(self)
        now = self._counter.loop.time()
        while self._waiting:
            self._waiting.popleft().end(interface.TIMED_OUT, 0.0, now)

    def drop(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class Counter:
    """The counter at one address; `call` never waits longer than `wait` seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], wait: float, seed: int) -> None:
        self.loop, self._where, self._wait = loop, where, wait
        self._random = Random(seed)
        self._line: Line | None = None
        self._task: asyncio.Task[None] | None = None
        self._after, self._tries, self._stopped = 0.0, 0, False
        self._open()

    def call(self, count: interface.CounterAdd, heard: Heard) -> None:
        """Make a call; `heard` is called once, later."""
        pending = Pending(count.name, self.loop.time(), heard)
        line = self._line
        if line is not None and line.closed:  # a connection may end with no word of it
            self._line = line = None
        if line is None or len(line) >= MOST:
            if line is None:
                self._open()
            self.loop.call_soon(pending.end, interface.UNREACHABLE, 0.0, pending.began)
            return
        pending.timer = self.loop.call_later(
            self._wait, pending.end, interface.TIMED_OUT, 0.0, pending.began + self._wait
        )
        line.call(pending, count.amount, count.ttl)

    def move(self, where: tuple[str, int]) -> None:
        """It is at another address from now on."""
        if where != self._where:
            self._where, self._tries, self._after = where, 0, 0.0
            if self._line is not None:
                self._line.drop()

    def stop(self) -> None:
        """Call no more."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
        if self._line is not None:
            self._line.drop()

    def _open(self) -> None:
        """Connect, unless that has just failed: then at random within a bound that doubles."""
        if self._task is None and not self._stopped and self.loop.time() >= self._after:
            self._task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        line = Line(self)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await self.loop.create_connection(lambda: line, *self._where)
        except (OSError, TimeoutError) as error:
            # It may have come up in the very moment in which the time was over: the event loop closes it then, and
            # does not say so.
            self.down(line)
            line.drop()
            bound = min(LONGEST, AGAIN * 2**self._tries)
            self._tries = min(10, self._tries + 1)
            self._after = self.loop.time() + bound * self._random.random()
            log.warning("counter: %s", "no connection in time" if isinstance(error, TimeoutError) else error)
        finally:
            self._task = None

    def up(self, line: Line) -> None:
        """A connection stands."""
        self._line, self._tries = line, 0

    def down(self, line: Line) -> None:
        """It has ended."""
        if self._line is line:
            self._line = None
