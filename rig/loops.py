"""An event loop's clock and timers on simulated time, and transports that are told what befalls them.

For asyncio's protocols without sockets: what is written is kept, pieces and resets come when the schedule says.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rig.simulation import Clock, Timer


class SimulatedLoop:
    """As much of an event loop as protocols ask for."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def time(self) -> float:
        """Simulated seconds."""
        return self.clock.now

    def call_soon(self, call: Callable[..., object], *args: Any) -> Timer:
        """Make a call after what is already due."""
        return self.clock.after(0.0, call, *args)

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Make a call after a delay."""
        return self.clock.after(max(0.0, delay), call, *args)

    def call_at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Make a call at a time."""
        return self.clock.at(when, call, *args)


class _Socket:
    def setsockopt(self, *_: object) -> None:
        """Nothing to set."""

    def fileno(self) -> int:
        """None."""
        return -1


class Wire:
    """A transport: what the protocol has written, and whether the other side still hears it.

    `delivered` is what was written before the other side broke it: the rest never left. As on uvloop a write waits
    for the end of the turn, and an abort drops it; a close lets it go first.
    """

    def __init__(self, loop: SimulatedLoop, protocol: Any) -> None:
        self._loop, self.protocol = loop, protocol
        self.delivered = bytearray()
        self._unflushed = bytearray()
        self.closed = self._closing = False
        self._flush_scheduled = False

    def write(self, data: bytes) -> None:
        """Take bytes; what comes after a close is nothing."""
        if self._closing or self.closed:
            return
        self._unflushed += data
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def writelines(self, pieces: Any) -> None:
        """Take several."""
        self.write(b"".join(pieces))

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self.closed:
            self.delivered += self._unflushed
            self._unflushed.clear()
            if self._closing:
                self.lost()

    def write_eof(self) -> None:
        """Nothing is written after this."""

    def close(self) -> None:
        """What waits goes first."""
        if not self._closing and not self.closed:
            self._closing = True
            self._loop.call_soon(self._flush)

    def abort(self) -> None:
        """What waits is dropped."""
        if not self.closed:
            self._closing = True
            self._unflushed.clear()
            self._loop.call_soon(self.lost)

    def lost(self) -> None:
        """The connection is over, whoever ended it."""
        if not self.closed:
            self.closed = self._closing = True
            self._unflushed.clear()
            self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        """Whether it takes nothing more."""
        return self._closing or self.closed

    def pause_reading(self) -> None:
        """The schedule hands over what it likes."""

    resume_reading = pause_reading

    def get_write_buffer_size(self) -> int:
        """What waits."""
        return len(self._unflushed)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """No limits here."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """A socket that takes any option."""
        return _Socket() if name == "socket" else default
