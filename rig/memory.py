"""What a process holds in memory."""

from __future__ import annotations

import resource


def resident(pid: int | str = "self") -> int:
    """Bytes of memory that a process has resident; its own, if none is named."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()
