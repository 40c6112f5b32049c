"""The part of a streamed response that waits until its client reads on."""

from __future__ import annotations

from collections import deque

GATHERED_BYTES = 8 * 1024  # smaller pieces are gathered into blocks of about this size


class PendingOutput:
    """Blocks of bytes in the order in which they are to be written. Large ones are kept as they are, not copied."""

    __slots__ = ("_blocks", "_tail", "size_bytes")

    def __init__(self) -> None:
        self._blocks: deque[bytes | bytearray] = deque()
        self._tail = bytearray()  # small pieces behind the blocks
        self.size_bytes = 0

    def append(self, data: bytes) -> None:
        """Append a piece."""
        self.size_bytes += len(data)
        if len(data) < GATHERED_BYTES:
            self._tail += data
            if len(self._tail) >= GATHERED_BYTES:
                self._seal_tail()
        else:
            self._seal_tail()
            self._blocks.append(data)

    def _seal_tail(self) -> None:
        if self._tail:
            self._blocks.append(self._tail)
            self._tail = bytearray()

    def take(self, size_bytes: int) -> list[bytes | bytearray]:
        """Remove and return the next blocks, about `size_bytes` of them."""
        self._seal_tail()
        taken: list[bytes | bytearray] = []
        while self._blocks and size_bytes > 0:
            block = self._blocks.popleft()
            size_bytes -= len(block)
            self.size_bytes -= len(block)
            taken.append(block)
        return taken
