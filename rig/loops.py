"""A simulated event loop and transport, to run asyncio protocols without sockets.

The loop provides the clock and timers on simulated time. The transport records what is written; the test's schedule
delivers data and resets.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from rig.simulation import Clock, Timer


class SimulatedLoop:
    """The part of an event loop that the protocols use."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.clock.now

    def call_soon(self, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule a call after those already due."""
        return self.clock.after(0.0, call, *args)

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule a call after a delay in seconds."""
        return self.clock.after(max(0.0, delay), call, *args)

    def call_at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule a call at a simulated time."""
        return self.clock.at(when, call, *args)


# A connected pair on which nothing is ever sent or closed: what a simulated socket reports to poll(2).
_QUIET_SOCKETS = socket.socketpair()


class _Socket:
    def setsockopt(self, *_: object) -> None:
        """Ignore the option."""

    def fileno(self) -> int:
        """Return a descriptor that reports no event: closes are reported by the simulated transport."""
        return _QUIET_SOCKETS[0].fileno()


class SimulatedTransport:
    """A transport that records what its protocol writes.

    `delivered` is what was sent before the connection ended; the rest is lost. As with uvloop, a write is sent at the
    end of the loop's turn; `abort` drops unsent data, `close` sends it first.
    """

    def __init__(self, loop: SimulatedLoop, protocol: Any) -> None:
        self._loop, self.protocol = loop, protocol
        self.delivered = bytearray()
        self._unflushed = bytearray()
        self.closed = self._closing = False
        self._flush_scheduled = False

    def write(self, data: bytes) -> None:
        """Buffer bytes until the end of the turn; ignore them after a close."""
        if self._closing or self.closed:
            return
        self._unflushed += data
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def writelines(self, pieces: Any) -> None:
        """Write several pieces."""
        self.write(b"".join(pieces))

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self.closed:
            self.delivered += self._unflushed
            self._unflushed.clear()
            if self._closing:
                self.disconnect()

    def write_eof(self) -> None:
        """Do nothing: the half-close is not simulated."""

    def close(self) -> None:
        """Close the connection after sending the buffered bytes."""
        if not self._closing and not self.closed:
            self._closing = True
            self._loop.call_soon(self._flush)

    def abort(self) -> None:
        """End the connection and drop the buffered bytes."""
        if not self.closed:
            self._closing = True
            self._unflushed.clear()
            self._loop.call_soon(self.disconnect)

    def disconnect(self) -> None:
        """End the connection, whichever side ended it, and notify the protocol."""
        if not self.closed:
            self.closed = self._closing = True
            self._unflushed.clear()
            self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._closing or self.closed

    def pause_reading(self) -> None:
        """Do nothing: the schedule decides what is delivered."""

    resume_reading = pause_reading

    def get_write_buffer_size(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._unflushed)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: the buffer has no limits."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return a socket that accepts any option, for the name `socket`."""
        return _Socket() if name == "socket" else default
