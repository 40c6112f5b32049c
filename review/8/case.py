"""Hundreds of connections arrive on which half a head is written; the gatekeeper's memory against its limit.

The stand-in for the platform kills the gatekeeper when its resident memory is over `limits.memory_mb`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import string
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit2.platform import watch_memory  # noqa: E402
from kit2.stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Discovery,
    Gatekeeper,
    Record,
    Worker,
    head,
    read_message,
    run_case,
    settings,
)

MEMORY_MB, SOCKETS = 96, 512  # "with limits cut by half"
CONNECTIONS = 300
USUAL_CLIENTS, WORK_SECONDS = 5, 1.5
TOKEN_CHARACTERS = string.ascii_lowercase + string.digits + "!#$%&'*+-.^_`|~"
NAMES = ["".join(pair) for pair in itertools.product(TOKEN_CHARACTERS, repeat=2)][:2590]
# 13 kB of a head, under the gatekeeper's limit of 16 KB, without its end.
HALF_A_HEAD = ("GET /fetch-text HTTP/1.1\r\n" + "".join(f"{name}:\r\n" for name in NAMES)).encode()


async def half_written(port: int) -> str:
    """Connect, write half a head, stay, and read what comes; return the first line or how it ended."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HALF_A_HEAD)
        answer = await asyncio.wait_for(reader.readline(), 6)
        writer.close()
        return answer.decode().strip() or "closed"
    except TimeoutError:
        return "nothing for 6 s"
    except OSError as error:
        return type(error).__name__


async def usual(number: int, port: int, record: Record) -> bool:
    """A usual client: send a filing and read its answer; return whether one came."""
    request_id = f"filing-{number}"
    with contextlib.suppress(asyncio.IncompleteReadError, OSError, TimeoutError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head(request_id, "file-message"))
        record.write(f"client sends {request_id}")
        answer = await asyncio.wait_for(read_message(reader, record.now), 6)
        record.write(f"answer to {request_id}: {answer.first}")
        writer.close()
        return True
    record.write(f"NO answer to {request_id}")
    return False


async def case(record: Record) -> int:
    """Run the case."""
    workers = [Worker(f"s-{n}", record) for n in range(5)]
    for worker in workers:
        worker.work = WORK_SECONDS
        await worker.start()
    discovery = Discovery(workers, record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings(), {"memory_mb": MEMORY_MB, "sockets": SOCKETS})
    try:
        await gatekeeper.start()
        watch = asyncio.create_task(watch_memory(gatekeeper, MEMORY_MB, record))
        clients = [asyncio.create_task(usual(n, gatekeeper.port, record)) for n in range(USUAL_CLIENTS)]
        await asyncio.sleep(0.1)
        bad = []
        if TROUBLE:
            record.write(f"{CONNECTIONS} connections arrive, each with {len(HALF_A_HEAD)} bytes of a head")
            bad = [asyncio.create_task(half_written(gatekeeper.port)) for _ in range(CONNECTIONS)]
        answered = await asyncio.gather(*clients)
        ends = await asyncio.gather(*bad)
        killed = watch.done()
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
    finally:
        gatekeeper.end()
    for end in sorted(set(ends)):
        record.write(f"half-written connections: {ends.count(end)} x {end}")
    record.write(f"killed for memory: {killed}; usual clients without an answer: {answered.count(False)}")
    return BROKEN if killed else HELD


run_case(str(pathlib.Path(__file__).parent), case)
