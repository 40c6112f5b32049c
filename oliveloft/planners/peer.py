"""The base of all connections that use the wire protocol: forwarder to planner and member to member."""

from __future__ import annotations

import asyncio
import time
from typing import cast

from micagate.planning.messages import Malformed
from oliveloft.planners import wire

WRITE_BUFFER_HIGH_WATER_BYTES = 256 * 1024  # unread bytes beyond which the peer counts as blocked


class FramedConnection(asyncio.Protocol):
    """Sends and receives frames, and tracks whether the peer reads.

    Subclasses implement `handle_message` and `protocol_error`. Times are monotonic.
    """

    def __init__(self) -> None:
        self.framer = wire.Framer()
        self.nonce = wire.nonce()
        self.transport: asyncio.Transport | None = None
        self.blocked = False
        self.last_received_at = time.monotonic()
        self.last_sent_at = 0.0
        self.bytes_received = self.bytes_sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set its buffer limit."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_WATER_BYTES)

    def pause_writing(self) -> None:
        """Mark the peer as blocked: updates for it accumulate in the state of their sender instead."""
        self.blocked = True

    def resume_writing(self) -> None:
        """Mark the peer as reading again."""
        self.blocked = False

    def send(self, message: wire.Message) -> None:
        """Send a message; does nothing on a closed connection."""
        if self.transport is not None:
            data = wire.encode(message)
            self.bytes_sent += len(data)
            self.last_sent_at = time.monotonic()
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Decode received bytes and handle each message."""
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
        """Handle a received message. May raise WireError or Malformed."""
        raise NotImplementedError

    def protocol_error(self, reason: str) -> None:
        """Handle input that is malformed or not allowed in the current state."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
