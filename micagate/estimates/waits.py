"""When a client's request began, from how long its later tries wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from micagate import interface

WAITS, ALIKE = 32, 0.02  # latest first tries of a class whose waits are kept; those this near are alike


class Waits:
    """How long clients wait for a first try, lately."""

    def __init__(self, classes: Iterable[interface.RequestClass]) -> None:
        self._waits = {c.name: deque[float](maxlen=WAITS) for c in classes}

    def first(self, klass: interface.RequestClass, time_left: float) -> None:
        """A first try has come."""
        self._waits[klass.name].append(time_left)

    def too_late(self, klass: interface.RequestClass, time_left: float) -> bool:
        """Whether a later try comes when its aim has surely passed, so that it would spend units for nothing.

        A client waits for each try as long as for its first, until the deadline cuts a try short or, at its
        last, all that is left: so a wait unlike those of first tries tells when the request began. Guards
        against taking a usual wait for one that was cut: clients differ, and so does their last try. Harm:
        none seen while clients of one kind wait alike.
        """
        begun = klass.deadline - time_left
        if klass.late_value or begun <= klass.aim:
            return False
        return all(abs(wait - time_left) > ALIKE * klass.deadline for wait in self._waits[klass.name])

    def kept(self) -> dict[str, list[float]]:
        """The waits, by class."""
        return {name: list(waits) for name, waits in self._waits.items()}

    def restore(self, state: Mapping[str, Any]) -> None:
        """Take over what another process has seen."""
        for name, seen in state.items():
            if name in self._waits and isinstance(seen, list):
                self._waits[name].extend(float(wait) for wait in seen)
