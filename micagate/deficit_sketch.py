"""What accounts that were let go still owe: times by key, in memory of a fixed size. Decides nothing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterator, Mapping
from typing import Any

SLOTS = 1 << 15  # of each of the two rows (ours)
PIECE = 1 << 12  # of them that are copied in one step


class DeficitSketch:
    """When accounts that were let go before they were full again would have been so, in bounded memory.

    Each is written in one place of each of two rows, the latest time wins, and the earlier of both is read
    (a count-min sketch: Cormode, Muthukrishnan 2005): so a time may be too late, never too early. Harm: in
    a flood of customers with debts a new one may be taken for one of them, and begins with less.
    """

    def __init__(self, salt: str) -> None:
        # Salted: nobody can choose names that share their places with somebody else's.
        self._salt = salt.encode()[:64]
        self._rows = [-math.inf] * SLOTS, [-math.inf] * SLOTS
        self._added: list[tuple[int, int, float]] | None = None  # since a copy began

    def _places(self, key: str) -> tuple[int, int]:
        digest = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8, key=self._salt).digest(), "big")
        return digest % SLOTS, (digest >> 32) % SLOTS

    def add(self, now: float, key: str, seconds: float) -> None:
        """An account goes that would take so long to be full again."""
        if seconds > 0:
            for number, place in enumerate(self._places(key)):
                row = self._rows[number]
                row[place] = max(row[place], now + seconds)
                if self._added is not None:
                    self._added.append((number, place, row[place]))

    def deficit(self, now: float, key: str) -> float:
        """The seconds of filling that a returning account is short of."""
        first, second = self._places(key)
        return max(0.0, min(self._rows[0][first], self._rows[1][second]) - now)

    def copy(self) -> Iterator[dict[str, object]]:
        """The salt and what is in the rows, a piece at a time; what comes meanwhile is for `rest`."""
        self._added = []
        for number, row in enumerate(self._rows):
            for first in range(0, SLOTS, PIECE):
                piece = row[first : first + PIECE]
                yield self._told([(number, first + n, when) for n, when in enumerate(piece) if when > -math.inf])

    def rest(self) -> dict[str, object]:
        """What has come since the copy began."""
        added, self._added = self._added or [], None
        return self._told(added)

    def _told(self, places: list[tuple[int, int, float]]) -> dict[str, object]:
        return {"salt": self._salt, "places": places}

    def restore(self, state: Mapping[str, Any]) -> None:
        """Take over what another process remembered, with its salt."""
        salt, places = state.get("salt"), state.get("places", ())
        if not isinstance(salt, bytes):
            return
        self._salt = salt[:64]
        for number, place, when in places:
            if 0 <= number < len(self._rows) and 0 <= place < SLOTS:
                row = self._rows[number]
                row[place] = max(row[place], float(when))
