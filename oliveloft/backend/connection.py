"""A connection to an endpoint: writes one attempt at a time, and reads the answer to it."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, cast

import httptools

from micagate import interface
from micagate.invariants import AttemptState, EndpointState, write_refusal
from oliveloft.backend.attempt import Attempt, Response
from oliveloft.backend.limits import HOP_BY_HOP, MAX_HEAD, STANDS
from oliveloft.bodies.body import Body
from oliveloft.shared_types import ResponseSink

if TYPE_CHECKING:
    from oliveloft.backend.pool import ConnectionPool

FLOW = 64 * 1024  # bytes of a long request that wait to be written, beyond which no more are handed on
SOON = 0.1  # seconds after which the first bytes of an answer of unknown length go on
MOST_INTERIM = 8  # 1xx answers ahead of the one that counts
PERCENT = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")


class Oversize(Exception):
    """A message beyond the limits."""


class EndpointIncarnation:
    """An endpoint between two of its starts, with its idle connections, the latest used last."""

    __slots__ = ("name", "address", "started", "idle", "state", "listed")

    def __init__(self, name: str, address: tuple[str, int], started: float | None) -> None:
        self.name, self.address, self.started = name, address, started
        self.idle: list[Connection] = []
        self.state = EndpointState.READY
        self.listed = True  # as healthy, whatever operators say

    @property
    def ready(self) -> bool:
        """Whether requests may be sent to it."""
        return self.state is EndpointState.READY

    def retire(self, state: EndpointState) -> None:
        """It drains or is gone: nothing new goes to it, and its idle connections are of no more use."""
        self.state = state
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.Protocol):
    """One connection to a worker; it carries one attempt at a time."""

    __slots__ = (
        "_pool",
        "process",
        "attempt",
        "transport",
        "task",
        "idle_since",
        "_age",
        "_parser",
        "_answer",
        "_body",
        "_size",
        "_unread",
        "_interim",
        "_written",
        "_headed",
        "_framed",
        "_ends",
        "_complete",
        "_reusable",
        "_closed",
        "_source",
        "_place",
        "_sink",
        "_length",
        "_moved",
        "_held",
        "_timer",
    )

    def __init__(self, pool: ConnectionPool, process: EndpointIncarnation, attempt: Attempt | None) -> None:
        self._pool, self.process = pool, process
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.idle_since = 0.0
        self._age: float | None = None  # how long it had rested before this attempt; None: it is new
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._closed = False
        self._reset()

    def _reset(self) -> None:
        self._answer = Response()
        self._body: list[bytes] = []
        self._source: Body | None = None  # a long request that is being written
        self._place = 0  # its next block
        self._sink: ResponseSink | None = None  # where a long answer goes
        self._length: int | None = None  # of the answer's body, as announced
        self._held = False  # the sink takes no more for now
        self._moved = 0.0  # when a long body last moved
        self._timer: asyncio.TimerHandle | None = None
        self._size = self._unread = self._interim = 0
        self._written = self._headed = self._framed = self._ends = self._complete = False
        self._reusable = True

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It stands: the attempt that asked for it goes out, if the worker is still wanted."""
        self.transport = cast(asyncio.Transport, transport)
        # A limit of 0 makes the transport tell by pause and resume when the last byte has left.
        self.transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        if self._closed:
            self.transport.abort()
        elif attempt is None:  # another process has opened it, or who asked for it has taken that back
            self._pool.keep(self)
        elif not self.process.ready:  # it has begun to drain while this connection came up: nothing was written
            self._end(interface.NOT_SENT)
        else:
            self.send(attempt)

    def send(self, attempt: Attempt, age: float | None = None) -> None:
        """Write an attempt's request, in one piece; `age` is how long the connection has rested."""
        if (reason := write_refusal(attempt.state, self.process.state)) is not None:
            self._pool.guard.refuse(
                reason,
                "write",
                id=attempt.request,
                attempt=attempt.number,
                endpoint=self.process.name,
                state=self.process.state.value,
            )
            self.attempt = None
            attempt.finish(interface.NOT_SENT)
            self._pool.keep(self)
            return
        attempt.state = AttemptState.WRITTEN
        self.attempt, self._age = attempt, age
        attempt.connection = self
        transport = cast(asyncio.Transport, self.transport)
        transport.write(attempt.message(self._pool.loop.time()))
        if isinstance(attempt.body, Body):
            self._source, self._place, self._moved = attempt.body, 0, self._pool.loop.time()
            self._source.reader = self._feed
            self._feed()
            return
        self._written = not transport.is_closing() and transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """The last byte has left, or the last one so far."""
        if self._source is not None:
            self._moved = self._pool.loop.time()
            self._feed()
            return
        self._written = True

    def _feed(self) -> None:
        """Write what there is of a long request, as much at a time as the worker takes."""
        source, transport = self._source, self.transport
        if source is None or transport is None or transport.is_closing():
            return
        if source.broken:
            self._end(interface.UNREACHABLE)  # its client has gone, and the worker sees that it is not whole
            return
        while transport.get_write_buffer_size() <= FLOW:
            if transport.is_closing():
                return  # guards against a broken connection that seems to take all: nothing of it counts as written
            block = source.read(self._place)
            if block is None:
                break
            self._place += 1
            if source.length is None:
                transport.writelines((b"%x\r\n" % len(block), block, b"\r\n"))
            else:
                transport.write(block)
        else:
            return
        if source.whole:
            source.reader, self._source = None, None
            if source.length is None:
                transport.write(b"0\r\n\r\n")
            if transport.is_closing():
                return
            if transport.get_write_buffer_size() == 0:
                self._written = True
            if (attempt := self.attempt) is not None and attempt.wrote is not None:
                attempt.wrote(attempt)

    @property
    def wrote_all(self) -> bool:
        """Whether all of the request is on its way."""
        return self._source is None

    def resume(self) -> None:
        """The client takes more of a long answer."""
        if self._held and self.transport is not None and not self._closed:
            self._held, self._moved = False, self._pool.loop.time()
            self.transport.resume_reading()

    def cancel(self) -> None:
        """Nobody is there for a long answer any more."""
        self._sink = None
        self._end(interface.CANCELLED)

    def stands(self, now: float) -> bool:
        """Whether a long body has stood still for too long, by the worker's doing."""
        if self._source is not None:
            return cast(asyncio.Transport, self.transport).get_write_buffer_size() > 0 and now - self._moved > STANDS
        return self._sink is not None and not self._held and now - self._moved > STANDS

    def give_up(self) -> None:
        """A long body stands still: what the worker has of a request is not whole, what it began never will be."""
        self._end(interface.UNREACHABLE if self._source is not None else interface.CONNECTION_RESET)

    def data_received(self, data: bytes) -> None:
        """A piece of an answer, or something that nobody asked for."""
        if self.attempt is None or self._parser is None:
            if not self._closed:
                self._pool.strayed()
            self.close()  # Guards against stray bytes that would be taken for the next request's answer.
            return
        self._unread += len(data)
        if self._sink is not None:
            self._moved = self._pool.loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if not self._complete:
                self._end(interface.MALFORMED_RESPONSE)
                return
        if self._complete:
            self._finish()
        elif self._sink is None and self._unread > MAX_HEAD + (4 * self._pool.max_body if self._headed else 0):
            # Guards the memory: the parser gathers a header to its end, and tells only then.
            self._end(interface.MALFORMED_RESPONSE)

    def eof_received(self) -> bool:
        """The worker has ended its sending: that frames an answer which announced it, and cuts any other."""
        framed_so = self._headed and self._ends and not self._framed
        if self.attempt is not None and framed_so and not self._complete:
            self._reusable = False
            self.on_message_complete()
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; what was out on it may have run once its last byte had left."""
        if self.attempt is not None and self.transport is not None:
            self._pool.rest.tell(self._age, not (self._headed or self._unread))
        self.transport = self._parser = None  # parser and protocol refer to each other
        self._end(interface.CONNECTION_RESET if self._written else interface.UNREACHABLE)
        self._pool.lost(self)

    # The parser's side.

    def on_message_begin(self) -> None:
        """A new answer begins; a second one to the same request is stray."""
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers count to the size and are left."""
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD + (self._pool.max_body if self._headed and self._sink is None else 0):
            raise Oversize
        if self._headed:
            return
        lower, value = name.lower(), value.strip(b" \t")  # no part of a value (RFC 9110, 5.5)
        if lower == b"x-not-processed":
            self._answer.not_processed = value == b"1"
        elif lower == b"x-allowance-used":
            if PERCENT.fullmatch(value):  # what can't be read is left; the last that could be stands
                self._answer.used = float(value) / 100
        elif lower in HOP_BY_HOP:
            if lower == b"content-length":
                self._framed, self._length = True, int(value)
                if self._length > self._pool.longest:
                    raise Oversize  # before any of it is read
            elif lower == b"transfer-encoding":
                self._framed = True
            elif lower == b"connection" and b"close" in [word.strip(b" \t") for word in value.lower().split(b",")]:
                self._ends = True
        elif lower != b"x-server-load":
            self._answer.headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        if self._complete:
            return  # guards the answer against the status of a stray one behind it
        self._headed, self._unread = True, 0
        parser = cast(httptools.HttpResponseParser, self._parser)
        self._answer.status, self._answer.told = parser.get_status_code(), self._pool.loop.time()
        self._ends = self._ends or not self._framed and parser.get_http_version() == "1.0"
        if self._length is not None and self._length > self._pool.max_body:
            self._stream()  # its first bytes are waited for

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        if self._sink is not None:
            self._size += len(data)
            if self._size > MAX_HEAD + self._pool.longest:
                raise Oversize
            self._more(self._sink, data)
            return
        if self._complete:
            return
        self._size += len(data)
        self._body.append(data)
        if self._length is None and not self._ends and self._timer is None and self._answer.status == 200:
            # An answer of unknown length that is not here at once may be a long one: its first bytes count.
            self._timer = self._pool.loop.call_later(SOON, self._stream)
        if self._size > MAX_HEAD + self._pool.max_body:
            self._stream()

    def _stream(self) -> None:
        """Pass the answer on from here as it comes. Oversize where it can't be."""
        attempt = self.attempt
        if self._sink is not None or self._complete or attempt is None or self._parser is None:
            return
        sink = None
        if self._answer.status == 200 and attempt.begins is not None and not attempt.done:
            self._sink = sink = attempt.begins(attempt, self._answer, self._length, self)
        if sink is None:
            if self._size > MAX_HEAD + self._pool.max_body or (self._length or 0) > self._pool.max_body:
                raise Oversize
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._moved = self._pool.loop.time()
        body, self._body = self._body, []
        for data in body:
            self._more(sink, data)

    def _more(self, sink: ResponseSink, data: bytes) -> None:
        """Pass a piece on, and read no further where the client takes no more."""
        if not sink.write(data) and not self._held and self.transport is not None:
            self._held = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """The answer is whole, unless it only announces another."""
        if self._complete:
            return
        if 100 <= self._answer.status < 200:
            self._interim += 1
            if self._interim > MOST_INTERIM:
                raise Oversize
            self._answer = Response()
            self._headed = self._framed = self._ends = False
            self._unread, self._length = 0, None
            return
        if self._timer is not None:
            self._timer.cancel()
        self._complete = True
        if self._sink is not None:
            sink, self._sink = self._sink, None
            sink.end()
        self._answer.body = b"".join(self._body)
        self._reusable = self._reusable and cast(httptools.HttpResponseParser, self._parser).should_keep_alive()

    # Ends.

    def _finish(self) -> None:
        """A whole answer has come: free the connection first, then report."""
        attempt, answer = self.attempt, self._answer
        reusable = self._reusable and self._written and not self._closed
        self.attempt = None
        if reusable:
            self._pool.rest.tell(self._age, False)
            if self._held and self.transport is not None:
                self.transport.resume_reading()
            self._reset()
            self._pool.keep(self)
        else:
            self.close()
        if attempt is None:
            return
        if answer.status == 200:
            attempt.finish(interface.SUCCESS, answer)
        elif answer.status in (503, 504) and answer.not_processed:
            attempt.finish(interface.OVERLOADED, answer)
        else:
            attempt.finish(interface.FAILURE, answer)

    def _end(self, status: str) -> None:
        attempt, self.attempt = self.attempt, None
        self.close()
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.abort_response()
        if attempt is not None:
            attempt.finish(status)

    def close(self) -> None:
        """Close at once; what the kernel has not taken yet is dropped."""
        if self._closed:
            return
        self._closed = True
        if self._source is not None:
            self._source.reader = None
            self._source = None
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not None:
            # Guards against a leak: a task cancelled before its first step runs none of its clean-up.
            self.task.cancel()
            self._pool.lost(self)

    def give_back(self) -> None:
        """It can't come up for want of something here; nothing was written, and no worker is to blame."""
        self._end(interface.NOT_SENT)

    def connect_expired(self) -> None:
        """It did not come up in time; nothing was written."""
        if self.transport is None:
            self._end(interface.UNREACHABLE)
