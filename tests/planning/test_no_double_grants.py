"""Nothing is handed out twice, under thousands of drawn schedules, and a broken rule is found out by them.

`python -m benchmarks.planners` plays more schedules than this test, which CI runs.
"""

import math

import pytest

from micagate.planning.holder import Holder, LeaseSession
from micagate.planning.ledger import Ledger, _Grant
from micagate.planning.terms import Terms
from micagate.resource_keys import customer_key
from rig.planning import PLAN, World

SCHEDULES, SECONDS = 250, 20.0
SLACK = 1e-6
THING = customer_key(PLAN.name, "c0")


def test_no_share_is_handed_out_twice_whatever_fails():
    moved = 0
    for seed in range(SCHEDULES):
        seen = World(seed).run(SECONDS)
        assert seen.excess <= SLACK, (
            f"seed {seed}: {seen.excess:.3f} over the whole at {seen.when:.2f} s: "
            f"{[f for f in seen.faults if float(f.split()[0]) <= seen.when]}"
        )
        assert seen.overspent <= SLACK, f"seed {seed}: {seen.overspent:.2f} units over a ceiling"
        moved += seen.moved > 0.1
    assert moved > 0.7 * SCHEDULES  # shares did move: the rule is not kept by doing nothing


def test_the_stores_are_spent_well_too():
    spent = [World(seed).run(SECONDS).spent for seed in range(20)]
    assert sum(spent) > 0.5 * 20 * 2 * SECONDS * PLAN.ceiling_rate * 0.5


def test_a_schedule_is_the_same_for_the_same_seed():
    assert World(7).run(SECONDS) == World(7).run(SECONDS)


def test_with_nothing_wrong_needs_are_met():
    world = World(3, calm=True)
    world.random.choice = lambda options: options[0]  # no needs but those below
    world.planners[0].own(world._next())
    world.forwarders[0].want({THING: 0.9})
    for _ in range(100):
        world.clock.run(world.clock.now + 0.01)
    assert world.forwarders[0].share(THING) > 0.85
    world.forwarders[0].want({THING: 0.0})
    world.forwarders[1].want({THING: 0.9})  # all its traffic goes to another forwarder
    for _ in range(100):
        world.clock.run(world.clock.now + 0.01)
    assert world.forwarders[1].share(THING) > 0.85 and world.forwarders[0].share(THING) < 0.1


class NoMargin(Ledger):
    """Grants from a loan up to its end, though what is granted lives on after it."""

    def _outlasts(self, now, session):
        return session.echo + self._t.loan >= now


class Forgetful(Ledger):
    """Counts what a session that has ended had granted as free at once."""

    def forwarder_left(self, now, name):
        session = self._sessions.get(name)
        if session is not None:
            session.sent_at = -math.inf
        super().forwarder_left(now, name)


class Hasty(Ledger):
    """Frees and grants anew what a forwarder has not yet let go of."""

    def pending_updates(self, now):
        for session in self._sessions.values():
            for grant in session.grants.values():
                grant.old.clear()
        return super().pending_updates(now)


class TakesBack(Holder):
    """Takes its part back when a session ends, without waiting until its promise is over."""

    def _end(self, shard):
        session = self._current[shard]
        session.lent_until = -math.inf
        super()._end(shard)


class NoWaitAtStart(Holder):
    """Uses its part at once, though an earlier life may have lent it."""

    def ready(self, now):
        return True


class LendsTwice(Holder):
    """Lends to a new planner what it still has promised to the one before."""

    def _lent(self, now, key, but=None):
        return (
            max((s.lent.get(key, 0.0) for s in self._sessions if s is not but and now < s.lent_until), default=0.0)
            if but is None
            else 0.0
        )


class FromArrival(Holder):
    """Counts a grant's life from when it came, not from when it was asked for."""

    def receive_update(self, now, planner, word):
        session = self._current.get(word.shard)
        taken = super().receive_update(now, planner, word)
        if taken and session is not None:
            session.borrowed_until = now + self._t.life
        return taken


@pytest.mark.parametrize(
    ("changed", "tight"),
    [
        ({"ledger": NoMargin}, False),
        ({"ledger": Forgetful}, False),
        ({"ledger": Hasty}, False),
        ({"holder": TakesBack}, False),
        ({"holder": NoWaitAtStart}, False),
        ({"holder": LendsTwice}, False),
        ({"holder": FromArrival}, True),
    ],
    ids=lambda value: next(iter(value.values())).__name__ if isinstance(value, dict) else "",
)
def test_a_ledger_or_holder_that_does_not_wait_is_found_out(changed, tight):
    # The last is found where the margin that late reports have is thin, as it may be set.
    terms = Terms(life=1.5, term=1.9) if tight else Terms()
    for seed in range(SCHEDULES):
        if World(seed, terms=terms, **changed).run(SECONDS).excess > SLACK:
            return
    pytest.fail("not found out")


def test_the_thin_margin_itself_holds():
    for seed in range(SCHEDULES // 2):
        assert World(seed, terms=Terms(life=1.5, term=1.9)).run(SECONDS).excess <= SLACK, seed


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({"life": 0.3}, "life"),
        ({"term": 1.1}, "term"),
        ({"drift": 0.5}, "drift"),
        ({"drift": math.nan}, "drift"),
        ({"entries": 0}, "entries"),
        ({"life": "x"}, "life"),
        ({"interval": -1.0}, "interval"),
    ],
)
def test_terms_that_could_not_hold_are_turned_away_by_name(changes, why):
    with pytest.raises(ValueError, match=why):
        Terms(**changes)


def test_a_grant_in_force_counts_though_the_planner_slept_past_its_end():
    grant = _Grant()
    grant.change(0.5, -math.inf)
    assert grant.charge(100.0, live=True, ends=50.0) == 0.5
    assert grant.charge(100.0, live=False, ends=50.0) == 0.0


def test_an_answer_to_an_unknown_report_renews_nothing():
    session = LeaseSession("p", 0, 1, 1, 0.0)
    session.asked(5.0, 1)
    assert session.answered(1) == 5.0 and session.answered(99) == -math.inf
