"""The process that starts beside one that serves: it takes what that has, or begins with nothing."""

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
from micagate.handover.fields import Damaged
from oliveloft.takeover import wire
from oliveloft.takeover.channel import Channel
from oliveloft.takeover.predecessor import path

log = logging.getLogger("oliveloft")

PATIENCE = 5.0  # seconds for all of it: whoever started this process waits 6


class Receiver(Protocol):
    """The process round a taker."""

    def receive(self, parts: dict[str, Any]) -> None:
        """Take over what the network's side knew."""

    def client(self, sock: socket.socket, good: bool) -> None:
        """A client's connection comes along."""

    def worker(self, sock: socket.socket, worker: str, idle_since: float) -> None:
        """An idle connection to a worker comes along."""

    def call(self, word: str, worker: str) -> None:
        """Operators have called the process that gave."""


class Successor:
    """Takes from a giver, if there is one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        gateway: Gateway,
        receiver: Receiver,
        clock: Callable[[], float],
        handle: Callable[[interface.Event], None],
    ) -> None:
        self._loop, self._name, self._gateway, self._receiver, self._clock = loop, name, gateway, receiver, clock
        self._handle = handle
        self._channel: Channel | None = None
        self._rows: list[dict[str, Any]] = []
        self._parts: dict[str, Any] = {"outs": []}
        self._debts: list[dict[str, Any]] = []
        self._given: asyncio.Future[bool] = loop.create_future()
        self._theirs: set[tuple[str, int]] = set()
        self._restored = False

    async def take(self, folder: str) -> bool:
        """Take all; whether it was there and could be read. Nothing of it stands where it was not."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(path(folder))
        except OSError:
            sock.close()
            return False  # nobody serves
        self._channel = Channel(self._loop, sock, self._heard, self._lost)
        self._channel.send(wire.Hello(wire.VERSION, self._name, self._clock()))
        try:
            return await asyncio.wait_for(asyncio.shield(self._given), PATIENCE)
        except TimeoutError:
            self._fail("it takes too long")
            return False

    def tell(self, message: wire.Message) -> None:
        """Tell the giver, if it is still there."""
        if self._channel is not None:
            self._channel.send(message)

    def taken(self) -> None:
        """Clients are accepted here from now on."""
        if self._channel is not None:
            self._channel.send(wire.Accepted())

    def _fail(self, why: str) -> None:
        for queue in self._gateway.quotas.accounts.queues:
            queue.clear()  # half of it would be worse than none
        log.warning("takeover: %s; starting with nothing", why)
        if not self._given.done():
            self._given.set_result(False)
        if self._channel is not None:
            self._channel.send(wire.Rejected(why))
            self._channel.close(why)

    def _lost(self, why: str) -> None:
        self._channel = None
        if not self._given.done():
            log.warning("takeover: %s; starting with nothing", why)
            self._given.set_result(False)
        # Its connections are closed with it: what it had out is out no more.
        for outcome in state.left_out(self._gateway, self._theirs):
            self._handle(outcome)
        self._theirs.clear()

    def _heard(self, message: wire.Message, fd: int | None) -> None:
        if fd is not None:
            self._connection(message, fd)
            return
        try:
            self._follow(message)
        except (Damaged, KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            if self._restored:
                log.warning("takeover: unusable news: %s", error)
            else:
                self._fail(f"what was given cannot be read: {error!r}")

    def _connection(self, message: wire.Message, fd: int) -> None:
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        match message:
            case wire.ClientConnection(good):
                self._receiver.client(sock, good)
            case wire.WorkerConnection(worker, idle_since):
                self._receiver.worker(sock, worker, idle_since)
            case _:
                sock.close()

    def _follow(self, message: wire.Message) -> None:
        now = self._clock()
        match message:
            case wire.Rejected(why):
                self._fail(f"the process that serves says no: {why}")
            case wire.Accounts(rows):
                self._rows += rows
                self._spread()
            case wire.AccountsCopied() if self._channel is not None:
                self._channel.send(wire.StateRequest())
            case wire.StatePart("debts", value):
                self._debts.append(value)
            case wire.StatePart("outs", value):
                self._parts["outs"] += value
            case wire.StatePart(name, value):
                self._parts[name] = value
            case wire.StateComplete():
                self._restore(now)
            case wire.AttemptStarted(row):
                self._theirs.add((row["request"], row["number"]))
                state.adopt(self._gateway, now, row, spends=True)
            case wire.AttemptEnded():
                self._theirs.discard((message.request, message.number))
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
            case wire.OperatorCall(word, worker):
                self._receiver.call(word, worker)

    def _spread(self) -> None:
        """Put accounts in as they come, so that no step is long at the end."""
        rows, self._rows = self._rows, []
        state.put_accounts(self._gateway, self._clock(), rows)
        # Guards whoever waits against collections that look at all customers, ever more of them: 90 ms with 30,000. An
        # account is in no cycle, so it is freed without them.
        gc.freeze()

    def _restore(self, now: float) -> None:
        self._receiver.receive(self._parts)
        self._theirs.update((row["request"], row["number"]) for row in self._parts["outs"])
        state.put_core(self._gateway, now, self._parts, self._parts["outs"])
        for debts in self._debts:
            self._gateway.quotas.deficits.restore(debts)
        self._restored = True
        self._parts, self._debts = {}, []
        if not self._given.done():
            self._given.set_result(True)
