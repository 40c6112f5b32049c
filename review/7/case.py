"""Workers give long answers in chunks that end with a trailer field."""

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

FILING_BYTES = 2 * 1024
LENGTHS = {"short": 2 * 1024, "long": 128 * 1024}
EACH = 6  # answers of each length


async def case(record: Record) -> int:
    """Run the case."""
    workers = [ChunkedWorker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        worker.trailer = TRAILER if TROUBLE else b""
        await worker.start()
    discovery = Discovery(list(workers), record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings())
    results = {}
    try:
        await gatekeeper.start()
        for number in range(EACH):
            for kind, length in LENGTHS.items():
                name = f"{kind}-answer-{number}"
                for worker in workers:
                    worker.answer_bytes = length
                results[name] = await file_message(name, gatekeeper.port, record, FILING_BYTES, b"", length)
                await asyncio.sleep(0.1)
    finally:
        gatekeeper.end()
    record.write(f"no whole answer to {[name for name, whole in results.items() if not whole]}")
    return HELD if all(results.values()) else BROKEN


run_case(str(pathlib.Path(__file__).parent), case)
