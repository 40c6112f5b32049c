"""A client takes four seconds to read a long answer, which its worker has given whole."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit2.stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Discovery,
    Gatekeeper,
    Record,
    Worker,
    head,
    run_case,
    settings,
)

READ_AFTER_SECONDS = 4.0
# Long answers of many lengths: how much the system's buffers take up by themselves differs from machine to machine.
LENGTHS = [kilobytes * 1024 for kilobytes in range(96, 1536, 32)]


def answer(request_id: str) -> bytes:
    """The answer made for a request, whose id ends with its length."""
    return hashlib.sha256(request_id.encode()).digest() * (int(request_id.rpartition("-")[2]) // 32)


def ended(received: bytes | bytearray) -> bool:
    """Whether all bytes of an answer with a length have come."""
    head_part, end, body = bytes(received).partition(b"\r\n\r\n")
    lengths = [line[15:] for line in head_part.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return bool(end and lengths) and len(body) >= int(lengths[0])


async def client(length: int, port: int, record: Record) -> bool:
    """Ask, read the first bytes at once and the rest four seconds later; return whether all of the answer came."""
    loop, request_id = asyncio.get_running_loop(), f"long-answer-{length}"
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", port))
    record.write(f"client sends {request_id}")
    await loop.sock_sendall(sock, head(request_id))
    received, reason = bytearray(), "the connection ended"
    try:
        while b"\r\n\r\n" not in received:
            data = await loop.sock_recv(sock, 1024)
            if not data:
                break
            received += data
        first_line, _, _ = bytes(received).partition(b"\r\n")
        record.write(f"client has the first bytes of the answer to {request_id}: {first_line!r}")
        if TROUBLE:
            await asyncio.sleep(READ_AFTER_SECONDS)
        while not ended(received) and (data := await loop.sock_recv(sock, 64 * 1024)):
            received += data
    except OSError as error:
        reason = repr(error)
    sock.close()
    body = bytes(received).partition(b"\r\n\r\n")[2]
    # A refusal or a failure that came whole is a final answer, too.
    complete = ended(received) and (not received.startswith(b"HTTP/1.1 200") or body == answer(request_id))
    record.write(
        f"client has {len(body)} of {length} bytes of the answer to {request_id}"
        + ("" if complete else f": CUT OFF, {reason}")
    )
    return complete


async def case(record: Record) -> int:
    """Run the case."""
    workers = [Worker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        worker.body = answer
        await worker.start()
    discovery = Discovery(workers, record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings())
    try:
        await gatekeeper.start()
        clients = []
        for length in LENGTHS:
            clients.append(asyncio.create_task(client(length, gatekeeper.port, record)))
            await asyncio.sleep(0.1)
        results = await asyncio.gather(*clients)
    finally:
        gatekeeper.end()
    record.write(f"{results.count(False)} of {len(results)} answers were cut off")
    return HELD if all(results) else BROKEN


run_case(str(pathlib.Path(__file__).parent), case)
