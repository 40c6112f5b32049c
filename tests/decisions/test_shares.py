"""Shares that planners move, and their effect on quotas, ceilings, concurrency limits and workers in slow start."""

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


def share_update(session=1, lent=0.0, borrowed=0.0, until=10.0, key=KEY, **more):
    return interface.ShareUpdate(session, until, until, (interface.ResourceShare(key, lent, borrowed),), **more)


def test_without_leases_the_divisor_is_exactly_the_gateway_count():
    shares = Shares()
    assert shares.divisors(0.0, KEY, 3) == (3, 3)
    shares.apply(share_update(lent=0.2))
    assert shares.divisors(0.0, KEY, 3) == pytest.approx((1 / (1 / 3 - 0.2), 1 / (1 / 3 - 0.2 * BUCKET_TRANSFER_RATIO)))
    assert shares.divisors(10.0, KEY, 3) == (3, 3)  # the lease has expired
    shares.apply(share_update(borrowed=0.5))
    assert shares.divisors(0.0, KEY, 3) == pytest.approx((1 / (1 / 3 + 0.5), 1 / (1 / 3 + 0.5 * BUCKET_TRANSFER_RATIO)))
    shares.apply(share_update(lent=1 / 3))
    assert shares.divisors(0.0, KEY, 3)[0] == math.inf
    shares.apply(interface.ShareUpdate(1, 10.0, 10.0, expired=True))
    assert not shares and shares.divisors(0.0, KEY, 3) == (3, 3)


def test_leases_of_sessions_add_up_and_expire_independently():
    shares = Shares()
    shares.apply(share_update(1, lent=0.1, until=5.0))
    shares.apply(share_update(2, lent=0.1, until=9.0))
    assert shares.divisors(0.0, KEY, 2)[0] == pytest.approx(1 / 0.3)
    assert shares.divisors(6.0, KEY, 2)[0] == pytest.approx(1 / 0.4)


def spend_ceiling(quotas, start, end, step=0.05, customer="c"):
    """Send a request of one unit each `step` seconds and return how many the ceiling admits."""
    admitted_units, now = 0.0, start
    while now < end:
        account = quotas.account(now, customer, CAPPED, 2)
        if quotas.ceiling_allows(account, 1.0, False):
            quotas.spend(account, 1.0, False)
            admitted_units += 1
        now += step
    return admitted_units


def test_a_lent_ceiling_is_not_spent_and_a_borrowed_one_fills_from_empty_at_its_rate():
    quotas = Quotas(-60.0)
    quotas.account(0.0, "c", CAPPED, 2)
    apply_share_update(quotas, 0.0, share_update(lent=0.45, until=10.0), PLANS)
    assert spend_ceiling(quotas, 0.0, 10.0) <= (0.5 - 0.45 * BUCKET_TRANSFER_RATIO) * 40 + 0.05 * 20 * 10 + 1
    # An expired lease does not return a full bucket.
    assert spend_ceiling(quotas, 10.0, 15.0) <= 0.05 * 40 + 0.5 * 20 * 5 + 1
    borrower = Quotas(-60.0)
    spend_ceiling(borrower, 0.0, 2.0, step=0.01)  # its own share is spent
    apply_share_update(borrower, 2.0, share_update(borrowed=0.45, until=10.0), PLANS)
    assert 0.95 * 20 * 4 - 5 <= spend_ceiling(borrower, 2.0, 6.0, step=0.01) <= 0.95 * 20 * 4 + 5


def test_two_gateways_together_keep_the_ceiling_while_shares_move_back_and_forth():
    pair = Quotas(-60.0), Quotas(-60.0)
    spent, now, log = 0.0, 0.0, []
    for turn in range(400):
        now = turn * 0.05
        if turn % 40 == 0:
            lender, borrower = pair if turn % 80 else pair[::-1]
            expiry = now + 1.5
            released = apply_share_update(lender, now, share_update(1, lent=0.4, until=expiry), PLANS)
            apply_share_update(
                borrower,
                now,
                interface.ShareUpdate(1, expiry, expiry, (interface.ResourceShare(KEY, 0.0, 0.4),), tuple(released)),
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


def test_a_gateway_suspended_past_the_expiry_of_a_lease_spends_none_of_it():
    quotas = Quotas(-60.0)
    quotas.account(0.0, "c", CAPPED, 2)
    apply_share_update(quotas, 0.0, share_update(borrowed=0.5, until=1.5), PLANS)
    account = quotas.account(100.0, "c", CAPPED, 2)
    assert account.ceiling_balance <= 20 and account.rate_divisor == 2


def test_bucket_levels_move_with_their_share_and_no_units_are_created():
    lender, borrower = Quotas(-60.0), Quotas(-60.0)
    spend_ceiling(borrower, 0.0, 4.0, step=0.01)
    borrower_account = borrower.account(4.0, "c", CAPPED, 2)
    level = borrower_account.ceiling_balance
    (released,) = apply_share_update(
        lender, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (interface.ResourceShare(KEY, 0.4, 0.0, 2),)), PLANS
    )
    moved_share = 0.4 * BUCKET_TRANSFER_RATIO  # less of the bucket capacity moves than of the rate
    assert released.quota == pytest.approx(moved_share) and released.ceiling == pytest.approx(moved_share)
    assert lender.account(4.0, "c", CAPPED, 2).ceiling_balance == pytest.approx((0.5 - moved_share) * 40)
    assert not apply_share_update(
        borrower,
        4.0,
        interface.ShareUpdate(1, 9.0, 9.0, (interface.ResourceShare(KEY, 0.0, 0.4, 2),), (released,)),
        PLANS,
    )
    assert borrower_account.ceiling_balance == pytest.approx(level + moved_share * 40)
    (returned,) = apply_share_update(
        borrower, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (interface.ResourceShare(KEY, 0.0, 0.0, 2),)), PLANS
    )
    assert returned.ceiling * 40 + borrower_account.ceiling_balance == pytest.approx(level + moved_share * 40)
    # Levels above the capacity of the share are dropped, and a resource of an unknown plan is ignored.
    bucket_levels = interface.BucketLevels(KEY, 1.0, 1.0), interface.BucketLevels("c/none/c", 1.0, 1.0)
    apply_share_update(borrower, 4.0, interface.ShareUpdate(1, 9.0, 9.0, (), bucket_levels), PLANS)
    assert borrower_account.ceiling_balance == pytest.approx(20) and borrower_account.balance == pytest.approx(10)


def test_the_local_rate_follows_the_share_and_does_not_drop_when_the_lease_expires():
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
    # The last local rate stays until a new reading.
    assert after.rate_divisor == 3 and after.local_rate > 0.9 * before


def test_a_concurrency_limit_follows_the_share():
    driver = Driver()
    for _ in range(1):
        assert sends(driver.send_request(plan="few")[1])
    assert not sends(driver.send_request(plan="few")[1])  # 4 over 3 gateways: one
    driver.give(interface.ShareUpdate(1, 100.0, 100.0, (interface.ResourceShare(customer_key("few", "c"), 0.0, 0.5),)))
    assert sends(driver.send_request(plan="few")[1]) and sends(driver.send_request(plan="few")[1])


def test_lent_capacity_of_a_worker_in_slow_start_is_not_used_and_borrowed_capacity_is():
    def sent_count(share):
        driver = Driver(1, gateways=20, slow_start_duration=30.0)
        for _ in range(40):  # warm, so that the rate of responses becomes known
            name, actions = driver.send_request("read", after=0.02)
            for worker in sends(actions):
                driver.answer(name, worker, took=0.02)
        driver.give(interface.WorkerList((interface.WorkerEntry("w0", zone="a", started=driver.now),)))
        driver.give(interface.ShareUpdate(1, 1e9, 1e9, (share,) if share else ()))
        return sum(len(sends(driver.send_request("read", after=0.02)[1])) for _ in range(25))

    assert sent_count(interface.ResourceShare(worker_key("w0"), lent=0.05)) == 0
    assert sent_count(interface.ResourceShare(worker_key("w0"), borrowed=0.3)) >= sent_count(None)


def test_a_demand_report_covers_the_time_since_the_last_query_and_the_first_starts_counting():
    driver = Driver()
    driver.send_request(plan="metered", customer="a", units=2.0)
    assert driver.give(interface.DemandQuery()) == [interface.DemandReport(())]
    driver.send_request(plan="metered", customer="a", units=2.0)
    driver.send_request(plan="metered", customer="a", units=1.0)
    driver.send_request(plan="free", customer="b")  # an unlimited plan has nothing to share
    driver.send_request(plan="few", customer="a")
    (report,) = driver.give(interface.DemandQuery())
    demand_by_key = {resource.key: resource for resource in report.resources}
    assert set(demand_by_key) == {customer_key("metered", "a"), customer_key("few", "a")}
    assert demand_by_key[customer_key("metered", "a")].requested_units == 3.0
    assert (
        demand_by_key[customer_key("metered", "a")].total_rate == 3.0
        and demand_by_key[customer_key("few", "a")].concurrency_limit == 4
    )
    assert driver.give(interface.DemandQuery()) == [interface.DemandReport(())]


def test_a_demand_query_changes_no_decision():
    unqueried, queried = Driver(), Driver()
    for n in range(200):
        queried.give(interface.DemandQuery())
        for driver in (unqueried, queried):
            name, actions = driver.send_request("read", plan="capped", customer=f"c{n % 5}", after=0.02)
            for worker in sends(actions):
                driver.answer(name, worker, took=0.02)
        assert len(unqueried.gateway.quotas.accounts) == len(queried.gateway.quotas.accounts)
    assert unqueried.gateway._random.getstate() == queried.gateway._random.getstate()
