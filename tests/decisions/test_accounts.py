"""The account table is bounded: regular customers keep their accounts, and evicted ones keep their deficits."""

from random import Random

import pytest

from micagate import interface
from micagate.deficit_sketch import SLOTS_PER_ROW, DeficitSketch
from micagate.quotas import Quotas
from micagate.share_transfers import apply_share_update
from rig.driver import Driver, sends

CAPPED = interface.Plan("capped", rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_capacity=40.0)
PLANS = {CAPPED.name: CAPPED}


def spend_ceiling(quotas, now, customer, times=1):
    """Send `times` requests of one unit and return how many the ceiling admits."""
    admitted_count = 0
    for _ in range(times):
        account = quotas.account(now, customer, CAPPED, 2)
        if quotas.ceiling_allows(account, 1.0, False):
            quotas.spend(account, 1.0, quotas.is_within_quota(account, 1.0, False))
            admitted_count += 1
    return admitted_count


def test_regular_customers_keep_their_accounts_in_a_flood_of_one_time_customers():
    quotas = Quotas(-60.0, max_accounts=2000)
    regular = {f"u{n}": None for n in range(900)}
    for _ in range(2):
        for name in regular:
            regular[name] = quotas.account(0.0, name, CAPPED, 2)
    for n in range(15_000):
        quotas.account(n / 1000, f"once-{n}", CAPPED, 2)
        if n % 10 == 0:
            name = f"u{n // 10 % 900}"
            assert quotas.account(n / 1000, name, CAPPED, 2) is regular[name]
        assert len(quotas.accounts) <= 2001
    assert len(quotas.accounts) > 1500  # and no more are evicted than necessary


def test_an_evicted_account_comes_back_with_its_deficit():
    quotas = Quotas(-60.0, max_accounts=100)
    assert spend_ceiling(quotas, 0.0, "c", 100) == 20  # its half of the ceiling's capacity
    for n in range(1000):
        quotas.account(0.1, f"twice-{n // 2}", CAPPED, 2)
    assert quotas.accounts.get("c/capped/c") is None
    assert spend_ceiling(quotas, 0.1, "c", 100) <= 0.1 * 10 + 1
    assert 0.9 * 10 <= spend_ceiling(quotas, 1.1, "c", 100) <= 11  # it refills as if it had not been evicted


@pytest.mark.parametrize("seed", range(4))
def test_ceilings_hold_while_accounts_are_evicted_and_recreated(seed):
    random, quotas = Random(seed), Quotas(-60.0, max_accounts=40)
    level, at, now, spent, eviction_count = 20.0, 0.0, 0.0, 0, 0
    for _ in range(1500):
        now += random.expovariate(100.0)
        if random.random() < 0.5:
            eviction_count += quotas.accounts.get("c/capped/c") is None
            admitted_count = spend_ceiling(quotas, now, "c", random.choice((1, 1, 5)))
            level, at = min(20.0, level + (now - at) * 10.0) - admitted_count, now
            spent += admitted_count
            assert level > -1e-6
        for n in range(random.choice((0, 0, 0, 30))):
            spend_ceiling(quotas, now, f"o{random.randrange(10**6)}-{n}", 3)
    assert spent > 0.5 * 10 * now and eviction_count > 20


def test_without_recorded_deficits_a_ceiling_would_be_exceeded(monkeypatch):
    monkeypatch.setattr(DeficitSketch, "deficit", lambda self, now, key: 0.0)
    quotas = Quotas(-60.0, max_accounts=40)
    admitted_count = 0
    for n in range(20):
        admitted_count += spend_ceiling(quotas, 0.0, "c", 5)
        for each in range(60):
            spend_ceiling(quotas, 0.0, f"o{n}-{each // 2}", 1)
    assert admitted_count > 3 * 20  # so the tests above would fail without the sketch


def test_accounts_with_attempts_in_flight_or_leases_are_not_evicted():
    quotas = Quotas(-60.0, max_accounts=50)
    account = quotas.account(0.0, "busy", CAPPED, 2)
    account.in_flight = 1
    key = "c/capped/lender"
    quotas.account(0.0, "lender", CAPPED, 2)
    apply_share_update(
        quotas, 0.0, interface.ShareUpdate(1, 100.0, 100.0, (interface.ResourceShare(key, 0.4, 0.0, 2),)), PLANS
    )
    lender = quotas.accounts.get(key)
    for n in range(500):
        quotas.account(0.5, f"once-{n}", CAPPED, 2)
    assert quotas.account(0.6, "busy", CAPPED, 2) is account
    assert quotas.account(0.6, "lender", CAPPED, 2) is lender


def test_concurrency_limits_hold_while_the_account_table_is_full():
    driver = Driver(max_accounts=10)
    assert sends(driver.send_request(plan="few", customer="c")[1])  # 4 over 3 gateways: one in flight here
    for n in range(100):
        driver.send_request(plan="metered", customer=f"once-{n}")
    assert not sends(driver.send_request(plan="few", customer="c")[1])


def test_a_call_refills_only_a_few_accounts(monkeypatch):
    refilled = []
    refill = Quotas.refill
    monkeypatch.setattr(
        Quotas, "refill", lambda self, now, account: (refilled.append(account), refill(self, now, account))[1]
    )
    quotas = Quotas(-60.0)
    for n in range(5000):
        quotas.account(0.0, f"c{n}", CAPPED, 2)
    del refilled[:]
    quotas.account(1000.0, "late", CAPPED, 2)  # all are idle now
    assert len(refilled) <= 5
    for _ in range(5000):
        quotas.account(1000.0, "late", CAPPED, 2)
    assert len(quotas.accounts) == 1


def test_deficits_are_never_underestimated_when_slots_collide():
    sketch, random = DeficitSketch("salt"), Random(1)
    deficits = {}
    for n in range(3 * SLOTS_PER_ROW):
        seconds = random.uniform(0.0, 10.0)
        deficits[f"k{n}"] = seconds
        sketch.add(0.0, f"k{n}", seconds)
    assert all(sketch.deficit(0.0, key) >= seconds - 1e-9 for key, seconds in deficits.items())
    sparse_sketch = DeficitSketch("salt")
    for key, seconds in list(deficits.items())[:1000]:
        sparse_sketch.add(0.0, key, seconds)
    false_positives = sum(sparse_sketch.deficit(0.0, f"new{n}") > 0 for n in range(1000))
    assert false_positives <= 10  # with few deficits, hardly any new customer collides with one


def test_sketches_with_different_salts_use_different_slots():
    assert DeficitSketch("1")._slots("c/p/x") != DeficitSketch("2")._slots("c/p/x")
