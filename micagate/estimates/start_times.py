"""Start times of endpoints on the local monotonic clock, from the Unix times in a discovery list.

The clocks of discovery and of this machine may differ by seconds or by an hour, and this machine's clock may be
stepped. What is certain is when a new start time is first seen: the endpoint started before that, and the most recently
started ones only a little before. So the smallest age at which a start was ever first seen is taken as the clock
difference (as clock filters use the minimum delay: Mills, "Network Time Protocol", RFC 5905, section 10). A start keeps
the time it was first given, because that time identifies the endpoint's incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class StartTimes:
    """Start times by endpoint, in seconds; `wall` is Unix time, all others are on the caller's monotonic clock."""

    wall_offset: float  # Unix time minus monotonic time on this machine, read once
    least_age: float | None = None  # smallest apparent age of a start when first seen as a change
    _known: dict[str, tuple[float, float | None]] = field(default_factory=dict)  # Unix and monotonic time by endpoint
    _has_previous_list: bool = False  # an earlier list had any endpoints

    def start_time(self, now: float, endpoint: str, wall: float) -> float | None:
        """Return when a listed endpoint started; None for long ago (`wall` is 0)."""
        known = self._known.get(endpoint)
        if known is not None and known[0] == wall:
            return known[1]
        started = None
        if wall:
            age = now - (wall - self.wall_offset)
            if self._has_previous_list:  # the start is new since the last list
                self.least_age = age if self.least_age is None else min(self.least_age, age)
            started = min(now, wall - self.wall_offset + (self.least_age or 0.0))
        self._known[endpoint] = wall, started
        return started

    def record_list(self, snapshot: bool, endpoints: set[str]) -> None:
        """Record the end of a list with these endpoints; a snapshot drops all others."""
        self._has_previous_list = self._has_previous_list or bool(endpoints)
        if snapshot:
            for removed in self._known.keys() - endpoints:
                del self._known[removed]

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that was removed from the list."""
        self._known.pop(endpoint, None)

    def state(self) -> dict[str, Any]:
        """Return the state for a successor process on the same machine."""
        return {"least_age": self.least_age, "known": {name: list(pair) for name, pair in self._known.items()}}

    def restore(self, state: dict[str, Any]) -> None:
        """Restore a predecessor's state; raises ValueError, TypeError or KeyError if it is malformed."""
        least_age = state["least_age"]
        known = {}
        for name, (wall, started) in state["known"].items():
            known[str(name)] = float(wall), None if started is None else float(started)
        self.least_age = None if least_age is None else float(least_age)
        self._known, self._has_previous_list = known, True
