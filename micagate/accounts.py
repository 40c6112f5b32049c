"""Customers' accounts: what a gateway knows of one, and what its stores hold."""

from __future__ import annotations

import math

from micagate import interface
from micagate.estimates.metering import UNSEEN, Meter, QuotaEstimate
from micagate.recovery.high_water_mark import Mark

SMOOTH = 2.0  # seconds that a reading of the meter should span; shorter ones are averaged (ours)


class Account:
    """One customer as this gateway knows it."""

    __slots__ = (
        "plan",
        "gateway_count",
        "rate_divisor",
        "capacity_divisor",
        "key",
        "first_gateway",
        "requested_units",
        "peak_in_flight",
        "capacity",
        "equal_rate",
        "local_rate",
        "metered_local_rate",
        "balance",
        "quota_estimate",
        "ceiling_balance",
        "updated_at",
        "ticked_at",
        "demand",
        "forecast",
        "long_forecast",
        "largest_request",
        "metered_use",
        "read_at",
        "reading_count",
        "has_new_reading",
        "in_flight",
        "mean_duration",
        "ceiling_full_until",
        "uses_counter",
        "counter_unresponsive_since",
        "ceiling_filled_until",
        "ceiling_mark",
    )

    def __init__(self, plan: interface.Plan, key: str, spread: int, now: float, born: float) -> None:
        self.plan, self.key, self.gateway_count = plan, key, spread
        # What the whole rate, and the whole stores, are divided by to give this gateway's.
        self.rate_divisor: float = spread
        self.capacity_divisor: float = spread
        self.first_gateway, self.requested_units, self.peak_in_flight = 0, 0.0, 0
        self.capacity, self.equal_rate = plan.burst / spread, plan.rate / spread
        self.local_rate = self.metered_local_rate = (
            self.equal_rate
        )  # now, and when the use was metered that is read now
        self.balance, self.quota_estimate = (
            self.capacity,
            QuotaEstimate(plan.rate, plan.burst, spread, now, UNSEEN * plan.burst),
        )
        # An earlier life of this gateway may have spent its share of the ceiling: it fills from this birth.
        self.ceiling_balance = min(plan.ceiling_capacity, (now - born) * plan.ceiling_rate) / spread
        self.updated_at = self.ticked_at = now
        self.demand = self.forecast = self.long_forecast = self.largest_request = 0.0
        self.metered_use, self.read_at, self.reading_count, self.has_new_reading = UNSEEN, now, 0, False
        self.uses_counter = False  # its sends may be: `Counting` fills its part of the ceiling
        self.counter_unresponsive_since: float | None = None  # since when its counts have had no answer
        self.ceiling_filled_until = now  # up to when the ceiling's part was filled since
        self.ceiling_full_until = now  # a counted total has told that there is no room before
        self.ceiling_mark: Mark | None = None  # what stands on disk of the ceiling's part: not to be spent below it
        self.in_flight, self.mean_duration = 0, 0.0  # attempts out, and how long one is, on average; 0: none has ended

    def record_reading(self, now: float, used: float, meter: Meter, age: float = 0.0) -> None:
        """A reading of the meter, `age` seconds old; averaged with those before where its period is short.

        Guards against coarse readings: one unit in a short period looks like many times the rate. The level
        of the whole store needs no average: it sums them.
        """
        if self.plan.rate:  # without one, readings are of what is out
            self.quota_estimate.reading(now, used, meter, age)
        smooth = max(1e-9, SMOOTH - meter.period)
        self.reading_count += 1
        weight = max(1 - math.exp((self.read_at - now) / smooth), 1 / (1 + self.reading_count))
        self.metered_use += (used - self.metered_use) * weight
        self.read_at, self.has_new_reading = now, True

    def seconds_to_full(self) -> float:
        """Seconds until store and ceiling would be full again."""
        rate, top = self.plan.ceiling_rate / self.gateway_count, self.plan.ceiling_capacity / self.gateway_count
        return max(
            (top - self.ceiling_balance) / rate if rate > 0 else 0.0,
            (self.capacity - self.balance) / self.equal_rate if self.equal_rate > 0 else 0.0,
        )

    def apply_deficit(self, seconds: float) -> None:
        """Begin with what would take so long to fill missing."""
        if seconds > 0:
            self.balance = max(0.0, self.balance - seconds * self.equal_rate)
            self.quota_estimate.level = max(0.0, self.quota_estimate.level - seconds * self.plan.rate)
            self.ceiling_balance = max(
                0.0, self.ceiling_balance - seconds * self.plan.ceiling_rate / self.gateway_count
            )

    def quota_headroom(self) -> float:
        """How sure it is that the quota has room: 1 while the meter shows half in use, 0 from all on."""
        return min(1.0, max(0.0, 2 * (1 - self.metered_use)))
