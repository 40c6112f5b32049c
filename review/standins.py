"""Stand-ins for the cases: workers, discovery's agent, the platform that starts gatekeepers, and clients.

They do what the protocol and deployment pages say and nothing else. Everything listens on loopback addresses, at ports
that the system picks; all times in a record are seconds since the case began.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
Settings = dict[str, Any]


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


class Record:
    """What was sent, answered and run, with the time of each; written to `record.txt` of the case at the end."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.began = folder, time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def add(self, text: str) -> float:
        """Note something that happened now; return its time."""
        now = self.now()
        self.lines.append(f"{now:8.3f} {text}")
        return now

    def write(self) -> None:
        """Write the file."""
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Message:
    """An HTTP message: its first line, headers and body, and when its last byte had come."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body
        self.at = time.monotonic()
        self.status = int(first.split(" ")[1]) if first.startswith("HTTP/") else 0
        self.id = headers.get("x-request-id", "")


class Pace:
    """How fast a peer reads a body: pieces of so many bytes with a pause after each."""

    def __init__(self, piece: int = 65536, pause: float = 0.0) -> None:
        self.piece, self.pause = piece, pause


async def read_message(reader: asyncio.StreamReader, pace: Pace | None = None) -> Message | None:
    """Read the next message, with a Content-Length or chunked; None if the connection ends before it is whole."""
    pace = pace or Pace()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = bytearray()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if pace.pause:
                    await asyncio.sleep(pace.pause)
            await reader.readuntil(b"\r\n")
        else:
            left = int(headers.get("content-length", 0))
            while left:
                data = await reader.read(min(left, pace.piece))
                if not data:
                    return None
                body += data
                left -= len(data)
                if pace.pause:
                    await asyncio.sleep(pace.pause)
        return Message(first, headers, bytes(body))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def http_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """The bytes of an answer."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


Handler = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A worker: hands each request that has come whole to its handler, one at a time on each connection."""

    def __init__(self, name: str, record: Record, handler: Handler, pace: Pace | None = None, buffer: int = 0) -> None:
        self.name, self.record, self.handler, self.pace, self.buffer = name, record, handler, pace, buffer
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port; `buffer` is the size of the socket's receive buffer, 0 for the system's."""
        sock = socket.socket()
        if self.buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer)
        sock.bind((HOST, 0))
        self.port = sock.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=65536, backlog=256)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader, self.pace)) is not None:
                self.record.add(
                    f"worker {self.name} has {message.id} whole, {len(message.body)} bytes of body, "
                    f"X-Timeout {message.headers.get('x-timeout', '-')}"
                )
                await self.handler(self, message, writer)
        writer.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }


class Agent:
    """Discovery's agent: the whole list, then watches. While `silent` it accepts calls and answers none of them."""

    def __init__(self, record: Record) -> None:
        self.record, self.entries, self.index, self.silent, self.port = record, [], 1, False, 0
        self.entries: list[dict[str, Any]]

    async def start(self, entries: list[dict[str, Any]]) -> None:
        """Listen on a free port and tell this list."""
        self.entries = entries
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                path = message.first.split(" ")[1]
                query = dict(part.partition("=")[::2] for part in path.partition("?")[2].split("&"))
                while self.silent:
                    await asyncio.sleep(0.01)
                if int(query.get("index", -1)) == self.index:  # nothing changes in these cases
                    await asyncio.sleep(min(60.0, int(query.get("wait", 0)) / 1000))
                    while self.silent:
                        await asyncio.sleep(0.01)
                    answer: dict[str, Any] = {"index": self.index, "snapshot": False, "endpoints": []}
                else:
                    answer = {"index": self.index, "snapshot": True, "endpoints": self.entries}
                writer.write(http_answer(200, json.dumps(answer).encode()))
        writer.close()


def deploy_command(key: str) -> str:
    """A command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))[key])


class Platform:
    """Starts gatekeepers with the deploy file's `run`, holds the clients' listening sockets, and ends all at the end.

    Each gatekeeper has an operators' address, its own TMPDIR and the clients' socket as descriptor 3, so that its
    process can be replaced.
    """

    def __init__(self, record: Record) -> None:
        self.record, self.processes = record, list[Process]()
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)

    def gatekeeper(self, name: str) -> Gatekeeper:
        """A gatekeeper that no process serves yet."""
        return Gatekeeper(self, name)

    def end(self) -> None:
        """End every process that was started and remove their files."""
        for process in self.processes:
            process.kill()
        self._folder.cleanup()


class Gatekeeper:
    """One gatekeeper as the platform sees it: its name, its listening socket and its TMPDIR."""

    def __init__(self, platform: Platform, name: str) -> None:
        self.platform, self.name = platform, name
        self.socket = socket.socket()
        self.socket.bind((HOST, 0))
        self.socket.listen(512)
        self.port: int = self.socket.getsockname()[1]
        self.tmpdir = platform.folder / name
        self.tmpdir.mkdir()
        self.starts = 0

    def start(self, agent: Agent, settings: Settings, **keys: Any) -> Process:
        """Start the program once more; `keys` are further keys of its configuration."""
        self.starts += 1
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "management": f"{HOST}:{free_port()}",
            "seed": f"{self.starts:x}f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 0, "snapshot": True, "endpoints": agent.entries},
            "settings": settings,
            **keys,
        }
        process = Process(self, config, f"{self.name}.{self.starts}")
        self.platform.processes.append(process)
        return process


def free_port() -> int:
    """A port that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Process:
    """A process of a gatekeeper."""

    def __init__(self, gatekeeper: Gatekeeper, config: dict[str, Any], label: str) -> None:
        platform = gatekeeper.platform
        self.record, self.label, self.management = platform.record, label, config["management"]
        path = platform.folder / f"{label}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.log_path = platform.folder / f"{label}.log"
        descriptor = gatekeeper.socket.fileno()
        environment = {
            **os.environ,
            "PROXY_NAME": config["name"],
            "PROXY_LISTEN": config["listen"],
            "PROXY_DISCOVERY": config["discovery"],
            "PROXY_MANAGEMENT": config["management"],
            "PROXY_CONFIG": str(path),
            "PROXY_ACCEPT_FD": "3",
            "TMPDIR": str(gatekeeper.tmpdir),
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(3,),
                preexec_fn=lambda: os.dup2(descriptor, 3) if descriptor != 3 else os.set_inheritable(3, True),
            )
        self.record.add(f"platform: started {label}")

    def log(self) -> str:
        """What it has written so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    async def call(self, line: str, quiet: bool = False) -> str:
        """Make an operators' call; an empty answer if there was none."""
        host, port = self.management.rsplit(":", 1)
        answer = ""
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.readline(), 2)).decode().strip()
            writer.close()
        except (OSError, TimeoutError):
            pass
        if not quiet:
            self.record.add(f"operator: {line} to {self.label}: {answer or 'no answer'}")
        return answer

    async def until_healthy(self, seconds: float = 30.0) -> None:
        """Wait until HEALTH says yes."""
        deadline = time.monotonic() + seconds
        while not (await self.call("HEALTH", quiet=True)).startswith("ok"):
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise CannotRun(f"{self.label} does not get ready: {self.log()}")
            await asyncio.sleep(0.01)
        self.record.add(f"{self.label} says yes")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.record.add(f"platform: {number.name} to {self.label}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it if it still runs, and wait for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def request(
    klass: str,
    id: str,
    customer: int,
    plan: str,
    timeout: float,
    *,
    body: bytes | None = None,
    units: int = 1,
    spread: int = 1,
    first: int = 0,
    headers: str = "",
) -> bytes:
    """The bytes of a client's request: a POST if it has a body, else a GET."""
    method, length = ("GET", "") if body is None else ("POST", f"Content-Length: {len(body)}\r\n")
    return (
        f"{method} /{klass}?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n"
        f"X-Priority-Class: {klass}\r\nX-Tariff: {plan}\r\nX-Timeout: {timeout:.3f}\r\n"
        f"X-Weight: units={units},spread={spread},first={first}\r\n{headers}{length}\r\n"
    ).encode() + (body or b"")


async def exchange(port: int, data: bytes, seconds: float) -> Message | None:
    """Send one request on a new connection and wait for its answer; None if none came whole."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return None
    try:
        writer.write(data)
        return await asyncio.wait_for(read_message(reader), seconds)
    except (ConnectionError, TimeoutError):
        return None
    finally:
        writer.close()


def small_settings(classes: list[dict[str, Any]], plans: list[dict[str, Any]], **changes: Any) -> Settings:
    """Settings of a small deployment, with the figures of the first site's settings page unless changed."""
    return {
        "Index": 0,
        "NInstances": 1,
        "MyZone": "a",
        "TickUs": 4000,
        "Discovery": "pushed",
        "Caps": {
            "Cancel": True,
            "ConnectTimeoutUs": 250000,
            "IdleCloseUs": 15000000,
            "MaxAttempts": 4,
            "MaxRetryAfterUs": 500000,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Classes": classes,
        "Plans": plans,
        "FamilyInfo": {"MeterUs": 0, "UnitsTop": 4, "SharedCounter": False},
        "Rules": {
            "ColdFrom": 0.24,
            "DrainGraceUs": 500000,
            "FallUs": 3000000,
            "GraceToAnswerUs": 16000,
            "OverloadFactor": 2.0,
            "RampTimeUs": 18000000,
        },
        **changes,
    }


def request_class(name: str, effect: str, aim: float, deadline: float, **changes: Any) -> dict[str, Any]:
    """A class of the settings; times in seconds."""
    return {
        "Name": name,
        "Effect": effect,
        "SloUs": int(aim * 1e6),
        "DeadlineUs": int(deadline * 1e6),
        "Group": "all",
        "WindowUs": 0,
        "Streaming": False,
        "LateWorth": 0.0,
        "Importance": 1.0,
        **changes,
    }


def plan(name: str, refill: float, burst: float, **changes: Any) -> dict[str, Any]:
    """A plan of the settings."""
    return {
        "Name": name,
        "Refill": refill,
        "MostAtOnce": burst,
        "AtOnce": 0,
        "HardRate": 0.0,
        "CapDepth": 0.0,
        "CapSlack": 0.0,
        "BeyondEarns": 0.0,
        "ExcessCost": 0.8,
        "Price": 1.0,
        **changes,
    }


Case = Callable[[Record, Platform], Awaitable[bool]]


def play(file: str, case: Case, seconds: float = 100.0) -> None:
    """Play a case, write its record and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(Path(file).resolve().parent)
    platform = Platform(record)
    status = 2
    for number in (signal.SIGTERM, signal.SIGHUP):  # whoever ends the script early leaves no process behind
        signal.signal(number, lambda *_: sys.exit(2))
    record.add(f"the case begins, {'with' if TROUBLE else 'without'} the disruption")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, platform), seconds))
        status = 0 if held else 1
        record.add("the rule held" if held else "THE RULE WAS BROKEN")
    except Exception as error:  # whatever goes wrong here is no verdict
        record.add(f"the case could not run: {error!r}")
    finally:
        for process in platform.processes:
            process.kill()
            record.lines += [f"         log of {process.label}: {line}" for line in process.log().splitlines()]
        platform.end()
        record.write()
    print(record.folder.name, ["held", "broken", "could not run"][status], file=sys.stderr)
    sys.exit(status)
