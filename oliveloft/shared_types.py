"""Types that the parts of the gatekeeper share: endpoints, discovery updates, and both ends of a streamed response.

Front end, back end, discovery and dispatcher import this module instead of each other.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any, Protocol

from micagate import interface
from micagate.estimates.start_times import StartTimes
from oliveloft.config.loading import parse_address

WORKER_STATES = {"up": interface.HEALTHY, "draining": interface.DRAINING, "removed": interface.REMOVED}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the discovery list: the gateway's worker entry and the address of the worker."""

    entry: interface.WorkerEntry
    address: tuple[str, int]


class BodySource(Protocol):
    """The sender of a streamed response."""

    def resume(self) -> None:
        """Continue sending: the client accepts more data."""

    def cancel(self) -> None:
        """Stop sending: the client has disconnected."""


class ResponseSink(Protocol):
    """The receiver of a streamed response."""

    def begin(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Start the response; `length` is that of its body in bytes, if known.

        `source.resume` is called when the receiver accepts more data again, `source.cancel` when the client has
        disconnected.
        """

    def write(self, pieces: list[bytes]) -> bool:
        """Write pieces of the body; return whether more may follow at once."""

    def end(self) -> None:
        """The response is complete."""

    def peer_closed(self) -> bool:
        """Whether the client has closed its connection, also if that is not reported yet."""

    def abort_response(self) -> None:
        """The response cannot be completed: make that visible to the client."""


def parse_endpoint(entry_json: Any) -> tuple[Endpoint, float]:
    """Parse an entry of the discovery list; return it with its start in Unix time (seconds; 0: long ago).

    Raises ValueError.
    """
    if not isinstance(entry_json, dict):
        raise ValueError("not an object")
    name, state = entry_json.get("name"), entry_json.get("status")
    if not isinstance(name, str) or not name:
        raise ValueError("name: missing or not a string")
    if state not in WORKER_STATES:
        raise ValueError(f"status: {state!r}")
    worker_address = ("", 0) if state == "removed" else parse_address(entry_json.get("address"))
    zone, cell = entry_json.get("zone", ""), entry_json.get("group", 0)
    if not isinstance(zone, str) or not isinstance(cell, int):
        raise ValueError("zone: not a string, or group: not an integer")
    size, since = entry_json.get("weight", 1.0), entry_json.get("since_ms", 0) or 0
    for value in (size, since):
        if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e15:
            raise ValueError(f"weight or since_ms: not a number in the allowed range: {value!r}")
    entry = interface.WorkerEntry(
        worker=name,
        zone=zone,
        cell=cell,
        state=WORKER_STATES[state],
        size=float(size),
    )
    return Endpoint(entry, worker_address), since / 1000


class DiscoveryUpdate:
    """A parsed update from discovery: a snapshot of the list or a delta, with its version (`index`).

    `skipped` is the error of the last malformed entry, or empty. The start times of the endpoints are set later, and
    only if the update is applied. Raises ValueError if the update itself is malformed.
    """

    __slots__ = ("index", "is_snapshot", "endpoints", "skipped", "_start_times")

    def __init__(self, update_json: Any) -> None:
        if not isinstance(update_json, dict) or not isinstance(update_json.get("endpoints"), list):
            raise ValueError("endpoints: missing or not a list")
        index = update_json.get("index")
        if not isinstance(index, int) or isinstance(index, bool):
            raise ValueError(f"index: {index!r}")
        self.index, self.is_snapshot = index, bool(update_json.get("snapshot"))
        self.endpoints: list[Endpoint] = []
        self._start_times: list[float] = []
        self.skipped = ""
        for item in update_json["endpoints"]:
            try:
                found, start = parse_endpoint(item)
            except ValueError as error:
                self.skipped = str(error)
                continue
            self.endpoints.append(found)
            self._start_times.append(start)

    def set_start_times(self, times: StartTimes, now: float) -> None:
        """Set the start times of the endpoints; call it only for an update that is applied."""
        listed = set()
        for position, (found, started_wall) in enumerate(zip(self.endpoints, self._start_times, strict=True)):
            name = found.entry.worker
            if found.entry.state == interface.REMOVED:
                times.forget(name)
                continue
            listed.add(name)
            if (started := times.start_time(now, name, started_wall)) is not None:
                self.endpoints[position] = replace(found, entry=replace(found.entry, started=started))
        times.record_list(self.is_snapshot, listed)
