"""A forwarder's side: what it needs, what it has lent and borrowed, and until when.

Each session with a planner is a book of its own: its loans stand until their term is over, whatever becomes
of the session, and its grants until their life is. So it does not matter who else plans, or whether a planner
that was paused still believes that it does; the epoch only tells whom to go on talking to.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from micagate import interface
from micagate.interface import ResourceShare, ShareUpdate
from micagate.planning.allocate import TINY
from micagate.planning.messages import (
    AMOUNTS,
    MOST,
    Amount,
    BucketLevels,
    LendRequest,
    Need,
    PlannerUpdate,
    Report,
    WorkerLoad,
)
from micagate.planning.terms import Terms

CHANGE, LEAST = 0.15, 0.02  # a need is told anew once it has changed by this share of it, and so much
GONE = 0.005  # a need below this is none


@dataclass(slots=True)
class Demand:
    """What a forwarder sees asked of a thing: the share of the whole that would meet it."""

    key: str
    first: int
    count: int
    need: float


class LeaseSession:
    """What a session has lent and borrowed; the two times bound all of it."""

    __slots__ = (
        "planner",
        "shard",
        "epoch",
        "number",
        "reported",
        "word",
        "stamp",
        "lent_until",
        "borrowed_until",
        "lent",
        "borrowed",
        "sent_at",
        "heard",
        "live",
        "told",
        "due",
        "urgent",
        "lends",
        "_asked",
        "touched",
        "taken",
        "counts",
        "fills",
        "lefts",
        "works",
        "paces",
    )

    def __init__(self, planner: str, shard: int, epoch: int, number: int, now: float) -> None:
        self.heard = now
        self.planner, self.shard, self.epoch, self.number = planner, shard, epoch, number
        self.reported = self.word = 0
        self.stamp = 0.0
        self.lent_until = self.borrowed_until = -math.inf
        self.lent: dict[str, float] = {}
        self.borrowed: dict[str, float] = {}
        self.sent_at = -math.inf
        self.live = True
        self.told: dict[str, float] = {}  # needs as last told
        self.due: dict[str, None] = {}  # needs to be told
        self.lends: dict[str, None] = {}  # loans to be told
        self.urgent = False
        self._asked: dict[int, float] = {}  # by report: when it was sent
        self.counts: dict[str, int] = {}  # how many share what is lent or borrowed
        self.fills: list[BucketLevels] = []  # what came with shares, for the module
        self.lefts: list[BucketLevels] = []  # what left the stores with shares, for the planner
        self.works: dict[str, WorkerLoad] = {}  # what was seen of workers, for the planner
        self.paces: dict[str, float] = {}  # of workers, as told and not yet handed to the module
        self.taken: tuple[float, float] | None = None  # both ends, as the module has them
        self.touched: dict[str, None] = {}  # things whose lent or borrowed amount has changed

    def asked(self, now: float, number: int) -> None:
        """A report goes out; only the latest few can still be answered."""
        self._asked[number] = now
        if len(self._asked) > 64:
            del self._asked[next(iter(self._asked))]

    def answered(self, number: int) -> float:
        """When the report was sent that a word answers; so long ago that nothing lives where that is
        unknown."""
        when = self._asked.get(number, -math.inf)
        for old in [n for n in self._asked if n < number]:
            del self._asked[old]
        return when

    def over(self, now: float) -> bool:
        """Whether nothing of it can matter any more."""
        return not self.live and now >= self.lent_until and now >= self.borrowed_until


class Holder:
    """All that one forwarder has lent and borrowed; `now` is its own clock throughout.

    `born` is when its process started: an earlier life may have lent any of its parts, so that until a term
    is over nothing of them may be used (`ready`), nor lent again.
    """

    def __init__(
        self,
        terms: Terms,
        index: int,
        forwarders: int,
        born: float,
        first_session: int = 1,
        shard_of: Callable[[str], int] | None = None,
    ) -> None:
        self._t, self.index, self._forwarders, self._born = terms, index, forwarders, born
        self._numbers = itertools.count(first_session)
        self._shard_of = shard_of or (lambda key: 0)
        self._current: dict[int, LeaseSession] = {}  # by shard: the session with its owner
        self._epochs: dict[int, int] = {}  # by shard: the highest epoch heard of
        self._sessions: list[LeaseSession] = []  # all that still matter
        self._needs: dict[str, Demand] = {}

    def ready(self, now: float) -> bool:
        """Whether what an earlier life of this forwarder may have lent is surely back."""
        return now >= self._born + self._t.term * (1 + 3 * self._t.drift)

    # What is heard of planners.

    def planner_elected(self, now: float, planner: str, shard: int, epoch: int) -> None:
        """A planner says that it owns a shard; one of an older epoch is not believed."""
        current = self._current.get(shard)
        if epoch < self._epochs.get(shard, 0):
            return
        if current is not None and (current.planner, current.epoch) == (planner, epoch):
            return
        if current is not None and current.epoch == epoch and current.live:
            return  # two with one epoch: the first heard of stays
        self._epochs[shard] = epoch
        self._begin(now, planner, shard, epoch)

    def planner_deposed(self, now: float, planner: str, shard: int) -> None:
        """A planner says that it owns a shard no more."""
        current = self._current.get(shard)
        if current is not None and current.planner == planner:
            self._end(shard)

    def planner_disconnected(self, now: float, planner: str) -> None:
        """The connection to a planner has ended."""
        for shard in [shard for shard, s in self._current.items() if s.planner == planner]:
            self._end(shard)

    def restart_session(self, now: float, planner: str, shard: int, number: int) -> None:
        """A planner asks for a new session."""
        current = self._current.get(shard)
        if current is not None and current.planner == planner and current.number == number:
            self._begin(now, planner, shard, current.epoch)

    def _end(self, shard: int) -> None:
        self._current.pop(shard).live = False

    def _begin(self, now: float, planner: str, shard: int, epoch: int) -> None:
        if shard in self._current:
            self._end(shard)
        session = self._current[shard] = LeaseSession(planner, shard, epoch, next(self._numbers), now)
        session.due = {key: None for key in self._needs if self._shard_of(key) == shard}
        session.urgent = True
        self._sessions.append(session)

    # What is needed.

    def demand(self, now: float, demands: Iterable[Demand]) -> None:
        """Take in what is needed now; things not named keep their need."""
        for demand in demands:
            known = self._needs.get(demand.key)
            need = min(1.0, max(0.0, demand.need)) if math.isfinite(demand.need) else 0.0
            shard = self._shard_of(demand.key)
            session = self._current.get(shard)
            if need < GONE:
                if known is not None:
                    del self._needs[demand.key]
                    if session is not None and session.told.get(demand.key):
                        session.due[demand.key] = None
                        session.told[demand.key] = -1.0  # to be told as none, with its set
                        self._needs[demand.key] = Demand(demand.key, known.first, known.count, 0.0)
                continue
            self._needs[demand.key] = Demand(demand.key, demand.first, demand.count, need)
            if session is not None:
                before = session.told.get(demand.key, 0.0)
                moved = known is not None and (known.first, known.count) != (demand.first, demand.count)
                if moved or abs(need - before) >= max(LEAST, CHANGE * before):
                    session.due[demand.key] = None

    def record_worker_loads(self, works: Iterable[interface.WorkerLoad]) -> None:
        """Take in what was seen of workers since the last time; what no planner asks for is forgotten."""
        for work in works:
            session = self._current.get(self._shard_of(work.key))
            if session is None or not session.live:
                continue
            known = session.works.get(work.key)
            session.works[work.key] = WorkerLoad(
                work.key, *(min(MOST, getattr(work, name) + getattr(known, name, 0)) for name in AMOUNTS)
            )

    # What planners say.

    def receive_update(self, now: float, planner: str, word: PlannerUpdate) -> bool:
        """Take in a checked word; False where it belongs to no session and was left.

        A word out of its order ends the session: what it would have said is unknown.
        """
        session = self._current.get(word.shard)
        if (
            session is None
            or session.planner != planner
            or session.number != word.session
            or session.epoch != word.epoch
            or word.number <= session.word
        ):
            return False
        if word.number != session.word + 1:
            self._begin(now, planner, word.shard, word.epoch)
            return False
        session.word, session.stamp, session.heard = word.number, word.stamp, now
        # Life counts from the report that is answered, not from now: the word may have been long on its way.
        session.borrowed_until = max(session.borrowed_until, session.answered(word.answers) + self._t.life)
        for grant in word.grants:
            if grant.amount > TINY:
                session.borrowed[grant.key] = grant.amount
            else:
                session.borrowed.pop(grant.key, None)
            session.touched[grant.key] = None
        session.fills += word.bucket_levels
        for pace in word.capacities:
            session.paces[pace.key] = pace.capacity
        for call in word.lend_requests:
            self._called(now, session, call)
        if word.grants or word.lend_requests:
            session.urgent = True
        return True

    def _called(self, now: float, session: LeaseSession, call: LendRequest) -> None:
        """Lend as called for, as far as the part is there and not needed here; less frees it at once."""
        lent = session.lent.get(call.key, 0.0)
        known = self._needs.get(call.key)
        amount = min(call.amount, lent)
        if call.amount > lent and self.ready(now) and (known is None or known.count == call.count):
            part = 1.0 / call.count
            elsewhere = self._lent(now, call.key, session)
            spare = part - elsewhere - (known.need if known is not None else 0.0)
            amount = max(lent, min(call.amount, spare))
        if amount > TINY:
            session.lent[call.key] = amount
        else:
            session.lent.pop(call.key, None)
        session.counts[call.key] = call.count
        session.lends[call.key] = None
        session.touched[call.key] = None

    def _lent(self, now: float, key: str, but: LeaseSession | None = None) -> float:
        """What is lent of a thing, in all sessions or in all but one."""
        return sum(s.lent.get(key, 0.0) for s in self._sessions if s is not but and now < s.lent_until)

    # What goes out.

    def reports(self, now: float, blocked: Container[str] = ()) -> list[tuple[str, Report]]:
        """The reports that are due; each renews all loans of its session for a term from now.

        None is made for blocked planners, who don't read what they are sent: what is to be told adds up here.
        """
        for shard in [
            shard for shard, s in self._current.items() if (s.lent or s.borrowed) and now - s.heard > 2 * self._t.life
        ]:
            # Guards against renewing loans to a planner that hears no more, or is heard no more: it has to
            # say again that it owns the shard.
            self._end(shard)
        return [
            (session.planner, report)
            for session in list(self._current.values())
            if session.planner not in blocked
            for report in self._due(now, session)
        ]

    def _due(self, now: float, session: LeaseSession) -> Iterable[Report]:
        waited = now - session.sent_at
        busy = bool(session.lent or session.borrowed or session.works)
        news = bool(session.due or session.lends or session.lefts)
        if not (session.urgent or (news and waited >= self._t.interval / 2) or (busy and waited >= self._t.interval)):
            return
        while True:
            yield self._report(now, session)
            if not (session.due or session.lends or session.lefts or session.works):
                return

    def _report(self, now: float, session: LeaseSession) -> Report:
        needs: list[Need] = []
        lends: list[Amount] = []
        while session.lends and len(lends) < self._t.entries:
            key, _ = session.lends.popitem()
            lends.append(Amount(key, session.lent.get(key, 0.0)))
        while session.due and len(needs) + len(lends) < self._t.entries:
            key, _ = session.due.popitem()
            known = self._needs.get(key)
            if known is None:
                continue
            needs.append(Need(key, known.first, known.count, known.need))
            session.told[key] = known.need
            if known.need < GONE:
                del self._needs[key], session.told[key]
        lefts, session.lefts = session.lefts[: self._t.entries], session.lefts[self._t.entries :]
        works: list[WorkerLoad] = []
        while session.works and len(works) < self._t.entries:
            works.append(session.works.popitem()[1])
        session.reported += 1
        session.urgent = False
        session.sent_at = now
        session.asked(now, session.reported)
        session.lent_until = now + self._t.term
        return Report(
            session.shard,
            session.epoch,
            session.number,
            session.reported,
            session.word,
            session.stamp,
            tuple(needs),
            tuple(lends),
            tuple(lefts),
            tuple(works),
        )

    # What may be spent.

    def share(self, now: float, key: str, count: int) -> float:
        """The share of a thing that this forwarder may spend now."""
        if not self.ready(now):
            return 0.0
        borrowed = sum(s.borrowed.get(key, 0.0) for s in self._sessions if now < s.borrowed_until)
        return max(0.0, 1.0 / count - self._lent(now, key)) + borrowed

    def share_updates(self, now: float) -> list[ShareUpdate]:
        """What has changed since the last call, as the module is to hear it before any report goes out.

        The end of what is lent is told a little late, so that reports within the next interval need no news.
        """
        made = []
        for session in self._sessions:
            lent_until, taken = session.lent_until, session.taken
            if session.live and session.lent:
                lent_until = max(lent_until, now + self._t.term + self._t.interval)
                if taken is not None and not session.touched and (taken[0] >= lent_until - self._t.interval / 2):
                    lent_until = taken[0]
            state = lent_until, session.borrowed_until
            if session.touched or session.fills or session.paces or state != taken:
                changes = tuple(
                    ResourceShare(
                        key, session.lent.get(key, 0.0), session.borrowed.get(key, 0.0), self._count(session, key)
                    )
                    for key in session.touched
                )
                fills = tuple(interface.BucketLevels(fill.key, fill.quota, fill.ceiling) for fill in session.fills)
                paces = tuple(interface.WorkerCapacity(key, pace) for key, pace in session.paces.items())
                session.touched.clear()
                session.fills.clear()
                session.paces.clear()
                session.taken = state
                made.append(ShareUpdate(session.number, *state, changes, fills, capacities=paces))
        return made

    def _count(self, session: LeaseSession, key: str) -> int:
        """How many share a thing, as far as is known here."""
        known = self._needs.get(key)
        return known.count if known is not None else session.counts.get(key, 1)

    def record_released(self, number: int, fills: Iterable[interface.BucketLevels]) -> None:
        """What a session's moves have taken out of stores: the planner is told, with what is lent."""
        for session in self._sessions:
            if session.number == number and session.live:
                session.lefts += [
                    BucketLevels(fill.key, min(1.0, fill.quota), min(1.0, fill.ceiling))
                    for fill in fills
                    if fill.quota > TINY or fill.ceiling > TINY
                ]

    def expired_sessions(self, now: float) -> list[ShareUpdate]:
        """Forget the sessions of which nothing matters any more, and say so to the module."""
        over = [s for s in self._sessions if s.over(now)]
        if over:
            self._sessions = [s for s in self._sessions if s not in over]
        return [ShareUpdate(s.number, s.lent_until, s.borrowed_until, expired=True) for s in over if s.taken]

    def sessions(self) -> list[LeaseSession]:
        """All sessions that still matter."""
        return self._sessions

    def epochs(self) -> dict[int, int]:
        """By shard: the highest epoch heard of."""
        return dict(self._epochs)
