"""What accounts that were let go still owe: times by key, in memory of a fixed size. Decides nothing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from typing import Any

SLOTS = 1 << 15  # of each of the two rows (ours)


class Debts:
    """When accounts that were let go before they were full again would have been so, in bounded memory.

    Each is written in one place of each of two rows, the latest time wins, and the earlier of both is read
    (a count-min sketch: Cormode, Muthukrishnan 2005): so a time may be too late, never too early. Harm: in
    a flood of customers with debts a new one may be taken for one of them, and begins with less.
    """

    def __init__(self, salt: str) -> None:
        # Salted: nobody can choose names that share their places with somebody else's.
        self._salt = salt.encode()[:64]
        self._rows = [-math.inf] * SLOTS, [-math.inf] * SLOTS

    def _places(self, key: str) -> tuple[int, int]:
        digest = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8, key=self._salt).digest(), "big")
        return digest % SLOTS, (digest >> 32) % SLOTS

    def add(self, now: float, key: str, seconds: float) -> None:
        """An account goes that would take so long to be full again."""
        if seconds > 0:
            for row, place in zip(self._rows, self._places(key), strict=True):
                row[place] = max(row[place], now + seconds)

    def owed(self, now: float, key: str) -> float:
        """The seconds of filling that a returning account is short of."""
        first, second = self._places(key)
        return max(0.0, min(self._rows[0][first], self._rows[1][second]) - now)

    def state(self) -> dict[str, object]:
        """The salt and what is in the rows, for another process."""
        return {"salt": self._salt, "rows": [
            [(n, when) for n, when in enumerate(row) if when > -math.inf] for row in self._rows]}

    def restore(self, state: Mapping[str, Any]) -> None:
        """Take over what another process remembered, with its salt."""
        salt, rows = state.get("salt"), state.get("rows", ())
        if not isinstance(salt, bytes) or len(rows) != len(self._rows):
            return
        self._salt = salt[:64]
        for row, told in zip(self._rows, rows, strict=True):
            for n, when in told:
                if 0 <= n < SLOTS:
                    row[n] = max(row[n], float(when))
