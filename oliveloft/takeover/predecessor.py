"""The predecessor's side of a hot restart: it waits for a successor and sends it the state of this process.

The protocol: the successor says `Hello`; the predecessor copies its accounts while it goes on serving; on
`StateRequest` it stops accepting clients and sends the rest of the state at one instant; on `Accepted` it finishes the
requests that it still has and reports the end of each attempt. If the successor fails or rejects the state, the
predecessor goes on serving.
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

SOCKET_NAME = "oliveloft.takeover"  # in the temporary folder
ROWS_PER_MESSAGE = 20  # accounts or attempts in one message; takes about 1 ms
MAX_QUEUED_MESSAGES = 4  # the copy pauses while this many are not written yet
MAX_CLOCK_DIFFERENCE_SECONDS = 5.0  # a larger difference means that the processes do not share one clock


def socket_path(folder: str) -> str:
    """Return the path of the Unix socket on which the serving process waits for a successor."""
    return os.path.join(folder, SOCKET_NAME)


class PredecessorProcess(Protocol):
    """What `Predecessor` needs of the process it runs in."""

    def pause(self) -> None:
        """Stop accepting clients."""

    def resume(self) -> None:
        """Accept clients again."""

    def network_state(self) -> dict[str, Any]:
        """Return the state of the network side: the worker list, its version, whether clients are sent away."""

    def on_superseded(self) -> None:
        """The successor serves: finish the requests in flight and pass connections on."""

    def on_operator_call(self, command: str, worker: str) -> None:
        """Apply an operator's call that the successor received."""


class Predecessor:
    """Waits for a successor, one at a time, and hands the gateway's state over to it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        folder: str,
        gateway: Gateway,
        process: PredecessorProcess,
        clock: Callable[[], float],
    ) -> None:
        self._loop, self._name, self._path = loop, name, socket_path(folder)
        self._gateway, self._process, self._clock = gateway, process, clock
        self._socket: socket.socket | None = None
        self.channel: Channel | None = None
        self._copy: state.AccountCopy | None = None
        self._paused = False
        self.superseded = False  # the successor accepts clients; this process accepts none

    def listen(self) -> None:
        """Listen for a successor, replacing the socket of an earlier process.

        If the folder does not allow it, this process serves all the same and a successor starts without its state.
        """
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path)
            listening.bind(self._path)
            listening.listen(2)
        except OSError as error:
            listening.close()
            log.warning("takeover: %s: %s; a process that follows starts with nothing", self._path, error)
            return
        listening.setblocking(False)
        self._socket = listening
        self._loop.add_reader(listening.fileno(), self._accept)

    def stop(self) -> None:
        """Stop listening for a successor."""
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
            sock.close()  # only one successor at a time
            return
        self.channel = Channel(self._loop, sock, self._on_message, self._on_closed)

    def _on_closed(self, reason: str) -> None:
        if self._copy is not None:
            self._gateway.quotas.deficits.take_changes()  # ends the recording of changes for the copy
        self.channel = self._copy = None
        if not self._paused:
            return
        # Resume accepting: otherwise new clients would wait in the socket's queue, which no process reads any more.
        log.warning("takeover: %s; this process goes on", reason)
        superseded, self.superseded, self._paused = self.superseded, False, False
        self._process.resume()
        if superseded:
            self.listen()

    def _on_message(self, message: wire.Message, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # a successor sends no descriptors
        channel = self.channel
        if channel is None:
            return
        match message:
            case wire.Hello():
                now = self._clock()
                if (
                    message.version != wire.VERSION
                    or message.name != self._name
                    or abs(message.clock - now) > MAX_CLOCK_DIFFERENCE_SECONDS
                ):
                    channel.send(wire.Rejected(f"version {wire.VERSION}, {self._name}, clock {now:.1f}"))
                    return
                self._copy = state.AccountCopy(self._gateway, now)
                self._copy_accounts()
            case wire.StateRequest() if self._copy is not None:
                self._send_final_state(channel, self._copy)
            case wire.Accepted() if self._paused:
                self.superseded = True
                self.stop()
                log.info("takeover: the new process serves")
                self._process.on_superseded()
            case wire.OperatorCall(command, worker) if self._paused:
                self._process.on_operator_call(command, worker)
            case wire.Rejected(reason):
                channel.close(f"the new process rejected the handoff: {reason}")

    def _copy_accounts(self) -> None:
        """Send the next accounts and schedule the following ones, so that the event loop serves clients in between."""
        channel, copy = self.channel, self._copy
        if channel is None or copy is None:
            return
        if channel.queued_messages < MAX_QUEUED_MESSAGES:
            if (deficits := copy.next_deficits()) is not None:
                channel.send(wire.StatePart("debts", deficits))
            elif copy.load_next_queue():
                pass
            elif rows := copy.next_accounts(self._clock(), ROWS_PER_MESSAGE):
                channel.send(wire.Accounts(rows))
            else:
                channel.send(wire.AccountsCopied())
                return
            self._loop.call_soon(self._copy_accounts)
        else:
            self._loop.call_later(0.001, self._copy_accounts)

    def _send_final_state(self, channel: Channel, copy: state.AccountCopy) -> None:
        """Stop accepting clients and send the rest of the state, all as of the same instant."""
        self._paused = True
        self._process.pause()
        rows = copy.remaining_accounts()
        for first in range(0, len(rows), ROWS_PER_MESSAGE):
            channel.send(wire.Accounts(rows[first : first + ROWS_PER_MESSAGE]))
        for name, value in {**self._process.network_state(), **state.core_state(self._gateway)}.items():
            channel.send(wire.StatePart(name, value))
        attempts = list(state.in_flight_rows(self._gateway))
        for first in range(0, len(attempts), ROWS_PER_MESSAGE):
            channel.send(wire.StatePart("outs", attempts[first : first + ROWS_PER_MESSAGE]))
        channel.send(wire.StateComplete(self._clock()))
        log.info("takeover: the new process has the state; no clients are accepted here until it serves or fails")

    def send(self, message: wire.Message, fd: int | None = None) -> bool:
        """Send a message to a successor that has received the state; return whether there is one.

        A descriptor that comes along is closed here in both cases.
        """
        if self.channel is None or not self.channel.open or not self._paused:
            if fd is not None:
                os.close(fd)
            return False
        self.channel.send(message, fd)
        return True
