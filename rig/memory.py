"""Measures the resident memory of a process."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Awaitable


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process in bytes, by default this one's."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


async def peak_resident_bytes(pid: int, work: Awaitable[None]) -> int:
    """Return the peak resident memory of a process, in bytes, while `work` runs (sampled every 20 ms)."""
    peak, task = 0, asyncio.ensure_future(work)
    while not task.done():
        peak = max(peak, resident_bytes(pid))
        await asyncio.sleep(0.02)
    await task
    return peak
