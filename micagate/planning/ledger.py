"""The planner's book of one shard: what is lent to it, what it has out, and what it tells forwarders next.

For each thing, what may still be alive of all that was granted never exceeds what is lent, at any time and
whatever gets lost: a grant may be alive until `Terms.longest` after the last word that renewed it, and a loan
counts only while what is left of it outlasts that. Nothing here depends on who else believes to own the
shard: another planner has loans of its own.
"""

from __future__ import annotations

import math
from collections.abc import Container

from micagate.planning.allocate import TINY, targets
from micagate.planning.messages import (
    MOST,
    Amount,
    BucketLevels,
    LendRequest,
    PlannerUpdate,
    Report,
    RestartSession,
    WorkerCapacity,
)
from micagate.planning.pace import Estimate
from micagate.planning.terms import Terms

UNTOLD = 1 << 62
MOST_NEEDS = 65536  # of one forwarder; more are left out, and such things keep their parts
KEPT = 0.1  # of its part, which nobody is called to lend: who comes back there finds a little
TOLD = 0.05  # share by which a pace must change to be told anew
LEAST = 0.01  # of the whole: grants and calls change by no less, but to nothing


class _Grant:
    """What one forwarder has of a thing: the amount in force, and earlier ones that it may still use."""

    __slots__ = ("amount", "number", "old")

    def __init__(self) -> None:
        self.amount = 0.0
        self.number = 0  # of the word that told it; UNTOLD until it goes out
        self.old: list[tuple[int, float, float]] = []  # number, amount, and when it is surely dead

    def charge(self, now: float, live: bool, ends: float) -> float:
        """The most of it that may be in use.

        What is in force counts for as long as the session lives, whatever the clock says: the next word would
        renew it, also after a pause of this planner in which it had died.
        """
        if self.old:
            self.old = [entry for entry in self.old if entry[2] > now]
        top = self.amount if live or ends > now else 0.0
        for _, amount, _ in self.old:
            top = max(top, amount)
        return top

    def change(self, amount: float, ends: float) -> None:
        """Put another amount in force with the next word; the one before dies at `ends` at the latest."""
        if self.amount > 0 and self.number != UNTOLD:
            self.old.append((self.number, self.amount, ends))
        self.amount, self.number = amount, UNTOLD

    def acked(self, number: int) -> None:
        """The forwarder has that word: what came before the amount then in force is out of use."""
        if number >= self.number:
            self.old.clear()
        elif self.old:
            inforce = max((entry[0] for entry in self.old if entry[0] <= number), default=0)
            self.old = [entry for entry in self.old if entry[0] >= inforce]

    @property
    def empty(self) -> bool:
        """Whether nothing of it is out or to be told."""
        return not (self.amount or self.old or self.number == UNTOLD)


class _Session:
    """One forwarder's session, as the planner has it."""

    __slots__ = (
        "name",
        "index",
        "session",
        "reported",
        "acked",
        "sent",
        "sent_at",
        "echo",
        "needs",
        "said",
        "loans",
        "calls",
        "grants",
        "changed_calls",
        "changed_grants",
        "unsettled",
        "live",
        "usable",
        "heard",
        "fills",
        "works",
        "paces",
        "changed_paces",
    )

    def __init__(self, name: str, index: int, session: int) -> None:
        self.name, self.index, self.session = name, index, session
        self.reported = self.acked = self.sent = 0
        self.sent_at = self.echo = -math.inf
        self.heard = 0.0
        self.needs: dict[str, float] = {}
        self.said: dict[str, float] = {}  # what it last said it lends
        self.loans: dict[str, float] = {}  # what the book counts of that
        self.calls: dict[str, tuple[float, int]] = {}  # what it should lend, and since which word
        self.grants: dict[str, _Grant] = {}
        self.changed_calls: dict[str, None] = {}  # these three in order, so that a schedule can be repeated
        self.changed_grants: dict[str, None] = {}
        self.unsettled: dict[str, None] = {}  # calls and grants that it may not have yet
        self.fills: dict[str, tuple[float, float]] = {}  # what goes with the shares of the next word
        self.works: dict[str, None] = {}  # the workers that it has told of
        self.paces: dict[str, float] = {}  # by worker, as it was last told, or is to be
        self.changed_paces: dict[str, None] = {}
        self.live = True
        self.usable = False  # whether its loans outlast a grant

    def ends(self, longest: float) -> float:
        """When what is in force there is surely dead."""
        return self.sent_at + longest


class _Thing:
    """A thing that is shared: its set, and who has to do with it."""

    __slots__ = ("first", "count", "sessions", "store", "ceiling")

    def __init__(self, first: int, count: int) -> None:
        self.first, self.count = first, count
        # What left the stores of shares that were given away, until it goes on with others.
        self.store = self.ceiling = 0.0
        self.sessions: dict[_Session, None] = {}  # those with a need, a loan or a grant of it

    def has(self, index: int, forwarders: int) -> bool:
        """Whether a forwarder is in its set."""
        return (index - self.first) % forwarders < self.count


class Ledger:
    """The book of one shard in one epoch; `now` is the planner's own clock throughout."""

    def __init__(self, terms: Terms, shard: int, epoch: int, forwarders: int, now: float) -> None:
        self._t, self.shard, self.epoch, self._forwarders, self.began = terms, shard, epoch, forwarders, now
        self._sessions: dict[str, _Session] = {}  # the live one of each forwarder
        self._by_index: dict[int, _Session] = {}
        self._gone: list[_Session] = []  # those with grants that may still be alive
        self._things: dict[str, _Thing] = {}
        self._dirty: dict[str, None] = {}
        self._unmet: dict[str, None] = {}  # things of which somebody wants more than is free
        self._looked = self._paced = now
        self._workers: dict[str, Estimate] = {}
        self.rejected_needs = 0  # needs beyond what one forwarder may have
        self.mismatched = 0  # needs that name another set than before: left out

    # What comes in.

    def report(self, now: float, name: str, index: int, report: Report) -> RestartSession | None:
        """Take in a checked report; what must be answered at once, if anything."""
        session = self._sessions.get(name)
        if report.epoch != self.epoch:
            return None  # meant for another book
        if session is None or session.session != report.session:
            if report.number != 1:
                return RestartSession(self.shard, report.session)
            self.forwarder_left(now, name)
            if (other := self._by_index.get(index)) is not None:
                self.forwarder_left(now, other.name)  # two under one number: the later one has it
            session = self._sessions[name] = self._by_index[index] = _Session(name, index, report.session)
        if report.number <= session.reported:
            return None  # repeated
        if report.number != session.reported + 1 or report.ack > session.sent:
            self.forwarder_left(now, name)
            return RestartSession(self.shard, report.session)
        session.reported, session.heard = report.number, now
        if report.ack > session.acked:
            session.acked = report.ack
            self._settle(session, report.ack)
        if report.ack:
            session.echo = max(session.echo, min(report.echo, now))
        for need in report.needs:
            thing = self._things.get(need.key)
            if thing is None:
                thing = self._things[need.key] = _Thing(need.first, need.count)
            elif (thing.first, thing.count) != (need.first, need.count):
                if not any(other.needs.get(need.key) for other in thing.sessions if other is not session):
                    self._reset(need.key, thing, need.first, need.count)
                else:
                    self.mismatched += 1
                    continue
            if not thing.has(index, self._forwarders):
                self.mismatched += 1
                continue
            if len(session.needs) >= MOST_NEEDS and need.key not in session.needs:
                self.rejected_needs += 1
                if not thing.sessions:
                    del self._things[need.key]
                continue
            session.needs[need.key] = need.need
            thing.sessions[session] = None
            self._dirty[need.key] = None
        for left in report.released_levels:
            if (held := self._things.get(left.key)) is not None:
                held.store = min(1.0, held.store + left.quota)
                held.ceiling = min(1.0, held.ceiling + left.ceiling)
                self._dirty[left.key] = None
        for work in report.worker_loads:
            if work.key not in self._workers:
                if len(self._workers) >= MOST_NEEDS:
                    self.rejected_needs += 1
                    continue
                self._workers[work.key] = Estimate(now)
            self._workers[work.key].report(now, work)
            session.works[work.key] = None
        for lend in report.lent:
            if lend.key in session.calls:  # nobody lends uncalled
                session.said[lend.key] = lend.amount
                self._book(session, lend.key)
        return None

    def _settle(self, session: _Session, number: int) -> None:
        """The forwarder has all words up to this one."""
        for key in list(session.unsettled):
            grant, call = session.grants.get(key), session.calls.get(key)
            if grant is not None and (grant.old or number >= grant.number):
                grant.acked(number)
                self._dirty[key] = None
            if call is not None and number >= call[1]:
                self._book(session, key)
                self._dirty[key] = None
            if (grant is None or not grant.old and number >= grant.number) and (call is None or number >= call[1]):
                session.unsettled.pop(key, None)

    def _reset(self, key: str, thing: _Thing, first: int, count: int) -> None:
        """Another set: nothing of the old one is lent on, and its lenders are freed as the book allows."""
        thing.first, thing.count = first, count
        self._dirty[key] = None

    def _book(self, session: _Session, key: str) -> None:
        """Count what a forwarder lends, never more than it was called for.

        What it said before it had the latest call counts only where that is less: it may have been freed.
        """
        amount, since = session.calls.get(key, (0.0, 0))
        loan = min(session.said.get(key, 0.0), amount)
        if session.acked < since:
            loan = min(loan, session.loans.get(key, 0.0))
        if abs(loan - session.loans.get(key, 0.0)) > TINY:
            session.loans[key] = loan
            self._dirty[key] = None

    def forwarder_left(self, now: float, name: str) -> None:
        """A forwarder's session has ended: its loans count no more, its grants until they are surely dead."""
        session = self._sessions.pop(name, None)
        if session is None:
            return
        del self._by_index[session.index]
        session.live = False
        outlived = session.grants if session.ends(self._t.longest) > now else {}
        for key in {**session.needs, **session.calls, **session.grants}:
            self._dirty[key] = None
            if key not in outlived:
                self._things[key].sessions.pop(session, None)
        if outlived:
            self._gone.append(session)

    # What is decided.

    def pending_updates(self, now: float, blocked: Container[str] = ()) -> list[tuple[str, PlannerUpdate]]:
        """What to tell which forwarder now. To be called often: at each report, and each interval.

        Nothing is made for the blocked, who don't read what they are sent: their news adds up here.
        """
        self._lapse(now)
        dirty, self._dirty = self._dirty, {}
        if now - self._looked >= self._t.interval:  # what is charged to them may have died meanwhile
            self._looked = now
            dirty |= self._unmet
        for key in dirty:
            if key in self._things:
                self._decide(now, key)
        if now - self._paced >= self._t.interval:
            self._paced = now
            self._pace(now)
        words = []
        for session in self._sessions.values():
            if session.name not in blocked and self._owed(now, session):
                words.append((session.name, self._word(now, session)))
                while session.changed_calls or session.changed_grants or session.fills or session.changed_paces:
                    words.append((session.name, self._word(now, session)))
        return words

    def _pace(self, now: float) -> None:
        """Find what each worker can do, and who has to hear of it anew."""
        paces = {key: worker.decide(now) for key, worker in self._workers.items()}
        for key in [key for key, worker in self._workers.items() if worker.silent(now)]:
            del self._workers[key]
        for session in self._sessions.values():
            for key in list(session.works):
                pace, told = paces.get(key, 0.0), session.paces.get(key, 0.0)
                if abs(pace - told) > TOLD * told:
                    session.paces[key] = pace
                    session.changed_paces[key] = None
                if key not in self._workers:
                    del session.works[key]
                    session.paces.pop(key, None)

    def _lapse(self, now: float) -> None:
        """Find the loans that no longer outlast a grant, or do again, and the grants that have died."""
        for session in self._sessions.values():
            usable = self._outlasts(now, session)
            if usable != session.usable:
                session.usable = usable
                self._dirty.update(dict.fromkeys(session.loans))
        still = []
        for session in self._gone:
            if session.ends(self._t.longest) > now:
                still.append(session)
                continue
            for key in session.grants:
                self._things[key].sessions.pop(session, None)
                self._dirty[key] = None
        self._gone = still

    def _outlasts(self, now: float, session: _Session) -> bool:
        """Whether a forwarder's loans outlast what would be granted from them now."""
        return session.echo + self._t.loan >= now + self._t.longest

    def _charges(self, now: float, thing: _Thing, key: str) -> float:
        """All of a thing that may be in use by grants."""
        total = 0.0
        for session in thing.sessions:
            grant = session.grants.get(key)
            if grant is not None:
                total += grant.charge(now, session.live, session.ends(self._t.longest))
        return total

    def _backing(self, thing: _Thing, key: str) -> float:
        """All of a thing that is lent for long enough."""
        return sum(session.loans.get(key, 0.0) for session in thing.sessions if session.live and session.usable)

    def _decide(self, now: float, key: str) -> None:
        thing = self._things[key]
        part = 1.0 / thing.count
        members = [
            s for n in range(thing.count) if (s := self._by_index.get((thing.first + n) % self._forwarders)) is not None
        ]
        wanted = targets([s.needs.get(key, 0.0) for s in members], [part] * len(members), KEPT)
        wants = dict.fromkeys((s for s in thing.sessions if s.live), part)  # whoever is of the set no more
        wants.update(zip(members, wanted, strict=True))
        backing = self._backing(thing, key)
        # Cuts first: what is granted beyond the wish, then what is no longer backed.
        inforce = {s: s.grants[key].amount for s in wants if key in s.grants and s.grants[key].amount > 0}
        kept = {s: self._rounded(amount, min(amount, max(0.0, wants[s] - part))) for s, amount in inforce.items()}
        if (total := sum(kept.values())) > backing + TINY:
            kept = {s: amount * backing / total for s, amount in kept.items()}
        for s, amount in kept.items():
            if amount < inforce[s] - TINY:
                self._grant(s, key, amount)
        self._raise(now, thing, key, wants, part, backing)
        self._call(thing, key, wants, part, backing - self._charges(now, thing, key))
        if self._lacks(wants, key, part):
            self._unmet[key] = None
        else:
            self._unmet.pop(key, None)
        self._tidy(thing, key)

    def _raise(
        self, now: float, thing: _Thing, key: str, wants: dict[_Session, float], part: float, backing: float
    ) -> None:
        """Grant what is free to those who lack, by what they lack.

        What a forwarder is still charged with for an earlier, larger amount it may have again at once; but
        not while more may be in use than is lent for long enough: that would renew what is to die.
        """
        free = backing - self._charges(now, thing, key)
        if free < -TINY:
            return
        lacks = self._lacks(wants, key, part)
        charged = {s: s.grants[key].charge(now, True, 0.0) if key in s.grants else 0.0 for s in lacks}
        costs = {s: max(0.0, wants[s] - part - charged[s]) for s in lacks}
        rate = min(1.0, free / total) if (total := sum(costs.values())) > TINY else 1.0
        raised = {}
        for s, lack in lacks.items():
            amount = min(wants[s] - part, charged[s] + rate * costs[s])
            before = wants[s] - part - lack
            if amount - before >= LEAST:
                thing.sessions[s] = None
                self._grant(s, key, amount)
                raised[s] = amount - before
        self._pass_on(thing, key, raised)

    def _pass_on(self, thing: _Thing, key: str, raised: dict[_Session, float]) -> None:
        """What lies here of stores goes with what was raised; else to whoever still has a grant of it."""
        if thing.store <= TINY and thing.ceiling <= TINY:
            return
        raised = raised or {
            s: s.grants[key].amount for s in thing.sessions if s.live and key in s.grants and s.grants[key].amount > 0
        }
        total = sum(raised.values())
        if total <= TINY:
            return
        for s, amount in raised.items():
            store, ceiling = s.fills.get(key, (0.0, 0.0))
            s.fills[key] = store + thing.store * amount / total, ceiling + thing.ceiling * amount / total
        thing.store = thing.ceiling = 0.0

    def _lacks(self, wants: dict[_Session, float], key: str, part: float) -> dict[_Session, float]:
        """Who has how much less than it should have, beyond its part."""
        lacks = {}
        for session, want in wants.items():
            grant = session.grants.get(key)
            lack = want - part - (grant.amount if grant is not None else 0.0)
            if lack >= LEAST:
                lacks[session] = lack
        return lacks

    @staticmethod
    def _rounded(before: float, after: float) -> float:
        """An amount, left as it was where the change is not worth a message."""
        return before if after > 0 and abs(after - before) < LEAST else after

    def _grant(self, session: _Session, key: str, amount: float) -> None:
        grant = session.grants.get(key)
        if grant is None:
            grant = session.grants[key] = _Grant()
        grant.change(amount, session.ends(self._t.longest))
        session.changed_grants[key] = None
        session.unsettled[key] = None

    def _call(self, thing: _Thing, key: str, wants: dict[_Session, float], part: float, free: float) -> None:
        """Call for what others need, and free what they don't, as far as nothing of it may be in use.

        A loan that no longer outlasts a grant backs none from now on, but may still back earlier ones: it is
        freed only where the others cover all that may be in use.
        """
        back: dict[_Session, float] = {}
        for session, want in wants.items():
            wish = max(0.0, part - want)
            amount = session.calls.get(key, (0.0, 0))[0]
            loan = session.loans.get(key, 0.0)
            if wish < amount - TINY:
                if loan > wish and session.usable:
                    freed = max(0.0, min(loan - wish, free))
                    free -= freed
                    wish = loan - freed
                elif loan > wish and free < -TINY:
                    wish = loan
                wish = self._rounded(amount, wish)
            elif wish - amount < LEAST:
                continue
            if abs(wish - amount) > TINY:
                thing.sessions[session] = None
                session.calls[key] = (wish, UNTOLD)
                session.changed_calls[key] = None
                session.unsettled[key] = None
                session.loans[key] = min(loan, wish)
                if loan > wish + TINY:
                    back[session] = loan - wish
        if back:
            self._pass_on(thing, key, back)

    def _tidy(self, thing: _Thing, key: str) -> None:
        """Forget who has no more to do with a thing, and the thing itself with the last of them."""
        for session in list(thing.sessions):
            grant, call = session.grants.get(key), session.calls.get(key)
            if grant is not None and grant.empty:
                del session.grants[key]
                grant = None
            if call is not None and not call[0] and session.acked >= call[1]:
                for table in (session.calls, session.said, session.loans):
                    table.pop(key, None)
                call = None
            if not session.needs.get(key):
                session.needs.pop(key, None)
                if grant is None and call is None:
                    thing.sessions.pop(session, None)
        if not thing.sessions:
            self._things.pop(key, None)
            self._unmet.pop(key, None)

    # What goes out.

    def _owed(self, now: float, session: _Session) -> bool:
        if session.changed_calls or session.changed_grants or session.fills or session.changed_paces:
            return True
        busy = (
            session.paces
            or any(grant.amount for grant in session.grants.values())
            or any(amount for amount, _ in session.calls.values())
        )
        return busy and now - session.sent_at >= self._t.interval

    def _word(self, now: float, session: _Session) -> PlannerUpdate:
        session.sent += 1
        session.sent_at = now
        room = self._t.entries
        grants: list[Amount] = []
        calls: list[LendRequest] = []
        while session.changed_grants and len(grants) < room:
            key, _ = session.changed_grants.popitem()
            if (grant := session.grants.get(key)) is not None:
                grant.number = session.sent
                grants.append(Amount(key, grant.amount))
        while session.changed_calls and len(grants) + len(calls) < room:
            key, _ = session.changed_calls.popitem()
            if (call := session.calls.get(key)) is not None and (thing := self._things.get(key)) is not None:
                session.calls[key] = (call[0], session.sent)
                calls.append(LendRequest(key, thing.count, call[0]))
        fills: list[BucketLevels] = []
        while session.fills and len(fills) < room:
            key, (store, ceiling) = session.fills.popitem()
            fills.append(BucketLevels(key, min(1.0, store), min(1.0, ceiling)))
        paces: list[WorkerCapacity] = []
        while session.changed_paces and len(paces) < room:
            key, _ = session.changed_paces.popitem()
            paces.append(WorkerCapacity(key, min(MOST, session.paces.get(key, 0.0))))
        return PlannerUpdate(
            self.shard,
            self.epoch,
            session.session,
            session.sent,
            session.reported,
            now,
            tuple(calls),
            tuple(grants),
            tuple(fills),
            tuple(paces),
        )

    # What can be seen.

    def granted(self, now: float) -> dict[str, tuple[int, float]]:
        """By forwarder: how many grants it may have in use, and their sum in wholes."""
        made: dict[str, tuple[int, float]] = {}
        for session in [*self._sessions.values(), *self._gone]:
            charges = [
                grant.charge(now, session.live, session.ends(self._t.longest)) for grant in session.grants.values()
            ]
            count, total = made.get(session.name, (0, 0.0))
            made[session.name] = count + sum(charge > 0 for charge in charges), total + sum(charges)
        return made

    def ages(self, now: float) -> dict[str, float]:
        """By connected forwarder: seconds since its latest report."""
        return {session.name: now - session.heard for session in self._sessions.values()}

    def workers(self, now: float) -> dict[str, dict[str, float]]:
        """By worker: what it can do, and what is seen of it."""
        return {key: worker.shown(now) for key, worker in self._workers.items()}

    @property
    def resource_count(self) -> int:
        """How many things the book has entries for."""
        return len(self._things)
