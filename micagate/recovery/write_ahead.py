"""Ceilings over a crash: marks ahead, which say how far an account may be spent before the next mark is on disk.

A mark is a level of the account's part of the ceiling, and when it was made. From then on this gateway keeps the part
at or above that level, filled since at the part's rate (a leaky bucket below the leaky bucket); so after a crash,
however sudden, the part holds at least what the mark says, and beginning with just that spends nothing twice. It is
the rule of a write-ahead log (Mohan and others, ARIES, 1992) with a lease in units in place of a record for each
request.

One mark stands for all accounts that have none of their own (`of_all`): `OPEN` of each part may be spent before its own
mark is there, so that the first request of a customer waits for no disk.

Harm: after a crash a customer has up to its `lead` less than it could have. While the disk is slow it can spend no more
than the last mark allows, and is refused beyond.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from micagate.accounts import Account
from micagate.recovery.high_water_mark import Mark

OPEN = 0.5  # of a part that a customer with no mark of its own may spend (ours)
REQUESTS, SOON = 1.0, 1.0  # a lead: so many of the largest requests seen, or the use of so many seconds, if more (ours)
AGAIN = 1.0  # seconds within which a mark follows an account that has filled well above it (ours)
THIN = 2.0  # units a second: a smaller part's rate may have been lowered by what the meter showed (`quotas.MOVED`)
HALF = 0.5  # ... to this of it at the least
MOST = 200  # marks made in one step


def part(a: Account) -> tuple[float, float]:
    """An account's part of the ceiling: its size in units, and the least that it is filled by in a second."""
    rate = a.plan.ceiling_rate / a.gateway_count
    return a.plan.ceiling_capacity / a.gateway_count, rate * HALF if rate < THIN else rate


def of_all(key: str, since: float, top: float, rate: float) -> Mark:
    """The mark for all parts that have none of their own, in a life that began with empty ones at `since`."""
    return Mark(key, -OPEN * top, since, (1 - OPEN) * top, rate)


def lead(a: Account) -> float:
    """How far ahead of an account its marks are made, units."""
    return max(REQUESTS * max(1.0, a.largest_request), SOON * max(a.forecast, a.long_forecast))


def mark(a: Account, now: float) -> Mark:
    """A mark of an account as it is now."""
    (top, rate), ahead = part(a), lead(a)
    return Mark(a.key, max(0.0, a.ceiling_balance - ahead), now, top - min(ahead, OPEN * top), rate)


class Marks:
    """The marks of one gateway's life, and those that its last one left.

    `kept` is what stands on disk of that; `before` is when that life's mark for all accounts was made (empty parts,
    from then on), or None where nothing is known of any. This life's own one, at `born`, has to be on disk before a
    request is served.
    """

    def __init__(self, born: float, kept: Mapping[str, Mark] | None = None, before: float | None = None) -> None:
        self.born, self._before = born, born if before is None else min(born, before)
        self._kept = dict(kept or {})
        self._mine: dict[str, Mark] = {}  # of this life, and on disk
        self._out: set[str] = set()  # those whose mark is on its way there
        self.due: dict[str, Account] = {}  # to be marked soon
        self.urgent = False  # one of them has to wait for its mark, or its next request will
        # Told of each account that is made, for what else is kept of it.
        self.recall: Callable[[float, Account], None] | None = None
        self._used: dict[str, Account] = {}  # spent from since the last look

    def opened(self, now: float, a: Account, short: float) -> None:
        """An account is made that is `short` seconds of being full, as far as this life knows.

        Begin with what is surely left of its part, and keep to what stands on disk.
        """
        if self.recall is not None:
            self.recall(now, a)
        if not a.plan.ceiling_rate:
            return
        top, rate = part(a)
        if (mine := self._mine.get(a.key)) is not None:  # it was let go meanwhile
            a.ceiling_mark = mine
            a.ceiling_balance = max(a.ceiling_balance, min(top, mine.stands(now)))
            return
        # What its last life left at the least of all that had no mark, and of this one if it had one.
        left = of_all(a.key, self._before, top, rate).stands(self.born)
        if (kept := self._kept.get(a.key)) is not None:
            left = kept.stands(self.born) if kept.at >= self._before else min(left, kept.stands(self.born))
        left = min(top, left + (now - self.born) * rate)
        a.ceiling_balance = max(0.0, left - short * a.plan.ceiling_rate / a.gateway_count)
        a.ceiling_mark = of_all(a.key, self.born, top, rate)

    def lets(self, a: Account, units: float) -> bool:
        """Whether so much may be spent by what stands on disk; where only that forbids it a mark is due."""
        if a.ceiling_mark is None or a.ceiling_balance - a.ceiling_mark.stands(a.updated_at) >= units:
            return True
        if a.ceiling_balance >= units:
            self.due[a.key], self.urgent = a, True
        return False

    def spent(self, a: Account) -> None:
        """An account was spent from: a mark is due before it comes to the last one."""
        if a.ceiling_mark is None:
            return
        self._used[a.key] = a
        left = a.ceiling_balance - a.ceiling_mark.stands(a.updated_at)
        if left < max(a.largest_request, lead(a) / 2):
            self.due[a.key], self.urgent = a, self.urgent or left < a.largest_request <= a.ceiling_balance

    def look(self) -> None:
        """Once in `AGAIN`: marks for what is well above its last one, so that a crash costs little."""
        for a in self._used.values():
            if a.ceiling_mark is not None and a.ceiling_balance - a.ceiling_mark.stands(a.updated_at) > 2 * lead(a):
                self.due.setdefault(a.key, a)
        self._used.clear()

    def make(self, now: float) -> list[Mark]:
        """Marks to be written now, `MOST` at the most; one on its way for an account is waited for."""
        made: list[Mark] = []
        self.urgent = False
        for key in [key for key in self.due if key not in self._out][:MOST]:
            a = self.due.pop(key)
            if a.ceiling_mark is not None:
                self._out.add(key)
                made.append(mark(a, now))
        return made

    def written(self, marks: Iterable[Mark], account: Callable[[str], Account | None]) -> None:
        """Marks are on disk: their accounts may be spent down to them."""
        for each in marks:
            self._out.discard(each.key)
            self._mine[each.key] = each
            a = account(each.key)
            if a is not None and a.ceiling_mark is not None:
                a.ceiling_mark = each

    def last(self, now: float, accounts: Iterable[Account]) -> Iterator[Mark]:
        """At a planned end, with nothing spent any more: what each account holds."""
        for a in accounts:
            if a.ceiling_mark is not None:
                yield Mark(a.key, round(a.ceiling_balance, 4), now, *part(a))  # all of it: nothing is spent below it

    def failed(self, marks: Iterable[Mark]) -> None:
        """Marks did not come to be on disk, or may yet: the last ones hold."""
        for each in marks:
            self._out.discard(each.key)

    def distrust(self, now: float, accounts: Iterable[Account]) -> None:
        """What was kept turns out not to be the last word: all of it counts as spent as this life began."""
        self._kept.clear()
        self._before = self.born
        for a in accounts:
            if a.ceiling_mark is not None:
                a.ceiling_balance = min(a.ceiling_balance, max(0.0, now - self.born) * part(a)[1])

    def end(self, accounts: Iterable[Account]) -> None:
        """Nothing is kept any more, nor believed of what was: accounts are spent as with no memory."""
        for a in accounts:
            a.ceiling_mark = None
        self.due.clear()
        self._used.clear()

    def idle(self, now: float, most: int) -> list[str]:
        """Marks that say no more than the one for all does: they may be forgotten, here and on disk."""
        made: list[str] = []
        for table in (self._mine, self._kept):
            for key in list(table)[: most - len(made)]:
                each = table.pop(key)
                if each.stands(now) >= each.top and key not in self._out and key not in self.due:
                    made.append(key)
                else:
                    table[key] = each  # looked at again once all others were
        return made
