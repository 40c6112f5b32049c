"""Connects a forwarder to all planners: sends its demand reports and applies the shares that planners move.

A forwarder is a gatekeeper in its role toward planners. Its leases are kept by `micagate.planning.holder.Holder`; this
module only connects that to sockets and to the dispatcher.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from micagate import interface
from micagate.planning.demand import DemandEstimator
from micagate.planning.holder import Holder
from micagate.planning.messages import PlannerUpdate, RestartSession, check
from micagate.planning.ownership import shard_of
from oliveloft.planners import wire
from oliveloft.planners.config import PlannersConfig
from oliveloft.planners.peer import FramedConnection

log = logging.getLogger("oliveloft")

TICK_SECONDS = 0.05  # interval of periodic work
PULSE_INTERVAL_SECONDS = 1.0  # interval of heartbeats, which carry the known epochs
PLANNER_TIMEOUT_SECONDS = 2.5  # after which an unresponsive planner is disconnected
INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.1, 1.0  # between connection attempts
CONNECT_TIMEOUT_SECONDS = 1.0  # for a connection to be established


class ShareConsumer(Protocol):
    """What the links need of the dispatcher (`oliveloft.dispatch.dispatcher.RequestDispatcher`)."""

    def apply_shares(self, event: interface.ShareUpdate) -> tuple[interface.BucketLevels, ...]:
        """Apply a change of shares; return the bucket levels that went with the shares given away."""

    def demand_report(self, works: bool) -> interface.DemandReport:
        """Return the demand for each resource since the last report; with `works` also the outcomes of attempts at
        workers."""


class _PlannerConnection(FramedConnection):
    """A connection to one planner."""

    def __init__(self, link: _PlannerLink) -> None:
        super().__init__()
        self._link = link
        self._challenge = b""
        self.pulse_sent_at = 0.0
        self.is_open = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._link.connection_lost(self, str(exc or "closed"))

    def handle_message(self, message: wire.Message) -> None:
        if self.is_open:
            self._link.links.handle_message(self._link.name, message)
        else:
            self._handshake(message)

    def protocol_error(self, reason: str) -> None:
        self._link.log_problem(reason)
        self.abort()

    def _handshake(self, message: wire.Message) -> None:
        links = self._link.links
        match message:
            case wire.Challenge(version, nonce):
                if version != wire.VERSION:
                    raise wire.WireError(f"version {version}, here it is {wire.VERSION}")
                self._challenge = nonce
                self.send(
                    wire.Hello(
                        wire.VERSION,
                        "forwarder",
                        links.name,
                        links.index,
                        links.config.forwarders,
                        self.nonce,
                        wire.proof(links.config.secret, "peer", nonce, self.nonce, links.name),
                        tuple(links.holder.epochs().items()),
                        wire.agreed_terms(links.config.terms),
                    )
                )
            case wire.Welcome(planner, proof, age):
                if planner != self._link.name:
                    raise wire.WireError(f"it is {planner[:64]!r}")
                secret = links.config.secret
                if not wire.verify_proof(secret, "planner", self.nonce, self._challenge, planner, proof):
                    raise wire.WireError("the secret is wrong")
                self.is_open = True
                links.planner_start_times[planner] = links.now() - age
                self.framer.max_frame_bytes = wire.MAX_FRAME_BYTES
                self._link.handshake_complete()
            case wire.Refused(why):
                raise wire.WireError(f"refused: {why[:200]}")
            case _:
                raise wire.WireError(f"a {type(message).__name__} at the opening")


class _PlannerLink:
    """The link to one planner, which reconnects with exponential backoff."""

    def __init__(self, links: Links, name: str, address: tuple[str, int]) -> None:
        self.links, self.name, self._address = links, name, address
        self.connection: _PlannerConnection | None = None
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._logged_problem = ""
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        connection = self.connection = _PlannerConnection(self)
        host, port = self._address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                context = self.links.config.tls.client() if self.links.config.tls else None
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port, ssl=context)
        except (OSError, TimeoutError) as error:
            self.connection_lost(connection, f"cannot connect: {error or 'timed out'}")

    def handshake_complete(self) -> None:
        self._backoff = INITIAL_BACKOFF_SECONDS
        if self._logged_problem:
            log.info("planner %s: back", self.name)
        self._logged_problem = ""

    def log_problem(self, reason: str) -> None:
        """Log a problem, once until the planner is back."""
        if reason != self._logged_problem:
            log.warning("planner %s: %s", self.name, reason)
        self._logged_problem = reason

    def connection_lost(self, connection: _PlannerConnection, reason: str) -> None:
        if connection is not self.connection:
            return
        self.connection = None
        if not self._logged_problem:
            self.log_problem(reason)
        self.links.planner_disconnected(self.name)
        # Random jitter: all forwarders lose a planner at the same moment.
        delay = self._backoff * random.uniform(0.5, 1.5)
        self._timer = asyncio.get_running_loop().call_later(delay, self.start)
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)

    def stop(self) -> None:
        for handle in (self._task, self._timer):
            if handle is not None:
                handle.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort()


class Links:
    """A forwarder's links to all planners; times are seconds on its monotonic clock."""

    def __init__(
        self, name: str, index: int, config: PlannersConfig, share_consumer: ShareConsumer, started_at: float
    ) -> None:
        self.name, self.index, self.config, self._share_consumer = name, index, config, share_consumer
        shards = config.terms.shards
        cache: dict[str, int] = {}

        def shard(key: str) -> int:
            found = cache.get(key)
            if found is None:
                if len(cache) > 65536:
                    cache.clear()
                found = cache[key] = shard_of(key, shards)
            return found

        self.holder = Holder(
            config.terms, index, config.forwarders, started_at, first_session=random.getrandbits(52), shard_of=shard
        )
        self._demands = DemandEstimator(started_at)
        self._links = {planner: _PlannerLink(self, planner, address) for planner, address in config.planners.items()}
        self._owned_shards: dict[str, set[int]] = {}
        self.planner_start_times: dict[str, float] = {}  # start time of each planner's process, where known
        # Called before leases are promised up to a time: whether that is recorded on disk. If not, reports wait.
        self.leases_recorded: Callable[[float], bool] = lambda until: True
        # Returns whether all leases of an earlier incarnation have expired; a record store may know that sooner.
        self.leases_expired: Callable[[float], bool] = lambda now: False
        self._demand_reported_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._flush_scheduled = False

    @staticmethod
    def now() -> float:
        """Return the monotonic time; read at each use, so that it is right after the process was paused."""
        return time.monotonic()

    def start(self) -> None:
        """Connect to all planners."""
        self._loop = asyncio.get_running_loop()
        for link in self._links.values():
            link.start()
        self._tick()

    def stop(self) -> None:
        """Close all links."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links.values():
            link.stop()

    @property
    def open(self) -> int:
        """Return how many planners are connected."""
        return sum(link.connection is not None and link.connection.is_open for link in self._links.values())

    async def ready(self) -> None:
        """Wait until all leases of an earlier incarnation of this forwarder have expired."""
        while not (self.holder.ready(self.now()) or self.leases_expired(self.now())):
            await asyncio.sleep(0.05)

    def handle_message(self, planner: str, message: wire.Message) -> None:
        """Handle a message of a planner."""
        now = self.now()
        match message:
            case PlannerUpdate():
                check(message, self.config.forwarders, self.config.terms.entries)
                if self.holder.receive_update(now, planner, message) and (message.lend_requests or message.grants):
                    self._flush_soon()
            case wire.Owned(shards):
                owned = {shard for shard, _ in shards}
                for shard in self._owned_shards.get(planner, set()) - owned:
                    self.holder.planner_deposed(now, planner, shard)
                self._owned_shards[planner] = owned
                for shard, epoch in shards:
                    self.holder.planner_elected(now, planner, shard, epoch)
            case RestartSession(shard, session):
                self.holder.restart_session(now, planner, shard, session)
            case wire.Refused(why):
                raise wire.WireError(f"refused: {why[:200]}")
            case _:
                raise wire.WireError(f"unexpected {type(message).__name__} from a planner")

    def planner_disconnected(self, planner: str) -> None:
        """Handle the end of a planner's connection."""
        self._owned_shards.pop(planner, None)
        self.holder.planner_disconnected(self.now(), planner)

    def _flush_soon(self) -> None:
        """Schedule one flush for all messages received in this iteration of the event loop."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Apply changes of shares, then send reports to the planners.

        Shares go first: a lent share must be out of use here before a planner is notified of it.
        """
        self._flush_scheduled = False
        now = self.now()
        blocked = {
            name
            for name, link in self._links.items()
            if link.connection is None or not link.connection.is_open or link.connection.blocked
        }
        for event in [*self.holder.share_updates(now), *self.holder.expired_sessions(now)]:
            self.holder.record_released(event.session, self._share_consumer.apply_shares(event))
        if not self.leases_recorded(now + self.config.terms.term * (1 + 3 * self.config.terms.drift)):
            return  # a report renews leases, and the next incarnation has to know of them from the disk
        for planner, report in self.holder.reports(now, blocked):
            connection = self._links[planner].connection
            if connection is not None:
                connection.send(report)

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_SECONDS, self._tick)
        now = self.now()
        if now - self._demand_reported_at >= self.config.terms.interval / 2:
            self._demand_reported_at = now
            report = self._share_consumer.demand_report(self.config.paces)
            self.holder.update_needs(now, self._demands.update(now, report.resources))
            self.holder.record_worker_loads(report.workers)
        self._flush()
        for link in self._links.values():
            connection = link.connection
            if connection is None or not connection.is_open:
                continue
            if now - connection.last_received_at > PLANNER_TIMEOUT_SECONDS:
                link.log_problem("silent")
                connection.abort()
            elif now - connection.pulse_sent_at > PULSE_INTERVAL_SECONDS and not connection.blocked:
                # Also sent on a busy connection: a planner that claims shards has to know the epochs.
                connection.pulse_sent_at = now
                connection.send(wire.Pulse(tuple(self.holder.epochs().items())))
