"""The planner's ledger of one shard: the leases that it holds, the grants that it made, and its next updates.

For each resource, the grants that may still be in use never exceed the leases, whichever messages are lost: a grant
may be in use until `Terms.max_grant_life` after the last update that renewed it, and a lease counts only while the
rest of it is longer than that. This does not depend on which planner owns the shard: leases are made to one planner,
and another planner has its own.
"""

from __future__ import annotations

import math
from collections.abc import Container

from micagate.planning.allocate import NEGLIGIBLE_AMOUNT, targets
from micagate.planning.messages import (
    MAX_LOAD_VALUE,
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

NOT_YET_SENT = 1 << 62  # in place of the number of an update: above all numbers
MAX_NEEDS_PER_FORWARDER = 65536  # more are rejected; forwarders keep the shares that they own of those resources
MIN_KEPT_FRACTION = 0.1  # of an owned share, never lent, so that a customer who returns there can spend a little
MIN_CAPACITY_CHANGE = 0.05  # relative change of a capacity that is sent to forwarders
MIN_AMOUNT_CHANGE = 0.01  # of the whole; smaller changes of grants and lend requests are not sent, except to 0


class _Grant:
    """One forwarder's grant of a resource: the current amount, and superseded ones that it may still use."""

    __slots__ = ("amount", "update_number", "superseded")

    def __init__(self) -> None:
        self.amount = 0.0
        self.update_number = 0  # of the update that carried the amount; NOT_YET_SENT until then
        self.superseded: list[tuple[int, float, float]] = []  # update number, amount, latest time of expiry

    def charge(self, now: float, is_live: bool, expires_at: float) -> float:
        """Return the largest amount that may be in use.

        The current amount counts as long as the session is live, even past its expiry: the next update would renew
        it, also after a pause of this planner in which it expired.
        """
        if self.superseded:
            self.superseded = [entry for entry in self.superseded if entry[2] > now]
        largest = self.amount if is_live or expires_at > now else 0.0
        for _, amount, _ in self.superseded:
            largest = max(largest, amount)
        return largest

    def change(self, amount: float, expires_at: float) -> None:
        """Change the amount with the next update; the amount before expires at `expires_at` at the latest."""
        if self.amount > 0 and self.update_number != NOT_YET_SENT:
            self.superseded.append((self.update_number, self.amount, expires_at))
        self.amount, self.update_number = amount, NOT_YET_SENT

    def acknowledge(self, number: int) -> None:
        """Record that the forwarder has an update: it no longer uses amounts older than the one in force then."""
        if number >= self.update_number:
            self.superseded.clear()
        elif self.superseded:
            in_force = max((entry[0] for entry in self.superseded if entry[0] <= number), default=0)
            self.superseded = [entry for entry in self.superseded if entry[0] >= in_force]

    @property
    def is_empty(self) -> bool:
        """Whether nothing may be in use and nothing is to be sent."""
        return not (self.amount or self.superseded or self.update_number == NOT_YET_SENT)


class _Session:
    """The planner's side of a session with one forwarder."""

    __slots__ = (
        "name",
        "index",
        "session_id",
        "last_report_number",
        "acked_update",
        "last_update_number",
        "sent_at",
        "echoed_stamp",
        "needs",
        "reported",
        "leases",
        "lend_requests",
        "grants",
        "changed_requests",
        "changed_grants",
        "unacknowledged",
        "is_live",
        "usable",
        "last_report_at",
        "levels",
        "reported_workers",
        "capacities",
        "new_capacities",
    )

    def __init__(self, name: str, index: int, session_id: int) -> None:
        self.name, self.index, self.session_id = name, index, session_id
        self.last_report_number = self.acked_update = self.last_update_number = 0
        self.sent_at = self.echoed_stamp = -math.inf
        self.last_report_at = 0.0
        self.needs: dict[str, float] = {}
        self.reported: dict[str, float] = {}  # what the forwarder last reported that it lends
        self.leases: dict[str, float] = {}  # the part of it that the ledger counts
        self.lend_requests: dict[str, tuple[float, int]] = {}  # the requested amount and the update that carried it
        self.grants: dict[str, _Grant] = {}
        self.changed_requests: dict[str, None] = {}  # dicts as ordered sets, so that runs can be reproduced
        self.changed_grants: dict[str, None] = {}
        self.unacknowledged: dict[str, None] = {}  # resources whose latest lend request or grant is not acknowledged
        self.levels: dict[str, tuple[float, float]] = {}  # quota and ceiling levels that move with shares
        self.reported_workers: dict[str, None] = {}  # workers that it has reported on
        self.capacities: dict[str, float] = {}  # by worker: as last sent, or to be sent
        self.new_capacities: dict[str, None] = {}
        self.is_live = True
        self.usable = False  # whether its leases outlast a new grant

    def grants_expire_at(self, max_grant_life: float) -> float:
        """Return the latest time at which the current grants expire."""
        return self.sent_at + max_grant_life


class _Resource:
    """A shared resource: the set of forwarders that own it, and the sessions with a need, lease or grant of it."""

    __slots__ = ("first_forwarder", "forwarder_count", "sessions", "quota_level", "ceiling_level")

    def __init__(self, first_forwarder: int, forwarder_count: int) -> None:
        self.first_forwarder, self.forwarder_count = first_forwarder, forwarder_count
        # Token bucket levels that came with released shares, to be passed on with others.
        self.quota_level = self.ceiling_level = 0.0
        self.sessions: dict[_Session, None] = {}  # an ordered set

    def includes(self, index: int, forwarders: int) -> bool:
        """Return whether a forwarder owns a share of the resource."""
        return (index - self.first_forwarder) % forwarders < self.forwarder_count


class Ledger:
    """The leases and grants of one shard in one epoch; `now` is always a reading of the planner's own clock."""

    def __init__(self, terms: Terms, shard: int, epoch: int, forwarders: int, now: float) -> None:
        self._terms, self.shard, self.epoch, self._forwarders, self.started_at = terms, shard, epoch, forwarders, now
        self._sessions: dict[str, _Session] = {}  # live sessions by forwarder name
        self._by_index: dict[int, _Session] = {}
        self._ended_sessions: list[_Session] = []  # ended sessions with grants that may still be in use
        self._resources: dict[str, _Resource] = {}
        self._changed: dict[str, None] = {}
        self._unmet: dict[str, None] = {}  # resources with a deficit
        self._rechecked_at = self._capacities_updated_at = now
        self._worker_estimates: dict[str, Estimate] = {}
        self.rejected_needs = 0  # entries of reports over MAX_NEEDS_PER_FORWARDER
        self.mismatched = 0  # needs rejected because their set of forwarders differs from others' needs

    # Reports from forwarders.

    def report(self, now: float, name: str, index: int, report: Report) -> RestartSession | None:
        """Process a validated report; return a message to send back at once, if any."""
        session = self._sessions.get(name)
        if report.epoch != self.epoch:
            return None  # meant for another ledger
        if session is None or session.session_id != report.session:
            if report.number != 1:
                return RestartSession(self.shard, report.session)
            self.forwarder_left(now, name)
            if (other := self._by_index.get(index)) is not None:
                self.forwarder_left(now, other.name)  # two forwarders with one index: the later one has it
            session = self._sessions[name] = self._by_index[index] = _Session(name, index, report.session)
        if report.number <= session.last_report_number:
            return None  # a duplicate
        if report.number != session.last_report_number + 1 or report.ack > session.last_update_number:
            self.forwarder_left(now, name)
            return RestartSession(self.shard, report.session)
        session.last_report_number, session.last_report_at = report.number, now
        if report.ack > session.acked_update:
            session.acked_update = report.ack
            self._acknowledge(session, report.ack)
        if report.ack:
            session.echoed_stamp = max(session.echoed_stamp, min(report.echo, now))
        for need in report.needs:
            resource = self._resources.get(need.key)
            if resource is None:
                resource = self._resources[need.key] = _Resource(need.first, need.count)
            elif (resource.first_forwarder, resource.forwarder_count) != (need.first, need.count):
                if not any(other.needs.get(need.key) for other in resource.sessions if other is not session):
                    self._change_forwarder_set(need.key, resource, need.first, need.count)
                else:
                    self.mismatched += 1
                    continue
            if not resource.includes(index, self._forwarders):
                self.mismatched += 1
                continue
            if len(session.needs) >= MAX_NEEDS_PER_FORWARDER and need.key not in session.needs:
                self.rejected_needs += 1
                if not resource.sessions:
                    del self._resources[need.key]
                continue
            session.needs[need.key] = need.need
            resource.sessions[session] = None
            self._changed[need.key] = None
        for released in report.released_levels:
            if (released_resource := self._resources.get(released.key)) is not None:
                released_resource.quota_level = min(1.0, released_resource.quota_level + released.quota)
                released_resource.ceiling_level = min(1.0, released_resource.ceiling_level + released.ceiling)
                self._changed[released.key] = None
        for load in report.worker_loads:
            if load.key not in self._worker_estimates:
                if len(self._worker_estimates) >= MAX_NEEDS_PER_FORWARDER:
                    self.rejected_needs += 1
                    continue
                self._worker_estimates[load.key] = Estimate(now)
            self._worker_estimates[load.key].report(now, load)
            session.reported_workers[load.key] = None
        for lent in report.lent:
            if lent.key in session.lend_requests:  # no lease is counted that was not requested
                session.reported[lent.key] = lent.amount
                self._count_lease(session, lent.key)
        return None

    def _acknowledge(self, session: _Session, number: int) -> None:
        """Record that the forwarder has all updates up to this number."""
        for key in list(session.unacknowledged):
            grant, lend_request = session.grants.get(key), session.lend_requests.get(key)
            if grant is not None and (grant.superseded or number >= grant.update_number):
                grant.acknowledge(number)
                self._changed[key] = None
            if lend_request is not None and number >= lend_request[1]:
                self._count_lease(session, key)
                self._changed[key] = None
            if (grant is None or not grant.superseded and number >= grant.update_number) and (
                lend_request is None or number >= lend_request[1]
            ):
                session.unacknowledged.pop(key, None)

    def _change_forwarder_set(self, key: str, resource: _Resource, first: int, count: int) -> None:
        """Change the set of forwarders of a resource; leases of the old set are released when no grant needs them."""
        resource.first_forwarder, resource.forwarder_count = first, count
        self._changed[key] = None

    def _count_lease(self, session: _Session, key: str) -> None:
        """Count what a forwarder lends, never more than was requested.

        What it reported before it had the latest lend request counts only where it is less than the amount counted
        so far, as that request may have released the rest.
        """
        amount, since = session.lend_requests.get(key, (0.0, 0))
        lease = min(session.reported.get(key, 0.0), amount)
        if session.acked_update < since:
            lease = min(lease, session.leases.get(key, 0.0))
        if abs(lease - session.leases.get(key, 0.0)) > NEGLIGIBLE_AMOUNT:
            session.leases[key] = lease
            self._changed[key] = None

    def forwarder_left(self, now: float, name: str) -> None:
        """End a forwarder's session: its leases no longer count, its grants do until they have surely expired."""
        session = self._sessions.pop(name, None)
        if session is None:
            return
        del self._by_index[session.index]
        session.is_live = False
        outlived = session.grants if session.grants_expire_at(self._terms.max_grant_life) > now else {}
        for key in {**session.needs, **session.lend_requests, **session.grants}:
            self._changed[key] = None
            if key not in outlived:
                self._resources[key].sessions.pop(session, None)
        if outlived:
            self._ended_sessions.append(session)

    # Decisions.

    def pending_updates(self, now: float, blocked: Container[str] = ()) -> list[tuple[str, PlannerUpdate]]:
        """Return the updates to send now, by forwarder. Call it at each report and each interval.

        Forwarders in `blocked` do not read what they are sent: their changes are collected until they do.
        """
        self._update_expiries(now)
        changed, self._changed = self._changed, {}
        if now - self._rechecked_at >= self._terms.interval:  # charged amounts may have expired
            self._rechecked_at = now
            changed |= self._unmet
        for key in changed:
            if key in self._resources:
                self._rebalance(now, key)
        if now - self._capacities_updated_at >= self._terms.interval:
            self._capacities_updated_at = now
            self._update_capacities(now)
        updates = []
        for session in self._sessions.values():
            if session.name not in blocked and self._is_update_due(now, session):
                updates.append((session.name, self._make_update(now, session)))
                while session.changed_requests or session.changed_grants or session.levels or session.new_capacities:
                    updates.append((session.name, self._make_update(now, session)))
        return updates

    def _update_capacities(self, now: float) -> None:
        """Update the capacity of each worker, and mark what has changed for each forwarder that reports on it."""
        capacities = {key: worker.decide(now) for key, worker in self._worker_estimates.items()}
        for key in [key for key, worker in self._worker_estimates.items() if worker.has_timed_out(now)]:
            del self._worker_estimates[key]
        for session in self._sessions.values():
            for key in list(session.reported_workers):
                capacity, last_sent = capacities.get(key, 0.0), session.capacities.get(key, 0.0)
                if abs(capacity - last_sent) > MIN_CAPACITY_CHANGE * last_sent:
                    session.capacities[key] = capacity
                    session.new_capacities[key] = None
                if key not in self._worker_estimates:
                    del session.reported_workers[key]
                    session.capacities.pop(key, None)

    def _update_expiries(self, now: float) -> None:
        """Find leases that have become too short or long enough to back grants, and grants that have expired."""
        for session in self._sessions.values():
            usable = self._leases_outlast_grants(now, session)
            if usable != session.usable:
                session.usable = usable
                self._changed.update(dict.fromkeys(session.leases))
        remaining = []
        for session in self._ended_sessions:
            if session.grants_expire_at(self._terms.max_grant_life) > now:
                remaining.append(session)
                continue
            for key in session.grants:
                self._resources[key].sessions.pop(session, None)
                self._changed[key] = None
        self._ended_sessions = remaining

    def _leases_outlast_grants(self, now: float, session: _Session) -> bool:
        """Return whether a forwarder's leases outlast a grant that is made from them now."""
        return session.echoed_stamp + self._terms.min_lease_life >= now + self._terms.max_grant_life

    def _charged_total(self, now: float, resource: _Resource, key: str) -> float:
        """Return the total of a resource that may be in use by grants."""
        total = 0.0
        for session in resource.sessions:
            grant = session.grants.get(key)
            if grant is not None:
                total += grant.charge(now, session.is_live, session.grants_expire_at(self._terms.max_grant_life))
        return total

    def _usable_leases(self, resource: _Resource, key: str) -> float:
        """Return the total of the leases of a resource that can back grants."""
        return sum(session.leases.get(key, 0.0) for session in resource.sessions if session.is_live and session.usable)

    def _rebalance(self, now: float, key: str) -> None:
        """Bring the grants and lend requests of a resource closer to its target shares."""
        resource = self._resources[key]
        owned = 1.0 / resource.forwarder_count
        members = [
            session
            for n in range(resource.forwarder_count)
            if (session := self._by_index.get((resource.first_forwarder + n) % self._forwarders)) is not None
        ]
        shares = targets(
            [session.needs.get(key, 0.0) for session in members], [owned] * len(members), MIN_KEPT_FRACTION
        )
        # Sessions that are no longer in the set are to have nothing beyond the owned share.
        wants = dict.fromkeys((session for session in resource.sessions if session.is_live), owned)
        wants.update(zip(members, shares, strict=True))
        backing = self._usable_leases(resource, key)
        # Reduce grants first: what exceeds the wanted share, then what leases no longer back.
        in_force = {
            session: session.grants[key].amount
            for session in wants
            if key in session.grants and session.grants[key].amount > 0
        }
        kept = {
            session: self._rounded(amount, min(amount, max(0.0, wants[session] - owned)))
            for session, amount in in_force.items()
        }
        if (total := sum(kept.values())) > backing + NEGLIGIBLE_AMOUNT:
            kept = {session: amount * backing / total for session, amount in kept.items()}
        for session, amount in kept.items():
            if amount < in_force[session] - NEGLIGIBLE_AMOUNT:
                self._set_grant(session, key, amount)
        self._raise_grants(now, resource, key, wants, owned, backing)
        self._update_lend_requests(resource, key, wants, owned, backing - self._charged_total(now, resource, key))
        if self._deficits(wants, key, owned):
            self._unmet[key] = None
        else:
            self._unmet.pop(key, None)
        self._remove_unused(resource, key)

    def _raise_grants(
        self, now: float, resource: _Resource, key: str, wants: dict[_Session, float], owned: float, backing: float
    ) -> None:
        """Grant what is free to sessions with a deficit, in proportion to it.

        An amount that a forwarder is still charged with for an earlier, larger grant costs nothing and can be granted
        again at once. Nothing is granted while more may be in use than usable leases cover, as that would renew
        grants that have to expire.
        """
        free = backing - self._charged_total(now, resource, key)
        if free < -NEGLIGIBLE_AMOUNT:
            return
        deficits = self._deficits(wants, key, owned)
        charged = {
            session: session.grants[key].charge(now, True, 0.0) if key in session.grants else 0.0
            for session in deficits
        }
        costs = {session: max(0.0, wants[session] - owned - charged[session]) for session in deficits}
        fraction = min(1.0, free / total) if (total := sum(costs.values())) > NEGLIGIBLE_AMOUNT else 1.0
        raised = {}
        for session, deficit in deficits.items():
            amount = min(wants[session] - owned, charged[session] + fraction * costs[session])
            before = wants[session] - owned - deficit
            if amount - before >= MIN_AMOUNT_CHANGE:
                resource.sessions[session] = None
                self._set_grant(session, key, amount)
                raised[session] = amount - before
        self._forward_levels(resource, key, raised)

    def _forward_levels(self, resource: _Resource, key: str, raised: dict[_Session, float]) -> None:
        """Pass released token bucket levels on to the sessions in `raised`, else to those with a grant."""
        if resource.quota_level <= NEGLIGIBLE_AMOUNT and resource.ceiling_level <= NEGLIGIBLE_AMOUNT:
            return
        raised = raised or {
            session: session.grants[key].amount
            for session in resource.sessions
            if session.is_live and key in session.grants and session.grants[key].amount > 0
        }
        total = sum(raised.values())
        if total <= NEGLIGIBLE_AMOUNT:
            return
        for session, amount in raised.items():
            quota_level, ceiling_level = session.levels.get(key, (0.0, 0.0))
            session.levels[key] = (
                quota_level + resource.quota_level * amount / total,
                ceiling_level + resource.ceiling_level * amount / total,
            )
        resource.quota_level = resource.ceiling_level = 0.0

    def _deficits(self, wants: dict[_Session, float], key: str, owned: float) -> dict[_Session, float]:
        """Return the sessions whose grant is too small, with the amount that they lack."""
        deficits = {}
        for session, want in wants.items():
            grant = session.grants.get(key)
            deficit = want - owned - (grant.amount if grant is not None else 0.0)
            if deficit >= MIN_AMOUNT_CHANGE:
                deficits[session] = deficit
        return deficits

    @staticmethod
    def _rounded(before: float, after: float) -> float:
        """Return the new amount, or the old one if the change is not worth a message."""
        return before if after > 0 and abs(after - before) < MIN_AMOUNT_CHANGE else after

    def _set_grant(self, session: _Session, key: str, amount: float) -> None:
        """Change a grant, to be sent with the next update."""
        grant = session.grants.get(key)
        if grant is None:
            grant = session.grants[key] = _Grant()
        grant.change(amount, session.grants_expire_at(self._terms.max_grant_life))
        session.changed_grants[key] = None
        session.unacknowledged[key] = None

    def _update_lend_requests(
        self, resource: _Resource, key: str, wants: dict[_Session, float], owned: float, free: float
    ) -> None:
        """Request leases for what others need, and release leases that are not needed and surely not in use.

        A lease that no longer outlasts a grant backs no new one, but may still back earlier grants: it is released
        only if the other leases cover all that may be in use.
        """
        released: dict[_Session, float] = {}
        for session, want in wants.items():
            target = max(0.0, owned - want)
            amount = session.lend_requests.get(key, (0.0, 0))[0]
            lease = session.leases.get(key, 0.0)
            if target < amount - NEGLIGIBLE_AMOUNT:
                if lease > target and session.usable:
                    freed = max(0.0, min(lease - target, free))
                    free -= freed
                    target = lease - freed
                elif lease > target and free < -NEGLIGIBLE_AMOUNT:
                    target = lease
                target = self._rounded(amount, target)
            elif target - amount < MIN_AMOUNT_CHANGE:
                continue
            if abs(target - amount) > NEGLIGIBLE_AMOUNT:
                resource.sessions[session] = None
                session.lend_requests[key] = (target, NOT_YET_SENT)
                session.changed_requests[key] = None
                session.unacknowledged[key] = None
                session.leases[key] = min(lease, target)
                if lease > target + NEGLIGIBLE_AMOUNT:
                    released[session] = lease - target
        if released:
            self._forward_levels(resource, key, released)

    def _remove_unused(self, resource: _Resource, key: str) -> None:
        """Remove sessions without a need, lease or grant of a resource, and the resource after the last of them."""
        for session in list(resource.sessions):
            grant, lend_request = session.grants.get(key), session.lend_requests.get(key)
            if grant is not None and grant.is_empty:
                del session.grants[key]
                grant = None
            if lend_request is not None and not lend_request[0] and session.acked_update >= lend_request[1]:
                for table in (session.lend_requests, session.reported, session.leases):
                    table.pop(key, None)
                lend_request = None
            if not session.needs.get(key):
                session.needs.pop(key, None)
                if grant is None and lend_request is None:
                    resource.sessions.pop(session, None)
        if not resource.sessions:
            self._resources.pop(key, None)
            self._unmet.pop(key, None)

    # Updates to forwarders.

    def _is_update_due(self, now: float, session: _Session) -> bool:
        """Return whether there are changes to send, or leases and grants to renew after an interval."""
        if session.changed_requests or session.changed_grants or session.levels or session.new_capacities:
            return True
        busy = (
            session.capacities
            or any(grant.amount for grant in session.grants.values())
            or any(amount for amount, _ in session.lend_requests.values())
        )
        return busy and now - session.sent_at >= self._terms.interval

    def _make_update(self, now: float, session: _Session) -> PlannerUpdate:
        """Make the next update with as many of the changes as a message may have."""
        session.last_update_number += 1
        session.sent_at = now
        max_entries = self._terms.entries
        grants: list[Amount] = []
        lend_requests: list[LendRequest] = []
        while session.changed_grants and len(grants) < max_entries:
            key, _ = session.changed_grants.popitem()
            if (grant := session.grants.get(key)) is not None:
                grant.update_number = session.last_update_number
                grants.append(Amount(key, grant.amount))
        while session.changed_requests and len(grants) + len(lend_requests) < max_entries:
            key, _ = session.changed_requests.popitem()
            if (lend_request := session.lend_requests.get(key)) is not None and (
                resource := self._resources.get(key)
            ) is not None:
                session.lend_requests[key] = (lend_request[0], session.last_update_number)
                lend_requests.append(LendRequest(key, resource.forwarder_count, lend_request[0]))
        levels: list[BucketLevels] = []
        while session.levels and len(levels) < max_entries:
            key, (quota_level, ceiling_level) = session.levels.popitem()
            levels.append(BucketLevels(key, min(1.0, quota_level), min(1.0, ceiling_level)))
        capacities: list[WorkerCapacity] = []
        while session.new_capacities and len(capacities) < max_entries:
            key, _ = session.new_capacities.popitem()
            capacities.append(WorkerCapacity(key, min(MAX_LOAD_VALUE, session.capacities.get(key, 0.0))))
        return PlannerUpdate(
            self.shard,
            self.epoch,
            session.session_id,
            session.last_update_number,
            session.last_report_number,
            now,
            tuple(lend_requests),
            tuple(grants),
            tuple(levels),
            tuple(capacities),
        )

    # Status.

    def granted(self, now: float) -> dict[str, tuple[int, float]]:
        """Return by forwarder: the number of grants that may be in use, and their sum in units of whole resources."""
        totals: dict[str, tuple[int, float]] = {}
        for session in [*self._sessions.values(), *self._ended_sessions]:
            charges = [
                grant.charge(now, session.is_live, session.grants_expire_at(self._terms.max_grant_life))
                for grant in session.grants.values()
            ]
            count, total = totals.get(session.name, (0, 0.0))
            totals[session.name] = count + sum(charge > 0 for charge in charges), total + sum(charges)
        return totals

    def ages(self, now: float) -> dict[str, float]:
        """Return by connected forwarder: seconds since its latest report."""
        return {session.name: now - session.last_report_at for session in self._sessions.values()}

    def workers(self, now: float) -> dict[str, dict[str, float]]:
        """Return by worker: its capacity and load, see `Estimate.shown`."""
        return {key: worker.shown(now) for key, worker in self._worker_estimates.items()}

    @property
    def resource_count(self) -> int:
        """The number of resources in the ledger."""
        return len(self._resources)
