"""The dispatcher: owns requests and attempts, hands events to the module and carries out its actions.

It decides nothing. Every request that was submitted gets one final reply, at its deadline at the latest.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from micagate import interface
from micagate.gateway import Gateway
from micagate.invariants import (
    AttemptLimits,
    EarlierAttempt,
    Reason,
    RequestState,
    attempt_refusal,
    reply_refusal,
)
from oliveloft.backend.attempt import Attempt, Response
from oliveloft.backend.pool import ConnectionPool
from oliveloft.bodies.body import Body
from oliveloft.counter.client import Counter
from oliveloft.shared_types import BodySource, DiscoveryUpdate, ResponseSink

log = logging.getLogger("oliveloft")

Reply = Callable[[int, bytes, bytes], None]  # status, header lines, body


class Request:
    """A client's request until its final reply is out and its attempts have ended."""

    __slots__ = (
        "event",
        "head",
        "body",
        "deadline",
        "reply",
        "attempts",
        "state",
        "out",
        "timer",
        "timers",
        "sink",
    )

    def __init__(
        self,
        event: interface.Request,
        head: bytes,
        body: bytes | Body,
        deadline: float,
        reply: Reply,
        sink: ResponseSink | None = None,
    ) -> None:
        self.event, self.head, self.body, self.deadline = event, head, body, deadline
        self.reply: Reply | None = reply
        self.sink = sink  # where a long answer may go
        self.attempts: list[Attempt] = []
        self.out = 0
        self.state = RequestState.PENDING if event.complete else RequestState.ARRIVING
        self.timer: asyncio.TimerHandle | None = None
        self.timers: list[asyncio.TimerHandle] = []  # the module's

    @property
    def ended(self) -> bool:
        """Whether no final reply is owed any more."""
        return not self.state.owed

    def kept(self) -> bool:
        """Whether what a further attempt would need of it is still here."""
        return not isinstance(self.body, Body) or self.body.kept


class RequestDispatcher:
    """Between the sockets and the module."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        module: Gateway,
        workers: ConnectionPool,
        counter: Counter | None = None,
    ) -> None:
        self._loop, self._settings, self._module, self._workers = loop, settings, module, workers
        self.guard = workers.guard
        self._classes = {klass.name: klass for klass in settings.classes}
        self._limits = AttemptLimits(settings.max_attempts, settings.hedging)
        self._requests: dict[str, Request] = {}
        self._counter = counter
        self._inbox: deque[tuple[interface.Event, str]] = deque()  # events, and the request that each is about
        self._busy = False
        # Told of each attempt once another process takes this one's place.
        self.began: Callable[[str, int], None] | None = None
        self.ended: Callable[[Attempt, interface.Outcome], None] | None = None

    def holds(self, name: str) -> bool:
        """Whether a request of this id is still held, or an attempt of it still out."""
        return name in self._requests

    def submit(
        self,
        event: interface.Request,
        head: bytes,
        body: bytes | Body,
        deadline: float,
        reply: Reply,
        sink: ResponseSink | None = None,
    ) -> Request:
        """Take in a request; `reply` is called once unless the client leaves before, or a long answer began."""
        request = self._requests[event.request] = Request(event, head, body, deadline, reply, sink)
        if event.complete:
            request.timer = self._loop.call_at(deadline, self._expired, request)
        self._hand(event, event.request)
        return request

    def request_complete(self, request: Request) -> None:
        """The last byte of a request has come: its time counts from now."""
        if request.ended:
            return
        request.deadline = self._loop.time() + request.event.time_left
        request.timer = self._loop.call_at(request.deadline, self._expired, request)
        out = next((attempt for attempt in request.attempts if not attempt.done), None)
        if out is not None:
            out.deadline = request.deadline
            if not out.written():
                return  # told once the worker has it all
        self._told(request)

    def _told(self, request: Request) -> None:
        if request.state is RequestState.ARRIVING:
            request.state = RequestState.PENDING
            self._hand(interface.RequestComplete(request.event.request, request.kept()), request.event.request)

    def _written(self, attempt: Attempt) -> None:
        """A worker has all of a request."""
        request = self._requests.get(attempt.request)
        if request is not None and not request.ended and isinstance(request.body, Body) and request.body.whole:
            attempt.began = self._loop.time()  # a worker begins with the last byte
            self._told(request)

    def _begins(
        self, attempt: Attempt, answer: Response, length: int | None, source: BodySource
    ) -> ResponseSink | None:
        """A long answer begins: where it goes, or None where nobody takes it."""
        request = self._requests[attempt.request]
        sink = request.sink
        if request.ended or sink is None:
            return None
        if request.timer is not None:
            request.timer.cancel()  # it flows as long as the worker gives
            request.timer = None
        request.reply, request.sink, request.state = None, None, RequestState.STREAMING
        self._take_back(request)
        name = attempt.request
        attempt.first = self._loop.time()
        self._hand(interface.StreamStarted(name, attempt.number, attempt.worker, attempt.first - attempt.began), name)
        sink.begin(b"".join(answer.headers), length, source)
        return sink

    def client_disconnected(self, request: Request) -> None:
        """The client has left: nothing of its request goes out any more.

        What a worker has whole runs to its end. What the client has not sent whole can't go on: the worker sees that,
        and has run nothing. First the module hears of it, or it would try again what ends here.
        """
        if not request.ended:
            self._close(request, RequestState.CLIENT_GONE)
            self._hand(interface.ClientDisconnected(request.event.request), request.event.request)
        if isinstance(request.body, Body) and not request.body.whole:
            for attempt in request.attempts:
                attempt.cancel(interface.CANCELLED)

    def leave(self) -> None:
        """The process ends before the time of what is held: whoever still waits hears so now, once.

        Guards against an end by force, which finds requests with no answer.
        """
        for name, request in list(self._requests.items()):
            if request.ended:
                continue
            self._hand(interface.StopRetrying(name), name)
            for attempt in list(request.attempts):
                if attempt.unsent():
                    attempt.withdraw()
                else:
                    attempt.cancel(interface.TIMED_OUT)
            if not request.ended:
                self._expired(request)  # guards against a request that the module forgot

    def update_workers(self, news: DiscoveryUpdate) -> None:
        """Discovery has told of changes."""
        self._workers.update(news.endpoints, news.whole)
        self._hand(interface.WorkerList(tuple(e.entry for e in news.endpoints), whole=news.whole), "")

    def maintain(self, worker: str, out: bool, since: float | None = None) -> bool:
        """An operator takes a worker out or puts it back; whether anything is known of it.

        With `since` it was so said elsewhere, then, and holds whether or not it is known here.
        """
        known = False
        for action in self._module.handle(self._loop.time(), interface.SetMaintenance(worker, out, since)):
            known = known or isinstance(action, interface.MaintenanceResult) and action.known
        if known and out:
            self._workers.ban(worker)
        elif known:
            self._workers.unban(worker)
        return known

    def handle(self, event: interface.Event) -> None:
        """Let the module handle an event that is about no request here."""
        self._hand(event, "")

    def apply_shares(self, event: interface.ShareUpdate) -> tuple[interface.BucketLevels, ...]:
        """Planners have moved shares: they hold from now on. What left the stores with what was given
        away."""
        return next(
            (
                action.bucket_levels
                for action in self._module.handle(self._loop.time(), event)
                if isinstance(action, interface.ReleasedLevels)
            ),
            (),
        )

    def demand_report(self, works: bool) -> interface.DemandReport:
        """What was asked of each thing since the last survey, and what became of attempts at workers."""
        return next(
            (
                action
                for action in self._module.handle(self._loop.time(), interface.DemandQuery(works))
                if isinstance(action, interface.DemandReport)
            ),
            interface.DemandReport(()),
        )

    def _hand(self, event: interface.Event, about: str) -> None:
        """Let the module handle an event, and after it all that came of its actions."""
        self._inbox.append((event, about))
        if self._busy:
            return
        self._busy = True
        try:
            while self._inbox:
                event, about = self._inbox.popleft()
                try:
                    for action in self._module.handle(self._loop.time(), event):
                        self._act(action, about)
                except Exception:
                    # Guards the process, and whoever handed this in: a fault in the decisions, or in carrying them
                    # out, fails the request that it was about, once, and comes out of nobody's parser.
                    log.exception("fault at %s", type(event).__name__)
                    self._fault(about)
        finally:
            self._busy = False

    def _fault(self, about: str) -> None:
        request = self._requests.get(about)
        if request is not None and not request.ended:
            self._end(request, 500, b"", b"")
            self._inbox.append((interface.ClientDisconnected(about), about))
            for attempt in request.attempts:
                if attempt.connection is None:
                    attempt.finish(
                        interface.NOT_SENT
                    )  # it never got as far as a connection: else it would be held for ever

    def _act(self, action: interface.Action, about: str) -> None:
        match action:
            case interface.SetTimer(delay, ref):
                timer = self._loop.call_later(max(0.0, delay), self._fired, ref, about)
                if (request := self._requests.get(about)) is not None:
                    request.timers.append(timer)
            case interface.Send(name, worker, within):
                self._send(name, worker, within)
            case interface.Refuse(name, retry_after):
                advice = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0 else b""
                self._end(self._requests.get(name), 503, advice, b"")
            case interface.Fail(name):
                self._end(self._requests.get(name), 502, b"", b"")
            case interface.Cancel(name, number):
                request = self._requests.get(name)
                if request is not None and number < len(request.attempts):
                    request.attempts[number].cancel(interface.CANCELLED)
            case interface.CounterAdd():
                if self._counter is not None:
                    self._counter.call(action, self._counted)
                else:
                    self._counted(interface.CounterResult(action.name, interface.UNREACHABLE))
            case (
                interface.Subscribe()
                | interface.DemandReport()
                | interface.ReleasedLevels()
                | interface.MaintenanceResult()
            ):
                pass  # discovery is watched from the start; who asks takes the others itself

    def _counted(self, answer: interface.CounterResult) -> None:
        self._hand(answer, "")

    def _fired(self, ref: int, about: str) -> None:
        self._hand(interface.TimerFired(ref), about)

    def _send(self, name: str, worker: str, within: float) -> None:
        request, now = self._requests.get(name), self._loop.time()
        if request is None:
            log.error("the module sent %s, which is not held", name)
            return
        begun = request.state is not RequestState.ARRIVING  # else its time has not
        deadline = request.deadline if begun else now + request.event.time_left
        refusal = self._attempt_refusal(request, now)
        attempt = Attempt(
            name,
            len(request.attempts),
            worker,
            request.head,
            request.body,
            deadline,
            now,
            self._reported,
            self._begins,
            self._written,
        )
        request.attempts.append(attempt)
        request.out += 1
        if refusal is not None:
            self.guard.refuse(refusal, "send", id=name, attempt=attempt.number, state=request.state.value)
            attempt.finish(interface.NOT_SENT)
            return
        if 0 < within < request.deadline - now:
            attempt.deadline = now + within
            attempt.timer = self._loop.call_later(within, attempt.cancel, interface.TIMED_OUT)
        if self.began is not None:
            self.began(name, attempt.number)
        self._workers.send(attempt)

    def _attempt_refusal(self, request: Request, now: float) -> Reason | None:
        klass = self._classes[request.event.klass]
        earlier = [EarlierAttempt(attempt.began, attempt.status) for attempt in request.attempts]
        deadline = None if request.state is RequestState.ARRIVING else request.deadline
        return attempt_refusal(request.state, deadline, now, klass.effect, klass.window, earlier, self._limits)

    def _reported(self, attempt: Attempt, status: str, answer: Response | None) -> None:
        """An attempt has ended: the first success answers the client, the module hears of each."""
        request = self._requests[attempt.request]
        request.out -= 1
        if status == interface.SUCCESS and answer is not None and not request.ended:
            self._end(request, 200, b"".join(answer.headers), answer.body)
        outcome = interface.Outcome(
            request=attempt.request,
            attempt=attempt.number,
            worker=attempt.worker,
            status=status,
            terminal=request.ended,
            retryable=request.kept(),
            took=(attempt.first or self._loop.time()) - attempt.began,  # of a long one, until it began
            used=answer.used if answer is not None else None,
            used_age=self._loop.time() - answer.told if answer is not None else 0.0,
        )
        if self.ended is not None:
            self.ended(attempt, outcome)
        self._forget(request)
        self._hand(outcome, attempt.request)

    def _expired(self, request: Request) -> None:
        """The client's deadline: what is out has timed out, and whoever still waits hears so.

        The module hears of it first. It reckons the time of a long request from when an endpoint has all of it, which
        is later than the client's last byte, and would send again what ends here.
        """
        name = request.event.request
        if not request.ended:
            self._hand(interface.StopRetrying(name), name)
        for attempt in list(request.attempts):
            attempt.cancel(interface.TIMED_OUT)
        if not request.ended:  # the module forgot it: it would be lost
            self._end(request, 504, b"", b"")
            self._hand(interface.ClientDisconnected(name), name)

    def _end(self, request: Request | None, status: int, headers: bytes, body: bytes) -> None:
        """The final reply; a second one is none."""
        if request is None:
            return
        if (reason := reply_refusal(request.state)) is not None:
            self.guard.refuse(reason, "reply", id=request.event.request, state=request.state.value, status=status)
            return
        reply = request.reply
        self._close(request, RequestState.REPLIED)
        if reply is not None:
            reply(status, headers, body)

    def _close(self, request: Request, state: RequestState) -> None:
        request.state, request.reply = state, None
        self._take_back(request)
        self._forget(request)

    def _take_back(self, request: Request) -> None:
        """Nothing of a request goes out once it is over: not on connections that are coming up, either.

        Guards against a second copy that is sent on after the answer, and one whose client has left. The connections
        come up for others.
        """
        for attempt in request.attempts:
            if attempt.unsent():
                attempt.withdraw()

    def _forget(self, request: Request) -> None:
        """Drop a request that is over."""
        if request.ended and not request.out:
            if isinstance(request.body, Body):
                request.body.drop()
            if request.timer is not None:
                request.timer.cancel()
                request.timer = None
            # Dead timers would each wake the process for nothing, which costs more than dropping them.
            for timer in request.timers:
                timer.cancel()
            request.timers.clear()
            self._requests.pop(request.event.request, None)
