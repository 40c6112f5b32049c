"""What a process holds in memory."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Awaitable


def resident(pid: int | str = "self") -> int:
    """Bytes of memory that a process has resident; its own, if none is named."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


async def highest(pid: int, work: Awaitable[None]) -> int:
    """The most that a process had resident while some work was done, in bytes."""
    peak, task = 0, asyncio.ensure_future(work)
    while not task.done():
        peak = max(peak, resident(pid))
        await asyncio.sleep(0.02)
    await task
    return peak
