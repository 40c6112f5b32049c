"""Messages between fleet members and their validation, independent of the transport."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from micagate.membership.clock import Stamp
from micagate.planning.messages import Malformed

MAX_ENTRIES = 512  # of records, and of facts, in a message
MAX_NAME_LENGTH = 256  # most characters of a name, a kind or a key
ALIVE, SUSPECT, DEAD = "alive", "suspect", "dead"
STATUS_RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2}
GONE, SILENT = "gone", "silent"  # cause: its machine refuses connections, or nothing is received


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a member: its incarnation, the version of its own data, and its status.

    Only the member raises `version`; `by` and `cause` come from those that suspect it. `about` is its own data: stage,
    health, versions and how its last incarnation ended, as plain values.
    """

    name: str
    incarnation: int
    version: int
    status: str = ALIVE
    by: tuple[str, ...] = ()
    cause: str = ""
    about: dict[str, Any] = {}  # noqa: RUF012 - msgspec copies it

    def order(self) -> tuple[int, int, int]:
        """Return the sort key of the record; a later record has a greater one."""
        return self.incarnation, self.version, STATUS_RANK[self.status]


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """A value that holds for the whole fleet until a later one of the same kind and key replaces it."""

    kind: str
    key: str
    stamp: Stamp
    value: Any


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """A heartbeat: `number` counts the sender's on this link, `seen` is the last that it received from the other side.

    `wall` is the sender's Unix time, `digest` that of all its records and facts; the rest is what has changed.
    """

    number: int
    seen: int
    wall: float
    digest: int
    records: tuple[Record, ...] = ()
    facts: tuple[Fact, ...] = ()


class StateSummary(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """All that the sender has, by number and stamp alone; `answer`: the other side is to reply in kind."""

    records: tuple[tuple[str, int, int, int], ...]
    facts: tuple[tuple[str, str, Stamp], ...]
    answer: bool


class RecoveryQuery(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """A restarted member asks what is known of it: `boot` is its last persisted incarnation, 0 if none, `life`
    the present one."""

    boot: int
    life: int


class RecoveryAnswer(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """What a member knows of one that asks: its latest known incarnation, when it was last heard, and fleet values.

    `boot` is its latest known incarnation before the present one, 0: none. `ago` is seconds since it was last
    heard in that, negative where that is not known; `distrusted`: it has declared its persisted state invalid.
    `up` is how long the sender is up; `recovering`: it is itself recovering. `workers` has what is known of workers'
    warmth and health: name, share of a warm one's pace, whether it fails.
    """

    boot: int
    ago: float
    wall: float
    up: float
    recovering: bool
    workers: tuple[tuple[str, float, bool], ...] = ()
    pace: float = 0.0  # served a second here, of late
    distrusted: bool = False


Message = Heartbeat | StateSummary | RecoveryQuery | RecoveryAnswer


def _check_name(text: str) -> None:
    if not 0 < len(text) <= MAX_NAME_LENGTH:
        raise Malformed(f"name: must not be empty or too long: {len(text)} characters")


def _check_stamp(stamp: Stamp) -> None:
    if not 0 <= stamp[0] < 1 << 53 or not 0 <= stamp[1] < 1 << 53 or len(stamp[2]) > MAX_NAME_LENGTH:
        raise Malformed(f"stamp: out of range: {stamp!r}")


def check(message: Message) -> None:
    """Raise `Malformed` for values that no correct member sends."""
    match message:
        case Heartbeat():
            if len(message.records) > MAX_ENTRIES or len(message.facts) > MAX_ENTRIES:
                raise Malformed("too many entries")
            if not math.isfinite(message.wall) or message.number < 0 or message.seen < 0:
                raise Malformed("heartbeat: invalid number or time")
            for record in message.records:
                _check_name(record.name)
                if (
                    record.status not in STATUS_RANK
                    or record.incarnation < 0
                    or record.version < 0
                    or len(record.by) > 64
                ):
                    raise Malformed(f"record of {record.name[:64]!r}: invalid status, incarnation or version")
            for fact in message.facts:
                _check_name(fact.kind)
                _check_name(fact.key)
                _check_stamp(fact.stamp)
        case StateSummary():
            for _, _, stamp in message.facts:
                _check_stamp(stamp)
            if any(rank not in (0, 1, 2) for _, _, _, rank in message.records):
                raise Malformed("records: invalid status rank")
        case RecoveryAnswer():
            for name, pace, _ in message.workers:
                _check_name(name)
                if not 0 <= pace <= 1:
                    raise Malformed(f"workers: warm-up factor must be from 0 to 1, not {pace!r}")
            if not all(map(math.isfinite, (message.ago, message.wall, message.up, message.pace))):
                raise Malformed("recovery answer: times and rates must be finite")
        case RecoveryQuery():
            pass
