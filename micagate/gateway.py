"""One gateway: a request meets its quota and ceiling, the choice of a worker, then the leaky bucket.

`Gateway.handle` owns a request's life after that: attempts, their repeats and its one end. Settings, events
and actions are in `micagate/interface.py`. Pure: no I/O, no clock.
"""

from __future__ import annotations

from random import Random

from micagate import interface
from micagate.counting.counting import Counting, Verdict
from micagate.demand_reports import worker_demand, worker_loads
from micagate.estimates.waits import Waits
from micagate.fleet import STALL, Fleet
from micagate.operating.maintenance import Maintenance
from micagate.pending import Attempt, Pending
from micagate.quotas import Quotas
from micagate.refunds import settle
from micagate.share_transfers import apply_share_update
from micagate.shares import Shares
from micagate.throttle import Throttle

RETRY_SHARE, RETRY_DEPTH = 0.2, 10.0  # retry budget: further attempts per first try, and how many it saves up
CHEAP = 0.5  # of the bounds under pressure: what a class has that is worth next to nothing (ours)
ADVICE = 0.2  # of the aim: the longest wait that a refusal advises
EACH = 0.03  # weight of an attempt in how long all are out on average


class Gateway:
    """One gateway: `handle` turns an event into actions."""

    def __init__(self, settings: interface.Settings, seed: int, now: float, offset: float = 0.0) -> None:
        self._s = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        top = max((c.importance for c in settings.classes), default=1.0)
        # What each class has of the bucket and of the latecomers' bar under control: less where it is worth
        # less, so that the room goes to what is worth most inside the quotas (RFC 7415, 3.5.2: thresholds by
        # priority). Harm: as long as dear classes fill the room, cheap ones are all refused.
        self._part = {c.name: CHEAP + (1 - CHEAP) * c.importance / top for c in settings.classes}
        self._random = Random(seed)
        self.throttle = Throttle(now, len(settings.plans))
        shares = Shares()
        self.quotas = Quotas(now, shares, settings.max_accounts, str(seed), settings.meter_period)
        self.fleet = Fleet(settings, self._random, now, shares)
        self.maintenance = Maintenance()
        self.counting = Counting(settings, now, offset, self._random)
        self._held: dict[str, Pending] = {}  # tries that wait for their count
        self._pending: dict[str, Pending] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}
        self._timers: dict[int, tuple[str, str, int]] = {}
        self._refs = 0
        self.waits = Waits(settings.classes)
        self.retry_budget = RETRY_DEPTH
        self._subscribed = not settings.requires_subscription
        self._actions: list[interface.Action] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """The actions that an event calls for."""
        self._actions = []
        match event:
            case interface.Request():
                self._request(now, event)
            case interface.Outcome():
                self._outcome(now, event)
            case interface.TimerFired(ref):
                self._timer(now, *self._timers.pop(ref, ("", "", 0)))
            case interface.WorkerList():
                self._list(now, event)
            case interface.RequestComplete(request, kept):
                self._whole(now, request, kept)
            case interface.SetMaintenance():
                self._maintain(now, event)
            case interface.StreamStarted(request, number):
                self._started(now, request, number, event.took)
            case interface.ClientDisconnected(request):
                self._held.pop(request, None)
                self._over(request)
            case interface.StopRetrying(request):
                self._ending(now, request)
            case interface.CounterResult():
                if (verdict := self.counting.answered(now, event)) is not None:
                    self._counted(now, verdict)
            case interface.ShareUpdate():
                if freed := apply_share_update(self.quotas, now, event, self.plans):
                    self._actions.append(interface.ReleasedLevels(tuple(freed)))
            case interface.DemandQuery():
                seen = worker_demand(now, self.fleet, self.quotas.shares, self._s.gateways)
                tallies = (*self.quotas.demand_report(), *seen)
                self._actions.append(
                    interface.DemandReport(
                        tallies, tuple(worker_loads(now, self.fleet)) if event.include_workers else ()
                    )
                )
        if self.counting.actions:
            self._actions += self.counting.actions
            self.counting.actions.clear()
        return self._actions

    def _list(self, now: float, event: interface.WorkerList) -> None:
        if not event.failed:
            self.fleet.update(now, self.maintenance.follow(event))
            self.throttle.set_workers(self.fleet.subset.reachable_count, self.fleet.subset.is_partial)
        if self._s.requires_subscription and (event.failed or not self._subscribed):
            self._subscribed = True
            if event.failed:  # ask again a little later: the list's service may be drowning
                self._set_timer(1.0 + self._random.random(), "subscribe", "", 0)
            else:
                self._actions.append(interface.Subscribe())

    def _maintain(self, now: float, event: interface.SetMaintenance) -> None:
        change = self.maintenance.out if event.out_of_service else self.maintenance.online
        if (news := change(now, event.worker, event.since)) is not None:
            self.fleet.update(now, news)
            if not event.out_of_service and news.entries:
                self.fleet.restored_at[event.worker] = now
        self._actions.append(interface.MaintenanceResult(event.worker, news is not None))

    def _request(self, now: float, event: interface.Request) -> None:
        klass, plan = self.classes.get(event.klass), self.plans.get(event.plan)
        if klass is None or plan is None or event.time_left <= self._s.tick:
            self._actions.append(interface.Refuse(event.request, 0.0))
            return
        account = self.quotas.account(now, event.customer, plan, event.gateway_count)
        self.quotas.record_demand(account, event)
        pending = Pending(event, klass, account, now + event.time_left)
        counts = self.counting.counts(now, account, event.first_gateway)
        pending.within_quota = not (counts and now < account.ceiling_full_until) and self.quotas.is_within_quota(
            account, event.units, self.throttle.active, counts
        )
        if not event.client_retry:
            self.waits.first(klass, event.time_left)
        self.retry_budget = min(RETRY_DEPTH, self.retry_budget + RETRY_SHARE)
        # Beyond the quota only where that pays, and never while the back end is pressed.
        welcome = pending.within_quota or (plan.excess_revenue > plan.excess_cost and not self.throttle.active)
        welcome = welcome and not (event.client_retry and self.waits.too_late(klass, event.time_left))
        if not welcome or not counts and not self.quotas.ceiling_allows(account, event.units, not pending.within_quota):
            self._refuse(event.request, klass.aim)
            return
        worker = self.fleet.pick(now, klass, set())
        part = self._part[klass.name] if self.throttle.active else 1.0
        if worker is not None and not self.throttle.admit(now, part):
            worker = None
        if worker is not None and self.fleet.is_overloaded(now, account.quota_headroom(), part):
            self.throttle.record_signal(now, worker, plan.name, now)
            worker = None
        if worker is None:
            self._refuse(event.request, klass.aim)
            return
        if counts:
            self._held[event.request] = pending
            self.counting.ask(now, account, event.units, event.request)
        else:
            self._first(now, pending, worker)

    def _counted(self, now: float, verdict: Verdict) -> None:
        """The count of a try that waited for it."""
        pending = self._held.pop(verdict.call.request, None)
        worker = None
        if pending is not None:
            worker, pending.within_quota = self.fleet.pick(now, pending.klass, set()), verdict.inside is True
            if verdict.inside is None:
                account, units = pending.account, pending.request.units
                pending.within_quota = self.quotas.is_within_quota(
                    account, units, self.throttle.active
                ) and self.quotas.ceiling_allows(account, units, False)
            if worker is not None and pending.within_quota:
                pending.counter_call, verdict.call.sent = verdict.call, True
                return self._first(now, pending, worker, verdict.inside is True)
            self._refuse(pending.request.request, pending.klass.aim)
        if verdict.inside:
            self.counting.give_back(verdict.call)

    def _first(self, now: float, pending: Pending, worker: str, counted: bool = False) -> None:
        name, account = pending.request.request, pending.account
        pending.on_counter = counted
        self.quotas.spend(account, pending.request.units, pending.within_quota, counted, pending.complete)
        self._pending[name] = pending
        self._send(now, pending, worker)
        if pending.complete:
            pending.timer = self._set_timer(pending.deadline - now - self._s.tick, "deadline", name, 0)

    def _refuse(self, request: str, aim: float) -> None:
        """Refuse with advice that leaves several tries before the aim: later ones spend units for nothing."""
        advice = min(self._s.max_retry_after, ADVICE * aim) * (0.5 + 0.5 * self._random.random())
        self._actions.append(interface.Refuse(request, advice))

    def _send(self, now: float, pending: Pending, worker: str) -> None:
        name, number, klass = pending.request.request, len(pending.attempts), pending.klass
        attempt = Attempt(self.fleet.workers[worker].entry, klass, now, pending)
        pending.attempts.append(attempt)
        pending.account.in_flight += 1
        self.in_flight[name, number] = attempt
        self._actions.append(interface.Send(name, worker))
        if pending.complete:
            self._began(now, pending, number)

    def _whole(self, now: float, name: str, kept: bool) -> None:
        """The last byte of a request has come: its time, and that of the attempt that is out, begin here.

        What comes slowly would look like a worker that is slow.
        """
        pending = self._pending.get(name) or self._held.get(name)
        if pending is None or pending.complete:
            return
        pending.complete, pending.retryable, pending.deadline = True, kept, now + pending.request.time_left
        if not pending.attempts:
            return
        self.quotas.record_arrival(now, pending.account, pending.request.units)
        pending.timer = self._set_timer(pending.request.time_left - self._s.tick, "deadline", name, 0)
        number = len(pending.attempts) - 1
        if not pending.attempts[number].status:
            pending.attempts[number].sent_at = now
            self._began(now, pending, number)

    def _began(self, now: float, pending: Pending, number: int) -> None:
        """An attempt is out: a worker has all of it."""
        name, attempt, klass = pending.request.request, pending.attempts[number], pending.klass
        if attempt.worker in self.fleet.workers:
            self.fleet.record_sent(now, attempt.worker, (name, number), klass)
        attempt.timers.append(self._set_timer(klass.aim, "aim", name, number))
        if pending.retryable and number + 1 < self._s.max_attempts and klass.effect != interface.SIDE_EFFECT:
            attempt.timers.append(self._set_timer(self._silence(klass), "hedge", name, number))

    def _silence(self, klass: interface.RequestClass) -> float:
        """How long an attempt may be out before its silence is unusual."""
        return min(STALL * self.fleet.usual_latency(klass), klass.aim / 2)

    def _ending(self, now: float, name: str) -> None:
        """The gateway ends: what waits for its count is refused, and what is out ends with its outcome."""
        if (held := self._held.pop(name, None)) is not None:
            self._refuse(name, held.klass.aim)
        elif (pending := self._pending.get(name)) is not None:
            pending.deadline = now

    def _over(self, name: str) -> Pending | None:
        """Forget a request that has ended, and its timer: callers may drop timers that nothing waits for."""
        pending = self._pending.pop(name, None)
        if pending is not None:
            self._timers.pop(pending.timer, None)
        return pending

    def _set_timer(self, delay: float, kind: str, name: str, number: int) -> int:
        self._refs += 1
        self._timers[self._refs] = (kind, name, number)
        self._actions.append(interface.SetTimer(max(0.0, delay), self._refs))
        return self._refs

    def _timer(self, now: float, kind: str, name: str, number: int) -> None:
        attempt, pending = self.in_flight.get((name, number)), self._pending.get(name)
        if kind == "subscribe":
            self._actions.append(interface.Subscribe())
        elif kind == "aim" and attempt is not None and not attempt.overload_signalled:
            attempt.overload_signalled = True
            self.fleet.record_overdue(now, (name, number))
            if overtaken := self.fleet.has_answered_later(attempt.worker, attempt.sent_at):
                self.fleet.tails.missed(now)
                attempt.release_slot()  # its answer was written and got lost: the customer's place is free
            if overtaken or attempt.klass.effect == interface.SIDE_EFFECT:
                self.fleet.record_no_response(now, attempt.worker, attempt.klass)
            lost = self.fleet.loses_class(now, attempt.worker, attempt.klass)
            if not lost and not self.fleet.recent.lossy():
                self.throttle.record_signal(now, attempt.worker, attempt.account.plan.name, attempt.sent_at)
        elif kind == "deadline" and pending is not None and not pending.streaming:
            self._end(pending)
        elif kind == "hedge" and attempt is not None and pending is not None and not pending.streaming:
            if self.fleet.has_answered_later(attempt.worker, attempt.sent_at):  # else it may be a queue or a pause
                self.fleet.record_no_response(now, attempt.worker, attempt.klass)
                if self.fleet.tails.lost():
                    attempt.release_slot()
            self._hedge(now, pending, number)

    def _hedge(self, now: float, pending: Pending, number: int) -> None:
        """A second chance for an attempt that is out well beyond the usual, while the back end isn't pressed.

        Guards against hung, cut off and lost workers, before any time-out tells of them. Harm: work done
        twice, which a cancel need not stop: so only where what is silent for so long was mostly lost lately,
        not long; the retry budget bounds it, and control switches it off but where a worker loses answers.
        """
        if self.throttle.active and not self.fleet.loses_class(now, pending.attempts[number].worker, pending.klass):
            return
        if pending.deadline - now < self.fleet.usual_latency(pending.klass):
            return
        if self._s.hedging:
            self._again(now, pending)
        elif (
            pending.klass.effect == interface.PURE
            and self._s.can_cancel
            and self.retry_budget >= 1
            and self.fleet.tails.lost()
        ):
            self._actions.append(interface.Cancel(pending.request.request, number))  # its outcome sends it again

    def _started(self, now: float, name: str, number: int, took: float) -> None:
        pending, attempt = self._pending.get(name), self.in_flight.get((name, number))
        if attempt is not None:
            self._late(now, attempt, took)
            self.fleet.record_response_start(now, attempt.worker, (name, number))
            attempt.overload_signalled = True  # what follows is the stream's length, no sign of load
        if pending is not None:
            pending.streaming = True

    def _late(self, now: float, attempt: Attempt, took: float) -> None:
        if took > attempt.klass.aim and not attempt.overload_signalled:
            self.throttle.record_signal(now, attempt.worker, attempt.account.plan.name, attempt.sent_at)

    def _outcome(self, now: float, event: interface.Outcome) -> None:
        key = (event.request, event.attempt)
        attempt, pending = self.in_flight.pop(key, None), self._pending.get(event.request)
        if attempt is None:
            return  # late or repeated news
        for ref in attempt.timers:
            self._timers.pop(ref, None)
        attempt.status = event.status
        attempt.finish(event.took)
        self.quotas.mean_duration += (event.took - self.quotas.mean_duration) * (
            EACH if self.quotas.mean_duration else 1.0
        )
        if event.used is not None:
            attempt.account.record_reading(now, event.used, self.quotas.meter, event.used_age)
        self.fleet.record_outcome(now, attempt.worker, key, attempt.klass, event.status, event.took)
        if event.status == interface.SUCCESS and event.took > self._silence(attempt.klass):
            self.fleet.tails.came(now, event.took > attempt.klass.aim)
        if event.status in (interface.OVERLOADED, interface.TIMED_OUT):
            if not attempt.overload_signalled and (
                event.status == interface.OVERLOADED or not self.fleet.recent.lossy()
            ):
                self.throttle.record_signal(now, attempt.worker, attempt.account.plan.name, attempt.sent_at)
        elif attempt.pending.complete:  # else its time is that of whoever sends the request
            self._late(now, attempt, event.took)
        if pending is None:
            settle(self.counting, attempt.pending, self._pending)
            return
        if (
            event.status == interface.SUCCESS
            and event.final_units
            and pending.within_quota
            and pending.account.plan.rate
        ):
            pending.account.balance += pending.request.units - event.final_units
        if event.terminal or event.status == interface.SUCCESS:
            self._over(event.request)
            if self._s.can_cancel:
                for number, other in enumerate(pending.attempts):
                    if not other.status:
                        self._actions.append(interface.Cancel(event.request, number))
        elif any(not other.status for other in pending.attempts):
            pass  # another copy is still out
        elif not event.retryable or now >= pending.deadline - self._s.tick or not self._again(now, pending):
            self._end(pending)
        settle(self.counting, attempt.pending, self._pending)

    def _again(self, now: float, pending: Pending) -> bool:
        """Send a further attempt if effect, group, window, budget and bucket allow."""
        klass, zone, cell = pending.klass, None, None
        anchor = next((a for a in pending.attempts if a.status not in interface.NOT_EXECUTED_STATUSES), None)
        if anchor is not None:
            if klass.effect == interface.SIDE_EFFECT:
                return False
            if klass.effect == interface.TOKEN:
                if now > anchor.sent_at + klass.window - self._s.tick:
                    return False
                zone = anchor.zone if klass.group == "zone" else None
                cell = anchor.cell if klass.group == "cell" else None
        # What did not come up cost the workers nothing, and a lost zone takes a third of all tries.
        free = self.fleet.subset.is_partial and pending.attempts[-1].status == interface.UNREACHABLE
        if len(pending.attempts) >= self._s.max_attempts or self.retry_budget < 1 and not free:
            return False
        worker = self.fleet.pick(now, klass, {a.worker for a in pending.attempts}, zone, cell)
        part = self._part[klass.name] if self.throttle.active else 1.0
        if worker is None or self.fleet.is_overloaded(now, pending.account.quota_headroom(), part):
            return False
        if not self.throttle.admit(now, part):
            return False
        self.retry_budget -= not free
        self._send(now, pending, worker)
        return True

    def _end(self, pending: Pending) -> None:
        """The request's own end: a refusal while nothing can have run, else a failure."""
        name = pending.request.request
        if self._over(name) is None:
            return
        if all(a.status in interface.NOT_EXECUTED_STATUSES for a in pending.attempts):
            self._refuse(name, pending.klass.aim)
        else:
            self._actions.append(interface.Fail(name))
