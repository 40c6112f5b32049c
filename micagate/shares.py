"""Shares of things that planners move between gateways, as the decisions use them.

Each gateway of a set of `count` has the part 1/count of a thing, less what it has lent, plus what it has
borrowed. Both stand by session, with one end each for all of a session, and are looked at when they are used:
a gateway that slept past an end spends nothing that was no longer its own. With no planner there is nothing
here, and every part is 1/count to the letter.
"""

from __future__ import annotations

import math

from micagate import interface
from micagate.resource_keys import SessionValues, set_values

MOVED = 0.7  # of the stores behind a share, which moves with it (ours)


class Shares:
    """What is lent and borrowed of each thing."""

    def __init__(self) -> None:
        self._ends: dict[int, tuple[float, float]] = {}  # by session: of what is lent, of what is borrowed
        self._amounts: SessionValues = {}  # by session: what is lent and what is borrowed
        self.worker_capacities: SessionValues = {}  # by session: what a worker can do

    def apply(self, event: interface.ShareUpdate) -> None:
        """Follow a session; one whose both ends are past is forgotten with its amounts."""
        if event.expired:
            self._ends.pop(event.session, None)
            for table in (self._amounts, self.worker_capacities):
                for key in list(table):
                    set_values(table, key, event.session)
            return
        self._ends[event.session] = event.lent_until, event.borrowed_until
        for share in event.changes:
            set_values(self._amounts, share.key, event.session, share.lent, share.borrowed)
        for pace in event.capacities:
            set_values(self.worker_capacities, pace.key, event.session, pace.capacity)

    def worker_capacity(self, now: float, key: str) -> float:
        """What a worker can do for all gateways together, answers a second; 0 where that is not known."""
        for session, (pace,) in reversed(self.worker_capacities.get(key, {}).items()):
            if now < self._ends[session][1]:
                return pace
        return 0.0

    def __len__(self) -> int:
        return len(self._amounts)

    def divisors(self, now: float, key: str, count: float) -> tuple[float, float]:
        """What the rate and the stores of a whole thing are divided by to give this gateway's.

        Both are `count` where nothing moved. Of the stores less moves than of the rate: traffic that comes to
        a lender meets something at once, until its share has followed.
        """
        held = self._amounts.get(key)
        if held is None:
            return count, count
        lent = borrowed = 0.0
        for session, (out, got) in held.items():
            lent_until, borrowed_until = self._ends[session]
            lent += out if now < lent_until else 0.0
            borrowed += got if now < borrowed_until else 0.0
        if not lent and not borrowed:
            return count, count
        rate = max(0.0, 1.0 / count - lent) + borrowed
        room = max(0.0, 1.0 / count - lent * MOVED) + borrowed * MOVED
        return 1.0 / rate if rate > 0 else math.inf, 1.0 / room if room > 0 else math.inf
