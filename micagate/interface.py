"""Settings, events and actions of `micagate.gateway`.

All times are seconds as floats on the caller's clock, which only goes forward; its zero means nothing.
Nothing here decides: the checks below only turn away settings that make no sense.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

WRITTEN = "written"  # metadata of a field that traces write under another name than its own
PURE, TOKEN, SIDE_EFFECT = "pure", "token", "side_effect"
EFFECTS = (PURE, TOKEN, SIDE_EFFECT)
GROUPS = ("all", "zone", "cell")
HEALTHY, DRAINING, GONE = "healthy", "draining", "gone"
SUCCESS, FAILURE, FULL, TIMED_OUT = "success", "failure", "full", "timed_out"
UNREACHABLE, BROKEN, CANCELLED, VOID = "unreachable", "broken", "cancelled", "void"
LATE = "late"  # the answer to a call that has timed out: what it says is so, but nobody waits for it
SPOILT = "spoilt"  # an answer came that cannot be used: the worker lives, and the attempt may have run
NEVER_RAN = frozenset({FULL, UNREACHABLE, VOID})
NEVER_SENT = frozenset({UNREACHABLE, VOID})  # no worker had all of it: it took nothing of a quota


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
    late_worth: float = 0.0
    importance: float = 1.0  # worth of one request next to those of other classes

    def __post_init__(self) -> None:
        _check(self, 0.0, ("aim", "deadline", "window", "late_worth"))
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
    at_once: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    ceiling_slack: float = 0.0
    beyond_earns: float = 0.0
    excess_cost: float = 0.0
    price: float = 1.0  # worth of its requests next to other plans'

    def __post_init__(self) -> None:
        _check(
            self,
            0.0,
            (
                "rate",
                "burst",
                "at_once",
                "ceiling_rate",
                "ceiling_depth",
                "ceiling_slack",
                "beyond_earns",
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
    second_copies: bool = False
    max_retry_advice: float = 0.0  # 0: clients hear no advice
    must_subscribe: bool = False  # the list of workers comes only to those who ask
    meter_period: float = 0.0  # 0: no meter
    cold_from: float = 1.0
    ramp_time: float = 0.0
    overload_factor: float = 2.0
    fall_time: float = 1.0
    counter_wait: float = 0.0  # how long a call to the counter is waited for; 0: there is none
    accounts: int = 30_000  # customers that are kept in memory, but for those with something out

    def __post_init__(self) -> None:
        _check(self, 1, ("gateways", "max_attempts", "overload_factor", "accounts"))
        if self.number is not None:
            _check(self, 0, ("number",))
        _check(
            self,
            0.0,
            ("tick", "max_retry_advice", "meter_period", "counter_wait", "cold_from", "ramp_time", "fall_time"),
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
    spread: int = 1
    repeat: bool = False
    first: int = 0  # the number of the first gateway that may see them; the others follow it, counted round
    whole: bool = True  # its last byte has come; else a `Whole` follows, and its time counts from there

    def __post_init__(self) -> None:
        _check(self, 1, ("spread",))
        _check(self, 0.0, ("units", "first"))


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
    kept: bool = True  # what a further attempt would need of the request is still there


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer to an attempt has begun; the rest is between worker and client."""

    request: str
    attempt: int
    worker: str
    took: float


@dataclass(frozen=True, slots=True)
class Whole:
    """The last byte of a request has come, and gone on to the attempt that is out, if one is.

    `kept`: so has what a further attempt would need.
    """

    request: str
    kept: bool = True


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by this gateway is due."""

    ref: int


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client has left; nothing more is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class Ending:
    """The gateway ends before the request's time: it is not sent on any more, and its outcomes are its end."""

    request: str


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it times out after `within` seconds, or with the client where that is 0."""

    request: str
    worker: str
    within: float = 0.0


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
class Count:
    """Add `amount` to the number `name` that the counter keeps for all gateways; answered with a `Counted`.

    `life` is how long a new name is kept, seconds. Answers for one name come in the order of the calls.
    """

    name: int
    amount: float
    life: float


@dataclass(frozen=True, slots=True)
class Counted:
    """The answer to a `Count`: the total after it with `success`; `full` and `unreachable`: nothing was added.

    `timed_out`: it may have been added, or may yet be; where it is told after that, by a second answer with `late`.
    `took` is how long it took.
    """

    name: int
    status: str
    total: float = 0.0
    took: float = 0.0


@dataclass(frozen=True, slots=True)
class Share:
    """Of the thing `key`, so much of this gateway's part is lent, and so much is borrowed; 1 is the whole.

    `count` gateways share it.
    """

    key: str
    lent: float = 0.0
    borrowed: float = 0.0
    count: int = 1

    def __post_init__(self) -> None:
        _check(self, 0.0, ("lent", "borrowed"))
        _check(self, 1, ("count",))


@dataclass(frozen=True, slots=True)
class Fill:
    """What is in the stores of a thing, of quota and of ceiling, that moves with a share; 1 is a whole
    burst."""

    key: str
    store: float = 0.0
    ceiling: float = 0.0

    def __post_init__(self) -> None:
        _check(self, 0.0, ("store", "ceiling"))


@dataclass(frozen=True, slots=True)
class Pace:
    """What a worker can do for all gateways together, answers a second; 0: nothing is known of it any more."""

    key: str
    pace: float

    def __post_init__(self) -> None:
        _check(self, 0.0, ("pace",))


@dataclass(frozen=True, slots=True)
class Shares:
    """A session with a planner: the ends of all it lent and borrowed, and what of that has changed.

    Paces hold as long as what is borrowed.

    It is answered with a `Freed` where that takes something out of stores. `over` says that both ends are
    past: it may be forgotten.
    """

    session: int
    lent_until: float
    borrowed_until: float
    changes: tuple[Share, ...] = ()
    fills: tuple[Fill, ...] = ()  # what came with shares: it goes into the stores, once
    over: bool = False
    paces: tuple[Pace, ...] = ()


@dataclass(frozen=True, slots=True)
class Freed:
    """What was in the stores of the shares that were given away by a `Shares`, and is in them no more."""

    fills: tuple[Fill, ...]


@dataclass(frozen=True, slots=True)
class Survey:
    """Asks for a `Tallies`; the first one begins the counting, the first with `works` that of workers."""

    works: bool = False


@dataclass(frozen=True, slots=True)
class Tally:
    """What was asked of a thing since the last survey: units, the most out at once, and by which set.

    `whole` is what one second may take of the whole thing, `burst` what may come at once, `open` the limit on
    what is out at once; 0 where there is none.
    """

    key: str
    first: int
    count: int
    asked: float
    most: float
    whole: float
    burst: float
    open: float


@dataclass(frozen=True, slots=True)
class Work:
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
class Tallies:
    """The answer to a `Survey`: the things that anything was asked of since the last one."""

    tallies: tuple[Tally, ...]
    works: tuple[Work, ...] = ()


@dataclass(frozen=True, slots=True)
class Maintain:
    """An operator takes a worker out, or puts it back; answered with a `Maintained`.

    With `since` it was so said elsewhere, at that time, and holds for a worker that is not known here yet.
    """

    worker: str
    out: bool
    since: float | None = None


@dataclass(frozen=True, slots=True)
class Maintained:
    """The answer to a `Maintain`: whether the worker is known. It holds from now on, whatever lists say."""

    worker: str
    known: bool


Event = (
    Whole
    | WorkerList
    | Maintain
    | Request
    | Outcome
    | StreamStarted
    | TimerFired
    | Abandoned
    | Ending
    | Shares
    | Survey
    | Counted
)
Action = Maintained | Send | Refuse | Fail | Cancel | SetTimer | Subscribe | Tallies | Freed | Count
