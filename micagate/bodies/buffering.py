"""A common memory limit for all long bodies, and the decisions that depend on it.

A long body is forwarded while it arrives. As long as there is memory, the forwarded part is also buffered for a further
attempt, and the body behaves like a short one. Without memory it streams through a window of its own, and the forwarded
part is dropped: the attempt that got it is the only one. When a further attempt is allowed depends on how far the last
one got and on the effect of the request:

| state of the attempt | `PURE` | `TOKEN` | `SIDE_EFFECT` |
| --- | --- | --- | --- |
| not begun | yes | yes | yes |
| not written completely | if all is buffered | the same | the same: it never ran |
| written completely, rejected | if all is buffered | the same | the same |
| written completely, may have run | if all is buffered | within the `window` of its class, if all is buffered | never |
| response has begun | never | never | never |

The row "may have run" is the gateway's rule for all requests; this module adds that the body must be buffered, and the
last row.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_BODY_BYTES = 48 * 1024 * 1024  # default limit of a body in bytes
MAX_BUFFERED_BYTES = 24 * 1024 * 1024  # default limit, in bytes, of what all long bodies buffer beyond their windows
WINDOW_BYTES = 128 * 1024  # bytes of a body that may wait to be forwarded when nothing more can be buffered
MIN_GATHERED_BYTES = 1024 * 1024  # bytes gathered before an incomplete body is forwarded, while there is memory


class BufferBudget:
    """The bytes that all long bodies together may buffer beyond their windows.

    Callers that got none can register a callback for when some are released; each is called once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0
        self._waiters: list[Callable[[], None]] = []

    def acquire(self, size: int) -> bool:
        """Acquire `size` bytes; return False, and acquire none, if they are not available."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes and call the waiting callbacks."""
        self.used_bytes -= size
        if size and self._waiters:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                waiter()

    def on_release(self, callback: Callable[[], None]) -> None:
        """Register a callback for the next release."""
        self._waiters.append(callback)


def should_forward(size: int, complete: bool, scarce: bool) -> bool:
    """Return whether to start forwarding a body of which `size` bytes have arrived.

    Earlier when memory is scarce, since a streaming body holds only a window. Otherwise later is better: a slow sender
    then occupies neither a connection to a worker nor a concurrency slot of the customer.
    """
    return complete or size >= MIN_GATHERED_BYTES or scarce


def should_read(waiting: int, scarce: bool) -> bool:
    """Return whether to read more of a body of which `waiting` bytes wait to be forwarded."""
    return not scarce or waiting < WINDOW_BYTES
