"""An HTTP/1.1 connection to a worker: writes the request of one attempt at a time and reads the response.

"Endpoint" is a worker as discovery lists it. A small response is buffered and reported as a whole with the end of the
attempt; a large or slow one is streamed to the client as it is received.
"""

from __future__ import annotations

import asyncio
import math
import re
import select
import time
from typing import TYPE_CHECKING, cast

import httptools

from micagate import interface
from micagate.invariants import AttemptState, EndpointState, write_refusal
from oliveloft.backend.attempt import Attempt, Response
from oliveloft.backend.last_block import LastBlockGate
from oliveloft.backend.limits import HOP_BY_HOP, MAX_HEAD_BYTES, STALL_TIMEOUT_SECONDS
from oliveloft.backend.send_queue import abort_unsent, unacknowledged_bytes, unsent_bytes
from oliveloft.bodies.body import Body
from oliveloft.polling import poll_socket
from oliveloft.shared_types import ResponseSink

if TYPE_CHECKING:
    from oliveloft.backend.pool import ConnectionPool

MAX_WRITE_BUFFER_BYTES = 64 * 1024  # no more of a streamed request is written while the write buffer is above this
SMALL_READ_BYTES = 32 * 1024  # after a smaller read of a chunked response that is streamed, the next one waits
SMALL_READ_DELAY_SECONDS = 0.002
MAX_PIECES_AT_ONCE = 512  # pieces of a body that are read before other connections get their turn
SEPARATE_BODY_BYTES = 8 * 1024  # a request body of this size is written beside its head, not copied behind it
STREAM_DELAY_SECONDS = 0.1  # a response of unknown length that takes longer than this is streamed
UNFRAMED_STREAM_DELAY_SECONDS = 1.0  # the same without chunks: until then a reset of the connection can be retried
MAX_INTERIM_RESPONSES = 8  # 1xx responses accepted ahead of the final one
PERCENT_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")


class MessageTooLarge(Exception):
    """A response beyond the size limits."""


class EndpointIncarnation:
    """One incarnation of a worker, between two of its starts, with its idle connections, the last used one last."""

    __slots__ = ("name", "address", "started", "idle", "state", "listed_healthy")

    def __init__(self, name: str, address: tuple[str, int], started: float | None) -> None:
        self.name, self.address, self.started = name, address, started
        self.idle: list[Connection] = []
        self.state = EndpointState.READY
        self.listed_healthy = True  # by discovery, regardless of maintenance

    @property
    def ready(self) -> bool:
        """Whether requests may be sent to this endpoint."""
        return self.state is EndpointState.READY

    def retire(self, state: EndpointState) -> None:
        """Stop sending requests to an endpoint that drains or is removed, and close its idle connections."""
        self.state = state
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.BufferedProtocol):
    """The protocol of one connection to a worker, which carries one attempt at a time."""

    __slots__ = (
        "_pool",
        "_memory",
        "endpoint",
        "attempt",
        "transport",
        "task",
        "idle_since",
        "last_response_at",
        "_idle_age",
        "_parser",
        "_response",
        "_body",
        "_pieces",
        "_held_bytes",
        "_size",
        "_max_size",
        "_trailer_size",
        "_unparsed_bytes",
        "_interim_count",
        "_written",
        "_head_complete",
        "_has_framing",
        "_framed_by_close",
        "_complete",
        "_reusable",
        "_closed",
        "_request_body",
        "_next_block",
        "_last_block_gate",
        "_response_sink",
        "_content_length",
        "_last_progress",
        "_read_paused",
        "_stream_timer",
    )

    def __init__(self, pool: ConnectionPool, endpoint: EndpointIncarnation, attempt: Attempt | None) -> None:
        self._pool, self._memory, self.endpoint = pool, pool.memory, endpoint
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.idle_since = 0.0
        # Monotonic clock; the loop's clock stands still within an iteration, so a delay would seem to be over too soon.
        self.last_response_at = -math.inf
        self._idle_age: float | None = None  # idle time before the current attempt in seconds; None: a new connection
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._closed = False
        self._max_size = MAX_HEAD_BYTES + pool.max_streamed_body  # of a response in bytes
        self._reset()

    def _reset(self) -> None:
        self._response = Response()
        self._body: list[bytes] = []  # what was read of a response that is not streamed, one entry a read
        self._pieces: list[bytes] = []  # the parts of the body in the read that is being parsed
        self._held_bytes = 0  # bytes of `_body` that are charged to the budget
        self._request_body: Body | None = None  # the streamed request body that is being written
        self._next_block = 0  # number of its next block
        self._last_block_gate: LastBlockGate | None = None  # of a repeat that has to arrive by a deadline
        self._response_sink: ResponseSink | None = None  # the receiver of the response, once that is streamed
        self._content_length: int | None = None  # the announced length of the response body
        self._read_paused = False  # the sink accepts no more data for now
        self._last_progress = 0.0  # loop time of the last transfer of a streamed body
        self._stream_timer: asyncio.TimerHandle | None = None  # starts streaming a response of unknown length
        # Bytes of the response; of its trailers; 1xx responses received.
        self._size = self._trailer_size = self._interim_count = 0
        self._unparsed_bytes = 0  # received since the last complete head or message, or part of a body
        # All of the request has left the write buffer; the response head is complete; it announces a length or
        # chunks; the close of the connection ends the response; the response is complete.
        self._written = self._head_complete = self._has_framing = self._framed_by_close = self._complete = False
        self._reusable = True

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that the connection was opened for, if its endpoint is still ready."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the transport reports by resume_writing when its write buffer is empty.
        self.transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        if self._closed:
            self.transport.abort()
        elif attempt is None:  # taken over from another process, or its attempt was withdrawn
            self._pool.connection_idle(self)
        elif not self.endpoint.ready:  # it began to drain while the connection was established: nothing was written
            self._fail(interface.NOT_SENT)
        else:
            self.send(attempt)

    def send(self, attempt: Attempt, idle_age: float | None = None) -> None:
        """Write an attempt's request; `idle_age` is how long the connection was idle in seconds (None: it is new)."""
        if (reason := write_refusal(attempt.state, self.endpoint.state)) is not None:
            self._pool.guard.refuse(
                reason,
                "write",
                id=attempt.request,
                attempt=attempt.number,
                endpoint=self.endpoint.name,
                state=self.endpoint.state.value,
            )
            self.attempt = None
            attempt.finish(interface.NOT_SENT)
            self._pool.connection_idle(self)
            return
        attempt.state = AttemptState.WRITTEN
        self.attempt, self._idle_age = attempt, idle_age
        attempt.connection = self
        transport = cast(asyncio.Transport, self.transport)
        head, body = attempt.message(self._pool.loop.time())
        if len(body) >= SEPARATE_BODY_BYTES:
            transport.writelines((head, body))
        else:
            transport.write(head + body)
        if isinstance(attempt.body, Body):
            self._request_body, self._next_block, self._last_progress = attempt.body, 0, self._pool.loop.time()
            self._request_body.on_data = self._write_body
            if attempt.repeat_until is not None:
                self._last_block_gate = LastBlockGate(
                    self._pool.loop, transport, attempt.repeat_until, self._write_body, self.fail_unless_arrived
                )
            self._write_body()
            return
        self._written = not transport.is_closing() and transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """Note that the write buffer is empty, and continue a streamed request body."""
        if self._request_body is not None:
            self._last_progress = self._pool.loop.time()
            self._write_body()
            return
        self._written = True

    def _write_body(self) -> None:
        """Write the available blocks of a streamed request body, as far as the worker reads them."""
        body, transport = self._request_body, self.transport
        if body is None or transport is None or transport.is_closing():
            return
        if body.is_dropped:
            self._fail(interface.UNREACHABLE)  # the client has disconnected; the worker sees an incomplete request
            return
        while transport.get_write_buffer_size() <= (0 if body.over_budget else MAX_WRITE_BUFFER_BYTES):
            if transport.is_closing():
                return  # a broken connection accepts all writes; nothing of them may count as written
            if (gate := self._last_block_gate) is not None and not gate.is_open and body.is_last(self._next_block):
                gate.hold_back(body.block_bytes(self._next_block))
                return
            block = body.read(self._next_block)
            if block is None:
                break
            self._next_block += 1
            if gate is not None:
                gate.written(len(block))
            if body.content_length is None:
                transport.writelines((b"%x\r\n" % len(block), block, b"\r\n"))
            else:
                transport.write(block)
        else:
            return
        if body.is_complete:
            body.on_data, self._request_body = None, None
            if body.content_length is None:
                transport.write(b"0\r\n\r\n")
            if transport.is_closing():
                return
            if transport.get_write_buffer_size() == 0:
                self._written = True
            if (attempt := self.attempt) is not None and attempt.on_written is not None:
                attempt.on_written(attempt)

    def has_unread_input(self) -> bool:
        """Whether the worker has sent something, or closed the connection, that is not read yet."""
        return poll_socket(self.transport, select.POLLIN | select.POLLRDHUP)

    @property
    def request_written(self) -> bool:
        """Whether all of the request has been passed to the transport."""
        return self._request_body is None

    def resume(self) -> None:
        """Resume reading a streamed response: the client accepts more."""
        if self._read_paused and self.transport is not None and not self._closed:
            self._read_paused, self._last_progress = False, self._pool.loop.time()
            self.transport.resume_reading()

    def cancel(self) -> None:
        """Cancel a streamed response: its client has disconnected."""
        self._response_sink = None
        self._fail(interface.CANCELLED)

    def is_stalled(self, now: float) -> bool:
        """Whether a streamed body has made no progress for too long because of the worker."""
        if self._request_body is not None:
            return (
                cast(asyncio.Transport, self.transport).get_write_buffer_size() > 0
                and now - self._last_progress > STALL_TIMEOUT_SECONDS
            )
        return (
            self._response_sink is not None
            and not self._read_paused
            and now - self._last_progress > STALL_TIMEOUT_SECONDS
        )

    def abort_stalled(self) -> None:
        """Fail a stalled attempt: UNREACHABLE if the worker has an incomplete request, else CONNECTION_RESET."""
        self._fail(interface.UNREACHABLE if self._request_body is not None else interface.CONNECTION_RESET)

    def has_arrived(self) -> bool:
        """Whether the worker's system has all of the request."""
        return self._written and (self.transport is None or not unacknowledged_bytes(self.transport))

    def fail_unless_arrived(self) -> None:
        """End the attempt if a part of its request is still on this machine, and drop that part.

        The worker sees an incomplete request. Where the rest is on its way, it may have arrived all the same.
        """
        if not self._written or self.transport is not None and unsent_bytes(self.transport):
            self._fail(interface.UNREACHABLE)
        elif not self.has_arrived():
            self._fail(interface.CONNECTION_RESET)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read."""
        return self._memory.read_view()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(self._memory.buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes; data without an attempt is an unsolicited response and closes the connection."""
        if self.attempt is None or self._parser is None:
            self.close()  # otherwise the data would be taken for the response to the next request
            return
        self._unparsed_bytes += len(data)
        if self._response_sink is not None:
            self._last_progress = self._pool.loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if not self._complete:
                self._fail(interface.MALFORMED_RESPONSE)
                return
        if self._complete:
            self._response_complete()
            return
        if self._pieces:
            self._take_pieces()
        if self._unparsed_bytes > (2 if self._head_complete else 1) * MAX_HEAD_BYTES:
            # The parser buffers a header or trailer until it is complete, so its size is limited here.
            self._fail(interface.MALFORMED_RESPONSE)

    def eof_received(self) -> bool:
        """Handle the end of the worker's data: it completes a response framed by the close, and truncates any other."""
        ends_response = self._head_complete and self._framed_by_close and not self._has_framing
        if self.attempt is not None and ends_response and not self._complete:
            self._reusable = False
            self.on_message_complete()
            self._response_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt on a lost connection; once all of its request had left, the worker may have run it."""
        if self.attempt is not None and self.transport is not None:
            self._pool.idle_timeout.record(self._idle_age, not (self._head_complete or self._unparsed_bytes))
        self.transport = self._parser = None  # parser and protocol refer to each other
        self._fail(interface.CONNECTION_RESET if self._written else interface.UNREACHABLE)
        self._pool.connection_closed(self)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a response; a second one to the same request makes the connection unusable for others."""
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header. Trailers have a size limit of their own and are otherwise ignored."""
        if self._head_complete:
            self._trailer_size += len(name) + len(value)
            if self._trailer_size > MAX_HEAD_BYTES:
                raise MessageTooLarge
            return
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD_BYTES:
            raise MessageTooLarge
        lower_name, value = name.lower(), value.strip(b" \t")  # whitespace is not part of the value (RFC 9110, 5.5)
        if lower_name == b"x-not-processed":
            self._response.not_processed = value == b"1"
        elif lower_name == b"x-allowance-used":
            if PERCENT_PATTERN.fullmatch(value):  # an invalid value is ignored; the last valid one counts
                self._response.allowance_used = float(value) / 100
        elif lower_name in HOP_BY_HOP:
            if lower_name == b"content-length":
                self._has_framing, self._content_length = True, int(value)
                if self._content_length > self._pool.max_streamed_body:
                    raise MessageTooLarge  # before any of the body is read
            elif lower_name == b"transfer-encoding":
                self._has_framing = True
            elif lower_name == b"connection" and b"close" in [word.strip(b" \t") for word in value.lower().split(b",")]:
                self._framed_by_close = True
        elif lower_name != b"x-server-load":
            self._response.headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Read the status and framing of the response; start streaming a body that is announced as large."""
        if self._complete:
            return  # the head of an unsolicited response must not replace the status of this one
        self._head_complete, self._unparsed_bytes = True, 0
        parser = cast(httptools.HttpResponseParser, self._parser)
        self._response.status, self._response.head_received_at = parser.get_status_code(), self._pool.loop.time()
        self._framed_by_close = self._framed_by_close or not self._has_framing and parser.get_http_version() == "1.0"
        if (self._content_length or 0) > self._pool.max_body and not self._start_streaming():
            raise MessageTooLarge

    def on_body(self, data: bytes) -> None:
        """Take a part of the body; the parts of one read are handled together."""
        self._unparsed_bytes = 0
        if self._complete:
            return
        self._size += len(data)
        if self._response.status == 200:
            self._pieces.append(data)
            if self._size > self._max_size:
                raise MessageTooLarge
        elif self._size > MAX_HEAD_BYTES + self._pool.max_body:  # such a body does not reach the client
            raise MessageTooLarge

    def _take_pieces(self) -> None:
        """Buffer what was read of the body, or forward it if the response is streamed."""
        pieces, self._pieces = self._pieces, []
        if self._response_sink is not None:
            self._forward_pieces(self._response_sink, pieces)
            if self._content_length is None:
                self._defer_next_read(pieces)
            return
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        self._body.append(data)
        self._held_bytes += len(data)
        budget = self._memory.budget
        budget.charge(len(data))
        if self._content_length is None and self._stream_timer is None:
            # A response of unknown length that is not complete at once may be long: stream it after a short delay.
            delay_seconds = STREAM_DELAY_SECONDS if self._has_framing else UNFRAMED_STREAM_DELAY_SECONDS
            self._stream_timer = self._pool.loop.call_later(delay_seconds, self._start_streaming)
        if self._size > MAX_HEAD_BYTES + self._pool.max_body:
            if not self._start_streaming():
                self._fail(interface.MALFORMED_RESPONSE)
        elif budget.is_exhausted:
            self._start_streaming()

    def _defer_next_read(self, pieces: list[bytes]) -> None:
        """Let more of a chunked response come before the next read, or other connections have their turn.

        Each read costs as much for a small piece as for a large one.
        """
        if self.transport is None or self._read_paused or self._closed:
            return
        if len(pieces) > MAX_PIECES_AT_ONCE:
            self.transport.pause_reading()
            self._pool.loop.call_soon(self._read_on)
        elif sum(map(len, pieces)) < SMALL_READ_BYTES:
            self.transport.pause_reading()
            self._pool.loop.call_later(SMALL_READ_DELAY_SECONDS, self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and not self._read_paused and not self._closed:
            self.transport.resume_reading()

    def _release_body(self) -> list[bytes]:
        """Return what is buffered of the body, and release its charge."""
        body, self._body = self._body, []
        held_bytes, self._held_bytes = self._held_bytes, 0
        if held_bytes:
            self._memory.budget.release(held_bytes)
        return body

    def _start_streaming(self) -> bool:
        """Stream the response to the client from here on; return whether it is streamed."""
        attempt = self.attempt
        if self._response_sink is not None:
            return True
        if self._complete or attempt is None or self._parser is None:
            return False
        if self._response.status != 200 or attempt.on_response is None or attempt.done:
            return False
        sink = attempt.on_response(attempt, self._response, self._content_length, self)
        if sink is None:
            return False
        self._response_sink = sink
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._last_progress = self._pool.loop.time()
        if body := self._release_body():
            self._forward_pieces(sink, body)
        return True

    def _forward_pieces(self, sink: ResponseSink, pieces: list[bytes]) -> None:
        """Forward pieces of the body, and pause reading if the client accepts no more."""
        if not sink.write(pieces) and not self._read_paused and self.transport is not None:
            self._read_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim (1xx) one."""
        if self._complete:
            return
        if 100 <= self._response.status < 200:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise MessageTooLarge
            self._response = Response()
            self._head_complete = self._has_framing = self._framed_by_close = False
            self._unparsed_bytes, self._content_length = 0, None
            return
        if self._stream_timer is not None:
            self._stream_timer.cancel()
        if self._response_sink is not None and self._pieces:
            self._take_pieces()
        self._complete = True
        if self._response_sink is not None:
            sink, self._response_sink = self._response_sink, None
            sink.end()
        self._response.body = b"".join(self._release_body() + self._pieces)
        self._pieces = []
        self._reusable = self._reusable and cast(httptools.HttpResponseParser, self._parser).should_keep_alive()

    # End of an attempt or of the connection.

    def _response_complete(self) -> None:
        """Release the connection after a complete response, then report the outcome of the attempt."""
        attempt, response = self.attempt, self._response
        reusable = self._reusable and self._written and not self._closed
        self.attempt = None
        if reusable:
            self._pool.idle_timeout.record(self._idle_age, False)
            if self._read_paused and self.transport is not None:
                self.transport.resume_reading()
            self._reset()
            self.last_response_at = time.monotonic()
            self._pool.connection_idle(self)
        else:
            self.close()
        if attempt is None:
            return
        if response.status == 200:
            attempt.finish(interface.SUCCESS, response)
        elif response.status in (503, 504) and response.not_processed:
            attempt.finish(interface.OVERLOADED, response)
        else:
            attempt.finish(interface.FAILURE, response)

    def _fail(self, status: str) -> None:
        """Close the connection, and end its attempt and streamed response with this status."""
        attempt, self.attempt = self.attempt, None
        self.close()
        sink, self._response_sink = self._response_sink, None
        if sink is not None:
            sink.abort_response()
        if attempt is not None:
            attempt.finish(status)

    def close(self) -> None:
        """Close at once; unsent data is dropped, also what the system holds."""
        if self._closed:
            return
        self._closed = True
        self._release_body()
        if self._last_block_gate is not None:
            self._last_block_gate.close()
        if self._request_body is not None:
            self._request_body.on_data = None
            self._request_body = None
        if self._stream_timer is not None:
            self._stream_timer.cancel()
        if self.transport is not None and self._written:
            abort_unsent(self.transport)
        elif self.transport is not None:
            self.transport.abort()  # idle, or its last byte was not passed to the system
        elif self.task is not None:
            # A task that is cancelled before its first step runs no cleanup, so the connection is removed here.
            self.task.cancel()
            self._pool.connection_closed(self)

    def fail_not_sent(self) -> None:
        """End an attempt of which nothing was written for a reason that is not the worker's fault."""
        self._fail(interface.NOT_SENT)

    def connect_timed_out(self) -> None:
        """End the attempt if the connection was not established in time; nothing was written."""
        if self.transport is None:
            self._fail(interface.UNREACHABLE)
