"""Clients that make a gatekeeper hold memory, usual clients beside them, and what both see.

    python -m rig.memory_pressure [--memory 32] [--sockets 1024] [--kinds KIND,...]

Each kind of client is played for some seconds against a gatekeeper in a process of its own; printed are its peak
resident memory, and the answers and longest latency of usual clients.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import socket
import string
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

from rig.bulk import BulkClient, BulkWorker, read_head
from rig.fake_servers import Client, Message, running_gatekeeper
from rig.memory import peak_resident_bytes

MB = 1 << 20
PLAY_SECONDS = 5.0
USUAL_CLIENTS = 5
USUAL_TIMEOUT_SECONDS = 4.0
SLOW_BYTES_PER_SECOND = 64_000
TOKEN_CHARACTERS = string.ascii_lowercase + string.digits + "!#$%&'*+-.^_`|~"
SHORT_FIELDS = "".join(f"{a}{b}:\r\n" for a, b in itertools.product(TOKEN_CHARACTERS, repeat=2))[: 5 * 2590].encode()


class PressureWorker(BulkWorker):
    """A worker that also answers, to the query `tiny`, with 1 MB in chunks of 24 bytes as fast as they are read."""

    async def _handle_request(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if "tiny=" not in request.first:
            return await super()._handle_request(request, reader, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(MB // 24 // 1024):
            writer.write((b"18\r\n" + b"y" * 24 + b"\r\n") * 1024)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


@dataclass
class Usual:
    """What usual clients saw: latencies of their answers in seconds, and what came in place of an answer."""

    latencies: list[float] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)


async def connect(port: int, receive_buffer_bytes: int = 0) -> BulkClient:
    """Connect, with a small receive buffer if one is given."""
    sock = socket.socket()
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return BulkClient(*await asyncio.open_connection(sock=sock, limit=receive_buffer_bytes or 65536))


async def write_slowly(client: BulkClient, data: bytes, step: int) -> None:
    """Write in steps at the rate of a slow client, then stay."""
    for first in range(0, len(data), step):
        client.writer.write(data[first : first + step])
        await client.writer.drain()
        await asyncio.sleep(step / SLOW_BYTES_PER_SECOND)
    await client.reader.read()


async def half_head(port: int) -> None:
    """Write most of a head of very many short fields, and stay."""
    await write_slowly(await connect(port), b"GET /read HTTP/1.1\r\n" + SHORT_FIELDS, 4096)


async def half_request(port: int, size: int = 400_000) -> None:
    """Write half of a large request as fast as it is read, and stay."""
    client = await connect(port)
    client.writer.write(Client.request("write").replace(b"Content-Length: 0", b"Content-Length: %d" % size))
    client.writer.write(bytes(size // 2))
    await client.reader.read()


async def half_short_request(port: int) -> None:
    """The same of a request that is short enough to be buffered whole."""
    await half_request(port, 60_000)


async def tiny_chunks(port: int, size: int = 60_000) -> None:
    """Send a request in chunks of two bytes, at the rate of a slow client, and read its answer."""
    client = await connect(port)
    client.writer.write(Client.request("write").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
    pause_seconds = 0.1
    at_once = int(SLOW_BYTES_PER_SECOND * pause_seconds) // 2
    for _ in range(size // 2 // at_once):
        client.writer.write(b"2\r\nxx\r\n" * at_once)
        await client.writer.drain()
        await asyncio.sleep(pause_seconds)
    client.writer.write(b"0\r\n\r\n")
    reply = await read_head(client.reader)
    assert reply is not None and reply.status == 200
    client.close()


async def slow_reader(port: int, query: str = f"give={4 * MB}") -> None:
    """Read a long answer slowly."""
    client = await connect(port, 32 * 1024)
    await client.fetch("read", worker_query=query, read_bytes_per_second=SLOW_BYTES_PER_SECOND)


async def slow_reader_of_chunks(port: int) -> None:
    """Read a long answer in small chunks slowly."""
    await slow_reader(port, "tiny=1")


async def flood(port: int, messages: Iterator[bytes]) -> None:
    """Send messages on one connection at full speed, and read what comes."""
    client = await connect(port)
    reading = asyncio.create_task(_read_all(client))
    try:
        while not reading.done():
            client.writer.write(b"".join(itertools.islice(messages, 200)))
            await client.writer.drain()
    finally:
        reading.cancel()
        client.close()


async def _read_all(client: BulkClient) -> None:
    while await client.reader.read(65536):
        pass


async def health_checks(port: int) -> None:
    """Send health checks at full speed."""
    await flood(port, itertools.repeat(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))


async def unknown_paths(port: int) -> None:
    """Send the smallest requests that are not served."""
    await flood(port, itertools.repeat(b"GET / HTTP/1.1\r\n\r\n" * 20))


async def new_customers(port: int) -> None:
    """Send requests of ever new customers."""
    await flood(port, (Client.request("write", customer=f"{number:016x}") for number in itertools.count()))


async def unknown_plans(port: int) -> None:
    """Send requests with ever new plans that do not exist."""
    await flood(port, (Client.request("write", plan=f"plan{number}") for number in itertools.count()))


async def idle(port: int) -> None:
    """Say nothing."""
    await (await connect(port)).reader.read()


KINDS: dict[str, tuple[Callable[[int], Awaitable[None]], int]] = {
    "idle": (idle, 600),
    "half_head": (half_head, 300),
    "half_request": (half_request, 300),
    "half_short_request": (half_short_request, 300),
    "tiny_chunks": (tiny_chunks, 100),
    "slow_reader": (slow_reader, 200),
    "slow_reader_of_chunks": (slow_reader_of_chunks, 20),
    "health_checks": (health_checks, 1),
    "unknown_paths": (unknown_paths, 1),
    "new_customers": (new_customers, 1),
    "unknown_plans": (unknown_plans, 1),
}


async def usual_client(port: int, usual: Usual, until: float) -> None:
    """Send short requests one after another until a loop time, on a new connection each; record the answers."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        began_at = loop.time()
        try:
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            async with asyncio.timeout(USUAL_TIMEOUT_SECONDS):
                reply = await client.fetch("write", body=b"x" * 1000)
            client.writer.close()
            if reply.status == 200:
                usual.latencies.append(loop.time() - began_at)
            else:
                usual.failures.append(str(reply.status))
        except (OSError, TimeoutError, AssertionError) as error:
            usual.failures.append(type(error).__name__)
        await asyncio.sleep(0.05)


async def press(port: int, kinds: list[str], usual: Usual, most: int, seconds: float) -> None:
    """Play these kinds of clients at once, at most `most` of each, and usual clients beside them."""

    loop = asyncio.get_running_loop()
    until = loop.time() + seconds  # a cancellation may be lost where a client ends at the same time

    async def again(act: Callable[[int], Awaitable[None]]) -> None:
        while loop.time() < until:
            with contextlib.suppress(OSError, AssertionError, asyncio.IncompleteReadError, ValueError):
                await act(port)
            await asyncio.sleep(0.2)

    acts = [act for kind in kinds for act, count in [KINDS[kind]] for _ in range(-(-min(most, count) // len(kinds)))]
    tasks = [asyncio.create_task(usual_client(port, usual, until)) for _ in range(USUAL_CLIENTS)]
    tasks += [asyncio.create_task(again(act)) for act in acts]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def play(kinds: list[str], memory_mb: int, sockets: int, seconds: float = PLAY_SECONDS) -> tuple[int, Usual]:
    """Play these kinds of clients; return the gatekeeper's peak resident bytes, and what usual clients saw."""
    usual = Usual()
    workers = [PressureWorker(f"w{n}") for n in range(5)]
    async with running_gatekeeper(*workers, sockets=sockets, limits={"memory_mb": memory_mb}) as (gatekeeper, _, _):
        peak_bytes = await peak_resident_bytes(
            gatekeeper.process.pid, press(gatekeeper.port, kinds, usual, sockets // 3, seconds)
        )
    return peak_bytes, usual


def main() -> None:
    """Play the kinds one after another, then all at once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory", type=int, default=32, help="limits.memory_mb")
    parser.add_argument("--sockets", type=int, default=1024, help="limits.sockets")
    parser.add_argument("--kinds", default="", help="of clients, separated by commas; by default each, then all")
    options = parser.parse_args()
    plays = [options.kinds.split(",")] if options.kinds else [*([kind] for kind in KINDS), list(KINDS)]
    for kinds in plays:
        peak_bytes, usual = asyncio.run(play(kinds, options.memory, options.sockets))
        failed = {reason: usual.failures.count(reason) for reason in sorted(set(usual.failures))}
        slowest = max(usual.latencies, default=0.0)
        name = "+".join(kinds) if options.kinds or len(kinds) == 1 else "all"
        answers = f"{len(usual.latencies)} answers, slowest {slowest:.2f} s, {failed}"
        print(f"{name:24} {peak_bytes / MB:5.1f} MB, {answers}", flush=True)


if __name__ == "__main__":
    main()
