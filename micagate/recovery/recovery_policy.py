"""What a gateway that comes back believes of what it kept: one table, row by row.

A row is a kind of fact. What is believed of it hangs on how old it is, on the disk that it stood on, on how this
gateway's last life ended, and on what its peers say; `judge` gives the verdict, and what holds while the question is
open. Nothing here looks at a value: whoever restores does as the verdict says.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What is kept, or could be."""

    STORES = "quota stores"
    CEILINGS = "ceilings"
    PLACES = "places at once"
    COUNTS = "counts on the counter"
    CONTROL = "control's rate"
    WARMTH = "workers' warmth"
    HEALTH = "workers' health"
    BANS = "bans"
    DRAIN = "a drain in force"
    LIST = "the list of workers"
    LOANS = "loans to planners"
    GRANTS = "grants of planners"
    RETRIES = "the retry budget"
    WAITS = "waits learned"


class End(Enum):
    """How the last life ended."""

    ASKED = "asked"  # it wrote so, as its last word
    KILLED = "killed"  # the machine went on
    POWER = "power"  # the machine began anew
    UNKNOWN = "unknown"


class Disk(Enum):
    """What the facts stood on."""

    OWN = "own"
    OLD = "old"  # this gateway's, but peers have heard of a later life of it
    OTHER = "other"  # another machine's
    SPOILT = "spoilt"  # damage that no break explains
    VOID = "void"  # its owner has said that nothing of it holds
    NONE = "none"


class Peers(Enum):
    """What the others say of this gateway."""

    OPEN = "open"  # they are still asked
    AGREE = "agree"  # none knows of a later life
    SILENT = "silent"  # nobody has answered, or there is nobody


class Way(Enum):
    """What is done with a fact."""

    TAKEN = "taken"
    DISCOUNTED = "discounted"
    ASKED = "asked for"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True)
class Case:
    """The circumstances.

    `age`: seconds since the fact was written, at the most; `down`: seconds that this gateway was away, at the least;
    `all_lost`: the others came back in the same moment; `same`: what the fact is about (a worker) is in the life that
    it was in then.
    """

    disk: Disk = Disk.OWN
    end: End = End.KILLED
    peers: Peers = Peers.AGREE
    age: float = 1.0
    down: float = 0.5
    all_lost: bool = False
    same: bool = True
    longest: float = 3.0  # the longest deadline of a request


@dataclass(frozen=True, slots=True)
class Verdict:
    """`share` of the value is believed; `open` says what holds until the peers have answered."""

    way: Way
    share: float = 1.0
    why: str = ""
    open: str = ""


FADES = 10.0  # seconds in which what was learned of a worker fades (`worker.FORGET`)
TRIAL = 16.0  # seconds after which a failing worker would have been tried again anyway (`worker`)
PACE = 60.0  # seconds for which what the fleet served is what it can serve (ours)
LEARNED = 60.0  # seconds for which clients' waits stay as they were (ours)
UNSAVED = 1.0  # seconds of work that were not written when a life ended with no word

TAKEN = Verdict(Way.TAKEN)
ASKED_ANYWAY = frozenset((Kind.COUNTS, Kind.LIST, Kind.GRANTS, Kind.BANS, Kind.HEALTH, Kind.WARMTH, Kind.CONTROL))


def judge(kind: Kind, case: Case) -> Verdict:
    """What to do with facts of a kind."""
    if case.disk is Disk.NONE and kind not in ASKED_ANYWAY:
        return Verdict(Way.DROPPED, 0.0, "nothing was kept")
    match kind:
        case Kind.CEILINGS:
            return _ceilings(case)
        case Kind.STORES:
            if case.disk is not Disk.OWN:
                return Verdict(Way.DROPPED, 0.0, "not this gateway's last word")
            if case.end is End.ASKED:
                return TAKEN
            return Verdict(Way.DISCOUNTED, 1.0, f"less what {UNSAVED:g} s may have taken unsaved")
        case Kind.PLACES:
            if case.end is End.POWER and case.down < case.longest and not case.all_lost:
                return Verdict(
                    Way.DISCOUNTED, 1 - case.down / case.longest, "the machine went silent: workers may still be at it"
                )
            return Verdict(Way.DROPPED, 0.0, "its connections were closed, or the workers began anew")
        case Kind.COUNTS:
            return Verdict(Way.ASKED, 0.0, "the counter has them", "parts alone")
        case Kind.CONTROL:
            if case.disk is Disk.OWN and case.age <= PACE:
                return Verdict(Way.TAKEN, 1.0, "as a pace, for what warm workers can do", "as kept")
            return Verdict(Way.ASKED, 0.0, "the others know what is served", "none")
        case Kind.WARMTH | Kind.HEALTH:
            if not case.same:
                return Verdict(Way.DROPPED, 0.0, "it was started since: the list's `since` says how cold it is")
            if case.disk is Disk.OWN and case.age < (FADES if kind is Kind.WARMTH else TRIAL):
                return Verdict(Way.DISCOUNTED, 1 - case.age / (FADES if kind is Kind.WARMTH else TRIAL), "it fades")
            return Verdict(Way.ASKED, 0.0, "too old, or not this gateway's", "as a new worker")
        case Kind.BANS:
            # Wherever it was said: the last word wins by its stamp, and a needless ban harms less than a lost one.
            return Verdict(
                Way.ASKED if case.peers is Peers.OPEN else Way.TAKEN, 1.0, "the last word of all wins", "as kept: out"
            )
        case Kind.DRAIN:
            if case.disk in (Disk.OWN, Disk.SPOILT, Disk.VOID):
                return Verdict(Way.TAKEN, 1.0, "till somebody calls JOIN")
            return Verdict(Way.DROPPED, 0.0, "another gateway's, or long ago")
        case Kind.LIST:
            return Verdict(Way.ASKED, 1.0, "discovery has it", "as kept or known, but nothing on it is new")
        case Kind.LOANS:
            return Verdict(Way.DROPPED, 0.0, "only how long they may last is kept: see `loans_over`")
        case Kind.GRANTS:
            return Verdict(Way.DROPPED, 0.0, "they end with the life that asked for them")
        case Kind.RETRIES:
            if case.disk is Disk.OWN and case.end is not End.POWER and not case.all_lost:
                return Verdict(Way.DISCOUNTED, 0.5, "others may have spent on the same trouble")
            return Verdict(Way.DROPPED, 0.0, "all clients try again: no further attempts on top of that")
        case Kind.WAITS:
            return TAKEN if case.age <= LEARNED and case.disk is Disk.OWN else Verdict(Way.DROPPED, 0.0, "too old")


def _ceilings(case: Case) -> Verdict:
    """Never passed: what is not surely left is taken as spent, which is as with no memory."""
    spent = "all of it taken as spent, and filled since this life began"
    if case.disk is not Disk.OWN:
        return Verdict(Way.DROPPED, 0.0, f"{case.disk.value}: {spent}")
    if case.peers is Peers.OPEN:
        return Verdict(Way.ASKED, 0.0, "a later life of it may be known", spent)
    return Verdict(Way.TAKEN, 1.0, "what stands above the marks, filled by the least of the times that may have passed")


def loans_over(
    now: float, until: float | None, receivers: dict[str, float], planners: dict[str, float], ended: float
) -> bool:
    """Whether all that an earlier life lent is surely back.

    `until` is the end of its last loan on record, on this clock (None: nothing on record); `receivers` and `planners`
    say when each of them began its present life, if that is known; `ended` is when this gateway's last life did at
    the latest. A loan ends with its term, or with all lives that could still spend or grant it: a receiver holds
    nothing over a restart, and a planner's ledger begins empty.
    """
    if until is not None and now >= until:
        return True
    others = [*receivers.values(), *planners.values()]
    return bool(others) and all(began > ended for began in others)
