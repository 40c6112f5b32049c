"""The client connections of the process and their limits; health, shutdown, and hand-over to a successor process."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from micagate import interface
from micagate.bodies import buffering
from micagate.operating.presence import Presence
from oliveloft.backend.limits import MAX_BUFFERED_BODY_BYTES
from oliveloft.connection_memory import ConnectionMemory
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.front.codec import RequestValidator
from oliveloft.front.connection import ClientConnection

log = logging.getLogger("oliveloft")

SHUTDOWN_QUIET_SECONDS = 0.1  # a shutdown is complete after this time without a new connection
SHUTDOWN_FLUSH_SECONDS = 0.05  # time for the last replies to be sent at the end of a shutdown
MAX_OVERFLOW_CONNECTIONS = 24  # connections beyond the limit that still get a 503 reply
STALLED_HOLDERS_SHARE = 0.1  # of the budget, which is freed of such clients at a time
EARLY_FORWARD_SHARE = 0.15  # of the client connections, that may be forwarded early without memory


class Server:
    """The client connections of the process, and their limits.

    `max_units` bounds the units of one request. At most `connection_limit` connections are open, at most `max_proven`
    of them after a valid request. `max_body_bytes` bounds one request body, `memory` all that connections hold.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        max_units: float,
        connection_limit: int,
        max_proven: int,
        dispatcher: RequestDispatcher,
        presence: Presence | None = None,
        max_body_bytes: int = buffering.MAX_BODY_BYTES,
        memory: ConnectionMemory | None = None,
    ) -> None:
        self.loop, self.dispatcher = loop, dispatcher
        self.guard = dispatcher.guard
        self.presence = Presence() if presence is None else presence
        self.max_body_bytes = max(max_body_bytes, MAX_BUFFERED_BODY_BYTES)
        self.memory = ConnectionMemory() if memory is None else memory
        self.budget = self.memory.budget
        self.forwarding: set[ClientConnection] = set()  # clients whose request is forwarded while it arrives
        self.shutting_down = False  # shutdown has begun: every further reply closes its connection
        self.shutdown_expired = False  # the shutdown deadline has passed: further requests are refused
        self._connection_count = 0  # connections accepted since the start
        self.all_closed: asyncio.Event = asyncio.Event()
        self._connection_limit, self._max_proven = connection_limit, max_proven
        self.validator = RequestValidator(settings, max_units, dispatcher.may_run_twice)
        self._clients: dict[ClientConnection, None] = {}
        self._unproven: dict[ClientConnection, None] = {}  # no valid request yet; ordered by connect time
        # At least one valid request; ordered by the time of the last reply.
        self._proven: dict[ClientConnection, None] = {}
        self._has_workers = self._stopping = False
        self.accepting = False  # the process accepts client connections
        # Set during a hot restart: passes a descriptor, and whether a valid request was received on it, to the
        # successor process, and returns whether that took it.
        self.hand_off: Callable[[int, bool], bool] | None = None

    def may_forward_early(self) -> bool:
        """Whether a request may be forwarded before enough of it is here, as memory is scarce.

        Each takes a connection to a worker for as long as its client sends.
        """
        return len(self.forwarding) < EARLY_FORWARD_SHARE * self._connection_limit

    def workers_available(self) -> None:
        """Record that workers are known."""
        self._has_workers = True

    def begin_shutdown(self) -> None:
        """Report not ready from now on; requests that still arrive are served."""
        self._stopping = True

    def ready(self) -> bool:
        """Whether load may be sent to this process; answered at /healthz."""
        return self._has_workers and not self._stopping and self.accepting and self.presence.draining_since is None

    def health(self) -> tuple[bool, str]:
        """Whether load may be sent to this process, and a description or the reason why not."""
        if self.hand_off is not None:
            return False, "another process serves in this one's place"
        if self.ready():
            return True, f"serving, {len(self._clients)} connections"
        if self._stopping:
            return False, "stopping"
        return False, "sending clients away" if self.presence.draining_since is not None else "no workers are known yet"

    def client_connected(self, client: ClientConnection) -> None:
        """Register a connection. At the limit, close another one to make room, or refuse this one.

        The oldest connection without a valid request is closed first, as well-behaved clients send a request as soon as
        they have connected; then the one that has been idle the longest.
        """
        if len(self._clients) >= self._connection_limit:
            if (other := next(iter(self._unproven), None)) is not None:
                self._unproven.pop(other)
                other.abort()
            elif (other := self._longest_idle()) is not None:
                other.close()  # not aborted: its last reply may still be in the write buffer
            elif len(self._clients) < self._connection_limit + MAX_OVERFLOW_CONNECTIONS:
                client.over_limit = True
            else:
                client.abort()  # keeps descriptors free for workers and discovery
        self._connection_count += 1
        self._clients[client] = self._unproven[client] = None

    def make_room(self) -> None:
        """Free a descriptor for a new client: close the connection that has been idle the longest.

        If no connection with a valid request is idle, the oldest idle one without is closed.
        """
        other = self._longest_idle() or next((client for client in self._unproven if client.is_idle()), None)
        if other is not None:
            other.close()

    def valid_request_received(self, client: ClientConnection) -> None:
        """Record the first valid request on a connection; close the longest idle one if too many are proven."""
        if client.sent_valid_request:
            return
        client.sent_valid_request = True
        self._unproven.pop(client, None)
        self._proven[client] = None
        if len(self._proven) > self._max_proven and (other := self._longest_idle()) is not None:
            # Clients that open a connection for each request and keep it would otherwise reach their own limit on
            # open connections, and could send no further request.
            other.close()

    def reply_sent(self, client: ClientConnection) -> None:
        """Move a connection to the end of the idle order after a reply."""
        self._proven.pop(client, None)
        self._proven[client] = None

    def _longest_idle(self) -> ClientConnection | None:
        """The connection with a valid request that has been idle the longest, or None."""
        return next((client for client in self._proven if client.is_idle()), None)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        self._clients.pop(client, None)
        self._unproven.pop(client, None)
        self._proven.pop(client, None)
        self.forwarding.discard(client)
        if self.shutting_down and not self._clients:
            self.all_closed.set()

    def sweep(self) -> None:
        """Apply the timeouts to all connections; hand off, or close, the idle ones where that is due."""
        now = self.loop.time()
        if self.hand_off is not None:
            self.hand_off_idle()
        closing_idle = self.presence.closes_idle_connections(now)
        for client in list(self._clients):
            if closing_idle and client.is_idle():
                client.close()
            else:
                client.check_timeouts(now)
        self.budget.wake()
        if self.budget.is_exhausted:
            self._reject_stalled_clients(now)

    def _reject_stalled_clients(self, now: float) -> None:
        """Free a part of the budget of the requests that hold much of it and make no progress, the worst ones first."""
        limit_bytes = (1 - STALLED_HOLDERS_SHARE) * self.budget.limit_bytes
        costs = {client: client.stalled_byte_seconds(now) for client in self._clients}
        for client in sorted(costs, key=costs.__getitem__, reverse=True):
            if not costs[client] or self.budget.used_bytes <= limit_bytes:
                return
            client.reject_stalled()

    def hand_off_idle(self) -> None:
        """Pass all idle connections to the successor process, if there is one."""
        if self.hand_off is not None:
            for client in list(self._clients):
                client.hand_off()

    async def adopt(self, sock: socket.socket, sent_valid_request: bool) -> None:
        """Take over an idle connection from the predecessor process; its unread input is read here."""
        client = ClientConnection(self)
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()
            return
        if sent_valid_request:
            self.valid_request_received(client)

    async def drain(self, deadline: float) -> None:
        """Answer each request with `Connection: close` until all connections are closed, or until `deadline`.

        The close of an idle connection may cross a request, which the client then sends again on a new connection.
        So the drain ends only after SHUTDOWN_QUIET_SECONDS without a new connection. Requests that are still pending at
        the deadline are answered then.
        """
        self.shutting_down = True
        self.hand_off_idle()
        for client in list(self._clients):
            if client.is_idle():
                client.close()
        connection_count = -1
        while (remaining_seconds := deadline - self.loop.time()) > 0 and (
            self._clients or connection_count != self._connection_count
        ):
            if await self._wait_until_empty(remaining_seconds):
                connection_count = self._connection_count
                await asyncio.sleep(min(SHUTDOWN_QUIET_SECONDS, max(0.0, deadline - self.loop.time())))
        if self._clients:
            self.shutdown_expired = True
            self.dispatcher.end_all_requests()
            if not await self._wait_until_empty(SHUTDOWN_FLUSH_SECONDS):
                log.warning("%d client connections still open after the shutdown deadline", len(self._clients))

    async def _wait_until_empty(self, timeout_seconds: float) -> bool:
        """Wait until all connections are closed; return whether that happened in time."""
        if self._clients:
            self.all_closed.clear()
            try:
                await asyncio.wait_for(self.all_closed.wait(), timeout_seconds)
            except TimeoutError:
                return False
        return True
