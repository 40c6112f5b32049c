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
    touched = {}
    counts = {share.key: share.gateway_count for share in event.changes}
    for key in (*(share.key for share in event.changes), *(fill.key for fill in event.bucket_levels)):
        whose = parse_customer_key(key)
        if whose is not None and (plan := plans.get(whose[0])) is not None:
            known, count = quotas.accounts.get(key), counts.get(key, 1)
            if known is not None or count > 1:
                touched[key] = quotas.account(now, whose[1], plan, known.gateway_count if known else count)
    before = {
        key: (account.capacity_divisor, account.balance, account.ceiling_balance) for key, account in touched.items()
    }
    quotas.shares.apply(event)
    freed = []
    for key, a in touched.items():
        span, store, ceiling = before[key]
        quotas.refill(now, a)
        if a.capacity_divisor > span:
            kept, whole, top = span / a.capacity_divisor, a.plan.burst, a.plan.ceiling_capacity
            a.balance, a.ceiling_balance = min(store, store * kept), ceiling * kept
            freed.append(
                interface.BucketLevels(
                    key,
                    max(0.0, store - a.balance) / whole if whole else 0.0,
                    (ceiling - a.ceiling_balance) / top if top else 0.0,
                )
            )
    for fill in event.bucket_levels:
        if fill.key in touched:
            a, top = touched[fill.key], touched[fill.key].plan.ceiling_capacity
            a.balance = min(a.capacity, a.balance + fill.quota * a.plan.burst)
            a.ceiling_balance = min(top / a.capacity_divisor, a.ceiling_balance + fill.ceiling * top)
    return freed
