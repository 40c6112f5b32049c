"""A keyed request with a long body is repeated at a worker that takes seconds to read it."""

from __future__ import annotations

import asyncio
import contextlib
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
    read_head,
    read_message,
    run_case,
    settings,
)

WORKERS = 8
CLASS = "salary-disburse"
WINDOW_SECONDS, ALLOWED_SECONDS = 1.0, 0.05  # WindowUs; "every time limit is 50 ms longer"
BODY_BYTES, PIECE_BYTES = 900 * 1024, 32 * 1024
READ_SECONDS = 1.6  # that a sound worker takes to read such a body
CLIENTS, SECONDS = 4, 25.0


class Pod:
    """The workers that share which keys they have seen: a repeat within the window is dropped."""

    def __init__(self) -> None:
        self.carried_out: dict[str, list[tuple[float, str]]] = {}
        self.remembered_until: dict[str, float] = {}

    def carry_out(self, key: str, worker: str, now: float) -> bool:
        """Carry a request out, unless its key is remembered; return whether it was."""
        if now <= self.remembered_until.get(key, -1.0):
            return False
        self.remembered_until[key] = now + WINDOW_SECONDS + ALLOWED_SECONDS
        self.carried_out.setdefault(key, []).append((now, worker))
        return True


class PodWorker(Worker):
    """A worker of a pod. It takes seconds to read a long body; a failing one reads at once and answers 500."""

    def __init__(self, name: str, record: Record, pod: Pod, failing: bool) -> None:
        super().__init__(name, record)
        self.pod, self.failing = pod, failing

    async def start(self) -> None:
        """Listen with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.bind(("127.0.0.1", self.port))
        await asyncio.start_server(self._serve_pod, sock=sock, limit=64 * 1024)

    async def _serve_pod(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers = await read_head(reader)
                request_id, key = headers["x-request-id"], headers["idempotency-key"]
                length = left = int(headers.get("content-length", "0"))
                self.record.write(f"worker {self.name} has the head of {request_id}")
                while left:
                    left -= len(await reader.readexactly(min(left, PIECE_BYTES)))
                    if not self.failing:
                        await asyncio.sleep(READ_SECONDS * PIECE_BYTES / length)
                done = self.pod.carry_out(key, self.name, self.record.now())
                self.record.write(
                    f"worker {self.name} has the last byte of {request_id}: "
                    + ("carried out" if done else "a repeat, dropped")
                )
                await asyncio.sleep(self.work)
                if self.failing:
                    writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
                else:
                    body = self.body(request_id)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()


async def client(number: int, port: int, record: Record) -> None:
    """Send one keyed request after another and read the answers."""
    count = 0
    while record.now() < SECONDS:
        request_id = f"disburse-{number}-{count}"
        key = f"Idempotency-Key: {hashlib.sha256(request_id.encode()).hexdigest()[:32]}\r\n"
        count += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            writer.write(head(request_id, CLASS, length=BODY_BYTES, more=key) + bytes(BODY_BYTES))
            await writer.drain()
            answer = await asyncio.wait_for(read_message(reader, record.now), 6)
            record.write(f"answer to {request_id}: {answer.first}")
        writer.close()
        await asyncio.sleep(0.1)


async def case(record: Record) -> int:
    """Run the case."""
    pod = Pod()
    workers = [PodWorker(f"s-{n}", record, pod, TROUBLE and n == 0) for n in range(WORKERS)]
    for worker in workers:
        await worker.start()
    discovery = Discovery(list(workers), record)
    await discovery.start()
    config = settings()
    config["Caps"]["MaxAttempts"] = 3
    keyed = next(klass for klass in config["Classes"] if klass["Effect"] == "token")
    # The site's figures of this class, but for its effect and a window that is shorter than the site's 3 s.
    keyed.update({"Name": CLASS, "SloUs": 1_200_000, "DeadlineUs": 4_000_000, "Importance": 3.0})
    keyed.update({"Group": "cell", "WindowUs": int(WINDOW_SECONDS * 1_000_000)})
    gatekeeper = Gatekeeper(record, discovery.port, config)
    try:
        await gatekeeper.start()
        await asyncio.gather(*(client(n, gatekeeper.port, record) for n in range(CLIENTS)))
    finally:
        gatekeeper.end()
    twice = {key: runs for key, runs in pod.carried_out.items() if len(runs) > 1}
    for key, runs in twice.items():
        record.write(f"key {key} was carried out {len(runs)} times: {runs}")
    record.write(f"{len(twice)} of {len(pod.carried_out)} keys were carried out more than once")
    return BROKEN if twice else HELD


run_case(str(pathlib.Path(__file__).parent), case)
