"""Records the events and actions of a gateway as lines of JSON, so that its decisions can be replayed.

The first line of a trace holds the settings, the seed and the start time. Each further line holds one event: its time,
the event, and the actions that it led to. Floats are written so that they read back exactly. The module does no I/O:
a trace is an iterable of lines.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from micagate import interface

# The name under which each class is written. It never changes, so that old traces stay readable. A field is written
# under its own name, or under the name in its metadata entry `TRACE_NAME`.
_CLASSES_BY_NAME: dict[str, type[Any]] = {
    "WorkerEntry": interface.WorkerEntry,
    "WorkerList": interface.WorkerList,
    "Request": interface.Request,
    "Outcome": interface.Outcome,
    "StreamStarted": interface.StreamStarted,
    "TimerFired": interface.TimerFired,
    "Abandoned": interface.ClientDisconnected,
    "Send": interface.Send,
    "Refuse": interface.Refuse,
    "Fail": interface.Fail,
    "Cancel": interface.Cancel,
    "SetTimer": interface.SetTimer,
    "Subscribe": interface.Subscribe,
    "RequestClass": interface.RequestClass,
    "Plan": interface.Plan,
    "Settings": interface.Settings,
    "Share": interface.ResourceShare,
    "Shares": interface.ShareUpdate,
    "Fill": interface.BucketLevels,
    "Freed": interface.ReleasedLevels,
    "Survey": interface.DemandQuery,
    "Tally": interface.ResourceDemand,
    "Tallies": interface.DemandReport,
    "Pace": interface.WorkerCapacity,
    "Work": interface.WorkerLoad,
}
_NAMES_BY_CLASS = {kind: name for name, kind in _CLASSES_BY_NAME.items()} | {  # these are written but not read back
    interface.RequestComplete: "Whole",
    interface.StopRetrying: "Ending",
    interface.CounterAdd: "Count",
    interface.CounterResult: "Counted",
    interface.SetMaintenance: "Maintain",
    interface.MaintenanceResult: "Maintained",
}
_ATTRIBUTES_BY_CLASS = {
    kind: {field.metadata.get(interface.TRACE_NAME, field.name): field.name for field in dataclasses.fields(kind)}
    for kind in _CLASSES_BY_NAME.values()
}


class TraceError(ValueError):
    """A trace cannot be read; the message names the line, counted from 1."""


def pack(value: object) -> Any:
    """Convert a value of the interface to one that JSON can hold; fields with their default value are left out."""
    if isinstance(value, tuple):
        return [pack(item) for item in value]
    if not dataclasses.is_dataclass(value):
        return value
    fields = {
        field.metadata.get(interface.TRACE_NAME, field.name): pack(getattr(value, field.name))
        for field in dataclasses.fields(value)
        if getattr(value, field.name) != field.default
    }
    return {"": _NAMES_BY_CLASS.get(type(value), type(value).__name__), **fields}


def unpack(raw: Any) -> Any:
    """Convert back what `pack` returned. Raises ValueError or TypeError if it is no value of the interface."""
    if isinstance(raw, list):
        return tuple(unpack(item) for item in raw)
    if not isinstance(raw, dict):
        return raw
    cls = _CLASSES_BY_NAME.get(raw.get("", ""))
    if cls is None:
        raise ValueError(f"unknown kind {raw.get('')!r}")
    attributes = _ATTRIBUTES_BY_CLASS[cls]
    return cls(**{attributes.get(name, name): unpack(value) for name, value in raw.items() if name})


class Recorder:
    """Wraps the `handle` method of a gateway and passes each line of the trace to `write`."""

    def __init__(
        self,
        handle: Callable[[float, interface.Event], list[interface.Action]],
        settings: interface.Settings,
        seed: int,
        now: float,
        write: Callable[[str], object],
    ) -> None:
        self._handle, self._write = handle, write
        write(json.dumps({"settings": pack(settings), "seed": seed, "now": now}))

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Handle an event, and record it with the resulting actions."""
        actions = self._handle(now, event)
        self._write(json.dumps([now, pack(event), [pack(action) for action in actions]], separators=(",", ":")))
        return actions


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A recorded event: its line number, its time, and the resulting actions."""

    line: int
    now: float
    event: interface.Event
    actions: list[interface.Action]


def read(lines: Iterable[str]) -> tuple[interface.Settings, int, float, Iterator[Step]]:
    """Return the settings, the seed, the start time and the steps of a trace. Raises TraceError on a malformed line."""
    numbered = enumerate(lines, 1)

    def read_header() -> tuple[interface.Settings, int, float]:
        for number, line in numbered:
            try:
                raw = json.loads(line)
                return unpack(raw["settings"]), int(raw["seed"]), float(raw["now"])
            except (ValueError, TypeError, KeyError) as error:
                raise TraceError(f"line {number}: {error}") from error
        raise TraceError("line 1: missing")

    def read_steps() -> Iterator[Step]:
        for number, line in numbered:
            try:
                now, event, actions = json.loads(line)
                yield Step(number, float(now), unpack(event), [unpack(action) for action in actions])
            except (ValueError, TypeError, AttributeError) as error:
                raise TraceError(f"line {number}: {error}") from error

    return *read_header(), read_steps()
