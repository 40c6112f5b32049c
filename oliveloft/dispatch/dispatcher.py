"""The request dispatcher: between the sockets and the gateway (`micagate`), which makes all decisions.

It holds the requests and their attempts, passes events to the gateway and executes the actions that this returns. It
makes no decision itself. Every submitted request gets exactly one final reply, at its deadline at the latest.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from micagate import interface
from micagate.gateway import Gateway
from micagate.invariants import (
    AttemptLimits,
    EarlierAttempt,
    Reason,
    RequestState,
    attempt_refusal,
    repeat_deadline,
    reply_refusal,
)
from oliveloft.backend.attempt import Attempt, Response
from oliveloft.backend.pool import ConnectionPool
from oliveloft.bodies.body import Body
from oliveloft.shared_types import BodySource, DiscoveryUpdate, Endpoint, ResponseSink

if TYPE_CHECKING:  # a gatekeeper without a shared counter does not load its client
    from oliveloft.counter.client import CounterClient

log = logging.getLogger("oliveloft")

Reply = Callable[[int, bytes, bytes], None]  # writes a reply: status, header lines, body


class Request:
    """A client's request, held until its final reply is sent and all its attempts have ended."""

    __slots__ = (
        "event",
        "head",
        "body",
        "deadline",
        "reply",
        "attempts",
        "state",
        "in_flight",
        "deadline_timer",
        "gateway_timers",
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
        self.sink = sink  # receiver of a streamed response
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts that have not ended
        self.state = RequestState.PENDING if event.complete else RequestState.ARRIVING
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.gateway_timers: list[asyncio.TimerHandle] = []  # set by the gateway (SetTimer)

    @property
    def is_over(self) -> bool:
        """Whether no final reply is pending any more."""
        return not self.state.awaits_reply

    def is_body_available(self) -> bool:
        """Whether all of the request body that was received is still buffered, so that it could be sent again."""
        return not isinstance(self.body, Body) or self.body.is_replayable


def _earlier_attempt(attempt: Attempt, now: float) -> EarlierAttempt:
    """What the rules for a further attempt need to know of an earlier one."""
    if not isinstance(attempt.body, Body):
        return EarlierAttempt(attempt.started_at, attempt.status)
    ended_at = now if attempt.ended_at is None else attempt.ended_at
    return EarlierAttempt(attempt.started_at, attempt.status, ended_at - attempt.started_at)


class RequestDispatcher:
    """Passes events to the gateway and executes its actions on the connection pool, the counter and the clients.

    `loop` runs the timers, `pool` holds the connections to workers. `counter` is the client of the counter that
    gatekeepers share; without one each CounterAdd is answered as UNREACHABLE.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        gateway: Gateway,
        pool: ConnectionPool,
        counter: CounterClient | None = None,
    ) -> None:
        self._loop, self._settings, self._gateway, self._pool = loop, settings, gateway, pool
        self.guard = pool.guard
        self._classes = {klass.name: klass for klass in settings.classes}
        self._attempt_limits = AttemptLimits(settings.max_attempts, settings.hedging)
        self._requests: dict[str, Request] = {}
        self._counter = counter
        self._events: deque[tuple[interface.Event, str]] = deque()  # pending events, each with its request id or ""
        self._handling = False  # events are being handled further up the stack
        # Called at the start and the end of each attempt during a hot restart.
        self.on_attempt_started: Callable[[str, int], None] | None = None
        self.on_attempt_ended: Callable[[Attempt, interface.Outcome], None] | None = None

    def has_request(self, request_id: str) -> bool:
        """Whether a request with this id is pending or has an attempt in flight."""
        return request_id in self._requests

    def may_run_twice(self, request_id: str) -> bool:
        """Whether a request with this id is in flight, here or at a predecessor, or may have run without an answer."""
        return request_id in self._requests or self._gateway.may_run_twice(self._loop.time(), request_id)

    def submit(
        self,
        event: interface.Request,
        head: bytes,
        body: bytes | Body,
        deadline: float,
        reply: Reply,
        sink: ResponseSink | None = None,
    ) -> Request:
        """Accept a request and pass it to the gateway.

        `reply` is called exactly once, unless the client disconnects before or the response is streamed to `sink`.
        `head` is the request head for the worker, `deadline` a loop time.
        """
        request = self._requests[event.request] = Request(event, head, body, deadline, reply, sink)
        if event.complete:
            request.deadline_timer = self._loop.call_at(deadline, self._deadline_expired, request)
        self._handle_event(event, event.request)
        return request

    def request_complete(self, request: Request) -> None:
        """Start the deadline of a streamed request: its last byte has been received."""
        if request.is_over:
            return
        self.request_sent(request, self._loop.time())
        in_flight = next((attempt for attempt in request.attempts if not attempt.done), None)
        if in_flight is not None:
            in_flight.deadline = request.deadline
            if not in_flight.is_written():
                return  # reported by _request_written instead
        self._notify_request_complete(request)

    def request_sent(self, request: Request, sent_at: float) -> None:
        """Start the deadline of a streamed request, once: its client had sent the last byte at this loop time."""
        if request.is_over or request.deadline_timer is not None:
            return
        request.deadline = sent_at + request.event.time_left
        request.deadline_timer = self._loop.call_at(request.deadline, self._deadline_expired, request)

    def _notify_request_complete(self, request: Request) -> None:
        """Report to the gateway that all of a streamed request is here, once."""
        if request.state is RequestState.ARRIVING:
            request.state = RequestState.PENDING
            self._handle_event(
                interface.RequestComplete(request.event.request, request.is_body_available()), request.event.request
            )

    def _request_written(self, attempt: Attempt) -> None:
        """Restart the time of an attempt: all of a streamed request has been written to its worker."""
        request = self._requests.get(attempt.request)
        if request is not None and not request.is_over and isinstance(request.body, Body) and request.body.is_complete:
            attempt.started_at = self._loop.time()  # a worker starts when it has the last byte
            self._notify_request_complete(request)

    def _response_started(
        self, attempt: Attempt, response: Response, length: int | None, source: BodySource
    ) -> ResponseSink | None:
        """Start a streamed response; return its receiver, or None if the request is over or takes none."""
        request = self._requests[attempt.request]
        sink = request.sink
        if request.is_over or sink is None:
            return None
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()  # the deadline applies to the start of a streamed response only
            request.deadline_timer = None
        request.reply, request.sink, request.state = None, None, RequestState.STREAMING
        self._withdraw_unsent(request)
        name = attempt.request
        attempt.response_started_at = self._loop.time()
        self._handle_event(
            interface.StreamStarted(
                name, attempt.number, attempt.worker, attempt.response_started_at - attempt.started_at
            ),
            name,
        )
        sink.begin(bytes(response.headers), length, source)
        return sink

    def client_disconnected(self, request: Request) -> None:
        """End a request whose client has disconnected; nothing more of it is sent to workers.

        An attempt whose request has arrived at its worker runs to its end. The others are cancelled, and what the
        system still holds of them is dropped: the worker sees an incomplete request and does not run it. The gateway is
        notified first, as it would otherwise retry the attempts that end here.
        """
        if not request.is_over:
            self._close_request(request, RequestState.CLIENT_DISCONNECTED)
            self._handle_event(interface.ClientDisconnected(request.event.request), request.event.request)
        for attempt in request.attempts:
            if not attempt.has_arrived():
                attempt.cancel(interface.CANCELLED)

    def end_all_requests(self) -> None:
        """Give every pending request its final reply now, because the process is about to be killed (SIGKILL).

        Attempts that are written time out; those that are not are withdrawn.
        """
        for name, request in list(self._requests.items()):
            if request.is_over:
                continue
            self._handle_event(interface.StopRetrying(name), name)
            for attempt in list(request.attempts):
                if attempt.is_unsent():
                    attempt.withdraw()
                else:
                    attempt.cancel(interface.TIMED_OUT)
            if not request.is_over:
                self._deadline_expired(request)  # the gateway has not ended the request

    def update_workers(self, update: DiscoveryUpdate) -> None:
        """Apply a discovery update to the connection pool and the gateway."""
        endpoints = list(update.endpoints)
        if not update.is_snapshot:
            endpoints += [
                Endpoint(interface.WorkerEntry(name, state=interface.REMOVED), ("", 0))
                for name in self._pool.replaced_by(endpoints)
            ]
        self._pool.update(endpoints, update.is_snapshot)
        self._handle_event(interface.WorkerList(tuple(e.entry for e in endpoints), whole=update.is_snapshot), "")

    def set_maintenance(self, worker: str, in_maintenance: bool, since: float | None = None) -> bool:
        """Put a worker into maintenance or back in service for an operator; return whether the worker is known.

        With `since` the change was made on another gatekeeper at that time, and applies even if the worker is not
        known here.
        """
        known = False
        for action in self._gateway.handle(self._loop.time(), interface.SetMaintenance(worker, in_maintenance, since)):
            known = known or isinstance(action, interface.MaintenanceResult) and action.known
        if known and in_maintenance:
            self._pool.start_maintenance(worker)
        elif known:
            self._pool.end_maintenance(worker)
        return known

    def handle(self, event: interface.Event) -> None:
        """Pass an event to the gateway that concerns no request held here."""
        self._handle_event(event, "")

    def apply_shares(self, event: interface.ShareUpdate) -> tuple[interface.BucketLevels, ...]:
        """Apply shares that planners have moved; return the bucket levels that were released with them."""
        return next(
            (
                action.bucket_levels
                for action in self._gateway.handle(self._loop.time(), event)
                if isinstance(action, interface.ReleasedLevels)
            ),
            (),
        )

    def demand_report(self, include_workers: bool) -> interface.DemandReport:
        """The demand for each resource since the last report, and with `include_workers` the outcomes by worker."""
        return next(
            (
                action
                for action in self._gateway.handle(self._loop.time(), interface.DemandQuery(include_workers))
                if isinstance(action, interface.DemandReport)
            ),
            interface.DemandReport(()),
        )

    def _handle_event(self, event: interface.Event, request_id: str) -> None:
        """Pass an event to the gateway and execute its actions.

        Events that those actions cause are queued and handled after it, not recursively.
        """
        self._events.append((event, request_id))
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event, request_id = self._events.popleft()
                try:
                    for action in self._gateway.handle(self._loop.time(), event):
                        self._execute(action, request_id)
                except Exception:
                    # An internal error fails only the request that the event concerns. It must not propagate to the
                    # caller, which may be a parser callback that would answer the request a second time.
                    log.exception("internal error while handling %s", type(event).__name__)
                    self._fail_after_fault(request_id)
        finally:
            self._handling = False

    def _fail_after_fault(self, request_id: str) -> None:
        """Reply 500 to a request after an internal error, and end it for the gateway."""
        request = self._requests.get(request_id)
        if request is not None and not request.is_over:
            self._reply(request, 500, b"", b"")
            self._events.append((interface.ClientDisconnected(request_id), request_id))
            for attempt in request.attempts:
                if attempt.connection is None:
                    # It has no connection that would end it, so the request would be held forever.
                    attempt.finish(interface.NOT_SENT)

    def _execute(self, action: interface.Action, request_id: str) -> None:
        """Execute an action of the gateway that an event about `request_id` caused."""
        match action:
            case interface.SetTimer(delay, ref):
                timer = self._loop.call_later(max(0.0, delay), self._timer_fired, ref, request_id)
                if (request := self._requests.get(request_id)) is not None:
                    request.gateway_timers.append(timer)
            case interface.Send(name, worker, within):
                self._send(name, worker, within)
            case interface.Refuse(name, retry_after):
                advice = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0 else b""
                self._reply(self._requests.get(name), 503, advice, b"")
            case interface.Fail(name):
                self._reply(self._requests.get(name), 502, b"", b"")
            case interface.Cancel(name, number):
                request = self._requests.get(name)
                if request is not None and number < len(request.attempts):
                    request.attempts[number].cancel(interface.CANCELLED)
            case interface.CounterAdd():
                if self._counter is not None:
                    self._counter.add(action, self._counter_answered)
                else:
                    self._counter_answered(interface.CounterResult(action.name, interface.UNREACHABLE))
            case (
                interface.Subscribe()
                | interface.DemandReport()
                | interface.ReleasedLevels()
                | interface.MaintenanceResult()
            ):
                pass  # discovery is watched from the start; the others are returned to the caller of handle()

    def _counter_answered(self, result: interface.CounterResult) -> None:
        self._handle_event(result, "")

    def _end_if_client_left(self, request: Request | None) -> None:
        """End a request whose client's close is not reported yet, before an event that may lead to a further attempt.

        While reading from the client is paused, the event loop does not report a close.
        """
        if request is not None and not request.is_over and request.sink is not None and request.sink.peer_closed():
            self.client_disconnected(request)

    def _timer_fired(self, ref: int, request_id: str) -> None:
        self._end_if_client_left(self._requests.get(request_id))
        self._handle_event(interface.TimerFired(ref), request_id)

    def _send(self, name: str, worker: str, within: float) -> None:
        """Start an attempt at a worker, which times out after `within` seconds if that is above 0.

        An attempt that the rules of `micagate.invariants` do not allow ends as NOT_SENT.
        """
        request, now = self._requests.get(name), self._loop.time()
        if request is None:
            log.error("the gateway sent the unknown request %s", name)
            return
        complete = request.state is not RequestState.ARRIVING  # the deadline is set when the request is complete
        deadline = request.deadline if complete else now + request.event.time_left
        refusal = self._attempt_refusal(request, now)
        attempt = Attempt(
            name,
            len(request.attempts),
            worker,
            request.head,
            request.body,
            deadline,
            now,
            self._attempt_ended,
            self._response_started,
            self._request_written,
        )
        request.attempts.append(attempt)
        request.in_flight += 1
        if refusal is not None:
            self.guard.refuse(refusal, "send", id=name, attempt=attempt.number, state=request.state.value)
            attempt.finish(interface.NOT_SENT)
            return
        if (repeat_until := self._repeat_deadline(request, now)) is not None:
            attempt.repeat_until = repeat_until
            attempt.repeat_timer = self._loop.call_at(repeat_until, attempt.give_up_unless_arrived)
        if 0 < within < request.deadline - now:
            attempt.deadline = now + within
            attempt.timer = self._loop.call_later(within, attempt.cancel, interface.TIMED_OUT)
        if self.on_attempt_started is not None:
            self.on_attempt_started(name, attempt.number)
        self._pool.send(attempt)

    def _attempt_refusal(self, request: Request, now: float) -> Reason | None:
        """The reason why a further attempt of a request is not allowed, or None."""
        klass = self._classes[request.event.klass]
        earlier = [_earlier_attempt(attempt, now) for attempt in request.attempts]
        deadline = None if request.state is RequestState.ARRIVING else request.deadline
        return attempt_refusal(request.state, deadline, now, klass.effect, klass.window, earlier, self._attempt_limits)

    def _repeat_deadline(self, request: Request, now: float) -> float | None:
        """The time until which the attempt that was added last has to be written, or None."""
        klass = self._classes[request.event.klass]
        earlier = [_earlier_attempt(attempt, now) for attempt in request.attempts[:-1]]
        return repeat_deadline(klass.effect, klass.window, earlier) if earlier else None

    def _attempt_ended(self, attempt: Attempt, status: str, response: Response | None) -> None:
        """Handle the end of an attempt: reply to the client with the first success, and report to the gateway."""
        attempt.ended_at = self._loop.time()
        request = self._requests[attempt.request]
        request.in_flight -= 1
        if status != interface.SUCCESS:
            self._end_if_client_left(request)
        elif response is not None and not request.is_over:
            self._reply(request, 200, bytes(response.headers), response.body)
        outcome = interface.Outcome(
            request=attempt.request,
            attempt=attempt.number,
            worker=attempt.worker,
            status=status,
            terminal=request.is_over,
            retryable=request.is_body_available(),
            # For a streamed response, the time until its start.
            took=(attempt.response_started_at or self._loop.time()) - attempt.started_at,
            used=response.allowance_used if response is not None else None,
            used_age=self._loop.time() - response.head_received_at if response is not None else 0.0,
        )
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(attempt, outcome)
        self._discard_if_done(request)
        self._handle_event(outcome, attempt.request)

    def _deadline_expired(self, request: Request) -> None:
        """End a request at the client's deadline: its attempts time out, and a pending reply is sent.

        The gateway is notified first. It counts the time of a streamed request from when a worker has all of it, which
        is later than the client's last byte, and would otherwise retry the attempts that end here.
        """
        name = request.event.request
        if not request.is_over:
            self._handle_event(interface.StopRetrying(name), name)
        for attempt in list(request.attempts):
            attempt.cancel(interface.TIMED_OUT)
        if not request.is_over:  # the gateway has not ended the request
            self._reply(request, 504, b"", b"")
            self._handle_event(interface.ClientDisconnected(name), name)

    def _reply(self, request: Request | None, status: int, headers: bytes, body: bytes) -> None:
        """Send the final reply; a second one is refused and counted."""
        if request is None:
            return
        if (reason := reply_refusal(request.state)) is not None:
            self.guard.refuse(reason, "reply", id=request.event.request, state=request.state.value, status=status)
            return
        reply = request.reply
        self._close_request(request, RequestState.REPLIED)
        if reply is not None:
            reply(status, headers, body)

    def _close_request(self, request: Request, state: RequestState) -> None:
        """End a request in a final state."""
        request.state, request.reply = state, None
        self._withdraw_unsent(request)
        if isinstance(request.body, bytes):
            request.body = b""
            for attempt in request.attempts:
                attempt.release_body()
        self._discard_if_done(request)

    def _withdraw_unsent(self, request: Request) -> None:
        """Withdraw the attempts of a request that still wait for a connection.

        Otherwise a hedge could be sent after the reply, or a request after its client has disconnected. The connections
        are still established, for later attempts.
        """
        for attempt in request.attempts:
            if attempt.is_unsent():
                attempt.withdraw()

    def _discard_if_done(self, request: Request) -> None:
        """Release a request that is over and has no attempt in flight."""
        if request.is_over and not request.in_flight:
            if isinstance(request.body, Body):
                request.body.drop()
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
                request.deadline_timer = None
            # Stale timers would each wake the process, which costs more than cancelling them.
            for timer in request.gateway_timers:
                timer.cancel()
            request.gateway_timers.clear()
            self._requests.pop(request.event.request, None)
