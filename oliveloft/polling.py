"""Looks at the state of a transport's socket between two reads of the event loop."""

from __future__ import annotations

import asyncio
import fcntl
import select
import termios


def poll_socket(transport: asyncio.BaseTransport | None, events: int) -> bool:
    """Whether the socket reports one of these events of poll(2), an error or a hang-up now.

    False without a transport, and for one that is closing.
    """
    if transport is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))


def unread_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Bytes that have come and are not read yet; 0 without a transport, and for one that is closing."""
    if transport is None or transport.is_closing():
        return 0
    descriptor = transport.get_extra_info("socket").fileno()
    return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), "little")
