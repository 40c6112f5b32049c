"""Messages between forwarders and planners about one shard; amounts are shares of the whole, from 0 to 1.

Both sides number their messages from 1 within a session, list only what changed, and renew all else by
sending any message. A message out of order ends the session, and a new one begins with the whole state.
"""

from __future__ import annotations

import math

import msgspec

MAX_KEY_LENGTH = 256
MAX_LOAD_VALUE = 1_000_000  # responses, attempts or attempts x seconds in one report: more is a false or corrupt report


class Need(msgspec.Struct, frozen=True, array_like=True):
    """A forwarder's need of a resource that the forwarders `first`, `first` + 1, ... share, `count` of them."""

    key: str
    first: int
    count: int
    need: float


class Amount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of a resource that is lent or granted."""

    key: str
    amount: float


class BucketLevels(msgspec.Struct, frozen=True, array_like=True):
    """The token bucket balances, of quota and ceiling, that move with a share; 1 is a whole burst."""

    key: str
    quota: float
    ceiling: float


class LendRequest(msgspec.Struct, frozen=True, array_like=True):
    """How much of its share of a resource a forwarder is to lend; less than before releases the rest."""

    key: str
    count: int
    amount: float


class WorkerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The outcomes of a forwarder's attempts at a worker since its last report; `micagate.interface.WorkerLoad`."""

    key: str
    answered: int
    load: float
    busy: float
    refused: int
    missed: int
    failed: int


LOAD_FIELDS = WorkerLoad.__struct_fields__[1:]


class WorkerCapacity(msgspec.Struct, frozen=True, array_like=True):
    """The capacity of a worker for all forwarders together, responses a second; 0 if unknown."""

    key: str
    capacity: float


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A forwarder's message: `ack` is the number of the latest planner update it has, `echo` that update's stamp."""

    shard: int
    epoch: int
    session: int
    number: int
    ack: int
    echo: float
    needs: tuple[Need, ...] = ()
    lent: tuple[Amount, ...] = ()
    released_levels: tuple[BucketLevels, ...] = ()  # levels of shares that were given away or returned
    worker_loads: tuple[WorkerLoad, ...] = ()


class PlannerUpdate(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A planner's message: `answers` is the number of the latest report it has, `stamp` its clock's
    reading when it was sent."""

    shard: int
    epoch: int
    session: int
    number: int
    answers: int
    stamp: float
    lend_requests: tuple[LendRequest, ...] = ()
    grants: tuple[Amount, ...] = ()
    bucket_levels: tuple[BucketLevels, ...] = ()  # levels that come with these shares
    capacities: tuple[WorkerCapacity, ...] = ()


class RestartSession(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A planner's message: this session has a gap or is unknown; begin a new one."""

    shard: int
    session: int


class Malformed(ValueError):
    """An invalid message; the text names the field."""


def _check_share(name: str, value: float) -> None:
    if not (isinstance(value, int | float) and math.isfinite(value) and 0.0 <= value <= 1.0):
        raise Malformed(f"{name}: must be from 0 to 1, not {value!r}")


def _check_key(name: str, key: str) -> None:
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        raise Malformed(f"{name}: must have 1 to {MAX_KEY_LENGTH} characters, not {len(key)}")


def _check_load_value(name: str, value: float) -> None:
    if not (math.isfinite(value) and 0 <= value <= MAX_LOAD_VALUE):
        raise Malformed(f"{name}: must be from 0 to {MAX_LOAD_VALUE:g}, not {value!r}")


def check(message: Report | PlannerUpdate, forwarders: int, entries: int) -> None:
    """Raise `Malformed` for values out of range, as of a faulty or hostile peer.

    A need beyond the whole is not an error but heavy demand: the sender limits it to 1 itself.
    """
    for name in ("shard", "epoch", "number"):
        if getattr(message, name) < 0:
            raise Malformed(f"{name}: must be at least 0, not {getattr(message, name)}")
    levels = message.released_levels if isinstance(message, Report) else message.bucket_levels
    count = (
        len(message.needs) + len(message.lent)
        if isinstance(message, Report)
        else (len(message.lend_requests) + len(message.grants))
    )
    count = max(count, len(levels), len(message.worker_loads if isinstance(message, Report) else message.capacities))
    if count > entries:
        raise Malformed(f"entries: at most {entries}, not {count}")
    for level in levels:
        _check_key("fills.key", level.key)
        _check_share("fills.store", level.quota)
        _check_share("fills.ceiling", level.ceiling)
    if not math.isfinite(message.echo if isinstance(message, Report) else message.stamp):
        raise Malformed("stamp: must be finite")
    if isinstance(message, Report):
        for work in message.worker_loads:
            _check_key("works.key", work.key)
            for name in LOAD_FIELDS:
                _check_load_value(f"works.{name}", getattr(work, name))
        for need in message.needs:
            _check_key("needs.key", need.key)
            _check_share("needs.need", need.need)
            if not (1 <= need.count <= forwarders and 0 <= need.first < forwarders):
                raise Malformed(f"needs.count: no {need.count} from {need.first} of {forwarders} forwarders")
    else:
        for capacity in message.capacities:
            _check_key("paces.key", capacity.key)
            _check_load_value("paces.pace", capacity.capacity)
        for lend_request in message.lend_requests:
            _check_key("calls.key", lend_request.key)
            _check_share("calls.amount", lend_request.amount)
            if not 1 <= lend_request.count <= forwarders:
                raise Malformed(f"calls.count: no {lend_request.count} among {forwarders} forwarders")
    for amount in message.lent if isinstance(message, Report) else message.grants:
        _check_key("amount.key", amount.key)
        _check_share("amount.amount", amount.amount)
