"""Calls of one gateway to the shared counter, and what the results mean for the requests that wait for them."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from micagate import interface
from micagate.accounts import Account
from micagate.counting.budget import CounterCallLimit
from micagate.counting.stores import (
    CORRECTION_LAG_RATIO,
    COUNTER_TTL_SECONDS,
    EPOCH_SECONDS,
    ROUNDING_ERROR_SECONDS,
    SLOT_AMOUNT,
    CounterEpoch,
    duplicate_correction,
    epoch_at,
    evaluate_total,
    previous_epoch,
    rank_fraction,
    split_total,
)

MAX_COUNTED_RATIO = 2 / 3  # largest counted fraction of the plans that qualify
MAX_TIMED_OUT_COUNTERS = 1000  # counter names whose timed out calls are kept
# Kinds of calls: a request that waits for the result, one that does not, a correction of a number, a refund of an
# earlier addition, and a read of the number of the previous epoch.
ADMISSION_CALL, RECORD_CALL, CORRECTION_CALL, REFUND_CALL, PREVIOUS_EPOCH_CALL = "try", "kept", "right", "back", "old"


@dataclass(slots=True)
class CounterCall:
    """A call to the counter that awaits its result; `kind` is one of the constants above."""

    kind: str
    account: Account
    epoch: CounterEpoch
    amount: float
    request: str = ""
    sent: bool = False  # the request was sent to a worker, whatever the result of the call


@dataclass(frozen=True, slots=True)
class CounterVerdict:
    """Whether a request that waited for the counter is within its quota; `within_quota` is None without an answer."""

    call: CounterCall
    within_quota: bool | None


class QuotaCounter:
    """Decides which requests are counted, makes the calls and interprets their results."""

    def __init__(self, settings: interface.Settings, now: float, offset: float, random: Random) -> None:
        self._offset, self._gateway_number = offset, settings.number
        self._gateway_count = settings.gateways
        self._longest_deadline = max(c.deadline for c in settings.classes)
        order = self._rank_plans(settings.plans) if settings.counter_timeout else []
        self.ranks = {name: rank for rank, name in enumerate(order)}
        self.budget = CounterCallLimit(now, MAX_COUNTED_RATIO * len(order), settings.counter_timeout or 1.0, random)
        # By counter name. Results for one name arrive in the order of the calls.
        self._in_flight: dict[int, deque[CounterCall]] = {}
        self._timed_out: OrderedDict[int, deque[CounterCall]] = OrderedDict()  # timed out calls, oldest name first
        self._retry_queue: list[CounterCall] = []
        self.actions: list[interface.CounterAdd] = []  # calls to make, collected by the gateway

    def set_clock_offset(self, offset: float) -> None:
        """Set the offset of the clock to Unix time to that of the predecessor, so that epochs stay the same."""
        self._offset = offset

    @staticmethod
    def _rank_plans(plans: Sequence[interface.Plan]) -> list[str]:
        """Return the plans to count: excess requests cost more than they earn; the most costly plans come first.

        A plan with a ceiling qualifies only if the ceiling leaves room for a counter that loses its state: counted
        requests stay within the quota, or within twice that if the counter was reset, and those that are not counted
        use the rest of the ceiling's rate.
        """
        counted_plans = [
            plan
            for plan in plans
            if plan.rate
            and plan.excess_cost > plan.excess_revenue
            and (
                not plan.ceiling_rate
                or plan.ceiling_rate >= 2 * plan.rate
                and plan.ceiling_capacity + plan.ceiling_slack >= 2 * plan.burst
            )
        ]
        counted_plans.sort(key=lambda plan: -plan.price * plan.excess_cost)
        return [plan.name for plan in counted_plans]

    def should_count(self, now: float, account: Account, first_gateway: int = 0) -> bool:
        """Return whether a request is counted; either all gateways count a customer's requests or none does.

        Under a ceiling the local balance is empty while the customer is counted. While it is not counted, or its calls
        get no answer, the balance refills at the difference between the ceiling's rate and the quota's: together with
        what other gateways count meanwhile this stays within the ceiling. All local balances together hold the
        ceiling's capacity minus two bursts of the quota, one of which allows for a counter that was reset. If that is
        less than a request per gateway, the first gateways of the customer's set get whole requests.
        `first_gateway` is the number of the first of them.
        """
        rank = self.ranks.get(account.plan.name)
        # Avoids starvation: if the counter has little capacity, most such customers depend on their local balances.
        spare_capacity = account.plan.ceiling_capacity + account.plan.ceiling_slack - 2 * account.plan.burst
        has_spare_ceiling = not account.plan.ceiling_rate or spare_capacity >= account.gateway_count
        account.uses_counter = (
            rank is not None
            and has_spare_ceiling
            and account.quota_estimate.has_thin_share()
            and account.rate_divisor == account.gateway_count
        )
        if rank is None or not account.uses_counter:
            return False
        calls_counter = rank + rank_fraction(account.key) < self.budget.level and self.budget.may_call(now)
        if not calls_counter and account.counter_unresponsive_since is None:
            account.counter_unresponsive_since = now
        if account.plan.ceiling_rate:
            if (
                account.counter_unresponsive_since is None
                or account.ceiling_filled_until < account.counter_unresponsive_since
            ):
                account.ceiling_balance = 0.0
            if account.counter_unresponsive_since is not None:
                holders = min(account.gateway_count, int(spare_capacity / max(1.0, account.largest_request)))
                if (
                    self._gateway_number is not None
                    and (self._gateway_number - first_gateway) % self._gateway_count < holders
                ):
                    rate, since = (
                        account.plan.ceiling_rate - account.plan.rate,
                        max(account.ceiling_filled_until, account.counter_unresponsive_since),
                    )
                    account.ceiling_balance = min(
                        spare_capacity / holders, account.ceiling_balance + (now - since) * rate / holders
                    )
            account.ceiling_filled_until = now
        return calls_counter

    def count(self, now: float, account: Account, units: float, request: str = "") -> None:
        """Count a request; `request` is the name of one that waits for the result."""
        amount = units / account.plan.rate + (SLOT_AMOUNT if account.plan.concurrency_limit else 0.0)
        self._call(
            CounterCall(
                ADMISSION_CALL if request else RECORD_CALL,
                account,
                epoch_at(now, self._offset, account.key),
                amount,
                request,
            )
        )

    def release_slot(self, call: CounterCall) -> None:
        """Release the concurrency slot of a counted request that has ended."""
        if call.account.plan.concurrency_limit:
            self._call(CounterCall(REFUND_CALL, call.account, call.epoch, -SLOT_AMOUNT))

    def refund(self, call: CounterCall) -> None:
        """Refund a counted request that is not sent."""
        self._call(CounterCall(REFUND_CALL, call.account, call.epoch, -call.amount))

    def retry_rejected(self) -> None:
        """Repeat up to two calls that were rejected and without which units or slots would stay taken."""
        for call in self._retry_queue[:2]:
            self._call(call)
        del self._retry_queue[:2]

    def _call(self, call: CounterCall) -> None:
        self._in_flight.setdefault(call.epoch.name, deque()).append(call)
        self.actions.append(interface.CounterAdd(call.epoch.name, call.amount, COUNTER_TTL_SECONDS))

    def record_result(self, now: float, event: interface.CounterResult) -> CounterVerdict | None:
        """Process a result; return the verdict on the request that waited for it, if any."""
        table = self._timed_out if event.status == interface.LATE_RESPONSE else self._in_flight
        calls = table.get(event.name)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del table[event.name]
        account = call.account
        self.budget.record_response(now, event.status, event.took)
        if event.status == interface.SUCCESS:
            account.counter_unresponsive_since = None
        elif account.counter_unresponsive_since is None:
            account.counter_unresponsive_since = now
        if event.status == interface.LATE_RESPONSE and call.kind == ADMISSION_CALL and not call.sent:
            self.refund(call)  # the request was refused: frees its slot and units
        elif event.status == interface.TIMED_OUT:
            self._timed_out.setdefault(event.name, deque()).append(call)
            if len(self._timed_out) > MAX_TIMED_OUT_COUNTERS:  # bounds the table if late results are never reported
                self._timed_out.popitem(last=False)
            if call.kind == ADMISSION_CALL and now - call.epoch.started_at < account.plan.burst / account.plan.rate:
                # This may have been the first call of the epoch, and then nobody would carry over the number of the
                # previous one. Trade-off: it may be carried over twice.
                self._call(
                    CounterCall(
                        PREVIOUS_EPOCH_CALL, account, previous_epoch(call.epoch, self._offset, account.key), 0.0
                    )
                )
        elif (
            event.status in (interface.OVERLOADED, interface.UNREACHABLE)
            and call.kind == REFUND_CALL
            and now < call.epoch.started_at + COUNTER_TTL_SECONDS
        ):
            self._retry_queue.append(call)
        if event.status != interface.SUCCESS:
            return (
                CounterVerdict(call, None)
                if call.kind == ADMISSION_CALL and event.status != interface.LATE_RESPONSE
                else None
            )
        self.retry_rejected()
        elapsed, burst_seconds = now - call.epoch.started_at, account.plan.burst / account.plan.rate
        if call.kind == REFUND_CALL:
            return None
        total_slots, total_seconds = split_total(event.total)
        if call.kind == PREVIOUS_EPOCH_CALL:
            if (ahead := total_seconds - EPOCH_SECONDS) > ROUNDING_ERROR_SECONDS:
                self._call(CounterCall(REFUND_CALL, account, epoch_at(now, self._offset, account.key), ahead))
            return None
        if call.kind == CORRECTION_CALL:
            if duplicate := duplicate_correction(event.total, call.amount, elapsed, burst_seconds):
                self._call(CounterCall(REFUND_CALL, account, call.epoch, -duplicate))
            return None
        call_slots, call_seconds = split_total(call.amount)
        previous_seconds, other_slots = total_seconds - call_seconds, total_slots - call_slots
        excess_seconds, lag_seconds = evaluate_total(previous_seconds, call_seconds, elapsed, burst_seconds)
        if previous_seconds <= ROUNDING_ERROR_SECONDS and not other_slots and elapsed < burst_seconds:
            # The first call of an epoch carries over the previous number; otherwise a new epoch would look like a full
            # bucket.
            self._call(
                CounterCall(PREVIOUS_EPOCH_CALL, account, previous_epoch(call.epoch, self._offset, account.key), 0.0)
            )
        # Corrects slots that crashed gateways left occupied, seen by nothing having been sent for long, and slots that
        # were released on a counter which had lost their acquisition.
        leaked_slots = (
            other_slots
            if other_slots < 0 or lag_seconds > self._longest_deadline + burst_seconds * CORRECTION_LAG_RATIO
            else 0
        )
        if leaked_slots or lag_seconds > burst_seconds * CORRECTION_LAG_RATIO:
            self._call(
                CounterCall(
                    CORRECTION_CALL,
                    account,
                    call.epoch,
                    (lag_seconds if lag_seconds > burst_seconds * CORRECTION_LAG_RATIO else 0.0)
                    - leaked_slots * SLOT_AMOUNT,
                )
            )
        if excess_seconds > 0:
            account.ceiling_full_until = now + excess_seconds
        if call.kind == RECORD_CALL:
            return None
        inside = excess_seconds <= 0 and (
            not call_slots or other_slots - leaked_slots < int(account.plan.concurrency_limit)
        )
        if not inside:
            self.refund(call)
        return CounterVerdict(call, inside)
