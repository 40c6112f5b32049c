"""The network's side of a takeover, for the process that gives and for the one that takes. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from micagate import interface
from micagate.estimates.start_times import StartTimes
from micagate.gateway import Gateway
from micagate.handover import state
from micagate.operating.presence import Presence
from oliveloft.backend.attempt import Attempt
from oliveloft.backend.pool import ConnectionPool
from oliveloft.discovery.watch import DiscoveryWatch
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.front.http import Server
from oliveloft.front.listener import ClientListener
from oliveloft.manage import protocol
from oliveloft.shared_types import DiscoveryUpdate, Endpoint
from oliveloft.takeover import wire
from oliveloft.takeover.predecessor import Predecessor
from oliveloft.takeover.successor import Successor

log = logging.getLogger("oliveloft")


class Handoff:
    """What one process holds for its clients: both ends of a takeover are this."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: Gateway,
        dispatcher: RequestDispatcher,
        server: Server,
        workers: ConnectionPool,
        presence: Presence,
        offset: float,
        start_times: StartTimes,
    ) -> None:
        self._loop, self._gateway, self._dispatcher = loop, gateway, dispatcher
        self._server, self._workers, self._presence = server, workers, presence
        self._start_times = start_times
        self.offset = offset  # of the clock to Unix time: the same in both, or workers' starts would differ
        self.listener: ClientListener | None = None
        self.listen: Callable[[], ClientListener] | None = None
        self.discovery: DiscoveryWatch | None = None
        self.predecessor: Predecessor | None = None
        self.carry: Callable[[protocol.Call], tuple[bool, str]] | None = None
        self.index: int | None = None  # of the list taken over, and where it was told
        self.told_by: tuple[str, int] | None = None
        self._successor: Successor | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def take(self, name: str, folder: str) -> bool:
        """Take over what the process that serves has, if one does."""
        taker = Successor(self._loop, name, self._gateway, self, self._loop.time, self._dispatcher.handle)
        if await taker.take(folder):
            self._successor = taker
        return self._successor is not None

    def serves(
        self,
        name: str,
        folder: str,
        listener: ClientListener,
        listen: Callable[[], ClientListener],
        discovery: DiscoveryWatch,
    ) -> None:
        """Clients are accepted here from now on, until another process takes over."""
        self.listener, self.listen, self.discovery = listener, listen, discovery
        if self._successor is not None:
            self._successor.taken()
        self.predecessor = Predecessor(self._loop, name, folder, self._gateway, self, self._loop.time)
        self.predecessor.listen()

    # The giver's side.

    def pause(self) -> None:
        """Accept no clients from now on; what connects waits in the socket's queue for the taker."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self._dispatcher.began, self._dispatcher.ended = self._began, self._ended

    def resume(self) -> None:
        """Accept clients again, unless this process is on its way out."""
        self._dispatcher.began = self._dispatcher.ended = self._server.hand = None
        if self.listen is not None and not self._server.closing:
            self.listener = self.listen()

    def outside(self) -> dict[str, Any]:
        """The list, where and in which version it was told, and whether clients are sent away."""
        watch = self.discovery
        return {
            "clock_offset": self.offset,
            "start_times": self._start_times.state(),
            "left": self._presence.left,
            "index": watch.index if watch is not None else None,
            "told_by": list(watch.address) if watch is not None else None,
            "list": [
                [e.worker, e.zone, e.cell, e.state, e.size, e.started, *address]
                for e in self._gateway.maintenance.told.values()
                if (address := self._workers.address(e.worker)) is not None
            ],
        }

    def gone(self) -> None:
        """The taker serves: idle connections go to it, others once their reply is out."""
        self._server.hand = self._hand
        for worker, idle_since, fd in self._workers.release():
            if self.predecessor is not None:
                self.predecessor.tell(wire.WorkerConnection(worker, idle_since), fd)
        self._server.hand_over()

    def _hand(self, fd: int, good: bool) -> bool:
        return self.predecessor is not None and self.predecessor.tell(wire.ClientConnection(good), fd)

    def _began(self, name: str, number: int) -> None:
        if self.predecessor is not None and (attempt := self._gateway.in_flight.get((name, number))) is not None:
            self.predecessor.tell(wire.AttemptStarted(state.out_row(name, number, attempt)))

    def _ended(self, attempt: Attempt, outcome: interface.Outcome) -> None:
        if self.predecessor is not None:
            self.predecessor.tell(
                wire.AttemptEnded(
                    attempt.request, attempt.number, attempt.worker, outcome.status, outcome.took, outcome.used
                )
            )

    def passed_on(self, call: protocol.Call) -> None:
        """While both processes of an upgrade live, the other one hears of each call.

        The old one's further attempts keep to a ban that only the new one was told of, and the new one to whatever
        operators still say to the old one.
        """
        if self.predecessor is not None and self.predecessor.superseded:
            self.predecessor.tell(wire.OperatorCall(call.word, call.worker))
        elif self._successor is not None and call.word in (protocol.OFFLINE, protocol.ONLINE):
            self._successor.tell(wire.OperatorCall(call.word, call.worker))

    @property
    def superseded(self) -> bool:
        """Whether another process serves in this one's place."""
        return self.predecessor is not None and self.predecessor.superseded and self.predecessor.channel is not None

    # The taker's side.

    def receive(self, parts: dict[str, Any]) -> None:
        """Take over what the network's side knew."""
        self.offset = self._start_times.wall_offset = float(parts["clock_offset"])
        if "start_times" in parts:  # a predecessor of an earlier version has none
            self._start_times.restore(parts["start_times"])
        self._gateway.counting.clock(self.offset)
        left = parts.get("left")
        if left is not None:
            self._presence.leave(float(left))
        news = DiscoveryUpdate({"index": 0, "snapshot": True, "endpoints": []})
        for worker, zone, cell, status, size, started, host, port in parts["list"]:
            entry = interface.WorkerEntry(worker, zone, cell, status, size, started)
            news.endpoints.append(Endpoint(entry, (host, port)))
        if news.endpoints:
            self._dispatcher.update_workers(news)
            self._server.able()
        index, where = parts.get("index"), parts.get("told_by")
        if isinstance(index, int) and isinstance(where, list | tuple):
            self.index, self.told_by = index, (where[0], where[1])
        for banned in parts.get("banned", ()):
            self._workers.ban(str(banned))

    def client(self, sock: socket.socket, good: bool) -> None:
        """A client's connection comes along."""
        self._keep(self._loop.create_task(self._server.adopt(sock, good)))

    def worker(self, sock: socket.socket, worker: str, idle_since: float) -> None:
        """An idle connection to a worker comes along."""
        self._keep(self._loop.create_task(self._workers.adopt(sock, worker, idle_since)))

    def call(self, word: str, worker: str) -> None:
        """Operators have called the other process."""
        if self.carry is not None:
            self.carry(protocol.Call(word, worker))

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
