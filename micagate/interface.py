"""Settings, events and actions of `micagate.gateway`.

All times are seconds as floats on the caller's clock, which only goes forward; its zero means nothing.
Nothing here decides: the checks below only turn away settings that make no sense.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

WRITTEN = "written"  # metadata of a field that traces write under another name than its own
PURE, TOKEN, SIDE_EFFECT = "pure", "token", "side_effect"
EFFECTS = (PURE, TOKEN, SIDE_EFFECT)
GROUPS = ("all", "zone", "cell")
HEALTHY, DRAINING, REMOVED = "healthy", "draining", "gone"
SUCCESS, FAILURE, OVERLOADED, TIMED_OUT = "success", "failure", "full", "timed_out"
UNREACHABLE, CONNECTION_RESET, CANCELLED, NOT_SENT = "unreachable", "broken", "cancelled", "void"
LATE_RESPONSE = "late"  # the answer to a call that has timed out: what it says is so, but nobody waits for it
MALFORMED_RESPONSE = "spoilt"  # an answer came that cannot be used: the worker lives, and the attempt may have run
NOT_EXECUTED_STATUSES = frozenset({OVERLOADED, UNREACHABLE, NOT_SENT})
NOT_DELIVERED_STATUSES = frozenset({UNREACHABLE, NOT_SENT})  # no worker had all of it: it took nothing of a quota


def _check(owner: object, at_least: float, names: Iterable[str]) -> None:
    for name in names:
        value = getattr(owner, name)
        if not at_least <= value < float("inf"):
            raise ValueError(f"{type(owner).__name__}.{name} must be at least {at_least:g}, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request: the aim earns its full worth, the deadline ends it."""

    name: str
    aim: float
    deadline: float
    effect: str = PURE
    group: str = "all"
    window: float = 0.0
    streaming: bool = False
    late_value: float = field(default=0.0, metadata={WRITTEN: "late_worth"})
    importance: float = 1.0  # worth of one request next to those of other classes

    def __post_init__(self) -> None:
        _check(self, 0.0, ("aim", "deadline", "window", "late_value"))
        if not 0 < self.importance < float("inf"):
            raise ValueError(f"RequestClass.importance must be a number above 0, not {self.importance!r}")
        if self.effect not in EFFECTS:
            raise ValueError(f"RequestClass.effect must be one of {EFFECTS}, not {self.effect!r}")
        if self.group not in GROUPS:
            raise ValueError(f"RequestClass.group must be one of {GROUPS}, not {self.group!r}")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quotas, each for one customer over all gateways; a rate or limit of 0 means none."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    concurrency_limit: float = field(default=0.0, metadata={WRITTEN: "at_once"})
    ceiling_rate: float = 0.0
    ceiling_capacity: float = field(default=0.0, metadata={WRITTEN: "ceiling_depth"})
    ceiling_slack: float = 0.0
    excess_revenue: float = field(default=0.0, metadata={WRITTEN: "beyond_earns"})
    excess_cost: float = 0.0
    price: float = 1.0  # worth of its requests next to other plans'

    def __post_init__(self) -> None:
        _check(
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
    """What one gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateways: int = 1
    number: int | None = None  # this gateway's among them, from 0; None: not known
    zone: str = ""
    tick: float = 0.001
    max_attempts: int = 1
    can_cancel: bool = False
    hedging: bool = field(default=False, metadata={WRITTEN: "second_copies"})
    max_retry_after: float = field(default=0.0, metadata={WRITTEN: "max_retry_advice"})  # 0: clients hear no advice
    requires_subscription: bool = field(
        default=False, metadata={WRITTEN: "must_subscribe"}
    )  # the list of workers comes only to those who ask
    meter_period: float = 0.0  # 0: no meter
    slow_start_min_factor: float = field(default=1.0, metadata={WRITTEN: "cold_from"})
    slow_start_duration: float = field(default=0.0, metadata={WRITTEN: "ramp_time"})
    overload_factor: float = 2.0
    fall_time: float = 1.0
    counter_timeout: float = field(
        default=0.0, metadata={WRITTEN: "counter_wait"}
    )  # how long a call to the counter is waited for; 0: there is none
    max_accounts: int = field(
        default=30_000, metadata={WRITTEN: "accounts"}
    )  # customers that are kept in memory, but for those with something out

    def __post_init__(self) -> None:
        _check(self, 1, ("gateways", "max_attempts", "overload_factor", "max_accounts"))
        if self.number is not None:
            _check(self, 0, ("number",))
        _check(
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
    """A line of the list of workers. `started` is None where the start is long ago."""

    worker: str
    zone: str = ""
    cell: int = 0
    state: str = HEALTHY
    size: float = 1.0
    started: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerList:
    """News of the workers: `whole` lists replace what was known, others change it.

    `failed` says that a call or the subscription broke; it has no entries and the old list stands.
    """

    entries: tuple[WorkerEntry, ...] = ()
    whole: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try. `spread` gateways in a row may see this customer's requests."""

    request: str
    klass: str
    plan: str
    customer: str
    time_left: float
    units: float = 1.0
    gateway_count: int = field(default=1, metadata={WRITTEN: "spread"})
    client_retry: bool = field(default=False, metadata={WRITTEN: "repeat"})
    first_gateway: int = field(
        default=0, metadata={WRITTEN: "first"}
    )  # the number of the first gateway that may see them; the others follow it, counted round
    complete: bool = field(
        default=True, metadata={WRITTEN: "whole"}
    )  # its last byte has come; else a `RequestComplete` follows, and its time counts from there

    def __post_init__(self) -> None:
        _check(self, 1, ("gateway_count",))
        _check(self, 0.0, ("units", "first_gateway"))


@dataclass(frozen=True, slots=True)
class Outcome:
    """The one outcome of an attempt. `used` is the metered use as a share of the quota, if told."""

    request: str
    attempt: int
    worker: str
    status: str
    terminal: bool
    took: float
    used: float | None = None
    final_units: float = 0.0
    used_age: float = 0.0  # how long ago `used` was told: an answer may take seconds to come whole
    retryable: bool = field(
        default=True, metadata={WRITTEN: "kept"}
    )  # what a further attempt would need of the request is still there


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer to an attempt has begun; the rest is between worker and client."""

    request: str
    attempt: int
    worker: str
    took: float


@dataclass(frozen=True, slots=True)
class RequestComplete:
    """The last byte of a request has come, and gone on to the attempt that is out, if one is.

    `kept`: so has what a further attempt would need.
    """

    request: str
    retryable: bool = field(default=True, metadata={WRITTEN: "kept"})


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this gateway is due."""

    ref: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left; nothing more is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class StopRetrying:
    """The gateway ends before the request's time: it is not sent on any more, and its outcomes are its end."""

    request: str


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it times out after `within` seconds, or with the client where that is 0."""

    request: str
    worker: str
    timeout: float = field(default=0.0, metadata={WRITTEN: "within"})


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: a retry is harmless."""

    request: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: nothing is said about whether it ran."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call off an attempt; its outcome still comes."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay` seconds.

    Nothing comes of one that was set for a request which has ended and has no attempt out any more: it may
    be dropped. One set with no request at hand must come.
    """

    delay: float
    ref: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for news of the workers."""


@dataclass(frozen=True, slots=True)
class CounterAdd:
    """Add `amount` to the number `name` that the counter keeps for all gateways; answered with a `CounterResult`.

    `life` is how long a new name is kept, seconds. Answers for one name come in the order of the calls.
    """

    name: int
    amount: float
    ttl: float = field(metadata={WRITTEN: "life"})


@dataclass(frozen=True, slots=True)
class CounterResult:
    """The answer to a `CounterAdd`: the total after it with `success`; `full` and `unreachable`: nothing was added.

    `timed_out`: it may have been added, or may yet be; where it is told after that, by a second answer with `late`.
    `took` is how long it took.
    """

    name: int
    status: str
    total: float = 0.0
    took: float = 0.0


@dataclass(frozen=True, slots=True)
class ResourceShare:
    """Of the thing `key`, so much of this gateway's part is lent, and so much is borrowed; 1 is the whole.

    `count` gateways share it.
    """

    key: str
    lent: float = 0.0
    borrowed: float = 0.0
    gateway_count: int = field(default=1, metadata={WRITTEN: "count"})

    def __post_init__(self) -> None:
        _check(self, 0.0, ("lent", "borrowed"))
        _check(self, 1, ("gateway_count",))


@dataclass(frozen=True, slots=True)
class BucketLevels:
    """What is in the stores of a thing, of quota and of ceiling, that moves with a share; 1 is a whole
    burst."""

    key: str
    quota: float = field(default=0.0, metadata={WRITTEN: "store"})
    ceiling: float = 0.0

    def __post_init__(self) -> None:
        _check(self, 0.0, ("quota", "ceiling"))


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """What a worker can do for all gateways together, answers a second; 0: nothing is known of it any more."""

    key: str
    capacity: float = field(metadata={WRITTEN: "pace"})

    def __post_init__(self) -> None:
        _check(self, 0.0, ("capacity",))


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """A session with a planner: the ends of all it lent and borrowed, and what of that has changed.

    Paces hold as long as what is borrowed.

    It is answered with a `ReleasedLevels` where that takes something out of stores. `over` says that both ends are
    past: it may be forgotten.
    """

    session: int
    lent_until: float
    borrowed_until: float
    changes: tuple[ResourceShare, ...] = ()
    bucket_levels: tuple[BucketLevels, ...] = field(
        default=(), metadata={WRITTEN: "fills"}
    )  # what came with shares: it goes into the stores, once
    expired: bool = field(default=False, metadata={WRITTEN: "over"})
    capacities: tuple[WorkerCapacity, ...] = field(default=(), metadata={WRITTEN: "paces"})


@dataclass(frozen=True, slots=True)
class ReleasedLevels:
    """What was in the stores of the shares that were given away by a `ShareUpdate`, and is in them no more."""

    bucket_levels: tuple[BucketLevels, ...] = field(metadata={WRITTEN: "fills"})


@dataclass(frozen=True, slots=True)
class DemandQuery:
    """Asks for a `DemandReport`; the first one begins the counting, the first with `works` that of workers."""

    include_workers: bool = field(default=False, metadata={WRITTEN: "works"})


@dataclass(frozen=True, slots=True)
class ResourceDemand:
    """What was asked of a thing since the last survey: units, the most out at once, and by which set.

    `whole` is what one second may take of the whole thing, `burst` what may come at once, `open` the limit on
    what is out at once; 0 where there is none.
    """

    key: str
    first_gateway: int = field(metadata={WRITTEN: "first"})
    gateway_count: int = field(metadata={WRITTEN: "count"})
    requested_units: float = field(metadata={WRITTEN: "asked"})
    peak_in_flight: float = field(metadata={WRITTEN: "most"})
    total_rate: float = field(metadata={WRITTEN: "whole"})
    burst: float
    concurrency_limit: float = field(metadata={WRITTEN: "open"})


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """What became of the attempts at a worker since the last survey.

    `answered` were served, and took `load` times the least that their classes usually take; `refused` were
    turned away by a full worker, `missed` timed out, `failed` ended otherwise. `busy` adds up what was out
    over the time, in attempts x seconds.
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
    """The answer to a `DemandQuery`: the things that anything was asked of since the last one."""

    resources: tuple[ResourceDemand, ...] = field(metadata={WRITTEN: "tallies"})
    workers: tuple[WorkerLoad, ...] = field(default=(), metadata={WRITTEN: "works"})


@dataclass(frozen=True, slots=True)
class SetMaintenance:
    """An operator takes a worker out, or puts it back; answered with a `MaintenanceResult`.

    With `since` it was so said elsewhere, at that time, and holds for a worker that is not known here yet.
    """

    worker: str
    out_of_service: bool = field(metadata={WRITTEN: "out"})
    since: float | None = None


@dataclass(frozen=True, slots=True)
class MaintenanceResult:
    """The answer to a `SetMaintenance`: whether the worker is known. It holds from now on, whatever lists say."""

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
