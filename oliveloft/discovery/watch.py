"""The watch on discovery: one snapshot of the worker list, then deltas by long polling.

A call is one HTTP request to discovery. After a failed call the next one asks for the changes since the list that is
held, not for a snapshot: snapshots are the most expensive calls, and after an outage the whole fleet calls at the same
time. A call that is not answered in time stays open while others are made, so that the list is updated even if
discovery is slower than every timeout: a late answer is still valid. The times are in `policy`.

    STARTING    no answer yet, since the start or since the address changed
    WATCHING    the last call was answered, and the next one is open
    RECOVERING  a call failed or was not answered in time; the list that is held stays in use
    STOPPED     no call is open or scheduled
"""

from __future__ import annotations

import asyncio
import enum
import json
import logging
from collections.abc import Callable
from random import Random

from micagate.estimates.start_times import StartTimes
from oliveloft.discovery import policy as times
from oliveloft.discovery.call import DiscoveryCall
from oliveloft.discovery.policy import watch_policy
from oliveloft.shared_types import DiscoveryUpdate

log = logging.getLogger("oliveloft")


class WatchState(enum.Enum):
    """The state of a watch; see the module's description."""

    STOPPED = "stopped"
    STARTING = "starting"
    WATCHING = "watching"
    RECOVERING = "recovering"


class DiscoveryWatch:
    """Keeps the worker list up to date by one call after another; reconnects and resumes after any failure.

    `notify` receives each update. `index` is the version of a list that is held at the start, if any. `gatekeepers` is
    the number of processes that call the same discovery service (1: an agent of this process alone), `number` the index
    of this one among them, which spreads their first calls.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        start_times: StartTimes,
        notify: Callable[[DiscoveryUpdate], None],
        index: int | None = None,
        gatekeepers: int = 1,
        number: int = 0,
        seed: int = 0,
    ) -> None:
        self._loop, self._address, self._notify = loop, address, notify
        self._start_times = start_times
        self._index = index
        self._random = Random(seed)
        self._policy = watch_policy(gatekeepers, number, index is not None)
        self._first_call_seconds = self._policy.first_call_seconds
        self._state = WatchState.STOPPED
        self._calls: list[DiscoveryCall] = []  # open calls, the latest last
        self._backoff_seconds = self._policy.backoff_seconds
        self._answer_timeout_seconds = times.ANSWER_TIMEOUT_SECONDS
        self._empty_pause_seconds = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._last_skipped = ""  # the malformed entry that was logged last
        self._first_answer_received = asyncio.Event()

    @property
    def index(self) -> int | None:
        """The version of the list that is held; None if the next call asks for a snapshot."""
        return self._index

    @property
    def address(self) -> tuple[str, int]:
        """The address of discovery."""
        return self._address

    @property
    def state(self) -> WatchState:
        """The state of the watch."""
        return self._state

    @property
    def has_own_agent(self) -> bool:
        """Whether discovery is an agent that serves this process alone."""
        return self._policy.own_agent

    @property
    def has_answer(self) -> bool:
        """Whether discovery has answered since the process started."""
        return self._first_answer_received.is_set()

    async def first_answer(self, timeout_seconds: float) -> bool:
        """Wait for the first answer since the process started; return whether it came in time."""
        try:
            await asyncio.wait_for(self._first_answer_received.wait(), timeout_seconds)
        except TimeoutError:
            return False
        return True

    def start(self) -> None:
        """Make the first call, delayed by this process's share of the spread if a list is held."""
        self._state = WatchState.STARTING
        delay, self._first_call_seconds = self._first_call_seconds, 0.0
        if delay:
            self._schedule(delay, self._open_call)
        else:
            self._open_call()

    def stop(self) -> None:
        """Cancel all calls; `start` resumes the watch."""
        self._state = WatchState.STOPPED
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._cancel_calls()

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch another address: ask it for a snapshot, and use the old list until that is received.

        The connections, open calls and scheduled retries of the old address are dropped, and so is the index, which has
        no meaning at another address.
        """
        if address == self._address:
            return
        self.stop()
        self._address, self._index = address, None
        self._backoff_seconds = self._policy.backoff_seconds
        self._answer_timeout_seconds = times.ANSWER_TIMEOUT_SECONDS
        self.start()

    # Calls.

    def _open_call(self) -> None:
        """Make a call over a new connection; earlier calls stay open, up to the policy's limit."""
        now = self._loop.time()
        for call in [c for c in self._calls if now - c.progressed_at > times.OPEN_CALL_TIMEOUT_SECONDS]:
            self._cancel(call)
        if len(self._calls) >= self._policy.open_calls:
            self._cancel(self._calls[times.call_to_drop([now - call.sent_at for call in self._calls])])
        call = DiscoveryCall(self._loop, self, self._address)
        self._calls.append(call)
        call.connect()
        self._schedule(self._timeout_seconds(connecting=True), self._answer_timed_out)

    def connected(self, call: DiscoveryCall) -> None:
        """Send the call: its connection is established."""
        self._send_call(call)

    def _send_call(self, call: DiscoveryCall) -> None:
        """Ask for a snapshot, or for the changes since the list that is held."""
        call.send_request(self._index, self._policy.call_wait_seconds(self._state is WatchState.WATCHING))
        if self._is_latest(call):
            self._schedule(self._timeout_seconds(connecting=False), self._answer_timed_out)

    def _timeout_seconds(self, connecting: bool) -> float:
        """The time after which a further call is made unless the latest one is answered."""
        watching = self._state is WatchState.WATCHING
        if self._policy.own_agent and not watching:
            return times.SNAPSHOT_INTERVAL_SECONDS if self._index is None else times.PROBE_INTERVAL_SECONDS
        if self._index is None or connecting:
            return self._answer_timeout_seconds
        # A long poll is answered at the latest when its wait is over, so its timeout does not grow. The timeout of a
        # call to a shared service after a missing answer does, as that service may be overloaded.
        answer_timeout_seconds = (
            self._answer_timeout_seconds if self._state is WatchState.RECOVERING else times.ANSWER_TIMEOUT_SECONDS
        )
        return times.WAIT_SECONDS + answer_timeout_seconds

    def _is_latest(self, call: DiscoveryCall) -> bool:
        """Whether a call is the one that was made last."""
        return bool(self._calls) and self._calls[-1] is call

    def _cancel(self, call: DiscoveryCall) -> None:
        self._calls.remove(call)
        call.cancel()

    def _cancel_calls(self) -> None:
        for call in list(self._calls):
            self._cancel(call)

    def _schedule(self, delay_seconds: float, callback: Callable[[], None]) -> None:
        """Set the only timer of the watch, in place of the one before."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_seconds, callback)

    # Failures.

    def _answer_timed_out(self) -> None:
        """Make another call after a timeout, and leave the unanswered one open.

        A process's own agent may have lost the call, so it is called again at once. A shared service may be slow rather
        than down, so the timeout of the next call to it doubles.
        """
        now, latest = self._loop.time(), self._calls[-1]
        if latest.sent_at < latest.progressed_at > now - times.PROBE_INTERVAL_SECONDS:
            self._schedule(times.PROBE_INTERVAL_SECONDS, self._answer_timed_out)  # its answer is being received
            return
        if self._policy.own_agent:
            self._recover("no answer in time")
            self._open_call()
            return
        self._answer_timeout_seconds = min(times.MAX_ANSWER_TIMEOUT_SECONDS, 2 * self._answer_timeout_seconds)
        if self._index is not None and self._state is not WatchState.RECOVERING:
            # The first timeout of a long poll does not show that the service is overloaded: a shorter bound at first.
            self._backoff_seconds = min(self._backoff_seconds, times.SHARED_UNANSWERED_BACKOFF_SECONDS)
        self._recover("no answer in time")
        self._retry()

    def ended(self, call: DiscoveryCall, reason: str) -> None:
        """Retry after a connection was lost or not established; the list that is held stays valid."""
        if call not in self._calls:
            return
        latest = self._is_latest(call)
        self._calls.remove(call)
        if latest:
            self._recover(reason)
            self._retry()

    def malformed(self, call: DiscoveryCall, reason: str) -> None:
        """Ask for a snapshot after a malformed answer: the list that is held may be wrong."""
        if not self._is_latest(call):
            self._cancel(call)
            return
        self._index = None
        self._cancel_calls()
        self._recover(reason)
        self._retry()

    def _recover(self, reason: str) -> None:
        """Enter RECOVERING, and log the reason when that begins."""
        if self._state is not WatchState.RECOVERING:
            log.warning("discovery: %s; keeping the list and trying again", reason)
        self._state = WatchState.RECOVERING

    def _retry(self) -> None:
        """Schedule a new call at a random time within the backoff, which doubles (full jitter)."""
        self._schedule(self._backoff_seconds * self._random.random(), self._open_call)
        self._backoff_seconds = min(self._policy.max_backoff_seconds, 2 * self._backoff_seconds)

    # Answers.

    def answered(self, call: DiscoveryCall, status: int, body: bytes, connection_closes: bool) -> None:
        """Validate an answer and apply its update."""
        if status != 200:
            call.cancel()
            self.ended(call, f"status {status}")  # refused: the list that is held stays valid
            return
        try:
            update = DiscoveryUpdate(json.loads(body))
        except (ValueError, RecursionError) as error:
            self.malformed(call, f"malformed answer: {error}")
            return
        if self._index is not None and update.index < self._index:
            if call.index != self._index:
                self._discard_outdated(call)
            else:
                # Discovery has restarted and counts its versions from the start, or the snapshot is an old one. The
                # answer to a call for a snapshot decides.
                self.malformed(call, "an earlier version than before")
            return
        if not update.is_snapshot and self._index is None:
            self.malformed(call, "expected a snapshot, got a delta")
            return
        self._apply(call, update, connection_closes)

    def _discard_outdated(self, call: DiscoveryCall) -> None:
        """Drop a late answer that is older than the list that is held."""
        self._cancel(call)
        if not self._calls:
            self._retry()

    def _apply(self, call: DiscoveryCall, update: DiscoveryUpdate, connection_closes: bool) -> None:
        """Enter WATCHING, make the next call and pass the update on."""
        if self._state is WatchState.RECOVERING:
            log.info("discovery: back")
        pause_seconds = self._pause_seconds(call, update)
        superseded = self._state is WatchState.WATCHING and not self._is_latest(call)
        self._state, self._index = WatchState.WATCHING, update.index
        self._backoff_seconds = self._policy.backoff_seconds
        self._answer_timeout_seconds = max(times.ANSWER_TIMEOUT_SECONDS, self._answer_timeout_seconds / 2)
        if update.skipped and update.skipped != self._last_skipped:
            log.warning("discovery: skipped a malformed entry: %s", update.skipped)
        self._last_skipped = update.skipped
        if superseded:
            self._cancel(call)  # the watch continues over the latest call
        else:
            # Before the update is applied: the next call must follow soon after the last answer.
            self._follow_up(call, connection_closes, pause_seconds)
        self._first_answer_received.set()
        update.set_start_times(self._start_times, self._loop.time())
        self._notify(update)

    def _follow_up(self, call: DiscoveryCall, connection_closes: bool, pause_seconds: float) -> None:
        """Make the next call, over this call's connection unless that closes.

        Calls made before this one are cancelled, since their answers would be older. Calls made after it stay open, as
        they may bring later changes.
        """
        for earlier in self._calls[: self._calls.index(call)]:
            self._cancel(earlier)
        self._calls.remove(call)
        if connection_closes:
            call.cancel()
        else:
            self._calls.append(call)
        if pause_seconds:
            self._schedule(pause_seconds, self._open_call if connection_closes else lambda: self._send_call(call))
        elif connection_closes:
            self._open_call()
        else:
            self._send_call(call)

    def _pause_seconds(self, call: DiscoveryCall, update: DiscoveryUpdate) -> float:
        """The pause before the next call: 0, or doubling while long polls are answered at once with no change."""
        early = self._loop.time() - call.sent_at < call.wait_seconds / 2
        if not early or update.endpoints or update.index != self._index:
            self._empty_pause_seconds = 0.0
        else:
            self._empty_pause_seconds = min(
                times.MAX_EMPTY_PAUSE_SECONDS, max(times.FIRST_EMPTY_PAUSE_SECONDS, 2 * self._empty_pause_seconds)
            )
        return self._empty_pause_seconds
