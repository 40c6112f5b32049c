"""Clients send long filings in chunks that end with a trailer field."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit2.chunked import TRAILER, ChunkedWorker, file_message  # noqa: E402
from kit2.stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Discovery,
    Gatekeeper,
    Record,
    run_case,
    settings,
)

LENGTHS = {"short": 2 * 1024, "long": 1536 * 1024}
EACH = 6  # filings of each length


async def case(record: Record) -> int:
    """Run the case."""
    workers = [ChunkedWorker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        await worker.start()
    discovery = Discovery(list(workers), record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings())
    results = {}
    try:
        await gatekeeper.start()
        for number in range(EACH):
            for kind, length in LENGTHS.items():
                name, trailer = f"{kind}-filing-{number}", TRAILER if TROUBLE else b""
                results[name] = await file_message(
                    name, gatekeeper.port, record, length, trailer, ChunkedWorker.answer_bytes
                )
                await asyncio.sleep(0.1)
    finally:
        gatekeeper.end()
    record.write(f"no final answer to {[name for name, whole in results.items() if not whole]}")
    return HELD if all(results.values()) else BROKEN


run_case(str(pathlib.Path(__file__).parent), case)
