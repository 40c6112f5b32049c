"""The listening socket for clients: accepts connections, and survives a shortage of file descriptors.

The event loop's own server closes a connection that it has no descriptor for, and loses a request that the client may
have sent already. Here such a connection waits in the socket's backlog until a descriptor is free.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

log = logging.getLogger("oliveloft")

BACKLOG = 1024  # connections that the system queues
ACCEPT_BATCH = 64  # connections accepted before other events are handled
MAX_CONSECUTIVE_FAILURES = 8  # from this many failures in a row on, accepting pauses after each
ACCEPT_RETRY_SECONDS = 0.01  # the pause after a failure that may be temporary
DESCRIPTOR_SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE))  # a connection has to be closed first
# Errors of the one connection that was to be accepted; the next one may be accepted at once (accept(2)).
CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EINTR,
    )
)


class ClientListener:
    """Accepts connections on a listening socket and serves each with a new protocol.

    `make_room` is called when no descriptor is free, and closes a connection if it can.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        make_room: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop, self._protocol_factory, self._make_room = loop, protocol_factory, make_room
        self._socket: socket.socket | None = sock
        self._retry: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures = 0  # in a row
        self._warned = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._accept_batch)

    @property
    def address(self) -> tuple[str, int]:
        """The address that clients connect to."""
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stop accepting; accepted connections stay open."""
        sock, self._socket = self._socket, None
        if sock is None:
            return
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(sock.fileno())
        sock.close()

    def _accept_batch(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if self._socket is None:
                return
            try:
                accepted, _ = self._socket.accept()
            except OSError as error:
                if not self._accept_next(error):
                    return
                continue
            self._failures, self._warned = 0, False
            accepted.setblocking(False)
            task = self._loop.create_task(self._connect(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _accept_next(self, error: OSError) -> bool:
        """Return whether to accept the next connection at once after a failure; pause accepting if not.

        A pause follows a failure that does not concern a single connection, and many failures in a row: the socket
        stays readable, so the event loop would report it in a busy loop.
        """
        self._failures += 1
        if self._failures < MAX_CONSECUTIVE_FAILURES:
            if isinstance(error, BlockingIOError):
                return False
            if error.errno in CONNECTION_ERRORS:
                return True
        if not self._warned and not isinstance(error, BlockingIOError):
            self._warned = True
            log.warning("cannot accept client connections: %s; they wait in the backlog", error)
        if error.errno in DESCRIPTOR_SHORTAGE:
            self._make_room()
        self._pause()
        return False

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, accepted)
        except OSError as error:
            log.warning("a client connection was lost while being accepted: %s", error)
            accepted.close()

    def _pause(self) -> None:
        assert self._socket is not None
        self._loop.remove_reader(self._socket.fileno())
        self._retry = self._loop.call_later(ACCEPT_RETRY_SECONDS, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket.fileno(), self._accept_batch)


def listening_socket(address: tuple[str, int]) -> socket.socket:
    """Create a socket that listens at an address. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
