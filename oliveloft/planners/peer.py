"""What both ends of a connection between forwarder and planner have in common."""

from __future__ import annotations

import asyncio
import time
from typing import cast

from micagate.planning.messages import Malformed
from oliveloft.planners import wire

WRITE_BUFFER_HIGH_WATER_BYTES = (
    256 * 1024
)  # bytes that the other side has not read, beyond which nothing more is made for it


class FramedConnection(asyncio.Protocol):
    """Frames in and out, and whether the other side reads; `take` and `wrong` are each end's own."""

    def __init__(self) -> None:
        self.framer = wire.Framer()
        self.nonce = wire.nonce()
        self.transport: asyncio.Transport | None = None
        self.blocked = False
        self.last_received_at = time.monotonic()
        self.last_sent_at = 0.0  # when something was last sent
        self.bytes_received = self.bytes_sent = 0  # bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It stands."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_WATER_BYTES)

    def pause_writing(self) -> None:
        """The other side does not read: its news add up in the books instead."""
        self.blocked = True

    def resume_writing(self) -> None:
        """It reads again."""
        self.blocked = False

    def send(self, message: wire.Message) -> None:
        """Write a message."""
        if self.transport is not None:
            data = wire.encode(message)
            self.bytes_sent += len(data)
            self.last_sent_at = time.monotonic()
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Bytes of the other side."""
        self.bytes_received += len(data)
        try:
            for message in self.framer.feed(data):
                if self.transport is None:
                    return
                self.last_received_at = time.monotonic()
                self.handle_message(message)
        except (wire.WireError, Malformed) as error:
            self.protocol_error(str(error))

    def handle_message(self, message: wire.Message) -> None:
        """A message has come."""
        raise NotImplementedError

    def protocol_error(self, reason: str) -> None:
        """What came makes no sense, or may not come."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
