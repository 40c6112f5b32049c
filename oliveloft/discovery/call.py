"""One HTTP/1.1 connection to discovery, which carries one call at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

MAX_LIST_BYTES = 4 * 1024 * 1024  # size limit of an answer's body


class CallOwner(Protocol):
    """Makes calls and is notified of their results."""

    def connected(self, call: DiscoveryCall) -> None:
        """The connection is established: the call may be sent."""

    def answered(self, call: DiscoveryCall, status: int, body: bytes, connection_closes: bool) -> None:
        """A complete answer was received; `connection_closes` says whether its connection closes after it."""

    def malformed(self, call: DiscoveryCall, reason: str) -> None:
        """The received data is not a valid answer."""

    def ended(self, call: DiscoveryCall, reason: str) -> None:
        """The connection was lost, or could not be established."""


class DiscoveryCall(asyncio.Protocol):
    """A connection that carries one call at a time and notifies its owner until it is cancelled."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: CallOwner, address: tuple[str, int]) -> None:
        self._loop, self._owner, self._address = loop, owner, address
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size_bytes = 0
        self._complete = self._connection_closes = self._cancelled = False
        self._head_complete = self._has_framing = False  # of the answer; it announces a length or chunks
        self.index: int | None = None  # version of the list that was held when the call was sent
        self.wait_seconds = 0.0  # the wait (long poll) that the call asked for
        # Loop times: of the last call, and of the last progress (a connection or received bytes).
        self.sent_at = self.progressed_at = loop.time()
        self.awaiting_answer = True
        self._connecting: asyncio.Task[None] | None = None

    def connect(self) -> None:
        """Start connecting; the owner is notified of the connection or of its failure."""
        self._connecting = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self._loop.create_connection(lambda: self, *self._address)
        except OSError as error:
            self._notify_ended(f"cannot connect: {error}")
        finally:
            self._connecting = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the owner, which then sends its call."""
        self._transport = cast(asyncio.Transport, transport)
        if self._cancelled:
            self._transport.abort()
            return
        self.progressed_at = self._loop.time()
        self._owner.connected(self)

    def send_request(self, index: int | None, wait_seconds: float) -> None:
        """Send a call for a snapshot (no index), or for the changes since a version."""
        self._body, self._size_bytes, self._complete = [], 0, False
        self._head_complete = self._has_framing = False
        self.index, self.wait_seconds = index, 0.0 if index is None else wait_seconds
        self.sent_at = self.progressed_at = self._loop.time()
        self.awaiting_answer = True
        path = "/v1/servers" if index is None else f"/v1/servers?index={index}&wait={round(wait_seconds * 1000)}"
        if self._transport is not None:
            host, port = self._address
            self._transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and pass on a complete answer."""
        if self._cancelled or self._parser is None:
            return
        self.progressed_at = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._owner.malformed(self, f"malformed answer: {error}")
            return
        if self._complete:
            self._pass_on()

    def _pass_on(self) -> None:
        """Pass a complete answer on to the owner."""
        self.awaiting_answer = False
        status = cast(httptools.HttpResponseParser, self._parser).get_status_code()
        self._owner.answered(self, status, b"".join(self._body), self._connection_closes)

    def eof_received(self) -> bool:
        """Handle the end of the data: it completes an answer without a length or chunks, as a reset does not."""
        ends_answer = self._head_complete and not self._has_framing and not self._complete
        if ends_answer and self.awaiting_answer and not self._cancelled and self._parser is not None:
            self._complete = self._connection_closes = True
            self._pass_on()
        return False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the answer announces where it ends."""
        self._has_framing = self._has_framing or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Note that the head of the answer is complete."""
        self._head_complete = True

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body; ValueError if that is too large."""
        self._size_bytes += len(data)
        if self._size_bytes > MAX_LIST_BYTES:
            raise ValueError("list too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self._complete = True
        # Read here: the parser resets this at the end of the message.
        self._connection_closes = not cast(httptools.HttpResponseParser, self._parser).should_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that discovery has closed the connection, or has failed."""
        self._transport = self._parser = None  # parser and protocol refer to each other
        self._notify_ended(f"connection lost: {exc or 'closed'}")

    def _notify_ended(self, reason: str) -> None:
        if not self._cancelled:
            self._cancelled = True
            self._owner.ended(self, reason)

    def cancel(self) -> None:
        """Close the connection without notifying the owner."""
        self._cancelled = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._transport is not None:
            self._transport.abort()
