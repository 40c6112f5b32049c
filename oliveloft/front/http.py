"""The HTTP/1.1 front end: client connections, request validation, and replies in request order.

`Server` holds the client connections of the process and their limits; each connection is a protocol object of its own.
A valid request goes to the `RequestDispatcher`, which calls back with the final reply, or with a streamed response.
"""

from __future__ import annotations

import asyncio
import logging
import os
import re
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from micagate import interface
from micagate.bodies import buffering
from micagate.invariants import Reason, RequestState, close_refusal
from micagate.operating.presence import Presence
from oliveloft.backend.limits import HOP_BY_HOP, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, STALL_TIMEOUT_SECONDS
from oliveloft.bodies.body import Body
from oliveloft.dispatch.dispatcher import Request, RequestDispatcher
from oliveloft.polling import poll_socket
from oliveloft.shared_types import BodySource

log = logging.getLogger("oliveloft")

IDLE_TIMEOUT_SECONDS = 2.0  # an idle client connection is closed after this time
FIRST_REQUEST_TIMEOUT_SECONDS = 2.0  # the same for a connection that has not sent a valid request yet
SLOW_CLIENT_TIMEOUT_SECONDS = 2.5  # time for a client to send a request, or to read a reply
LINGER_SECONDS = 0.5  # time for the client of a rejected request to read the reply and to close
MAX_LINGER_BYTES = 2 * MAX_BUFFERED_BODY_BYTES  # input that is read and discarded in that time
STREAM_SEND_BUFFER_BYTES = 128 * 1024  # SO_SNDBUF of a connection that carries a streamed response
MAX_REJECTED_REQUESTS = 3  # 404 or 405 replies until the connection is closed; other rejections close it at once
# Requests queued on one connection, and bytes of their bodies, at which reading from it pauses.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = MAX_BUFFERED_BODY_BYTES
SHUTDOWN_QUIET_SECONDS = 0.1  # a shutdown is complete after this time without a new connection
SHUTDOWN_FLUSH_SECONDS = 0.05  # time for the last replies to be sent at the end of a shutdown
MAX_OVERFLOW_CONNECTIONS = 24  # connections beyond the limit that still get a 503 reply
MAX_CACHED_WEIGHTS = 256  # distinct X-Weight values whose parsed form is cached
MAX_TIMEOUT_SECONDS = 86400.0  # a longer X-Timeout is rejected as invalid

SUPPORTED_VERSIONS = ("1.0", "1.1")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[A-Za-z0-9._~-]{1,128}")
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}
# Headers that apply to one hop only or that the gatekeeper sets itself; all others are forwarded to the worker.
NOT_FORWARDED_HEADERS = HOP_BY_HOP | {b"x-timeout", b"expect"}


class BadRequest(Exception):
    """A request that is rejected without being dispatched: `status` of the reply, and the reason as its body."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request while it is being received."""

    __slots__ = (
        "received_at",
        "method",
        "url",
        "headers",
        "forwarded_lines",
        "duplicate_header",
        "body_chunks",
        "size",
        "trailer_size",
        "keep_alive",
        "rejection",
        "streamed_body",
        "content_length",
        "dispatched",
        "is_http_1_0",
    )

    def __init__(self, received_at: float) -> None:
        self.received_at = received_at  # when its last byte was received, once it is complete: its deadline counts on
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_lines: list[bytes] = []  # the header lines that are forwarded to the worker
        self.duplicate_header = b""  # an X- header that occurs more than once
        self.body_chunks: list[bytes] = []
        self.size = 0  # bytes of the head, then of the body
        self.trailer_size = 0  # bytes of the trailer fields
        self.keep_alive = True
        self.rejection: tuple[int, str] | None = None
        self.streamed_body: Body | None = None  # set if the body is too large to buffer: forwarded as it is received
        self.content_length: int | None = None  # the announced length of the body
        self.dispatched = False  # dispatched, or answered, before all of it was received
        self.is_http_1_0 = False


class ClientConnection(asyncio.Protocol):
    """The protocol of one client connection: serves pipelined requests one after another and replies in order."""

    __slots__ = (
        "_server",
        "_transport",
        "_parser",
        "_incoming",
        "_head_complete",
        "_queue",
        "_current",
        "_keep_alive",
        "_queued_size",
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
        "_body_paused",
        "_response_source",
        "_chunked",
        "_http_1_0",
        "_budgeted_bytes",
        "_unsent_bytes",
        "_read_paused",
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._incoming: IncomingRequest | None = None
        self._head_complete = False
        self._queue: deque[IncomingRequest] = deque()
        self._current: Request | None = None
        self._queued_size = 0  # approximate size of the queued requests in bytes
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
        self._body_paused = False  # reading is paused because the buffers for request bodies are full
        self._read_paused = False  # reading is paused, so that the event loop does not report a close by the peer
        self._response_source: BodySource | None = None  # the sender of the streamed response in progress
        self._budgeted_bytes = 0  # unread bytes of streamed responses that are charged to the body budget
        self._unsent_bytes = 0  # size of the transport's write buffer when it was last checked
        self._chunked = self._http_1_0 = False  # framing of the streamed response; version of its request
        self._rejected_count = 0  # rejected requests on this connection
        # Bytes received since the last complete head, message or body part; once input is ignored, those discarded.
        self._unparsed_bytes = 0

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the server."""
        self._transport = cast(asyncio.Transport, transport)
        self.waiting_since = self._server.loop.time()
        self._server.client_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a client that has disconnected."""
        self._transport = self._parser = None  # parser and protocol refer to each other
        incoming, self._incoming = self._incoming, None
        self._queue.clear()
        current, self._current = self._current, None
        source, self._response_source = self._response_source, None
        if incoming is not None and incoming.streamed_body is not None:
            incoming.streamed_body.drop()
        if source is not None:
            source.cancel()
        self._release_budget()
        self._server.client_disconnected(self)
        if current is not None:
            self._server.dispatcher.client_disconnected(current)

    def pause_writing(self) -> None:
        """Start no further request until the client reads its replies."""
        self._write_paused = True
        self.waiting_since = self._server.loop.time()

    def resume_writing(self) -> None:
        """Resume the streamed response, or start the next request: the client reads again."""
        self._write_paused = False
        self._last_progress = self._server.loop.time()
        self._release_budget()
        if self._response_source is not None:
            self._response_source.resume()
        self._serve_next()

    def _release_budget(self) -> None:
        """Return the bytes of streamed responses that the client has read to the body budget."""
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unsent_bytes < self._unsent_bytes:
            self._last_progress = self._server.loop.time()
        self._unsent_bytes = unsent_bytes
        if (read_bytes := self._budgeted_bytes - unsent_bytes) > 0:
            self._budgeted_bytes -= read_bytes
            self._server.body_budget.release(read_bytes)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes: part of a request, or several requests."""
        if self._input_ignored or self._parser is None:
            # Input after a rejection is discarded, since closing with unread input would reset the connection and
            # could lose the reply. The limit bounds the CPU time that this takes.
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > MAX_LINGER_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        self._unparsed_bytes += len(data)
        if self._head_complete:
            self._last_progress = self._server.loop.time()
        try:
            self._parser.feed_data(data)
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

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a new request."""
        now = self._server.loop.time()
        self._incoming = IncomingRequest(now)
        if self.sent_valid_request and not self._busy:
            self.waiting_since = now  # the first request on a connection is timed from the connect instead

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        incoming = cast(IncomingRequest, self._incoming)
        incoming.url += url
        self._add_head_bytes(incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header. Trailers have a size limit of their own and are otherwise ignored."""
        incoming = cast(IncomingRequest, self._incoming)
        if self._head_complete:
            incoming.trailer_size += len(name) + len(value) + 4
            if incoming.trailer_size > MAX_HEAD_BYTES:
                raise BadRequest(431, "trailers too large")
            return
        self._add_head_bytes(incoming, len(name) + len(value) + 4)
        lower_name = name.lower()
        value = value.strip(b" \t")  # surrounding whitespace is not part of the value (RFC 9110, 5.5)
        if lower_name in incoming.headers:
            incoming.duplicate_header = lower_name if lower_name.startswith(b"x-") else incoming.duplicate_header
        incoming.headers[lower_name] = value
        if lower_name not in NOT_FORWARDED_HEADERS:
            incoming.forwarded_lines.append(b"%b: %b\r\n" % (name, value))

    def _add_head_bytes(self, incoming: IncomingRequest, size: int) -> None:
        incoming.size += size
        if incoming.size > MAX_HEAD_BYTES:
            raise BadRequest(431, "head too large")

    def on_headers_complete(self) -> None:
        """Validate the framing of the request and decide whether its body is buffered or streamed."""
        incoming = cast(IncomingRequest, self._incoming)
        self._head_complete, self._unparsed_bytes = True, 0
        parser = cast(httptools.HttpRequestParser, self._parser)
        incoming.method, incoming.size = parser.get_method(), 0
        if parser.should_upgrade():
            raise BadRequest(501, "no upgrade is served")
        if parser.get_http_version() not in SUPPORTED_VERSIONS:
            raise BadRequest(505, "HTTP version")
        coding = incoming.headers.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or parser.get_http_version() == "1.0"):
            raise BadRequest(501, "Transfer-Encoding")  # the parser accepts codings that are not decoded here
        length = incoming.headers.get(b"content-length")
        incoming.is_http_1_0 = parser.get_http_version() == "1.0"
        self._last_progress = self._server.loop.time()
        if length is not None:
            incoming.content_length = int(length)
            if incoming.content_length > self._server.max_body_bytes:
                raise BadRequest(413, "body too large")
            if incoming.content_length > MAX_BUFFERED_BODY_BYTES:
                self._start_streaming_body(incoming)
        if (
            incoming.headers.get(b"expect", b"").lower() == b"100-continue"
            and not self._busy
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Buffer a chunk of the body, or forward it if the body is streamed."""
        incoming = cast(IncomingRequest, self._incoming)
        incoming.size += len(data)
        self._unparsed_bytes = 0
        if incoming.size > MAX_BUFFERED_BODY_BYTES and incoming.streamed_body is None:
            self._start_streaming_body(incoming)
        if incoming.streamed_body is None:
            incoming.body_chunks.append(data)
            return
        if incoming.size > self._server.max_body_bytes:
            raise BadRequest(413, "body too large")
        incoming.streamed_body.append(data)
        self._forward_streamed_body(incoming)

    def _start_streaming_body(self, incoming: IncomingRequest) -> None:
        """Switch to a streamed body: move the chunks received so far to a `Body` under the shared body budget."""
        incoming.streamed_body = Body(self._server.body_budget, incoming.content_length)
        incoming.streamed_body.on_room = self._resume_body
        for chunk in incoming.body_chunks:
            incoming.streamed_body.append(chunk)
        incoming.body_chunks.clear()

    def _forward_streamed_body(self, incoming: IncomingRequest) -> None:
        """Dispatch a request with a streamed body once enough of it is here; pause reading while its buffer is full."""
        body = incoming.streamed_body
        if body is None:
            return
        if (
            not incoming.dispatched
            and not self._busy
            and not self._queue
            and buffering.should_forward(body.size, False, body.over_budget)
        ):
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
        if not body.accepts_more() and not self._body_paused and self._transport is not None:
            self._body_paused = self._read_paused = True
            self._transport.pause_reading()
            self._server.body_budget.on_release(self._resume_body)

    def _resume_body(self) -> None:
        """Resume reading a request body when there is room in the buffers again."""
        incoming = self._incoming
        if not self._body_paused or self._transport is None:
            return
        if incoming is not None and incoming.streamed_body is not None and not incoming.streamed_body.accepts_more():
            self._server.body_budget.on_release(self._resume_body)
            return
        self._body_paused, self._last_progress = False, self._server.loop.time()
        self._resume_reading()

    def _resume_reading(self) -> None:
        """Resume reading from the client."""
        self._read_paused = False
        if self._transport is not None:
            self._transport.resume_reading()

    def peer_closed(self) -> bool:
        """Whether the client has closed the connection, also if that or data before it is not read yet."""
        return poll_socket(self._transport, select.POLLRDHUP)

    def on_message_complete(self) -> None:
        """Queue a complete request and serve it, or complete one that was dispatched while it was received."""
        incoming, self._incoming = cast(IncomingRequest, self._incoming), None
        incoming.received_at = self._server.loop.time()
        incoming.keep_alive = cast(httptools.HttpRequestParser, self._parser).should_keep_alive()
        self._head_complete, self._unparsed_bytes = False, 0
        if incoming.streamed_body is not None:
            incoming.streamed_body.finish()
        if incoming.dispatched:
            self._streamed_request_complete()
            return
        self._queue.append(incoming)
        self._serve_next()
        if self._queue:
            self._queued_size += 1 + incoming.size
        if (
            len(self._queue) >= MAX_PIPELINED_REQUESTS or self._queued_size >= MAX_PIPELINED_BYTES
        ) and self._transport is not None:
            self._read_paused = True
            self._transport.pause_reading()  # bounds the memory that pipelined requests use

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
        if incoming.streamed_body is not None:
            incoming.streamed_body.drop()
        if incoming.dispatched:
            # Part of it has been forwarded: the worker sees an incomplete request, the client a closed connection.
            if self._transport is not None:
                self._transport.abort()
            return
        incoming.rejection, incoming.keep_alive = (status, reason), False
        self._queue.append(incoming)
        self._serve_next()

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
            if not self._queue and self._queued_size:
                self._queued_size = 0
                self._resume_reading()
            self._busy = True
            self._keep_alive = incoming.keep_alive and not self.over_limit
            if incoming.rejection is not None:
                self._reply_rejection(*incoming.rejection)
                continue
            try:
                self._dispatch(incoming)
            except BadRequest as error:
                self._reply_rejection(error.status, str(error))
        if self._incoming is not None and self._incoming.streamed_body is not None and not self._final_reply_sent:
            self._forward_streamed_body(self._incoming)

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
            ready = self._server.ready()
            self.reply(200 if ready else 503, b"", b"ok\n" if ready and incoming.method == b"GET" else b"")
            return
        server, now = self._server, self._server.loop.time()
        event, head, deadline = server.parse_request(incoming, path, query, now)
        server.valid_request_received(self)
        if self.over_limit or server.shutdown_expired:
            self.reply(503, b"Retry-After: 0.1\r\n", b"")
            return
        # The reply may be written before `submit` returns; then a disconnect has nothing left to cancel.
        self._http_1_0 = incoming.is_http_1_0
        body = b"".join(incoming.body_chunks) if incoming.streamed_body is None else incoming.streamed_body
        request = server.dispatcher.submit(event, head, body, deadline, self.reply, self)
        if not request.is_over:
            self._current = request

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
        self._current = None
        self._busy = False
        transport = self._transport
        if transport is None:
            return
        incomplete = self._incoming if self._incoming is not None and self._incoming.dispatched else None
        if incomplete is not None and incomplete.streamed_body is not None:
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
        transport.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                REASON_PHRASES[status],
                headers,
                len(body),
                b"" if keep_alive else b"Connection: close\r\n",
                body,
            )
        )
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
        self._queue.clear()
        if self.lingering:
            transport.write_eof()
            self._server.loop.call_later(LINGER_SECONDS, self.abort)
        else:
            transport.close()

    # Streamed responses (ResponseSink).

    def begin(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Write the head of a streamed response; `length` is that of its body in bytes, if known."""
        self._current = None
        transport = self._transport
        if transport is None:
            source.cancel()
            return
        self._response_source, self._last_progress = source, self._server.loop.time()
        # With the default send buffer a slow reader's progress would be visible only every ten seconds or more.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_SEND_BUFFER_BYTES)
        self._chunked = length is None and not self._http_1_0
        if length is None and self._http_1_0:
            self._keep_alive = False  # the close of the connection marks the end of the response
        if self._server.shutting_down or self._server.presence.closes_connections():
            self._keep_alive = self._keep_alive and (self._server.hand_off is not None or bool(self._queue))
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else (b"Content-Length: %d\r\n" % length if length is not None else b"")
        )
        transport.write(
            b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, b"" if self._keep_alive else b"Connection: close\r\n")
        )

    def write(self, data: bytes) -> bool:
        """Write a chunk of the response; return whether more may follow at once."""
        transport = self._transport
        if transport is None or not data:
            return True
        if self._chunked:
            transport.writelines((b"%x\r\n" % len(data), data, b"\r\n"))
        else:
            transport.write(data)
        if not self._write_paused:
            return True
        # What the client has not read yet is buffered here as far as the budget allows: the worker, and the customer's
        # concurrency slot, are released sooner.
        if not self._server.body_budget.acquire(len(data)):
            return False
        self._budgeted_bytes += len(data)
        return True

    def end(self) -> None:
        """Complete the response, then serve the next request or close."""
        self._response_source = None
        self._busy = False
        transport = self._transport
        if transport is None:
            return
        if self._chunked:
            transport.write(b"0\r\n\r\n")
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
        """Close the connection: the client sees that the response is incomplete."""
        self._response_source = None
        if self._transport is not None:
            self._transport.abort()

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
        return not self._busy and self._incoming is None and not self._queue and not self.lingering

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
        if self._read_paused and self.peer_closed():
            self._transport.abort()
            return
        if self._write_paused or self._budgeted_bytes:
            self._release_budget()
        if self._response_source is not None or self._budgeted_bytes:
            if self._write_paused and now - self._last_progress > STALL_TIMEOUT_SECONDS:
                self.abort()  # the client does not read its streamed response
        elif self._incoming is not None and self._head_complete:
            # A body times out when it makes no progress, except while its reading is paused for lack of buffer space.
            if not self._body_paused and now - self._last_progress > SLOW_CLIENT_TIMEOUT_SECONDS:
                self._reject_input(408, "the body stands still")
        elif self._write_paused or self._transport.is_closing():
            if waited_seconds > SLOW_CLIENT_TIMEOUT_SECONDS:
                self.abort()  # a client that does not read would hold memory and a descriptor
        elif self.is_idle():
            if waited_seconds > (IDLE_TIMEOUT_SECONDS if self.sent_valid_request else FIRST_REQUEST_TIMEOUT_SECONDS):
                self._transport.close()
        elif not self._busy and self._incoming is not None and waited_seconds > SLOW_CLIENT_TIMEOUT_SECONDS:
            self._reject_input(408, "too slow")


class Server:
    """The client connections of the process, their limits, and the validation of requests.

    `max_units` bounds the units of one request. At most `connection_limit` connections are open, at most `max_proven`
    of them after a valid request. `max_body_bytes` bounds one request body, `body_budget_bytes` all buffered bodies.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        max_units: float,
        connection_limit: int,
        max_proven: int,
        dispatcher: RequestDispatcher,
        presence: Presence | None = None,
        max_body_bytes: int = buffering.MAX_BODY_BYTES,
        body_budget_bytes: int = buffering.MAX_BUFFERED_BYTES,
    ) -> None:
        self.loop, self.dispatcher = loop, dispatcher
        self.guard = dispatcher.guard
        self.presence = Presence() if presence is None else presence
        self.max_body_bytes, self.body_budget = (
            max(max_body_bytes, MAX_BUFFERED_BODY_BYTES),
            buffering.BufferBudget(body_budget_bytes),
        )
        self.shutting_down = False  # shutdown has begun: every further reply closes its connection
        self.shutdown_expired = False  # the shutdown deadline has passed: further requests are refused
        self._connection_count = 0  # connections accepted since the start
        self.all_closed: asyncio.Event = asyncio.Event()
        self._connection_limit, self._max_proven = connection_limit, max_proven
        self._max_units, self._gateways = max_units, settings.gateways
        self._classes = {c.name.encode(): c for c in settings.classes}
        self._clients: dict[ClientConnection, None] = {}
        self._unproven: dict[ClientConnection, None] = {}  # no valid request yet; ordered by connect time
        # At least one valid request; ordered by the time of the last reply.
        self._proven: dict[ClientConnection, None] = {}
        self._plans = {p.name.encode() for p in settings.plans}
        self._has_workers = self._stopping = False
        self.accepting = False  # the process accepts client connections
        # Set during a hot restart: passes a descriptor, and whether a valid request was received on it, to the
        # successor process, and returns whether that took it.
        self.hand_off: Callable[[int, bool], bool] | None = None
        self._weight_cache: dict[bytes, tuple[float, int, int]] = {}

    def workers_available(self) -> None:
        """Record that workers are known."""
        self._has_workers = True

    def begin_shutdown(self) -> None:
        """Report not ready from now on; requests that still arrive are served."""
        self._stopping = True

    def ready(self) -> bool:
        """Whether load may be sent to this process; answered at /healthz."""
        return self._has_workers and not self._stopping and self.accepting and self.presence.draining_since is None

    def health(self) -> tuple[bool, str]:
        """Whether load may be sent to this process, and a description or the reason why not."""
        if self.hand_off is not None:
            return False, "another process serves in this one's place"
        if self.ready():
            return True, f"serving, {len(self._clients)} connections"
        if self._stopping:
            return False, "stopping"
        return False, "sending clients away" if self.presence.draining_since is not None else "no workers are known yet"

    def client_connected(self, client: ClientConnection) -> None:
        """Register a connection. At the limit, close another one to make room, or refuse this one.

        The oldest connection without a valid request is closed first, as well-behaved clients send a request as soon as
        they have connected; then the one that has been idle the longest.
        """
        if len(self._clients) >= self._connection_limit:
            if (other := next(iter(self._unproven), None)) is not None:
                self._unproven.pop(other)
                other.abort()
            elif (other := self._longest_idle()) is not None:
                other.close()  # not aborted: its last reply may still be in the write buffer
            elif len(self._clients) < self._connection_limit + MAX_OVERFLOW_CONNECTIONS:
                client.over_limit = True
            else:
                client.abort()  # keeps descriptors free for workers and discovery
        self._connection_count += 1
        self._clients[client] = self._unproven[client] = None

    def make_room(self) -> None:
        """Free a descriptor for a new client: close the connection that has been idle the longest.

        If no connection with a valid request is idle, the oldest idle one without is closed.
        """
        other = self._longest_idle() or next((client for client in self._unproven if client.is_idle()), None)
        if other is not None:
            other.close()

    def valid_request_received(self, client: ClientConnection) -> None:
        """Record the first valid request on a connection; close the longest idle one if too many are proven."""
        if client.sent_valid_request:
            return
        client.sent_valid_request = True
        self._unproven.pop(client, None)
        self._proven[client] = None
        if len(self._proven) > self._max_proven and (other := self._longest_idle()) is not None:
            # Clients that open a connection for each request and keep it would otherwise reach their own limit on
            # open connections, and could send no further request.
            other.close()

    def reply_sent(self, client: ClientConnection) -> None:
        """Move a connection to the end of the idle order after a reply."""
        self._proven.pop(client, None)
        self._proven[client] = None

    def _longest_idle(self) -> ClientConnection | None:
        """The connection with a valid request that has been idle the longest, or None."""
        return next((client for client in self._proven if client.is_idle()), None)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        self._clients.pop(client, None)
        self._unproven.pop(client, None)
        self._proven.pop(client, None)
        if self.shutting_down and not self._clients:
            self.all_closed.set()

    def sweep(self) -> None:
        """Apply the timeouts to all connections; hand off, or close, the idle ones where that is due."""
        now = self.loop.time()
        if self.hand_off is not None:
            self.hand_off_idle()
        closing_idle = self.presence.closes_idle_connections(now)
        for client in list(self._clients):
            if closing_idle and client.is_idle():
                client.close()
            else:
                client.check_timeouts(now)

    def hand_off_idle(self) -> None:
        """Pass all idle connections to the successor process, if there is one."""
        if self.hand_off is not None:
            for client in list(self._clients):
                client.hand_off()

    async def adopt(self, sock: socket.socket, sent_valid_request: bool) -> None:
        """Take over an idle connection from the predecessor process; its unread input is read here."""
        client = ClientConnection(self)
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()
            return
        if sent_valid_request:
            self.valid_request_received(client)

    async def drain(self, deadline: float) -> None:
        """Answer each request with `Connection: close` until all connections are closed, or until `deadline`.

        The close of an idle connection may cross a request, which the client then sends again on a new connection.
        So the drain ends only after SHUTDOWN_QUIET_SECONDS without a new connection. Requests that are still pending at
        the deadline are answered then.
        """
        self.shutting_down = True
        self.hand_off_idle()
        for client in list(self._clients):
            if client.is_idle():
                client.close()
        connection_count = -1
        while (remaining_seconds := deadline - self.loop.time()) > 0 and (
            self._clients or connection_count != self._connection_count
        ):
            if await self._wait_until_empty(remaining_seconds):
                connection_count = self._connection_count
                await asyncio.sleep(min(SHUTDOWN_QUIET_SECONDS, max(0.0, deadline - self.loop.time())))
        if self._clients:
            self.shutdown_expired = True
            self.dispatcher.end_all_requests()
            if not await self._wait_until_empty(SHUTDOWN_FLUSH_SECONDS):
                log.warning("%d client connections still open after the shutdown deadline", len(self._clients))

    async def _wait_until_empty(self, timeout_seconds: float) -> bool:
        """Wait until all connections are closed; return whether that happened in time."""
        if self._clients:
            self.all_closed.clear()
            try:
                await asyncio.wait_for(self.all_closed.wait(), timeout_seconds)
            except TimeoutError:
                return False
        return True

    def parse_request(
        self, incoming: IncomingRequest, path: bytes, query: bytes, now: float
    ) -> tuple[interface.Request, bytes, float]:
        """Validate a request; return the gateway's event, the head for the worker and the deadline (loop time).

        Raises BadRequest.
        """
        first_segment = path[1:].partition(b"/")[0]
        headers = incoming.headers
        class_name = headers.get(b"x-priority-class")
        klass = self._classes.get(first_segment)
        if klass is None:
            raise BadRequest(404, "path")  # the first path segment must name a request class
        if class_name != first_segment:
            raise BadRequest(400, "X-Priority-Class")  # header and path must name the same class
        if incoming.method != (b"GET" if klass.effect == interface.PURE else b"POST"):
            raise BadRequest(405, "method")
        if (incoming.body_chunks or incoming.streamed_body is not None) and klass.effect == interface.PURE:
            raise BadRequest(400, "body")
        if incoming.duplicate_header:
            raise BadRequest(400, incoming.duplicate_header.decode("latin-1"))
        request_id, timeout = headers.get(b"x-request-id", b""), headers.get(b"x-timeout", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequest(400, "X-Request-ID")
        if not DECIMAL_PATTERN.fullmatch(timeout) or float(timeout) > MAX_TIMEOUT_SECONDS:
            raise BadRequest(400, "X-Timeout")
        plan = headers.get(b"x-tariff", b"")
        if plan not in self._plans:
            raise BadRequest(400, "X-Tariff")
        customers = [part[9:] for part in query.split(b"&") if part.startswith(b"customer=")]
        if len(customers) != 1 or not CUSTOMER_PATTERN.fullmatch(customers[0]) or int(customers[0], 16) >= 2**33:
            raise BadRequest(400, "customer")
        weight = headers.get(b"x-weight", b"")
        parsed_weight = self._weight_cache.get(weight)  # few distinct values are in use
        if parsed_weight is None:
            parsed_weight = self._parse_weight(weight)
            if len(self._weight_cache) < MAX_CACHED_WEIGHTS:
                self._weight_cache[weight] = parsed_weight
        units, gateway_count, first_gateway = parsed_weight
        deadline = incoming.received_at + min(float(timeout), klass.deadline)
        request_name = request_id.decode()
        if self.dispatcher.has_request(request_name):
            raise BadRequest(400, "X-Request-ID is in use")
        event = interface.Request(
            request=request_name,
            klass=class_name.decode(),
            plan=plan.decode(),
            customer=customers[0].decode().lower(),
            time_left=max(0.0, deadline - now),
            units=units,
            gateway_count=gateway_count,
            client_retry=headers.get(b"x-retried") == b"1",
            first_gateway=first_gateway,
            complete=incoming.streamed_body is None or incoming.streamed_body.is_complete,
            long_body=incoming.streamed_body is not None,
        )
        target = path + b"?" + query
        size = sum(map(len, incoming.body_chunks))
        if incoming.streamed_body is not None:
            if incoming.streamed_body.is_complete:
                incoming.streamed_body.content_length = incoming.streamed_body.size
            size = incoming.streamed_body.content_length or 0
        length = b"Content-Length: %d\r\n" % size if incoming.method == b"POST" or size else b""
        if incoming.streamed_body is not None and incoming.streamed_body.content_length is None:
            length = b"Transfer-Encoding: chunked\r\n"
        head = b"%b %b HTTP/1.1\r\n%b%b" % (incoming.method, target, b"".join(incoming.forwarded_lines), length)
        return event, head, deadline

    def _parse_weight(self, text: bytes) -> tuple[float, int, int]:
        """The units, gateway count (`spread`) and first gateway of an X-Weight header. Raises BadRequest."""
        parts = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
        units, gateway_count, first_gateway = (parts.get(key, b"") for key in (b"units", b"spread", b"first"))
        if not all(DECIMAL_PATTERN.fullmatch(part) for part in (units, gateway_count, first_gateway)):
            raise BadRequest(400, "X-Weight")
        if (
            b"." in gateway_count + first_gateway
            or not 0 < float(units) <= self._max_units
            or not 1 <= int(gateway_count) <= self._gateways
            or int(first_gateway) >= self._gateways
        ):
            raise BadRequest(400, "X-Weight")
        return float(units), int(gateway_count), int(first_gateway)
