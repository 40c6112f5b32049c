"""Clients send several requests at once on a connection, just after an operator has told the gatekeeper to empty."""

from __future__ import annotations

import asyncio
import pathlib
import socket
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
    free_port,
    head,
    read_message,
    run_case,
    settings,
)

CLIENTS, AT_ONCE = 8, 4
BEFORE = 6  # requests of each customer before that, more than its quota holds at once
AFTER_LEAVE_SECONDS = 0.1


def quota_settings() -> dict[str, object]:
    """The settings, with the site's example figures of plan `basic`."""
    config = settings()
    for plan in config["Plans"]:
        if plan["Name"] == "basic":
            plan.update({"Refill": 0.9, "MostAtOnce": 4.0})
    return config


async def operator(port: int, call: str, record: Record) -> None:
    """Make an operator's call."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(call.encode() + b"\n")
    record.write(f"operator: {call}, answer: {(await reader.readline()).decode().strip()}")
    writer.close()


class Client:
    """A client with one connection, for one customer."""

    def __init__(self, number: int, record: Record) -> None:
        self.number, self.record = number, record
        self.customer = f"{0xB4D65521 + number:016x}"
        self.statuses: list[int] = []

    def request(self, name: str) -> bytes:
        """A request of this customer."""
        return head(f"c{self.number}-{name}", plan="basic", customer=self.customer)

    async def connect(self, port: int) -> None:
        """Connect, and use up the quota with one request after the other."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(BEFORE):
            self.writer.write(self.request(f"before-{number}"))
            status = (await read_message(self.reader, self.record.now)).status
            self.record.write(f"answer to c{self.number}-before-{number}: {status}")

    async def send_at_once(self) -> bool:
        """Send some requests in one write; return whether each got its answer."""
        self.writer.write(b"".join(self.request(f"at-once-{number}") for number in range(AT_ONCE)))
        self.record.write(f"client {self.number} sends c{self.number}-at-once-0 to {AT_ONCE - 1} in one write")
        end = "the connection stays open"
        try:
            while len(self.statuses) < AT_ONCE:
                answer = await asyncio.wait_for(read_message(self.reader, self.record.now), 5)
                self.record.write(
                    f"answer to c{self.number}-at-once-{len(self.statuses)}: {answer.status}, "
                    f"Connection: {answer.headers.get('connection', 'not said')}"
                )
                self.statuses.append(answer.status)
        except asyncio.IncompleteReadError:
            end = "orderly end of the connection, so that all bytes were read"
        except ConnectionError as error:
            end = f"reset: {error!r}"
        except TimeoutError:
            end = "no answer for 5 s"
        self.writer.close()
        self.record.write(f"client {self.number} has {len(self.statuses)} answers to {AT_ONCE} requests; {end}")
        return len(self.statuses) == AT_ONCE


async def case(record: Record) -> int:
    """Run the case."""
    workers = [Worker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        await worker.start()
    discovery = Discovery(workers, record)
    await discovery.start()
    management = free_port()
    gatekeeper = Gatekeeper(record, discovery.port, quota_settings(), management=f"127.0.0.1:{management}")
    try:
        await gatekeeper.start()
        clients = [Client(n, record) for n in range(CLIENTS)]
        await asyncio.gather(*(client.connect(gatekeeper.port) for client in clients))
        await operator(management, "LEAVE" if TROUBLE else "HEALTH", record)
        await asyncio.sleep(AFTER_LEAVE_SECONDS)
        results = await asyncio.gather(*(client.send_at_once() for client in clients))
    finally:
        gatekeeper.end()
    if not any(client.statuses for client in clients):
        raise CannotRun("no client got an answer")
    missing = sum(AT_ONCE - len(client.statuses) for client in clients)
    record.write(f"{missing} of {AT_ONCE * CLIENTS} requests got no answer")
    return HELD if all(results) else BROKEN


run_case(str(pathlib.Path(__file__).parent), case)
