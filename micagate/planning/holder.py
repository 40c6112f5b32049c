"""The forwarder's side of planning: its needs, the shares that it has lent and borrowed, and when they expire.

Leases and grants are recorded by session with a planner. Leases last until their term ends and grants until their
life ends, whatever happens to the session. So it is safe if several planners plan at a time, or if a planner that was
paused still believes that it owns the shard; the epoch only selects the planner to talk to.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from micagate import interface
from micagate.interface import ResourceShare, ShareUpdate
from micagate.planning.allocate import NEGLIGIBLE_AMOUNT
from micagate.planning.messages import (
    LOAD_FIELDS,
    MAX_LOAD_VALUE,
    Amount,
    BucketLevels,
    LendRequest,
    Need,
    PlannerUpdate,
    Report,
    WorkerLoad,
)
from micagate.planning.terms import Terms

# A need is reported again after a change by both this fraction of it and this amount.
MIN_NEED_CHANGE_FRACTION, MIN_NEED_CHANGE = 0.15, 0.02
NEGLIGIBLE_NEED = 0.005  # a smaller need counts as 0


@dataclass(slots=True)
class ResourceNeed:
    """The share of a resource that would meet the demand at a forwarder; the forwarders as in `messages.Need`."""

    key: str
    first_forwarder: int
    forwarder_count: int
    need: float


class LeaseSession:
    """What a forwarder has lent and borrowed in one session; all of it expires at the two times."""

    __slots__ = (
        "planner",
        "shard",
        "epoch",
        "number",
        "last_report_number",
        "last_update_number",
        "last_update_stamp",
        "lent_until",
        "borrowed_until",
        "lent",
        "borrowed",
        "sent_at",
        "last_update_at",
        "is_live",
        "reported_needs",
        "needs_to_report",
        "report_immediately",
        "leases_to_report",
        "_report_times",
        "changed_keys",
        "applied_expiries",
        "forwarder_counts",
        "received_levels",
        "released_levels",
        "worker_loads",
        "capacities",
    )

    def __init__(self, planner: str, shard: int, epoch: int, number: int, now: float) -> None:
        self.last_update_at = now
        self.planner, self.shard, self.epoch, self.number = planner, shard, epoch, number
        self.last_report_number = self.last_update_number = 0
        self.last_update_stamp = 0.0
        self.lent_until = self.borrowed_until = -math.inf
        self.lent: dict[str, float] = {}
        self.borrowed: dict[str, float] = {}
        self.sent_at = -math.inf
        self.is_live = True
        self.reported_needs: dict[str, float] = {}  # needs as last reported
        self.needs_to_report: dict[str, None] = {}  # keys, in order
        self.leases_to_report: dict[str, None] = {}  # keys, in order
        self.report_immediately = False
        self._report_times: dict[int, float] = {}  # by report number: when it was sent
        self.forwarder_counts: dict[str, int] = {}  # by resource: number of forwarders that share it
        self.received_levels: list[BucketLevels] = []  # bucket levels that came with shares, for the gateway
        self.released_levels: list[BucketLevels] = []  # bucket levels taken out with shares, for the planner
        self.worker_loads: dict[str, WorkerLoad] = {}  # for the next report
        self.capacities: dict[str, float] = {}  # by worker, not yet passed to the gateway
        # (lent_until, borrowed_until) as passed to the gateway.
        self.applied_expiries: tuple[float, float] | None = None
        self.changed_keys: dict[str, None] = {}  # resources whose lent or borrowed amount has changed

    def record_report(self, now: float, number: int) -> None:
        """Record when a report is sent; the latest 64 are kept, as only they can still be answered."""
        self._report_times[number] = now
        if len(self._report_times) > 64:
            del self._report_times[next(iter(self._report_times))]

    def report_time(self, number: int) -> float:
        """Return when the report was sent that an update answers, -inf if unknown: then nothing is renewed."""
        sent_at = self._report_times.get(number, -math.inf)
        for old in [n for n in self._report_times if n < number]:
            del self._report_times[old]
        return sent_at

    def is_over(self, now: float) -> bool:
        """Return whether the session has ended and all its leases and grants have expired."""
        return not self.is_live and now >= self.lent_until and now >= self.borrowed_until


class Holder:
    """All that one forwarder has lent and borrowed; `now` is always a reading of its own clock.

    `started_at` is when its process started. Its previous incarnation may have lent any of its shares, so until a term
    is over, none may be used (`ready`) or lent again.
    """

    def __init__(
        self,
        terms: Terms,
        index: int,
        forwarders: int,
        started_at: float,
        first_session: int = 1,
        shard_of: Callable[[str], int] | None = None,
    ) -> None:
        self._terms, self.index, self._forwarders, self._started_at = terms, index, forwarders, started_at
        self._session_numbers = itertools.count(first_session)
        self._shard_of = shard_of or (lambda key: 0)
        self._current_sessions: dict[int, LeaseSession] = {}  # by shard: the session with its owner
        self._latest_epochs: dict[int, int] = {}  # by shard: the highest known epoch
        self._sessions: list[LeaseSession] = []  # all with a lease or grant that may be valid
        self._needs: dict[str, ResourceNeed] = {}

    def ready(self, now: float) -> bool:
        """Return whether all leases of this forwarder's previous incarnation have surely expired."""
        return now >= self._started_at + self._terms.term * (1 + 3 * self._terms.drift)

    # Changes of planners.

    def planner_elected(self, now: float, planner: str, shard: int, epoch: int) -> None:
        """Begin a session with a planner that claims to own a shard, unless its epoch is older than a known one."""
        current = self._current_sessions.get(shard)
        if epoch < self._latest_epochs.get(shard, 0):
            return
        if current is not None and (current.planner, current.epoch) == (planner, epoch):
            return
        if current is not None and current.epoch == epoch and current.is_live:
            return  # two planners with one epoch: the first one stays
        self._latest_epochs[shard] = epoch
        self._begin_session(now, planner, shard, epoch)

    def planner_deposed(self, now: float, planner: str, shard: int) -> None:
        """End the session with a planner that no longer owns a shard."""
        current = self._current_sessions.get(shard)
        if current is not None and current.planner == planner:
            self._end_session(shard)

    def planner_disconnected(self, now: float, planner: str) -> None:
        """End all sessions with a planner whose connection has closed."""
        for shard in [shard for shard, session in self._current_sessions.items() if session.planner == planner]:
            self._end_session(shard)

    def restart_session(self, now: float, planner: str, shard: int, number: int) -> None:
        """Begin a new session at a planner's request."""
        current = self._current_sessions.get(shard)
        if current is not None and current.planner == planner and current.number == number:
            self._begin_session(now, planner, shard, current.epoch)

    def _end_session(self, shard: int) -> None:
        self._current_sessions.pop(shard).is_live = False

    def _begin_session(self, now: float, planner: str, shard: int, epoch: int) -> None:
        if shard in self._current_sessions:
            self._end_session(shard)
        session = self._current_sessions[shard] = LeaseSession(planner, shard, epoch, next(self._session_numbers), now)
        session.needs_to_report = {key: None for key in self._needs if self._shard_of(key) == shard}
        session.report_immediately = True
        self._sessions.append(session)

    # Needs.

    def update_needs(self, now: float, demands: Iterable[ResourceNeed]) -> None:
        """Update the needs of the given resources; others keep theirs."""
        for demand in demands:
            known = self._needs.get(demand.key)
            need = min(1.0, max(0.0, demand.need)) if math.isfinite(demand.need) else 0.0
            shard = self._shard_of(demand.key)
            session = self._current_sessions.get(shard)
            if need < NEGLIGIBLE_NEED:
                if known is not None:
                    del self._needs[demand.key]
                    if session is not None and session.reported_needs.get(demand.key):
                        session.needs_to_report[demand.key] = None
                        session.reported_needs[demand.key] = -1.0  # to be reported as 0, with its set
                        self._needs[demand.key] = ResourceNeed(
                            demand.key, known.first_forwarder, known.forwarder_count, 0.0
                        )
                continue
            self._needs[demand.key] = ResourceNeed(demand.key, demand.first_forwarder, demand.forwarder_count, need)
            if session is not None:
                before = session.reported_needs.get(demand.key, 0.0)
                moved = known is not None and (known.first_forwarder, known.forwarder_count) != (
                    demand.first_forwarder,
                    demand.forwarder_count,
                )
                if moved or abs(need - before) >= max(MIN_NEED_CHANGE, MIN_NEED_CHANGE_FRACTION * before):
                    session.needs_to_report[demand.key] = None

    def record_worker_loads(self, loads: Iterable[interface.WorkerLoad]) -> None:
        """Add the load of workers since the last call; loads of shards without a planner are dropped."""
        for load in loads:
            session = self._current_sessions.get(self._shard_of(load.key))
            if session is None or not session.is_live:
                continue
            known = session.worker_loads.get(load.key)
            session.worker_loads[load.key] = WorkerLoad(
                load.key, *(min(MAX_LOAD_VALUE, getattr(load, name) + getattr(known, name, 0)) for name in LOAD_FIELDS)
            )

    # Updates from planners.

    def receive_update(self, now: float, planner: str, update: PlannerUpdate) -> bool:
        """Process a validated update; return False if it belongs to no session and was ignored.

        A gap in the numbers ends the session, as the content of the missing updates is unknown.
        """
        session = self._current_sessions.get(update.shard)
        if (
            session is None
            or session.planner != planner
            or session.number != update.session
            or session.epoch != update.epoch
            or update.number <= session.last_update_number
        ):
            return False
        if update.number != session.last_update_number + 1:
            self._begin_session(now, planner, update.shard, update.epoch)
            return False
        session.last_update_number, session.last_update_stamp, session.last_update_at = update.number, update.stamp, now
        # The life of a grant counts from the report that is answered, as the update may have been delayed.
        session.borrowed_until = max(session.borrowed_until, session.report_time(update.answers) + self._terms.life)
        for grant in update.grants:
            if grant.amount > NEGLIGIBLE_AMOUNT:
                session.borrowed[grant.key] = grant.amount
            else:
                session.borrowed.pop(grant.key, None)
            session.changed_keys[grant.key] = None
        session.received_levels += update.bucket_levels
        for capacity in update.capacities:
            session.capacities[capacity.key] = capacity.capacity
        for lend_request in update.lend_requests:
            self._apply_lend_request(now, session, lend_request)
        if update.grants or update.lend_requests:
            session.report_immediately = True
        return True

    def _apply_lend_request(self, now: float, session: LeaseSession, lend_request: LendRequest) -> None:
        """Lend what is requested of the owned share, as far as it is free here; a smaller request releases at once."""
        lent = session.lent.get(lend_request.key, 0.0)
        known = self._needs.get(lend_request.key)
        amount = min(lend_request.amount, lent)
        if (
            lend_request.amount > lent
            and self.ready(now)
            and (known is None or known.forwarder_count == lend_request.count)
        ):
            owned = 1.0 / lend_request.count
            elsewhere = self._total_lent(now, lend_request.key, session)
            spare = owned - elsewhere - (known.need if known is not None else 0.0)
            amount = max(lent, min(lend_request.amount, spare))
        if amount > NEGLIGIBLE_AMOUNT:
            session.lent[lend_request.key] = amount
        else:
            session.lent.pop(lend_request.key, None)
        session.forwarder_counts[lend_request.key] = lend_request.count
        session.leases_to_report[lend_request.key] = None
        session.changed_keys[lend_request.key] = None

    def _total_lent(self, now: float, key: str, excluded: LeaseSession | None = None) -> float:
        """Return the amount of a resource that is lent in all sessions but `excluded`."""
        return sum(
            session.lent.get(key, 0.0)
            for session in self._sessions
            if session is not excluded and now < session.lent_until
        )

    # Reports to planners.

    def reports(self, now: float, blocked: Container[str] = ()) -> list[tuple[str, Report]]:
        """Return the reports that are due, by planner; each renews all leases of its session for a term from now.

        Planners in `blocked` do not read what they are sent: their changes are collected until they do.
        """
        for shard in [
            shard
            for shard, current in self._current_sessions.items()
            if (current.lent or current.borrowed) and now - current.last_update_at > 2 * self._terms.life
        ]:
            # Avoids renewing leases to a planner with which the connection is broken in one or both directions: it
            # has to announce again that it owns the shard.
            self._end_session(shard)
        return [
            (session.planner, report)
            for session in list(self._current_sessions.values())
            if session.planner not in blocked
            for report in self._due_reports(now, session)
        ]

    def _due_reports(self, now: float, session: LeaseSession) -> Iterable[Report]:
        """Yield the reports of a session that are due: changes sooner, renewals once an interval."""
        elapsed = now - session.sent_at
        has_state = bool(session.lent or session.borrowed or session.worker_loads)
        has_changes = bool(session.needs_to_report or session.leases_to_report or session.released_levels)
        if not (
            session.report_immediately
            or (has_changes and elapsed >= self._terms.interval / 2)
            or (has_state and elapsed >= self._terms.interval)
        ):
            return
        while True:
            yield self._make_report(now, session)
            if not (
                session.needs_to_report or session.leases_to_report or session.released_levels or session.worker_loads
            ):
                return

    def _make_report(self, now: float, session: LeaseSession) -> Report:
        """Make the next report with as many of the changes as a message may have."""
        needs: list[Need] = []
        lent: list[Amount] = []
        while session.leases_to_report and len(lent) < self._terms.entries:
            key, _ = session.leases_to_report.popitem()
            lent.append(Amount(key, session.lent.get(key, 0.0)))
        while session.needs_to_report and len(needs) + len(lent) < self._terms.entries:
            key, _ = session.needs_to_report.popitem()
            known = self._needs.get(key)
            if known is None:
                continue
            needs.append(Need(key, known.first_forwarder, known.forwarder_count, known.need))
            session.reported_needs[key] = known.need
            if known.need < NEGLIGIBLE_NEED:
                del self._needs[key], session.reported_needs[key]
        levels, session.released_levels = (
            session.released_levels[: self._terms.entries],
            session.released_levels[self._terms.entries :],
        )
        loads: list[WorkerLoad] = []
        while session.worker_loads and len(loads) < self._terms.entries:
            loads.append(session.worker_loads.popitem()[1])
        session.last_report_number += 1
        session.report_immediately = False
        session.sent_at = now
        session.record_report(now, session.last_report_number)
        session.lent_until = now + self._terms.term
        return Report(
            session.shard,
            session.epoch,
            session.number,
            session.last_report_number,
            session.last_update_number,
            session.last_update_stamp,
            tuple(needs),
            tuple(lent),
            tuple(levels),
            tuple(loads),
        )

    # Shares to spend.

    def share(self, now: float, key: str, count: int) -> float:
        """Return the share of a resource that this forwarder may spend now."""
        if not self.ready(now):
            return 0.0
        borrowed = sum(session.borrowed.get(key, 0.0) for session in self._sessions if now < session.borrowed_until)
        return max(0.0, 1.0 / count - self._total_lent(now, key)) + borrowed

    def share_updates(self, now: float) -> list[ShareUpdate]:
        """Return the changes since the last call; the gateway has to process them before any report is sent.

        The expiry of leases is set an interval ahead, so that reports within the next interval need no update.
        """
        updates = []
        for session in self._sessions:
            lent_until, applied = session.lent_until, session.applied_expiries
            if session.is_live and session.lent:
                lent_until = max(lent_until, now + self._terms.term + self._terms.interval)
                if (
                    applied is not None
                    and not session.changed_keys
                    and (applied[0] >= lent_until - self._terms.interval / 2)
                ):
                    lent_until = applied[0]
            expiries = lent_until, session.borrowed_until
            if session.changed_keys or session.received_levels or session.capacities or expiries != applied:
                changes = tuple(
                    ResourceShare(
                        key,
                        session.lent.get(key, 0.0),
                        session.borrowed.get(key, 0.0),
                        self._forwarder_count(session, key),
                    )
                    for key in session.changed_keys
                )
                levels = tuple(
                    interface.BucketLevels(level.key, level.quota, level.ceiling) for level in session.received_levels
                )
                capacities = tuple(
                    interface.WorkerCapacity(key, capacity) for key, capacity in session.capacities.items()
                )
                session.changed_keys.clear()
                session.received_levels.clear()
                session.capacities.clear()
                session.applied_expiries = expiries
                updates.append(ShareUpdate(session.number, *expiries, changes, levels, capacities=capacities))
        return updates

    def _forwarder_count(self, session: LeaseSession, key: str) -> int:
        """Return how many forwarders share a resource; 1 if unknown."""
        known = self._needs.get(key)
        return known.forwarder_count if known is not None else session.forwarder_counts.get(key, 1)

    def record_released(self, number: int, levels: Iterable[interface.BucketLevels]) -> None:
        """Record the bucket levels that left with shares of a session, to be reported with the next leases."""
        for session in self._sessions:
            if session.number == number and session.is_live:
                session.released_levels += [
                    BucketLevels(level.key, min(1.0, level.quota), min(1.0, level.ceiling))
                    for level in levels
                    if level.quota > NEGLIGIBLE_AMOUNT or level.ceiling > NEGLIGIBLE_AMOUNT
                ]

    def expired_sessions(self, now: float) -> list[ShareUpdate]:
        """Remove the sessions whose leases and grants have expired; return the updates that tell the gateway."""
        ended = [session for session in self._sessions if session.is_over(now)]
        if ended:
            self._sessions = [session for session in self._sessions if session not in ended]
        return [
            ShareUpdate(session.number, session.lent_until, session.borrowed_until, expired=True)
            for session in ended
            if session.applied_expiries
        ]

    def sessions(self) -> list[LeaseSession]:
        """Return all sessions with leases or grants that may be valid."""
        return self._sessions

    def epochs(self) -> dict[int, int]:
        """Return by shard: the highest known epoch."""
        return dict(self._latest_epochs)
