"""Types that the parts of the gatekeeper share: endpoints, discovery updates, and both ends of a streamed response.

Front end, back end, discovery and dispatcher import this module instead of each other.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any, Protocol

from micagate import interface
from micagate.estimates.start_times import StartTimes
from oliveloft.config.loading import address

STATES = {"up": interface.HEALTHY, "draining": interface.DRAINING, "removed": interface.REMOVED}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the discovery list: the gateway's worker entry and the address of the worker."""

    entry: interface.WorkerEntry
    address: tuple[str, int]


class BodySource(Protocol):
    """The sender of a streamed response."""

    def resume(self) -> None:
        """Continue: the client accepts more data."""

    def cancel(self) -> None:
        """Stop: nobody reads the response any more."""


class ResponseSink(Protocol):
    """The receiver of a streamed response."""

    def begin(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """The answer begins, of this many bytes if that is known; the source gets `resume` when it takes more
        again, and `cancel` when nobody is there any more."""

    def write(self, data: bytes) -> bool:
        """Write a chunk; return whether more may follow at once."""

    def end(self) -> None:
        """The response is complete."""

    def abort_response(self) -> None:
        """The response cannot be completed: make that visible to the client."""


def endpoint(raw: Any) -> tuple[Endpoint, float]:
    """An entry of the list, and its start in Unix time (seconds; 0: long ago). ValueError says what is wrong."""
    if not isinstance(raw, dict):
        raise ValueError("no object")
    name, state = raw.get("name"), raw.get("status")
    if not isinstance(name, str) or not name:
        raise ValueError("name: missing or no text")
    if state not in STATES:
        raise ValueError(f"status: {state!r}")
    where = ("", 0) if state == "removed" else address(raw.get("address"))
    zone, cell = raw.get("zone", ""), raw.get("group", 0)
    if not isinstance(zone, str) or not isinstance(cell, int):
        raise ValueError("zone or group")
    size, since = raw.get("weight", 1.0), raw.get("since_ms", 0) or 0
    for value in (size, since):
        if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e15:
            raise ValueError(f"weight or since_ms: {value!r}")
    entry = interface.WorkerEntry(
        worker=name,
        zone=zone,
        cell=cell,
        state=STATES[state],
        size=float(size),
    )
    return Endpoint(entry, where), since / 1000


class DiscoveryUpdate:
    """An update from discovery. Start times are unknown until `date` is called."""

    __slots__ = ("index", "whole", "endpoints", "skipped", "_starts")

    def __init__(self, raw: Any) -> None:
        if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
            raise ValueError("no list of endpoints")
        index = raw.get("index")
        if not isinstance(index, int) or isinstance(index, bool):
            raise ValueError(f"index: {index!r}")
        self.index, self.whole = index, bool(raw.get("snapshot"))
        self.endpoints: list[Endpoint] = []
        self._starts: list[float] = []
        self.skipped = ""
        for item in raw["endpoints"]:
            try:
                found, start = endpoint(item)
            except ValueError as error:
                self.skipped = str(error)
                continue
            self.endpoints.append(found)
            self._starts.append(start)

    def date(self, times: StartTimes, now: float) -> None:
        """Set the start times of the endpoints; only for an update that is applied."""
        there = set()
        for place, (found, wall) in enumerate(zip(self.endpoints, self._starts, strict=True)):
            name = found.entry.worker
            if found.entry.state == interface.REMOVED:
                times.forget(name)
                continue
            there.add(name)
            if (started := times.started(now, name, wall)) is not None:
                self.endpoints[place] = replace(found, entry=replace(found.entry, started=started))
        times.listed(self.whole, there)
