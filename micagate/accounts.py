"""Customers' accounts, in a table that is bounded by a number, and what those that were let go still owe."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterator

from micagate import interface as i

SMOOTH = 2.0  # seconds that a reading of the meter should span; shorter ones are averaged (ours)
UNSEEN = 0.5  # use taken for granted before the first reading: most customers are calm (ours)
SLOTS = 1 << 15  # of each of the two rows of debts (ours)


class Account:
    """One customer as this gateway knows it."""

    __slots__ = ("plan", "spread", "over", "span", "key", "first", "tally", "most", "depth", "floor", "slice",
                 "store", "ceiling", "at", "tick", "asked", "forecast", "longer", "top", "use", "read",
                 "readings", "fresh", "out")

    def __init__(self, plan: i.Plan, key: str, spread: int, now: float, born: float) -> None:
        self.plan, self.key, self.spread = plan, key, spread
        # What the whole rate, and the whole stores, are divided by to give this gateway's.
        self.over: float = spread
        self.span: float = spread
        self.first, self.tally, self.most = 0, 0.0, 0
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

    def short(self) -> float:
        """Seconds until store and ceiling would be full again."""
        rate, top = self.plan.ceiling_rate / self.spread, self.plan.ceiling_depth / self.spread
        return max((top - self.ceiling) / rate if rate > 0 else 0.0,
                   (self.depth - self.store) / self.floor if self.floor > 0 else 0.0)

    def owe(self, seconds: float) -> None:
        """Begin with what would take so long to fill missing."""
        if seconds > 0:
            self.store = max(0.0, self.store - seconds * self.floor)
            self.ceiling = max(0.0, self.ceiling - seconds * self.plan.ceiling_rate / self.spread)

    def room(self) -> float:
        """How sure it is that the quota has room: 1 while the meter shows half in use, 0 from all on."""
        return min(1.0, max(0.0, 2 * (1 - self.use)))


class Table:
    """The accounts, bounded: those that asked once apart from those that asked again.

    Guards the usual customers against ever so many that come once: these only push out each other. Two
    queues, each by last use (2Q: Johnson, Shasha 1994). Half of the places are for those seen once.
    """

    def __init__(self, most: int) -> None:
        self._once: OrderedDict[str, Account] = OrderedDict()
        self._often: OrderedDict[str, Account] = OrderedDict()
        self._most = max(1, most // 2)

    def __len__(self) -> int:
        return len(self._once) + len(self._often)

    def get(self, key: str) -> Account | None:
        """The account of a customer, if it is here."""
        return self._often.get(key) or self._once.get(key)

    def use(self, account: Account) -> None:
        """A customer has asked: its account is the latest used."""
        if account.key in self._often:
            self._often.move_to_end(account.key)
        elif self._once.pop(account.key, None) is not None:
            self._often[account.key] = account
        else:
            self._once[account.key] = account

    def oldest(self) -> Iterator[tuple[Account, bool]]:
        """The longest unused of each queue, at most two of it, and whether there are too many there."""
        for queue in (self._once, self._often):
            for _ in range(2):
                if queue:
                    yield next(iter(queue.values())), len(queue) > self._most

    def spare(self, account: Account) -> None:
        """Keep one that is in use, or not full again yet."""
        (self._often if account.key in self._often else self._once).move_to_end(account.key)

    def drop(self, account: Account) -> None:
        """Let an account go."""
        self._once.pop(account.key, None)
        self._often.pop(account.key, None)


class Debts:
    """When accounts that were let go before they were full again would have been so, in bounded memory.

    Each is written in one place of each of two rows, the latest time wins, and the earlier of both is read
    (a count-min sketch: Cormode, Muthukrishnan 2005): so a time may be too late, never too early. Harm: in
    a flood of customers with debts a new one may be taken for one of them, and begins with less.
    """

    def __init__(self, salt: str) -> None:
        # Salted: nobody can choose names that share their places with somebody else's.
        self._salt = salt.encode()[:64]
        self._rows = [-math.inf] * SLOTS, [-math.inf] * SLOTS

    def _places(self, key: str) -> tuple[int, int]:
        digest = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8, key=self._salt).digest(), "big")
        return digest % SLOTS, (digest >> 32) % SLOTS

    def add(self, now: float, key: str, seconds: float) -> None:
        """An account goes that would take so long to be full again."""
        if seconds > 0:
            for row, place in zip(self._rows, self._places(key), strict=True):
                row[place] = max(row[place], now + seconds)

    def owed(self, now: float, key: str) -> float:
        """The seconds of filling that a returning account is short of."""
        times = [row[place] for row, place in zip(self._rows, self._places(key), strict=True)]
        return max(0.0, min(times) - now)
