"""A long body between the client that sends it and the attempts that read it, in blocks under one budget.

Pieces of any size are gathered into blocks, so that what is held costs what it says. One reader at a time; a reader
that begins anew begins at the first byte, where all is still kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from micagate.bodies import buffering

BLOCK = 32 * 1024


class Body:
    """A body that comes in at one end and is read at the other."""

    __slots__ = (
        "_budget",
        "_blocks",
        "_first",
        "_tail",
        "_held",
        "_passed",
        "size",
        "whole",
        "broken",
        "kept",
        "scarce",
        "reader",
        "drained",
        "length",
    )

    def __init__(self, budget: buffering.Budget, length: int | None) -> None:
        self._budget = budget
        self._blocks: deque[bytes] = deque()
        self._first = 0  # the number of the first block that is still here
        self._tail = bytearray()
        self._held = 0  # bytes taken of the budget
        self._passed = 0  # bytes that a reader has had
        self.length = length  # as announced
        self.size = 0  # bytes that have come
        self.whole = self.broken = False
        self.scarce = False  # there was no room for some of it: it flows through its window
        self.kept = True  # from the first byte on
        self.reader: Callable[[], None] | None = None  # called when there is more
        self.drained: Callable[[], None] | None = None  # called when more may be taken in

    def append(self, data: bytes) -> None:
        """A piece has come."""
        if self.broken:
            return
        self.size += len(data)
        if self._budget.take(len(data)):
            self._held += len(data)
        else:
            self.scarce = True
        self._tail += data
        while len(self._tail) >= BLOCK:
            self._blocks.append(bytes(self._tail[:BLOCK]))
            del self._tail[:BLOCK]
        if self.reader is not None:
            self.reader()

    def finish(self) -> None:
        """The last piece has come."""
        self.whole = True
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()
        if self.reader is not None:
            self.reader()

    def read(self, number: int) -> bytes | None:
        """Block `number`, from 0; None where it has not come yet. A reader asks for each once, in order."""
        if number - self._first >= len(self._blocks):
            return None
        block = self._blocks[number - self._first]
        self._passed = max(self._passed, number * BLOCK + len(block))
        if self.scarce:
            self._forget(number)
        if self.drained is not None and self.reads_on():
            self.drained()
        return block

    def _forget(self, number: int) -> None:
        """Let go all up to a block: there is no room to keep it."""
        self.kept = False
        while self._blocks and self._first <= number:
            size = min(self._held, len(self._blocks.popleft()))
            self._first += 1
            self._held -= size
            self._budget.give(size)

    def waiting(self) -> int:
        """Bytes that no reader has had."""
        return self.size - self._passed

    def reads_on(self) -> bool:
        """Whether more may be taken in."""
        return self.broken or buffering.reads_on(self.waiting(), self.scarce)

    def drop(self) -> None:
        """Nobody needs it any more."""
        if self.broken:
            return
        self.broken = True
        self.reader = None
        self._blocks.clear()
        self._tail.clear()
        held, self._held = self._held, 0
        self._budget.give(held)
        if self.drained is not None:
            self.drained()
