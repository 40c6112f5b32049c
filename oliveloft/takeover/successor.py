"""The successor's side of a hot restart: it takes the state of the serving process, or starts without any."""

from __future__ import annotations

import asyncio
import gc
import logging
import socket
from collections.abc import Callable
from typing import Any, Protocol

from micagate import interface
from micagate.gateway import Gateway
from micagate.handover import state
from micagate.handover.fields import MalformedState
from oliveloft.takeover import wire
from oliveloft.takeover.channel import Channel
from oliveloft.takeover.predecessor import socket_path

log = logging.getLogger("oliveloft")

HANDOFF_TIMEOUT_SECONDS = 5.0  # for the whole state: whoever starts a process waits 6 s for it to be ready


class SuccessorProcess(Protocol):
    """What `Successor` needs of the process it runs in."""

    def restore_network_state(self, parts: dict[str, Any]) -> None:
        """Restore the state of the predecessor's network side."""

    def update_list(self, update: dict[str, Any]) -> None:
        """Apply an update of the worker list that the predecessor was notified of after it sent its state."""

    def adopt_client(self, sock: socket.socket, good: bool) -> None:
        """Adopt a client connection; `good` is whether it has carried a valid request."""

    def adopt_worker(self, sock: socket.socket, released: wire.WorkerConnection) -> None:
        """Adopt an idle connection to a worker."""

    def on_operator_call(self, command: str, worker: str) -> None:
        """Apply an operator's call that the predecessor received."""


class Successor:
    """Requests the state of the predecessor, if there is one, and restores it into the gateway."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        gateway: Gateway,
        process: SuccessorProcess,
        clock: Callable[[], float],
        handle: Callable[[interface.Event], None],
    ) -> None:
        self._loop, self._name, self._gateway, self._process, self._clock = loop, name, gateway, process, clock
        self._handle = handle
        self._channel: Channel | None = None
        self._rows: list[dict[str, Any]] = []
        self._parts: dict[str, Any] = {"outs": []}
        self._deficits: list[dict[str, Any]] = []
        self._completed: asyncio.Future[bool] = loop.create_future()
        self._predecessor_attempts: set[tuple[str, int]] = set()  # request id and attempt number, in flight there
        self._restored = False

    async def request_state(self, folder: str) -> bool:
        """Take over the whole state; return whether there was one and it could be read. If not, none of it is used."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(socket_path(folder))
        except OSError:
            sock.close()
            return False  # there is no predecessor
        self._channel = Channel(self._loop, sock, self._on_message, self._on_closed)
        self._channel.send(wire.Hello(wire.VERSION, self._name, self._clock()))
        try:
            return await asyncio.wait_for(asyncio.shield(self._completed), HANDOFF_TIMEOUT_SECONDS)
        except TimeoutError:
            self._fail("it takes too long")
            return False

    @property
    def restored(self) -> bool:
        """Whether the predecessor's state has been restored here."""
        return self._restored

    def send(self, message: wire.Message) -> None:
        """Send a message to the predecessor, if it is still connected."""
        if self._channel is not None:
            self._channel.send(message)

    def confirm_accepting(self) -> None:
        """Tell the predecessor that this process accepts clients from now on."""
        if self._channel is not None:
            self._channel.send(wire.Accepted())

    def _fail(self, reason: str) -> None:
        for queue in self._gateway.quotas.accounts.queues:
            queue.clear()  # a partial copy would be worse than none
        log.warning("takeover: %s; starting with nothing", reason)
        if not self._completed.done():
            self._completed.set_result(False)
        if self._channel is not None:
            self._channel.send(wire.Rejected(reason))
            self._channel.close(reason)

    def _on_closed(self, reason: str) -> None:
        self._channel = None
        if not self._completed.done():
            log.warning("takeover: %s; starting with nothing", reason)
            self._completed.set_result(False)
        # The predecessor's connections are closed with it, so its attempts are no longer in flight.
        for outcome in state.cancelled_outcomes(self._gateway, self._predecessor_attempts):
            self._handle(outcome)
        self._predecessor_attempts.clear()

    def _on_message(self, message: wire.Message, fd: int | None) -> None:
        if fd is not None:
            self._adopt_connection(message, fd)
            return
        try:
            self._apply(message)
        except (MalformedState, KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            if self._restored:
                log.warning("takeover: unusable news: %s", error)
            else:
                self._fail(f"what was given cannot be read: {error!r}")

    def _adopt_connection(self, message: wire.Message, fd: int) -> None:
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        match message:
            case wire.ClientConnection(good):
                self._process.adopt_client(sock, good)
            case wire.WorkerConnection():
                self._process.adopt_worker(sock, message)
            case _:
                sock.close()

    def _apply(self, message: wire.Message) -> None:
        now = self._clock()
        match message:
            case wire.Rejected(reason):
                self._fail(f"the process that serves says no: {reason}")
            case wire.Accounts(rows):
                self._rows += rows
                self._insert_accounts()
            case wire.AccountsCopied() if self._channel is not None:
                self._channel.send(wire.StateRequest())
            case wire.StatePart("debts", value):
                self._deficits.append(value)
            case wire.StatePart("outs", value):
                self._parts["outs"] += value
            case wire.StatePart(wire.LIST_UPDATE, value):
                self._process.update_list(value)
            case wire.StatePart(name, value):
                self._parts[name] = value
            case wire.StateComplete():
                self._restore(now)
            case wire.AttemptStarted(row):
                self._predecessor_attempts.add((row["request"], row["number"]))
                state.adopt_attempt(self._gateway, now, row, spend_units=True)
            case wire.AttemptEnded():
                self._predecessor_attempts.discard((message.request, message.number))
                self._handle(
                    interface.Outcome(
                        message.request,
                        message.number,
                        message.worker,
                        message.status,
                        terminal=True,
                        took=message.took,
                        used=message.used,
                    )
                )
            case wire.OperatorCall(command, worker):
                self._process.on_operator_call(command, worker)

    def _insert_accounts(self) -> None:
        """Insert accounts as they arrive, so that no single step at the end takes long."""
        rows, self._rows = self._rows, []
        state.restore_accounts(self._gateway, self._clock(), rows)
        # Keeps garbage collections from scanning a growing number of accounts, which would stall clients: 90 ms with
        # 30,000 accounts. Accounts are in no reference cycle, so they are freed without the collector.
        gc.freeze()

    def _restore(self, now: float) -> None:
        self._process.restore_network_state(self._parts)
        self._predecessor_attempts.update((row["request"], row["number"]) for row in self._parts["outs"])
        state.restore_core(self._gateway, now, self._parts, self._parts["outs"])
        for deficits in self._deficits:
            self._gateway.quotas.deficits.restore(deficits)
        self._restored = True
        self._parts, self._deficits = {}, []
        if not self._completed.done():
            self._completed.set_result(True)
