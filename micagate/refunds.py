"""Refunds units, and releases slots on the shared counter, when a request has ended."""

from __future__ import annotations

from collections.abc import Mapping

from micagate import interface
from micagate.accounts import Account
from micagate.counting.counting import QuotaCounter
from micagate.pending import Pending


def release_request(counting: QuotaCounter, pending: Pending, unanswered: Mapping[str, Pending]) -> None:
    """Release what a request holds, once it has been answered (is not in `unanswered`) and has no attempt in flight.

    Its slot on the shared counter is released. If no worker received it whole, it used no quota, and its units are
    refunded as well.
    """
    if pending.request.request in unanswered or not all(attempt.status for attempt in pending.attempts):
        return
    delivered = any(attempt.status not in interface.NOT_DELIVERED_STATUSES for attempt in pending.attempts)
    if not delivered:
        refund(pending.account, pending.request.units, pending.within_quota, pending.on_counter, pending.complete)
    if pending.counter_call is not None:
        (counting.release_slot if delivered else counting.refund)(pending.counter_call)
        pending.counter_call = None


def refund(account: Account, units: float, within_quota: bool, on_counter: bool, complete: bool) -> None:
    """Reverse `Quotas.spend`."""
    if complete:
        account.quota_estimate.record_unsent(account.updated_at, units)
    if account.plan.ceiling_rate and not on_counter:
        account.ceiling_balance = min(
            account.plan.ceiling_capacity / account.capacity_divisor, account.ceiling_balance + units
        )
    if within_quota and account.plan.rate:
        account.balance = min(account.capacity, account.balance + units)
