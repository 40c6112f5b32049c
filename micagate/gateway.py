"""Decides about each request of a gateway: admission, worker, retries, hedges and the final response.

Admission checks in this order: the customer's quota and ceiling, whether a worker is available, the leaky bucket that
limits the request rate under overload control, and whether the workers are likely to respond in time. `Gateway.handle`
then tracks the request's attempts until it ends, exactly once.
Settings, events and actions are defined in `micagate/interface.py`. The module does no I/O and reads no clock: the
caller passes the time with each event and carries out the returned actions.
"""

from __future__ import annotations

from random import Random

from micagate import interface
from micagate.counting.counting import CounterVerdict, QuotaCounter
from micagate.demand_reports import worker_demand, worker_loads
from micagate.estimates.waits import FirstRequestWaits
from micagate.fleet import STALL_FACTOR, Fleet
from micagate.operating.maintenance import Maintenance
from micagate.pending import Attempt, Pending
from micagate.quotas import Quotas
from micagate.refunds import release_request
from micagate.share_transfers import apply_share_update
from micagate.shares import Shares
from micagate.throttle import Throttle
from micagate.unanswered import UnansweredRequests

# The retry budget: further attempts that each new request adds to it, and the most that it can hold.
RETRY_BUDGET_PER_REQUEST, RETRY_BUDGET_CAPACITY = 0.2, 10.0
MIN_CLASS_SHARE = 0.5  # share of the overload thresholds that a class of almost no importance still has
RETRY_AFTER_AIM_FRACTION = 0.2  # longest `retry_after` of a refusal, as a fraction of the class's latency objective
MEAN_DURATION_WEIGHT = 0.03  # weight of a new attempt in the mean duration of all customers' attempts


class Gateway:
    """The decisions of one gateway: `handle` turns each event into the actions that the caller carries out.

    `seed` makes random choices reproducible. `now` is the caller's monotonic time in seconds, and `clock_offset` is
    added to it to get a time that all gateways share, for the names on the shared counter.
    """

    def __init__(self, settings: interface.Settings, seed: int, now: float, clock_offset: float = 0.0) -> None:
        self._settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        max_importance = max((c.importance for c in settings.classes), default=1.0)
        # The share of the leaky bucket's size and of the limit on late attempts that each class may use under
        # overload control. Less important classes have a smaller one, so that the capacity goes to the most
        # important requests within the quotas (RFC 7415, 3.5.2: thresholds by priority). Trade-off: while
        # high-value classes use all capacity, low-value ones are refused entirely.
        self._class_shares = {
            c.name: MIN_CLASS_SHARE + (1 - MIN_CLASS_SHARE) * c.importance / max_importance for c in settings.classes
        }
        self._random = Random(seed)
        self.throttle = Throttle(now, len(settings.plans))
        shares = Shares()
        self.quotas = Quotas(now, shares, settings.max_accounts, str(seed), settings.meter_period)
        self.fleet = Fleet(settings, self._random, now, shares)
        self.maintenance = Maintenance()
        self.counting = QuotaCounter(settings, now, clock_offset, self._random)
        self._awaiting_counter: dict[str, Pending] = {}  # by request, not sent until the shared counter responds
        self._pending: dict[str, Pending] = {}  # by request, sent to a worker and without a final response yet
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request and number of the attempt, from 0
        self._timers: dict[int, tuple[str, str, int]] = {}  # by ref: kind of timer, request, number of the attempt
        self._last_timer_ref = 0
        self.waits = FirstRequestWaits(settings.classes)
        self.retry_budget = RETRY_BUDGET_CAPACITY
        self._subscribed = not settings.requires_subscription
        self.unanswered = UnansweredRequests()
        self._actions: list[interface.Action] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Process an event that occurred at `now` and return the resulting actions."""
        self._actions = []
        match event:
            case interface.Request():
                self._on_request(now, event)
            case interface.Outcome():
                self._on_outcome(now, event)
            case interface.TimerFired(ref):
                self._on_timer(now, *self._timers.pop(ref, ("", "", 0)))
            case interface.WorkerList():
                self._on_worker_list(now, event)
            case interface.RequestComplete(request, retryable):
                self._on_request_complete(now, request, retryable)
            case interface.SetMaintenance():
                self._on_set_maintenance(now, event)
            case interface.StreamStarted(request, number):
                self._on_stream_started(now, request, number, event.took)
            case interface.ClientDisconnected(request):
                self._awaiting_counter.pop(request, None)
                self._remove_pending(request)
            case interface.StopRetrying(request):
                self._on_stop_retrying(now, request)
            case interface.CounterResult():
                if (verdict := self.counting.record_result(now, event)) is not None:
                    self._on_counter_verdict(now, verdict)
            case interface.ShareUpdate():
                if released := apply_share_update(self.quotas, now, event, self.plans):
                    self._actions.append(interface.ReleasedLevels(tuple(released)))
            case interface.DemandQuery():
                worker_resources = worker_demand(now, self.fleet, self.quotas.shares, self._settings.gateways)
                resources = (*self.quotas.demand_report(), *worker_resources)
                self._actions.append(
                    interface.DemandReport(
                        resources, tuple(worker_loads(now, self.fleet)) if event.include_workers else ()
                    )
                )
        if self.counting.actions:
            self._actions += self.counting.actions
            self.counting.actions.clear()
        return self._actions

    def may_run_twice(self, now: float, request: str) -> bool:
        """Return whether a request with this id has a first attempt in flight, or may have run for a client that left.

        The attempt may be one of this process's predecessor.
        """
        return (request, 0) in self.in_flight or self.unanswered.may_have_run(now, request)

    def _on_worker_list(self, now: float, event: interface.WorkerList) -> None:
        """Apply a discovery update, and subscribe to further ones if that is required and not done or has failed."""
        if not event.failed:
            self.fleet.update(now, self.maintenance.apply_update(event))
            self.throttle.set_workers(self.fleet.subset.reachable_count, self.fleet.subset.is_partial)
        if self._settings.requires_subscription and (event.failed or not self._subscribed):
            self._subscribed = True
            if event.failed:  # retry after a delay: the discovery service may be overloaded
                self._set_timer(1.0 + self._random.random(), "subscribe", "", 0)
            else:
                self._actions.append(interface.Subscribe())

    def _on_set_maintenance(self, now: float, event: interface.SetMaintenance) -> None:
        """Take a worker out of service for maintenance, or put it back."""
        apply_change = self.maintenance.take_out if event.out_of_service else self.maintenance.bring_back
        if (update := apply_change(now, event.worker, event.since)) is not None:
            self.fleet.update(now, update)
            if not event.out_of_service and update.entries:
                self.fleet.restored_at[event.worker] = now
        self._actions.append(interface.MaintenanceResult(event.worker, update is not None))

    def _on_request(self, now: float, event: interface.Request) -> None:
        """Admit a request and send its first attempt, ask the shared counter about it, or refuse it."""
        klass, plan = self.classes.get(event.klass), self.plans.get(event.plan)
        if klass is None or plan is None or event.time_left <= self._settings.tick:
            self._actions.append(interface.Refuse(event.request, 0.0))
            return
        account = self.quotas.account(now, event.customer, plan, event.gateway_count)
        self.quotas.record_demand(account, event)
        pending = Pending(event, klass, account, now + event.time_left)
        on_counter = self.counting.should_count(now, account, event.first_gateway)
        pending.within_quota = not (on_counter and now < account.ceiling_full_until) and self.quotas.is_within_quota(
            account, event.units, self.throttle.active, on_counter
        )
        if not event.client_retry:
            self.waits.record_first(klass, event.time_left)
        self.retry_budget = min(RETRY_BUDGET_CAPACITY, self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        # Beyond the quota only if that earns more than it costs, and never under overload control.
        acceptable = pending.within_quota or (plan.excess_revenue > plan.excess_cost and not self.throttle.active)
        acceptable = acceptable and not (event.client_retry and self.waits.is_too_late(klass, event.time_left))
        if (
            not acceptable
            or not on_counter
            and not self.quotas.ceiling_allows(account, event.units, not pending.within_quota)
        ):
            self._refuse(event.request, klass.aim)
            return
        worker = self.fleet.pick(now, klass, set())
        class_share = self._class_shares[klass.name] if self.throttle.active else 1.0
        if worker is not None and not self.throttle.admit(now, class_share):
            worker = None
        if worker is not None and self.fleet.is_overloaded(now, account.quota_headroom(), class_share):
            self.throttle.record_signal(now, worker, plan.name, now)
            worker = None
        if worker is None:
            self._refuse(event.request, klass.aim)
            return
        if on_counter:
            self._awaiting_counter[event.request] = pending
            self.counting.count(now, account, event.units, event.request)
        else:
            self._send_first_attempt(now, pending, worker)

    def _on_counter_verdict(self, now: float, verdict: CounterVerdict) -> None:
        """Send or refuse a request that waited for the shared counter's verdict.

        `verdict.within_quota` is None if the counter gave no answer; the gateway's local share decides then.
        """
        pending = self._awaiting_counter.pop(verdict.call.request, None)
        worker = None
        if pending is not None:
            worker, pending.within_quota = self.fleet.pick(now, pending.klass, set()), verdict.within_quota is True
            if verdict.within_quota is None:
                account, units = pending.account, pending.request.units
                pending.within_quota = self.quotas.is_within_quota(
                    account, units, self.throttle.active
                ) and self.quotas.ceiling_allows(account, units, False)
            if worker is not None and pending.within_quota:
                pending.counter_call, verdict.call.sent = verdict.call, True
                return self._send_first_attempt(now, pending, worker, verdict.within_quota is True)
            self._refuse(pending.request.request, pending.klass.aim)
        if verdict.within_quota:
            self.counting.refund(verdict.call)

    def _send_first_attempt(self, now: float, pending: Pending, worker: str, on_counter: bool = False) -> None:
        """Charge a request's units and send it; `on_counter`: the shared counter has counted it."""
        name, account = pending.request.request, pending.account
        pending.on_counter = on_counter
        self.quotas.spend(account, pending.request.units, pending.within_quota, on_counter, pending.complete)
        self._pending[name] = pending
        self._send_attempt(now, pending, worker)
        if pending.complete:
            pending.timer = self._set_timer(pending.deadline - now - self._settings.tick, "deadline", name, 0)

    def _refuse(self, request: str, aim: float) -> None:
        """Refuse a request, with a `retry_after` short enough for several client retries within the objective `aim`.

        Retries after that would spend units on responses that come too late.
        """
        retry_after = min(self._settings.max_retry_after, RETRY_AFTER_AIM_FRACTION * aim) * (
            0.5 + 0.5 * self._random.random()
        )
        self._actions.append(interface.Refuse(request, retry_after))

    def _send_attempt(self, now: float, pending: Pending, worker: str) -> None:
        """Send an attempt to a worker; its timers start when the request is complete."""
        name, number, klass = pending.request.request, len(pending.attempts), pending.klass
        attempt = Attempt(self.fleet.workers[worker].entry, klass, now, pending)
        pending.attempts.append(attempt)
        pending.account.in_flight += 1
        self.in_flight[name, number] = attempt
        self._actions.append(interface.Send(name, worker))
        if pending.complete:
            self._record_attempt_start(now, pending, number)

    def _on_request_complete(self, now: float, name: str, retryable: bool) -> None:
        """Start the deadline of a request, and the clock of its attempt in flight, when its last byte has arrived.

        Measured from the first byte, a slow upload would look like a slow worker.
        """
        pending = self._pending.get(name) or self._awaiting_counter.get(name)
        if pending is None or pending.complete:
            return
        pending.complete, pending.retryable, pending.deadline = True, retryable, now + pending.request.time_left
        if not pending.attempts:
            return
        self.quotas.record_arrival(now, pending.account, pending.request.units)
        pending.timer = self._set_timer(pending.request.time_left - self._settings.tick, "deadline", name, 0)
        number = len(pending.attempts) - 1
        if not pending.attempts[number].status:
            pending.attempts[number].sent_at = now
            self._record_attempt_start(now, pending, number)

    def _record_attempt_start(self, now: float, pending: Pending, number: int) -> None:
        """Record that a worker is sent the whole request, and set the attempt's latency and hedge timers."""
        name, attempt, klass = pending.request.request, pending.attempts[number], pending.klass
        if attempt.worker in self.fleet.workers:
            self.fleet.record_sent(now, attempt.worker, (name, number), klass)
        attempt.timers.append(self._set_timer(klass.aim, "aim", name, number))
        if pending.retryable and number + 1 < self._settings.max_attempts and klass.effect != interface.SIDE_EFFECT:
            attempt.timers.append(self._set_timer(self._stall_threshold(klass), "hedge", name, number))

    def _stall_threshold(self, klass: interface.RequestClass) -> float:
        """Return how many seconds an attempt may be in flight before it counts as unusually long."""
        return min(STALL_FACTOR * self.fleet.usual_latency(klass), klass.aim / 2)

    def _on_stop_retrying(self, now: float, name: str) -> None:
        """Stop retrying a request because the gateway shuts down.

        If it still waits for the shared counter it is refused; otherwise the outcome of its attempt ends it.
        """
        if (waiting := self._awaiting_counter.pop(name, None)) is not None:
            self._refuse(name, waiting.klass.aim)
        elif (pending := self._pending.get(name)) is not None:
            pending.deadline = now

    def _remove_pending(self, name: str) -> Pending | None:
        """Remove a request that has ended and return it, or return None if it was not pending.

        Its deadline timer is removed as well: the caller may drop timers of ended requests, so it may never fire.
        """
        pending = self._pending.pop(name, None)
        if pending is not None:
            self._timers.pop(pending.timer, None)
        return pending

    def _set_timer(self, delay: float, kind: str, name: str, number: int) -> int:
        """Ask the caller for a timer and return its ref. `kind` is "aim", "hedge", "deadline" or "subscribe"."""
        self._last_timer_ref += 1
        self._timers[self._last_timer_ref] = (kind, name, number)
        self._actions.append(interface.SetTimer(max(0.0, delay), self._last_timer_ref))
        return self._last_timer_ref

    def _on_timer(self, now: float, kind: str, name: str, number: int) -> None:
        """Handle a timer: an attempt passed its latency objective or is unusually long, or a deadline has come."""
        attempt, pending = self.in_flight.get((name, number)), self._pending.get(name)
        if kind == "subscribe":
            self._actions.append(interface.Subscribe())
        elif kind == "aim" and attempt is not None and not attempt.overload_signalled:
            attempt.overload_signalled = True
            self.fleet.record_overdue(now, (name, number))
            if later_attempt_answered := self.fleet.has_answered_later(attempt.worker, attempt.sent_at):
                self.fleet.tails.record_missed(now)
                # The response was sent and got lost: the customer's concurrency slot is free.
                attempt.release_slot()
            if later_attempt_answered or attempt.klass.effect == interface.SIDE_EFFECT:
                self.fleet.record_no_response(now, attempt.worker, attempt.klass)
            worker_loses_class = self.fleet.loses_class(now, attempt.worker, attempt.klass)
            if not worker_loses_class and not self.fleet.recent.indicates_losses():
                self.throttle.record_signal(now, attempt.worker, attempt.account.plan.name, attempt.sent_at)
        elif kind == "deadline" and pending is not None and not pending.streaming:
            self._end_without_response(pending)
        elif kind == "hedge" and attempt is not None and pending is not None and not pending.streaming:
            # If no attempt sent later was answered, the worker may just have a queue or a pause.
            if self.fleet.has_answered_later(attempt.worker, attempt.sent_at):
                self.fleet.record_no_response(now, attempt.worker, attempt.klass)
                if self.fleet.tails.is_likely_lost():
                    attempt.release_slot()
            self._hedge_or_cancel(now, pending, number)

    def _hedge_or_cancel(self, now: float, pending: Pending, number: int) -> None:
        """Hedge an attempt that is in flight for unusually long, or cancel it so that its outcome leads to a retry.

        This covers hung, unreachable and lost workers before a timeout reveals them. Trade-off: work is done twice,
        since a cancel need not stop it. So an attempt is cancelled only if most of the recent attempts that took this
        long were lost rather than just slow, and the retry budget bounds hedges. Overload control disables both,
        except at a worker that loses responses of this class.
        """
        if self.throttle.active and not self.fleet.loses_class(now, pending.attempts[number].worker, pending.klass):
            return
        if pending.deadline - now < self.fleet.usual_latency(pending.klass):
            return
        if self._settings.hedging:
            self._send_further_attempt(now, pending)
        elif (
            pending.klass.effect == interface.PURE
            and self._settings.can_cancel
            and self.retry_budget >= 1
            and self.fleet.tails.is_likely_lost()
        ):
            # The outcome of the cancelled attempt is followed by a retry.
            self._actions.append(interface.Cancel(pending.request.request, number))

    def _on_stream_started(self, now: float, name: str, number: int, took: float) -> None:
        """Take the time to the first byte as the attempt's latency; a begun stream is neither ended nor hedged."""
        pending, attempt = self._pending.get(name), self.in_flight.get((name, number))
        if attempt is not None:
            self._signal_if_late(now, attempt, took)
            self.fleet.record_response_start(now, attempt.worker, (name, number))
            attempt.overload_signalled = True  # from here the duration is the stream's length, not a sign of load
        if pending is not None:
            pending.streaming = True

    def _signal_if_late(self, now: float, attempt: Attempt, took: float) -> None:
        """Record an overload signal for a response after the latency objective, once for each attempt."""
        if took > attempt.klass.aim and not attempt.overload_signalled:
            self.throttle.record_signal(now, attempt.worker, attempt.account.plan.name, attempt.sent_at)

    def _on_outcome(self, now: float, event: interface.Outcome) -> None:
        """Record an attempt's outcome; then end its request, send a further attempt, or wait for another in flight."""
        key = (event.request, event.attempt)
        attempt, pending = self.in_flight.pop(key, None), self._pending.get(event.request)
        if attempt is None:
            return  # a late or duplicate outcome
        for ref in attempt.timers:
            self._timers.pop(ref, None)
        attempt.status, attempt.ended_at = event.status, now
        attempt.finish(event.took)
        self.quotas.mean_duration += (event.took - self.quotas.mean_duration) * (
            MEAN_DURATION_WEIGHT if self.quotas.mean_duration else 1.0
        )
        if event.used is not None:
            attempt.account.record_reading(now, event.used, self.quotas.meter, event.used_age)
        self.fleet.record_outcome(now, attempt.worker, key, attempt.klass, event.status, event.took)
        if event.status == interface.SUCCESS and event.took > self._stall_threshold(attempt.klass):
            self.fleet.tails.record_response(now, event.took > attempt.klass.aim)
        if event.status in (interface.OVERLOADED, interface.TIMED_OUT):
            if not attempt.overload_signalled and (
                event.status == interface.OVERLOADED or not self.fleet.recent.indicates_losses()
            ):
                self.throttle.record_signal(now, attempt.worker, attempt.account.plan.name, attempt.sent_at)
        elif attempt.pending.complete:  # else the duration is that of the client's upload
            self._signal_if_late(now, attempt, event.took)
        if pending is None:
            if attempt.klass.effect == interface.SIDE_EFFECT and event.status not in interface.NOT_EXECUTED_STATUSES:
                self.unanswered.record(now, event.request)  # its client has left, or belongs to another process
            release_request(self.counting, attempt.pending, self._pending)
            return
        if (
            event.status == interface.SUCCESS
            and event.final_units
            and pending.within_quota
            and pending.account.plan.rate
        ):
            pending.account.balance += pending.request.units - event.final_units
        if event.terminal or event.status == interface.SUCCESS:
            self._remove_pending(event.request)
            if self._settings.can_cancel:
                for number, other in enumerate(pending.attempts):
                    if not other.status:
                        self._actions.append(interface.Cancel(event.request, number))
        elif any(not other.status for other in pending.attempts):
            pass  # another attempt is still in flight
        elif (
            not event.retryable
            or now >= pending.deadline - self._settings.tick
            or not self._send_further_attempt(now, pending)
        ):
            self._end_without_response(pending)
        release_request(self.counting, attempt.pending, self._pending)

    def _send_further_attempt(self, now: float, pending: Pending) -> bool:
        """Send a retry or a hedge and return True, or return False if that is not allowed.

        The class's effect, group and window, the retry budget, the state of the workers and the leaky bucket decide.
        """
        klass, zone, cell = pending.klass, None, None
        # The first attempt that may have executed; those in flight count as well.
        possibly_executed = next((a for a in pending.attempts if a.status not in interface.NOT_EXECUTED_STATUSES), None)
        if possibly_executed is not None:
            if klass.effect == interface.SIDE_EFFECT:
                return False
            if klass.effect == interface.TOKEN:
                # The last byte has to arrive within the window; this body takes as long as it took before.
                window_end = possibly_executed.sent_at + klass.window - self._settings.tick
                if now + possibly_executed.arrival_seconds(now) > window_end:
                    return False
                zone = possibly_executed.zone if klass.group == "zone" else None
                cell = possibly_executed.cell if klass.group == "cell" else None
        # An attempt that did not connect cost the workers nothing, and when a zone is lost a third of all attempts
        # end this way, more than the retry budget allows for.
        exempt_from_budget = self.fleet.subset.is_partial and pending.attempts[-1].status == interface.UNREACHABLE
        if len(pending.attempts) >= self._settings.max_attempts or self.retry_budget < 1 and not exempt_from_budget:
            return False
        worker = self.fleet.pick(now, klass, {a.worker for a in pending.attempts}, zone, cell)
        class_share = self._class_shares[klass.name] if self.throttle.active else 1.0
        if worker is None or self.fleet.is_overloaded(now, pending.account.quota_headroom(), class_share):
            return False
        if not self.throttle.admit(now, class_share):
            return False
        self.retry_budget -= not exempt_from_budget
        self._send_attempt(now, pending, worker)
        return True

    def _end_without_response(self, pending: Pending) -> None:
        """End a request without a worker's response: refuse it if no attempt can have executed, else fail it."""
        name = pending.request.request
        if self._remove_pending(name) is None:
            return
        if all(a.status in interface.NOT_EXECUTED_STATUSES for a in pending.attempts):
            self._refuse(name, pending.klass.aim)
        else:
            self._actions.append(interface.Fail(name))
