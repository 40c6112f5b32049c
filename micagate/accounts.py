"""Customers' accounts: what a gateway knows of one, and what its stores hold."""

from __future__ import annotations

import math

from micagate import interface
from micagate.estimates.metering import UNSEEN, Meter, Whole
from micagate.recovery.high_water_mark import Mark

SMOOTH = 2.0  # seconds that a reading of the meter should span; shorter ones are averaged (ours)


class Account:
    """One customer as this gateway knows it."""

    __slots__ = (
        "plan",
        "spread",
        "over",
        "span",
        "key",
        "first",
        "tally",
        "most",
        "depth",
        "floor",
        "slice",
        "stood",
        "store",
        "whole",
        "ceiling",
        "at",
        "tick",
        "asked",
        "forecast",
        "longer",
        "top",
        "use",
        "read",
        "readings",
        "fresh",
        "out",
        "took",
        "full_until",
        "counted",
        "silent",
        "filled",
        "held",
    )

    def __init__(self, plan: interface.Plan, key: str, spread: int, now: float, born: float) -> None:
        self.plan, self.key, self.spread = plan, key, spread
        # What the whole rate, and the whole stores, are divided by to give this gateway's.
        self.over: float = spread
        self.span: float = spread
        self.first, self.tally, self.most = 0, 0.0, 0
        self.depth, self.floor = plan.burst / spread, plan.rate / spread
        self.slice = self.stood = self.floor  # now, and when the use was metered that is read now
        self.store, self.whole = self.depth, Whole(plan.rate, plan.burst, spread, now, UNSEEN * plan.burst)
        # An earlier life of this gateway may have spent its share of the ceiling: it fills from this birth.
        self.ceiling = min(plan.ceiling_capacity, (now - born) * plan.ceiling_rate) / spread
        self.at = self.tick = now
        self.asked = self.forecast = self.longer = self.top = 0.0
        self.use, self.read, self.readings, self.fresh = UNSEEN, now, 0, False
        self.counted = False  # its sends may be: `Counting` fills its part of the ceiling
        self.silent: float | None = None  # since when its counts have had no answer
        self.filled = now  # up to when the ceiling's part was filled since
        self.full_until = now  # a counted total has told that there is no room before
        self.held: Mark | None = None  # what stands on disk of the ceiling's part: not to be spent below it
        self.out, self.took = 0, 0.0  # attempts out, and how long one is, on average; 0: none has ended

    def metered(self, now: float, used: float, meter: Meter, age: float = 0.0) -> None:
        """A reading of the meter, `age` seconds old; averaged with those before where its period is short.

        Guards against coarse readings: one unit in a short period looks like many times the rate. The level
        of the whole store needs no average: it sums them.
        """
        if self.plan.rate:  # without one, readings are of what is out
            self.whole.reading(now, used, meter, age)
        smooth = max(1e-9, SMOOTH - meter.period)
        self.readings += 1
        weight = max(1 - math.exp((self.read - now) / smooth), 1 / (1 + self.readings))
        self.use += (used - self.use) * weight
        self.read, self.fresh = now, True

    def short(self) -> float:
        """Seconds until store and ceiling would be full again."""
        rate, top = self.plan.ceiling_rate / self.spread, self.plan.ceiling_capacity / self.spread
        return max(
            (top - self.ceiling) / rate if rate > 0 else 0.0,
            (self.depth - self.store) / self.floor if self.floor > 0 else 0.0,
        )

    def owe(self, seconds: float) -> None:
        """Begin with what would take so long to fill missing."""
        if seconds > 0:
            self.store = max(0.0, self.store - seconds * self.floor)
            self.whole.level = max(0.0, self.whole.level - seconds * self.plan.rate)
            self.ceiling = max(0.0, self.ceiling - seconds * self.plan.ceiling_rate / self.spread)

    def room(self) -> float:
        """How sure it is that the quota has room: 1 while the meter shows half in use, 0 from all on."""
        return min(1.0, max(0.0, 2 * (1 - self.use)))
