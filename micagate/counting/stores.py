"""A customer's token bucket as a single number on a shared counter that can only add.

The number is the theoretical arrival time of GCRA (ITU-T I.371, annex A), in seconds since the start of an epoch that
is the same at all gateways: each request adds the time in which the rate refills its units. If the number is ahead of
the clock, that much is missing from the bucket; if it is behind, the bucket is full, and a second call corrects the
number. The counter returns the new total for each call, in one order for all gateways, so that two gateways that
correct the same number both see which of them was first.

If the plan has a concurrency limit, each request in flight also adds `SLOT_AMOUNT` to the number and subtracts it when
it ends, so that one call checks both limits.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

# How long a number is added to, and how long the counter keeps it (at most 60), both in seconds.
EPOCH_SECONDS, COUNTER_TTL_SECONDS = 20.0, 50.0
ROUNDING_ERROR_SECONDS = 5e-3  # exceeds the rounding error of totals, which have seven digits
SLOT_AMOUNT = 1000.0  # what one concurrency slot adds to a number; its seconds stay well below that
MAX_NEGATIVE_SECONDS = 200.0  # how far below 0 the seconds of a number may be after refunds
CORRECTION_LAG_RATIO = 0.5  # lag behind the clock, as a fraction of the burst, that is worth a call to correct


@dataclass(frozen=True, slots=True)
class CounterEpoch:
    """Name of a customer's number in one epoch, and the start of the epoch on the gateway's clock."""

    name: int
    started_at: float


def epoch_at(now: float, clock_offset: float, key: str) -> CounterEpoch:
    """Return a customer's epoch at `now`; `clock_offset` added to the gateway's clock gives the shared clock.

    The epochs of each customer start at a different time. Otherwise the numbers of all customers would be reset
    together, and each could burst once more at that instant.
    """
    digest = int.from_bytes(blake2b(key.encode(), digest_size=6).digest(), "big")
    phase = digest % 4096 / 4096 * EPOCH_SECONDS
    epoch = (now + clock_offset - phase) // EPOCH_SECONDS
    name = int.from_bytes(blake2b(f"{epoch:.0f}/{key}".encode(), digest_size=6).digest(), "big")
    return CounterEpoch(name, epoch * EPOCH_SECONDS + phase - clock_offset)


def rank_fraction(key: str) -> float:
    """Return a customer's position within its plan, from 0 to 1, which is the same at all gateways."""
    return int.from_bytes(blake2b(key.encode(), digest_size=6, person=b"order").digest(), "big") / 2**48


def previous_epoch(epoch: CounterEpoch, clock_offset: float, key: str) -> CounterEpoch:
    """Return the epoch before this one."""
    return epoch_at(epoch.started_at - EPOCH_SECONDS / 2, clock_offset, key)


def split_total(total: float) -> tuple[int, float]:
    """Split a number into the occupied concurrency slots and the arrival time in seconds."""
    slots = math.floor((total + MAX_NEGATIVE_SECONDS) / SLOT_AMOUNT)
    return slots, total - slots * SLOT_AMOUNT


def evaluate_total(previous_seconds: float, amount: float, elapsed: float, burst_seconds: float) -> tuple[float, float]:
    """Return by how much a request exceeds the quota, and how far the number lagged behind the clock.

    The excess is 0 or less within the quota. `previous_seconds` is the arrival time before the request, `amount` what
    the request adds to it, `elapsed` the time since the start of the epoch. All values are seconds.
    """
    return max(
        previous_seconds, elapsed
    ) + amount - elapsed - burst_seconds - ROUNDING_ERROR_SECONDS, elapsed - previous_seconds


def duplicate_correction(total: float, amount: float, elapsed: float, burst_seconds: float) -> float:
    """Return the part of the correction `amount` to take back because another gateway had already made it."""
    previous_slots, previous_seconds = split_total(total - amount)
    corrected_slots, corrected_seconds = split_total(amount)
    duplicate = (
        corrected_seconds
        if corrected_seconds > ROUNDING_ERROR_SECONDS
        and previous_seconds > elapsed - burst_seconds * CORRECTION_LAG_RATIO / 2
        else 0.0
    )
    return duplicate + (
        corrected_slots * SLOT_AMOUNT
        if corrected_slots > 0 and previous_slots >= 0 or corrected_slots < 0 and previous_slots < -corrected_slots
        else 0.0
    )
