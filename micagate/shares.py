"""Shares of things that planners move between gateways, as the decisions use them.

Each gateway of a set of `count` has the part 1/count of a thing, less what it has lent, plus what it has
borrowed. Both stand by session, with one end each for all of a session, and are looked at when they are used:
a gateway that slept past an end spends nothing that was no longer its own. With no planner there is nothing
here, and every part is 1/count to the letter.
"""

from __future__ import annotations

import math

from micagate import interface as i

MOVED = 0.7  # of the stores behind a share, which moves with it (ours)


class Shares:
    """What is lent and borrowed of each thing."""

    def __init__(self) -> None:
        self._ends: dict[int, tuple[float, float]] = {}  # by session: of what is lent, of what is borrowed
        self._amounts: dict[str, dict[int, tuple[float, float]]] = {}
        self._paces: dict[str, dict[int, float]] = {}

    def change(self, event: i.Shares) -> None:
        """Follow a session; one whose both ends are past is forgotten with its amounts."""
        if event.over:
            self._ends.pop(event.session, None)
            for key in [key for key, held in self._amounts.items() if event.session in held]:
                self._set(key, event.session, 0.0, 0.0)
            for key in [key for key, told in self._paces.items() if event.session in told]:
                self._tell(key, event.session, 0.0)
            return
        self._ends[event.session] = event.lent_until, event.borrowed_until
        for share in event.changes:
            self._set(share.key, event.session, share.lent, share.borrowed)
        for pace in event.paces:
            self._tell(pace.key, event.session, pace.pace)

    def _tell(self, key: str, session: int, pace: float) -> None:
        told = self._paces.setdefault(key, {})
        told.pop(session, None)
        if pace:
            told[session] = pace  # the latest told is the last
        if not told:
            del self._paces[key]

    @property
    def paced(self) -> bool:
        """Whether the pace of any worker has been told."""
        return bool(self._paces)

    def pace(self, now: float, key: str) -> float:
        """What a worker can do for all gateways together, answers a second; 0 where that is not known."""
        for session, pace in reversed(self._paces.get(key, {}).items()):
            if now < self._ends[session][1]:
                return pace
        return 0.0

    def _set(self, key: str, session: int, lent: float, borrowed: float) -> None:
        held = self._amounts.setdefault(key, {})
        if lent or borrowed:
            held[session] = lent, borrowed
        else:
            held.pop(session, None)
        if not held:
            del self._amounts[key]

    def __len__(self) -> int:
        return len(self._amounts)

    def over(self, now: float, key: str, count: float) -> tuple[float, float]:
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


def customer_key(plan: str, customer: str) -> str:
    """The thing that a customer's quota and ceiling are."""
    return f"c/{plan}/{customer}"


def worker_key(worker: str) -> str:
    """The thing that a cold worker's room is."""
    return f"w/{worker}"
