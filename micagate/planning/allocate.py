"""Divides a resource among forwarders by weighted max-min fairness over needs (Bertsekas and Gallager, 6.5.2)."""

from __future__ import annotations

from collections.abc import Sequence

NEGLIGIBLE_AMOUNT = 1e-9  # smaller differences between amounts are rounding errors


def max_min(needs: Sequence[float], total: float, weights: Sequence[float] | None = None) -> list[float]:
    """Return shares of `total` by weighted max-min fairness: no share exceeds its need while another need is unmet.

    If all needs fit, each is met, and the caller decides about the rest. Weights must be above 0.
    """
    weights = weights or [1.0] * len(needs)
    shares = [0.0] * len(needs)
    remaining = total
    # In ascending order of need over weight, so that what a small need leaves over is divided among the larger ones.
    order = sorted(range(len(needs)), key=lambda index: needs[index] / weights[index])
    remaining_weight = sum(weights)
    for index in order:
        fair_share = remaining * weights[index] / remaining_weight if remaining_weight > 0 else 0.0
        shares[index] = min(max(0.0, needs[index]), max(0.0, fair_share))
        remaining -= shares[index]
        remaining_weight -= weights[index]
    return shares


def targets(needs: Sequence[float], owned: Sequence[float], minimum_fraction: float = 0.0) -> list[float]:
    """Return the share that each forwarder should have of a resource of which each owns the share in `owned`.

    If every need fits in the owned share, the shares are `owned`. Otherwise needs are met by max-min fairness with
    the owned shares as weights, and the rest goes to those with a need, in proportion to what they own, so that a
    rising need finds spare units. Nothing is moved for needs that the owned share meets: moves cost messages, and a
    lease takes a while to return. No forwarder is left with less than `minimum_fraction` of what it owns.
    """
    total = sum(owned)
    if not owned or all(need <= part + NEGLIGIBLE_AMOUNT for need, part in zip(needs, owned, strict=True)):
        return list(owned)
    shares = max_min(
        [max(need, minimum_fraction * part) for need, part in zip(needs, owned, strict=True)], total, owned
    )
    remaining = total - sum(shares)
    if remaining > NEGLIGIBLE_AMOUNT:
        claimant_weight = sum(part for need, part in zip(needs, owned, strict=True) if need > minimum_fraction * part)
        shares = [
            share + remaining * part / claimant_weight if need > minimum_fraction * part else share
            for share, need, part in zip(shares, needs, owned, strict=True)
        ]
    return shares
