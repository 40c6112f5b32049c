"""The memory of the connections of a process: the budget for what they hold, and the buffer that they read into."""

from __future__ import annotations

from micagate.bodies.buffering import MAX_BUFFERED_BYTES, BufferBudget

MAX_READ_BYTES, READ_SHARE = 256 * 1024, 1 / 16  # read at once; also as a share of the budget
MIN_READ_BYTES = 2 * 1024  # read at once while the budget is used up


class ConnectionMemory:
    """A budget, and one read buffer for all connections: each parses what it has read before another one reads."""

    __slots__ = ("budget", "buffer", "_max_bytes", "_ample_bytes")

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.budget = BufferBudget(limit_bytes)
        self._max_bytes = max(MIN_READ_BYTES, min(MAX_READ_BYTES, int(READ_SHARE * limit_bytes)))
        self.buffer = memoryview(bytearray(self._max_bytes))  # what was read into it is overwritten by the next read
        self._ample_bytes = limit_bytes - self._max_bytes  # used bytes up to which a read needs no look at its size

    def read_view(self, size_bytes: int = MAX_READ_BYTES) -> memoryview:
        """A part of the buffer to read up to `size_bytes` into, or less as the budget has less room."""
        used_bytes = self.budget.used_bytes
        if used_bytes > self._ample_bytes:
            size_bytes = min(size_bytes, max(MIN_READ_BYTES, self.budget.limit_bytes - used_bytes))
        return self.buffer if size_bytes >= self._max_bytes else self.buffer[:size_bytes]
