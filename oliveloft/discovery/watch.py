"""The watch on discovery: the whole list, then changes as they come.

When a call fails, it is made again for what came after the list that is held: a whole list is the dearest thing that
discovery is asked for, and a fleet that has lost it together asks together. A call that is not answered in time stays
open while others are made, so that an agent slower than any time-out is heard in the end: a late answer is still an
answer. `policy` has the times.

    STARTING    no answer has come yet, from the start or since the address changed
    WATCHING    the last call was answered, and the next one is out
    RECOVERING  a call failed or was not answered in time; the list that is held stands
    STOPPED     nothing is asked
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
    """Where a watch stands."""

    STOPPED = "stopped"
    STARTING = "starting"
    WATCHING = "watching"
    RECOVERING = "recovering"


class DiscoveryWatch:
    """One watch after another; after any failure a new connection, and what came since.

    `index` is that of the list that is held from the start, if any; `gatekeepers` is how many load the same
    discovery with their calls (1 where it is an agent of this process's own), `number` this one's place among them.
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
        self._calls: list[DiscoveryCall] = []  # open ones, the latest made last
        self._backoff_seconds = self._policy.backoff_seconds
        self._answer_timeout_seconds = times.ANSWER_TIMEOUT_SECONDS
        self._empty_pause_seconds = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._skipped = ""
        self._answered = asyncio.Event()

    @property
    def index(self) -> int | None:
        """The version of the list that is held; None where it is to be asked for anew."""
        return self._index

    @property
    def address(self) -> tuple[str, int]:
        """Whom it watches."""
        return self._address

    @property
    def state(self) -> WatchState:
        """Where the watch stands."""
        return self._state

    @property
    def own_agent(self) -> bool:
        """Whether nobody else loads what is asked."""
        return self._policy.own_agent

    async def first_answer(self, timeout_seconds: float) -> bool:
        """Wait for the first answer of all; whether it came in time."""
        try:
            await asyncio.wait_for(self._answered.wait(), timeout_seconds)
        except TimeoutError:
            return False
        return True

    def start(self) -> None:
        """Make the first call, in this process's own place of time where a list is held."""
        self._state = WatchState.STARTING
        delay, self._first_call_seconds = self._first_call_seconds, 0.0
        if delay:
            self._after(delay, self._open_call)
        else:
            self._open_call()

    def stop(self) -> None:
        """End the watch for good, or until the next start."""
        self._state = WatchState.STOPPED
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._cancel_calls()

    def move(self, address: tuple[str, int]) -> None:
        """Watch another address: its whole list is asked for, and until that comes the old list stands.

        Of the old one nothing is left: its connections, its open calls and a retry that was due are dropped, and the
        index, which means nothing elsewhere.
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
        """Make a call over a new connection; earlier ones stay open, up to a number."""
        now = self._loop.time()
        for call in [c for c in self._calls if now - c.progressed_at > times.PATIENCE_SECONDS]:
            self._cancel(call)
        if len(self._calls) >= self._policy.open_calls:
            self._cancel(self._calls[times.call_to_drop([now - call.asked_at for call in self._calls])])
        call = DiscoveryCall(self._loop, self, self._address)
        self._calls.append(call)
        call.connect()
        self._after(self._timeout_seconds(connecting=True), self._unanswered)

    def connected(self, call: DiscoveryCall) -> None:
        """A call's connection stands."""
        self._ask(call)

    def _ask(self, call: DiscoveryCall) -> None:
        """Ask for the whole list, or for what comes after it."""
        call.ask(self._index, self._policy.call_wait_seconds(self._state is WatchState.WATCHING))
        if self._latest(call):
            self._after(self._timeout_seconds(connecting=False), self._unanswered)

    def _timeout_seconds(self, connecting: bool) -> float:
        """When a further call is made unless the latest one is answered."""
        watching = self._state is WatchState.WATCHING
        if self._policy.own_agent and not watching:
            return times.SNAPSHOT_INTERVAL_SECONDS if self._index is None else times.PROBE_INTERVAL_SECONDS
        if self._index is None or connecting:
            return self._answer_timeout_seconds
        # A watch is answered when its wait is over, or at once, so it is given no more each time; a call to a service
        # that others load, made because there was no answer before, is.
        beyond = self._answer_timeout_seconds if self._state is WatchState.RECOVERING else times.ANSWER_TIMEOUT_SECONDS
        return times.WAIT_SECONDS + beyond

    def _latest(self, call: DiscoveryCall) -> bool:
        return bool(self._calls) and self._calls[-1] is call

    def _cancel(self, call: DiscoveryCall) -> None:
        self._calls.remove(call)
        call.cancel()

    def _cancel_calls(self) -> None:
        for call in list(self._calls):
            self._cancel(call)

    def _after(self, delay_seconds: float, then: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_seconds, then)

    # Failures.

    def _unanswered(self) -> None:
        """No answer in time: make another call, and leave this one open.

        An agent of this process's own may have let the call go, so it is asked again at once; a shared service may be
        slow rather than gone, so the next call to it is given longer.
        """
        now, latest = self._loop.time(), self._calls[-1]
        if latest.asked_at < latest.progressed_at > now - times.PROBE_INTERVAL_SECONDS:
            self._after(times.PROBE_INTERVAL_SECONDS, self._unanswered)  # its answer is on its way, in pieces
            return
        if self._policy.own_agent:
            self._recover("no answer in time")
            self._open_call()
            return
        self._answer_timeout_seconds = min(times.LONGEST_ANSWER_TIMEOUT_SECONDS, 2 * self._answer_timeout_seconds)
        if self._index is not None and self._state is not WatchState.RECOVERING:
            # A watch, which nobody was late to answer: no more than this at first.
            self._backoff_seconds = min(self._backoff_seconds, times.SHARED_UNANSWERED_BACKOFF_SECONDS)
        self._recover("no answer in time")
        self._retry()

    def ended(self, call: DiscoveryCall, reason: str) -> None:
        """A connection is gone, or did not come up: the list that is held is as good as it was."""
        if call not in self._calls:
            return
        latest = self._latest(call)
        self._calls.remove(call)
        if latest:
            self._recover(reason)
            self._retry()

    def malformed(self, call: DiscoveryCall, reason: str) -> None:
        """An answer that is none: the list that is held may be at fault, so the whole one is asked for."""
        if not self._latest(call):
            self._cancel(call)
            return
        self._index = None
        self._cancel_calls()
        self._recover(reason)
        self._retry()

    def _recover(self, reason: str) -> None:
        if self._state is not WatchState.RECOVERING:
            log.warning("discovery: %s; keeping the list and trying again", reason)
        self._state = WatchState.RECOVERING

    def _retry(self) -> None:
        """Make a new call at random within a bound that doubles."""
        self._after(self._backoff_seconds * self._random.random(), self._open_call)
        self._backoff_seconds = min(self._policy.longest_backoff_seconds, 2 * self._backoff_seconds)

    # Answers.

    def answered(self, call: DiscoveryCall, status: int, body: bytes, closes: bool) -> None:
        """Pass on what an answer says, and ask for what comes next."""
        if status != 200:
            call.cancel()
            self.ended(call, f"status {status}")  # turned away: what is held is as good as it was
            return
        try:
            news = DiscoveryUpdate(json.loads(body))
        except (ValueError, RecursionError) as error:
            self.malformed(call, f"malformed answer: {error}")
            return
        if self._index is not None and news.index < self._index:
            if call.index != self._index:
                self._outdated(call)
            else:
                # Discovery began anew and counts its versions from the start, or a snapshot is an old one: what it
                # says to a call for the whole list holds.
                self.malformed(call, "an earlier version than before")
            return
        if not news.whole and self._index is None:
            self.malformed(call, "no whole list")
            return
        self._take(call, news, closes)

    def _outdated(self, call: DiscoveryCall) -> None:
        """A late answer that a later one has overtaken."""
        self._cancel(call)
        if not self._calls:
            self._retry()

    def _take(self, call: DiscoveryCall, news: DiscoveryUpdate, closes: bool) -> None:
        if self._state is WatchState.RECOVERING:
            log.info("discovery: back")
        pause_seconds = self._pause_seconds(call, news)
        spare = self._state is WatchState.WATCHING and not self._latest(call)
        self._state, self._index = WatchState.WATCHING, news.index
        self._backoff_seconds = self._policy.backoff_seconds
        self._answer_timeout_seconds = max(times.ANSWER_TIMEOUT_SECONDS, self._answer_timeout_seconds / 2)
        if news.skipped and news.skipped != self._skipped:
            log.warning("discovery: skipped a malformed entry: %s", news.skipped)
        self._skipped = news.skipped
        if spare:
            self._cancel(call)  # the watch goes on over the latest one
        else:
            self._follow_up(call, closes, pause_seconds)  # first: the next watch must begin soon after the last answer
        self._answered.set()
        news.date(self._start_times, self._loop.time())
        self._notify(news)

    def _follow_up(self, call: DiscoveryCall, closes: bool, pause_seconds: float) -> None:
        """Ask for what comes next, over this call's connection unless that closes.

        Calls that were made before it are of no more use. Those made after it may bring what has changed since.
        """
        for earlier in self._calls[: self._calls.index(call)]:
            self._cancel(earlier)
        self._calls.remove(call)
        if closes:
            call.cancel()
        else:
            self._calls.append(call)
        if pause_seconds:
            self._after(pause_seconds, self._open_call if closes else lambda: self._ask(call))
        elif closes:
            self._open_call()
        else:
            self._ask(call)

    def _pause_seconds(self, call: DiscoveryCall, news: DiscoveryUpdate) -> float:
        """How long the next call waits: longer each time that a watch is answered at once with nothing new."""
        early = self._loop.time() - call.asked_at < call.wait_seconds / 2
        if not early or news.endpoints or news.index != self._index:
            self._empty_pause_seconds = 0.0
        else:
            self._empty_pause_seconds = min(
                times.LONGEST_EMPTY_PAUSE_SECONDS, max(times.FIRST_EMPTY_PAUSE_SECONDS, 2 * self._empty_pause_seconds)
            )
        return self._empty_pause_seconds
