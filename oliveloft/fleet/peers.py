"""Links between cluster members on sockets, with the frames, handshake and shared secret of the planners' protocol."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from micagate.membership.messages import Heartbeat, Message, RecoveryAnswer, RecoveryQuery, StateSummary, check
from oliveloft.fleet.config import FleetConfig
from oliveloft.planners import wire
from oliveloft.planners.peer import FramedConnection

log = logging.getLogger("oliveloft")

CONNECT_TIMEOUT_SECONDS = 0.5  # for a connection to be established and authenticated
HANDSHAKE_TIMEOUT_SECONDS = 2.0  # for an accepted connection to authenticate
MAX_UNAUTHENTICATED_CONNECTIONS = 256


class LinkObserver(Protocol):
    """Receives the events of the links; implemented by `oliveloft.fleet.member.Member`."""

    def link_opened(self, peer: str) -> None:
        """Handle an opened link to a member."""

    def link_closed(self, peer: str, refused: bool) -> None:
        """Handle a link that has closed or could not be made; `refused`: nobody listens at the address."""

    def message_received(self, peer: str, message: Message) -> None:
        """Handle a message of a member."""

    def status(self) -> str:
        """Return this member's state as JSON."""

    def incarnation(self) -> int:
        """Return this member's incarnation number."""

    def known_record(self, peer: str) -> Heartbeat:
        """Return the known record of a member, for a process that connects as an earlier incarnation of it."""


class MemberConnection(FramedConnection):
    """A connection to another member, dialed or accepted."""

    def __init__(self, peers: PeerLinks, dialed_peer: str = "") -> None:
        super().__init__()
        self._peers, self._dialed_peer = peers, dialed_peer  # empty: the connection was accepted
        self.peer = ""  # set once the peer has authenticated
        self.incarnation = 0  # of the peer, on an accepted connection
        self._challenge = b""
        self.handshake_done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the challenge on an accepted connection, or close it if there are too many."""
        super().connection_made(transport)
        if self._dialed_peer:
            return
        if not self._peers.accept(self):
            self.abort()
            return
        self._timer = asyncio.get_running_loop().call_later(HANDSHAKE_TIMEOUT_SECONDS, self.abort)
        self.send(wire.Challenge(wire.VERSION, self.nonce))

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and finish a pending handshake."""
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        if not self.handshake_done.done():
            self.handshake_done.set_result(False)
        self._peers.connection_ended(self)

    def protocol_error(self, reason: str) -> None:
        """Log the reason, send it to the peer and close."""
        self._peers.log_problem(self.peer or self._dialed_peer, reason)
        if self.transport is not None:
            self.send(wire.Refused(reason[:200]))
            self.transport.close()

    def handle_message(self, message: wire.Message) -> None:
        """Handle a message: the handshake first, then the member's messages."""
        if self.peer:
            if isinstance(message, Heartbeat | StateSummary | RecoveryQuery | RecoveryAnswer):
                check(message)
                self._peers.observer.message_received(self.peer, message)
            elif isinstance(message, wire.Refused):
                raise wire.WireError(f"refused: {message.why[:200]}")
            else:
                raise wire.WireError(f"unexpected {type(message).__name__} from a member")
        elif self._dialed_peer:
            self._dialer_handshake(message)
        else:
            self._listener_handshake(message)

    def _dialer_handshake(self, message: wire.Message) -> None:
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
                        ((0, peers.observer.incarnation()),),
                    )
                )
            case wire.Welcome(name, proof):
                if name != self._dialed_peer:
                    raise wire.WireError(f"it is {name[:64]!r}")
                if not wire.verify_proof(secret, "member", self.nonce, self._challenge, name, proof):
                    raise wire.WireError("the secret is wrong")
                self._handshake_complete(name)
            case wire.Refused(why):
                raise wire.WireError(f"refused: {why[:200]}")
            case _:
                raise wire.WireError(f"a {type(message).__name__} at the opening")

    def _listener_handshake(self, message: wire.Message) -> None:
        peers = self._peers
        if not isinstance(message, wire.Hello):
            raise wire.WireError("the first message is not a Hello")
        if message.version != wire.VERSION:
            raise wire.WireError(f"version {message.version}, here it is {wire.VERSION}")
        if not wire.verify_proof(peers.config.secret, "peer", self.nonce, message.nonce, message.name, message.proof):
            raise wire.WireError("the secret is wrong")
        welcome = wire.Welcome(
            peers.name, wire.proof(peers.config.secret, "member", message.nonce, self.nonce, peers.name)
        )
        if message.role == "status":
            self.send(welcome)
            self.send(wire.Status(peers.observer.status()))
            if self.transport is not None:
                self.transport.close()
            return
        if message.role != "member":
            raise wire.WireError(f"role {message.role[:20]!r}")
        if message.name not in peers.config.members or message.name == peers.name:
            raise wire.WireError(f"{message.name[:64]!r} is not another member of this fleet")
        if message.forwarders != len(peers.config.members):
            raise wire.WireError(f"configured for {message.forwarders} members, here {len(peers.config.members)}")
        self.send(welcome)
        self.incarnation = message.epochs[0][1] if message.epochs else 0
        existing = peers.connections.get(message.name)
        if existing is not None and existing.incarnation > self.incarnation:
            # Duplicate member name: the link of the later process stays, and this one is notified.
            self.send(peers.observer.known_record(message.name))
            if self.transport is not None:
                self.transport.close()
            return
        self._handshake_complete(message.name)

    def _handshake_complete(self, peer: str) -> None:
        self.peer = peer
        self.framer.max_frame_bytes = wire.MAX_FRAME_BYTES
        if self._timer is not None:
            self._timer.cancel()
        if not self.handshake_done.done():
            self.handshake_done.set_result(True)
        self._peers.handshake_complete(self)


class PeerLinks:
    """All links of one member to others, at most one for each peer."""

    def __init__(self, name: str, config: FleetConfig, observer: LinkObserver) -> None:
        self.name, self.config, self.observer = name, config, observer
        self.connections: dict[str, MemberConnection] = {}
        self._unauthenticated: set[MemberConnection] = set()
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._logged_problems: dict[str, str] = {}
        self._server: asyncio.Server | None = None
        self._stopped = False
        self.dialing_disabled = False  # set when a later process has this member's name

    async def start(self) -> None:
        """Listen. OSError where the address cannot be bound."""
        host, port = self.config.listen.get(self.name, self.config.members[self.name])
        context = self.config.tls.server() if self.config.tls else None
        self._server = await asyncio.get_running_loop().create_server(
            lambda: MemberConnection(self), host, port, ssl=context
        )

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for task in self._dial_tasks.values():
            task.cancel()
        for connection in [*self.connections.values(), *self._unauthenticated]:
            connection.abort()

    def dial(self, peer: str) -> None:
        """Connect to a member, unless an attempt is under way."""
        if peer not in self._dial_tasks and not self._stopped and not self.dialing_disabled:
            self._dial_tasks[peer] = asyncio.get_running_loop().create_task(self._dial(peer))

    async def _dial(self, peer: str) -> None:
        connection = MemberConnection(self, peer)
        host, port = self.config.members[peer]
        refused = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                context = self.config.tls.client() if self.config.tls else None
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port, ssl=context)
                if await connection.handshake_done:
                    return
        except ConnectionRefusedError:
            refused = True
        except (OSError, TimeoutError):
            pass
        finally:
            self._dial_tasks.pop(peer, None)
        connection.abort()
        if not self._stopped and peer not in self.connections:
            self.observer.link_closed(peer, refused)

    def accept(self, connection: MemberConnection) -> bool:
        """Register an accepted connection; return False where too many have not authenticated yet."""
        if len(self._unauthenticated) >= MAX_UNAUTHENTICATED_CONNECTIONS:
            return False
        self._unauthenticated.add(connection)
        return True

    def handshake_complete(self, connection: MemberConnection) -> None:
        """Register an authenticated connection; it replaces an earlier one to the same member."""
        self._unauthenticated.discard(connection)
        previous = self.connections.get(connection.peer)
        self.connections[connection.peer] = connection
        if previous is not None:
            previous.abort()
        if self._logged_problems.pop(connection.peer, ""):
            log.info("member %s: back", connection.peer)
        self.observer.link_opened(connection.peer)

    def connection_ended(self, connection: MemberConnection) -> None:
        """Remove a closed connection and reconnect."""
        self._unauthenticated.discard(connection)
        if connection.peer and self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]
            if not self._stopped:
                self.observer.link_closed(connection.peer, False)
                self.dial(connection.peer)  # at once: a refused connection shows that its process ended

    def close(self, peer: str) -> None:
        """Close a link that is no longer needed."""
        connection = self.connections.pop(peer, None)
        if connection is not None:
            connection.abort()
            self.observer.link_closed(peer, False)

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a linked member.

        Messages to a blocked peer are dropped; it receives the missing state later, when its digest differs.
        """
        connection = self.connections.get(peer)
        if connection is not None and not connection.blocked:
            connection.send(message)

    def log_problem(self, peer: str, reason: str) -> None:
        """Log a problem, once until the member is back."""
        if self._logged_problems.get(peer) != reason:
            self._logged_problems[peer] = reason
            log.warning("member %s: %s", peer or "?", reason)
