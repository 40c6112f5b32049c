"""Messages between forwarders and planners about one shard; amounts are shares of the whole, from 0 to 1.

Both sides number their messages from 1 within a session, list only what changed, and renew all else by
sending any message. A message out of order ends the session, and a new one begins with the whole state.
"""

from __future__ import annotations

import math

import msgspec

LONGEST_KEY = 256
MOST = 1_000_000  # responses, attempts or attempts x seconds in one report: more is a false or corrupt report


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


AMOUNTS = WorkerLoad.__struct_fields__[1:]


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


def _share(name: str, value: float) -> None:
    if not (isinstance(value, int | float) and math.isfinite(value) and 0.0 <= value <= 1.0):
        raise Malformed(f"{name}: must be from 0 to 1, not {value!r}")


def _key(name: str, key: str) -> None:
    if not 0 < len(key) <= LONGEST_KEY:
        raise Malformed(f"{name}: must have 1 to {LONGEST_KEY} characters, not {len(key)}")


def _amount(name: str, value: float) -> None:
    if not (math.isfinite(value) and 0 <= value <= MOST):
        raise Malformed(f"{name}: must be from 0 to {MOST:g}, not {value!r}")


def check(message: Report | PlannerUpdate, forwarders: int, entries: int) -> None:
    """Raise `Malformed` for values out of range, as of a faulty or hostile peer.

    A need beyond the whole is not an error but heavy demand: the sender limits it to 1 itself.
    """
    for name in ("shard", "epoch", "number"):
        if getattr(message, name) < 0:
            raise Malformed(f"{name}: must be at least 0, not {getattr(message, name)}")
    fills = message.released_levels if isinstance(message, Report) else message.bucket_levels
    count = (
        len(message.needs) + len(message.lent)
        if isinstance(message, Report)
        else (len(message.lend_requests) + len(message.grants))
    )
    count = max(count, len(fills), len(message.worker_loads if isinstance(message, Report) else message.capacities))
    if count > entries:
        raise Malformed(f"entries: at most {entries}, not {count}")
    for fill in fills:
        _key("fills.key", fill.key)
        _share("fills.store", fill.quota)
        _share("fills.ceiling", fill.ceiling)
    if not math.isfinite(message.echo if isinstance(message, Report) else message.stamp):
        raise Malformed("stamp: must be finite")
    if isinstance(message, Report):
        for work in message.worker_loads:
            _key("works.key", work.key)
            for name in AMOUNTS:
                _amount(f"works.{name}", getattr(work, name))
        for need in message.needs:
            _key("needs.key", need.key)
            _share("needs.need", need.need)
            if not (1 <= need.count <= forwarders and 0 <= need.first < forwarders):
                raise Malformed(f"needs.count: no {need.count} from {need.first} of {forwarders} forwarders")
    else:
        for pace in message.capacities:
            _key("paces.key", pace.key)
            _amount("paces.pace", pace.capacity)
        for call in message.lend_requests:
            _key("calls.key", call.key)
            _share("calls.amount", call.amount)
            if not 1 <= call.count <= forwarders:
                raise Malformed(f"calls.count: no {call.count} among {forwarders} forwarders")
    for amount in message.lent if isinstance(message, Report) else message.grants:
        _key("amount.key", amount.key)
        _share("amount.amount", amount.amount)
