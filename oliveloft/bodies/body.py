"""A streamed request body, buffered between the client that sends it and the attempts that read it.

Chunks of any size are gathered into blocks of one size, so that many small chunks take no more memory than is counted
against the shared budget. There is one reader at a time; a retry reads again from the first byte if all blocks are
still buffered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from micagate.bodies import buffering

BLOCK_BYTES = 32 * 1024


class Body:
    """A body that is appended to by the client connection and read block by block by an attempt."""

    __slots__ = (
        "_budget",
        "_blocks",
        "_first_block",
        "_tail",
        "_read_bytes",
        "_next_unread",
        "size",
        "held_bytes",
        "is_complete",
        "is_dropped",
        "is_replayable",
        "over_budget",
        "on_data",
        "on_room",
        "content_length",
    )

    def __init__(self, budget: buffering.BufferBudget, content_length: int | None) -> None:
        self._budget = budget
        self._blocks: deque[bytes] = deque()
        self._first_block = 0  # the number of the first block that is still buffered
        self._tail = bytearray()  # received bytes that do not fill a block yet
        self._read_bytes = 0  # bytes that have been read at least once
        self._next_unread = 0  # the number of the first block that has not been read
        self.content_length = content_length  # as announced; None: chunked
        self.size = 0  # bytes received
        self.is_complete = self.is_dropped = False
        self.held_bytes = 0  # bytes that are buffered, and charged to the budget
        self.over_budget = False  # the budget had no room: blocks are discarded once written, and input is windowed
        self.is_replayable = True  # all blocks from the first byte on are still buffered
        self.on_data: Callable[[], None] | None = None  # called when there is more to read
        self.on_room: Callable[[], None] | None = None  # called when more may be appended

    def append(self, data: bytes | bytearray) -> None:
        """Append received bytes."""
        if self.is_dropped:
            return
        self.size += len(data)
        self.held_bytes += len(data)
        self._budget.charge(len(data))
        self.over_budget = self.over_budget or self._budget.used_bytes > self._budget.limit_bytes
        self._tail += data
        while len(self._tail) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._tail[:BLOCK_BYTES]))
            del self._tail[:BLOCK_BYTES]
        if self.on_data is not None:
            self.on_data()

    def finish(self) -> None:
        """Mark the body as complete: all of it was received."""
        self.is_complete = True
        self._seal_tail()
        if self.on_data is not None:
            self.on_data()

    def _seal_tail(self) -> None:
        """Make a block of the bytes that do not fill one."""
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail = bytearray()

    def read(self, number: int) -> bytes | None:
        """Block `number`, from 0, or None if it was not received yet. A reader reads each block once, in order.

        With the block it says that it has written those before; without memory they are discarded.
        """
        if self.over_budget:
            self._discard_before(number)
            if number - self._first_block >= len(self._blocks):
                self._seal_tail()  # a small block, as there may be no memory for a full one
        if number - self._first_block >= len(self._blocks):
            return None
        block = self._blocks[number - self._first_block]
        if number >= self._next_unread:
            self._next_unread = number + 1
            self._read_bytes += len(block)
        if self.on_room is not None and self.accepts_more():
            self.on_room()
        return block

    def is_last(self, number: int) -> bool:
        """Whether block `number` is the last one, of a body that is complete."""
        return self.is_complete and number == self._first_block + len(self._blocks) - 1

    def block_bytes(self, number: int) -> int:
        """The size of a block that is buffered."""
        return len(self._blocks[number - self._first_block])

    def _discard_before(self, number: int) -> None:
        """Discard the blocks before this one: there is no room to keep them for a retry."""
        while self._blocks and self._first_block < number:
            self.is_replayable = False
            size = len(self._blocks.popleft())
            self._first_block += 1
            self.held_bytes -= size
            self._budget.release(size)

    def stop_buffering(self) -> None:
        """Discard blocks once they are written from now on: memory is scarce."""
        self.over_budget = True

    def unread_bytes(self) -> int:
        """Bytes that have not been read yet."""
        return self.size - self._read_bytes

    def accepts_more(self) -> bool:
        """Whether more may be appended."""
        has_room = not self._budget.is_exhausted
        if has_room and self.is_replayable:
            self.over_budget = False  # nothing was discarded while memory was scarce
        return self.is_dropped or buffering.should_read(self.unread_bytes(), self.over_budget, has_room)

    def drop(self) -> None:
        """Discard the body and return its bytes to the budget."""
        if self.is_dropped:
            return
        self.is_dropped = True
        self.on_data = None
        self._blocks.clear()
        self._tail = bytearray()
        held_bytes, self.held_bytes = self.held_bytes, 0
        self._budget.release(held_bytes)
        if self.on_room is not None:
            self.on_room()
