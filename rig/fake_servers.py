"""What the gatekeeper meets, scripted: workers, discovery and a client on 127.0.0.1, and the program itself.

Ports are the system's choice, and every wait is for an event; `LIMIT` only ends a test that would hang.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import gc
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, Self

SCENARIO_TIMEOUT_SECONDS = 20.0
CONFIG_DIRECTORY = tempfile.TemporaryDirectory()  # configurations, removed at the end of the tests
FACTS: dict[str, Any] = {
    "Caps": {
        "Cancel": True,
        "MaxAttempts": 3,
        "MaxRetryAfterUs": 500000,
        "RetryAfter": True,
        "SecondCopies": False,
        "ConnectTimeoutUs": 250000,
        "IdleCloseUs": 15000000,
    },
    "Classes": [
        {
            "DeadlineUs": 4000000,
            "Effect": effect,
            "Group": "all",
            "Name": name,
            "SloUs": 1000000,
            "Streaming": False,
            "WindowUs": 0,
            "LateWorth": 0,
        }
        for name, effect in (("read", "pure"), ("write", "side_effect"))
    ],
    "Discovery": "pushed",
    "FamilyInfo": {"MeterUs": 500000, "UnitsTop": 4},
    "NInstances": 3,
    "MyZone": "a",
    "Plans": [
        {
            "AtOnce": 0,
            "BeyondEarns": 0,
            "CapDepth": 0,
            "CapSlack": 0,
            "ExcessCost": 0,
            "HardRate": 0,
            "MostAtOnce": 0,
            "Name": "free",
            "Refill": 0,
        }
    ],
    "Rules": {"ColdFrom": 0.2, "RampTimeUs": 1000000, "OverloadFactor": 2, "FallUs": 1000000, "DrainGraceUs": 500000},
    "TickUs": 4000,
}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario, which may not hang; what earlier ones left is not walked while it runs, in long pauses."""
    gc.collect()
    gc.freeze()
    try:
        asyncio.run(asyncio.wait_for(scenario, SCENARIO_TIMEOUT_SECONDS))
    finally:
        gc.unfreeze()  # other libraries ask the collector who refers to what


async def until(condition: Callable[[], object]) -> None:
    """Wait for something that no event tells of."""
    while not condition():
        await asyncio.sleep(0.005)


class Message:
    """A parsed request or answer."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body
        self.status = int(first.split(" ")[1]) if first.startswith("HTTP/") else 0
        self.id = headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        return Message(first, headers, await reader.readexactly(int(headers.get("content-length", 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


Script = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def answer(status: int = 200, body: bytes = b"done", headers: str = "", raw: bytes | None = None) -> Script:
    """A script that answers; `raw` goes out as it is, and the connection is closed after it."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if raw is not None:
            writer.write(raw)
            writer.close()
        else:
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
            writer.write(head.encode() + body)

    return script


def once(event: asyncio.Event, script: Script | None = None) -> Script:
    """A script that does as another one (it answers, if none is named) once `go` is set."""

    async def waits(request: Message, writer: asyncio.StreamWriter) -> None:
        await event.wait()
        await (script or answer())(request, writer)

    return waits


async def hang(request: Message, writer: asyncio.StreamWriter) -> None:
    """A script that never answers."""


async def reset(request: Message, writer: asyncio.StreamWriter) -> None:
    """A script that resets the connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Listener:
    """What listens on a port of its own, the same one when it starts again."""

    port = 0
    _server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Listen no more."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Worker(Listener):
    """A scripted worker: its script handles each request; what came is kept."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        self.name, self.script = name, script or answer()
        self.seen: list[Message] = []
        self.over: list[int] = []  # the connection that each request came over
        self.connections = self.closed = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        with contextlib.suppress(asyncio.CancelledError):  # the end of the test
            while (message := await read_message(reader)) is not None:
                self.seen.append(message)
                self.over.append(number)
                await self.script(message, writer)
        self.closed += 1
        writer.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its line in discovery's list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }


def tcp_states(port: int, state: str, local: bool) -> int:
    """How many connections from or to a port are in a state of TCP."""
    end = f"0100007F:{port:04X}"
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()]
    return sum(line[1 if local else 2] == end and line[3] == state for line in lines)


class Plugged(Worker):
    """A worker whose machine is there, and whose connections do not come up until it is opened."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        super().__init__(name, script)
        self.sock, self.fillers = socket.socket(), list[socket.socket]()

    async def start(self) -> Self:
        """Listen, and be full."""
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.port = self.sock.getsockname()[1]
        while not self.coming:  # the queue of those that stand is full
            self.fillers.append(plug := socket.socket())
            plug.setblocking(False)
            plug.connect_ex(("127.0.0.1", self.port))
            await asyncio.sleep(0)
        return self

    @property
    def coming(self) -> int:
        """How many connections to it are coming up: SYN-SENT, of whoever."""
        return tcp_states(self.port, "02", local=False)

    async def open(self) -> None:
        """Let them come up."""
        for plug in self.fillers:
            plug.close()
        self._server = await asyncio.start_server(self._serve, sock=self.sock)


class Discovery(Listener):
    """A scripted discovery: a list, and watches that hear of its changes."""

    def __init__(self, entries: list[Any]) -> None:
        self.entries, self.index = entries, 1
        self.asked: list[str] = []
        self.silent = False
        self.raw: bytes | None = None  # answered in place of the list
        self._changed = asyncio.Event()
        self._delta: list[Any] = []
        self._ends: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    def stop(self) -> None:
        """Die."""
        super().stop()
        for _, writer in self._ends:
            writer.transport.abort()

    @property
    def open(self) -> int:
        """How many connections stand."""
        return sum(not (reader.at_eof() or writer.transport.is_closing()) for reader, writer in self._ends)

    def change(self, *entries: Any) -> None:
        """Tell the watch of changes."""
        self.index += 1
        self._delta = list(entries)
        self._changed.set()

    async def watched(self) -> None:
        """Wait until a watch waits for what comes after the latest version."""
        await until(lambda: any(f"index={self.index}&" in path for path in self.asked))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._ends.append((reader, writer))
        with contextlib.suppress(asyncio.CancelledError, ConnectionError, RuntimeError):
            await self._answer(reader, writer)  # uvloop says RuntimeError where the other side is gone
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            path = message.first.split(" ")[1]
            self.asked.append(path)
            if self.silent:
                continue
            held = int(path.partition("index=")[2].partition("&")[0] or -1)
            if whole := held != self.index and not (held == self.index - 1 and self._changed.is_set()):
                entries = self.entries  # what it holds is too old to be told of changes alone
            else:
                with contextlib.suppress(TimeoutError):
                    wait = int(path.rpartition("wait=")[2]) / 1000
                    await asyncio.wait_for(self._changed.wait(), wait)
                self._changed.clear()
                entries, self._delta = self._delta, []
            body = json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries, "novel": 1}).encode()
            writer.write(
                self.raw
                if self.raw is not None
                else f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            )


class BusyDiscovery:
    """A discovery that takes one call at a time, `each` seconds, and turns away what would wait for over `patience`.

    It answers a connection's first call that it takes, and leaves the watch that follows it open.
    """

    def __init__(self, service_seconds: float, max_wait_seconds: float) -> None:
        self.service_seconds, self.max_wait_seconds = service_seconds, max_wait_seconds
        self.calls = self.served = 0
        self._free_at = 0.0
        self._server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        """Listen; the address."""
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while await read_message(reader) is not None:
            self.calls += 1
            begin = max(self._free_at, loop.time())
            if begin - loop.time() > self.max_wait_seconds:
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                continue
            self._free_at = done = begin + self.service_seconds  # it also works on calls that nobody waits for
            await asyncio.sleep(done - loop.time())
            self.served += 1
            body = b'{"index": 9, "snapshot": true, "endpoints": []}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return


class Client:
    """A client connection."""

    made = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    def request(
        klass: str = "read",
        timeout: str = "2.0",
        body: bytes = b"",
        customer: str = "00000000000000aa",
        plan: str = "free",
        weight: str = "units=1,spread=1,first=0",
        id: str = "",
        method: str = "",
        path: str = "",
        extra: str = "",
        drop: str = "",
    ) -> bytes:
        """A request's bytes; `drop` leaves a header out."""
        Client.made += 1
        method = method or ("GET" if klass == "read" else "POST")
        path = path or f"/{klass}?customer={customer}"
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        lines = [
            f"X-Request-ID: {id or f'id{Client.made}'}\r\n",
            f"X-Priority-Class: {klass}\r\n",
            f"X-Tariff: {plan}\r\n",
            f"X-Timeout: {timeout}\r\n",
            f"X-Weight: {weight}\r\n",
        ]
        kept = "".join(line for line in lines if not drop or not line.startswith(drop))
        return f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n{kept}{length}{extra}\r\n".encode() + body

    def send(self, data: bytes) -> None:
        """Write."""
        self.writer.write(data)

    async def receive(self) -> Message | None:
        """The next answer, or None where the connection ends."""
        return await read_message(self.reader)

    async def ask(self, *args: Any, **changes: Any) -> Message:
        """Send a request and wait for its answer."""
        self.send(self.request(*args, **changes))
        reply = await self.receive()
        assert reply is not None
        return reply

    async def ended(self) -> bool:
        """Whether the gatekeeper has ended the connection, with nothing more on it."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:  # reset, as it had sent more than was read
            return True


class Gatekeeper:
    """The real program in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, file: Path) -> None:
        self.process, self.file, self.port = process, file, 0
        self.management = 0  # the operators' port
        self.log: list[str] = []
        self._has_port = asyncio.Event()
        self._reading = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode())
            if found := re.search(r"management at 127\.0\.0\.1:(\d+)", self.log[-1]):
                self.management = int(found[1])
            if found := re.search(r"(?:listens|plans) at 127\.0\.0\.1:(\d+)", self.log[-1]):
                self.port = int(found[1])
                self._has_port.set()

    async def listening(self) -> None:
        """Wait until it listens."""
        await self._has_port.wait()

    async def reload(self, text: str, line: str) -> None:
        """Replace its file, send SIGHUP and wait for the line that tells what came of it."""
        self.file.write_text(text)
        self.log.clear()
        self.process.send_signal(signal.SIGHUP)
        await self.logged(line)

    async def client(self) -> Client:
        """A new connection to it."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def health(self) -> int:
        """The status of /healthz."""
        client = await self.client()
        client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        reply = await client.receive()
        client.writer.close()
        assert reply is not None
        return reply.status

    async def call(self, line: str | bytes, end: bool = False) -> str:
        """What a call at the operators' address is answered; `end` ends the sending behind it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
        writer.write(line if isinstance(line, bytes) else line.encode() + b"\n")
        if end:
            writer.write_eof()
        reply = await reader.read()
        writer.close()
        return reply.decode().rstrip("\n")

    async def logged(self, text: str) -> None:
        """Wait for a line of its log."""
        await until(lambda: any(text in line for line in self.log))


def config(
    discovery: int,
    known: list[Any] | None = None,
    sockets: int = 256,
    changes: dict[str, dict[str, Any]] | None = None,
    limits: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """A configuration; `changes` go into the objects of the settings, `limits` over the usual ones."""
    facts = copy.deepcopy(FACTS)
    for key, values in (changes or {}).items():
        facts[key].update(values)
    return {
        "name": "g1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets, **(limits or {})},
        "settings": facts,
        "management": "127.0.0.1:0",
        "known": {"index": 1, "snapshot": True, "endpoints": known or []},
    }


async def launch(configuration: object, *arguments: str, environment: dict[str, str] | None = None) -> Gatekeeper:
    """Start the program, with a verb and its options if any, and wait until it listens or has ended."""
    gatekeeper = await spawn(configuration, *arguments, environment=environment)
    # It has read its file once it has told of its port or has ended.
    waiting = [asyncio.create_task(gatekeeper.listening()), asyncio.create_task(gatekeeper.process.wait())]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    waiting[0].cancel()
    return gatekeeper


async def spawn(
    configuration: object,
    *arguments: str,
    accept: socket.socket | None = None,
    folder: str = "",
    root: Path | None = None,
    module: str = "oliveloft",
    environment: dict[str, str] | None = None,
) -> Gatekeeper:
    """Start the program, and wait for nothing.

    `accept` is a listening socket that it inherits, `folder` its temporary folder, `root` where its text stands,
    `module` what is run in place of the program itself, `environment` what its environment has besides.
    """
    extra_environment = {**(environment or {}), **({"TMPDIR": folder} if folder else {})}
    if accept is not None:
        extra_environment["PROXY_ACCEPT_FD"] = str(accept.fileno())
    file = Path(tempfile.mkstemp(suffix=".json", dir=CONFIG_DIRECTORY.name)[1])
    file.write_text(configuration if isinstance(configuration, str) else json.dumps(configuration))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        env={**os.environ, "PROXY_CONFIG": str(file), **extra_environment},
        cwd=root or Path(__file__).parents[1],
        stderr=asyncio.subprocess.PIPE,
        pass_fds=(accept.fileno(),) if accept is not None else (),
    )
    return Gatekeeper(process, file)


@contextlib.asynccontextmanager
async def scene(
    *workers: Any, ends: bool = False, **options: Any
) -> AsyncIterator[tuple[Gatekeeper, Discovery, Client]]:
    """Workers, a discovery that lists them, a gatekeeper that has heard of them, and a client.

    `ends` says that the gatekeeper has ended by itself by then.
    """
    for worker in workers:
        await worker.start()
    discovery = await Discovery([worker.entry() for worker in workers]).start()
    gatekeeper = await launch(config(discovery.port, **options))
    try:
        await discovery.watched()
        yield gatekeeper, discovery, await gatekeeper.client()
        assert (gatekeeper.process.returncode is not None) is ends, gatekeeper.log
        assert not any("Traceback" in line for line in gatekeeper.log), gatekeeper.log
    finally:
        if gatekeeper.process.returncode is None:
            gatekeeper.process.kill()
        await gatekeeper.process.wait()
