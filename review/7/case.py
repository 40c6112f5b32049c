"""Long filings of clients, and long answers of workers, come in chunks that end with a trailer field."""

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

SHORT, LONG_FILING, LONG_ANSWER = 2 * 1024, 1536 * 1024, 128 * 1024
# Of each kind the length of the filing and of its answer.
KINDS = {"short": (SHORT, SHORT), "long-filing": (LONG_FILING, SHORT), "long-answer": (SHORT, LONG_ANSWER)}
EACH = 5


async def case(record: Record) -> int:
    """Run the case."""
    trailer = TRAILER if TROUBLE else b""
    workers = [ChunkedWorker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        worker.trailer = trailer
        await worker.start()
    discovery = Discovery(list(workers), record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings())
    results = {}
    try:
        await gatekeeper.start()
        for number in range(EACH):
            for kind, (filing_bytes, answer_bytes) in KINDS.items():
                name = f"{kind}-{number}"
                for worker in workers:
                    worker.answer_bytes = answer_bytes
                results[name] = await file_message(name, gatekeeper.port, record, filing_bytes, trailer, answer_bytes)
                await asyncio.sleep(0.1)
    finally:
        gatekeeper.end()
    for kind in KINDS:
        lost = [name for name, whole in results.items() if name.startswith(kind) and not whole]
        record.write(f"{kind}: {len(lost)} of {EACH} without a whole final answer")
    return HELD if all(results.values()) else BROKEN


run_case(str(pathlib.Path(__file__).parent), case)
