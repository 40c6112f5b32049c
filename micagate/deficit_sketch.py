"""A sketch of fixed size that records the deficits of evicted accounts, as the times when they are full again."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterator, Mapping
from typing import Any

SLOTS_PER_ROW = 1 << 15  # of which there are two
SLOTS_PER_CHUNK = 1 << 12  # copied in one step, to bound its duration


class DeficitSketch:
    """The times at which accounts evicted with a deficit would have been full again, in bounded memory.

    A key has one slot in each of two rows. A slot keeps the latest time written to it, and the earlier of the two
    slots is read (a count-min sketch: Cormode, Muthukrishnan 2005), so a time may be too late but never too early.
    Trade-off: in a flood of customers with deficits a new customer may collide with them and start with less.
    """

    def __init__(self, salt: str) -> None:
        # The salt prevents anyone from choosing names that collide with those of other customers.
        self._salt = salt.encode()[:64]
        self._rows = [-math.inf] * SLOTS_PER_ROW, [-math.inf] * SLOTS_PER_ROW
        self._changed_slots: list[tuple[int, int, float]] | None = None  # row, slot, time; None if no copy is running

    def _slots(self, key: str) -> tuple[int, int]:
        """Return the slot of a key in each row."""
        digest = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8, key=self._salt).digest(), "big")
        return digest % SLOTS_PER_ROW, (digest >> 32) % SLOTS_PER_ROW

    def add(self, now: float, key: str, seconds: float) -> None:
        """Record an evicted account that would be full again in `seconds`."""
        if seconds > 0:
            for number, slot in enumerate(self._slots(key)):
                row = self._rows[number]
                row[slot] = max(row[slot], now + seconds)
                if self._changed_slots is not None:
                    self._changed_slots.append((number, slot, row[slot]))

    def deficit(self, now: float, key: str) -> float:
        """Return the seconds that a returning account still lacks of being full; 0 if it has no deficit."""
        first, second = self._slots(key)
        return max(0.0, min(self._rows[0][first], self._rows[1][second]) - now)

    def copy(self) -> Iterator[dict[str, object]]:
        """Yield the salt and the contents in chunks; changes made meanwhile are returned by `take_changes`."""
        self._changed_slots = []
        for number, row in enumerate(self._rows):
            for first in range(0, SLOTS_PER_ROW, SLOTS_PER_CHUNK):
                full_times = row[first : first + SLOTS_PER_CHUNK]
                yield self._chunk(
                    [
                        (number, first + index, full_at)
                        for index, full_at in enumerate(full_times)
                        if full_at > -math.inf
                    ]
                )

    def take_changes(self) -> dict[str, object]:
        """Return the changes since the copy began, and end it."""
        changed_slots, self._changed_slots = self._changed_slots or [], None
        return self._chunk(changed_slots)

    def _chunk(self, slots: list[tuple[int, int, float]]) -> dict[str, object]:
        """Return a chunk for `restore` of a successor; its keys are part of the handoff format."""
        return {"salt": self._salt, "places": slots}

    def restore(self, state: Mapping[str, Any]) -> None:
        """Merge the chunk of another process and adopt its salt; do nothing if it is malformed."""
        salt, slots = state.get("salt"), state.get("places", ())
        if not isinstance(salt, bytes):
            return
        self._salt = salt[:64]
        for number, slot, full_at in slots:
            if 0 <= number < len(self._rows) and 0 <= slot < SLOTS_PER_ROW:
                row = self._rows[number]
                row[slot] = max(row[slot], float(full_at))
