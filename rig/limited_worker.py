"""Workers on sockets that can take so much and no more, the meter that they share, and what they did.

They answer as a real worker would: served, turned away unseen when full, or nothing once they are frozen.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any, cast

import httptools

from rig.capacity import Capacity, Load


class Meter:
    """The use of each customer over the last whole period, as a share of its rate, told by all workers."""

    def __init__(self, rates: dict[str, float], period: float = 1.0) -> None:
        self._rates, self.period = rates, period
        self._began = 0.0
        self._now: Counter[tuple[str, str]] = Counter()
        self._last: Counter[tuple[str, str]] = Counter()

    def used(self, now: float, customer: str, plan: str, units: float) -> float | None:
        """Count a request's units; the customer's use in the last period, None for a plan with no rate."""
        if now - self._began >= self.period:
            whole = now - self._began < 2 * self.period
            self._last, self._now, self._began = self._now if whole else Counter(), Counter(), now
        self._now[customer, plan] += units  # type: ignore[assignment]
        rate = self._rates.get(plan, 0.0)
        return self._last[customer, plan] / self.period / rate if rate else None


class Record:
    """What a set of workers did, for the rules: how often each request's work was begun, and peaks."""

    def __init__(self) -> None:
        self.begun: Counter[str] = Counter()
        self.units: dict[tuple[str, str], list[tuple[float, float]]] = {}  # by customer and plan: when, units
        self.keep_units = False

    def note(self, now: float, request: str, customer: str, plan: str, units: float) -> None:
        """A worker has begun a request."""
        self.begun[request] += 1
        if self.keep_units:
            self.units.setdefault((customer, plan), []).append((now, units))


def overspent(units: list[tuple[float, float]], rate: float, depth: float) -> float:
    """By how many units at most all together were over a store of this rate and depth that began full.

    Below 0: they were never over it, and so many units were left at the least.
    """
    level, at, worst = depth, 0.0, -depth
    for when, amount in sorted(units):
        level = min(depth, level + (when - at) * rate) - amount if at else depth - amount
        at, worst = when, max(worst, -level)
    return worst


class ModelledWorker:
    """A worker whose capacity is modelled; `service` is the seconds that a unit takes of one warm core."""

    def __init__(
        self,
        name: str,
        capacity: Capacity,
        service: float,
        seed: int = 0,
        cv: float = 0.5,
        zone: str = "a",
        meter: Meter | None = None,
        record: Record | None = None,
        cold: bool = False,
    ) -> None:
        self.name, self.zone, self.service, self.cv = name, zone, service, cv
        self.meter, self.record = meter, record or Record()
        self.random = Random(f"{seed} {name}")
        self.capacity, self.cold = capacity, cold
        self.load = Load(capacity)
        self.frozen = False
        self.port = 0
        self.peak = 0.0  # most work in hand at a time, in seconds of a core
        self.since_ms = 0
        self._server: asyncio.Server | None = None
        self._ends: set[_Connection] = set()

    async def start(self) -> ModelledWorker:
        """Listen, cold if told so."""
        self.loop = asyncio.get_running_loop()
        self.load = Load(self.capacity, started=self.loop.time() if self.cold else None)
        if self.cold:
            import time

            self.since_ms = int(time.time() * 1000)
        self._server = await self.loop.create_server(lambda: _Connection(self), "127.0.0.1", self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Die: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for end in list(self._ends):
            end.abort()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its line in discovery's list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "m",
            "group": 0,
            "status": "up",
            "weight": 1.0,
            "since_ms": self.since_ms,
            **changes,
        }


class _Connection(asyncio.Protocol):
    """A gatekeeper's connection: one request at a time."""

    def __init__(self, worker: ModelledWorker) -> None:
        self._worker = worker
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._fields: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._worker._ends.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._worker._ends.discard(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._url, self._fields = b"", {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        worker = self._worker
        if worker.frozen:
            return
        now = worker.loop.time()
        name = self._fields.get(b"x-request-id", b"").decode()
        plan = self._fields.get(b"x-tariff", b"").decode()
        weight = self._fields.get(b"x-weight", b"")
        units = float(next((part[6:] for part in weight.split(b",") if part.startswith(b"units=")), b"1"))
        customer = self._url.partition(b"customer=")[2].partition(b"&")[0].decode()
        shape = 1 / worker.cv**2
        work = units * worker.service * worker.random.gammavariate(shape, 1 / shape)
        done = worker.load.arrive(now, work)
        if done is None:
            self._reply(503, b"X-Not-Processed: 1\r\n", b"full\n")
            return
        worker.peak = max(worker.peak, done - now)
        worker.record.note(now, name, customer, plan, units)
        used = worker.meter.used(now, customer, plan, units) if worker.meter else None
        told = b"" if used is None else b"X-Allowance-Used: %.1f\r\n" % (100 * used)
        worker.loop.call_at(done, self._done, worker.load, told, name)

    def _done(self, load: Load, headers: bytes, name: str) -> None:
        if not self._worker.frozen and load is self._worker.load:
            self._reply(200, headers, name.encode())

    def _reply(self, status: int, headers: bytes, body: bytes) -> None:
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)
            )
