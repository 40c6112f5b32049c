"""Executes operators' calls: passes each to the component that it concerns and words the answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from micagate.operating.presence import Presence
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.front.server import Server
from oliveloft.manage import protocol

if TYPE_CHECKING:
    from oliveloft.fleet.member import Member

log = logging.getLogger("oliveloft")


class Operations:
    """Executes operators' calls in this process and, during a hot restart, forwards them to the other process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: RequestDispatcher,
        server: Server,
        presence: Presence,
        forward_call: Callable[[protocol.Call], None] | None = None,
        member: Member | None = None,
    ) -> None:
        self._loop, self._dispatcher, self._server, self._presence = loop, dispatcher, server, presence
        self._member = member  # of a fleet: persists calls and announces them to the other members
        self._forward_call = forward_call  # to the other process of a hot restart, if there is one

    def execute(self, call: protocol.Call) -> tuple[bool, str] | asyncio.Future[tuple[bool, str]]:
        """Execute a call, here and in the other process of a hot restart; return whether it succeeded and the answer.

        Where the member of a fleet persists the call, the result is a future that is done once it is on disk.
        """
        succeeded, answer = self.apply(call)
        if self._forward_call is not None and succeeded and call.command not in protocol.READ_ONLY_CALLS:
            self._forward_call(call)
        if self._member is None or not succeeded or call.command in protocol.READ_ONLY_CALLS:
            return succeeded, answer
        if call.command in (protocol.OFFLINE, protocol.ONLINE):
            persisted = self._member.set_maintenance(call.worker, call.command == protocol.OFFLINE)
        else:
            persisted = self._member.record_drain(call.command == protocol.LEAVE)
        if not self._member.has_record_store():
            return True, f"{answer}; there is no memory, it ends with this process"
        result: asyncio.Future[tuple[bool, str]] = self._loop.create_future()
        persisted.add_done_callback(
            lambda done: result.set_result(
                (True, answer)
                if done.result()
                else (False, f"{answer}, but that is not on disk: it may end with this process")
            )
        )
        return result

    def apply(self, call: protocol.Call) -> tuple[bool, str]:
        """Execute a call in this process alone, without persisting it."""
        match call.command:
            case protocol.HEALTH:
                if self._member is not None and (waiting_for := self._member.startup_state()):
                    return False, waiting_for
                return self._server.health()
            case protocol.REFUSED:
                return True, self._dispatcher.guard.summary()
            case protocol.OFFLINE | protocol.ONLINE:
                return self._set_maintenance(call.worker, call.command == protocol.OFFLINE)
            case protocol.LEAVE:
                if self._presence.start_drain(self._loop.time()):
                    log.info("sending clients away")
                return True, "sending clients away; JOIN takes them again"
            case _:
                if self._presence.end_drain():
                    log.info("taking clients again")
                return True, "taking clients"

    def apply_forwarded(self, call: protocol.Call) -> None:
        """Execute a call that the other process of a hot restart has answered.

        It applies whether or not the worker is known here: only the other process may have been notified of it yet.
        """
        if call.command in (protocol.OFFLINE, protocol.ONLINE):
            self._set_maintenance(call.worker, call.command == protocol.OFFLINE, since=self._loop.time())
        else:
            self.apply(call)

    def _set_maintenance(self, worker: str, in_maintenance: bool, since: float | None = None) -> tuple[bool, str]:
        if not self._dispatcher.set_maintenance(worker, in_maintenance, since):
            return False, f"no worker {worker} is known here"
        log.info("worker %s is %s", worker, "out for maintenance" if in_maintenance else "back")
        return True, f"nothing more goes to {worker}" if in_maintenance else f"{worker} is back"
