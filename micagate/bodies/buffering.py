"""The memory that a process may use for what its connections hold, and the decisions that depend on it.

All that is received and waits to be sent is charged to one budget: incomplete heads and bodies, requests that wait
behind others, and responses that clients have not read. When it is used up, connections that hold much are not read
any more, so that the rest stays with the system and with the peer.

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

from collections import deque
from collections.abc import Callable

MAX_BODY_BYTES = 48 * 1024 * 1024  # default limit of a body in bytes
MAX_BUFFERED_BYTES = 24 * 1024 * 1024  # default limit, in bytes, of what all connections hold
WINDOW_BYTES = 128 * 1024  # bytes of a body that may wait to be forwarded when it is not buffered for another attempt
MIN_WINDOW_BYTES = 4 * 1024  # the same while the budget is used up: each body still proceeds
FREE_BYTES = 2 * 1024  # what a connection may hold in any case: the head of a usual request
RESPONSE_SHARE = 0.75  # of the budget, for responses that clients have not read; the rest is left to requests
MAX_WAKEUPS = 16  # callers that a release wakes; the others wait for the next one
MIN_GATHERED_BYTES = 1024 * 1024  # bytes gathered before an incomplete body is forwarded, while there is memory


class BufferBudget:
    """The bytes that all connections of a process together may hold.

    What was read already is charged even beyond the limit; from then on callers wait. They can register a callback for
    when there is room again; each is called once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0
        self._waiters: deque[Callable[[], None]] = deque()

    @property
    def room_bytes(self) -> int:
        """Bytes that are left."""
        return max(0, self.limit_bytes - self.used_bytes)

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing is left."""
        return self.used_bytes >= self.limit_bytes

    def has_response_room(self) -> bool:
        """Whether more of the responses that clients have not read may be held."""
        return self.used_bytes < RESPONSE_SHARE * self.limit_bytes

    def charge(self, size: int) -> None:
        """Charge `size` bytes that are held."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Release `size` bytes, and wake callers that wait."""
        self.used_bytes -= size
        if size and self._waiters:
            self.wake()

    def wake(self) -> None:
        """Call some of the waiting callbacks, in their order, if there is room."""
        for _ in range(min(MAX_WAKEUPS, len(self._waiters))):
            if self.is_exhausted or not self._waiters:
                return
            self._waiters.popleft()()

    def on_release(self, callback: Callable[[], None]) -> None:
        """Register a callback for when there is room."""
        self._waiters.append(callback)


def should_forward(size: int, complete: bool, scarce: bool) -> bool:
    """Return whether to start forwarding a body of which `size` bytes have arrived.

    Earlier when memory is scarce, since a streaming body holds only a window. Otherwise later is better: a slow sender
    then occupies neither a connection to a worker nor a concurrency slot of the customer.
    """
    return complete or size >= MIN_GATHERED_BYTES or scarce


def should_read(waiting: int, scarce: bool, room: bool = True) -> bool:
    """Return whether to read more of a body of which `waiting` bytes wait to be forwarded.

    `scarce`: the body is not buffered for another attempt. `room`: the budget has bytes left.
    """
    if not room:
        return waiting < MIN_WINDOW_BYTES
    return not scarce or waiting < WINDOW_BYTES
