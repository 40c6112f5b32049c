"""The platform's stand-in for the memory limit: "Over `memory_mb` the gatekeeper is killed"."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal

from kit2.stand_ins import Gatekeeper, Record


def resident_kb(pid: int) -> int:
    """The resident memory of a process in kB; 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


async def watch_memory(gatekeeper: Gatekeeper, memory_mb: int, record: Record) -> bool:
    """Kill the gatekeeper when it is over its memory limit, and return True; False where that takes too long."""
    assert gatekeeper.process is not None
    highest = 0
    try:
        while True:
            highest = max(highest, resident_kb(gatekeeper.process.pid))
            if highest > memory_mb * 1024:
                record.write(f"the gatekeeper has {highest} kB of resident memory, its limit is {memory_mb * 1024} kB")
                gatekeeper.signal(signal.SIGKILL)
                return True
            await asyncio.sleep(0.02)
    finally:
        record.write(f"highest resident memory {highest} kB")
