"""The recovery policy: how far a restarted gateway trusts each kind of its persisted state.

The decision depends on the age of the state, the disk that it was on, how this gateway's last incarnation ended, and
the answers of its peers. `decide` returns it, with what applies until the peers have answered. The policy does not look
at values; the code that restores them follows its verdicts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """The kinds of state that are or could be persisted. The values appear in logs and status output."""

    QUOTA_LEVELS = "quota stores"
    CEILINGS = "ceilings"
    CONCURRENCY_SLOTS = "places at once"
    COUNTER_VALUES = "counts on the counter"
    OVERLOAD_CONTROL = "control's rate"
    WORKER_LATENCY = "workers' warmth"
    WORKER_HEALTH = "workers' health"
    MAINTENANCE = "bans"
    DRAIN = "a drain in force"
    WORKER_LIST = "the list of workers"
    LEASES = "loans to planners"
    GRANTS = "grants of planners"
    RETRY_BUDGET = "the retry budget"
    CLIENT_WAITS = "waits learned"


class End(Enum):
    """How the last incarnation ended."""

    PLANNED = "asked"  # a planned shutdown, written as its last record
    KILLED = "killed"  # the process ended, the machine did not
    POWER = "power"  # the machine restarted
    UNKNOWN = "unknown"


class Disk(Enum):
    """The condition of the disk with the persisted state."""

    OWN = "own"
    OLD = "old"  # this gateway's, but peers know a later incarnation
    OTHER = "other"  # another gateway's
    DAMAGED = "spoilt"  # corrupt in a way that an interrupted write does not explain
    INVALIDATED = "void"  # declared invalid by its owner
    NONE = "none"


class Peers(Enum):
    """What the peers answer about this gateway."""

    PENDING = "open"  # answers are pending
    AGREE = "agree"  # none knows a later incarnation
    UNRESPONSIVE = "silent"  # none has answered, or there are no peers


class Action(Enum):
    """What to do with a kind of state."""

    ACCEPTED = "taken"
    DISCOUNTED = "discounted"
    QUERIED = "asked for"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True)
class Case:
    """The circumstances of a restart.

    `age`: upper bound of the seconds since the state was written; `downtime`: lower bound of the seconds that this
    gateway was down; `all_restarted`: no peer was up all the time; `same_incarnation`: the worker that the state is
    about has not restarted since.
    """

    disk: Disk = Disk.OWN
    end: End = End.KILLED
    peers: Peers = Peers.AGREE
    age: float = 1.0
    downtime: float = 0.5
    all_restarted: bool = False
    same_incarnation: bool = True
    max_deadline: float = 3.0  # the longest deadline of a request


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision: the action, the fraction `share` of the value that is restored, and the reason.

    `meanwhile` says what applies until the peers have answered.
    """

    action: Action
    share: float = 1.0
    reason: str = ""
    meanwhile: str = ""


WORKER_LATENCY_LIFETIME_SECONDS = 10.0  # time in which a learned latency loses its weight (`micagate.worker`)
WORKER_HEALTH_LIFETIME_SECONDS = 16.0  # time after which a failing worker is tried again anyway (`micagate.worker`)
CAPACITY_LIFETIME_SECONDS = 60.0  # for this long, the rate that the fleet served is taken for its capacity
WAITS_LIFETIME_SECONDS = 60.0  # for this long, clients' wait times are taken to be unchanged
UNSAVED_SECONDS = 1.0  # work that may not be written when an incarnation ends without a shutdown

ACCEPTED = Verdict(Action.ACCEPTED)
QUERIED_WITHOUT_DISK = frozenset(
    (
        Kind.COUNTER_VALUES,
        Kind.WORKER_LIST,
        Kind.GRANTS,
        Kind.MAINTENANCE,
        Kind.WORKER_HEALTH,
        Kind.WORKER_LATENCY,
        Kind.OVERLOAD_CONTROL,
    )
)


def decide(kind: Kind, case: Case) -> Verdict:
    """Return what to do with a kind of state in a case."""
    if case.disk is Disk.NONE and kind not in QUERIED_WITHOUT_DISK:
        return Verdict(Action.DROPPED, 0.0, "nothing was persisted")
    match kind:
        case Kind.CEILINGS:
            return _decide_ceilings(case)
        case Kind.QUOTA_LEVELS:
            if case.disk is not Disk.OWN:
                return Verdict(Action.DROPPED, 0.0, "not the latest state of this gateway")
            if case.end is End.PLANNED:
                return ACCEPTED
            return Verdict(
                Action.DISCOUNTED, 1.0, f"less what may have been spent in {UNSAVED_SECONDS:g} s without being written"
            )
        case Kind.CONCURRENCY_SLOTS:
            if case.end is End.POWER and case.downtime < case.max_deadline and not case.all_restarted:
                return Verdict(
                    Action.DISCOUNTED,
                    1 - case.downtime / case.max_deadline,
                    "the machine lost power: workers may still process its requests",
                )
            return Verdict(Action.DROPPED, 0.0, "its connections were closed, or the workers restarted too")
        case Kind.COUNTER_VALUES:
            return Verdict(Action.QUERIED, 0.0, "the shared counter has them", "local shares only")
        case Kind.OVERLOAD_CONTROL:
            if case.disk is Disk.OWN and case.age <= CAPACITY_LIFETIME_SECONDS:
                return Verdict(Action.ACCEPTED, 1.0, "as the capacity of warm workers", "as persisted")
            return Verdict(Action.QUERIED, 0.0, "peers know the rate that is served", "none")
        case Kind.WORKER_LATENCY | Kind.WORKER_HEALTH:
            if not case.same_incarnation:
                return Verdict(
                    Action.DROPPED,
                    0.0,
                    "the worker has restarted: its start time in the worker list gives its warm-up factor",
                )
            if case.disk is Disk.OWN and case.age < (
                WORKER_LATENCY_LIFETIME_SECONDS if kind is Kind.WORKER_LATENCY else WORKER_HEALTH_LIFETIME_SECONDS
            ):
                return Verdict(
                    Action.DISCOUNTED,
                    1
                    - case.age
                    / (
                        WORKER_LATENCY_LIFETIME_SECONDS
                        if kind is Kind.WORKER_LATENCY
                        else WORKER_HEALTH_LIFETIME_SECONDS
                    ),
                    "it loses weight with age",
                )
            return Verdict(Action.QUERIED, 0.0, "too old, or not this gateway's", "as a new worker")
        case Kind.MAINTENANCE:
            # From any disk: the value with the latest stamp wins, and a worker that is out of service without need
            # does less harm than one that is back in service too early.
            return Verdict(
                Action.QUERIED if case.peers is Peers.PENDING else Action.ACCEPTED,
                1.0,
                "the latest stamp wins",
                "out of service, as persisted",
            )
        case Kind.DRAIN:
            if case.disk in (Disk.OWN, Disk.DAMAGED, Disk.INVALIDATED):
                return Verdict(Action.ACCEPTED, 1.0, "until an operator calls JOIN")
            return Verdict(Action.DROPPED, 0.0, "another gateway's, or outdated")
        case Kind.WORKER_LIST:
            return Verdict(
                Action.QUERIED, 1.0, "discovery has it", "as persisted or known, with no worker taken for a new one"
            )
        case Kind.LEASES:
            return Verdict(Action.DROPPED, 0.0, "only their latest expiry is persisted: see `leases_over`")
        case Kind.GRANTS:
            return Verdict(Action.DROPPED, 0.0, "they end with the incarnation that requested them")
        case Kind.RETRY_BUDGET:
            if case.disk is Disk.OWN and case.end is not End.POWER and not case.all_restarted:
                return Verdict(Action.DISCOUNTED, 0.5, "other gateways may have spent theirs on the same failure")
            return Verdict(Action.DROPPED, 0.0, "all clients retry: no retries of the gateway on top of that")
        case Kind.CLIENT_WAITS:
            return (
                ACCEPTED
                if case.age <= WAITS_LIFETIME_SECONDS and case.disk is Disk.OWN
                else Verdict(Action.DROPPED, 0.0, "too old")
            )


def _decide_ceilings(case: Case) -> Verdict:
    """Decide about ceilings, which are never exceeded: what is not surely left counts as spent."""
    spent = "all counts as spent when this incarnation started, and refills from then on"
    if case.disk is not Disk.OWN:
        return Verdict(Action.DROPPED, 0.0, f"{case.disk.value}: {spent}")
    if case.peers is Peers.PENDING:
        return Verdict(Action.QUERIED, 0.0, "peers may know a later incarnation", spent)
    return Verdict(
        Action.ACCEPTED, 1.0, "the level of the mark, plus the refill of the shortest time that may have passed"
    )


def leases_over(
    now: float, until: float | None, receivers: dict[str, float], planners: dict[str, float], ended_at: float
) -> bool:
    """Return whether all leases of this gateway's previous incarnation have surely ended.

    `until` is the latest expiry on record, on this clock, or None; `receivers` and `planners` have the start time of
    each one's present incarnation, as far as known; `ended_at` is the latest time at which the previous incarnation can
    have ended. A lease ends with its term, or once all that could spend or grant it have restarted: a receiver keeps no
    grants over a restart, and a planner's ledger starts empty.
    """
    if until is not None and now >= until:
        return True
    others = [*receivers.values(), *planners.values()]
    return bool(others) and all(began > ended_at for began in others)
