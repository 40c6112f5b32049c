"""Shares that planners move, as the decisions use them: quota, ceiling, at-once cap and cold workers."""

import math

import pytest

from micagate import interface
from micagate.quotas import Quotas
from micagate.resource_keys import customer_key, worker_key
from micagate.share_transfers import apply_share_update
from micagate.shares import BUCKET_TRANSFER_RATIO, Shares
from rig.driver import Driver, sends

CAPPED = interface.Plan("capped", rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_capacity=40.0)
PLANS = {CAPPED.name: CAPPED}
KEY = customer_key("capped", "c")


def moved(session=1, lent=0.0, borrowed=0.0, until=10.0, key=KEY, **more):
    return interface.ShareUpdate(session, until, until, (interface.ResourceShare(key, lent, borrowed),), **more)


def test_the_divisor_is_the_count_to_the_letter_where_nothing_moved():
    shares = Shares()
    assert shares.divisors(0.0, KEY, 3) == (3, 3)
    shares.apply(moved(lent=0.2))
    assert shares.divisors(0.0, KEY, 3) == pytest.approx((1 / (1 / 3 - 0.2), 1 / (1 / 3 - 0.2 * BUCKET_TRANSFER_RATIO)))
    assert shares.divisors(10.0, KEY, 3) == (3, 3)  # the end is past
    shares.apply(moved(borrowed=0.5))
    assert shares.divisors(0.0, KEY, 3) == pytest.approx((1 / (1 / 3 + 0.5), 1 / (1 / 3 + 0.5 * BUCKET_TRANSFER_RATIO)))
    shares.apply(moved(lent=1 / 3))
    assert shares.divisors(0.0, KEY, 3)[0] == math.inf
    shares.apply(interface.ShareUpdate(1, 10.0, 10.0, expired=True))
    assert not shares and shares.divisors(0.0, KEY, 3) == (3, 3)


def test_sessions_add_up_and_each_ends_by_itself():
    shares = Shares()
    shares.apply(moved(1, lent=0.1, until=5.0))
    shares.apply(moved(2, lent=0.1, until=9.0))
    assert shares.divisors(0.0, KEY, 2)[0] == pytest.approx(1 / 0.3)
    assert shares.divisors(6.0, KEY, 2)[0] == pytest.approx(1 / 0.4)


def spend(quotas, start, end, step=0.05, customer="c"):
    """Ask all the time; the units that pass the ceiling."""
    went, now = 0.0, start
    while now < end:
        account = quotas.account(now, customer, CAPPED, 2)
        if quotas.ceiling_allows(account, 1.0, False):
            quotas.spend(account, 1.0, False)
            went += 1
        now += step
    return went


def test_a_lent_ceiling_is_spent_no_more_and_a_borrowed_one_fills_at_its_rate_from_nothing():
    quotas = Quotas(-60.0)
    quotas.account(0.0, "c", CAPPED, 2)
    apply_share_update(quotas, 0.0, moved(lent=0.45, until=10.0), PLANS)
    assert spend(quotas, 0.0, 10.0) <= (0.5 - 0.45 * BUCKET_TRANSFER_RATIO) * 40 + 0.05 * 20 * 10 + 1
    assert spend(quotas, 10.0, 15.0) <= 0.05 * 40 + 0.5 * 20 * 5 + 1  # it does not come back full
    borrower = Quotas(-60.0)
    spend(borrower, 0.0, 2.0, step=0.01)  # its own part is spent
    apply_share_update(borrower, 2.0, moved(borrowed=0.45, until=10.0), PLANS)
    assert 0.95 * 20 * 4 - 5 <= spend(borrower, 2.0, 6.0, step=0.01) <= 0.95 * 20 * 4 + 5


def test_two_gateways_together_keep_the_ceiling_while_shares_go_to_and_fro():
    pair = Quotas(-60.0), Quotas(-60.0)
    spent, now, log = 0.0, 0.0, []
    for turn in range(400):
        now = turn * 0.05
        if turn % 40 == 0:
            lender, borrower = pair if turn % 80 else pair[::-1]
            until = now + 1.5
            freed = apply_share_update(lender, now, moved(1, lent=0.4, until=until), PLANS)
            apply_share_update(
                borrower,
                now,
                interface.ShareUpdate(1, until, until, (interface.ResourceShare(KEY, 0.0, 0.4),), tuple(freed)),
                PLANS,
            )
        for quotas in pair:
            for _ in range(4):
                account = quotas.account(now, "c", CAPPED, 2)
                if quotas.ceiling_allows(account, 1.0, False):
                    quotas.spend(account, 1.0, False)
                    spent += 1
        log.append((now, spent))
    for begin, before in log:
        for end, after in log:
            assert after - before <= 40 + 20 * max(0.0, end - begin) + 8 or end < begin
    assert spent > 0.75 * (40 + 20 * now)


def test_a_gateway_that_slept_past_the_end_of_what_it_borrowed_spends_none_of_it():
    quotas = Quotas(-60.0)
    quotas.account(0.0, "c", CAPPED, 2)
    apply_share_update(quotas, 0.0, moved(borrowed=0.5, until=1.5), PLANS)
    account = quotas.account(100.0, "c", CAPPED, 2)
    assert account.ceiling_balance <= 20 and account.rate_divisor == 2


def test_what_is_in_a_store_moves_with_its_share_and_nothing_is_made_anew():
    lender, borrower = Quotas(-60.0), Quotas(-60.0)
    spend(borrower, 0.0, 4.0, step=0.01)
    there = borrower.account(4.0, "c", CAPPED, 2)
    level = there.ceiling_balance
    (freed,) = apply_share_update(
        lender, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (interface.ResourceShare(KEY, 0.4, 0.0, 2),)), PLANS
    )
    moved_on = 0.4 * BUCKET_TRANSFER_RATIO  # of the stores less moves than of the rate
    assert freed.quota == pytest.approx(moved_on) and freed.ceiling == pytest.approx(moved_on)
    assert lender.account(4.0, "c", CAPPED, 2).ceiling_balance == pytest.approx((0.5 - moved_on) * 40)
    assert not apply_share_update(
        borrower, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (interface.ResourceShare(KEY, 0.0, 0.4, 2),), (freed,)), PLANS
    )
    assert there.ceiling_balance == pytest.approx(level + moved_on * 40)
    (back,) = apply_share_update(
        borrower, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (interface.ResourceShare(KEY, 0.0, 0.0, 2),)), PLANS
    )
    assert back.ceiling * 40 + there.ceiling_balance == pytest.approx(level + moved_on * 40)
    # A share that comes with more than it holds spills; a thing of an unknown plan is left.
    fills = interface.BucketLevels(KEY, 1.0, 1.0), interface.BucketLevels("c/none/c", 1.0, 1.0)
    apply_share_update(borrower, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (), fills), PLANS)
    assert there.ceiling_balance == pytest.approx(20) and there.balance == pytest.approx(10)


def test_the_slice_stands_on_the_share_and_no_cliff_comes_with_its_end():
    quotas = Quotas(-60.0)
    plan = interface.Plan("metered", rate=12.0, burst=12.0)
    key = customer_key("metered", "c")
    for second in range(6):
        account = quotas.account(second, "c", plan, 3)
        account.demand += 12.0
        apply_share_update(
            quotas,
            second,
            interface.ShareUpdate(1, second + 1.5, second + 1.5, (interface.ResourceShare(key, 0.0, 0.6),)),
            {plan.name: plan},
        )
    assert quotas.account(6.0, "c", plan, 3).local_rate >= 0.9 * 12
    before = quotas.account(6.4, "c", plan, 3).local_rate
    after = quotas.account(7.0, "c", plan, 3)
    assert (
        after.rate_divisor == 3 and after.local_rate > 0.9 * before
    )  # the last slice stands until a reading says more


def test_an_at_once_cap_follows_the_share():
    d = Driver()
    for _ in range(1):
        assert sends(d.ask(plan="few")[1])
    assert not sends(d.ask(plan="few")[1])  # 4 over 3 gateways: one
    d.give(interface.ShareUpdate(1, 100.0, 100.0, (interface.ResourceShare(customer_key("few", "c"), 0.0, 0.5),)))
    assert sends(d.ask(plan="few")[1]) and sends(d.ask(plan="few")[1])


def test_a_cold_worker_s_room_that_is_lent_is_not_used_and_what_is_borrowed_is():
    def sent(share):
        d = Driver(1, gateways=20, slow_start_duration=30.0)
        for _ in range(40):  # warm: the pace becomes known
            name, actions = d.ask("read", after=0.02)
            for worker in sends(actions):
                d.answer(name, worker, took=0.02)
        d.give(interface.WorkerList((interface.WorkerEntry("w0", zone="a", started=d.now),)))
        d.give(interface.ShareUpdate(1, 1e9, 1e9, (share,) if share else ()))
        return sum(len(sends(d.ask("read", after=0.02)[1])) for _ in range(25))

    assert sent(interface.ResourceShare(worker_key("w0"), lent=0.05)) == 0
    assert sent(interface.ResourceShare(worker_key("w0"), borrowed=0.3)) >= sent(None)


def test_a_survey_tells_what_was_asked_since_the_last_one_and_counts_from_the_first():
    d = Driver()
    d.ask(plan="metered", customer="a", units=2.0)
    assert d.give(interface.DemandQuery()) == [interface.DemandReport(())]
    d.ask(plan="metered", customer="a", units=2.0)
    d.ask(plan="metered", customer="a", units=1.0)
    d.ask(plan="free", customer="b")  # nothing is limited: nothing to share
    d.ask(plan="few", customer="a")
    (tallies,) = d.give(interface.DemandQuery())
    found = {tally.key: tally for tally in tallies.resources}
    assert set(found) == {customer_key("metered", "a"), customer_key("few", "a")}
    assert found[customer_key("metered", "a")].requested_units == 3.0
    assert (
        found[customer_key("metered", "a")].total_rate == 3.0 and found[customer_key("few", "a")].concurrency_limit == 4
    )
    assert d.give(interface.DemandQuery()) == [interface.DemandReport(())]


def test_a_survey_changes_no_decision():
    plain, asked = Driver(), Driver()
    for n in range(200):
        asked.give(interface.DemandQuery())
        for d in (plain, asked):
            name, actions = d.ask("read", plan="capped", customer=f"c{n % 5}", after=0.02)
            for worker in sends(actions):
                d.answer(name, worker, took=0.02)
        assert len(plain.gateway.quotas.accounts) == len(asked.gateway.quotas.accounts)
    assert plain.gateway._random.getstate() == asked.gateway._random.getstate()
