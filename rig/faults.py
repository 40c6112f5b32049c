"""A TCP proxy that breaks its link on command, and heals it.

One proxy is one link. Bytes keep their order and none is made up or sent twice: what a cut holds back goes on
after the healing, as TCP would send it again, unless the connection was reset meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque

CHUNK_BYTES = 16 * 1024
MAX_BUFFERED_BYTES = 256 * 1024  # bytes held of a direction before its sender is read no further


class Direction:
    """One way of a link, for all its connections."""

    def __init__(self) -> None:
        self.delay = 0.0  # seconds added
        self.rate = 0.0  # bytes a second, 0: no bound
        self.bytes_carried = 0
        self._open = asyncio.Event()
        self._open.set()

    @property
    def silent(self) -> bool:
        """Whether nothing gets through."""
        return not self._open.is_set()

    def silence(self, enabled: bool = True) -> None:
        """Hold back all bytes, with the connections left standing, or let them go on."""
        if enabled:
            self._open.clear()
        else:
            self._open.set()

    async def wait_until_open(self) -> None:
        """Wait until bytes get through."""
        await self._open.wait()


class ProxiedConnection:
    """A connection through the proxy: both its ends and what is on the way."""

    def __init__(self, proxy: FaultProxy, client_writer: asyncio.StreamWriter) -> None:
        self.proxy, self.client_writer = proxy, client_writer
        self.target_writer: asyncio.StreamWriter | None = None
        self.tasks: list[asyncio.Task[None]] = []

    def reset(self) -> None:
        """Break both ends with a TCP reset."""
        for writer in (self.client_writer, self.target_writer):
            if writer is not None:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    with contextlib.suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction) -> None:
        """Carry one way to its end, then end the sending on the other side."""
        buffered: deque[tuple[float, bytes]] = deque()
        buffered_bytes, ended = 0, False
        data_available, space_available = asyncio.Event(), asyncio.Event()

        async def take() -> None:
            nonlocal buffered_bytes, ended
            try:
                while data := await reader.read(CHUNK_BYTES):
                    buffered.append((time.monotonic() + direction.delay, data))
                    buffered_bytes += len(data)
                    data_available.set()
                    while buffered_bytes > MAX_BUFFERED_BYTES:
                        space_available.clear()
                        await space_available.wait()
            except ConnectionError:
                self.proxy.loop.call_soon(self.reset)  # passed on as what it is
            ended = True
            data_available.set()

        reading = asyncio.create_task(take())
        try:
            while True:
                while buffered:
                    due_at, data = buffered.popleft()
                    if (wait := due_at - time.monotonic()) > 0:
                        await asyncio.sleep(wait)
                    await direction.wait_until_open()
                    writer.write(data)
                    direction.bytes_carried += len(data)
                    await writer.drain()
                    if direction.rate > 0:
                        await asyncio.sleep(len(data) / direction.rate)
                    buffered_bytes -= len(data)
                    space_available.set()
                if ended:
                    break
                data_available.clear()
                await data_available.wait()
            await direction.wait_until_open()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            self.reset()
        finally:
            reading.cancel()


class FaultProxy:
    """Listens on a port of the system's choice and carries each connection to `target`, or fails as told."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.up, self.down = Direction(), Direction()  # from the client to the target, and back
        self.resets_new_connections = False
        self.accepted = 0
        self.port = 0
        self._connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> FaultProxy:
        """Listen."""
        self.loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=CHUNK_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        """Where clients connect, as host:port."""
        return f"127.0.0.1:{self.port}"

    @property
    def open(self) -> int:
        """How many connections stand."""
        return len(self._connections)

    def delay(self, up: float = 0.0, down: float = 0.0) -> None:
        """Add so many seconds each way."""
        self.up.delay, self.down.delay = up, down

    def throttle(self, up: float = 0.0, down: float = 0.0) -> None:
        """Carry at most so many bytes a second each way; 0 is no bound."""
        self.up.rate, self.down.rate = up, down

    def silence(self, up: bool = True, down: bool = True) -> None:
        """Cut the link half-open: connections stand, new ones come up, and nothing gets through."""
        self.up.silence(up)
        self.down.silence(down)

    def reset_new_connections(self, enabled: bool = True) -> None:
        """Reset each new connection."""
        self.resets_new_connections = enabled

    def reset(self) -> None:
        """Break all connections that stand."""
        for connection in list(self._connections):
            connection.reset()

    def heal(self) -> None:
        """Carry all as if nothing were wrong; what was held back goes on."""
        self.delay()
        self.throttle()
        self.silence(False, False)
        self.reset_new_connections(False)

    async def stop(self) -> None:
        """Listen no more and break what stands."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        connection = ProxiedConnection(self, writer)
        if self.resets_new_connections:
            connection.reset()
            return
        self._connections.add(connection)
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await self.up.wait_until_open()  # as a connection through a cut would never come up
                target_reader, connection.target_writer = await asyncio.open_connection(*self.target, limit=CHUNK_BYTES)
                connection.tasks = [
                    asyncio.create_task(connection.forward(reader, connection.target_writer, self.up)),
                    asyncio.create_task(connection.forward(target_reader, writer, self.down)),
                ]
                await asyncio.gather(*connection.tasks)
                connection.target_writer.close()
                writer.close()
            except OSError:
                connection.reset()
        self._connections.discard(connection)
