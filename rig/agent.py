"""A fake discovery agent that keeps the history of versions, with injectable faults.

It speaks the discovery protocol of the gatekeeper: HTTP long polls with JSON bodies. Any number of calls may be open at
once; the response to each holds the changes after the version that the call names, or a snapshot if that is unknown.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rig.fake_servers import Listener, read_message


@dataclass
class AgentFaults:
    """The faults of an agent; they apply to responses composed from now on."""

    delay_seconds: Callable[[], float] = field(default=lambda: 0.0)  # before each composed response is written
    trickle_seconds: float = 0.0  # between two pieces of a response; 0 writes it at once
    pieces: int = 8  # of a trickled response
    unresponsive: bool = False  # calls received now never get a response
    close_after_answer: bool = False
    always_snapshot: bool = False


class FakeAgent(Listener):
    """A discovery agent with a versioned list of endpoints."""

    def __init__(self, entries: list[dict[str, Any]], index: int = 1) -> None:
        self.index = index
        self.entries: dict[str, dict[str, Any]] = {entry["name"]: entry for entry in entries}
        self.faults = AgentFaults()
        self.calls: list[str] = []
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._first_index = index  # the earliest version that a delta can start from
        self._changed = asyncio.Event()  # set when the present version ends; each version has its own event
        self._writers: set[asyncio.StreamWriter] = set()

    async def change(self, *entries: dict[str, Any]) -> None:
        """Publish one new version in which these entries changed."""
        self.index += 1
        for entry in entries:
            self._history.append((self.index, entry))
            if entry["status"] == "removed":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def reset_connections(self) -> None:
        """Abort every open connection; new ones are accepted."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening, and abort every open connection."""
        super().stop()
        self.reset_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError, ConnectionError, RuntimeError):
            while (message := await read_message(reader)) is not None:
                path = message.first.split(" ")[1]
                self.calls.append(path)
                if self.faults.unresponsive:
                    continue
                await self._write(writer, await self._compose(path))
                if self.faults.close_after_answer:
                    break
        self._writers.discard(writer)
        writer.close()

    async def _compose(self, path: str) -> bytes:
        known_index = int(path.partition("index=")[2].partition("&")[0] or -1)
        wait_seconds = int(path.rpartition("wait=")[2]) / 1000 if "wait=" in path else 0.0
        if known_index == self.index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_seconds)
        snapshot = self.faults.always_snapshot or not self._first_index <= known_index <= self.index
        entries = (
            list(self.entries.values())
            if snapshot
            else [entry for index, entry in self._history if index > known_index]
        )
        return json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode()

    async def _write(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        await asyncio.sleep(self.faults.delay_seconds())
        message = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if not self.faults.trickle_seconds:
            writer.write(message)
            return
        size = max(1, len(message) // self.faults.pieces)
        for begin in range(0, len(message), size):
            writer.write(message[begin : begin + size])
            await asyncio.sleep(self.faults.trickle_seconds)
