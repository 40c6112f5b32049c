"""Tests of the planner's ledger: gaps, contradictory sets, too many needs, and which updates are sent."""

import pytest

from micagate.planning import ledger as ledger_module
from micagate.planning.holder import Holder, ResourceNeed
from micagate.planning.ledger import Ledger
from micagate.planning.messages import Need, Report, RestartSession
from micagate.planning.terms import Terms

TERMS = Terms(shards=1)


def report(number=1, session=1, ack=0, needs=(), **more):
    return Report(0, 1, session, number, ack, 0.0, tuple(needs), **more)


def need(key="k", amount=0.9, first=0, count=2):
    return Need(key, first, count, amount)


class Pair:
    """A ledger and two holders that exchange messages without delay."""

    def __init__(self):
        self.now = 0.0
        self.ledger = Ledger(TERMS, 0, 1, 2, 0.0)
        self.holders = [Holder(TERMS, n, 2, -1e6, 1 + 100 * n) for n in range(2)]
        for holder in self.holders:
            holder.planner_elected(0.0, "p", 0, 1)

    def want(self, *needs):
        for holder, amount in zip(self.holders, needs, strict=True):
            holder.update_needs(self.now, [ResourceNeed("k", 0, 2, amount)])

    def step(self, seconds=0.5):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for n, holder in enumerate(self.holders):
                holder.share_updates(self.now)
                for _, message in holder.reports(self.now):
                    restart = self.ledger.report(self.now, f"f{n}", n, message)
                    if restart is not None:
                        holder.restart_session(self.now, "p", 0, restart.session)
            for name, update in self.ledger.pending_updates(self.now):
                self.holders[int(name[1:])].receive_update(self.now, "p", update)

    def shares(self):
        return [round(holder.share(self.now, "k", 2), 3) for holder in self.holders]


def test_a_gap_or_unknown_session_restarts_the_session_and_a_duplicate_is_ignored():
    ledger = Ledger(TERMS, 0, 1, 2, 0.0)
    assert ledger.report(0.0, "f0", 0, report(number=2)) == RestartSession(0, 1)
    assert ledger.report(0.0, "f0", 0, report(number=1)) is None
    assert ledger.report(0.0, "f0", 0, report(number=1)) is None
    assert ledger.report(0.0, "f0", 0, report(number=3)) == RestartSession(0, 1)
    assert ledger.report(0.0, "f0", 0, report(number=1, ack=7)) == RestartSession(
        0, 1
    )  # acknowledges an update that was never sent


def test_a_lease_returns_within_a_second_when_the_lender_needs_it():
    pair = Pair()
    pair.want(0.9, 0.0)
    pair.step()
    assert pair.shares() == [0.95, 0.05]
    pair.want(0.9, 0.9)
    pair.step(1.0)
    assert pair.shares() == [0.5, 0.5]
    pair.want(0.0, 0.0)
    pair.step(2.0)
    assert pair.shares() == [0.5, 0.5] and pair.ledger.resource_count == 0  # and the resource is removed


def test_a_disconnected_forwarder_is_charged_until_its_grants_expire():
    pair = Pair()
    pair.want(0.9, 0.0)
    pair.step()
    pair.ledger.forwarder_left(pair.now, "f0")
    assert pair.ledger.granted(pair.now)["f0"][1] == pytest.approx(0.45)
    assert "f0" not in pair.ledger.ages(pair.now)
    pair.ledger.pending_updates(pair.now + TERMS.max_grant_life + 0.1)
    assert "f0" not in pair.ledger.granted(pair.now + TERMS.max_grant_life + 0.1)


def test_needs_with_a_different_forwarder_set_are_rejected_and_counted():
    ledger = Ledger(TERMS, 0, 1, 3, 0.0)
    ledger.report(0.0, "f0", 0, report(needs=[need(count=2)]))
    ledger.report(0.0, "f1", 1, report(session=2, needs=[need(count=3)]))
    ledger.report(0.0, "f2", 2, report(session=3, needs=[need("other", count=2)]))  # not in that set
    assert ledger.mismatched == 2


def test_needs_beyond_the_limit_of_a_forwarder_are_rejected_and_counted(monkeypatch):
    monkeypatch.setattr(ledger_module, "MAX_NEEDS_PER_FORWARDER", 10)
    ledger = Ledger(TERMS, 0, 1, 2, 0.0)
    ledger.report(0.0, "f0", 0, report(needs=[need(f"k{n}") for n in range(25)]))
    assert ledger.resource_count == 10 and ledger.rejected_needs == 15
    ledger.report(0.1, "f0", 0, report(2, needs=[need("k3", 0.4)]))  # a known need may change
    assert ledger.rejected_needs == 15


def test_an_index_claimed_by_two_forwarders_belongs_to_the_later_one():
    ledger = Ledger(TERMS, 0, 1, 2, 0.0)
    ledger.report(0.0, "f0", 0, report(needs=[need()]))
    ledger.report(0.0, "g0", 0, report(session=9, needs=[need()]))
    assert set(ledger.ages(0.0)) == {"g0"}
