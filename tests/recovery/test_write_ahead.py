"""Marks ahead: no ceiling is passed over any crash, and little is lost to one."""

import pytest

from micagate import Plan
from micagate.quotas import Quotas
from micagate.recovery.high_water_mark import Mark
from micagate.recovery.write_ahead import MOST, OPEN, Marks, of_all
from rig.crash_recovery import SURE, Variant, play

PLAN = Plan("capped", rate=100.0, burst=100.0, ceiling_rate=12.0, ceiling_capacity=48.0)
FREE = Plan("free", rate=3.0, burst=9.0)


def quotas(now, kept=None, before=None):
    made = Quotas(now, None, 100, "x")
    made.ceiling_marks = Marks(now, kept, before)
    return made


def mark(level, at, top=16.0, rate=4.0):
    return Mark("c/capped/a", level, at, top, rate)


def full(account, less=0.0):
    """A mark that lets only so much of the account be spent."""
    return Mark(account.key, account.ceiling_balance - less, account.updated_at, account.ceiling_balance - less, 0.0)


@pytest.mark.parametrize("part", range(4))
def test_no_schedule_of_crashes_passes_a_ceiling(part):
    sent = crashes = 0
    for seed in range(part * 260, (part + 1) * 260):
        told = play(seed, seconds=6.0)
        assert told.excess <= SURE, seed
        sent, crashes = sent + told.sent, crashes + told.crashes
    assert sent > 10_000 and crashes > 1000


@pytest.mark.parametrize("variant", [variant for variant in Variant if variant is not Variant.NONE])
def test_a_rule_left_out_is_found(variant):
    assert any(play(seed, variant).excess > SURE for seed in range(150))


def test_a_life_with_nothing_known_begins_empty_and_may_spend_as_it_fills():
    q = quotas(100.0)
    account = q.account(100.5, "a", PLAN, 3)
    assert account.ceiling_balance == pytest.approx(2.0) and account.ceiling_mark.stands(100.5) == 0.0
    assert q.ceiling_allows(account, 2.0, False) and not q.ceiling_allows(account, 2.1, False)


def test_an_account_begins_with_what_its_mark_says_filled_since():
    q = quotas(100.0, {"c/capped/a": mark(5.0, 98.0)}, before=50.0)
    account = q.account(100.0, "a", PLAN, 3)
    assert account.ceiling_balance == pytest.approx(13.0)
    assert account.ceiling_mark.stands(100.0) == 0.0  # what this life's mark for all says is on disk


def test_a_mark_of_the_life_before_the_last_says_no_more_than_the_one_for_all_that_came_after():
    q = quotas(100.0, {"c/capped/a": mark(16.0, 90.0)}, before=99.0)
    assert (
        q.account(100.0, "a", PLAN, 3).ceiling_balance
        == pytest.approx(of_all("", 99.0, 16.0, 4.0).stands(100.0))
        == 0.0
    )


def test_an_account_with_no_mark_begins_with_half_of_its_part_after_a_long_life():
    q = quotas(1000.0, {}, before=10.0)
    account = q.account(1000.0, "a", PLAN, 3)
    assert account.ceiling_balance == pytest.approx((1 - OPEN) * 16.0)
    assert q.ceiling_allows(account, 8.0, False)


def test_spending_past_what_is_on_disk_waits_for_the_mark_and_asks_for_it():
    q = quotas(100.0, {"c/capped/a": mark(16.0, 99.0)}, before=50.0)
    account = q.account(110.0, "a", PLAN, 3)
    account.ceiling_mark, account.largest_request = full(account, 1.0), 2.0
    assert not q.ceiling_allows(account, 2.0, False)
    (made,) = q.ceiling_marks.make(110.0)
    assert made.key == account.key and made.level < account.ceiling_balance and not q.ceiling_marks.make(110.0)
    assert not q.ceiling_allows(account, 2.0, False)  # on its way, not on disk
    q.ceiling_marks.written([made], q.accounts.get)
    assert q.ceiling_allows(account, 2.0, False)


def test_a_mark_that_failed_may_be_made_again():
    q = quotas(100.0)
    account = q.account(110.0, "a", PLAN, 3)
    account.ceiling_mark = full(account)
    q.ceiling_allows(account, 1.0, False)
    made = q.ceiling_marks.make(110.0)
    q.ceiling_marks.failed(made)
    assert not q.ceiling_allows(account, 1.0, False) and q.ceiling_marks.make(110.0) == made


def test_a_plan_with_no_ceiling_has_no_marks():
    q = quotas(100.0)
    account = q.account(101.0, "a", FREE, 3)
    assert account.ceiling_mark is None and q.ceiling_allows(account, 1.0, False)
    q.spend(account, 1.0, True)
    assert not q.ceiling_marks.make(101.0)


def test_the_end_of_a_memory_lets_accounts_be_spent_as_without():
    q = quotas(100.0)
    account = q.account(104.0, "a", PLAN, 3)
    account.ceiling_mark = full(account)
    assert not q.ceiling_allows(account, 1.0, False)
    q.ceiling_marks.end([account])
    assert account.ceiling_mark is None and q.ceiling_allows(account, 1.0, False) and not q.ceiling_marks.due


def test_marks_are_made_some_at_a_time_and_those_that_say_nothing_are_forgotten():
    q = quotas(100.0)
    for n in range(2 * MOST):
        account = q.account(140.0, f"{n:x}", PLAN, 3)
        account.ceiling_mark = full(account)
        q.ceiling_allows(account, 1.0, False)
    first = q.ceiling_marks.make(140.0)
    assert len(first) == MOST
    q.ceiling_marks.written(first, q.accounts.get)
    low = Mark("c/capped/low", 1.0, 140.0, 16.0, 4.0)
    q.ceiling_marks.written([low], q.accounts.get)
    assert low.key not in [key for _ in range(10) for key in q.ceiling_marks.idle(140.0, 100)]
    assert q.ceiling_marks.idle(150.0, 100) == [low.key]  # filled above what the one for all says


def test_a_disk_that_turns_out_to_be_old_is_spent_from_the_start_of_this_life():
    q = quotas(100.0, {"c/capped/a": mark(16.0, 90.0)}, before=50.0)
    account = q.account(101.0, "a", PLAN, 3)
    assert account.ceiling_balance == 16.0
    q.ceiling_marks.distrust(101.0, [account])
    assert account.ceiling_balance == pytest.approx(4.0)
    assert q.account(101.0, "b", PLAN, 3).ceiling_balance == pytest.approx(4.0)
