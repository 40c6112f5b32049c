"""The process that serves: it waits for one that takes its place, and gives it all it has.

A taker that dies or says no leaves this process serving as before, for as long as it lives. Once the taker has said
that it accepts, this one only finishes what it has, and tells the taker of each end.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from typing import Any, Protocol

from micagate.gateway import Gateway
from micagate.handover import state
from oliveloft.takeover import wire
from oliveloft.takeover.channel import Channel

log = logging.getLogger("oliveloft")

FILE = "oliveloft.takeover"  # in the temporary folder
ROWS = 20  # accounts in a message: a millisecond's work
ROOM = 4  # messages that wait to go, beyond which the copy pauses
CLOCKS = 5.0  # seconds by which both clocks may differ, or they are not one


def path(folder: str) -> str:
    """Where the process that serves is found."""
    return os.path.join(folder, FILE)


class Owner(Protocol):
    """The process round a giver."""

    def pause(self) -> None:
        """Accept no clients from now on."""

    def resume(self) -> None:
        """Accept clients again."""

    def outside(self) -> dict[str, Any]:
        """What the network's side knows: the list, its version, whether clients are sent away."""

    def gone(self) -> None:
        """All is given: only what is in hand is finished."""

    def call(self, word: str, worker: str) -> None:
        """Operators have called the taker."""


class Predecessor:
    """Waits for a taker, one at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        folder: str,
        gateway: Gateway,
        owner: Owner,
        clock: Callable[[], float],
    ) -> None:
        self._loop, self._name, self._path = loop, name, path(folder)
        self._gateway, self._owner, self._clock = gateway, owner, clock
        self._socket: socket.socket | None = None
        self.channel: Channel | None = None
        self._copy: state.Copy | None = None
        self._paused = False
        self.superseded = False  # the taker accepts: nothing new is ours

    def listen(self) -> None:
        """Wait for a taker, in place of whoever did; without a folder for that there is no handover."""
        made = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path)
            made.bind(self._path)
            made.listen(2)
        except OSError as error:
            made.close()
            log.warning("takeover: %s: %s; a process that follows starts with nothing", self._path, error)
            return
        made.setblocking(False)
        self._socket = made
        self._loop.add_reader(made.fileno(), self._accept)

    def stop(self) -> None:
        """Wait no more."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        assert self._socket is not None
        try:
            sock, _ = self._socket.accept()
        except OSError:
            return
        if self.channel is not None:
            sock.close()  # one at a time
            return
        self.channel = Channel(self._loop, sock, self._heard, self._lost)

    def _lost(self, why: str) -> None:
        if self._copy is not None:
            self._gateway.quotas.deficits.rest()  # nobody takes note of them any more
        self.channel = self._copy = None
        if not self._paused:
            return
        # Guards the clients: whoever connects would wait in the socket's queue, where nobody accepts any more.
        log.warning("takeover: %s; this process goes on", why)
        superseded, self.superseded, self._paused = self.superseded, False, False
        self._owner.resume()
        if superseded:
            self.listen()

    def _heard(self, message: wire.Message, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # none is expected here
        channel = self.channel
        if channel is None:
            return
        match message:
            case wire.Hello():
                now = self._clock()
                if message.version != wire.VERSION or message.name != self._name or abs(message.clock - now) > CLOCKS:
                    channel.send(wire.Rejected(f"version {wire.VERSION}, {self._name}, clock {now:.1f}"))
                    return
                self._copy = state.Copy(self._gateway, now)
                self._more()
            case wire.StateRequest() if self._copy is not None:
                self._give(channel, self._copy)
            case wire.Accepted() if self._paused:
                self.superseded = True
                self.stop()
                log.info("takeover: the new process serves")
                self._owner.gone()
            case wire.OperatorCall(word, worker) if self.superseded:
                self._owner.call(word, worker)
            case wire.Rejected(why):
                channel.close(f"the new process says no: {why}")

    def _more(self) -> None:
        """Give some accounts, and go on once they are on their way; others have their turn in between."""
        channel, copy = self.channel, self._copy
        if channel is None or copy is None:
            return
        if channel.waiting < ROOM:
            if (debts := copy.debts()) is not None:
                channel.send(wire.StatePart("debts", debts))
            elif copy.lists():
                pass
            elif rows := copy.more(self._clock(), ROWS):
                channel.send(wire.Accounts(rows))
            else:
                channel.send(wire.AccountsCopied())
                return
            self._loop.call_soon(self._more)
        else:
            self._loop.call_later(0.001, self._more)

    def _give(self, channel: Channel, copy: state.Copy) -> None:
        """All of it, at one instant: from here on nothing is accepted."""
        self._paused = True
        self._owner.pause()
        rows = copy.rest()
        for first in range(0, len(rows), ROWS):
            channel.send(wire.Accounts(rows[first : first + ROWS]))
        for name, value in {**self._owner.outside(), **state.core(self._gateway)}.items():
            channel.send(wire.StatePart(name, value))
        outs = list(state.outs(self._gateway))
        for first in range(0, len(outs), ROWS):
            channel.send(wire.StatePart("outs", outs[first : first + ROWS]))
        channel.send(wire.StateComplete(self._clock()))

    def tell(self, message: wire.Message, fd: int | None = None) -> bool:
        """Tell the taker, once it was given all; whether there is one that listens."""
        if self.channel is None or not self.channel.open or not self._paused:
            if fd is not None:
                os.close(fd)
            return False
        self.channel.send(message, fd)
        return True
