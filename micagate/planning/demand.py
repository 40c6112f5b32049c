"""What share of a thing a forwarder needs, from what it was asked of it: quick to rise, slow to fall."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from micagate.interface import ResourceDemand
from micagate.planning.holder import GONE, Demand

RISE = 0.4  # seconds over which a rate that rises is averaged
# The same for one that falls: as long as so many units took to come, since silence is news only after that.
FEW, SHORTEST, LONGEST = 3.0, 0.3, 3.0
HEADROOM = 1.25  # of a need over the average rate: arrivals come by chance
SPAN = 1.0  # seconds over which what came at once is held against the burst


class _Seen:
    __slots__ = ("first", "count", "rate", "peak", "whole", "burst", "open", "most")

    def __init__(self, tally: ResourceDemand) -> None:
        self.first, self.count = tally.first_gateway, tally.gateway_count
        self.rate = self.peak = self.most = 0.0
        self.whole, self.burst, self.open = tally.total_rate, tally.burst, tally.concurrency_limit


class Demands:
    """Turns tallies into needs; things that nothing is asked of fade out by themselves."""

    def __init__(self, now: float) -> None:
        self._seen: dict[str, _Seen] = {}
        self._at = now

    def __len__(self) -> int:
        return len(self._seen)

    def survey(self, now: float, tallies: Iterable[ResourceDemand]) -> list[Demand]:
        """Take in the tallies of the time since the last survey; the needs of all that is known."""
        passed = max(1e-3, now - self._at)
        self._at = now
        rise = -math.expm1(-passed / RISE)
        asked: dict[str, ResourceDemand] = {}
        for tally in tallies:
            asked[tally.key] = tally
            if tally.key not in self._seen:
                self._seen[tally.key] = _Seen(tally)
        return list(self._demands(passed, rise, asked))

    def _demands(self, passed: float, rise: float, asked: dict[str, ResourceDemand]) -> Iterator[Demand]:
        for key, seen in list(self._seen.items()):
            tally = asked.get(key)
            rate = tally.requested_units / passed if tally is not None else 0.0
            if tally is not None:
                seen.first, seen.count = tally.first_gateway, tally.gateway_count
                seen.whole, seen.burst, seen.open = tally.total_rate, tally.burst, tally.concurrency_limit
            span = min(LONGEST, max(SHORTEST, FEW / max(seen.rate, 1e-6)))
            fall = -math.expm1(-passed / span)
            seen.rate += (rate - seen.rate) * (rise if rate > seen.rate else fall)
            # What came within one survey may have come at once: the store's burst has to take it.
            came = tally.requested_units if tally is not None else 0.0
            seen.peak += (came - seen.peak) * (1.0 if came > seen.peak else fall)
            most = tally.peak_in_flight if tally is not None else 0.0
            seen.most += (most - seen.most) * (1.0 if most > seen.most else fall)
            need = 0.0
            if seen.whole > 0:
                need = max(
                    HEADROOM * seen.rate / seen.whole,
                    seen.peak / (seen.burst + SPAN * seen.whole) if seen.burst else 0.0,
                )
            if seen.open > 0:
                need = max(need, seen.most / seen.open)
            need = min(1.0, need)
            if need < GONE:
                del self._seen[key]
                need = 0.0
            yield Demand(key, seen.first, seen.count, need)
