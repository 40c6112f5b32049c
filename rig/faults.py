"""A TCP proxy that injects network faults into one link: delay, throttling, blocking, resets.

Bytes keep their order; none is invented or duplicated. Bytes that a blocked direction holds back are delivered after it
heals, as TCP retransmission would, unless the connection was reset meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque

CHUNK_BYTES = 16 * 1024  # read at a time
MAX_BUFFERED_BYTES = 256 * 1024  # buffered in a direction before reading from its sender pauses


class Direction:
    """One direction of a link, shared by all its connections."""

    def __init__(self) -> None:
        self.delay_seconds = 0.0  # seconds added to each chunk
        self.bytes_per_second = 0.0  # bytes a second, 0 for no bound
        self.bytes_carried = 0
        self._open = asyncio.Event()
        self._open.set()

    @property
    def blocked(self) -> bool:
        """Whether the direction is blocked."""
        return not self._open.is_set()

    def block(self, enabled: bool = True) -> None:
        """Hold back all bytes while connections stay open, or deliver them again."""
        if enabled:
            self._open.clear()
        else:
            self._open.set()

    async def wait_until_open(self) -> None:
        """Wait until the direction is not blocked."""
        await self._open.wait()


class ProxiedConnection:
    """A connection through the proxy: the writers of both ends and the tasks that forward its bytes."""

    def __init__(self, proxy: FaultProxy, client_writer: asyncio.StreamWriter) -> None:
        self.proxy, self.client_writer = proxy, client_writer
        self.target_writer: asyncio.StreamWriter | None = None
        self.tasks: list[asyncio.Task[None]] = []

    def reset(self) -> None:
        """Abort both ends with a TCP reset."""
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
        """Forward one direction until its end, then half-close the other side."""
        buffered: deque[tuple[float, bytes]] = deque()
        buffered_bytes, ended = 0, False
        data_available, space_available = asyncio.Event(), asyncio.Event()

        async def read_chunks() -> None:
            nonlocal buffered_bytes, ended
            try:
                while data := await reader.read(CHUNK_BYTES):
                    buffered.append((time.monotonic() + direction.delay_seconds, data))
                    buffered_bytes += len(data)
                    data_available.set()
                    while buffered_bytes > MAX_BUFFERED_BYTES:
                        space_available.clear()
                        await space_available.wait()
            except ConnectionError:
                self.proxy.loop.call_soon(self.reset)  # a reset is passed on as a reset
            ended = True
            data_available.set()

        reading = asyncio.create_task(read_chunks())
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
                    if direction.bytes_per_second > 0:
                        await asyncio.sleep(len(data) / direction.bytes_per_second)
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
    """Listens on a free port and forwards each connection to `target`, with the faults that are set."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.up, self.down = Direction(), Direction()  # client to target, and target to client
        self.resets_new_connections = False
        self.accepted = 0
        self.port = 0
        self._connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> FaultProxy:
        """Start to listen."""
        self.loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=CHUNK_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        """The address that clients connect to, as host:port."""
        return f"127.0.0.1:{self.port}"

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def delay(self, up: float = 0.0, down: float = 0.0) -> None:
        """Delay each direction by so many seconds."""
        self.up.delay_seconds, self.down.delay_seconds = up, down

    def throttle(self, up: float = 0.0, down: float = 0.0) -> None:
        """Limit each direction to so many bytes a second; 0 is no bound."""
        self.up.bytes_per_second, self.down.bytes_per_second = up, down

    def block(self, up: bool = True, down: bool = True) -> None:
        """Block the directions: open connections stay, new ones are accepted, and no bytes are delivered."""
        self.up.block(up)
        self.down.block(down)

    def reset_new_connections(self, enabled: bool = True) -> None:
        """Set whether each new connection is reset."""
        self.resets_new_connections = enabled

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def heal(self) -> None:
        """Remove all faults; bytes that were held back are delivered."""
        self.delay()
        self.throttle()
        self.block(False, False)
        self.reset_new_connections(False)

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
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
                await self.up.wait_until_open()  # a blocked link establishes no connection
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
