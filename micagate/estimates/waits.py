"""Estimate of when a client retry's original request began, from how long clients wait for a response."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from micagate import interface

# Latest first requests of a class whose waits are kept, and the fraction of the deadline within which waits are equal.
MAX_WAITS_PER_CLASS, SIMILARITY_RATIO = 32, 0.02


class FirstRequestWaits:
    """Keeps how long clients recently waited for the response to a first request, by class."""

    def __init__(self, classes: Iterable[interface.RequestClass]) -> None:
        self._waits = {c.name: deque[float](maxlen=MAX_WAITS_PER_CLASS) for c in classes}

    def record_first(self, klass: interface.RequestClass, time_left: float) -> None:
        """Record a first request, whose client waits `time_left` seconds."""
        self._waits[klass.name].append(time_left)

    def is_too_late(self, klass: interface.RequestClass, time_left: float) -> bool:
        """Return whether a client retry arrives after its aim has passed, so that it would spend units for nothing.

        A client waits as long for each retry as for its first request, unless the deadline leaves less. So a wait that
        differs from those of first requests was cut by the deadline and shows when the original request began. The wait
        is compared with all recent ones, because clients differ and a usual wait must not be taken for a cut one. No
        trade-off is known as long as clients of one kind wait equally long.
        """
        elapsed = klass.deadline - time_left
        if klass.late_value or elapsed <= klass.aim:
            return False
        return all(abs(wait - time_left) > SIMILARITY_RATIO * klass.deadline for wait in self._waits[klass.name])

    def state(self) -> dict[str, list[float]]:
        """Return the waits by class, for `restore`."""
        return {name: list(waits) for name, waits in self._waits.items()}

    def restore(self, state: Mapping[str, Any]) -> None:
        """Restore the waits that another process has kept."""
        for name, seen in state.items():
            if name in self._waits and isinstance(seen, list):
                self._waits[name].extend(float(wait) for wait in seen)
