"""The watch on discovery: the whole list, then changes as they come, over one connection."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, cast

import httptools

from micagate import interface as i
from oliveloft.config import address
from oliveloft.workers import Endpoint

log = logging.getLogger("oliveloft")

STATES = {"up": i.HEALTHY, "draining": i.DRAINING, "removed": i.GONE}
WAIT = 5.0  # seconds that a watch may stay open: a silent agent is noticed soon after
SILENCE = 1.5  # seconds beyond that, or for an answer that needs no wait, after which the agent is silent
BACKOFF, LONGEST_BACKOFF = 0.1, 1.0  # seconds between tries to reconnect
MAX_LIST = 4 * 1024 * 1024


def endpoint(raw: Any, offset: float) -> Endpoint:
    """An entry of the list; `offset` turns Unix time into the loop's. ValueError says what is wrong."""
    if not isinstance(raw, dict):
        raise ValueError("no object")
    name, state = raw.get("name"), raw.get("status")
    if not isinstance(name, str) or not name:
        raise ValueError("name: missing or no text")
    if state not in STATES:
        raise ValueError(f"status: {state!r}")
    where = ("", 0) if state == "removed" else address(raw.get("address"))
    zone, cell = raw.get("zone", ""), raw.get("group", 0)
    if not isinstance(zone, str) or not isinstance(cell, int):
        raise ValueError("zone or group")
    size, since = raw.get("weight", 1.0), raw.get("since_ms", 0) or 0
    for value in (size, since):
        if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e15:
            raise ValueError(f"weight or since_ms: {value!r}")
    entry = i.WorkerEntry(worker=name, zone=zone, cell=cell, state=STATES[state], size=float(size),
                          started=since / 1000 - offset if since else None)
    return Endpoint(entry, where)


class News:
    """What an answer of discovery says."""

    __slots__ = ("index", "whole", "endpoints", "skipped")

    def __init__(self, raw: Any, offset: float) -> None:
        if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
            raise ValueError("no list of endpoints")
        index = raw.get("index")
        if not isinstance(index, int) or isinstance(index, bool):
            raise ValueError(f"index: {index!r}")
        self.index, self.whole = index, bool(raw.get("snapshot"))
        self.endpoints: list[Endpoint] = []
        self.skipped = ""
        for item in raw["endpoints"]:
            try:
                self.endpoints.append(endpoint(item, offset))
            except ValueError as error:
                self.skipped = str(error)


class Discovery(asyncio.Protocol):
    """One watch after another; after any failure a new connection and the whole list."""

    def __init__(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], offset: float,
                 tell: Callable[[News], None]) -> None:
        self._loop, self._where, self._offset, self._tell = loop, where, offset, tell
        self._transport: asyncio.Transport | None = None
        self._index: int | None = None
        self._pause = BACKOFF
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._stopped = False
        self._answered = False  # the connection ended after an answer, as it may: no failure
        self._skipped = ""

    def start(self) -> None:
        """Connect."""
        self._task = self._loop.create_task(self._connect())

    def stop(self) -> None:
        """End the watch for good."""
        self._stopped = True
        for handle in (self._timer, self._task):
            if handle is not None:
                handle.cancel()
        if self._transport is not None:
            self._transport.abort()

    async def _connect(self) -> None:
        host, port = self._where
        try:
            async with asyncio.timeout(SILENCE):
                await self._loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError) as error:
            self._failed(f"cannot connect: {error or 'timed out'}")

    def _failed(self, why: str) -> None:
        """Try again later; the old list stands."""
        if self._transport is not None:
            transport, self._transport = self._transport, None
            transport.abort()
        self._index = None
        if self._stopped:
            return
        if not self._failing:
            log.warning("discovery: %s; keeping the list and trying again", why)
        self._failing = True
        self._after(self._pause, self.start)
        self._pause = min(LONGEST_BACKOFF, 2 * self._pause)

    def _after(self, delay: float, call: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay, call)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask at once."""
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpResponseParser(self)
        self._ask()

    def _ask(self) -> None:
        path, silence = "/v1/servers", SILENCE
        if self._index is not None:
            path, silence = f"{path}?index={self._index}&wait={int(WAIT * 1000)}", WAIT + SILENCE
        self._body: list[bytes] = []
        self._size, self._whole, self._answered = 0, False, False
        cast(asyncio.Transport, self._transport).write(
            f"GET {path} HTTP/1.1\r\nHost: {self._where[0]}:{self._where[1]}\r\n\r\n".encode())
        # Guards against an agent that has gone silent, which no close tells of: an open wait ends in time.
        self._after(silence, lambda: self._failed("silent"))

    def data_received(self, data: bytes) -> None:
        """A piece of an answer."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._failed(f"malformed answer: {error}")
            return
        if self._whole:
            self._take()

    def on_body(self, data: bytes) -> None:
        """A piece of a list."""
        self._size += len(data)
        if self._size > MAX_LIST:
            raise ValueError("list too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """An answer is whole."""
        self._whole = True

    def _take(self) -> None:
        """Pass on what an answer says, and ask for what comes next."""
        status = self._parser.get_status_code()
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            news = News(json.loads(b"".join(self._body)), self._offset)
        except ValueError as error:
            self._failed(f"malformed answer: {error}")
            return
        if self._index is None and not news.whole:
            self._failed("no whole list")
            return
        if self._failing:
            log.info("discovery: back")
        self._failing, self._pause, self._index = False, BACKOFF, news.index
        if news.skipped and news.skipped != self._skipped:
            log.warning("discovery: skipped a malformed entry: %s", news.skipped)
        self._skipped = news.skipped
        if self._parser.should_keep_alive():
            self._ask()  # first: the next watch must begin soon after the last answer
        else:
            self._answered = True
            cast(asyncio.Transport, self._transport).close()
        self._tell(news)

    def connection_lost(self, exc: Exception | None) -> None:
        """The agent has closed, or died."""
        if self._transport is None:
            return
        self._transport = None
        if self._answered and not self._stopped:
            # Announced with the last answer, so no failure; not before, or this end could be taken for the
            # next connection's.
            self.start()
        else:
            self._failed(f"connection lost: {exc or 'closed'}")
