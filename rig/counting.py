"""A fake of the shared counter service: totals by name on shards that process calls in turn, with fault injection.

`CounterService` has no I/O and takes the time as an argument, for simulations; `CounterServer` serves it over RESP2 on
a socket.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Sequence
from random import Random
from typing import cast
from zlib import crc32

import hiredis

MAX_KEY_TTL_SECONDS = 60.0  # maximum lifetime of a name


class CounterService:
    """Totals by name. Each shard handles `rate` calls per second and rejects those that would wait too long."""

    def __init__(self, rate: float = 5000.0, shards: int = 1, max_wait_seconds: float = 0.1, seed: int = 1) -> None:
        self.rate, self.max_wait_seconds = rate, max_wait_seconds
        self._shard_free_times = [0.0] * shards  # when each shard has processed its calls
        self._totals: dict[str, tuple[float, float]] = {}
        self._random = Random(seed)
        self.calls: list[tuple[str, float]] = []  # name and amount of each processed call
        self.unresponsive_shards: set[int] = set()  # shards that never answer
        self.busy = False  # rejects all calls

    def accept(self, now: float, name: str) -> float | None:
        """Return when a call that arrives now is processed; None if it is rejected, infinity if it never is."""
        shard = crc32(name.encode()) % len(self._shard_free_times)
        if shard in self.unresponsive_shards:
            return math.inf
        if self.busy or self._shard_free_times[shard] - now > self.max_wait_seconds:
            return None
        self._shard_free_times[shard] = max(now, self._shard_free_times[shard]) + 1 / self.rate
        return self._shard_free_times[shard]

    def add(self, now: float, name: str, amount: float, ttl: float) -> float:
        """Process a call; return the new total, rounded to seven digits."""
        total, expires_at = self._totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(MAX_KEY_TTL_SECONDS, ttl)
        total = float(f"{total + amount:.7g}")
        self._totals[name] = total, expires_at
        self.calls.append((name, amount))
        return total

    def drop_keys(self, share: float = 1.0) -> None:
        """Lose that share of the names, chosen at random."""
        for name in sorted(self._totals):
            if self._random.random() < share:
                del self._totals[name]


class _Connection(asyncio.Protocol):
    """A client connection: replies are written in the order of the calls."""

    def __init__(self, server: CounterServer) -> None:
        self._server, self._reader = server, hiredis.Reader()
        self._pending_replies: deque[list[bytes]] = deque()  # one list per call, empty until its reply is known
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection."""
        self._transport = None
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse calls and pass each to the server."""
        self._reader.feed(data)
        while (call := self._reader.gets()) is not False:
            reply_slot: list[bytes] = []
            self._pending_replies.append(reply_slot)
            self._server.handle_call(call, reply_slot, self)

    def flush(self) -> None:
        """Write the replies that are known, up to the first call without one."""
        while self._pending_replies and self._pending_replies[0]:
            reply = self._pending_replies.popleft()[0]
            if self._transport is not None:
                self._transport.write(reply)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


class CounterServer:
    """Serves a `CounterService` on a loopback port."""

    def __init__(self, service: CounterService | None = None) -> None:
        self.service = CounterService() if service is None else service
        self.connections: set[_Connection] = set()
        self.malformed_reply: bytes | None = None  # written instead of the next reply
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> CounterServer:
        """Listen; a server that was stopped listens on the same port again."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def handle_call(self, call: Sequence[bytes], reply_slot: list[bytes], connection: _Connection) -> None:
        """Submit a call to the service and schedule its reply."""
        if len(call) != 4 or call[0].upper() != b"ADDGET":
            reply_slot.append(b"-ERR unknown call\r\n")
            connection.flush()
            return
        loop = asyncio.get_running_loop()
        name, amount, ttl = call[1].decode(), float(call[2]), float(call[3]) / 1000
        due = self.service.accept(loop.time(), name)
        if due is None:
            reply_slot.append(b"-BUSY\r\n")
            connection.flush()
        elif due < math.inf:
            loop.call_at(due, self._reply, name, amount, ttl, reply_slot, connection)

    def _reply(self, name: str, amount: float, ttl: float, reply_slot: list[bytes], connection: _Connection) -> None:
        total = f"{self.service.add(asyncio.get_running_loop().time(), name, amount, ttl):.7g}".encode()
        malformed, self.malformed_reply = self.malformed_reply, None
        reply_slot.append(b"$%d\r\n%s\r\n" % (len(total), total) if malformed is None else malformed)
        connection.flush()
