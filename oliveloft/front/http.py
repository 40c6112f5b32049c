"""The side of the clients: HTTP/1.1 connections, what a request must look like, and replies in order."""

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
from oliveloft.backend.limits import HOP_BY_HOP, MAX_BODY, MAX_HEAD, STANDS
from oliveloft.bodies.body import Body
from oliveloft.dispatch.dispatcher import Request, RequestDispatcher
from oliveloft.shared_types import BodySource

log = logging.getLogger("oliveloft")

IDLE = 2.0  # seconds after which an idle client connection is closed
SILENT = 2.0  # the same for one that has not sent a request that could be served
SLOW = 2.5  # seconds that a client may take over sending a request, or over reading a reply
LINGER = 0.5  # seconds that a turned-down client has to read the reply and to close
LINGER_BYTES = 2 * MAX_BODY  # of the rest of a turned-down request that are read off in that time
SENT = 128 * 1024  # bytes of a long answer that the system may take for a client that reads slowly
MISTAKES = 3  # requests turned down on one connection, after which it is closed
PIPELINE = 16  # requests held of one connection before it is read no further, or bytes of their bodies
PIPELINE_BYTES = MAX_BODY
QUIET = 0.1  # seconds without a new connection after which the last one has come
FLUSH = 0.05  # seconds that the last replies have to leave
SPARE = 24  # connections beyond the bound that still hear a refusal
MOST_WEIGHTS = 256  # forms of X-Weight kept as read
LONGEST_WAIT = 86400.0  # seconds: a longer X-Timeout is absurd

VERSIONS = ("1.0", "1.1")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
NAME = re.compile(rb"[A-Za-z0-9._~-]{1,128}")
REASONS = {
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
# Of the gatekeeper's own making, or for this hop only; the rest of a request's headers goes on.
NOT_ON = HOP_BY_HOP | {b"x-timeout", b"expect"}


class BadRequest(Exception):
    """A request that is turned down unseen; the status and what is wrong."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Incoming:
    """A request as it comes in."""

    __slots__ = (
        "seen",
        "method",
        "url",
        "fields",
        "lines",
        "twice",
        "body",
        "size",
        "keep",
        "refusal",
        "long",
        "length",
        "begun",
        "old",
    )

    def __init__(self, seen: float) -> None:
        self.seen = seen  # when its last byte was seen, once it is whole: its time counts from there
        self.method = b""
        self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.lines: list[bytes] = []  # the header lines that go on
        self.twice = b""
        self.body: list[bytes] = []
        self.size = 0
        self.keep = True
        self.refusal: tuple[int, str] | None = None
        self.long: Body | None = None  # a body that is passed on while it comes
        self.length: int | None = None  # of the body, as announced
        self.begun = False  # passed on, or answered, before it is whole
        self.old = False  # HTTP/1.0


class Client(asyncio.Protocol):
    """One client connection: requests are served one after another, replies go out in their order."""

    __slots__ = (
        "_server",
        "_transport",
        "_parser",
        "_incoming",
        "_headed",
        "_queue",
        "_current",
        "_keep",
        "_waiting",
        "_busy",
        "_paused",
        "_stopped",
        "_ended",
        "_mistakes",
        "_unread",
        "lingering",
        "since",
        "overflow",
        "good",
        "_moved",
        "_held",
        "_source",
        "_chunked",
        "_old",
        "_owed",
        "_left",
        "_deaf",
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._incoming: Incoming | None = None
        self._headed = False
        self._queue: deque[Incoming] = deque()
        self._current: Request | None = None
        self._waiting = 0  # what the queue holds, roughly
        self._busy = False  # a request is being answered
        self._keep = True
        self._paused = False  # the client does not read its replies
        self._stopped = False  # nothing further is read of it
        self._ended = False  # the last reply is out
        self.lingering = False
        self.since = 0.0  # when it became idle, or when the request on its way began
        self.overflow = False  # one too many: its first request is refused
        self.good = False  # it has sent a request that could be served
        self._moved = 0.0  # when a body last moved
        self._held = False  # it is read no further, for want of room for what it sends
        self._deaf = False  # it is read no further, so that nothing tells of its leaving
        self._source: BodySource | None = None  # of a long answer on its way
        self._owed = 0  # bytes of the budget that answers which the client has not read hold
        self._left = 0  # bytes that waited for it at the last look
        self._chunked = self._old = False  # how that goes out; whether its request was HTTP/1.0
        self._mistakes = 0  # requests of it that were turned down
        self._unread = 0  # bytes in which no message was whole, nor its head; then those of a given up client

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self.since = self._server.loop.time()
        self._server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has left; what it asked for is owed no more."""
        self._transport = self._parser = None  # parser and protocol refer to each other
        incoming, self._incoming = self._incoming, None
        self._queue.clear()
        current, self._current = self._current, None
        source, self._source = self._source, None
        if incoming is not None and incoming.long is not None:
            incoming.long.drop()
        if source is not None:
            source.cancel()
        self._pay()
        self._server.left(self)
        if current is not None:
            self._server.dispatcher.client_disconnected(current)

    def pause_writing(self) -> None:
        """The client does not read: nothing more is begun for it."""
        self._paused = True
        self.since = self._server.loop.time()

    def resume_writing(self) -> None:
        """The client reads again."""
        self._paused = False
        self._moved = self._server.loop.time()
        self._pay()
        if self._source is not None:
            self._source.resume()
        self._next()

    def _pay(self) -> None:
        """Give back what the client has read of long answers."""
        left = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if left < self._left:
            self._moved = self._server.loop.time()
        self._left = left
        if (read := self._owed - left) > 0:
            self._owed -= read
            self._server.budget.give(read)

    def data_received(self, data: bytes) -> None:
        """A piece of a request, or several requests."""
        if self._stopped or self._parser is None:
            # Guards the processor: what a client goes on sending once it is given up is read off, as a reply
            # could be lost to a reset, but only so much of it.
            self._unread += len(data)
            if self._unread > LINGER_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        self._unread += len(data)
        if self._headed:
            self._moved = self._server.loop.time()
        try:
            self._parser.feed_data(data)
            # Guards the memory: the parser gathers a header or trailer to its end, and tells only then.
            if self._incoming is not None and self._incoming.long is not None:
                self._unread = 0  # a bound of its own holds
            if self._unread > MAX_HEAD + 4 * MAX_BODY or (self._unread > 2 * MAX_HEAD and not self._headed):
                self._turn_down(431, "head too large")
        except httptools.HttpParserUpgrade:
            pass  # turned down when its head was read
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                self._turn_down(cause.status, str(cause))
            elif isinstance(error, httptools.HttpParserCallbackError):
                # A fault of this side's: what it was about may have been answered, and a 400 would be a second answer.
                log.error("fault at a client's request", exc_info=cause)
                self._stopped, self._keep = True, False  # what is owed a reply gets it, and the close comes with it
                self.abort()
            else:
                self._turn_down(400, "malformed request")

    # The parser's side.

    def on_message_begin(self) -> None:
        """A request begins."""
        now = self._server.loop.time()
        self._incoming = Incoming(now)
        if self.good and not self._busy:
            self.since = now  # of the first request on a connection the time counts from connecting

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        incoming = cast(Incoming, self._incoming)
        incoming.url += url
        self._count(incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which is left."""
        incoming = cast(Incoming, self._incoming)
        self._count(incoming, len(name) + len(value) + 4)
        if self._headed:
            return
        lower = name.lower()
        value = value.strip(b" \t")  # white space round a value is no part of it (RFC 9110, 5.5)
        if lower in incoming.fields:
            incoming.twice = lower if lower.startswith(b"x-") else incoming.twice
        incoming.fields[lower] = value
        if lower not in NOT_ON:
            incoming.lines.append(b"%b: %b\r\n" % (name, value))

    def _count(self, incoming: Incoming, size: int) -> None:
        incoming.size += size
        if incoming.size > MAX_HEAD:
            raise BadRequest(431, "head too large")

    def on_headers_complete(self) -> None:
        """The head is whole."""
        incoming = cast(Incoming, self._incoming)
        self._headed, self._unread = True, 0
        parser = cast(httptools.HttpRequestParser, self._parser)
        incoming.method, incoming.size = parser.get_method(), 0
        if parser.should_upgrade():
            raise BadRequest(501, "no upgrade is served")
        if parser.get_http_version() not in VERSIONS:
            raise BadRequest(505, "HTTP version")
        coding = incoming.fields.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or parser.get_http_version() == "1.0"):
            raise BadRequest(501, "Transfer-Encoding")  # the parser lets more through than is decoded here
        length = incoming.fields.get(b"content-length")
        incoming.old = parser.get_http_version() == "1.0"
        self._moved = self._server.loop.time()
        if length is not None:
            incoming.length = int(length)
            if incoming.length > self._server.longest:
                raise BadRequest(413, "body too large")
            if incoming.length > MAX_BODY:
                self._long(incoming)
        if (
            incoming.fields.get(b"expect", b"").lower() == b"100-continue"
            and not self._busy
            and self._transport is not None
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        incoming = cast(Incoming, self._incoming)
        incoming.size += len(data)
        if incoming.size > MAX_BODY and incoming.long is None:
            self._long(incoming)
        if incoming.long is None:
            incoming.body.append(data)
            return
        if incoming.size > self._server.longest:
            raise BadRequest(413, "body too large")
        incoming.long.append(data)
        self._pass_on(incoming)

    def _long(self, incoming: Incoming) -> None:
        """A body turns out to be long: what has come of it is held under the bound on all such."""
        incoming.long = Body(self._server.budget, incoming.length)
        incoming.long.drained = self._drained
        for piece in incoming.body:
            incoming.long.append(piece)
        incoming.body.clear()

    def _pass_on(self, incoming: Incoming) -> None:
        """Begin with a long request before it is whole, if it is time, and hold its sender where it can't go on."""
        body = incoming.long
        if body is None:
            return
        if (
            not incoming.begun
            and not self._busy
            and not self._queue
            and buffering.begins(body.size, False, body.scarce)
        ):
            incoming.seen = self._server.loop.time()
            incoming.begun, incoming.keep = True, cast(httptools.HttpRequestParser, self._parser).should_keep_alive()
            self._busy, self._keep = True, incoming.keep and not self.overflow
            try:
                self._begin(incoming)
            except BadRequest as error:
                # Answered at once; what still comes is read off and left.
                body.drop()
                self._reject(error.status, str(error))
        if not body.reads_on() and not self._held and self._transport is not None:
            self._held = self._deaf = True
            self._transport.pause_reading()
            self._server.budget.wait(self._drained)

    def _drained(self) -> None:
        """There is room again for what a client sends."""
        incoming = self._incoming
        if not self._held or self._transport is None:
            return
        if incoming is not None and incoming.long is not None and not incoming.long.reads_on():
            self._server.budget.wait(self._drained)
            return
        self._held, self._moved = False, self._server.loop.time()
        self._hear()

    def _hear(self) -> None:
        """Read it again, where it was read no further."""
        self._deaf = False
        if self._transport is not None:
            self._transport.resume_reading()

    def _gone(self) -> bool:
        """Whether it has left, where nothing is read of it: the system knows, also behind what it has sent."""
        if not self._deaf or self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def on_message_complete(self) -> None:
        """A request is whole."""
        incoming, self._incoming = cast(Incoming, self._incoming), None
        incoming.seen = self._server.loop.time()
        incoming.keep = cast(httptools.HttpRequestParser, self._parser).should_keep_alive()
        self._headed, self._unread = False, 0
        if incoming.long is not None:
            incoming.long.finish()
        if incoming.begun:
            self._sent_whole()
            return
        self._queue.append(incoming)
        self._next()
        if self._queue:
            self._waiting += 1 + incoming.size
        if (len(self._queue) >= PIPELINE or self._waiting >= PIPELINE_BYTES) and self._transport is not None:
            self._deaf = True
            self._transport.pause_reading()  # guards the memory: what waits here is bounded

    def _sent_whole(self) -> None:
        """The last byte of a request that was begun before has come."""
        if self._current is not None:
            self._server.dispatcher.request_complete(self._current)
        elif not self._busy:  # it was answered before
            self.since = self._server.loop.time()
            if self._keep and not self._ended:
                self._next()
            elif self._transport is not None:
                self._transport.close()

    # Serving.

    def _turn_down(self, status: int, why: str) -> None:
        """Answer what cannot be read in its turn, then close; nothing after it is read."""
        self._stopped, self._parser, self._unread = True, None, 0
        incoming = self._incoming or Incoming(self._server.loop.time())
        self._incoming = None
        if incoming.long is not None:
            incoming.long.drop()
        if incoming.begun:
            # It was passed on in part: whoever has that sees that it is not whole, and the client a close.
            if self._transport is not None:
                self._transport.abort()
            return
        incoming.refusal, incoming.keep = (status, why), False
        self._queue.append(incoming)
        self._next()

    def _next(self) -> None:
        """Begin the next request, if none is on its way."""
        while self._queue and not (self._busy or self._paused or self._ended) and self._transport is not None:
            if self._gone():
                self._transport.abort()  # what waits here is not begun for nobody
                return
            incoming = self._queue.popleft()
            if not self._queue and self._waiting:
                self._waiting = 0
                self._hear()
            self._busy = True
            self._keep = incoming.keep and not self.overflow
            if incoming.refusal is not None:
                self._reject(*incoming.refusal)
                continue
            try:
                self._begin(incoming)
            except BadRequest as error:
                self._reject(error.status, str(error))
        if self._incoming is not None and self._incoming.long is not None and not self._ended:
            self._pass_on(self._incoming)

    def _begin(self, incoming: Incoming) -> None:
        path, _, query = incoming.url.partition(b"?")
        if path[:1] != b"/":
            if path == b"*" or incoming.method == b"CONNECT":
                raise BadRequest(400, "target")
            try:
                parsed = httptools.parse_url(incoming.url)  # the absolute form, which a server must take
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
        event, head, deadline = server.read(incoming, path, query, now)
        server.served(self)
        if self.overflow or server.ended:
            self.reply(503, b"Retry-After: 0.1\r\n", b"")
            return
        # A reply may come before `submit` returns; then there is nothing left to abandon.
        self._old = incoming.old
        body = b"".join(incoming.body) if incoming.long is None else incoming.long
        request = server.dispatcher.submit(event, head, body, deadline, self.reply, self)
        if not request.ended:
            self._current = request

    def _reject(self, status: int, why: str) -> None:
        """A request that was never taken on: the reason goes out, and the connection is closed.

        A reader that is still sending would lose the reply to a reset, so what it sends is read off. Nothing
        asked of what isn't there is answered for long, as answers cost others their processor.
        """
        self._mistakes += 1
        self._keep = self._keep and status in (404, 405) and self._mistakes < MISTAKES
        self._stopped = self._stopped or not self._keep
        self.lingering = not self._keep
        self.reply(status, b"Content-Type: text/plain\r\n", why.encode() + b"\n")

    def reply(self, status: int, headers: bytes, body: bytes) -> None:
        """The final reply to the request on its way."""
        if not self._busy:
            self._server.guard.refuse(Reason.REPLIED_TWICE, "write reply", status=status)
            return
        self._current = None
        self._busy = False
        transport = self._transport
        if transport is None:
            return
        coming = self._incoming if self._incoming is not None and self._incoming.begun else None
        if coming is not None and coming.long is not None:
            coming.long.drop()  # the rest is read off and left
        hands = self._server.hand is not None
        # What is whole behind it has been taken: it is answered before the connection ends.
        keep = self._keep and (
            hands or bool(self._queue) or not self._server.closing and not self._server.presence.closes()
        )
        self.since = self._server.loop.time()
        if self.good:
            self._server.rested(self)
        transport.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (status, REASONS[status], headers, len(body), b"" if keep else b"Connection: close\r\n", body)
        )
        if keep:
            if self._queue or self._incoming is not None and coming is None:
                self._server.loop.call_soon(self._next)
            elif hands:
                self._server.loop.call_soon(self.hand)
            return
        if coming is not None:
            self.lingering = False  # closed once all of the request has come: a reset could take the reply away
            self._ended = True
            return
        self._stopped = self._ended = True
        self._queue.clear()
        if self.lingering:
            transport.write_eof()
            self._server.loop.call_later(LINGER, self.abort)
        else:
            transport.close()

    # A long answer, as it comes.

    def begin(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """The answer begins, of this many bytes if that is known."""
        self._current = None
        transport = self._transport
        if transport is None:
            source.cancel()
            return
        self._source, self._moved = source, self._server.loop.time()
        # Else the system takes so much that a slow reader's progress shows only every ten seconds or more.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SENT)
        self._chunked = length is None and not self._old
        if length is None and self._old:
            self._keep = False  # the close ends it
        if self._server.closing or self._server.presence.closes():
            self._keep = self._keep and (self._server.hand is not None or bool(self._queue))
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else (b"Content-Length: %d\r\n" % length if length is not None else b"")
        )
        transport.write(
            b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, b"" if self._keep else b"Connection: close\r\n")
        )

    def write(self, data: bytes) -> bool:
        """A piece of the answer; whether the client takes more at once."""
        transport = self._transport
        if transport is None or not data:
            return True
        if self._chunked:
            transport.writelines((b"%x\r\n" % len(data), data, b"\r\n"))
        else:
            transport.write(data)
        if not self._paused:
            return True
        # What the client has not read yet is held here as far as there is room: the worker, and its customer's place,
        # are free sooner.
        if not self._server.budget.take(len(data)):
            return False
        self._owed += len(data)
        return True

    def end(self) -> None:
        """The answer is whole."""
        self._source = None
        self._busy = False
        transport = self._transport
        if transport is None:
            return
        if self._chunked:
            transport.write(b"0\r\n\r\n")
        self.since = self._server.loop.time()
        if self.good:
            self._server.rested(self)
        if not self._keep or self._server.closing and self._server.hand is None and not self._queue:
            self._stopped = self._ended = True
            transport.close()
        elif self._queue:
            self._server.loop.call_soon(self._next)
        elif self._server.hand is not None:
            self._server.loop.call_soon(self.hand)

    def abort_response(self) -> None:
        """The answer never will be whole: the client sees its connection end before."""
        self._source = None
        if self._transport is not None:
            self._transport.abort()

    def hand(self) -> None:
        """Give the connection to the process that serves now, unless something of a request is on it.

        What the client has sent and nobody has read goes along, so that no request is refused, reset or unread.
        """
        transport, give = self._transport, self._server.hand
        if transport is None or give is None or not self.idle() or transport.get_write_buffer_size():
            return  # later: with its reply, or at the next look at all of them
        transport.pause_reading()
        if give(os.dup(transport.get_extra_info("socket").fileno()), self.good):
            transport.abort()
        else:
            transport.resume_reading()

    def idle(self) -> bool:
        """Whether nothing of a request is on its way, and nothing has begun to close it."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not self._busy and self._incoming is None and not self._queue and not self.lingering

    def close(self) -> None:
        """Close between requests, or once a client has been given up."""
        if self._transport is not None and self._may_close():
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None and self._may_close():
            self._transport.abort()

    def _may_close(self) -> bool:
        current = self._current
        owed = current is not None and current.state is RequestState.PENDING
        if (reason := close_refusal(owed)) is not None and current is not None:
            self._server.guard.refuse(reason, "close client", id=current.event.request, state=current.state.value)
        return reason is None

    def sweep(self, now: float) -> None:
        """Close what has been idle, or slow, for too long."""
        waited = now - self.since
        if self._transport is None or self.lingering:
            return
        if self._gone():
            self._transport.abort()
            return
        if self._paused or self._owed:
            self._pay()
        if self._source is not None or self._owed:
            if self._paused and now - self._moved > STANDS:
                self.abort()  # a client that reads nothing of a long answer
        elif self._incoming is not None and self._headed:
            # A body is judged by its progress, but not while it is held here for want of room.
            if not self._held and now - self._moved > SLOW:
                self._turn_down(408, "the body stands still")
        elif self._paused or self._transport.is_closing():
            if waited > SLOW:
                self.abort()  # guards memory and descriptors against a client that does not read
        elif self.idle():
            if waited > (IDLE if self.good else SILENT):
                self._transport.close()
        elif not self._busy and self._incoming is not None and waited > SLOW:
            self._turn_down(408, "too slow")


class Server:
    """All client connections, and the bound on them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        units_top: float,
        limit: int,
        kept: int,
        dispatcher: RequestDispatcher,
        presence: Presence | None = None,
        longest: int = buffering.LONGEST,
        held: int = buffering.HELD,
    ) -> None:
        self.loop, self.dispatcher = loop, dispatcher
        self.guard = dispatcher.guard
        self.presence = Presence() if presence is None else presence
        self.longest, self.budget = max(longest, MAX_BODY), buffering.Budget(held)
        self.closing = False  # every further reply closes its connection
        self.ended = False  # nothing further is begun
        self._met = 0  # connections that have come
        self.emptied: asyncio.Event = asyncio.Event()
        self._limit, self._kept = limit, kept
        self._units_top, self._gateways = units_top, settings.gateways
        self._classes = {c.name.encode(): c for c in settings.classes}
        self._clients: dict[Client, None] = {}
        self._fresh: dict[Client, None] = {}  # those that have sent nothing of use yet, oldest first
        self._usual: dict[Client, None] = {}  # those that have, the one whose last reply is oldest first
        self._plans = {p.name.encode() for p in settings.plans}
        self._able = self._retired = False
        self.accepts = False  # clients' connections
        # Takes an idle connection, and whether it was of use, once another process serves in this one's place.
        self.hand: Callable[[int, bool], bool] | None = None
        self._weights: dict[bytes, tuple[float, int, int]] = {}

    def able(self) -> None:
        """There are workers to serve with."""
        self._able = True

    def retire(self) -> None:
        """Clients should be sent elsewhere; those that come are still served."""
        self._retired = True

    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self._able and not self._retired and self.accepts and self.presence.left is None

    def health(self) -> tuple[bool, str]:
        """Whether clients may be sent here, and why not."""
        if self.hand is not None:
            return False, "another process serves in this one's place"
        if self.ready():
            return True, f"serving, {len(self._clients)} connections"
        if self._retired:
            return False, "stopping"
        return False, "sending clients away" if self.presence.left is not None else "no workers are known yet"

    def joined(self, client: Client) -> None:
        """A connection has come up; beyond the bound another makes room, or this one is refused.

        Those that have sent nothing of use go first, as usual clients send as soon as they have connected;
        then the one that has been idle the longest.
        """
        if len(self._clients) >= self._limit:
            if (other := next(iter(self._fresh), None)) is not None:
                self._fresh.pop(other)
                other.abort()
            elif (other := self._resting()) is not None:
                other.close()  # its last reply may still be on its way out
            elif len(self._clients) < self._limit + SPARE:
                client.overflow = True
            else:
                client.abort()  # guards the descriptors that workers and discovery need
        self._met += 1
        self._clients[client] = self._fresh[client] = None

    def make_room(self) -> None:
        """There is no descriptor for a further client: the usual one that has been idle the longest is closed.

        Where there is none, the oldest that has sent nothing of use is.
        """
        other = self._resting() or next((client for client in self._fresh if client.idle()), None)
        if other is not None:
            other.close()

    def served(self, client: Client) -> None:
        """A connection has sent a request that can be served."""
        if client.good:
            return
        client.good = True
        self._fresh.pop(client, None)
        self._usual[client] = None
        if len(self._usual) > self._kept and (other := self._resting()) is not None:
            # Guards against clients that ask once on each connection and keep it: they may hold so many, and
            # once those all rest here they can ask for nothing more.
            other.close()

    def rested(self, client: Client) -> None:
        """A client has had its reply."""
        self._usual.pop(client, None)
        self._usual[client] = None

    def _resting(self) -> Client | None:
        """The usual client that has been idle the longest."""
        return next((client for client in self._usual if client.idle()), None)

    def left(self, client: Client) -> None:
        """A connection is gone."""
        self._clients.pop(client, None)
        self._fresh.pop(client, None)
        self._usual.pop(client, None)
        if self.closing and not self._clients:
            self.emptied.set()

    def sweep(self) -> None:
        """Look after idle and slow clients."""
        now = self.loop.time()
        if self.hand is not None:
            self.hand_over()
        clears = self.presence.clears(now)
        for client in list(self._clients):
            if clears and client.idle():
                client.close()
            else:
                client.sweep(now)

    def hand_over(self) -> None:
        """Give all idle connections to the process that serves now, if one does."""
        if self.hand is not None:
            for client in list(self._clients):
                client.hand()

    async def adopt(self, sock: socket.socket, good: bool) -> None:
        """Take a connection that another process has accepted; what nobody has read of it is read here."""
        client = Client(self)
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()
            return
        if good:
            self.served(client)

    async def finish(self, until: float) -> None:
        """Answer what is held, each reply with `Connection: close`, until all clients have gone, or up to a time.

        The close of an idle connection may cross a request, which its client then sends once more on a new one: so
        the end is only there once no more have come for a while. Who still waits when the time is up is answered then.
        """
        self.closing = True
        self.hand_over()
        for client in list(self._clients):
            if client.idle():
                client.close()
        met = -1
        while (left := until - self.loop.time()) > 0 and (self._clients or met != self._met):
            if await self._empty(left):
                met = self._met
                await asyncio.sleep(min(QUIET, max(0.0, until - self.loop.time())))
        if self._clients:
            self.ended = True
            self.dispatcher.leave()
            if not await self._empty(FLUSH):
                log.warning("%d connections left open at the end", len(self._clients))

    async def _empty(self, patience: float) -> bool:
        """Wait until no client is left; whether that came in time."""
        if self._clients:
            self.emptied.clear()
            try:
                await asyncio.wait_for(self.emptied.wait(), patience)
            except TimeoutError:
                return False
        return True

    def read(self, incoming: Incoming, path: bytes, query: bytes, now: float) -> tuple[interface.Request, bytes, float]:
        """The module's event, the head for a worker and the deadline, or what is wrong with a request."""
        first = path[1:].partition(b"/")[0]
        fields = incoming.fields
        named = fields.get(b"x-priority-class")
        klass = self._classes.get(first)
        if klass is None:
            raise BadRequest(404, "path")  # one that begins with no class is none of this service's
        if named != first:
            raise BadRequest(400, "X-Priority-Class")  # the class stands in both places
        if incoming.method != (b"GET" if klass.effect == interface.PURE else b"POST"):
            raise BadRequest(405, "method")
        if (incoming.body or incoming.long is not None) and klass.effect == interface.PURE:
            raise BadRequest(400, "body")
        if incoming.twice:
            raise BadRequest(400, incoming.twice.decode("latin-1"))
        name, timeout = fields.get(b"x-request-id", b""), fields.get(b"x-timeout", b"")
        if not NAME.fullmatch(name):
            raise BadRequest(400, "X-Request-ID")
        if not DECIMAL.fullmatch(timeout) or float(timeout) > LONGEST_WAIT:
            raise BadRequest(400, "X-Timeout")
        plan = fields.get(b"x-tariff", b"")
        if plan not in self._plans:
            raise BadRequest(400, "X-Tariff")
        customers = [part[9:] for part in query.split(b"&") if part.startswith(b"customer=")]
        if len(customers) != 1 or not CUSTOMER.fullmatch(customers[0]) or int(customers[0], 16) >= 2**33:
            raise BadRequest(400, "customer")
        weight = fields.get(b"x-weight", b"")
        units_spread = self._weights.get(weight)  # there are few different ones
        if units_spread is None:
            units_spread = self._weight(weight)
            if len(self._weights) < MOST_WEIGHTS:
                self._weights[weight] = units_spread
        units, spread, set_first = units_spread
        deadline = incoming.seen + min(float(timeout), klass.deadline)
        request = name.decode()
        if self.dispatcher.holds(request):
            raise BadRequest(400, "X-Request-ID is in use")
        event = interface.Request(
            request=request,
            klass=named.decode(),
            plan=plan.decode(),
            customer=customers[0].decode().lower(),
            time_left=max(0.0, deadline - now),
            units=units,
            gateway_count=spread,
            client_retry=fields.get(b"x-retried") == b"1",
            first_gateway=set_first,
            complete=incoming.long is None or incoming.long.whole,
        )
        target = path + b"?" + query
        size = sum(map(len, incoming.body))
        if incoming.long is not None:
            if incoming.long.whole:
                incoming.long.length = incoming.long.size
            size = incoming.long.length or 0
        length = b"Content-Length: %d\r\n" % size if incoming.method == b"POST" or size else b""
        if incoming.long is not None and incoming.long.length is None:
            length = b"Transfer-Encoding: chunked\r\n"
        head = b"%b %b HTTP/1.1\r\n%b%b" % (incoming.method, target, b"".join(incoming.lines), length)
        return event, head, deadline

    def _weight(self, text: bytes) -> tuple[float, int, int]:
        """Units, spread and first of X-Weight."""
        parts = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
        units, spread, first = (parts.get(key, b"") for key in (b"units", b"spread", b"first"))
        if not all(DECIMAL.fullmatch(part) for part in (units, spread, first)):
            raise BadRequest(400, "X-Weight")
        if (
            b"." in spread + first
            or not 0 < float(units) <= self._units_top
            or not 1 <= int(spread) <= self._gateways
            or int(first) >= self._gateways
        ):
            raise BadRequest(400, "X-Weight")
        return float(units), int(spread), int(first)
