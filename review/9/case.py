"""Long answers in small pieces, to clients that take seconds to read: the gatekeeper's memory against its limit.

The stand-in for the platform kills the gatekeeper when its resident memory is over `limits.memory_mb`.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit2.platform import watch_memory  # noqa: E402
from kit2.stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Discovery,
    Gatekeeper,
    Message,
    Record,
    Worker,
    head,
    run_case,
    settings,
)

MEMORY_MB = 192  # the most that the pages give a gatekeeper
CLIENTS, ANSWER_BYTES = 4, 8 * 1024 * 1024
PIECE_BYTES = 24 if TROUBLE else 32 * 1024  # of the chunks of an answer
READ_AFTER_SECONDS = 6.0 if TROUBLE else 0.0


async def answer_in_pieces(message: Message, writer: asyncio.StreamWriter) -> bool:
    """Answer with chunks of PIECE_BYTES."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"y" * PIECE_BYTES)
    at_once = max(1, 32 * 1024 // PIECE_BYTES)
    for _ in range(ANSWER_BYTES // PIECE_BYTES // at_once):
        writer.write(chunk * at_once)
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def client(number: int, port: int, record: Record) -> bool:
    """Ask, read the first bytes at once and the rest seconds later; return whether the answer came to its end."""
    loop, request_id = asyncio.get_running_loop(), f"long-answer-{number}"
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    sock.setblocking(False)
    size, tail = 0, b""
    with contextlib.suppress(OSError):
        await loop.sock_connect(sock, ("127.0.0.1", port))
        record.write(f"client sends {request_id}")
        await loop.sock_sendall(sock, head(request_id))
        data = await loop.sock_recv(sock, 1024)
        record.write(f"client has the first bytes of the answer to {request_id}: {data[:15]!r}")
        await asyncio.sleep(READ_AFTER_SECONDS)
        size, tail = len(data), data[-5:]
        while not tail.endswith(b"0\r\n\r\n") and (data := await loop.sock_recv(sock, 256 * 1024)):
            size, tail = size + len(data), (tail + data)[-5:]
    sock.close()
    record.write(f"client has {size} bytes of the answer to {request_id}, which end with {tail!r}")
    return tail.endswith(b"0\r\n\r\n")


async def case(record: Record) -> int:
    """Run the case."""
    workers = [Worker(f"s-{n}", record) for n in range(4)]
    for worker in workers:
        worker.behave = answer_in_pieces
        await worker.start()
    discovery = Discovery(workers, record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings(), {"memory_mb": MEMORY_MB, "sockets": 1024})
    try:
        await gatekeeper.start()
        watch = asyncio.create_task(watch_memory(gatekeeper, MEMORY_MB, record))
        results = await asyncio.gather(*(client(n, gatekeeper.port, record) for n in range(CLIENTS)))
        killed = watch.done()
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
    finally:
        gatekeeper.end()
    record.write(f"killed for memory: {killed}; answers that came to their end: {results.count(True)} of {CLIENTS}")
    return BROKEN if killed else HELD


run_case(str(pathlib.Path(__file__).parent), case)
