"""The TCP listener for operators' calls, separate from the one for clients and open to a limited number of callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from oliveloft.manage import protocol

MAX_CALLERS = 40  # concurrent connections; a further one replaces the oldest
CALL_TIMEOUT_SECONDS = 5.0  # time that a caller has to send its call and read the answer

# Executes a call; returns whether it succeeded and an explanation, at once or as a future.
CallHandler = Callable[[protocol.Call], tuple[bool, str] | asyncio.Future[tuple[bool, str]]]


class CallerConnection(asyncio.Protocol):
    """One operator's connection: reads one line, writes one answer and closes."""

    def __init__(self, server: ManagementServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._line = b""
        self._done = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._timer = self._server.loop.call_later(CALL_TIMEOUT_SECONDS, self._on_timeout)
        self._server.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timeout and unregister the connection."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._server.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Collect the line, and execute the call once it is complete."""
        if self._done:
            return  # one call per connection: further data is read and discarded
        self._line += data[: protocol.MAX_CALL_BYTES + 1]
        line, end, _ = self._line.partition(b"\n")
        if end and len(line) <= protocol.MAX_CALL_BYTES:
            self._execute(line)
        elif len(self._line) > protocol.MAX_CALL_BYTES:
            self._answer(False, f"a call has {protocol.MAX_CALL_BYTES} bytes at most")

    def eof_received(self) -> bool:
        """Execute a last line that has no line end."""
        if not self._done and self._line:
            self._execute(self._line)
        return False

    def _execute(self, line: bytes) -> None:
        try:
            call = protocol.parse(line)
        except protocol.InvalidCall as error:
            self._answer(False, str(error))
            return
        result = self._server.execute(call)
        if isinstance(result, tuple):
            self._answer(*result)
        else:
            self._done = True
            result.add_done_callback(lambda done: self._answer(*done.result()))

    def _on_timeout(self) -> None:
        if not self._done:
            self._answer(False, f"no call within {CALL_TIMEOUT_SECONDS:g} s")
        elif self._transport is not None:
            self._transport.abort()  # the caller does not read its answer

    def _answer(self, succeeded: bool, explanation: str) -> None:
        self._done = True
        if self._transport is not None:
            self._transport.write(protocol.format_answer(succeeded, explanation))
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, to make room for another caller."""
        if self._transport is not None:
            self._transport.abort()


class ManagementServer:
    """Accepts operators' connections; `execute` runs a call and returns whether it succeeded, and an explanation."""

    def __init__(self, loop: asyncio.AbstractEventLoop, execute: CallHandler) -> None:
        self.loop, self.execute = loop, execute
        self._callers: dict[CallerConnection, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Start listening and return the address; raise OSError if that fails."""
        self._server = await self.loop.create_server(lambda: CallerConnection(self), host, port, backlog=128)
        address: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return address

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def on_connected(self, caller: CallerConnection) -> None:
        """Register a connection, and abort the oldest one if there are too many.

        Otherwise callers that stay connected and send nothing would use up descriptors and lock other callers out.
        """
        if len(self._callers) >= MAX_CALLERS:
            next(iter(self._callers)).abort()
        self._callers[caller] = None

    def on_disconnected(self, caller: CallerConnection) -> None:
        """Unregister a connection."""
        self._callers.pop(caller, None)
