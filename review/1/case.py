"""A second answer comes some milliseconds late, and is passed on as the answer to the next request."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    HOST,
    TROUBLE,
    Agent,
    CannotRun,
    Platform,
    Record,
    http_answer,
    plan,
    play,
    read_message,
    request,
    request_class,
    small_settings,
)

GATEKEEPERS, WORKERS = 3, 9
CONNECTIONS = 20  # of the front to each gatekeeper; on each one request after another
ONE_WAY_SECONDS = 0.0012  # of the network between a gatekeeper and a worker on another floor
SECOND_AFTER_SECONDS = 0.002  # how late a second answer leaves its worker
SECOND_SHARE = 0.02  # of the answers
WORK_SECONDS = 0.1, 0.18
QUIET_SECONDS, SECONDS = 3.0, 25.0


class DistantConnection(asyncio.Protocol):
    """A worker's end of a connection over a network that delays every byte, both ways, by the same time."""

    def __init__(self, worker: DistantWorker) -> None:
        self.worker, self.loop = worker, asyncio.get_running_loop()
        self.buffer, self.waiting = b"", 0  # bytes that have come; requests that wait for their answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Let the bytes come after the network's delay."""
        self.loop.call_later(ONE_WAY_SECONDS, self.arrive, data)

    def arrive(self, data: bytes) -> None:
        """Begin each request that has come whole; in this case none has a body."""
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = [line.partition(": ") for line in head.decode().split("\r\n")[1:]]
            name = next(value for key, _, value in lines if key.lower() == "x-request-id")
            self.waiting += 1
            self.worker.runs.append(name)
            self.loop.call_later(self.worker.random.uniform(*WORK_SECONDS), self.answer, name)

    def answer(self, name: str) -> None:
        """Answer a request with its own id as the body; some answers are followed by a second one."""
        self.waiting -= 1
        self.send(http_answer(200, name.encode()))
        if self.worker.spoils():
            self.loop.call_later(SECOND_AFTER_SECONDS, self.second, name)

    def second(self, name: str) -> None:
        """Send the second answer, if nothing else waits on the connection."""
        if not self.waiting and not self.buffer:
            self.worker.record.add(f"worker {self.worker.name} answers {name} a second time; nothing waits for it")
            self.send(http_answer(200, name.encode()))

    def send(self, data: bytes) -> None:
        """Let the gatekeeper have the bytes after the network's delay."""
        self.loop.call_later(ONE_WAY_SECONDS, self.write, data)

    def write(self, data: bytes) -> None:
        """Write what has crossed the network."""
        if not self.transport.is_closing():
            self.transport.write(data)


class DistantWorker:
    """A worker behind such a network."""

    def __init__(self, name: str, record: Record, began: float) -> None:
        self.name, self.record, self.began, self.random = name, record, began, random.Random(name)
        self.runs: list[str] = []  # the ids of the requests that came whole

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.get_running_loop().create_server(lambda: DistantConnection(self), HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def spoils(self) -> bool:
        """Whether the present answer is followed by a second one."""
        return TROUBLE and time.monotonic() - self.began > QUIET_SECONDS and self.random.random() < SECOND_SHARE

    def entry(self) -> dict[str, object]:
        """Its entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "floor-2",
            "type": "m",
            "group": 1,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
        }


async def case(record: Record, platform: Platform) -> bool:
    """Send requests over a few connections, and compare each answer with its request."""
    began = time.monotonic()
    workers = [DistantWorker(f"w{n}", record, began) for n in range(WORKERS)]
    for worker in workers:
        await worker.start()
    agent = Agent(record)
    await agent.start([worker.entry() for worker in workers])
    gatekeepers = [platform.gatekeeper(f"n{n}") for n in range(GATEKEEPERS)]
    for number, gatekeeper in enumerate(gatekeepers):
        settings = small_settings(
            [request_class("fetch-text", "pure", 1.0, 4.0), request_class("file-message", "side_effect", 1.0, 4.0)],
            [plan("basic", 0.9, 4.0)],
            Index=number,
            NInstances=GATEKEEPERS,
            MyZone="floor-1",
        )
        await gatekeeper.start(agent, settings).until_healthy()
    counts = {"served": 0, "foreign": 0, "other": 0}
    number = 0

    async def front(gatekeeper: int) -> None:
        """One connection of the front: one request of another customer after another."""
        nonlocal number
        writer = None
        while time.monotonic() - began < SECONDS:
            if writer is None:
                reader, writer = await asyncio.open_connection(HOST, gatekeepers[gatekeeper].port)
            number += 1
            name = f"r{number}"
            writer.write(request("fetch-text", name, number, "basic", 4.0, first=gatekeeper))
            answer = await asyncio.wait_for(read_message(reader), 10.0)
            if answer is None or answer.headers.get("connection") == "close":
                writer.close()
                writer = None
            if answer is None or answer.status != 200:
                counts["other"] += 1
                record.add(f"client has {answer.status if answer else 'no answer'} to {name}")
            elif answer.body != name.encode():
                counts["foreign"] += 1
                record.add(f"client has 200 to {name} from n{gatekeeper}, with the answer to {answer.body.decode()}")
            else:
                counts["served"] += 1
        if writer is not None:
            writer.close()

    await asyncio.gather(*(front(n) for n in range(GATEKEEPERS) for _ in range(CONNECTIONS)))
    record.add(
        f"{counts['served']} served with their own answer, {counts['foreign']} with another, {counts['other']} other"
    )
    if not counts["served"]:
        raise CannotRun("nothing was served")
    return not counts["foreign"]


if __name__ == "__main__":
    play(__file__, case)
