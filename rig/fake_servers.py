"""Scripted workers, discovery servers and clients on 127.0.0.1, and the real program in a process of its own.

The operating system chooses the ports. Tests wait for events instead of sleeping; the time limit of a scenario only
ends a test that would otherwise hang.
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

from oliveloft.backend.pool import REUSE_DELAY_SECONDS

SCENARIO_TIMEOUT_SECONDS = 20.0  # after which `run` ends a scenario that hangs
CONFIG_DIRECTORY = tempfile.TemporaryDirectory()  # configuration files, removed when the tests end
# The settings that `config` starts from.
DEFAULT_SETTINGS: dict[str, Any] = {
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
    """Run a scenario with a time limit.

    Objects of earlier scenarios are frozen first, so that the garbage collector does not pause this one to traverse
    them.
    """
    gc.collect()
    gc.freeze()
    try:
        asyncio.run(asyncio.wait_for(scenario, SCENARIO_TIMEOUT_SECONDS))
    finally:
        gc.unfreeze()  # other libraries call gc.get_referrers


async def reuse_delay_over() -> None:
    """Wait until connections to workers that have had their response may be reused."""
    await asyncio.sleep(2 * REUSE_DELAY_SECONDS)


async def until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds, for states that signal no event."""
    while not condition():
        await asyncio.sleep(0.005)


class Message:
    """A parsed HTTP request or response."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body
        self.status = int(first.split(" ")[1]) if first.startswith("HTTP/") else 0
        self.id = headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read the next message; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        return Message(first, headers, await reader.readexactly(int(headers.get("content-length", 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


Script = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


def answer(status: int = 200, body: bytes = b"done", headers: str = "", raw: bytes | None = None) -> Script:
    """Return a script that responds; `raw` is written unchanged and the connection is closed after it."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if raw is not None:
            writer.write(raw)
            writer.close()
        else:
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
            writer.write(head.encode() + body)

    return script


def after_event(event: asyncio.Event, script: Script | None = None) -> Script:
    """Return a script that waits for `event` and then runs `script`, by default a normal response."""

    async def delayed(request: Message, writer: asyncio.StreamWriter) -> None:
        await event.wait()
        await (script or answer())(request, writer)

    return delayed


async def hang(request: Message, writer: asyncio.StreamWriter) -> None:
    """Script that never responds."""


async def reset(request: Message, writer: asyncio.StreamWriter) -> None:
    """Script that resets the connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Listener:
    """Base of the fake servers: listens on a free port and keeps that port when it is started again."""

    port = 0
    _server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class FakeWorker(Listener):
    """A worker whose script handles each request; it records the requests that it received."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        self.name, self.script = name, script or answer()
        self.received: list[Message] = []
        self.connection_numbers: list[int] = []  # for each request in `received`: the number of its connection
        self.connections = self.connections_closed = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        with contextlib.suppress(asyncio.CancelledError):  # when the test ends
            while (message := await read_message(reader)) is not None:
                self.received.append(message)
                self.connection_numbers.append(number)
                await self.script(message, writer)
        self.connections_closed += 1
        writer.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the discovery list; `changes` override fields."""
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


def count_tcp_connections(port: int, state: str, local: bool) -> int:
    """Count the connections from (`local`) or to a port that are in a TCP state, a code of /proc/net/tcp."""
    end = f"0100007F:{port:04X}"
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()]
    return sum(line[1 if local else 2] == end and line[3] == state for line in lines)


class FullBacklogWorker(FakeWorker):
    """A worker with a full accept queue: connections to it stay in SYN-SENT until `accept_connections` is called."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        super().__init__(name, script)
        self.sock, self.fillers = socket.socket(), list[socket.socket]()

    async def start(self) -> Self:
        """Listen and fill the accept queue."""
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.port = self.sock.getsockname()[1]
        while not self.connecting:  # a connection in SYN-SENT shows that the queue is full
            self.fillers.append(plug := socket.socket())
            plug.setblocking(False)
            plug.connect_ex(("127.0.0.1", self.port))
            await asyncio.sleep(0)
        return self

    @property
    def connecting(self) -> int:
        """How many connections to it are in SYN-SENT, of any client."""
        return count_tcp_connections(self.port, "02", local=False)

    async def accept_connections(self) -> None:
        """Empty the accept queue and accept connections."""
        for plug in self.fillers:
            plug.close()
        self._server = await asyncio.start_server(self._serve, sock=self.sock)


class FakeDiscovery(Listener):
    """A scripted discovery server with a list of endpoints; open watches receive its changes."""

    def __init__(self, entries: list[Any]) -> None:
        self.entries, self.index = entries, 1
        self.requested_paths: list[str] = []
        self.unresponsive = False
        self.raw: bytes | None = None  # sent in place of the list
        self.without_length = False  # answers end with their connection
        self._changed = asyncio.Event()
        self._delta: list[Any] = []
        self._connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        super().stop()
        for _, writer in self._connections:
            writer.transport.abort()

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return sum(not (reader.at_eof() or writer.transport.is_closing()) for reader, writer in self._connections)

    def change(self, *entries: Any) -> None:
        """Publish one version with these changed entries to the watch."""
        self.index += 1
        self._delta = list(entries)
        self._changed.set()

    async def wait_until_watched(self) -> None:
        """Wait until a watch has requested the changes after the latest version."""
        await until(lambda: any(f"index={self.index}&" in path for path in self.requested_paths))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.append((reader, writer))
        with contextlib.suppress(asyncio.CancelledError, ConnectionError, RuntimeError):
            await self._answer(reader, writer)  # uvloop raises RuntimeError when the peer has disconnected
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            path = message.first.split(" ")[1]
            self.requested_paths.append(path)
            if self.unresponsive:
                continue
            known_index = int(path.partition("index=")[2].partition("&")[0] or -1)
            if is_snapshot := known_index != self.index and not (
                known_index == self.index - 1 and self._changed.is_set()
            ):
                entries = self.entries  # the known version is too old for a delta
            else:
                with contextlib.suppress(TimeoutError):
                    wait = int(path.rpartition("wait=")[2]) / 1000
                    await asyncio.wait_for(self._changed.wait(), wait)
                self._changed.clear()
                entries, self._delta = self._delta, []
            body = json.dumps({"index": self.index, "snapshot": is_snapshot, "endpoints": entries, "novel": 1}).encode()
            if self.without_length:
                writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
                return
            writer.write(
                self.raw
                if self.raw is not None
                else f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            )


class BusyDiscovery:
    """A discovery server that handles one call at a time and responds 503 to calls that would wait too long.

    A call takes `service_seconds`; `max_wait_seconds` bounds the wait in its queue. It responds to the first call that
    it accepts on a connection, and leaves the watch that follows unanswered.
    """

    def __init__(self, service_seconds: float, max_wait_seconds: float) -> None:
        self.service_seconds, self.max_wait_seconds = service_seconds, max_wait_seconds
        self.calls = self.served = 0
        self._free_at = 0.0
        self._server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop(self) -> None:
        """Stop listening."""
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
            self._free_at = done = begin + self.service_seconds  # also spent on calls whose client has disconnected
            await asyncio.sleep(done - loop.time())
            self.served += 1
            body = b'{"index": 9, "snapshot": true, "endpoints": []}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return


class Client:
    """A client connection. `requests_made` counts the requests built, for unique ids."""

    requests_made = 0

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
        """Return the bytes of a request; `drop` omits the headers whose line begins with it."""
        Client.requests_made += 1
        method = method or ("GET" if klass == "read" else "POST")
        path = path or f"/{klass}?customer={customer}"
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        lines = [
            f"X-Request-ID: {id or f'id{Client.requests_made}'}\r\n",
            f"X-Priority-Class: {klass}\r\n",
            f"X-Tariff: {plan}\r\n",
            f"X-Timeout: {timeout}\r\n",
            f"X-Weight: {weight}\r\n",
        ]
        header_lines = "".join(line for line in lines if not drop or not line.startswith(drop))
        return f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n{header_lines}{length}{extra}\r\n".encode() + body

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    async def receive(self) -> Message | None:
        """Read the next response; None at the end of the connection."""
        return await read_message(self.reader)

    async def fetch(self, *args: Any, **changes: Any) -> Message:
        """Send a request and wait for its response."""
        self.send(self.request(*args, **changes))
        reply = await self.receive()
        assert reply is not None
        return reply

    async def is_closed_cleanly(self) -> bool:
        """Wait for the end of the connection; whether nothing more was received on it."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:  # a reset: the gatekeeper closed with client bytes unread
            return True


class GatekeeperProcess:
    """The real program in a process of its own, with its log; `port` is 0 until it listens."""

    def __init__(self, process: asyncio.subprocess.Process, file: Path) -> None:
        self.process, self.file, self.port = process, file, 0
        self.management_port = 0  # port of the management interface, 0 until it is logged
        self.log: list[str] = []
        self._has_port = asyncio.Event()
        self._log_reader = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode())
            if found := re.search(r"management at 127\.0\.0\.1:(\d+)", self.log[-1]):
                self.management_port = int(found[1])
            if found := re.search(r"(?:listens|plans) at 127\.0\.0\.1:(\d+)", self.log[-1]):
                self.port = int(found[1])
                self._has_port.set()

    async def wait_until_listening(self) -> None:
        """Wait until it listens."""
        await self._has_port.wait()

    async def reload(self, text: str, line: str) -> None:
        """Replace the configuration file, send SIGHUP and wait for a log line with the outcome."""
        self.file.write_text(text)
        self.log.clear()
        self.process.send_signal(signal.SIGHUP)
        await self.wait_for_log(line)

    async def client(self) -> Client:
        """Open a new client connection."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def health(self) -> int:
        """Return the HTTP status of /healthz."""
        client = await self.client()
        client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        reply = await client.receive()
        client.writer.close()
        assert reply is not None
        return reply.status

    async def call(self, line: str | bytes, end: bool = False) -> str:
        """Return the response to a management call; `end` half-closes the connection after the call."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management_port)
        writer.write(line if isinstance(line, bytes) else line.encode() + b"\n")
        if end:
            writer.write_eof()
        reply = await reader.read()
        writer.close()
        return reply.decode().rstrip("\n")

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains the text."""
        await until(lambda: any(text in line for line in self.log))


def config(
    discovery: int,
    known: list[Any] | None = None,
    sockets: int = 256,
    changes: dict[str, dict[str, Any]] | None = None,
    limits: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return a configuration; `changes` update objects of the settings by key, `limits` override the default limits."""
    settings = copy.deepcopy(DEFAULT_SETTINGS)
    for key, values in (changes or {}).items():
        settings[key].update(values)
    return {
        "name": "g1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets, **(limits or {})},
        "settings": settings,
        "management": "127.0.0.1:0",
        "known": {"index": 1, "snapshot": True, "endpoints": known or []},
    }


async def launch(
    configuration: object, *arguments: str, environment: dict[str, str] | None = None
) -> GatekeeperProcess:
    """Start the program, with a verb and its options if any, and wait until it listens or has exited."""
    gatekeeper = await spawn(configuration, *arguments, environment=environment)
    # It has read its configuration once it has logged its port or exited.
    waiting = [asyncio.create_task(gatekeeper.wait_until_listening()), asyncio.create_task(gatekeeper.process.wait())]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    waiting[0].cancel()
    return gatekeeper


async def spawn(
    configuration: object,
    *arguments: str,
    listening_socket: socket.socket | None = None,
    temp_directory: str = "",
    source_root: Path | None = None,
    module: str = "oliveloft",
    environment: dict[str, str] | None = None,
) -> GatekeeperProcess:
    """Start the program without waiting for it to listen.

    It inherits `listening_socket`. `temp_directory` is its TMPDIR, `source_root` the source tree to run from, `module`
    the module to run in place of the program itself, `environment` additional environment variables.
    """
    extra_environment = {**(environment or {}), **({"TMPDIR": temp_directory} if temp_directory else {})}
    if listening_socket is not None:
        extra_environment["PROXY_ACCEPT_FD"] = str(listening_socket.fileno())
    file = Path(tempfile.mkstemp(suffix=".json", dir=CONFIG_DIRECTORY.name)[1])
    file.write_text(configuration if isinstance(configuration, str) else json.dumps(configuration))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        env={**os.environ, "PROXY_CONFIG": str(file), **extra_environment},
        cwd=source_root or Path(__file__).parents[1],
        stderr=asyncio.subprocess.PIPE,
        pass_fds=(listening_socket.fileno(),) if listening_socket is not None else (),
    )
    return GatekeeperProcess(process, file)


@contextlib.asynccontextmanager
async def running_gatekeeper(
    *workers: Any, expect_exit: bool = False, **options: Any
) -> AsyncIterator[tuple[GatekeeperProcess, FakeDiscovery, Client]]:
    """Start workers, a discovery server that lists them, a gatekeeper that has received the list, and a client.

    `options` are those of `config`. At the end the gatekeeper must still run, or must have exited if
    `expect_exit` is set.
    """
    for worker in workers:
        await worker.start()
    discovery = await FakeDiscovery([worker.entry() for worker in workers]).start()
    gatekeeper = await launch(config(discovery.port, **options))
    try:
        await discovery.wait_until_watched()
        yield gatekeeper, discovery, await gatekeeper.client()
        assert (gatekeeper.process.returncode is not None) is expect_exit, gatekeeper.log
        assert not any("Traceback" in line for line in gatekeeper.log), gatekeeper.log
    finally:
        if gatekeeper.process.returncode is None:
            gatekeeper.process.kill()
        await gatekeeper.process.wait()
