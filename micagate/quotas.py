"""Customers' quotas, ceilings and at-once caps: stores, and metered slices of them."""

from __future__ import annotations

from micagate import interface
from micagate.account_table import AccountTable
from micagate.accounts import Account
from micagate.deficit_sketch import DeficitSketch
from micagate.estimates.metering import BINS, Meter
from micagate.recovery.write_ahead import Marks
from micagate.resource_keys import customer_key
from micagate.shares import Shares
from micagate.workload import asked_of

DECAY = 0.7  # of the forecast, each second (ours)
LONG_DECAY = 0.95  # of the longer forecast, for customers that come to this gateway seldom (ours)
LEAST = 2.0  # requests that a part of the store should hold; thinner ones get credit (ours)
AIMED = 0.6  # of the quota: what slices steer the use to with the whole store empty; 1.6 when full (ours)
LATE = 3.0  # seconds by which readings of the meter, smoothed, are late: a slice tells by then (ours)
MOVED = 0.5  # of each part of a ceiling's rate: it follows what the meter shows this gateway to send (ours)
RETURNS = 0.8  # of what a refusal leaves in a store, what a later try makes good (ours)
IDLE = 30.0  # seconds after which an idle customer's entry may go (ours)


class Quotas:
    """Stores, metered slices, ceilings and at-once caps of the customers."""

    def __init__(
        self, now: float, shares: Shares | None = None, most: int = 30_000, salt: str = "", period: float = 0.0
    ) -> None:
        self.meter = Meter(period)
        self.mean_duration = 0.0  # how long an attempt is out, on average, whoever's
        self._born, self.shares = now, Shares() if shares is None else shares
        self._surveyed: dict[str, Account] | None = None  # asked since the last survey, if any
        self.accounts, self.deficits = AccountTable(most), DeficitSketch(salt)
        self.ceiling_marks: Marks | None = None  # of ceilings, where there is a memory that lasts

    def account(self, now: float, customer: str, plan: interface.Plan, spread: int) -> Account:
        """The customer's entry brought up to now; entries idle for long and full again are dropped.

        Guards against requests that name a customer wrongly: another plan has an entry of its own, and
        another set only moves the bounds, so that neither fills a store again.
        """
        self._let_go(now)
        key = customer_key(plan.name, customer)
        account = self.accounts.get(key)
        if account is None:
            account = Account(plan, key, spread, now, self._born)
            account.apply_deficit(owed := self.deficits.deficit(now, key))
            if self.ceiling_marks is not None:
                self.ceiling_marks.opened(now, account, owed)
        elif account.gateway_count != spread:
            account.gateway_count = spread
            self._divide(account, spread, spread)
        self.accounts.use(account)
        self.refill(now, account)
        return account

    def _let_go(self, now: float) -> None:
        """Drop a few entries: idle ones that are full again, and whatever is too many.

        Guards memory, and each step's time, against customers that are made up. What an entry was short of is
        kept among the debts, so that it is not fresh when it comes back. Harm: it has lost its forecast.
        """
        for queue in self.accounts.queues:
            for _ in range(2):
                entry, over = next(iter(queue.values()), None), len(queue) > self.accounts.most
                if entry is None or not over and now - entry.updated_at < IDLE:
                    break
                self.refill(now, entry)
                short = not over and entry.ceiling_balance < entry.plan.ceiling_capacity / entry.capacity_divisor
                # What is lent or borrowed fills elsewhere: debts couldn't tell.
                if entry.in_flight or short or entry.rate_divisor != entry.gateway_count:
                    queue.move_to_end(entry.key)
                    continue
                if over:
                    self.deficits.add(now, entry.key, entry.seconds_to_full())
                del queue[entry.key]

    @staticmethod
    def _divide(a: Account, over: float, span: float) -> None:
        a.rate_divisor, a.capacity_divisor, a.capacity, a.equal_rate = (
            over,
            span,
            a.plan.burst / span,
            a.plan.rate / over,
        )

    def refill(self, now: float, a: Account) -> None:
        """Bring an account up to now."""
        elapsed, a.updated_at = now - a.updated_at, now
        if self.shares or a.rate_divisor != a.gateway_count:
            over, span = self.shares.divisors(now, a.key, a.gateway_count)
            if over != a.rate_divisor:
                # What came in since then came at the smaller share: the other part of it may have been
                # another's. A store that shrinks is cut; one that grows has to fill.
                elapsed, before = 0.0, elapsed
                a.balance += before * min(a.local_rate, a.plan.rate / over)
                a.ceiling_balance += before * a.plan.ceiling_rate / max(over, a.rate_divisor)
                if over < a.rate_divisor:
                    a.local_rate = max(a.local_rate, a.plan.rate / over)
                self._divide(a, over, span)
        a.balance = min(a.capacity, a.balance + elapsed * a.local_rate)
        a.quota_estimate.advance(now)
        part = 0.0 if a.uses_counter else 1 / a.rate_divisor
        if a.rate_divisor == a.gateway_count and 0 < a.plan.ceiling_rate * part < LEAST and self.meter.period:
            part += MOVED * (a.quota_estimate.share() - part)
        a.ceiling_balance = min(
            a.plan.ceiling_capacity / a.capacity_divisor, a.ceiling_balance + elapsed * a.plan.ceiling_rate * part
        )
        seconds = int(now - a.ticked_at)
        if seconds:
            a.ticked_at += seconds
            a.forecast = (a.forecast * DECAY + a.demand * (1 - DECAY)) * DECAY ** (seconds - 1)
            a.long_forecast = (a.long_forecast * LONG_DECAY + a.demand * (1 - LONG_DECAY)) * LONG_DECAY ** (seconds - 1)
            a.demand = 0.0
            if a.has_new_reading:  # without a reading the last slice stands
                # Guards against parts that stay small while the whole is full, and large while it is empty.
                a.local_rate = (
                    a.metered_local_rate
                    * (AIMED + a.quota_estimate.level / max(a.plan.burst, 1e-9))
                    / max(a.metered_use, 0.01)
                )
                a.has_new_reading = False
            expected = max(a.forecast, a.long_forecast)
            a.local_rate = max(a.equal_rate, min(a.local_rate, 2 * expected, a.plan.rate))
            a.metered_local_rate += (a.local_rate - a.metered_local_rate) * min(1.0, seconds / LATE)

    def is_within_quota(self, a: Account, units: float, pressed: bool, counted: bool = False) -> bool:
        """Whether a try is inside this gateway's part of the quota, or else surely enough inside the whole.

        What is `counted` is asked for the places at once here alone: the counter knows the rest.

        Sure enough: what it is worth if it is inside, less what a refusal would save of that by the client's
        next try, outweighs what it costs if it is not. Not while the back end is pressed: what is beyond the
        quota would take the place of what is inside. A request larger than a whole part goes when that part
        is full, or it never would.
        """
        whole, cost = a.quota_estimate, max(0.0, a.plan.excess_cost - a.plan.excess_revenue)
        sure = cost / (cost + 1 - RETURNS)
        a.largest_request = max(a.largest_request, units)
        thin = whole.has_thin_share()  # then the estimate of the whole decides alone: the part says little
        known = (thin or whole.is_current(a.updated_at) and not pressed) and a.rate_divisor == a.gateway_count
        if a.plan.concurrency_limit:
            if a.in_flight >= max(1, int(a.plan.concurrency_limit)):
                return False
            if (
                not counted
                and (thin or a.in_flight >= max(1, int(a.plan.concurrency_limit / a.rate_divisor)))
                and (
                    not known
                    or whole.places(a.in_flight, a.mean_duration or self.mean_duration, int(a.plan.concurrency_limit))
                    < sure
                )
            ):
                return False
        if not a.plan.rate or counted:
            return True
        # Guards against starving: a part of less than a few requests refuses calm customers by chance. Harm:
        # a burst of one that the meter showed as calm goes over until the next readings.
        credit = 0.0 if pressed or thin else a.quota_headroom() * max(0.0, LEAST * a.largest_request - a.capacity)
        if a.balance + credit >= min(units, a.capacity + credit):
            return True
        # Never further ahead of what the slices gave than the rest of the whole store.
        ahead = a.balance + a.plan.burst - a.capacity
        return known and min(whole.spare(a.updated_at, sure), ahead) >= units

    def ceiling_allows(self, a: Account, units: float, beyond: bool) -> bool:
        """Whether the ceiling has room; what goes beyond the quota leaves half of it to what is inside."""
        if not a.plan.ceiling_rate:
            return True
        if self.ceiling_marks is not None and not self.ceiling_marks.lets(a, units):
            return False
        return a.ceiling_balance >= units + (a.plan.ceiling_capacity / a.capacity_divisor / 2 if beyond else 0.0)

    def record_demand(self, a: Account, request: interface.Request) -> None:
        """Count what is asked, for the next survey."""
        a.demand += 0.0 if request.client_retry else request.units  # a repeat asks for nothing more
        if self._surveyed is not None:
            a.first_gateway = request.first_gateway
            a.requested_units += request.units
            a.peak_in_flight = max(a.peak_in_flight, a.in_flight + 1)
            self._surveyed[a.key] = a

    def demand_report(self) -> list[interface.ResourceDemand]:
        """What was asked since the last survey."""
        surveyed, self._surveyed = self._surveyed or {}, {}
        return asked_of(surveyed.values())

    def spend(self, a: Account, units: float, inside: bool, counted: bool = False, whole: bool = True) -> None:
        """Take a first attempt's units."""
        if whole:
            self.record_arrival(a.updated_at, a, units)
        if a.plan.ceiling_rate and not counted:
            a.ceiling_balance -= units
            if self.ceiling_marks is not None:
                self.ceiling_marks.spent(a)
        if inside and a.plan.rate:
            a.balance -= units

    def record_arrival(self, now: float, a: Account, units: float) -> None:
        """A first attempt is on its way whole: from now on the meter may count it."""
        self.refill(now, a)
        most = int(a.plan.concurrency_limit)
        place = a.quota_estimate.places(a.in_flight, a.mean_duration or self.mean_duration, most) if most else 1.0
        a.quota_estimate.record_sent(a.updated_at, units, self.meter.period / BINS, place)
