"""Clients of one customer take seconds to send long bodies; the units of its hard ceiling against what workers get."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit2.stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Discovery,
    Gatekeeper,
    Record,
    Worker,
    head,
    read_message,
    run_case,
    settings,
)

GATEKEEPERS = 2  # all of the customer's set
RATE, DEPTH, SLACK = 14.0, 18.0, 2.0  # HardRate, CapDepth, CapSlack of `enterprise`
SLACK_SECONDS = 0.15  # "its slack is wider by what the ceiling's rate gives in 150 ms"
BODY_BYTES, AT_ONCE_BYTES = 1500 * 1024, 1100 * 1024
PIECE_BYTES, PIECE_SECONDS = 16 * 1024, 0.25  # the slow part: 64 kB a second
START_SECONDS, UPLOADS_PER_SECOND = 5.0, 10
LAST_PIECE_AT = 6.0  # after the first upload began


async def upload(number: int, port: int, begins: float, started: float, record: Record) -> None:
    """Send an upload, slowly with the trouble on, and read the answer."""
    loop, request_id = asyncio.get_running_loop(), f"upload-{number}"
    await asyncio.sleep(started + begins - loop.time())
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    record.write(f"client sends {request_id} to port {port}")
    answer = asyncio.create_task(read_message(reader, record.now))
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        writer.write(head(request_id, "file-message", "enterprise", length=BODY_BYTES, spread=GATEKEEPERS))
        sent = AT_ONCE_BYTES if TROUBLE else BODY_BYTES
        writer.write(bytes(sent))
        while sent < BODY_BYTES - PIECE_BYTES and loop.time() < started + LAST_PIECE_AT and not answer.done():
            await asyncio.sleep(PIECE_SECONDS)
            writer.write(bytes(PIECE_BYTES))
            sent += PIECE_BYTES
        while loop.time() < started + LAST_PIECE_AT and TROUBLE and not answer.done():
            await asyncio.sleep(0.02)
        writer.write(bytes(BODY_BYTES - sent))
        record.write(f"answer to {request_id}: {(await asyncio.wait_for(answer, 10)).first}")
    answer.cancel()
    writer.close()


async def case(record: Record) -> int:
    """Run the case."""
    workers = [Worker(f"s-{n}", record) for n in range(4)]
    for worker in workers:
        await worker.start()
    gatekeepers = []
    try:
        for number in range(GATEKEEPERS):
            discovery = Discovery(workers, record)
            await discovery.start()
            config = settings(NInstances=GATEKEEPERS, Index=number)
            gatekeepers.append(Gatekeeper(record, discovery.port, config, name=f"n{number}"))
            await gatekeepers[-1].start()
        await asyncio.sleep(4.0)  # the ceiling of a new process fills from its start
        started = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(
                upload(n, gatekeepers[n % GATEKEEPERS].port, n / UPLOADS_PER_SECOND, started, record)
                for n in range(int(START_SECONDS * UPLOADS_PER_SECOND))
            )
        )
    finally:
        for gatekeeper in gatekeepers:
            gatekeeper.end()
    arrivals = sorted(at for worker in workers for at, _ in worker.runs)
    if not arrivals:
        raise CannotRun("no upload came to a worker")
    level, lowest, before = DEPTH, DEPTH, arrivals[0]
    for at in arrivals:
        level = min(DEPTH, level + (at - before) * RATE) - 1.0
        lowest, before = min(lowest, level), at
    allowed = -(SLACK + SLACK_SECONDS * RATE)
    record.write(f"{len(arrivals)} uploads came whole to workers between {arrivals[0]:.3f} and {arrivals[-1]:.3f}")
    record.write(f"lowest level of the ceiling's store {lowest:.1f} units, allowed {allowed:.1f}")
    return BROKEN if lowest < allowed else HELD


run_case(str(pathlib.Path(__file__).parent), case)
