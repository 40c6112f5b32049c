"""Applies the share transfers of planners to the token buckets of this gateway's accounts."""

from __future__ import annotations

from collections.abc import Mapping

from micagate import interface
from micagate.quotas import Quotas
from micagate.resource_keys import parse_customer_key


def apply_share_update(
    quotas: Quotas, now: float, event: interface.ShareUpdate, plans: Mapping[str, interface.Plan]
) -> list[interface.BucketLevels]:
    """Apply a share update and return the units that leave the buckets with the shares given away.

    What is lent can no longer be spent here. Bucket levels that arrive are added, up to the capacity of the share.
    A transfer creates no units, so that all gateways together stay within burst and rate.
    """
    affected_accounts = {}
    gateway_counts = {share.key: share.gateway_count for share in event.changes}
    for key in (*(share.key for share in event.changes), *(levels.key for levels in event.bucket_levels)):
        plan_and_customer = parse_customer_key(key)
        if plan_and_customer is not None and (plan := plans.get(plan_and_customer[0])) is not None:
            known_account, gateway_count = quotas.accounts.get(key), gateway_counts.get(key, 1)
            if known_account is not None or gateway_count > 1:
                affected_accounts[key] = quotas.account(
                    now, plan_and_customer[1], plan, known_account.gateway_count if known_account else gateway_count
                )
    before = {
        key: (affected.capacity_divisor, affected.balance, affected.ceiling_balance)
        for key, affected in affected_accounts.items()
    }
    quotas.shares.apply(event)
    released = []
    for key, account in affected_accounts.items():
        old_divisor, old_balance, old_ceiling_balance = before[key]
        quotas.refill(now, account)
        if account.capacity_divisor > old_divisor:
            kept_fraction, burst, ceiling_capacity = (
                old_divisor / account.capacity_divisor,
                account.plan.burst,
                account.plan.ceiling_capacity,
            )
            account.balance, account.ceiling_balance = (
                min(old_balance, old_balance * kept_fraction),
                old_ceiling_balance * kept_fraction,
            )
            released.append(
                interface.BucketLevels(
                    key,
                    max(0.0, old_balance - account.balance) / burst if burst else 0.0,
                    (old_ceiling_balance - account.ceiling_balance) / ceiling_capacity if ceiling_capacity else 0.0,
                )
            )
    for levels in event.bucket_levels:
        if levels.key in affected_accounts:
            account, ceiling_capacity = (
                affected_accounts[levels.key],
                affected_accounts[levels.key].plan.ceiling_capacity,
            )
            account.balance = min(account.capacity, account.balance + levels.quota * account.plan.burst)
            account.ceiling_balance = min(
                ceiling_capacity / account.capacity_divisor, account.ceiling_balance + levels.ceiling * ceiling_capacity
            )
    return released
