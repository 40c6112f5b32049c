"""A stand-in of the counter: numbers by name on parts that work calls off in turn, and what can go wrong with it.

`Service` has no I/O and takes the time as an argument, for simulations; `Counter` serves it over RESP2.
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

MAX_KEY_TTL_SECONDS = 60.0  # seconds that a name is kept at most


class Service:
    """Numbers by name. A part works `rate` calls a second off and turns away what would wait longer than `queue`."""

    def __init__(self, rate: float = 5000.0, shards: int = 1, queue: float = 0.1, seed: int = 1) -> None:
        self.rate, self.queue = rate, queue
        self._shard_free_times = [0.0] * shards  # when each part has worked its calls off
        self._totals: dict[str, tuple[float, float]] = {}
        self._random = Random(seed)
        self.calls: list[tuple[str, float]] = []  # name and amount of each call that was worked off
        self.dead: set[int] = set()  # parts that answer nothing
        self.busy = False  # turns all away

    def accept(self, now: float, name: str) -> float | None:
        """When a call that comes now is worked off; None: it is turned away, infinity: never."""
        shard = crc32(name.encode()) % len(self._shard_free_times)
        if shard in self.dead:
            return math.inf
        if self.busy or self._shard_free_times[shard] - now > self.queue:
            return None
        self._shard_free_times[shard] = max(now, self._shard_free_times[shard]) + 1 / self.rate
        return self._shard_free_times[shard]

    def add(self, now: float, name: str, amount: float, ttl: float) -> float:
        """Work a call off; the total, to seven digits."""
        total, expires_at = self._totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(MAX_KEY_TTL_SECONDS, ttl)
        total = float(f"{total + amount:.7g}")
        self._totals[name] = total, expires_at
        self.calls.append((name, amount))
        return total

    def forget(self, share: float = 1.0) -> None:
        """Lose that share of the names."""
        for name in sorted(self._totals):
            if self._random.random() < share:
                del self._totals[name]


class _Connection(asyncio.Protocol):
    """A caller's connection: answers go out in the order of its calls."""

    def __init__(self, counter: Counter) -> None:
        self._server, self._reader = counter, hiredis.Reader()
        self._pending_replies: deque[list[bytes]] = deque()  # of each call: empty until it has one
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has come."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        self._transport = None
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Calls; each takes its turn."""
        self._reader.feed(data)
        while (call := self._reader.gets()) is not False:
            slot: list[bytes] = []
            self._pending_replies.append(slot)
            self._server.handle_call(call, slot, self)

    def flush(self) -> None:
        """Write what has its answer and no call before it without one."""
        while self._pending_replies and self._pending_replies[0]:
            reply = self._pending_replies.popleft()[0]
            if self._transport is not None:
                self._transport.write(reply)

    def abort(self) -> None:
        """Break it."""
        if self._transport is not None:
            self._transport.abort()


class Counter:
    """The service on a port of loopback."""

    def __init__(self, service: Service | None = None) -> None:
        self.service = Service() if service is None else service
        self.connections: set[_Connection] = set()
        self.spoil: bytes | None = None  # written in place of the next answer
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> Counter:
        """Listen; at the port of before after a stop."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Be gone: no more connections, and those that stand break."""
        if self._server is not None:
            self._server.close()
        for line in list(self.connections):
            line.abort()

    def handle_call(self, call: Sequence[bytes], slot: list[bytes], connection: _Connection) -> None:
        """Put a call in its queue."""
        if len(call) != 4 or call[0].upper() != b"ADDGET":
            slot.append(b"-ERR unknown call\r\n")
            connection.flush()
            return
        loop = asyncio.get_running_loop()
        name, amount, ttl = call[1].decode(), float(call[2]), float(call[3]) / 1000
        due = self.service.accept(loop.time(), name)
        if due is None:
            slot.append(b"-BUSY\r\n")
            connection.flush()
        elif due < math.inf:
            loop.call_at(due, self._reply, name, amount, ttl, slot, connection)

    def _reply(self, name: str, amount: float, ttl: float, slot: list[bytes], connection: _Connection) -> None:
        total = f"{self.service.add(asyncio.get_running_loop().time(), name, amount, ttl):.7g}".encode()
        malformed, self.spoil = self.spoil, None
        slot.append(b"$%d\r\n%s\r\n" % (len(total), total) if malformed is None else malformed)
        connection.flush()
