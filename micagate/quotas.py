"""Customers' quotas, ceilings and at-once caps: stores, and metered slices of them."""

from __future__ import annotations

import math
from collections import OrderedDict

from micagate import interface as i

DECAY = 0.7  # of the forecast, each second (ours)
LONG_DECAY = 0.95  # of the longer forecast, for customers that come to this gateway seldom (ours)
LEAST = 2.0  # requests that a part of the store should hold; thinner ones get credit (ours)
SMOOTH = 2.0  # seconds that a reading of the meter should span; shorter ones are averaged (ours)
AIMED = 0.9  # of the quota: what the slices steer the metered use to (ours)
UNSEEN = 0.5  # use taken for granted before the first reading: most customers are calm (ours)
IDLE = 30.0  # seconds after which an idle customer's entry may go (ours)


class Account:
    """One customer as this gateway knows it."""

    __slots__ = ("plan", "spread", "depth", "floor", "slice", "store", "ceiling", "at", "tick", "asked",
                 "forecast", "longer", "top", "use", "read", "readings", "fresh", "out")

    def __init__(self, plan: i.Plan, spread: int, now: float, born: float) -> None:
        self.plan, self.spread = plan, spread
        self.depth, self.floor = plan.burst / spread, plan.rate / spread
        self.slice, self.store = self.floor, self.depth
        # An earlier life of this gateway may have spent its share of the ceiling: it fills from this birth.
        self.ceiling = min(plan.ceiling_depth, (now - born) * plan.ceiling_rate) / spread
        self.at = self.tick = now
        self.asked = self.forecast = self.longer = self.top = 0.0
        self.use, self.read, self.readings, self.fresh = UNSEEN, now, 0, False
        self.out = 0

    def metered(self, now: float, used: float, period: float) -> None:
        """A reading of the meter, averaged with those before where the meter's period is short.

        Guards against coarse readings: one unit in a short period looks like many times the rate.
        """
        smooth = max(1e-9, SMOOTH - period)
        self.readings += 1
        weight = max(1 - math.exp((self.read - now) / smooth), 1 / (1 + self.readings))
        self.use += (used - self.use) * weight
        self.read, self.fresh = now, True

    def room(self) -> float:
        """How sure it is that the quota has room: 1 while the meter shows half in use, 0 from all on."""
        return min(1.0, max(0.0, 2 * (1 - self.use)))


class Quotas:
    """Stores, metered slices, ceilings and at-once caps of the customers."""

    def __init__(self, now: float) -> None:
        self._born = now
        self._accounts: OrderedDict[tuple[str, str], Account] = OrderedDict()

    def account(self, now: float, customer: str, plan: i.Plan, spread: int) -> Account:
        """The customer's entry brought up to now; entries idle for long and full again are dropped.

        Guards against requests that name a customer wrongly: another plan has an entry of its own, and
        another set only moves the bounds, so that neither fills a store again.
        """
        while self._accounts:
            name, oldest = next(iter(self._accounts.items()))
            if now - oldest.at < IDLE or oldest.out:
                break
            self._refill(now, oldest)
            if oldest.ceiling < oldest.plan.ceiling_depth / oldest.spread:
                self._accounts.move_to_end(name)
            else:
                del self._accounts[name]
        key = customer, plan.name
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(plan, spread, now, self._born)
        elif account.spread != spread:
            account.spread, account.depth, account.floor = spread, plan.burst / spread, plan.rate / spread
        self._accounts.move_to_end(key)
        self._refill(now, account)
        return account

    def _refill(self, now: float, a: Account) -> None:
        elapsed, a.at = now - a.at, now
        a.store = min(a.depth, a.store + elapsed * a.slice)
        a.ceiling = min(a.plan.ceiling_depth / a.spread, a.ceiling + elapsed * a.plan.ceiling_rate / a.spread)
        seconds = int(now - a.tick)
        if seconds:
            a.tick += seconds
            a.forecast = (a.forecast * DECAY + a.asked * (1 - DECAY)) * DECAY ** (seconds - 1)
            a.longer = (a.longer * LONG_DECAY + a.asked * (1 - LONG_DECAY)) * LONG_DECAY ** (seconds - 1)
            a.asked = 0.0
            if a.fresh:  # without a reading the last slice stands
                a.slice *= AIMED / max(a.use, 0.01)
                a.fresh = False
            expected = max(a.forecast, a.longer)
            a.slice = max(a.floor, min(max(a.slice, a.room() * a.longer), 2 * expected, a.plan.rate))

    def inside(self, a: Account, units: float, pressed: bool) -> bool:
        """Whether a try is inside this gateway's part of the quota.

        A request larger than a whole part of the store goes when that part is full, or it never would.
        """
        if a.plan.at_once and a.out >= max(1, int(a.plan.at_once / a.spread)):
            return False
        # Guards against starving: a part of less than a few requests refuses calm customers by chance. Harm:
        # a burst of one that the meter showed as calm goes over until the next readings.
        a.top = max(a.top, units)
        credit = 0.0 if pressed else a.room() * max(0.0, LEAST * a.top - a.depth)
        return not a.plan.rate or a.store + credit >= min(units, a.depth + credit)

    def allowed(self, a: Account, units: float, beyond: bool) -> bool:
        """Whether the ceiling has room; what goes beyond the quota leaves half of it to what is inside."""
        if not a.plan.ceiling_rate:
            return True
        return a.ceiling >= units + (a.plan.ceiling_depth / a.spread / 2 if beyond else 0.0)

    def take(self, a: Account, units: float, inside: bool) -> None:
        """Take a first attempt's units; they stay taken even where it proves void, which is rare."""
        if a.plan.ceiling_rate:
            a.ceiling -= units
        if inside and a.plan.rate:
            a.store -= units
