"""Tests of write-ahead marks: no crash lets a ceiling be exceeded, and little of it is lost."""

import pytest

from micagate import Plan
from micagate.quotas import Quotas
from micagate.recovery.high_water_mark import HighWaterMark
from micagate.recovery.write_ahead import MAX_MARKS_PER_STEP, UNMARKED_SPENDABLE_FRACTION, HighWaterMarks, default_mark
from rig.crash_recovery import TOLERANCE, Variant, play

PLAN = Plan("capped", rate=100.0, burst=100.0, ceiling_rate=12.0, ceiling_capacity=48.0)
FREE = Plan("free", rate=3.0, burst=9.0)


def make_quotas(now, persisted=None, before=None):
    quotas = Quotas(now, None, 100, "x")
    quotas.ceiling_high_water_marks = HighWaterMarks(now, persisted, before)
    return quotas


def mark(level, at, top=16.0, rate=4.0):
    return HighWaterMark("c/capped/a", level, at, top, rate)


def mark_near_balance(account, spendable=0.0):
    """Return a mark that leaves only `spendable` units of the account's balance to spend."""
    return HighWaterMark(
        account.key, account.ceiling_balance - spendable, account.updated_at, account.ceiling_balance - spendable, 0.0
    )


@pytest.mark.parametrize("part", range(4))
def test_no_ceiling_is_exceeded_under_any_schedule_of_crashes(part):
    sent = crashes = 0
    for seed in range(part * 260, (part + 1) * 260):
        result = play(seed, seconds=6.0)
        assert result.excess <= TOLERANCE, seed
        sent, crashes = sent + result.admitted, crashes + result.crashes
    assert sent > 10_000 and crashes > 1000


@pytest.mark.parametrize("variant", [variant for variant in Variant if variant is not Variant.NONE])
def test_the_schedules_find_a_missing_rule(variant):
    assert any(play(seed, variant).excess > TOLERANCE for seed in range(150))


def test_a_start_without_persisted_state_begins_empty_and_refills():
    quotas = make_quotas(100.0)
    account = quotas.account(100.5, "a", PLAN, 3)
    assert account.ceiling_balance == pytest.approx(2.0) and account.ceiling_high_water_mark.level_at(100.5) == 0.0
    assert quotas.ceiling_allows(account, 2.0, False) and not quotas.ceiling_allows(account, 2.1, False)


def test_an_account_starts_with_its_mark_plus_the_refill_since():
    quotas = make_quotas(100.0, {"c/capped/a": mark(5.0, 98.0)}, before=50.0)
    account = quotas.account(100.0, "a", PLAN, 3)
    assert account.ceiling_balance == pytest.approx(13.0)
    assert account.ceiling_high_water_mark.level_at(100.0) == 0.0  # the default mark of this incarnation is on disk


def test_a_mark_older_than_the_last_default_mark_is_bounded_by_it():
    quotas = make_quotas(100.0, {"c/capped/a": mark(16.0, 90.0)}, before=99.0)
    assert (
        quotas.account(100.0, "a", PLAN, 3).ceiling_balance
        == pytest.approx(default_mark("", 99.0, 16.0, 4.0).level_at(100.0))
        == 0.0
    )


def test_an_account_without_a_mark_starts_with_half_of_its_share_after_a_long_run():
    quotas = make_quotas(1000.0, {}, before=10.0)
    account = quotas.account(1000.0, "a", PLAN, 3)
    assert account.ceiling_balance == pytest.approx((1 - UNMARKED_SPENDABLE_FRACTION) * 16.0)
    assert quotas.ceiling_allows(account, 8.0, False)


def test_spending_below_the_mark_on_disk_waits_and_requests_a_new_mark():
    quotas = make_quotas(100.0, {"c/capped/a": mark(16.0, 99.0)}, before=50.0)
    account = quotas.account(110.0, "a", PLAN, 3)
    account.ceiling_high_water_mark, account.largest_request = mark_near_balance(account, 1.0), 2.0
    assert not quotas.ceiling_allows(account, 2.0, False)
    (new_mark,) = quotas.ceiling_high_water_marks.next_marks(110.0)
    assert (
        new_mark.key == account.key
        and new_mark.level < account.ceiling_balance
        and not quotas.ceiling_high_water_marks.next_marks(110.0)
    )
    assert not quotas.ceiling_allows(account, 2.0, False)  # being written, not on disk
    quotas.ceiling_high_water_marks.mark_written([new_mark], quotas.accounts.get)
    assert quotas.ceiling_allows(account, 2.0, False)


def test_a_failed_mark_can_be_made_again():
    quotas = make_quotas(100.0)
    account = quotas.account(110.0, "a", PLAN, 3)
    account.ceiling_high_water_mark = mark_near_balance(account)
    quotas.ceiling_allows(account, 1.0, False)
    marks = quotas.ceiling_high_water_marks.next_marks(110.0)
    quotas.ceiling_high_water_marks.mark_failed(marks)
    assert not quotas.ceiling_allows(account, 1.0, False) and quotas.ceiling_high_water_marks.next_marks(110.0) == marks


def test_a_plan_without_a_ceiling_has_no_marks():
    quotas = make_quotas(100.0)
    account = quotas.account(101.0, "a", FREE, 3)
    assert account.ceiling_high_water_mark is None and quotas.ceiling_allows(account, 1.0, False)
    quotas.spend(account, 1.0, True)
    assert not quotas.ceiling_high_water_marks.next_marks(101.0)


def test_without_marks_accounts_are_spent_freely():
    quotas = make_quotas(100.0)
    account = quotas.account(104.0, "a", PLAN, 3)
    account.ceiling_high_water_mark = mark_near_balance(account)
    assert not quotas.ceiling_allows(account, 1.0, False)
    quotas.ceiling_high_water_marks.disable([account])
    assert (
        account.ceiling_high_water_mark is None
        and quotas.ceiling_allows(account, 1.0, False)
        and not quotas.ceiling_high_water_marks.due_accounts
    )


def test_marks_are_made_in_batches_and_redundant_ones_removed():
    quotas = make_quotas(100.0)
    for n in range(2 * MAX_MARKS_PER_STEP):
        account = quotas.account(140.0, f"{n:x}", PLAN, 3)
        account.ceiling_high_water_mark = mark_near_balance(account)
        quotas.ceiling_allows(account, 1.0, False)
    first = quotas.ceiling_high_water_marks.next_marks(140.0)
    assert len(first) == MAX_MARKS_PER_STEP
    quotas.ceiling_high_water_marks.mark_written(first, quotas.accounts.get)
    low = HighWaterMark("c/capped/low", 1.0, 140.0, 16.0, 4.0)
    quotas.ceiling_high_water_marks.mark_written([low], quotas.accounts.get)
    assert low.key not in [key for _ in range(10) for key in quotas.ceiling_high_water_marks.removable_keys(140.0, 100)]
    assert quotas.ceiling_high_water_marks.removable_keys(150.0, 100) == [low.key]  # the default mark covers it


def test_ceilings_start_empty_at_the_present_start_if_the_disk_is_outdated():
    quotas = make_quotas(100.0, {"c/capped/a": mark(16.0, 90.0)}, before=50.0)
    account = quotas.account(101.0, "a", PLAN, 3)
    assert account.ceiling_balance == 16.0
    quotas.ceiling_high_water_marks.distrust(101.0, [account])
    assert account.ceiling_balance == pytest.approx(4.0)
    assert quotas.account(101.0, "b", PLAN, 3).ceiling_balance == pytest.approx(4.0)
