"""Hot restarts under load: what outlives a gatekeeper process that is replaced, and clients that count failures.

What outlives it is the listening socket, the temporary directory, the workers and discovery. The clients keep their
connections open and send one request after another.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import time
from pathlib import Path
from typing import Any, Self

from rig.fake_servers import Client, FakeDiscovery, GatekeeperProcess, config, spawn, until


class ProcessHost:
    """Owns the listening socket, temporary directory, workers and discovery that gatekeeper processes use in turn."""

    def __init__(self, *workers: Any, limits: dict[str, Any] | None = None) -> None:
        self.workers, self._limits = workers, limits
        self.temp_directory = tempfile.TemporaryDirectory()
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(512)
        self.processes: list[GatekeeperProcess] = []

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        port: int = self.socket.getsockname()[1]
        return port

    async def __aenter__(self) -> Self:
        for worker in self.workers:
            await worker.start()
        self.discovery = await FakeDiscovery([worker.entry() for worker in self.workers]).start()
        return self

    async def start_process(
        self, ready: bool = True, source_root: Path | None = None, **changes: Any
    ) -> GatekeeperProcess:
        """Start one more process and, if `ready`, wait until it reports that it serves.

        `source_root` is the source tree of another version; `changes` override keys of the configuration.
        """
        configuration = {**config(self.discovery.port, limits=self._limits), **changes}
        configuration["listen"] = f"127.0.0.1:{self.port}"
        gatekeeper = await spawn(
            json.dumps(configuration),
            listening_socket=self.socket,
            temp_directory=self.temp_directory.name,
            source_root=source_root,
        )
        self.processes.append(gatekeeper)
        if ready:
            await gatekeeper.wait_until_listening()
            while not (await gatekeeper.call("HEALTH")).startswith("ok"):
                await asyncio.sleep(0.01)
        return gatekeeper

    async def __aexit__(self, *error: object) -> None:
        for gatekeeper in self.processes:
            if gatekeeper.process.returncode is None:
                gatekeeper.process.kill()
            await gatekeeper.process.wait()
            if not error[0]:
                assert not any("Traceback" in line for line in gatekeeper.log), gatekeeper.log
        self.socket.close()
        self.temp_directory.cleanup()


class ClosedLoopClients:
    """Closed-loop clients on persistent connections; each sends its next request `pause_seconds` after a reply."""

    def __init__(self, port: int, count: int, pause_seconds: float = 0.002) -> None:
        self.port, self.count, self.pause_seconds = port, count, pause_seconds
        self.statuses: list[int] = []
        self.reply_times: list[float] = []  # monotonic time of each reply
        self.connection_failures, self.running = 0, True

    async def _run_client(self, number: int) -> None:
        client = None
        while self.running:
            reply = None
            try:
                if client is None:
                    client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
                client.send(Client.request("write", customer=f"{number:016x}"))
                reply = await client.receive()
            except ConnectionError:
                pass
            if reply is None:
                self.connection_failures += 1
                client = None
                continue
            self.statuses.append(reply.status)
            self.reply_times.append(time.monotonic())
            if reply.headers.get("connection") == "close":
                client = None
            await asyncio.sleep(self.pause_seconds)

    async def __aenter__(self) -> Self:
        self.tasks = [asyncio.create_task(self._run_client(n)) for n in range(self.count)]
        await until(lambda: len(self.statuses) > 100)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.running = False
        _, stuck = await asyncio.wait(self.tasks, timeout=5)
        for task in stuck:  # a reply that never arrives counts like a lost connection
            task.cancel()
        self.connection_failures += len(stuck)
