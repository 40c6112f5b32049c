"""Refunds of units and counted slots when a request ends. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from micagate import interface
from micagate.accounts import Account
from micagate.counting.counting import Counting
from micagate.pending import Pending


def settle(counting: Counting, pending: Pending, owed: Mapping[str, Pending]) -> None:
    """Settle a request once it has been answered (it is not in `owed`) and has no attempt in flight.

    Its slot on the shared counter is released. If no worker received it whole, it used no quota, and its units are
    refunded as well.
    """
    if pending.request.request in owed or not all(attempt.status for attempt in pending.attempts):
        return
    reached = any(attempt.status not in interface.NOT_DELIVERED_STATUSES for attempt in pending.attempts)
    if not reached:
        refund(pending.account, pending.request.units, pending.within_quota, pending.on_counter, pending.complete)
    if pending.counter_call is not None:
        (counting.leave if reached else counting.give_back)(pending.counter_call)
        pending.counter_call = None


def refund(a: Account, units: float, inside: bool, counted: bool, whole: bool) -> None:
    """Reverse `Quotas.spend`."""
    if whole:
        a.quota_estimate.record_unsent(a.updated_at, units)
    if a.plan.ceiling_rate and not counted:
        a.ceiling_balance = min(a.plan.ceiling_capacity / a.capacity_divisor, a.ceiling_balance + units)
    if inside and a.plan.rate:
        a.balance = min(a.capacity, a.balance + units)
