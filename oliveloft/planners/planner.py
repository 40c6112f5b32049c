"""Runs a planner: connections of forwarders, a ledger for each owned shard, and its session in the store.

A planner divides quotas and ceilings among forwarders by their demand reports. Which planner owns which shard of the
resources is agreed through the store (`oliveloft.store`); the rules are in `micagate.planning`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import time
from typing import Any

from micagate.planning.ledger import Ledger
from micagate.planning.messages import Report, check
from micagate.planning.ownership import Ownership
from oliveloft.config.loading import ConfigError
from oliveloft.planners import wire
from oliveloft.planners.config import PlannersConfig
from oliveloft.planners.keeper import StoreSession
from oliveloft.planners.peer import FramedConnection
from oliveloft.store.etcd import Etcd
from oliveloft.store.interface import Store

log = logging.getLogger("oliveloft")

TICK_SECONDS = 0.05  # interval of periodic work
DECISION_DELAY_SECONDS = 0.004  # wait after a report for further ones, so that one decision serves them all
OWNERSHIP_INTERVAL_SECONDS = 0.5  # interval of messages about owned shards, which also serve as heartbeats
PEER_TIMEOUT_SECONDS = 3.0  # after which an unresponsive peer is disconnected
HANDSHAKE_TIMEOUT_SECONDS = 2.0  # for a peer to authenticate
MAX_CONNECTIONS = 2048


class ClientConnection(FramedConnection):
    """A connection accepted by a planner: from a forwarder, or from a client that queries the status."""

    def __init__(self, planner: Planner) -> None:
        super().__init__()
        self._planner = planner
        self.name, self.index = "", -1
        self.role = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the challenge, or close the connection if there are too many."""
        super().connection_made(transport)
        if self._planner.connection_opened(self):
            self.send(wire.Challenge(wire.VERSION, self.nonce))
        else:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the planner."""
        self.transport = None
        self._planner.connection_lost(self)

    def handle_message(self, message: wire.Message) -> None:
        """Handle a message: the handshake first, then the peer's messages."""
        if not self.role:
            self._handshake(message)
        else:
            self._planner.handle_message(self, message)

    def _handshake(self, message: wire.Message) -> None:
        if not isinstance(message, wire.Hello):
            raise wire.WireError("the first message is not a Hello")
        if message.version != wire.VERSION:
            raise wire.WireError(f"version {message.version}, here it is {wire.VERSION}")
        secret = self._planner.config.secret
        if not wire.verify_proof(secret, "peer", self.nonce, message.nonce, message.name, message.proof):
            raise wire.WireError("the secret is wrong")
        if message.role not in ("forwarder", "status"):
            raise wire.WireError(f"role {message.role[:20]!r}")
        self._planner.handshake_complete(self, message)
        self.framer.max_frame_bytes = wire.MAX_FRAME_BYTES
        self.send(
            wire.Welcome(
                self._planner.name,
                wire.proof(secret, "planner", message.nonce, self.nonce, self._planner.name),
                self._planner.uptime(),
            )
        )
        if message.role == "status":
            self.send(wire.Status(json.dumps(self._planner.status())))
        else:
            self._planner.send_ownership(self)

    def protocol_error(self, reason: str) -> None:
        """Send the reason to the peer and close; it is logged once per peer and reason."""
        if self.transport is not None:
            address = self.transport.get_extra_info("peername")
            self._planner.log_problem(self.name or (address[0] if address else "?"), reason)
            self.send(wire.Refused(reason[:200]))
            self.transport.close()


class Planner:
    """One planner process; times are seconds on its monotonic clock."""

    def __init__(self, name: str, config: PlannersConfig, store: Store) -> None:
        self.name, self.config = name, config
        self._ownership = Ownership(name, config.terms.shards)
        self._ledgers: dict[int, Ledger] = {}
        self._connections: set[ClientConnection] = set()
        self._forwarders: dict[str, ClientConnection] = {}
        self._logged_problems: set[tuple[str, str]] = set()
        self._decision_timer: asyncio.TimerHandle | None = None
        self._ownership_sent_at = 0.0
        self.planning_seconds = 0.0  # total time spent in decisions
        self._started_at = self.now()
        host, port = config.planners[name]
        self._store_session = StoreSession(
            store, self._ownership, f"{host}:{port}", config.prefix, config.session, self._ownership_changed, self.now
        )
        self._server: asyncio.Server | None = None
        self._tick_timer: asyncio.TimerHandle | None = None

    @staticmethod
    def now() -> float:
        """Return the monotonic time; read at each use, so that it is right after the process was paused."""
        return time.monotonic()

    def uptime(self) -> float:
        """Return the seconds since this planner started."""
        return self.now() - self._started_at

    async def start(self) -> None:
        """Listen, and register in the store. ConfigError where the address cannot be bound."""
        self._loop = asyncio.get_running_loop()
        host, port = self.config.planners[self.name]
        context = self.config.tls.server() if self.config.tls else None
        try:
            self._server = await self._loop.create_server(lambda: ClientConnection(self), host, port, ssl=context)
        except OSError as error:
            raise ConfigError(f"planners.{self.name}: {error.strerror or error}") from error
        self._store_session.start()
        self._tick()

    async def stop(self) -> None:
        """Release the shards and close all connections."""
        await self._store_session.stop()
        for handle in (self._tick_timer, self._decision_timer):
            if handle is not None:
                handle.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    # Ownership.

    def _ownership_changed(self, owned: dict[int, int]) -> None:
        """Create and delete ledgers to match the owned shards, and notify all forwarders."""
        now = self.now()
        for shard in [s for s, ledger in self._ledgers.items() if owned.get(s) != ledger.epoch]:
            del self._ledgers[shard]
        for shard, epoch in owned.items():
            if shard not in self._ledgers:
                self._ledgers[shard] = Ledger(self.config.terms, shard, epoch, self.config.forwarders, now)
        log.info("owns %d of %d shards", len(owned), self.config.terms.shards)
        self._send_ownership_to_all()

    def _send_ownership_to_all(self) -> None:
        self._ownership_sent_at = self.now()
        for connection in self._forwarders.values():
            self.send_ownership(connection)

    def send_ownership(self, connection: ClientConnection) -> None:
        """Send the owned shards to a forwarder."""
        if not connection.blocked:
            connection.send(wire.Owned(tuple((shard, ledger.epoch) for shard, ledger in self._ledgers.items())))

    # Peers.

    def connection_opened(self, connection: ClientConnection) -> bool:
        """Register a new connection; return False where there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self.log_problem("connections", f"more than {MAX_CONNECTIONS}")
            return False
        self._connections.add(connection)
        self._loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, lambda: None if connection.role else connection.abort())
        return True

    def handshake_complete(self, connection: ClientConnection, hello: wire.Hello) -> None:
        """Register an authenticated peer. WireError where its configuration does not match."""
        if hello.role == "forwarder":
            if hello.forwarders != self.config.forwarders:
                raise wire.WireError(f"{hello.forwarders} forwarders, here {self.config.forwarders}")
            if hello.terms != wire.agreed_terms(self.config.terms):
                raise wire.WireError(
                    f"life, term, drift and shards are {hello.terms}, here {wire.agreed_terms(self.config.terms)}"
                )
            if not 0 <= hello.index < self.config.forwarders or not 0 < len(hello.name) <= 64:
                raise wire.WireError(f"no forwarder {hello.name[:64]!r} with the number {hello.index}")
            connection.name, connection.index = hello.name, hello.index
            previous = self._forwarders.get(hello.name)
            if previous is not None:
                previous.abort()  # of an earlier incarnation, or broken without notice
                self._forwarder_left(hello.name)
            self._forwarders[hello.name] = connection
            self._record_epochs(hello.epochs)
        connection.role = hello.role

    def connection_lost(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if self._forwarders.get(connection.name) is connection:
            del self._forwarders[connection.name]
            self._forwarder_left(connection.name)

    def _forwarder_left(self, name: str) -> None:
        for ledger in self._ledgers.values():
            ledger.forwarder_left(self.now(), name)

    def _record_epochs(self, epochs: tuple[tuple[int, int], ...]) -> None:
        for shard, epoch in epochs:
            if 0 <= shard < self.config.terms.shards and 0 <= epoch < 1 << 62:
                self._ownership.report_epoch(shard, epoch)

    def log_problem(self, source: str, reason: str) -> None:
        """Log a problem once per source and reason."""
        if (source, reason) not in self._logged_problems:
            if len(self._logged_problems) < 256:
                self._logged_problems.add((source, reason))
            log.warning("%s: %s", source, reason)

    def handle_message(self, connection: ClientConnection, message: wire.Message) -> None:
        """Handle a message of an authenticated peer."""
        if connection.role != "forwarder":
            raise wire.WireError("a status connection accepts no further messages")
        match message:
            case Report():
                check(message, self.config.forwarders, self.config.terms.entries)
                ledger = self._ledgers.get(message.shard)
                if ledger is None or ledger.epoch != message.epoch:
                    return  # the forwarder will be notified of the owner
                restart = ledger.report(self.now(), connection.name, connection.index, message)
                if restart is not None:
                    connection.send(restart)
                elif self._decision_timer is None:
                    self._decision_timer = self._loop.call_later(DECISION_DELAY_SECONDS, self._decide)
            case wire.Pulse(epochs):
                self._record_epochs(epochs)
            case _:
                raise wire.WireError(f"unexpected {type(message).__name__} from a forwarder")

    # Decisions.

    def _decide(self) -> None:
        """Send pending updates of all ledgers to the forwarders that read."""
        self._decision_timer = None
        blocked = {name for name, connection in self._forwarders.items() if connection.blocked}
        started_at = time.perf_counter()
        for ledger in self._ledgers.values():
            for name, update in ledger.pending_updates(self.now(), blocked):
                connection = self._forwarders.get(name)
                if connection is not None:
                    connection.send(update)
        self.planning_seconds += time.perf_counter() - started_at

    def _tick(self) -> None:
        self._tick_timer = self._loop.call_later(TICK_SECONDS, self._tick)
        now = self.now()
        if self._decision_timer is None:
            self._decide()
        if now - self._ownership_sent_at >= OWNERSHIP_INTERVAL_SECONDS:
            self._send_ownership_to_all()
            for connection in list(self._connections):
                if now - connection.last_received_at > PEER_TIMEOUT_SECONDS and connection.role:
                    connection.abort()

    # Status.

    def status(self) -> dict[str, object]:
        """Return this planner's state, for `planners status`."""
        now = self.now()
        shards = {}
        workers: dict[str, dict[str, float]] = {}
        forwarders: dict[str, dict[str, Any]] = {
            name: {
                "number": connection.index,
                "heard_s": round(now - connection.last_received_at, 3),
                "report_s": None,
                "grants": 0,
                "granted": 0.0,
                "bytes": connection.bytes_received + connection.bytes_sent,
                "blocked": connection.blocked,
            }
            for name, connection in self._forwarders.items()
        }
        for shard, ledger in sorted(self._ledgers.items()):
            shards[str(shard)] = {
                "epoch": ledger.epoch,
                "age_s": round(now - ledger.started_at, 1),
                "things": ledger.resource_count,
                "mismatched": ledger.mismatched,
                "left_out": ledger.rejected_needs,
            }
            workers |= {key.partition("/")[2]: worker_status for key, worker_status in ledger.workers(now).items()}
            for name, (count, total) in ledger.granted(now).items():
                entry = forwarders.setdefault(
                    name,
                    {  # disconnected, but its grants may still be in use
                        "number": None,
                        "heard_s": None,
                        "report_s": None,
                        "grants": 0,
                        "granted": 0.0,
                        "bytes": 0,
                        "blocked": False,
                    },
                )
                entry["grants"] += count
                entry["granted"] = round(entry["granted"] + total, 4)
            for name, age in ledger.ages(now).items():
                known = forwarders[name]["report_s"]
                forwarders[name]["report_s"] = round(age if known is None else min(age, known), 3)
        return {
            "planner": self.name,
            "up_s": round(now - self._started_at, 1),
            "store": self._store_session.last_error or "ok",
            "plan_s": round(self.planning_seconds, 3),
            "shards": shards,
            "forwarders": forwarders,
            "workers": workers,
            "owners": {
                str(shard): [owner.planner, owner.epoch] for shard, owner in sorted(self._ownership.owners().items())
            },
        }


async def run_planner(name: str, config: PlannersConfig) -> int:
    """Run a planner until a signal; return the exit status. The first of the planners hosts an embedded store."""
    embedded_store = None
    if config.embedded and name == next(iter(config.planners)):
        from rig.etcd import FakeEtcd

        try:
            embedded_store = await FakeEtcd(int(config.endpoints[0].rpartition(":")[2])).start()
        except (OSError, ValueError) as error:
            raise ConfigError(f"store.endpoints: {error}") from error
    store = Etcd(config.endpoints)
    planner = Planner(name, config, store)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        await planner.start()
        log.info("%s plans at %s:%d", name, *config.planners[name])
        await stop.wait()
        log.info("stopping")
        await planner.stop()
    finally:
        await store.close()
        if embedded_store is not None:
            await embedded_store.stop()
    return 0
