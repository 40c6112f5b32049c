"""A client connection: parses pipelined requests, serves them one after another, and writes replies in their order.

A valid request goes to the `RequestDispatcher`, which calls back with the final reply, or with a streamed response.
"""

from __future__ import annotations

import asyncio
import logging
import math
import os
import select
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from micagate.bodies import buffering
from micagate.invariants import Reason, RequestState, close_refusal
from oliveloft.backend.limits import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, STALL_TIMEOUT_SECONDS
from oliveloft.backend.send_queue import reset
from oliveloft.bodies.body import Body
from oliveloft.dispatch.dispatcher import Request
from oliveloft.front.codec import BadRequest, IncomingRequest, format_reply, format_stream_head
from oliveloft.front.limits import (
    BODY_READ_BYTES,
    CHUNKED_READ_BYTES,
    FIRST_REQUEST_TIMEOUT_SECONDS,
    FULL_RECEIVE_BUFFER_BYTES,
    GATHERED_PIECE_BYTES,
    HEAD_READ_BYTES,
    IDLE_TIMEOUT_SECONDS,
    LINGER_SECONDS,
    MAX_LINGER_BYTES,
    MAX_PARSED_AT_ONCE,
    MAX_PIECES_AT_ONCE,
    MAX_PIPELINED_BYTES,
    MAX_PIPELINED_REQUESTS,
    MAX_REJECTED_REQUESTS,
    MAX_SEND_BUFFER_BYTES,
    MAX_SEPARATE_PIECES,
    OUTPUT_STEP_BYTES,
    PARSE_STEP_BYTES,
    PIPELINE_READ_BYTES,
    SLOW_CLIENT_TIMEOUT_SECONDS,
    STALLED_HOLDER_SECONDS,
    STARVED_HOLDER_SECONDS,
    STREAM_SEND_BUFFER_BYTES,
    STREAM_WRITE_BUFFER_BYTES,
    STREAM_WRITE_BUFFER_SHARE,
)
from oliveloft.front.pausing import NOT_PAUSED, PauseReason
from oliveloft.front.pending_output import PendingOutput
from oliveloft.polling import poll_socket, unread_bytes
from oliveloft.shared_types import BodySource

if TYPE_CHECKING:
    from oliveloft.front.server import Server

log = logging.getLogger("oliveloft")


class ClientConnection(asyncio.BufferedProtocol):
    """The protocol of one client connection: serves pipelined requests one after another and replies in order."""

    __slots__ = (
        "_server",
        "_memory",
        "_transport",
        "_parser",
        "_incoming",
        "_head_complete",
        "_queue",
        "_current",
        "_keep_alive",
        "_queued_size",
        "_unparsed_input",
        "_waiting_input",
        "_current_bytes",
        "_busy",
        "_write_paused",
        "_input_ignored",
        "_final_reply_sent",
        "_rejected_count",
        "_unparsed_bytes",
        "lingering",
        "waiting_since",
        "over_limit",
        "sent_valid_request",
        "_last_progress",
        "_pause_reasons",
        "_awaiting_memory",
        "_parsed_count",
        "_piece_count",
        "_response_source",
        "_chunked",
        "_http_1_0",
        "_pending_output",
        "_streaming_output",
        "_response_ending",
        "_held_bytes",
        "_unsent_bytes",
    )

    def __init__(self, server: Server) -> None:
        self._server, self._memory = server, server.memory
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._incoming: IncomingRequest | None = None
        self._head_complete = False
        self._queue: deque[IncomingRequest] = deque()
        self._current: Request | None = None
        self._queued_size = 0  # approximate size of the queued requests in bytes
        self._waiting_input = (0.0, 0)  # since when so many bytes wait in the receive buffer, while reading is paused
        self._unparsed_input = b""  # the rest of what was read, while the queue is full
        self._current_bytes = 0  # size of the request in progress, if it is not streamed
        self._busy = False  # a request has been taken from the queue and not been answered yet
        self._keep_alive = True  # whether the connection stays open after the current reply
        self._write_paused = False  # the transport's write buffer is full: the client does not read its replies
        self._input_ignored = False  # further input is discarded
        self._final_reply_sent = False  # the last reply on this connection has been written
        self.lingering = False  # waiting for the client to read a rejection and to close
        self.waiting_since = 0.0  # when the connection became idle, or when the current request began to arrive
        self.over_limit = False  # the connection exceeds the limit: its first request is refused
        self.sent_valid_request = False  # at least one valid request was received
        self._last_progress = 0.0  # when a byte of a request or response body was last transferred
        # While reading is paused the event loop does not report a close by the peer.
        self._pause_reasons = NOT_PAUSED
        self._awaiting_memory = False  # the budget calls back when there is room
        self._response_source: BodySource | None = None  # the sender of the streamed response in progress
        self._pending_output: PendingOutput | None = None  # the part of a streamed response that waits
        self._streaming_output = False  # a streamed response is in progress, or not all of it has been sent
        self._response_ending = False  # the rest of the response in progress is in `_pending_output`
        self._held_bytes = 0  # bytes that are charged to the budget
        self._unsent_bytes = 0  # size of the transport's write buffer when it was last checked
        self._chunked = self._http_1_0 = False  # framing of the streamed response; version of its request
        self._rejected_count = 0  # rejected requests on this connection
        self._parsed_count = 0  # complete requests on this connection
        self._piece_count = 0  # pieces of a body in the last read
        # Bytes received since the last complete head, message or body part; once input is ignored, those discarded.
        self._unparsed_bytes = 0

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the server."""
        self._transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the transport reports every write that the system does not take whole.
        self._transport.set_write_buffer_limits(high=0)
        self.waiting_since = self._server.loop.time()
        self._server.client_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a client that has disconnected."""
        self._transport = self._parser = None  # parser and protocol refer to each other
        incoming, self._incoming = self._incoming, None
        self._drop_queue()
        self._unparsed_input, self._pending_output = b"", None
        self._queued_size = self._current_bytes = self._unsent_bytes = self._unparsed_bytes = 0
        current, self._current = self._current, None
        source, self._response_source = self._response_source, None
        if incoming is not None:
            incoming.drop_body()
        if source is not None:
            source.cancel()
        self._update_charge()
        self._server.client_disconnected(self)
        if current is not None:
            self._server.dispatcher.client_disconnected(current)

    def pause_writing(self) -> None:
        """Start no further request until the client reads its replies."""
        transport = cast(asyncio.Transport, self._transport)
        self._write_paused = True
        self.waiting_since = self._last_progress = self._server.loop.time()
        self._unsent_bytes = transport.get_write_buffer_size()
        self._update_charge()

    def resume_writing(self) -> None:
        """Resume the streamed response, or start the next request: the client reads again."""
        self._write_paused = False
        self._last_progress = self._server.loop.time()
        self._unsent_bytes = 0
        if self._held_bytes:
            self._write_pending_output()
        if self._write_paused:
            return
        if self._response_source is None:
            self._streaming_output = False
        if self._response_ending:
            self._response_ending = False
            self._finish_response()
        elif self._response_source is not None:
            self._response_source.resume()
        self._serve_next()

    def _write_pending_output(self) -> None:
        """Write the part of a streamed response that has waited, as far as the client reads it."""
        pending = self._pending_output
        while pending is not None and pending.size_bytes and not self._write_paused and self._transport is not None:
            self._transport.writelines(pending.take(OUTPUT_STEP_BYTES))
            self._unsent_bytes = self._transport.get_write_buffer_size()
        if pending is not None and not pending.size_bytes:
            self._pending_output = None
        self._update_charge()

    def _note_progress(self, now: float) -> None:
        """Record what the client has read since the last look at the write buffer."""
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unsent_bytes < self._unsent_bytes:
            self._last_progress = now
        self._unsent_bytes = unsent_bytes
        self._update_charge()

    def _update_charge(self) -> None:
        """Charge what the connection holds now to the budget. A streamed request body is charged by itself."""
        held_bytes = self._current_bytes + self._queued_size + len(self._unparsed_input) + self._unsent_bytes
        if self._pending_output is not None:
            held_bytes += self._pending_output.size_bytes
        incoming = self._incoming
        if incoming is not None:
            held_bytes += self._unparsed_bytes
            if self._head_complete:
                held_bytes += incoming.head_size + len(incoming.body)
        change, self._held_bytes = held_bytes - self._held_bytes, held_bytes
        if change > 0:
            self._server.budget.charge(change)
        elif change < 0:
            self._server.budget.release(-change)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read: a large one for a body, a small one behind a request in progress."""
        incoming = self._incoming
        size_bytes = PIPELINE_READ_BYTES if self._busy else HEAD_READ_BYTES
        if incoming is not None and self._head_complete:
            size_bytes = BODY_READ_BYTES if incoming.content_length is not None else CHUNKED_READ_BYTES
        return self._memory.read_view(size_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(self._memory.buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes: part of a request, or several requests."""
        if self._input_ignored or self._parser is None:
            # Input after a rejection is discarded, since closing with unread input would reset the connection and
            # could lose the reply. The limit bounds the CPU time that this takes.
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > MAX_LINGER_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        if self._incoming is not None:
            self._last_progress = self._server.loop.time()
        self._piece_count = 0
        if len(data) <= PARSE_STEP_BYTES:
            self._parse(data)
        else:
            self._parse_in_steps(data)
        if self._piece_count > MAX_PIECES_AT_ONCE and not self._unparsed_input:
            self._pause_reading(PauseReason.INPUT_LEFT)
            self._server.loop.call_soon(self._parse_rest)
        if self._incoming is not None or self._queue or self._held_bytes:
            self._update_charge()
            if self._server.budget.is_exhausted:
                self._limit_held_input()

    def _parse_in_steps(self, data: bytes | memoryview) -> None:
        """Parse until the queue is full, or other connections have to get their turn; keep the rest for later."""
        position, parsed_before = 0, self._parsed_count
        while position < len(data) and not self._input_ignored:
            if self._is_queue_full() or self._parsed_count - parsed_before >= MAX_PARSED_AT_ONCE:
                self._unparsed_input = bytes(data[position:])
                self._pause_reading(PauseReason.INPUT_LEFT)
                if not self._is_queue_full():
                    self._server.loop.call_soon(self._parse_rest)
                return
            step = self._parse_step(len(data) - position)
            self._parse(data[position : position + step])
            position += step

    def _parse_step(self, size_bytes: int) -> int:
        """How many of `size_bytes` to parse at once: all of them if they belong to one body."""
        incoming = self._incoming
        if incoming is not None and self._head_complete and incoming.content_length is not None:
            return max(PARSE_STEP_BYTES, min(size_bytes, incoming.content_length - incoming.size))
        return PARSE_STEP_BYTES

    def _parse_rest(self) -> None:
        """Continue with what was read but not parsed, and read on if nothing of it is left."""
        data, self._unparsed_input = self._unparsed_input, b""
        if data and self._transport is not None and not self._input_ignored:
            self._parse_in_steps(data)
        self._update_charge()
        if not self._unparsed_input:
            self._resume_reading(PauseReason.INPUT_LEFT)

    def _parse(self, data: bytes | memoryview) -> None:
        """Pass bytes to the parser, and reject input that cannot be parsed."""
        if self._parser is None:
            return
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._incoming is not None and self._incoming.streamed_body is not None:
                self._incoming.move_body()
                self._forward_streamed_body(self._incoming)
            # The parser buffers a header or trailer until it is complete, so its size is limited here.
            if self._unparsed_bytes > 2 * MAX_HEAD_BYTES:
                self._reject_input(431, "head too large")
        except httptools.HttpParserUpgrade:
            pass  # rejected in on_headers_complete
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                self._reject_input(cause.status, str(cause))
            elif isinstance(error, httptools.HttpParserCallbackError):
                # An internal error: the request may have been answered already, and a 400 would be a second reply.
                log.error("internal error while parsing a client's request", exc_info=cause)
                # A request that still waits for its reply gets it, and the connection closes with that reply.
                self._input_ignored, self._keep_alive = True, False
                self.abort()
            else:
                self._reject_input(400, "malformed request")

    def _pause_reading(self, reason: PauseReason) -> None:
        """Stop reading from the client; what is not read stays with the system."""
        if not self._pause_reasons and self._transport is not None:
            self._transport.pause_reading()
        self._pause_reasons |= {reason}

    def _resume_reading(self, reason: PauseReason) -> None:
        """Read from the client again, unless there is another reason not to."""
        if reason not in self._pause_reasons:
            return
        self._pause_reasons -= {reason}
        if not self._pause_reasons and self._transport is not None:
            self._transport.resume_reading()

    def _limit_held_input(self) -> None:
        """Hold no more of a request while the budget is used up.

        Usual heads are still read. A body is forwarded as it arrives, if nothing is in progress before it; anything
        else is not read on until there is room.
        """
        incoming = self._incoming
        if incoming is None or incoming.streamed_body is not None or self._held_bytes <= buffering.FREE_BYTES:
            return
        if self._head_complete and not self._busy and not self._queue:
            self._start_streaming_body(incoming)
            self._forward_streamed_body(incoming)
            self._update_charge()
        else:
            self._pause_reading(PauseReason.NO_MEMORY)
            self._await_memory()

    def _await_memory(self) -> None:
        """Have the budget call back when there is room."""
        if not self._awaiting_memory:
            self._awaiting_memory = True
            self._server.budget.on_release(self._memory_released)

    def _memory_released(self) -> None:
        self._awaiting_memory = False
        self._resume_body()

    def _may_hold_more(self) -> bool:
        """Whether more of the request that is arriving may be held."""
        incoming = self._incoming
        if incoming is not None and incoming.streamed_body is not None:
            return incoming.streamed_body.accepts_more()
        return self._held_bytes <= buffering.FREE_BYTES or not self._server.budget.is_exhausted

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a new request."""
        now = self._server.loop.time()
        self._incoming = IncomingRequest(now)
        if self.sent_valid_request and not self._busy:
            self.waiting_since = now  # the first request on a connection is timed from the connect instead

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        incoming = self._incoming
        assert incoming is not None
        incoming.url += url
        self._add_head_bytes(incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header. Trailers have a size limit of their own and are otherwise ignored."""
        incoming = self._incoming
        assert incoming is not None
        if self._head_complete:
            incoming.trailer_size += len(name) + len(value) + 4
            if incoming.trailer_size > MAX_HEAD_BYTES:
                raise BadRequest(431, "trailers too large")
            return
        self._add_head_bytes(incoming, len(name) + len(value) + 4)
        incoming.add_header(name, value)

    def _add_head_bytes(self, incoming: IncomingRequest, size: int) -> None:
        incoming.head_size += size
        if incoming.head_size > MAX_HEAD_BYTES:
            raise BadRequest(431, "head too large")

    def on_headers_complete(self) -> None:
        """Validate the framing of the request and decide whether its body is buffered or streamed."""
        incoming = self._incoming
        assert incoming is not None
        self._head_complete, self._unparsed_bytes = True, 0
        parser = self._parser
        assert parser is not None
        incoming.method = parser.get_method()
        if parser.should_upgrade():
            raise BadRequest(501, "no upgrade is served")
        incoming.check_framing(parser.get_http_version(), self._server.max_body_bytes)
        self._last_progress = self._server.loop.time()
        if (incoming.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming_body(incoming)
        if (
            incoming.headers.get(b"expect", b"").lower() == b"100-continue"
            and not self._busy
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Buffer a chunk of the body, or forward it if the body is streamed."""
        incoming = self._incoming
        assert incoming is not None
        incoming.size += len(data)
        self._unparsed_bytes = 0
        self._piece_count += 1
        if incoming.size > MAX_BUFFERED_BODY_BYTES and incoming.streamed_body is None:
            self._start_streaming_body(incoming)
        if incoming.streamed_body is not None and incoming.size > self._server.max_body_bytes:
            raise BadRequest(413, "body too large")
        if incoming.streamed_body is None or len(data) < GATHERED_PIECE_BYTES:
            incoming.body += data  # small pieces of one read are forwarded together
            return
        incoming.move_body()
        incoming.streamed_body.append(data)

    def _start_streaming_body(self, incoming: IncomingRequest) -> None:
        """Switch to a streamed body: move what was received so far to a `Body`."""
        incoming.streamed_body = Body(self._server.budget, incoming.content_length)
        incoming.streamed_body.on_room = self._resume_body
        incoming.move_body()

    def _forward_streamed_body(self, incoming: IncomingRequest) -> None:
        """Dispatch a request with a streamed body once enough of it is here; pause reading while its buffer is full."""
        body = incoming.streamed_body
        if body is None:
            return
        scarce = (body.over_budget or self._server.budget.is_exhausted) and self._server.may_forward_early()
        if (
            not incoming.dispatched
            and not self._busy
            and not self._queue
            and buffering.should_forward(body.size, body.is_complete, scarce)
        ):
            self._server.forwarding.add(self)
            incoming.received_at = self._server.loop.time()
            incoming.dispatched, incoming.keep_alive = (
                True,
                cast(httptools.HttpRequestParser, self._parser).should_keep_alive(),
            )
            self._busy, self._keep_alive = True, incoming.keep_alive and not self.over_limit
            try:
                self._dispatch(incoming)
            except BadRequest as error:
                # The reply is sent at once; the rest of the request is read and discarded.
                body.drop()
                self._reply_rejection(error.status, str(error))
        if not body.accepts_more():
            if self._server.budget.is_exhausted:
                body.stop_buffering()
                self._await_memory()
            self._pause_reading(PauseReason.NO_MEMORY)

    def _resume_body(self) -> None:
        """Resume reading a request when there is room for it again."""
        if PauseReason.NO_MEMORY not in self._pause_reasons or self._transport is None:
            return
        if not self._may_hold_more():
            if self._server.budget.is_exhausted:
                self._await_memory()
            return
        self._last_progress = self._server.loop.time()
        self._resume_reading(PauseReason.NO_MEMORY)

    def peer_closed(self) -> bool:
        """Whether the client has closed the connection, also if that or data before it is not read yet."""
        return poll_socket(self._transport, select.POLLRDHUP)

    def on_message_complete(self) -> None:
        """Queue a complete request and serve it, or complete one that was dispatched while it was received."""
        incoming, self._incoming = self._incoming, None
        assert incoming is not None and self._parser is not None
        incoming.received_at = self._server.loop.time()
        incoming.keep_alive = self._parser.should_keep_alive()
        self._head_complete, self._unparsed_bytes = False, 0
        self._parsed_count += 1
        if incoming.streamed_body is not None:
            incoming.move_body()
            incoming.streamed_body.finish()
        if incoming.dispatched:
            self._server.forwarding.discard(self)
            self._streamed_request_complete()
            return
        if self._input_ignored:
            return  # the rest of a read behind a rejection
        self._queue.append(incoming)
        self._serve_next()
        if self._queue:
            self._queued_size += incoming.queued_bytes
            if self._is_queue_full():
                self._pause_reading(PauseReason.QUEUE_FULL)  # bounds the memory that pipelined requests use

    def _is_queue_full(self) -> bool:
        return len(self._queue) >= MAX_PIPELINED_REQUESTS or self._queued_size >= MAX_PIPELINED_BYTES

    def _streamed_request_complete(self) -> None:
        """Handle the end of a request that was dispatched before it was complete."""
        if self._current is not None:
            self._server.dispatcher.request_complete(self._current)
        elif not self._busy:  # it has been answered already
            self.waiting_since = self._server.loop.time()
            if self._keep_alive and not self._final_reply_sent:
                self._serve_next()
            elif self._transport is not None:
                self._transport.close()

    # Serving requests.

    def _reject_input(self, status: int, reason: str) -> None:
        """Queue a rejection of input that cannot be parsed, behind earlier replies; ignore all further input."""
        self._input_ignored, self._parser, self._unparsed_bytes = True, None, 0
        incoming = self._incoming or IncomingRequest(self._server.loop.time())
        self._incoming = None
        incoming.drop_body()
        if incoming.dispatched:
            # Part of it has been forwarded: the worker sees an incomplete request, the client a closed connection.
            if self._transport is not None:
                self._transport.abort()
            return
        incoming.rejection, incoming.keep_alive = (status, reason), False
        incoming.forwarded_lines, incoming.body, incoming.head_size = bytearray(), bytearray(), 0
        self._queue.append(incoming)
        self._serve_next()
        if self._queue:
            self._queued_size += incoming.queued_bytes
        self._update_charge()

    def _serve_next(self) -> None:
        """Take requests from the queue until one is in progress."""
        while (
            self._queue
            and not (self._busy or self._write_paused or self._final_reply_sent)
            and self._transport is not None
        ):
            if self.peer_closed():
                self._transport.abort()  # the queued requests have no client any more
                return
            incoming = self._queue.popleft()
            if self._queued_size:  # else it was not counted, as nothing was before it
                self._queued_size -= incoming.queued_bytes
            if not self._queue and self._pause_reasons:
                self._resume_reading(PauseReason.QUEUE_FULL)
                if self._unparsed_input:
                    self._server.loop.call_soon(self._parse_rest)
            self._busy = True
            self._keep_alive = incoming.keep_alive and not self.over_limit
            if incoming.rejection is not None:
                self._reply_rejection(*incoming.rejection)
                continue
            try:
                self._dispatch(incoming)
            except BadRequest as error:
                incoming.drop_body()
                self._reply_rejection(error.status, str(error))
        if self._incoming is not None and self._incoming.streamed_body is not None and not self._final_reply_sent:
            self._forward_streamed_body(self._incoming)

    def _drop_queue(self) -> None:
        """Release the queued requests: nothing more is answered on this connection."""
        for incoming in self._queue:
            incoming.drop_body()
        self._queue.clear()
        self._queued_size = 0

    def _dispatch(self, incoming: IncomingRequest) -> None:
        """Answer a health check, or submit the request to the dispatcher. Raises BadRequest if it is invalid."""
        path, _, query = incoming.url.partition(b"?")
        if path[:1] != b"/":
            if path == b"*" or incoming.method == b"CONNECT":
                raise BadRequest(400, "target")
            try:
                parsed = httptools.parse_url(incoming.url)  # a server must accept absolute-form (RFC 9112, 3.2.2)
            except httptools.HttpParserError as error:
                raise BadRequest(400, "target") from error
            path, query = parsed.path or b"/", parsed.query or b""
        if path == b"/healthz":
            if incoming.method not in (b"GET", b"HEAD"):
                raise BadRequest(405, "method")
            incoming.drop_body()
            ready = self._server.ready()
            self.reply(200 if ready else 503, b"", b"ok\n" if ready and incoming.method == b"GET" else b"")
            return
        server, now = self._server, self._server.loop.time()
        event, head, deadline = server.validator.validate(incoming, path, query, now)
        server.valid_request_received(self)
        if self.over_limit or server.shutdown_expired:
            incoming.drop_body()
            self.reply(503, b"Retry-After: 0.1\r\n", b"")
            return
        # The reply may be written before `submit` returns; then a disconnect has nothing left to cancel.
        self._http_1_0 = incoming.is_http_1_0
        body = bytes(incoming.body) if incoming.streamed_body is None else incoming.streamed_body
        request = server.dispatcher.submit(event, head, body, deadline, self.reply, self)
        if not request.is_over:
            self._current = request
            size_bytes = len(head) + len(incoming.body)
            if size_bytes > buffering.FREE_BYTES:
                self._current_bytes = size_bytes
                self._update_charge()

    def _reply_rejection(self, status: int, reason: str) -> None:
        """Reply to an invalid request with the reason, and close the connection.

        After a 404 or 405 the connection stays open, up to MAX_REJECTED_REQUESTS, which bounds the CPU time spent on
        such replies. Before the close, further input is read and discarded: a client that is still sending would lose
        the reply to a reset.
        """
        self._rejected_count += 1
        self._keep_alive = self._keep_alive and status in (404, 405) and self._rejected_count < MAX_REJECTED_REQUESTS
        self._input_ignored = self._input_ignored or not self._keep_alive
        self.lingering = not self._keep_alive
        self.reply(status, b"Content-Type: text/plain\r\n", reason.encode() + b"\n")

    def reply(self, status: int, headers: bytes, body: bytes) -> None:
        """Write the final reply to the current request; a second one is refused and counted."""
        if not self._busy:
            self._server.guard.refuse(Reason.REPLIED_TWICE, "write reply", status=status)
            return
        self._request_over()
        self._busy = False
        transport = self._transport
        if transport is None:
            return
        incomplete = self._incoming if self._incoming is not None and self._incoming.dispatched else None
        if incomplete is not None and incomplete.streamed_body is not None:
            self._server.forwarding.discard(self)
            incomplete.streamed_body.drop()  # the rest is read and discarded
        handing_off = self._server.hand_off is not None
        # Complete requests that are queued behind this one are answered before the connection closes.
        keep_alive = self._keep_alive and (
            handing_off
            or bool(self._queue)
            or not self._server.shutting_down
            and not self._server.presence.closes_connections()
        )
        self.waiting_since = self._server.loop.time()
        if self.sent_valid_request:
            self._server.reply_sent(self)
        transport.write(format_reply(status, headers, body, keep_alive))
        if keep_alive:
            if self._queue or self._incoming is not None and incomplete is None:
                self._server.loop.call_soon(self._serve_next)
            elif handing_off:
                self._server.loop.call_soon(self.hand_off)
            return
        if incomplete is not None:
            self.lingering = False  # closed once all of the request is received: a reset could lose the reply
            self._final_reply_sent = True
            return
        self._input_ignored = self._final_reply_sent = True
        self._drop_queue()
        if self.lingering:
            transport.write_eof()
            self._server.loop.call_later(LINGER_SECONDS, self.abort)
        else:
            transport.close()

    def _request_over(self) -> None:
        """Release the request in progress, which has its reply."""
        self._current = None
        if self._current_bytes:
            self._current_bytes = 0
            self._update_charge()

    # Streamed responses (ResponseSink).

    def begin(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Write the head of a streamed response; `length` is that of its body in bytes, if known."""
        self._request_over()
        transport = self._transport
        if transport is None:
            source.cancel()
            return
        self._response_source, self._last_progress = source, self._server.loop.time()
        self._streaming_output = True
        # What stays below this limit is not charged.
        limit_bytes = min(STREAM_WRITE_BUFFER_BYTES, int(STREAM_WRITE_BUFFER_SHARE * self._server.budget.limit_bytes))
        transport.set_write_buffer_limits(high=limit_bytes)
        # With the default send buffer a slow reader's progress would be visible only every ten seconds or more.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_SEND_BUFFER_BYTES)
        self._chunked = length is None and not self._http_1_0
        if length is None and self._http_1_0:
            self._keep_alive = False  # the close of the connection marks the end of the response
        if self._server.shutting_down or self._server.presence.closes_connections():
            self._keep_alive = self._keep_alive and (self._server.hand_off is not None or bool(self._queue))
        transport.write(format_stream_head(headers, length, self._chunked, self._keep_alive))

    def write(self, pieces: list[bytes]) -> bool:
        """Write pieces of the response; return whether more may follow at once.

        What the client has not read yet waits here as far as the budget allows: the worker, and the customer's
        concurrency slot, are released sooner.
        """
        transport = self._transport
        if transport is None:
            return True
        if self._write_paused or len(pieces) > MAX_SEPARATE_PIECES:
            pieces = [b"".join(pieces)]
        if self._chunked:
            pieces = [part for data in pieces for part in (b"%x\r\n" % len(data), data, b"\r\n")]
        if self._write_paused:
            self._keep_pending(b"".join(pieces))
        elif len(pieces) == 1:
            transport.write(pieces[0])
        else:
            transport.writelines(pieces)
        return not self._write_paused or self._server.budget.has_response_room()

    def _keep_pending(self, data: bytes) -> None:
        """Keep a part of a streamed response until the client reads on."""
        if self._pending_output is None:
            self._pending_output = PendingOutput()
        self._pending_output.append(data)
        self._update_charge()

    def end(self) -> None:
        """Complete the response, then serve the next request or close."""
        self._response_source = None
        if self._transport is None:
            return
        if self._chunked and self._write_paused:
            self._keep_pending(b"0\r\n\r\n")
        elif self._chunked:
            self._transport.write(b"0\r\n\r\n")
        if self._pending_output is not None:
            self._response_ending = True
        else:
            self._finish_response()

    def _finish_response(self) -> None:
        """Serve the next request or close: all of the response has been passed to the transport."""
        self._busy = False
        transport = self._transport
        if transport is None:
            return
        transport.set_write_buffer_limits(high=0)
        self._streaming_output = self._write_paused
        self.waiting_since = self._server.loop.time()
        if self.sent_valid_request:
            self._server.reply_sent(self)
        if not self._keep_alive or self._server.shutting_down and self._server.hand_off is None and not self._queue:
            self._input_ignored = self._final_reply_sent = True
            transport.close()
        elif self._queue:
            self._server.loop.call_soon(self._serve_next)
        elif self._server.hand_off is not None:
            self._server.loop.call_soon(self.hand_off)

    def abort_response(self) -> None:
        """Reset the connection: the client sees that the response is incomplete, also if the close would end it."""
        self._response_source = None
        if self._transport is not None:
            reset(self._transport)

    def hand_off(self) -> None:
        """Pass the connection to the successor process, unless a request is in progress on it.

        Unread input stays in the socket's buffer and goes along, so that no request is refused, reset or lost.
        """
        transport, hand_off = self._transport, self._server.hand_off
        if transport is None or hand_off is None or not self.is_idle() or transport.get_write_buffer_size():
            return  # retried after the reply, and in each sweep
        transport.pause_reading()
        if hand_off(os.dup(transport.get_extra_info("socket").fileno()), self.sent_valid_request):
            transport.abort()
        else:
            transport.resume_reading()

    def is_idle(self) -> bool:
        """Whether no request is in progress or queued, and the connection is not being closed."""
        if self._transport is None or self._transport.is_closing():
            return False
        return (
            not self._busy
            and self._incoming is None
            and not self._queue
            and not self._unparsed_input
            and not self.lingering
        )

    def close(self) -> None:
        """Close after the write buffer is sent, unless a reply is pending."""
        if self._transport is not None and self._may_close():
            self._transport.close()

    def abort(self) -> None:
        """Close at once and drop the write buffer, unless a reply is pending."""
        if self._transport is not None and self._may_close():
            self._transport.abort()

    def _may_close(self) -> bool:
        """Whether no reply is pending; a close that would lose one is refused and counted."""
        current = self._current
        reply_pending = current is not None and current.state is RequestState.PENDING
        if (reason := close_refusal(reply_pending)) is not None and current is not None:
            self._server.guard.refuse(reason, "close client", id=current.event.request, state=current.state.value)
        return reason is None

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it has been idle, slow or stalled for too long."""
        waited_seconds = now - self.waiting_since
        if self._transport is None or self.lingering:
            return
        if self._pause_reasons and self.peer_closed():
            self._transport.abort()
            return
        if self._write_paused:
            self._note_progress(now)
        if PauseReason.NO_MEMORY in self._pause_reasons and self._incoming is not None:
            self._forward_streamed_body(self._incoming)  # others that were forwarded early may have ended
            self._start_deadline_if_sent(self._incoming)
        if self._streaming_output:
            if self._write_paused and now - self._last_progress > STALL_TIMEOUT_SECONDS:
                self.abort()  # the client does not read its streamed response
        elif self._incoming is not None and self._head_complete:
            # A body times out when it makes no progress, except while its reading is paused for lack of buffer space.
            if (
                PauseReason.NO_MEMORY not in self._pause_reasons
                and now - self._last_progress > SLOW_CLIENT_TIMEOUT_SECONDS
            ):
                self._reject_input(408, "the body stands still")
        elif self._write_paused or self._transport.is_closing():
            if now - max(self.waiting_since, self._last_progress) > SLOW_CLIENT_TIMEOUT_SECONDS:
                self.abort()  # a client that does not read would hold memory and a descriptor
        elif self.is_idle():
            if waited_seconds > (IDLE_TIMEOUT_SECONDS if self.sent_valid_request else FIRST_REQUEST_TIMEOUT_SECONDS):
                self._transport.close()
        elif not self._busy and self._incoming is not None and waited_seconds > SLOW_CLIENT_TIMEOUT_SECONDS:
            self._reject_input(408, "too slow")

    def _start_deadline_if_sent(self, incoming: IncomingRequest) -> None:
        """Start the deadline of a request that is not read on, if its client may have sent all of it.

        The client counts from its last byte, which may wait for a worker that reads slowly: in the receive buffer here,
        or behind a full one, which takes no more, in the client's send buffer.
        """
        if not incoming.dispatched or self._current is None or incoming.content_length is None:
            return
        now, waiting_bytes = self._server.loop.time(), unread_bytes(self._transport)
        if waiting_bytes != self._waiting_input[1]:
            self._waiting_input = (now, waiting_bytes)
        remaining_bytes, since = incoming.content_length - incoming.size, self._waiting_input[0]
        is_full = since < now and waiting_bytes > 0 or waiting_bytes >= min(remaining_bytes, FULL_RECEIVE_BUFFER_BYTES)
        if is_full and remaining_bytes <= waiting_bytes + MAX_SEND_BUFFER_BYTES:
            self._server.dispatcher.request_sent(self._current, since)

    def stalled_byte_seconds(self, now: float) -> float:
        """What is held of a request that makes no progress, times its duration; 0 for one that proceeds.

        A request that its worker reads slowly does not count.
        """
        incoming = self._incoming
        stalled_seconds = now - self._last_progress
        if incoming is None or stalled_seconds < self._max_stalled_seconds(incoming):
            return 0.0
        body = incoming.streamed_body
        return (self._held_bytes + (body.held_bytes if body is not None else 0)) * stalled_seconds

    def _max_stalled_seconds(self, incoming: IncomingRequest) -> float:
        """How long the request may make no progress while memory is scarce."""
        if PauseReason.NO_MEMORY not in self._pause_reasons:
            return STALLED_HOLDER_SECONDS
        return math.inf if incoming.dispatched else STARVED_HOLDER_SECONDS  # the worker reads slowly

    def reject_stalled(self) -> None:
        """Reject a request that makes no progress: its memory is needed for others."""
        if PauseReason.NO_MEMORY in self._pause_reasons:
            self._resume_reading(PauseReason.NO_MEMORY)
            self._reject_input(503, "memory is scarce")
        else:
            self._reject_input(408, "the request stands still, and memory is scarce")
