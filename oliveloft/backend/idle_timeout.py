"""How long a connection to a worker may rest before its next use, learned from those found dead by then."""

from __future__ import annotations

import math

STEPS = 12  # classes of age, each up to twice as old as the one before
FADE = 30.0  # seconds in which what was seen fades, so that a class given up is tried again
PRIOR, USUAL = 8.0, 0.05  # uses taken for granted in each class, and the share of them that break
DEAD, OVER_NEW = 0.2, 2.0  # a class is given up above this share, and so many times that of new connections


class IdleTimeout:
    """The longest rest after which a connection is likely enough to live.

    Uses are counted by the connection's age at rest, and of them those that broke with no byte of an answer;
    new connections are the measure. A class of age that breaks too often is given up, with all that is older.
    Guards against workers, and boxes on the way, that end or forget connections earlier than they are said
    to, whether or not a close arrives: what is written to such a one is lost, and may not be sent again where
    a repeat is unsafe. Harm: connections are made anew more often, each at the cost of a handshake; where one
    worker alone drops them early, those to all others rest no longer either; and every relapse into a class
    that was given up costs a request or two.
    """

    def __init__(self, longest: float, now: float) -> None:
        self.limit = self._longest = longest
        self._edges = [longest / 2 ** (STEPS - n) for n in range(1, STEPS)]  # where all classes but one begin
        self._uses, self._breaks = [0.0] * (STEPS + 1), [0.0] * (STEPS + 1)  # the last: new connections
        self._told_at = now

    def tell(self, age: float | None, broke: bool) -> None:
        """A connection of this age at rest, or a new one, has carried an attempt or broken under it."""
        place = STEPS if age is None else sum(age >= edge for edge in self._edges)
        self._uses[place] += 1
        if broke:
            self._breaks[place] += 1
            self._judge()

    def look(self, now: float) -> None:
        """Let what was seen fade."""
        fade, self._told_at = math.exp((self._told_at - now) / FADE), now
        self._uses = [uses * fade for uses in self._uses]
        self._breaks = [breaks * fade for breaks in self._breaks]
        self._judge()

    def _judge(self) -> None:
        *shares, new = [
            (breaks + PRIOR * USUAL) / (uses + PRIOR) for uses, breaks in zip(self._uses, self._breaks, strict=True)
        ]
        bar = max(DEAD, OVER_NEW * new)
        first = next((n for n, share in enumerate(shares) if share > bar), STEPS)
        self.limit = [0.0, *self._edges, self._longest][first]
