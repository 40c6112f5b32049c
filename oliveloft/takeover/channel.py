"""Ordered datagrams over a `SOCK_SEQPACKET` Unix socket, each with at most one file descriptor attached."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable

from oliveloft.takeover import wire

READ_SLICE_SECONDS = 0.001  # longest uninterrupted run of reads; clients are not served meanwhile
MessageCallback = Callable[[wire.Message, int | None], None]


class Channel:
    """One end of the connection between predecessor and successor.

    `on_message` receives each message with its descriptor, which the callback then owns. `on_closed` is called once,
    with the reason, when the channel closes.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: MessageCallback,
        on_closed: Callable[[str], None],
    ) -> None:
        self._loop, self._sock, self._on_message, self._on_closed = loop, sock, on_message, on_closed
        self._send_queue: deque[tuple[bytes, int | None]] = deque()
        self.open = True
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._read)

    @property
    def queued_messages(self) -> int:
        """Number of messages that are not written yet."""
        return len(self._send_queue)

    def send(self, message: wire.Message, fd: int | None = None) -> None:
        """Queue a message and an optional descriptor, which is closed here once it is sent or cannot be."""
        if not self.open:
            if fd is not None:
                os.close(fd)
            return
        self._send_queue.append((wire.encode(message), fd))
        if len(self._send_queue) == 1:
            self._write()

    def _write(self) -> None:
        while self._send_queue:
            data, fd = self._send_queue[0]
            try:
                socket.send_fds(self._sock, [data], [] if fd is None else [fd])
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock.fileno(), self._write)
                return
            except OSError as error:
                self.close(str(error))
                return
            self._send_queue.popleft()
            if fd is not None:
                os.close(fd)
        self._loop.remove_writer(self._sock.fileno())

    def _read(self) -> None:
        deadline = self._loop.time() + READ_SLICE_SECONDS
        while self.open and self._loop.time() < deadline:  # afterwards the event loop serves others first
            try:
                data, fds, _, _ = socket.recv_fds(self._sock, wire.MAX_DATAGRAM_BYTES, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.close(str(error))
                return
            if not data:
                self.close("connection closed by the other process")
                return
            try:
                message = wire.decode(data)
            except wire.MalformedMessage as error:
                for fd in fds:
                    os.close(fd)
                self.close(f"damaged: {error}")
                return
            self._on_message(message, fds[0] if fds else None)

    def close(self, reason: str) -> None:
        """Close the channel and pass the reason to `on_closed`; does nothing if it is closed already."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock.fileno())
        self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        while self._send_queue:
            _, fd = self._send_queue.popleft()
            if fd is not None:
                os.close(fd)
        self._on_closed(reason)
