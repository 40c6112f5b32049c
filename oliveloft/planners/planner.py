"""A planner: forwarders' connections, a ledger for each shard it owns, and its place in the store."""

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
from oliveloft.planners.keeper import Keeper
from oliveloft.planners.peer import Peer
from oliveloft.store.etcd import Etcd
from oliveloft.store.interface import Store

log = logging.getLogger("oliveloft")

TICK = 0.05  # seconds between looks at what is due
SOON = 0.004  # seconds after a report in which others are waited for, so that one decision serves them all
TELL = 0.5  # seconds between two tellings of what is owned, which also show that the planner is there
SILENT = 3.0  # seconds after which a peer that says nothing is dropped
OPENING = 2.0  # seconds that a peer may take to prove itself
MOST_SEATS = 2048


class Seat(Peer):
    """A peer's connection: a forwarder's, or one that asks for the status."""

    def __init__(self, planner: Planner) -> None:
        super().__init__()
        self._planner = planner
        self.name, self.index = "", -1
        self.role = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Challenge."""
        super().connection_made(transport)
        if self._planner.joined(self):
            self.send(wire.Challenge(wire.VERSION, self.nonce))
        else:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Gone."""
        self.transport = None
        self._planner.left(self)

    def take(self, message: wire.Message) -> None:
        """A message of the peer."""
        if not self.role:
            self._open(message)
        else:
            self._planner.take(self, message)

    def _open(self, message: wire.Message) -> None:
        if not isinstance(message, wire.Hello):
            raise wire.WireError("the opening is no Hello")
        if message.version != wire.VERSION:
            raise wire.WireError(f"version {message.version}, here it is {wire.VERSION}")
        secret = self._planner.config.secret
        if not wire.proved(secret, "peer", self.nonce, message.nonce, message.name, message.proof):
            raise wire.WireError("the secret is wrong")
        if message.role not in ("forwarder", "status"):
            raise wire.WireError(f"role {message.role[:20]!r}")
        self._planner.opened(self, message)
        self.framer.most = wire.MOST_FRAME
        self.send(
            wire.Welcome(
                self._planner.name,
                wire.proof(secret, "planner", message.nonce, self.nonce, self._planner.name),
                self._planner.age(),
            )
        )
        if message.role == "status":
            self.send(wire.Status(json.dumps(self._planner.status())))
        else:
            self._planner.tell(self)

    def wrong(self, why: str) -> None:
        """Say why, and close; the log has it once for each peer and reason."""
        if self.transport is not None:
            where = self.transport.get_extra_info("peername")
            self._planner.complain(self.name or (where[0] if where else "?"), why)
            self.send(wire.Refused(why[:200]))
            self.transport.close()


class Planner:
    """One planner's process."""

    def __init__(self, name: str, config: PlannersConfig, store: Store) -> None:
        self.name, self.config = name, config
        self._ownership = Ownership(name, config.terms.shards)
        self._ledgers: dict[int, Ledger] = {}
        self._seats: set[Seat] = set()
        self._forwarders: dict[str, Seat] = {}
        self._complaints: set[tuple[str, str]] = set()
        self._soon: asyncio.TimerHandle | None = None
        self._told_at = 0.0
        self.plan_time = 0.0  # seconds spent in deciding
        self._began = self.now()
        host, port = config.planners[name]
        self._keeper = Keeper(
            store, self._ownership, f"{host}:{port}", config.prefix, config.session, self._owns, self.now
        )
        self._server: asyncio.Server | None = None
        self._ticking: asyncio.TimerHandle | None = None

    @staticmethod
    def now() -> float:
        """This planner's clock: monotonic, and read anew at each look, also after a pause."""
        return time.monotonic()

    def age(self) -> float:
        """Seconds that this planner is up."""
        return self.now() - self._began

    async def start(self) -> None:
        """Listen, and take a place in the store."""
        self._loop = asyncio.get_running_loop()
        host, port = self.config.planners[self.name]
        context = self.config.tls.server() if self.config.tls else None
        try:
            self._server = await self._loop.create_server(lambda: Seat(self), host, port, ssl=context)
        except OSError as error:
            raise ConfigError(f"planners.{self.name}: {error.strerror or error}") from error
        self._keeper.start()
        self._tick()

    async def stop(self) -> None:
        """Give up the shards and close."""
        await self._keeper.stop()
        for handle in (self._ticking, self._soon):
            if handle is not None:
                handle.cancel()
        if self._server is not None:
            self._server.close()
        for seat in list(self._seats):
            seat.drop()

    # Ownership.

    def _owns(self, owned: dict[int, int]) -> None:
        now = self.now()
        for shard in [s for s, ledger in self._ledgers.items() if owned.get(s) != ledger.epoch]:
            del self._ledgers[shard]
        for shard, epoch in owned.items():
            if shard not in self._ledgers:
                self._ledgers[shard] = Ledger(self.config.terms, shard, epoch, self.config.forwarders, now)
        log.info("owns %d of %d shards", len(owned), self.config.terms.shards)
        self._tell_all()

    def _tell_all(self) -> None:
        self._told_at = self.now()
        for seat in self._forwarders.values():
            self.tell(seat)

    def tell(self, seat: Seat) -> None:
        """Tell a forwarder what this planner owns."""
        if not seat.blocked:
            seat.send(wire.Owned(tuple((shard, ledger.epoch) for shard, ledger in self._ledgers.items())))

    # Peers.

    def joined(self, seat: Seat) -> bool:
        """A connection has come up; False where there are too many."""
        if len(self._seats) >= MOST_SEATS:
            self.complain("connections", f"more than {MOST_SEATS}")
            return False
        self._seats.add(seat)
        self._loop.call_later(OPENING, lambda: None if seat.role else seat.drop())
        return True

    def opened(self, seat: Seat, hello: wire.Hello) -> None:
        """A peer has proved itself."""
        if hello.role == "forwarder":
            if hello.forwarders != self.config.forwarders:
                raise wire.WireError(f"{hello.forwarders} forwarders, here {self.config.forwarders}")
            if hello.terms != wire.agreed(self.config.terms):
                raise wire.WireError(
                    f"life, term, drift and shards are {hello.terms}, here " f"{wire.agreed(self.config.terms)}"
                )
            if not 0 <= hello.index < self.config.forwarders or not 0 < len(hello.name) <= 64:
                raise wire.WireError(f"no forwarder {hello.name[:64]!r} with the number {hello.index}")
            seat.name, seat.index = hello.name, hello.index
            before = self._forwarders.get(hello.name)
            if before is not None:
                before.drop()  # an earlier life, or a connection that broke unseen
                self._leave(hello.name)
            self._forwarders[hello.name] = seat
            self._heard(hello.epochs)
        seat.role = hello.role

    def left(self, seat: Seat) -> None:
        """A connection is gone."""
        self._seats.discard(seat)
        if self._forwarders.get(seat.name) is seat:
            del self._forwarders[seat.name]
            self._leave(seat.name)

    def _leave(self, name: str) -> None:
        for ledger in self._ledgers.values():
            ledger.forwarder_left(self.now(), name)

    def _heard(self, epochs: tuple[tuple[int, int], ...]) -> None:
        for shard, epoch in epochs:
            if 0 <= shard < self.config.terms.shards and 0 <= epoch < 1 << 62:
                self._ownership.heard(shard, epoch)

    def complain(self, who: str, why: str) -> None:
        """Log a complaint once."""
        if (who, why) not in self._complaints:
            if len(self._complaints) < 256:
                self._complaints.add((who, why))
            log.warning("%s: %s", who, why)

    def take(self, seat: Seat, message: wire.Message) -> None:
        """A message of a peer that has proved itself."""
        if seat.role != "forwarder":
            raise wire.WireError("nothing more is taken on a status connection")
        match message:
            case Report():
                check(message, self.config.forwarders, self.config.terms.entries)
                ledger = self._ledgers.get(message.shard)
                if ledger is None or ledger.epoch != message.epoch:
                    return  # it will hear of the owner
                again = ledger.report(self.now(), seat.name, seat.index, message)
                if again is not None:
                    seat.send(again)
                elif self._soon is None:
                    self._soon = self._loop.call_later(SOON, self._decide)
            case wire.Pulse(epochs):
                self._heard(epochs)
            case _:
                raise wire.WireError(f"a {type(message).__name__} from a forwarder")

    # Deciding.

    def _decide(self) -> None:
        self._soon = None
        blocked = {name for name, seat in self._forwarders.items() if seat.blocked}
        began = time.perf_counter()
        for ledger in self._ledgers.values():
            for name, word in ledger.pending_updates(self.now(), blocked):
                seat = self._forwarders.get(name)
                if seat is not None:
                    seat.send(word)
        self.plan_time += time.perf_counter() - began

    def _tick(self) -> None:
        self._ticking = self._loop.call_later(TICK, self._tick)
        now = self.now()
        if self._soon is None:
            self._decide()
        if now - self._told_at >= TELL:
            self._tell_all()
            for seat in list(self._seats):
                if now - seat.heard > SILENT and seat.role:
                    seat.drop()

    # What can be seen.

    def status(self) -> dict[str, object]:
        """This planner's state, for `planners status`."""
        now = self.now()
        shards = {}
        workers: dict[str, dict[str, float]] = {}
        forwarders: dict[str, dict[str, Any]] = {
            name: {
                "number": seat.index,
                "heard_s": round(now - seat.heard, 3),
                "report_s": None,
                "grants": 0,
                "granted": 0.0,
                "bytes": seat.read + seat.sent,
                "blocked": seat.blocked,
            }
            for name, seat in self._forwarders.items()
        }
        for shard, ledger in sorted(self._ledgers.items()):
            shards[str(shard)] = {
                "epoch": ledger.epoch,
                "age_s": round(now - ledger.began, 1),
                "things": ledger.resource_count,
                "mismatched": ledger.mismatched,
                "left_out": ledger.rejected_needs,
            }
            workers |= {key.partition("/")[2]: shown for key, shown in ledger.workers(now).items()}
            for name, (count, total) in ledger.granted(now).items():
                entry = forwarders.setdefault(
                    name,
                    {  # gone, but what it has out may be in use
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
            "up_s": round(now - self._began, 1),
            "store": self._keeper.trouble or "ok",
            "plan_s": round(self.plan_time, 3),
            "shards": shards,
            "forwarders": forwarders,
            "workers": workers,
            "owners": {
                str(shard): [owner.planner, owner.epoch] for shard, owner in sorted(self._ownership.owners().items())
            },
        }


async def serve(name: str, config: PlannersConfig) -> int:
    """Run a planner until a signal; the exit status. The first of the planners hosts an embedded store."""
    standin = None
    if config.embedded and name == next(iter(config.planners)):
        from rig.etcd import EtcdStandIn

        try:
            standin = await EtcdStandIn(int(config.endpoints[0].rpartition(":")[2])).start()
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
        if standin is not None:
            await standin.stop()
    return 0
