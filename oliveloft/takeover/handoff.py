"""The network side of a hot restart, for both the predecessor and the successor.

It moves the worker list, connections and operators' calls between the two processes. It makes no decisions.
"""

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
from oliveloft.front.listener import ClientListener
from oliveloft.front.server import Server
from oliveloft.manage import protocol
from oliveloft.shared_types import DiscoveryUpdate, Endpoint
from oliveloft.takeover import wire
from oliveloft.takeover.predecessor import Predecessor
from oliveloft.takeover.successor import Successor

log = logging.getLogger("oliveloft")


def _list_row(entry: interface.WorkerEntry, address: tuple[str, int]) -> list[Any]:
    """Return a row of the worker list as it is sent to a successor."""
    return [entry.worker, entry.zone, entry.cell, entry.state, entry.size, entry.started, *address]


class Handoff:
    """Connects this process to the other one of a hot restart.

    It implements `PredecessorProcess` and `SuccessorProcess`: a process is a successor when it starts and a predecessor
    once it serves.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: Gateway,
        dispatcher: RequestDispatcher,
        server: Server,
        workers: ConnectionPool,
        presence: Presence,
        clock_offset: float,
        start_times: StartTimes,
    ) -> None:
        self._loop, self._gateway, self._dispatcher = loop, gateway, dispatcher
        self._server, self._workers, self._presence = server, workers, presence
        self._start_times = start_times
        # Unix time minus the loop's clock, in seconds. Both processes use the same value; otherwise the workers'
        # start times would differ between them.
        self.clock_offset = clock_offset
        self.listener: ClientListener | None = None
        self.open_listener: Callable[[], ClientListener] | None = None
        self.discovery: DiscoveryWatch | None = None
        self.predecessor: Predecessor | None = None
        self.apply_call: Callable[[protocol.Call], None] | None = None  # executes a call that was forwarded
        self.index: int | None = None  # version of the worker list that was taken over
        self.discovery_address: tuple[str, int] | None = None  # the discovery service that this list came from
        self._successor: Successor | None = None
        self._early_calls: list[protocol.Call] = []  # calls before the state was restored, which replaces their effect
        self._tasks: set[asyncio.Task[Any]] = set()

    async def take_over(self, name: str, folder: str) -> bool:
        """Take over the state of the serving process; return whether there was one and its state was restored."""
        successor = Successor(self._loop, name, self._gateway, self, self._loop.time, self._dispatcher.handle)
        self._successor = successor
        if not await successor.request_state(folder):
            self._successor = None
            return False
        early_calls, self._early_calls = self._early_calls, []
        for call in early_calls:
            self.on_operator_call(call.command, call.worker)
            self.forward_call(call)
        return True

    def on_accepting(
        self,
        name: str,
        folder: str,
        listener: ClientListener,
        open_listener: Callable[[], ClientListener],
    ) -> None:
        """Tell the predecessor that this process accepts clients, and wait for a successor of its own."""
        self.listener, self.open_listener = listener, open_listener
        if self._successor is not None:
            self._successor.confirm_accepting()
        self.predecessor = Predecessor(self._loop, name, folder, self._gateway, self, self._loop.time)
        self.predecessor.listen()

    # The predecessor's side.

    def pause(self) -> None:
        """Stop accepting clients; new connections wait in the socket's queue for the successor."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self._dispatcher.on_attempt_started, self._dispatcher.on_attempt_ended = (
            self._on_attempt_started,
            self._on_attempt_ended,
        )

    def resume(self) -> None:
        """Accept clients again, unless this process is shutting down."""
        self._dispatcher.on_attempt_started = self._dispatcher.on_attempt_ended = self._server.hand_off = None
        if self.open_listener is not None and not self._server.shutting_down:
            self.listener = self.open_listener()

    def network_state(self) -> dict[str, Any]:
        """Return the worker list, its version and source, and since when clients are sent away."""
        watch = self.discovery
        return {
            "clock_offset": self.clock_offset,
            "start_times": self._start_times.state(),
            "left": self._presence.draining_since,
            "index": watch.index if watch is not None else None,
            "told_by": list(watch.address) if watch is not None else None,
            "list": [
                _list_row(e, address)
                for e in self._gateway.maintenance.entries.values()
                if (address := self._workers.address(e.worker)) is not None
            ],
        }

    def on_superseded(self) -> None:
        """Pass connections to the successor, which serves now: idle ones at once, others after their reply."""
        self._server.hand_off = self._send_client
        for connection, fd in self._workers.release_idle():
            if self.predecessor is not None:
                self.predecessor.send(
                    wire.WorkerConnection(connection.endpoint.name, connection.idle_since, connection.last_response_at),
                    fd,
                )
        self._server.hand_off_idle()

    def _send_client(self, fd: int, good: bool) -> bool:
        return self.predecessor is not None and self.predecessor.send(wire.ClientConnection(good), fd)

    def _on_attempt_started(self, name: str, number: int) -> None:
        if self.predecessor is not None and (attempt := self._gateway.in_flight.get((name, number))) is not None:
            self.predecessor.send(wire.AttemptStarted(state.attempt_row(name, number, attempt)))

    def _on_attempt_ended(self, attempt: Attempt, outcome: interface.Outcome) -> None:
        if self.predecessor is not None:
            self.predecessor.send(
                wire.AttemptEnded(
                    attempt.request, attempt.number, attempt.worker, outcome.status, outcome.took, outcome.used
                )
            )

    def forward_call(self, call: protocol.Call) -> None:
        """Forward an operator's call to the other process of a hot restart, once that process has the state.

        So the successor follows calls that still reach the predecessor, from the instant of the state that was sent to
        it. The predecessor follows calls that reach the successor: for its retries, and because it may go on.
        """
        message = wire.OperatorCall(call.command, call.worker)
        if self.predecessor is not None and self.predecessor.send(message):
            return
        if self._successor is None:
            return
        if self._successor.restored:
            self._successor.send(message)
        else:
            self._early_calls.append(call)

    def forward_list(self, update: DiscoveryUpdate) -> None:
        """Forward an update of the worker list to a successor that has the state.

        The successor's agent may be silent since then, and what this process was notified of holds for both.
        """
        if self.predecessor is not None:
            rows = [_list_row(endpoint.entry, endpoint.address) for endpoint in update.endpoints]
            self.predecessor.send(wire.StatePart(wire.LIST_UPDATE, {"snapshot": update.is_snapshot, "list": rows}))

    @property
    def superseded(self) -> bool:
        """Whether a successor serves in place of this process."""
        return self.predecessor is not None and self.predecessor.superseded and self.predecessor.channel is not None

    # The successor's side.

    def restore_network_state(self, parts: dict[str, Any]) -> None:
        """Restore what the predecessor's `network_state` returned."""
        self.clock_offset = self._start_times.wall_offset = float(parts["clock_offset"])
        if "start_times" in parts:  # a predecessor of an earlier version does not send them
            self._start_times.restore(parts["start_times"])
        self._gateway.counting.set_clock_offset(self.clock_offset)
        draining_since = parts.get("left")
        if draining_since is not None:
            self._presence.start_drain(float(draining_since))
        if parts["list"]:
            self._update_workers(parts["list"], is_snapshot=True)
        index, address = parts.get("index"), parts.get("told_by")
        if isinstance(index, int) and isinstance(address, list | tuple):
            self.index, self.discovery_address = index, (address[0], address[1])
        for worker_in_maintenance in parts.get("banned", ()):
            self._workers.start_maintenance(str(worker_in_maintenance))

    def update_list(self, update: dict[str, Any]) -> None:
        """Apply what the predecessor's `forward_list` sent, unless this process has a list of its own agent by now."""
        if self.discovery is None or not self.discovery.has_answer:
            self._update_workers(update["list"], update["snapshot"])

    def _update_workers(self, rows: list[list[Any]], is_snapshot: bool) -> None:
        update = DiscoveryUpdate({"index": 0, "snapshot": is_snapshot, "endpoints": []})
        for worker, zone, cell, status, size, started, host, port in rows:
            entry = interface.WorkerEntry(worker, zone, cell, status, size, started)
            update.endpoints.append(Endpoint(entry, (host, port)))
        self._dispatcher.update_workers(update)
        self._server.workers_available()

    def adopt_client(self, sock: socket.socket, good: bool) -> None:
        """Adopt a client connection; `good` is whether it has carried a valid request."""
        self._track(self._loop.create_task(self._server.adopt(sock, good)))

    def adopt_worker(self, sock: socket.socket, released: wire.WorkerConnection) -> None:
        """Adopt an idle connection to a worker."""
        self._track(
            self._loop.create_task(
                self._workers.adopt(sock, released.worker, released.idle_since, released.last_response_at)
            )
        )

    def on_operator_call(self, command: str, worker: str) -> None:
        """Apply an operator's call that the other process received."""
        if self.apply_call is not None:
            self.apply_call(protocol.Call(command, worker))

    def _track(self, task: asyncio.Task[Any]) -> None:
        # The event loop holds tasks by weak references only.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
