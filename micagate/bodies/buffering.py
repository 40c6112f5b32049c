"""One bound on the memory of all long bodies, and what is decided by it.

A long body is passed on while it comes. What has been passed on is kept as well, for a further attempt, as far as
there is room: then the body behaves like a short one. Where there is none it flows through a window of its own, and
what has gone by is gone: the attempt that had it is the only one.

| of the attempt is known | safe | keyed | unsafe |
| --- | --- | --- | --- |
| not begun | goes | goes | goes |
| not written whole | again, where all is kept | the same | the same: it never ran |
| written whole, turned away | again, where all is kept | the same | the same |
| written whole, may have run | again, where all is kept | in its window, where all is kept | never |
| its answer has begun | never | never | never |

The last row but one is the module's own rule for all requests; this adds `kept` to it, and the last row.
"""

from __future__ import annotations

from collections.abc import Callable

LONGEST = 48 * 1024 * 1024  # bytes of a body, unless set otherwise
HELD = 24 * 1024 * 1024  # bytes that all long bodies hold beyond their windows, unless set otherwise
WINDOW = 128 * 1024  # bytes of a body that may wait to go on where nothing more can be kept
FIRST = 1024 * 1024  # bytes that are gathered before a body that still comes is passed on, while there is room


class Budget:
    """The bytes that all long bodies together may hold beyond their windows.

    `waits` are called, each once, when some are given back: those who could take none.
    """

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self._waits: list[Callable[[], None]] = []

    def take(self, size: int) -> bool:
        """Take so many, or none."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        """Give so many back."""
        self.held -= size
        if size and self._waits:
            waits, self._waits = self._waits, []
            for wait in waits:
                wait()

    def wait(self, call: Callable[[], None]) -> None:
        """Be called once there is more."""
        self._waits.append(call)


def begins(size: int, whole: bool, scarce: bool) -> bool:
    """Whether a body of which `size` bytes have come is to be passed on now.

    Sooner where memory is scarce: what flows holds a window only. Later is better for the rest: a worker's
    connection and a customer's place are not held by a slow sender.
    """
    return whole or size >= FIRST or scarce


def reads_on(waiting: int, scarce: bool) -> bool:
    """Whether more of a body is read, with so many bytes waiting to go on."""
    return not scarce or waiting < WINDOW
