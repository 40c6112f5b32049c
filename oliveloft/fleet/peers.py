"""Links between members on sockets: frames, opening and secret as planners and forwarders speak."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from micagate.membership.messages import Heartbeat, Message, RecoveryAnswer, RecoveryQuery, StateSummary, check
from oliveloft.fleet.config import FleetConfig
from oliveloft.planners import wire
from oliveloft.planners.peer import Peer

log = logging.getLogger("oliveloft")

CONNECT = 0.5  # seconds for a connection to come up and open
OPENING = 2.0  # seconds that a caller may take to prove itself
MOST_CALLERS = 256


class Owner(Protocol):
    """What the links tell."""

    def linked(self, peer: str) -> None:
        """A link to a member stands."""

    def unlinked(self, peer: str, refused: bool) -> None:
        """A link to a member has ended, or none could be made; `refused`: nobody listens there."""

    def heard(self, peer: str, message: Message) -> None:
        """A member says something."""

    def status(self) -> str:
        """This member's state as JSON."""

    def life(self) -> int:
        """The number of this member's life."""

    def later(self, peer: str) -> Heartbeat:
        """What is known of a member, for one that calls in an earlier life of it."""


class Line(Peer):
    """A connection to another member, whichever side made it."""

    def __init__(self, peers: Peers, calls: str = "") -> None:
        super().__init__()
        self._peers, self._calls = peers, calls  # whom it calls; empty: it was accepted
        self.peer = ""  # once it has proved itself
        self.life = 0  # of whoever called
        self._challenge = b""
        self.opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Whoever was called challenges."""
        super().connection_made(transport)
        if self._calls:
            return
        if not self._peers.accepts(self):
            self.drop()
            return
        self._timer = asyncio.get_running_loop().call_later(OPENING, self.drop)
        self.send(wire.Challenge(wire.VERSION, self.nonce))

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        if not self.opened.done():
            self.opened.set_result(False)
        self._peers.ended(self)

    def wrong(self, why: str) -> None:
        """Say why, and close."""
        self._peers.complain(self.peer or self._calls, why)
        if self.transport is not None:
            self.send(wire.Refused(why[:200]))
            self.transport.close()

    def take(self, message: wire.Message) -> None:
        """A message has come."""
        if self.peer:
            if isinstance(message, Heartbeat | StateSummary | RecoveryQuery | RecoveryAnswer):
                check(message)
                self._peers.owner.heard(self.peer, message)
            elif isinstance(message, wire.Refused):
                raise wire.WireError(f"refused: {message.why[:200]}")
            else:
                raise wire.WireError(f"a {type(message).__name__} from a member")
        elif self._calls:
            self._opens(message)
        else:
            self._called(message)

    def _opens(self, message: wire.Message) -> None:
        peers = self._peers
        secret = peers.config.secret
        match message:
            case wire.Challenge(version, nonce):
                if version != wire.VERSION:
                    raise wire.WireError(f"version {version}, here it is {wire.VERSION}")
                self._challenge = nonce
                self.send(
                    wire.Hello(
                        wire.VERSION,
                        "member",
                        peers.name,
                        -1,
                        len(peers.config.members),
                        self.nonce,
                        wire.proof(secret, "peer", nonce, self.nonce, peers.name),
                        ((0, peers.owner.life()),),
                    )
                )
            case wire.Welcome(name, proof):
                if name != self._calls:
                    raise wire.WireError(f"it is {name[:64]!r}")
                if not wire.proved(secret, "member", self.nonce, self._challenge, name, proof):
                    raise wire.WireError("the secret is wrong")
                self._stands(name)
            case wire.Refused(why):
                raise wire.WireError(f"refused: {why[:200]}")
            case _:
                raise wire.WireError(f"a {type(message).__name__} at the opening")

    def _called(self, message: wire.Message) -> None:
        peers = self._peers
        if not isinstance(message, wire.Hello):
            raise wire.WireError("the opening is no Hello")
        if message.version != wire.VERSION:
            raise wire.WireError(f"version {message.version}, here it is {wire.VERSION}")
        if not wire.proved(peers.config.secret, "peer", self.nonce, message.nonce, message.name, message.proof):
            raise wire.WireError("the secret is wrong")
        welcome = wire.Welcome(
            peers.name, wire.proof(peers.config.secret, "member", message.nonce, self.nonce, peers.name)
        )
        if message.role == "status":
            self.send(welcome)
            self.send(wire.Status(peers.owner.status()))
            if self.transport is not None:
                self.transport.close()
            return
        if message.role != "member":
            raise wire.WireError(f"role {message.role[:20]!r}")
        if message.name not in peers.config.members or message.name == peers.name:
            raise wire.WireError(f"{message.name[:64]!r} is no other member here")
        if message.forwarders != len(peers.config.members):
            raise wire.WireError(f"a file with {message.forwarders} members, here {len(peers.config.members)}")
        self.send(welcome)
        self.life = message.epochs[0][1] if message.epochs else 0
        before = peers.lines.get(message.name)
        if before is not None and before.life > self.life:
            # Two processes go by one name. The later one's link stays; this one hears of it.
            self.send(peers.owner.later(message.name))
            if self.transport is not None:
                self.transport.close()
            return
        self._stands(message.name)

    def _stands(self, peer: str) -> None:
        self.peer = peer
        self.framer.most = wire.MOST_FRAME
        if self._timer is not None:
            self._timer.cancel()
        if not self.opened.done():
            self.opened.set_result(True)
        self._peers.stands(self)


class Peers:
    """All links of one member."""

    def __init__(self, name: str, config: FleetConfig, owner: Owner) -> None:
        self.name, self.config, self.owner = name, config, owner
        self.lines: dict[str, Line] = {}
        self._callers: set[Line] = set()
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._complaints: dict[str, str] = {}
        self._server: asyncio.Server | None = None
        self._stopped = False
        self.quiet = False  # another process has this one's name: no links are sought any more

    async def start(self) -> None:
        """Listen. OSError where that can't be."""
        host, port = self.config.listen.get(self.name, self.config.members[self.name])
        context = self.config.tls.server() if self.config.tls else None
        self._server = await asyncio.get_running_loop().create_server(lambda: Line(self), host, port, ssl=context)

    def stop(self) -> None:
        """Close all."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for task in self._dials.values():
            task.cancel()
        for line in [*self.lines.values(), *self._callers]:
            line.drop()

    def dial(self, peer: str) -> None:
        """Make a link, unless one is being made."""
        if peer not in self._dials and not self._stopped and not self.quiet:
            self._dials[peer] = asyncio.get_running_loop().create_task(self._dial(peer))

    async def _dial(self, peer: str) -> None:
        line = Line(self, peer)
        host, port = self.config.members[peer]
        refused = False
        try:
            async with asyncio.timeout(CONNECT):
                context = self.config.tls.client() if self.config.tls else None
                await asyncio.get_running_loop().create_connection(lambda: line, host, port, ssl=context)
                if await line.opened:
                    return
        except ConnectionRefusedError:
            refused = True
        except (OSError, TimeoutError):
            pass
        finally:
            self._dials.pop(peer, None)
        line.drop()
        if not self._stopped and peer not in self.lines:
            self.owner.unlinked(peer, refused)

    def accepts(self, line: Line) -> bool:
        """Whether one more caller is let in, who has not proved itself yet."""
        if len(self._callers) >= MOST_CALLERS:
            return False
        self._callers.add(line)
        return True

    def stands(self, line: Line) -> None:
        """A link stands; one of the same member before it is over."""
        self._callers.discard(line)
        before = self.lines.get(line.peer)
        self.lines[line.peer] = line
        if before is not None:
            before.drop()
        if self._complaints.pop(line.peer, ""):
            log.info("member %s: back", line.peer)
        self.owner.linked(line.peer)

    def ended(self, line: Line) -> None:
        """A connection is over."""
        self._callers.discard(line)
        if line.peer and self.lines.get(line.peer) is line:
            del self.lines[line.peer]
            if not self._stopped:
                self.owner.unlinked(line.peer, False)
                self.dial(line.peer)  # at once: whether its machine refuses tells why

    def close(self, peer: str) -> None:
        """End a link that nobody needs."""
        line = self.lines.pop(peer, None)
        if line is not None:
            line.drop()
            self.owner.unlinked(peer, False)

    def send(self, peer: str, message: Message) -> None:
        """Say something to a neighbour; one that does not read is told again by what its digest lacks."""
        line = self.lines.get(peer)
        if line is not None and not line.blocked:
            line.send(message)

    def complain(self, peer: str, why: str) -> None:
        """Log what is wrong, once until it is well again."""
        if self._complaints.get(peer) != why:
            self._complaints[peer] = why
            log.warning("member %s: %s", peer or "?", why)
