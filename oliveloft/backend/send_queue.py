"""What the system's send buffer of a TCP connection still holds, and closing a connection without sending that."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

SIOCOUTQNSD = 0x894B  # bytes that were not sent yet (linux/sockios.h); it has no name in the standard library
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends a reset and drops what is not sent


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Bytes in the system's send buffer that the peer's system has not acknowledged; 0 if that cannot be read."""
    return _queued_bytes(transport, termios.TIOCOUTQ)


def unsent_bytes(transport: asyncio.BaseTransport) -> int:
    """Bytes in the system's send buffer that were not sent at all; 0 if that cannot be read."""
    return _queued_bytes(transport, SIOCOUTQNSD)


def abort_unsent(transport: asyncio.Transport) -> None:
    """Close at once; with unacknowledged bytes by a reset, as the system would otherwise go on sending them."""
    if not transport.is_closing() and unacknowledged_bytes(transport):
        reset(transport)
    else:
        transport.abort()


def reset(transport: asyncio.Transport) -> None:
    """Close at once by a reset, which the peer cannot take for an orderly end."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), request, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(answer, "little")
