"""Settings, events and actions of `micagate.gateway`.

All times are float seconds on the caller's monotonic clock, whose zero is arbitrary.
This module holds data only; its checks reject invalid settings.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

TRACE_NAME = "written"  # metadata key of a field: the name under which traces write it, if it differs
# What executing a request twice does: PURE no harm; TOKEN none if a worker recognises its token; SIDE_EFFECT harm.
PURE, TOKEN, SIDE_EFFECT = "pure", "token", "side_effect"
EFFECTS = (PURE, TOKEN, SIDE_EFFECT)
GROUPS = ("all", "zone", "cell")
HEALTHY, DRAINING, REMOVED = "healthy", "draining", "gone"
SUCCESS, FAILURE, OVERLOADED, TIMED_OUT = "success", "failure", "full", "timed_out"
UNREACHABLE, CONNECTION_RESET, CANCELLED, NOT_SENT = "unreachable", "broken", "cancelled", "void"
LATE_RESPONSE = "late"  # a response after its call timed out: its content holds, but nothing waits for it
MALFORMED_RESPONSE = "spoilt"  # an unusable response: the worker is alive, and the attempt may have executed
NOT_EXECUTED_STATUSES = frozenset({OVERLOADED, UNREACHABLE, NOT_SENT})
NOT_DELIVERED_STATUSES = frozenset({UNREACHABLE, NOT_SENT})  # no worker received it whole: no quota was used


def _require_at_least(owner: object, minimum: float, names: Iterable[str]) -> None:
    """Raise a ValueError if a field of `owner` is infinite, not a number or below `minimum`."""
    for name in names:
        value = getattr(owner, name)
        if not minimum <= value < float("inf"):
            raise ValueError(f"{type(owner).__name__}.{name} must be at least {minimum:g}, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. `aim` is its latency objective, `deadline` the time after which a request has failed.

    Both are in seconds from the arrival of the request.
    """

    name: str
    aim: float
    deadline: float
    effect: str = PURE  # whether a request that may have executed may be sent again: PURE always, SIDE_EFFECT never
    group: str = "all"  # TOKEN: the workers that recognise a repeated request: all, or the same zone's or cell's
    window: float = 0.0  # TOKEN: seconds after an attempt that may have executed in which a retry is recognised
    streaming: bool = False  # the response is streamed; its latency counts to the first byte
    # Value of a response after the objective; above 0, client retries are served also when the objective has passed.
    late_value: float = field(default=0.0, metadata={TRACE_NAME: "late_worth"})
    importance: float = 1.0  # value of one request relative to other classes

    def __post_init__(self) -> None:
        _require_at_least(self, 0.0, ("aim", "deadline", "window", "late_value"))
        if not 0 < self.importance < float("inf"):
            raise ValueError(f"RequestClass.importance must be a number above 0, not {self.importance!r}")
        if self.effect not in EFFECTS:
            raise ValueError(f"RequestClass.effect must be one of {EFFECTS}, not {self.effect!r}")
        if self.group not in GROUPS:
            raise ValueError(f"RequestClass.group must be one of {GROUPS}, not {self.group!r}")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's limits, each for one customer over all gateways; a rate or limit of 0 means unlimited.

    The quota and the ceiling are token buckets. Requests beyond the quota may be served if that pays; the ceiling
    bounds all requests.
    """

    name: str
    rate: float = 0.0  # refill rate of the quota, units a second
    burst: float = 0.0  # capacity of the quota, units
    concurrency_limit: float = field(default=0.0, metadata={TRACE_NAME: "at_once"})  # attempts in flight
    ceiling_rate: float = 0.0  # refill rate of the ceiling, units a second
    ceiling_capacity: float = field(default=0.0, metadata={TRACE_NAME: "ceiling_depth"})  # units
    ceiling_slack: float = 0.0  # units beyond the capacity that are tolerated, over all gateways
    excess_revenue: float = field(default=0.0, metadata={TRACE_NAME: "beyond_earns"})  # of a request beyond the quota
    excess_cost: float = 0.0  # of a request beyond the quota, relative to the value of one within it
    price: float = 1.0  # value of its requests relative to other plans

    def __post_init__(self) -> None:
        _require_at_least(
            self,
            0.0,
            (
                "rate",
                "burst",
                "concurrency_limit",
                "ceiling_rate",
                "ceiling_capacity",
                "ceiling_slack",
                "excess_revenue",
                "excess_cost",
                "price",
            ),
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway, fixed at its start. Times are in seconds."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateways: int = 1  # number of gateways in the installation
    number: int | None = None  # this gateway's number, from 0; None if unknown
    zone: str = ""  # this gateway's zone; workers in it are preferred
    tick: float = 0.001  # margin by which requests end, and retries stop, before a deadline or the end of a window
    max_attempts: int = 1  # per request, retries and hedges included
    can_cancel: bool = False  # the caller can carry out a `Cancel`
    hedging: bool = field(default=False, metadata={TRACE_NAME: "second_copies"})  # hedges are allowed
    max_retry_after: float = field(default=0.0, metadata={TRACE_NAME: "max_retry_advice"})  # 0: no Retry-After is sent
    # The worker list is sent to subscribers only.
    requires_subscription: bool = field(default=False, metadata={TRACE_NAME: "must_subscribe"})
    meter_period: float = 0.0  # 0: there is no meter
    # A worker that started lately has this fraction of its capacity at first, and all of it after the duration.
    slow_start_min_factor: float = field(default=1.0, metadata={TRACE_NAME: "cold_from"})
    slow_start_duration: float = field(default=0.0, metadata={TRACE_NAME: "ramp_time"})
    # It may have at most (overload_factor - 1) x its capacity x fall_time in flight, from all gateways together.
    overload_factor: float = 2.0
    fall_time: float = 1.0
    # Timeout of a call to the shared counter; 0: there is no counter.
    counter_timeout: float = field(default=0.0, metadata={TRACE_NAME: "counter_wait"})
    # Accounts kept in memory, besides those with attempts in flight.
    max_accounts: int = field(default=30_000, metadata={TRACE_NAME: "accounts"})

    def __post_init__(self) -> None:
        _require_at_least(self, 1, ("gateways", "max_attempts", "overload_factor", "max_accounts"))
        if self.number is not None:
            _require_at_least(self, 0, ("number",))
        _require_at_least(
            self,
            0.0,
            (
                "tick",
                "max_retry_after",
                "meter_period",
                "counter_timeout",
                "slow_start_min_factor",
                "slow_start_duration",
                "fall_time",
            ),
        )
        for name in ("classes", "plans"):
            names = [entry.name for entry in getattr(self, name)]
            if not names:
                raise ValueError(f"Settings.{name} must not be empty")
            if len(set(names)) < len(names):
                raise ValueError(f"Settings.{name} must not name one twice: {names}")


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """An entry of the worker list. `size` is the worker's capacity relative to others.

    `started` is None if the worker started long ago.
    """

    worker: str
    zone: str = ""
    cell: int = 0  # number of the group of workers that share request tokens; see `RequestClass.group`
    state: str = HEALTHY
    size: float = 1.0
    started: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerList:
    """An update of the worker list: `whole` marks a snapshot, which replaces the list; others are deltas.

    `failed` reports that a call or the subscription failed; it has no entries and the previous list stays in force.
    """

    entries: tuple[WorkerEntry, ...] = ()
    whole: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a client. `gateway_count` consecutive gateways may receive this customer's requests."""

    request: str  # unique among the requests of this gateway that have not ended
    klass: str  # name of its `RequestClass`
    plan: str  # name of its `Plan`
    customer: str
    time_left: float  # seconds until its deadline
    units: float = 1.0  # what it charges to the quota and the ceiling
    gateway_count: int = field(default=1, metadata={TRACE_NAME: "spread"})
    client_retry: bool = field(default=False, metadata={TRACE_NAME: "repeat"})  # the client has sent it before
    # Number of the first of these gateways; the others follow it, modulo the number of gateways.
    first_gateway: int = field(default=0, metadata={TRACE_NAME: "first"})
    # The whole body has arrived; otherwise a `RequestComplete` follows, and the deadline counts from it.
    complete: bool = field(default=True, metadata={TRACE_NAME: "whole"})
    long_body: bool = False  # the body is long enough to take time to a worker, also if it has arrived here

    def __post_init__(self) -> None:
        _require_at_least(self, 1, ("gateway_count",))
        _require_at_least(self, 0.0, ("units", "first_gateway"))


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt, one for each. `used` is the metered use as a share of the quota, if reported."""

    request: str
    attempt: int  # number of the attempt within the request, from 0
    worker: str
    status: str
    terminal: bool  # the request has ended with this outcome, for example because the client has its response
    took: float  # seconds
    used: float | None = None
    final_units: float = 0.0  # what the request used according to the worker, if reported; replaces its `units`
    used_age: float = 0.0  # age of `used` in seconds: a long response may take seconds to arrive
    # The request is still buffered for a further attempt.
    retryable: bool = field(default=True, metadata={TRACE_NAME: "kept"})


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to an attempt has begun; the rest is streamed from the worker to the client."""

    request: str
    attempt: int
    worker: str
    took: float


@dataclass(frozen=True, slots=True)
class RequestComplete:
    """The last byte of a request has arrived and was passed on to the attempt in flight, if any.

    `retryable`: the request is still buffered for a further attempt.
    """

    request: str
    retryable: bool = field(default=True, metadata={TRACE_NAME: "kept"})


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this gateway has fired."""

    ref: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; no response is needed."""

    request: str


@dataclass(frozen=True, slots=True)
class StopRetrying:
    """The gateway shuts down before the request's deadline: no further attempts; the outcomes in flight end it."""

    request: str


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. It times out after `timeout` seconds, or at the request's deadline if that is 0."""

    request: str
    worker: str
    timeout: float = field(default=0.0, metadata={TRACE_NAME: "within"})


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: the request was refused and did not execute, so that a retry is safe.

    `retry_after` is how many seconds the client should wait before it, 0 if nothing is advised.
    """

    request: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: the request failed; it may or may not have executed."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its outcome is still reported."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay` seconds.

    A timer of a request that has ended and has no attempt in flight has no effect and may be dropped. A timer
    that belongs to no request must fire.
    """

    delay: float
    ref: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to updates of the worker list."""


@dataclass(frozen=True, slots=True)
class CounterAdd:
    """Add `amount` to the number `name` of the counter that all gateways share; answered with a `CounterResult`.

    `ttl` is how long a new name is stored, in seconds. Results for one name arrive in the order of the calls.
    """

    name: int
    amount: float
    ttl: float = field(metadata={TRACE_NAME: "life"})


@dataclass(frozen=True, slots=True)
class CounterResult:
    """The answer to a `CounterAdd`: the total after it with `success`; `full` and `unreachable`: nothing was added.

    `timed_out`: it may have been added, or may still be; a response after that is a second result with `late`.
    `took` is the duration of the call.
    """

    name: int
    status: str
    total: float = 0.0
    took: float = 0.0


@dataclass(frozen=True, slots=True)
class ResourceShare:
    """What this gateway lends and borrows of the resource `key`; 1 is the whole resource.

    `gateway_count` gateways share it.
    """

    key: str
    lent: float = 0.0
    borrowed: float = 0.0
    gateway_count: int = field(default=1, metadata={TRACE_NAME: "count"})

    def __post_init__(self) -> None:
        _require_at_least(self, 0.0, ("lent", "borrowed"))
        _require_at_least(self, 1, ("gateway_count",))


@dataclass(frozen=True, slots=True)
class BucketLevels:
    """The amounts in a resource's token buckets, of quota and ceiling, that move with a share; 1 is a whole bucket."""

    key: str
    quota: float = field(default=0.0, metadata={TRACE_NAME: "store"})
    ceiling: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(self, 0.0, ("quota", "ceiling"))


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """The capacity of a worker for all gateways together, responses a second; 0: no longer known."""

    key: str
    capacity: float = field(metadata={TRACE_NAME: "pace"})

    def __post_init__(self) -> None:
        _require_at_least(self, 0.0, ("capacity",))


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """The leases of a session with a planner: when all it lent and borrowed expires, and what has changed.

    Capacities are valid as long as what is borrowed.

    It is answered with a `ReleasedLevels` if that takes units out of token buckets. `expired`: both leases have
    ended, and the session may be forgotten.
    """

    session: int
    lent_until: float
    borrowed_until: float
    changes: tuple[ResourceShare, ...] = ()
    # Units that came with shares: added to the token buckets, once.
    bucket_levels: tuple[BucketLevels, ...] = field(default=(), metadata={TRACE_NAME: "fills"})
    expired: bool = field(default=False, metadata={TRACE_NAME: "over"})
    capacities: tuple[WorkerCapacity, ...] = field(default=(), metadata={TRACE_NAME: "paces"})


@dataclass(frozen=True, slots=True)
class ReleasedLevels:
    """The units taken out of token buckets because a `ShareUpdate` gave their shares away."""

    bucket_levels: tuple[BucketLevels, ...] = field(metadata={TRACE_NAME: "fills"})


@dataclass(frozen=True, slots=True)
class DemandQuery:
    """Ask for a `DemandReport`; the first starts the counting, the first with `include_workers` that of workers."""

    include_workers: bool = field(default=False, metadata={TRACE_NAME: "works"})


@dataclass(frozen=True, slots=True)
class ResourceDemand:
    """The demand for a resource since the last query: units, peak attempts in flight, and the gateways that share it.

    `total_rate` is the rate of the whole resource, units a second, `burst` its burst, `concurrency_limit` its limit of
    attempts in flight; 0 where there is none.
    """

    key: str
    first_gateway: int = field(metadata={TRACE_NAME: "first"})
    gateway_count: int = field(metadata={TRACE_NAME: "count"})
    requested_units: float = field(metadata={TRACE_NAME: "asked"})
    peak_in_flight: float = field(metadata={TRACE_NAME: "most"})
    total_rate: float = field(metadata={TRACE_NAME: "whole"})
    burst: float
    concurrency_limit: float = field(metadata={TRACE_NAME: "open"})


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """The outcomes of the attempts sent to a worker since the last query.

    `answered` were served; `load` is the sum of their latencies, each over the least usual latency of its class.
    `refused` were rejected as overloaded, `missed` timed out, `failed` ended otherwise. `busy` is the integral of the
    attempts in flight, in attempts x seconds.
    """

    key: str
    answered: int
    load: float
    busy: float
    refused: int
    missed: int
    failed: int


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The answer to a `DemandQuery`: the resources with demand since the last one."""

    resources: tuple[ResourceDemand, ...] = field(metadata={TRACE_NAME: "tallies"})
    workers: tuple[WorkerLoad, ...] = field(default=(), metadata={TRACE_NAME: "works"})


@dataclass(frozen=True, slots=True)
class SetMaintenance:
    """An operator takes a worker out of service, or puts it back; answered with a `MaintenanceResult`.

    With `since` it was decided at another gateway, at that time, and applies also to a worker not yet known here.
    """

    worker: str
    out_of_service: bool = field(metadata={TRACE_NAME: "out"})
    since: float | None = None


@dataclass(frozen=True, slots=True)
class MaintenanceResult:
    """The answer to a `SetMaintenance`: whether the worker is known. Stays in force whatever the worker list says."""

    worker: str
    known: bool


Event = (
    RequestComplete
    | WorkerList
    | SetMaintenance
    | Request
    | Outcome
    | StreamStarted
    | TimerFired
    | ClientDisconnected
    | StopRetrying
    | ShareUpdate
    | DemandQuery
    | CounterResult
)
Action = (
    MaintenanceResult
    | Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Subscribe
    | DemandReport
    | ReleasedLevels
    | CounterAdd
)
