"""Customers' accounts: the token buckets of one customer at one gateway, and what is known of its use.

`micagate/quotas.py` creates, refills and charges them.
"""

from __future__ import annotations

import math

from micagate import interface
from micagate.estimates.metering import INITIAL_USE_RATIO, Meter, QuotaEstimate
from micagate.recovery.high_water_mark import HighWaterMark

METER_SMOOTHING_SECONDS = 2.0  # period that a meter reading should span; readings of shorter periods are averaged


class Account:
    """The state of one customer, under one plan, at this gateway. Amounts are in units, times in seconds.

    `gateway_count` gateways serve the customer. `gateway_started_at` is when this gateway started.
    """

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
        "ceiling_high_water_mark",
    )

    def __init__(
        self, plan: interface.Plan, key: str, gateway_count: int, now: float, gateway_started_at: float
    ) -> None:
        self.plan, self.key, self.gateway_count = plan, key, gateway_count
        # Divisors of the plan's rates and of its bucket capacities that give this gateway's local shares. They
        # differ from `gateway_count` while shares are lent or borrowed.
        self.rate_divisor: float = gateway_count
        self.capacity_divisor: float = gateway_count
        self.first_gateway, self.requested_units, self.peak_in_flight = 0, 0.0, 0
        # The local share of the quota: its bucket's capacity, and its refill rate if all gateways' shares were equal.
        self.capacity, self.equal_rate = plan.burst / gateway_count, plan.rate / gateway_count
        # The local refill rate of the quota: now, and at the time that the current meter readings refer to.
        self.local_rate = self.metered_local_rate = self.equal_rate
        # The local balance of the quota, and an estimate of the whole bucket's level from the meter's readings.
        self.balance, self.quota_estimate = (
            self.capacity,
            QuotaEstimate(plan.rate, plan.burst, gateway_count, now, INITIAL_USE_RATIO * plan.burst),
        )
        # An earlier incarnation of this gateway may have spent its share of the ceiling, so it fills from this start.
        self.ceiling_balance = (
            min(plan.ceiling_capacity, (now - gateway_started_at) * plan.ceiling_rate) / gateway_count
        )
        self.updated_at = self.ticked_at = now  # the last refill; the last update of the forecasts, in whole seconds
        # Units requested since `ticked_at`, forecasts of that in units a second, and the most units of one request.
        self.demand = self.forecast = self.long_forecast = self.largest_request = 0.0
        # The smoothed use by the meter, as a fraction of the plan's rate, and the time of the last reading.
        self.metered_use, self.read_at, self.reading_count, self.has_new_reading = INITIAL_USE_RATIO, now, 0, False
        self.uses_counter = False  # if so, `QuotaCounter` fills its local share of the ceiling
        self.counter_unresponsive_since: float | None = None  # None while the shared counter responds to its calls
        self.ceiling_filled_until = now  # time up to which `QuotaCounter` filled it while the counter did not respond
        self.ceiling_full_until = now  # before then there is no room, according to the shared counter's total
        self.ceiling_high_water_mark: HighWaterMark | None = None  # persisted level that the ceiling must stay above
        self.in_flight, self.mean_duration = 0, 0.0  # attempts, and their mean duration; 0 if none has ended yet

    def record_reading(self, now: float, used: float, meter: Meter, age: float = 0.0) -> None:
        """Record a meter reading: `used` is the total use as a fraction of the plan's rate, measured `age` seconds ago.

        Readings of a short period are averaged, since one unit in it looks like many times the rate. The estimate of
        the whole bucket's level takes them as they are, since it sums them up.
        """
        if self.plan.rate:  # without a rate, readings are of the attempts in flight
            self.quota_estimate.record_reading(now, used, meter, age)
        smoothing_seconds = max(1e-9, METER_SMOOTHING_SECONDS - meter.period)
        self.reading_count += 1
        weight = max(1 - math.exp((self.read_at - now) / smoothing_seconds), 1 / (1 + self.reading_count))
        self.metered_use += (used - self.metered_use) * weight
        self.read_at, self.has_new_reading = now, True

    def seconds_to_full(self) -> float:
        """Return the seconds until both quota and ceiling are full again at equal shares."""
        ceiling_rate, ceiling_capacity = (
            self.plan.ceiling_rate / self.gateway_count,
            self.plan.ceiling_capacity / self.gateway_count,
        )
        return max(
            (ceiling_capacity - self.ceiling_balance) / ceiling_rate if ceiling_rate > 0 else 0.0,
            (self.capacity - self.balance) / self.equal_rate if self.equal_rate > 0 else 0.0,
        )

    def apply_deficit(self, seconds: float) -> None:
        """Reduce quota and ceiling by what they gain in so many seconds at equal shares."""
        if seconds > 0:
            self.balance = max(0.0, self.balance - seconds * self.equal_rate)
            self.quota_estimate.level = max(0.0, self.quota_estimate.level - seconds * self.plan.rate)
            self.ceiling_balance = max(
                0.0, self.ceiling_balance - seconds * self.plan.ceiling_rate / self.gateway_count
            )

    def quota_headroom(self) -> float:
        """Return the confidence that the quota has room: 1 up to half of it in use by the meter, 0 from full use on."""
        return min(1.0, max(0.0, 2 * (1 - self.metered_use)))
