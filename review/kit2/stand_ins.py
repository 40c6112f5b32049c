"""Stand-ins on loopback: workers, discovery, clients; and the gatekeeper as a process of its own.

They follow the protocol page. Times are seconds on the monotonic clock, counted from the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
CUSTOMER = "00000000b4d65521"


class CannotRun(Exception):
    """The case could not run: neither held nor broken."""


class Record:
    """The file record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Message:
    """A request or a response: first line, headers by lower-case name, and its body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body
        self.begun = self.whole = 0.0

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head; IncompleteReadError where the connection ends first."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return raw[0], {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in raw[1:] if line)}


async def read_message(reader: asyncio.StreamReader, now: Callable[[], float]) -> Message:
    """Read a request, or a response with a length or chunks."""
    begun = now()
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                break
        body = b"".join(parts)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    message = Message(first, headers, body)
    message.begun, message.whole = begun, now()
    return message


class Worker:
    """A worker: records each request whose last byte has come, runs it, and answers 200 with a body made for its id."""

    def __init__(self, name: str, record: Record, zone: str = "a", group: int = 1) -> None:
        self.name, self.record, self.zone, self.group = name, record, zone, group
        self.port = free_port()
        self.status, self.since_ms = "up", 0
        self.work = 0.03  # seconds
        self.body: Callable[[str], bytes] = lambda request_id: f"{name} made this for {request_id}\n".encode()
        self.runs: list[tuple[float, str]] = []  # when the last byte came, and the id
        self.behave: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)

    def entry(self) -> dict[str, Any]:
        """The entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "m2",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                message = await read_message(reader, self.record.now)
                if message.first.startswith(("GET /healthz", "GET /load")):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                request_id = message.headers.get("x-request-id", "")
                self.runs.append((message.whole, request_id))
                self.record.write(f"worker {self.name} has {request_id} whole, {len(message.body)} bytes of body")
                if self.behave is not None and not await self.behave(message, writer):
                    break
                if self.behave is None:
                    await asyncio.sleep(self.work)
                    body = self.body(request_id)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    self.record.write(f"worker {self.name} has answered {request_id}, {len(body)} bytes of body")
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Discovery:
    """The agent that serves one gatekeeper: the whole list, and watches on it."""

    def __init__(self, workers: list[Worker], record: Record) -> None:
        self.workers, self.record, self.port = workers, record, free_port()
        self.index = 1
        self._changed = asyncio.Event()
        self._log: list[tuple[int, dict[str, Any]]] = []

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def tell(self, worker: Worker) -> None:
        """Tell a change of a worker."""
        self.index += 1
        self._log.append((self.index, worker.entry()))
        self.record.write(f"discovery tells {worker.name} {worker.status}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader, self.record.now)
                query = dict(p.partition("=")[::2] for p in message.first.split()[1].partition("?")[2].split("&") if p)
                since = int(query.get("index", -1))
                if since >= self.index:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(query.get("wait", 0)) / 1000)
                whole = since < 0
                if whole:
                    endpoints = [worker.entry() for worker in self.workers if worker.status != "removed"]
                else:
                    endpoints = list({e["name"]: e for number, e in self._log if number > since}.values())
                body = json.dumps({"index": self.index, "snapshot": whole, "endpoints": endpoints}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment: three classes, one of each effect, and three plans."""
    return {
        "NInstances": 1,
        "Index": 0,
        "MyZone": "a",
        "TickUs": 4000,
        "Discovery": "pushed",
        "Caps": {
            "Cancel": True,
            "MaxAttempts": 4,
            "SecondCopies": False,
            "RetryAfter": True,
            "MaxRetryAfterUs": 500000,
            "ConnectTimeoutUs": 250000,
            "IdleCloseUs": 15000000,
            "Probes": True,
        },
        "Classes": [
            {
                "Name": name,
                "Effect": effect,
                "SloUs": 1000000,
                "DeadlineUs": 4000000,
                "Group": "all",
                "WindowUs": 3000000 if effect == "token" else 0,
                "Streaming": False,
                "LateWorth": 0,
                "Importance": importance,
            }
            for name, effect, importance in (
                ("fetch-text", "pure", 3.0),
                ("staff-update", "token", 2.0),
                ("file-message", "side_effect", 2.0),
            )
        ],
        "Plans": [
            {
                "Name": name,
                "Refill": refill,
                "MostAtOnce": burst,
                "AtOnce": 0,
                "HardRate": hard,
                "CapDepth": depth,
                "CapSlack": slack,
                "BeyondEarns": 0,
                "ExcessCost": 0.8,
                "Price": 1.0,
            }
            for name, refill, burst, hard, depth, slack in (
                ("open", 0, 0, 0, 0, 0),
                ("basic", 40, 120, 0, 0, 0),
                ("enterprise", 6.1, 8.0, 14.0, 18.0, 2.0),
            )
        ],
        "FamilyInfo": {"MeterUs": 0, "UnitsTop": 4, "SharedCounter": False},
        "Rules": {
            "DrainGraceUs": 500000,
            "ColdFrom": 0.24,
            "RampTimeUs": 18000000,
            "OverloadFactor": 2,
            "FallUs": 3000000,
            "GraceToAnswerUs": 16000,
        },
        **changes,
    }


class Gatekeeper:
    """A gatekeeper started with `run` of the deploy file."""

    def __init__(
        self,
        record: Record,
        discovery: int,
        config: dict[str, Any],
        limits: dict[str, Any] | None = None,
        name: str = "n1",
        **more: Any,
    ) -> None:
        self.record, self.name, self.port = record, name, free_port()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir()
        self.raw = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": config,
            **more,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write, or replace, the file of the configuration."""
        fresh = self.folder / "fresh.json"
        fresh.write_text(json.dumps(self.raw))
        fresh.replace(self.folder / "config.json")

    async def start(self, wait: bool = True, extra: dict[str, str] | None = None, fds: tuple[int, ...] = ()) -> None:
        """Start it, and wait until it says that it is ready."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.raw["listen"],
            "PROXY_DISCOVERY": self.raw["discovery"],
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.tmp),
            **(extra or {}),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=fds
            )
        if wait:
            for _ in range(200):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    ready = (await read_message(reader, self.record.now)).status == 200
                    writer.close()
                    if ready:
                        self.record.write(f"gatekeeper {self.name} is ready")
                        return
                if self.process.poll() is not None:
                    break
                await asyncio.sleep(0.1)
            raise CannotRun("the gatekeeper is not ready")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(f"signal {signal.Signals(number).name} to gatekeeper {self.name}")
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def log(self) -> str:
        """What it has logged."""
        return (self.folder / "log").read_text(errors="replace")

    def end(self) -> None:
        """End the process and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for line in self.log().splitlines()[-12:] if (self.folder / "log").exists() else ():
            self.record.write(f"log of {self.name}: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def head(
    request_id: str,
    klass: str = "fetch-text",
    plan: str = "open",
    timeout: float = 4.0,
    length: int | None = None,
    customer: str = CUSTOMER,
    spread: int = 1,
    more: str = "",
) -> bytes:
    """The head of a client's request, in the form of the protocol page."""
    method = "GET" if klass == "fetch-text" else "POST"
    size = f"Content-Length: {length or 0}\r\n" if method == "POST" else ""
    key = f"Idempotency-Key: {request_id * 2}\r\n" if klass == "staff-update" else ""
    return (
        f"{method} /{klass}?customer={customer} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {klass}\r\nX-Tariff: {plan}\r\nX-Timeout: {timeout:.3f}\r\n{key}{size}"
        f"X-Weight: units=1,spread={spread},first=0\r\n{more}\r\n"
    ).encode()


async def _until_signal(case: Awaitable[int], seconds: float) -> int:
    """Run a case; SIGTERM and SIGINT cancel it, so that it ends the processes that it has started."""
    task = asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, seconds)


def run_case(folder: str, case: Callable[[Record], Awaitable[int]], seconds: float = 110.0) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 not run."""
    record = Record(pathlib.Path(folder))
    record.write(f"disruption: {'on' if TROUBLE else 'off'}")
    try:
        result = asyncio.run(_until_signal(case(record), seconds))
    except BaseException as error:  # whatever keeps a case from its verdict is never taken for one
        record.write(f"cannot run: {error!r}")
        result = NOT_RUN
    record.write(("held", "BROKEN", "not run")[result])
    print(("held", "BROKEN", "not run")[result], flush=True)
    sys.stdout.flush()
    os._exit(result)
