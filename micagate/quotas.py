"""Enforces customers' quotas, ceilings and concurrency limits at one gateway.

Each is a limit for all gateways together, and this gateway enforces its local share of it. A quota is a token bucket
of a plan's `rate` and `burst`, in units. Its local share starts as an equal part for each of the customer's gateways;
the local refill rate then follows a meter, which reports the customer's total use. A ceiling is a second token
bucket, which also limits the requests that are served beyond the quota. The bookkeeping of one customer is in
`micagate/accounts.py`.
"""

from __future__ import annotations

from micagate import interface
from micagate.account_table import AccountTable
from micagate.accounts import Account
from micagate.deficit_sketch import DeficitSketch
from micagate.estimates.metering import PHASE_BIN_COUNT, Meter
from micagate.recovery.write_ahead import HighWaterMarks
from micagate.resource_keys import customer_key
from micagate.shares import Shares
from micagate.workload import customer_demands

FORECAST_DECAY_PER_SECOND = 0.7  # factor by which past demand decays each second in the forecast
LONG_FORECAST_DECAY_PER_SECOND = 0.95  # the same in the long forecast, for customers seldom seen at this gateway
MIN_REQUESTS_IN_CAPACITY = 2.0  # a local share should hold this many requests; a smaller one gets credit
# Use that local rates steer to, as a fraction of the quota, while the whole bucket is empty; 1.6 while it is full.
TARGET_USE_WHEN_EMPTY = 0.6
METER_LAG_SECONDS = 3.0  # delay of smoothed meter readings: how long a change of a local rate takes to show in them
# Part of a gateway's share of a ceiling's rate that follows its share of the metered use; the rest is divided equally.
CEILING_RATE_FOLLOWING_USE = 0.5
RETRY_RECOVERY_FRACTION = 0.8  # part of a wrongly refused request's value that the client's next retry recovers
IDLE_TIMEOUT_SECONDS = 30.0  # an account unused for this long may be evicted once it is full again


class Quotas:
    """The quotas, ceilings and concurrency limits of all customers at one gateway.

    `max_accounts` bounds the accounts in memory, `salt` keys the sketch of evicted ones, and `meter_period` is the
    meter's reporting period in seconds, 0 if there is no meter.
    """

    def __init__(
        self,
        now: float,
        shares: Shares | None = None,
        max_accounts: int = 30_000,
        salt: str = "",
        meter_period: float = 0.0,
    ) -> None:
        self.meter = Meter(meter_period)
        self.mean_duration = 0.0  # of an attempt, seconds, over all customers; 0: none has ended yet
        self._started_at, self.shares = now, Shares() if shares is None else shares
        self._demanding_accounts: dict[str, Account] | None = (
            None  # by key, since the last report; None before the first
        )
        self.accounts, self.deficits = AccountTable(max_accounts), DeficitSketch(salt)
        self.ceiling_high_water_marks: HighWaterMarks | None = None  # set if ceilings are persisted across restarts

    def account(self, now: float, customer: str, plan: interface.Plan, gateway_count: int) -> Account:
        """Return the customer's account, refilled up to `now`; create it if needed, and evict a few idle accounts.

        `gateway_count` gateways serve the customer. A request with a wrong plan or gateway count does not refill a
        bucket: another plan has an account of its own, and another count only changes the capacities and rates.
        """
        self._evict_accounts(now)
        key = customer_key(plan.name, customer)
        account = self.accounts.get(key)
        if account is None:
            account = Account(plan, key, gateway_count, now, self._started_at)
            account.apply_deficit(deficit_seconds := self.deficits.deficit(now, key))
            if self.ceiling_high_water_marks is not None:
                self.ceiling_high_water_marks.open_account(now, account, deficit_seconds)
        elif account.gateway_count != gateway_count:
            account.gateway_count = gateway_count
            self._set_divisors(account, gateway_count, gateway_count)
        self.accounts.record_use(account)
        self.refill(now, account)
        return account

    def _evict_accounts(self, now: float) -> None:
        """Evict up to two accounts of each queue: idle ones that are full again, and any beyond the queue's limit.

        This bounds the memory, and the time of each call, under a flood of invented customers. The deficit of an
        evicted account is recorded, so that it does not come back with full buckets. Trade-off: its forecast is lost.
        """
        for queue in self.accounts.queues:
            for _ in range(2):
                entry, queue_over_limit = next(iter(queue.values()), None), len(queue) > self.accounts.max_per_queue
                if entry is None or not queue_over_limit and now - entry.updated_at < IDLE_TIMEOUT_SECONDS:
                    break
                self.refill(now, entry)
                ceiling_not_full = (
                    not queue_over_limit
                    and entry.ceiling_balance < entry.plan.ceiling_capacity / entry.capacity_divisor
                )
                # With leases the account fills at another rate than the one that the recorded deficit assumes.
                if entry.in_flight or ceiling_not_full or entry.rate_divisor != entry.gateway_count:
                    queue.move_to_end(entry.key)
                    continue
                if queue_over_limit:
                    self.deficits.add(now, entry.key, entry.seconds_to_full())
                del queue[entry.key]

    @staticmethod
    def _set_divisors(account: Account, rate_divisor: float, capacity_divisor: float) -> None:
        """Set the divisors of the whole rates and capacities, and the local shares that follow from them."""
        account.rate_divisor, account.capacity_divisor, account.capacity, account.equal_rate = (
            rate_divisor,
            capacity_divisor,
            account.plan.burst / capacity_divisor,
            account.plan.rate / rate_divisor,
        )

    def refill(self, now: float, account: Account) -> None:
        """Refill an account's buckets for the time since the last call, and update its local rate each second."""
        elapsed, account.updated_at = now - account.updated_at, now
        if self.shares or account.rate_divisor != account.gateway_count:
            rate_divisor, capacity_divisor = self.shares.divisors(now, account.key, account.gateway_count)
            if rate_divisor != account.rate_divisor:
                # The time since the last refill counts at the smaller of both shares: the difference may have
                # belonged to another gateway. A bucket that shrinks is cut to its new capacity below; one that
                # grows has to fill.
                elapsed, elapsed_before_change = 0.0, elapsed
                account.balance += elapsed_before_change * min(account.local_rate, account.plan.rate / rate_divisor)
                account.ceiling_balance += (
                    elapsed_before_change * account.plan.ceiling_rate / max(rate_divisor, account.rate_divisor)
                )
                if rate_divisor < account.rate_divisor:
                    account.local_rate = max(account.local_rate, account.plan.rate / rate_divisor)
                self._set_divisors(account, rate_divisor, capacity_divisor)
        account.balance = min(account.capacity, account.balance + elapsed * account.local_rate)
        account.quota_estimate.advance(now)
        ceiling_share = 0.0 if account.uses_counter else 1 / account.rate_divisor
        if (
            account.rate_divisor == account.gateway_count
            and 0 < account.plan.ceiling_rate * ceiling_share < MIN_REQUESTS_IN_CAPACITY
            and self.meter.period
        ):
            ceiling_share += CEILING_RATE_FOLLOWING_USE * (account.quota_estimate.share() - ceiling_share)
        account.ceiling_balance = min(
            account.plan.ceiling_capacity / account.capacity_divisor,
            account.ceiling_balance + elapsed * account.plan.ceiling_rate * ceiling_share,
        )
        seconds = int(now - account.ticked_at)
        if seconds:
            account.ticked_at += seconds
            account.forecast = (
                account.forecast * FORECAST_DECAY_PER_SECOND + account.demand * (1 - FORECAST_DECAY_PER_SECOND)
            ) * FORECAST_DECAY_PER_SECOND ** (seconds - 1)
            account.long_forecast = (
                account.long_forecast * LONG_FORECAST_DECAY_PER_SECOND
                + account.demand * (1 - LONG_FORECAST_DECAY_PER_SECOND)
            ) * LONG_FORECAST_DECAY_PER_SECOND ** (seconds - 1)
            account.demand = 0.0
            if account.has_new_reading:  # without a reading the local rate stays as it is
                # The target use depends on the level of the whole bucket. Otherwise local rates stay low while it
                # is full, and high while it is empty.
                account.local_rate = (
                    account.metered_local_rate
                    * (TARGET_USE_WHEN_EMPTY + account.quota_estimate.level / max(account.plan.burst, 1e-9))
                    / max(account.metered_use, 0.01)
                )
                account.has_new_reading = False
            expected = max(account.forecast, account.long_forecast)
            account.local_rate = max(account.equal_rate, min(account.local_rate, 2 * expected, account.plan.rate))
            account.metered_local_rate += (account.local_rate - account.metered_local_rate) * min(
                1.0, seconds / METER_LAG_SECONDS
            )

    def is_within_quota(self, account: Account, units: float, overload_control: bool, on_counter: bool = False) -> bool:
        """Return whether a request fits the local share of the quota, or very probably fits the whole quota.

        For a request `on_counter` only this gateway's concurrency limit is checked: the shared counter, which counts
        the customer's requests at all gateways, decides the rest.

        The probability must be high enough that the expected value of serving a request within the quota exceeds the
        expected cost of serving one beyond it; the value is reduced by what the client's next retry would recover
        after a refusal. Under overload control the estimate of the whole quota is not used unless the local share is
        thin: requests beyond the quota would displace those within it. A request larger than the local capacity is
        admitted when the bucket is full, since it never could be otherwise.
        """
        estimate, cost = account.quota_estimate, max(0.0, account.plan.excess_cost - account.plan.excess_revenue)
        min_confidence = cost / (cost + 1 - RETRY_RECOVERY_FRACTION)
        account.largest_request = max(account.largest_request, units)
        # A thin share holds so few requests that its balance says little; then the estimate alone decides.
        thin_share = estimate.has_thin_share()
        estimate_usable = (
            thin_share or estimate.is_current(account.updated_at) and not overload_control
        ) and account.rate_divisor == account.gateway_count
        if account.plan.concurrency_limit:
            if account.in_flight >= max(1, int(account.plan.concurrency_limit)):
                return False
            if (
                not on_counter
                and (
                    thin_share
                    or account.in_flight >= max(1, int(account.plan.concurrency_limit / account.rate_divisor))
                )
                and (
                    not estimate_usable
                    or estimate.slot_probability(
                        account.in_flight,
                        account.mean_duration or self.mean_duration,
                        int(account.plan.concurrency_limit),
                    )
                    < min_confidence
                )
            ):
                return False
        if not account.plan.rate or on_counter:
            return True
        # A local capacity of only a few requests would refuse customers well within their quota by chance, so they
        # get credit. Trade-off: if the meter showed a customer far below its quota, a burst of it may exceed the quota
        # until the next readings.
        credit = (
            0.0
            if overload_control or thin_share
            else account.quota_headroom()
            * max(0.0, MIN_REQUESTS_IN_CAPACITY * account.largest_request - account.capacity)
        )
        if account.balance + credit >= min(units, account.capacity + credit):
            return True
        # The local balance may be overdrawn by no more than the rest of the whole burst.
        max_overdraft = account.balance + account.plan.burst - account.capacity
        return (
            estimate_usable
            and min(estimate.guaranteed_level(account.updated_at, min_confidence), max_overdraft) >= units
        )

    def ceiling_allows(self, account: Account, units: float, beyond_quota: bool) -> bool:
        """Return whether the ceiling allows a request; those beyond the quota must leave half its capacity free."""
        if not account.plan.ceiling_rate:
            return True
        if self.ceiling_high_water_marks is not None and not self.ceiling_high_water_marks.allows(account, units):
            return False
        return account.ceiling_balance >= units + (
            account.plan.ceiling_capacity / account.capacity_divisor / 2 if beyond_quota else 0.0
        )

    def record_demand(self, account: Account, request: interface.Request) -> None:
        """Count a request's demand, admitted or not, for the forecasts and the next demand report."""
        account.demand += 0.0 if request.client_retry else request.units  # a client retry is no new demand
        if self._demanding_accounts is not None:
            account.first_gateway = request.first_gateway
            account.requested_units += request.units
            account.peak_in_flight = max(account.peak_in_flight, account.in_flight + 1)
            self._demanding_accounts[account.key] = account

    def demand_report(self) -> list[interface.ResourceDemand]:
        """Return the demand of customers since the last report; the first call starts the counting."""
        accounts, self._demanding_accounts = self._demanding_accounts or {}, {}
        return customer_demands(accounts.values())

    def spend(
        self, account: Account, units: float, within_quota: bool, on_counter: bool = False, complete: bool = True
    ) -> None:
        """Deduct the units of a request that is sent to a worker.

        The quota is charged only for a request `within_quota`, the ceiling only if the request is not `on_counter`.
        A request that is not `complete` yet is recorded for the meter later, by `record_arrival`.
        """
        if complete:
            self.record_arrival(account.updated_at, account, units)
        if account.plan.ceiling_rate and not on_counter:
            account.ceiling_balance -= units
            if self.ceiling_high_water_marks is not None:
                self.ceiling_high_water_marks.record_spending(account)
        if within_quota and account.plan.rate:
            account.balance -= units

    def record_arrival(self, now: float, account: Account, units: float) -> None:
        """Record that a worker is being sent the whole request, so that the meter may count it from now on."""
        self.refill(now, account)
        limit = int(account.plan.concurrency_limit)
        free_slot_probability = (
            account.quota_estimate.slot_probability(
                account.in_flight, account.mean_duration or self.mean_duration, limit
            )
            if limit
            else 1.0
        )
        account.quota_estimate.record_sent(
            account.updated_at, units, self.meter.period / PHASE_BIN_COUNT, free_slot_probability
        )
