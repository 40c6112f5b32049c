"""Workers on sockets with a limited capacity, the meter of customers' use that they share, and a record of their work.

They respond as a real worker does: 200 when served, 503 with X-Not-Processed when overloaded, nothing while frozen.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any, cast

import httptools

from rig.capacity import Capacity, Load


class Meter:
    """Measures, over all workers, each customer's use in the last whole period as a share of its rate."""

    def __init__(self, rates: dict[str, float], period: float = 1.0) -> None:
        self._rates, self.period = rates, period
        self._period_start = 0.0
        self._current_units: Counter[tuple[str, str]] = Counter()
        self._previous_units: Counter[tuple[str, str]] = Counter()

    def record_use(self, now: float, customer: str, plan: str, units: float) -> float | None:
        """Count a request's units; return the customer's use ratio in the last period, None if its plan has no rate."""
        if now - self._period_start >= self.period:
            is_consecutive = now - self._period_start < 2 * self.period
            self._previous_units, self._current_units, self._period_start = (
                self._current_units if is_consecutive else Counter(),
                Counter(),
                now,
            )
        self._current_units[customer, plan] += units  # type: ignore[assignment]
        rate = self._rates.get(plan, 0.0)
        return self._previous_units[customer, plan] / self.period / rate if rate else None


class WorkRecord:
    """Records how often a set of workers started each request and, with `records_units`, when units were spent."""

    def __init__(self) -> None:
        self.start_counts: Counter[str] = Counter()
        self.units: dict[tuple[str, str], list[tuple[float, float]]] = {}  # by customer and plan: (time, units)
        self.records_units = False

    def record_start(self, now: float, request: str, customer: str, plan: str, units: float) -> None:
        """Record that a worker has started a request."""
        self.start_counts[request] += 1
        if self.records_units:
            self.units.setdefault((customer, plan), []).append((now, units))


def max_overspending(units: list[tuple[float, float]], rate: float, capacity: float) -> float:
    """Return the most units by which the spending exceeded a token bucket of this rate and capacity that began full.

    A negative result means that the bucket was never exceeded: its magnitude is the lowest level of the bucket.
    """
    level, updated_at, worst = capacity, 0.0, -capacity
    for when, amount in sorted(units):
        level = min(capacity, level + (when - updated_at) * rate) - amount if updated_at else capacity - amount
        updated_at, worst = when, max(worst, -level)
    return worst


class LimitedWorker:
    """A worker with a simulated capacity.

    `service_seconds` is the time that a unit takes of one core at full speed, `service_cv` its coefficient of
    variation, `slow_start` whether each start begins with the warm-up of its capacity.
    """

    def __init__(
        self,
        name: str,
        capacity: Capacity,
        service_seconds: float,
        seed: int = 0,
        service_cv: float = 0.5,
        zone: str = "a",
        meter: Meter | None = None,
        record: WorkRecord | None = None,
        slow_start: bool = False,
    ) -> None:
        self.name, self.zone, self.service_seconds, self.service_cv = name, zone, service_seconds, service_cv
        self.meter, self.record = meter, record or WorkRecord()
        self.random = Random(f"{seed} {name}")
        self.capacity, self.slow_start = capacity, slow_start
        self.load = Load(capacity)
        self.frozen = False
        self.port = 0
        self.peak_completion_seconds = 0.0  # longest seconds from arrival to completion, queue included
        self.since_ms = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self) -> LimitedWorker:
        """Start to listen, with a slow start if set so."""
        self.loop = asyncio.get_running_loop()
        self.load = Load(self.capacity, started=self.loop.time() if self.slow_start else None)
        if self.slow_start:
            import time

            self.since_ms = int(time.time() * 1000)
        self._server = await self.loop.create_server(lambda: _Connection(self), "127.0.0.1", self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop: connections are aborted and new ones refused."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the discovery list; `changes` override fields."""
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
    """A connection of a gatekeeper, which carries one request at a time."""

    def __init__(self, worker: LimitedWorker) -> None:
        self._worker = worker
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._worker._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._worker._connections.discard(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._url, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        worker = self._worker
        if worker.frozen:
            return
        now = worker.loop.time()
        request_id = self._headers.get(b"x-request-id", b"").decode()
        plan = self._headers.get(b"x-tariff", b"").decode()
        weight = self._headers.get(b"x-weight", b"")
        units = float(next((part[6:] for part in weight.split(b",") if part.startswith(b"units=")), b"1"))
        customer = self._url.partition(b"customer=")[2].partition(b"&")[0].decode()
        shape = 1 / worker.service_cv**2
        work = units * worker.service_seconds * worker.random.gammavariate(shape, 1 / shape)
        done_at = worker.load.arrive(now, work)
        if done_at is None:
            self._reply(503, b"X-Not-Processed: 1\r\n", b"full\n")
            return
        worker.peak_completion_seconds = max(worker.peak_completion_seconds, done_at - now)
        worker.record.record_start(now, request_id, customer, plan, units)
        use_ratio = worker.meter.record_use(now, customer, plan, units) if worker.meter else None
        use_header = b"" if use_ratio is None else b"X-Allowance-Used: %.1f\r\n" % (100 * use_ratio)
        worker.loop.call_at(done_at, self._complete, worker.load, use_header, request_id)

    def _complete(self, load: Load, headers: bytes, request_id: str) -> None:
        if not self._worker.frozen and load is self._worker.load:
            self._reply(200, headers, request_id.encode())

    def _reply(self, status: int, headers: bytes, body: bytes) -> None:
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)
            )
