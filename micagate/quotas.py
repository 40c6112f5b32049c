"""Customers' quotas, ceilings and at-once caps: stores, and metered slices of them."""

from __future__ import annotations

from micagate import interface
from micagate.account_table import Table
from micagate.accounts import Account
from micagate.deficit_sketch import Debts
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
        self.took = 0.0  # how long an attempt is out, on average, whoever's
        self._born, self.shares = now, Shares() if shares is None else shares
        self._surveyed: dict[str, Account] | None = None  # asked since the last survey, if any
        self.table, self.debts = Table(most), Debts(salt)
        self.marks: Marks | None = None  # of ceilings, where there is a memory that lasts

    def account(self, now: float, customer: str, plan: interface.Plan, spread: int) -> Account:
        """The customer's entry brought up to now; entries idle for long and full again are dropped.

        Guards against requests that name a customer wrongly: another plan has an entry of its own, and
        another set only moves the bounds, so that neither fills a store again.
        """
        self._let_go(now)
        key = customer_key(plan.name, customer)
        account = self.table.get(key)
        if account is None:
            account = Account(plan, key, spread, now, self._born)
            account.owe(owed := self.debts.owed(now, key))
            if self.marks is not None:
                self.marks.opened(now, account, owed)
        elif account.spread != spread:
            account.spread = spread
            self._divide(account, spread, spread)
        self.table.use(account)
        self.refill(now, account)
        return account

    def _let_go(self, now: float) -> None:
        """Drop a few entries: idle ones that are full again, and whatever is too many.

        Guards memory, and each step's time, against customers that are made up. What an entry was short of is
        kept among the debts, so that it is not fresh when it comes back. Harm: it has lost its forecast.
        """
        for queue in self.table.queues:
            for _ in range(2):
                entry, over = next(iter(queue.values()), None), len(queue) > self.table.most
                if entry is None or not over and now - entry.at < IDLE:
                    break
                self.refill(now, entry)
                short = not over and entry.ceiling < entry.plan.ceiling_capacity / entry.span
                # What is lent or borrowed fills elsewhere: debts couldn't tell.
                if entry.out or short or entry.over != entry.spread:
                    queue.move_to_end(entry.key)
                    continue
                if over:
                    self.debts.add(now, entry.key, entry.short())
                del queue[entry.key]

    @staticmethod
    def _divide(a: Account, over: float, span: float) -> None:
        a.over, a.span, a.depth, a.floor = over, span, a.plan.burst / span, a.plan.rate / over

    def refill(self, now: float, a: Account) -> None:
        """Bring an account up to now."""
        elapsed, a.at = now - a.at, now
        if self.shares or a.over != a.spread:
            over, span = self.shares.over(now, a.key, a.spread)
            if over != a.over:
                # What came in since then came at the smaller share: the other part of it may have been
                # another's. A store that shrinks is cut; one that grows has to fill.
                elapsed, before = 0.0, elapsed
                a.store += before * min(a.slice, a.plan.rate / over)
                a.ceiling += before * a.plan.ceiling_rate / max(over, a.over)
                if over < a.over:
                    a.slice = max(a.slice, a.plan.rate / over)
                self._divide(a, over, span)
        a.store = min(a.depth, a.store + elapsed * a.slice)
        a.whole.advance(now)
        part = 0.0 if a.counted else 1 / a.over
        if a.over == a.spread and 0 < a.plan.ceiling_rate * part < LEAST and self.meter.period:
            part += MOVED * (a.whole.share() - part)
        a.ceiling = min(a.plan.ceiling_capacity / a.span, a.ceiling + elapsed * a.plan.ceiling_rate * part)
        seconds = int(now - a.tick)
        if seconds:
            a.tick += seconds
            a.forecast = (a.forecast * DECAY + a.asked * (1 - DECAY)) * DECAY ** (seconds - 1)
            a.longer = (a.longer * LONG_DECAY + a.asked * (1 - LONG_DECAY)) * LONG_DECAY ** (seconds - 1)
            a.asked = 0.0
            if a.fresh:  # without a reading the last slice stands
                # Guards against parts that stay small while the whole is full, and large while it is empty.
                a.slice = a.stood * (AIMED + a.whole.level / max(a.plan.burst, 1e-9)) / max(a.use, 0.01)
                a.fresh = False
            expected = max(a.forecast, a.longer)
            a.slice = max(a.floor, min(a.slice, 2 * expected, a.plan.rate))
            a.stood += (a.slice - a.stood) * min(1.0, seconds / LATE)

    def inside(self, a: Account, units: float, pressed: bool, counted: bool = False) -> bool:
        """Whether a try is inside this gateway's part of the quota, or else surely enough inside the whole.

        What is `counted` is asked for the places at once here alone: the counter knows the rest.

        Sure enough: what it is worth if it is inside, less what a refusal would save of that by the client's
        next try, outweighs what it costs if it is not. Not while the back end is pressed: what is beyond the
        quota would take the place of what is inside. A request larger than a whole part goes when that part
        is full, or it never would.
        """
        whole, cost = a.whole, max(0.0, a.plan.excess_cost - a.plan.excess_revenue)
        sure = cost / (cost + 1 - RETURNS)
        a.top = max(a.top, units)
        thin = whole.sliver()  # then the estimate of the whole decides alone: the part says little
        known = (thin or whole.heard(a.at) and not pressed) and a.over == a.spread
        if a.plan.concurrency_limit:
            if a.out >= max(1, int(a.plan.concurrency_limit)):
                return False
            if (
                not counted
                and (thin or a.out >= max(1, int(a.plan.concurrency_limit / a.over)))
                and (not known or whole.places(a.out, a.took or self.took, int(a.plan.concurrency_limit)) < sure)
            ):
                return False
        if not a.plan.rate or counted:
            return True
        # Guards against starving: a part of less than a few requests refuses calm customers by chance. Harm:
        # a burst of one that the meter showed as calm goes over until the next readings.
        credit = 0.0 if pressed or thin else a.room() * max(0.0, LEAST * a.top - a.depth)
        if a.store + credit >= min(units, a.depth + credit):
            return True
        # Never further ahead of what the slices gave than the rest of the whole store.
        ahead = a.store + a.plan.burst - a.depth
        return known and min(whole.spare(a.at, sure), ahead) >= units

    def allowed(self, a: Account, units: float, beyond: bool) -> bool:
        """Whether the ceiling has room; what goes beyond the quota leaves half of it to what is inside."""
        if not a.plan.ceiling_rate:
            return True
        if self.marks is not None and not self.marks.lets(a, units):
            return False
        return a.ceiling >= units + (a.plan.ceiling_capacity / a.span / 2 if beyond else 0.0)

    def count(self, a: Account, request: interface.Request) -> None:
        """Count what is asked, for the next survey."""
        a.asked += 0.0 if request.client_retry else request.units  # a repeat asks for nothing more
        if self._surveyed is not None:
            a.first = request.first_gateway
            a.tally += request.units
            a.most = max(a.most, a.out + 1)
            self._surveyed[a.key] = a

    def survey(self) -> list[interface.ResourceDemand]:
        """What was asked since the last survey."""
        surveyed, self._surveyed = self._surveyed or {}, {}
        return asked_of(surveyed.values())

    def take(self, a: Account, units: float, inside: bool, counted: bool = False, whole: bool = True) -> None:
        """Take a first attempt's units."""
        if whole:
            self.arrived(a.at, a, units)
        if a.plan.ceiling_rate and not counted:
            a.ceiling -= units
            if self.marks is not None:
                self.marks.spent(a)
        if inside and a.plan.rate:
            a.store -= units

    def arrived(self, now: float, a: Account, units: float) -> None:
        """A first attempt is on its way whole: from now on the meter may count it."""
        self.refill(now, a)
        most = int(a.plan.concurrency_limit)
        place = a.whole.places(a.out, a.took or self.took, most) if most else 1.0
        a.whole.sent(a.at, units, self.meter.period / BINS, place)
