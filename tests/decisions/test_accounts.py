"""Accounts are bounded by a number; usual customers keep theirs, and one that was let go is not fresh."""

from random import Random

import pytest

from micagate import interface
from micagate.deficit_sketch import SLOTS_PER_ROW, DeficitSketch
from micagate.quotas import Quotas
from micagate.share_transfers import apply_share_update
from rig.driver import Driver, sends

CAPPED = interface.Plan("capped", rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_capacity=40.0)
PLANS = {CAPPED.name: CAPPED}


def spend(quotas, now, customer, times=1):
    """How many of so many units pass the ceiling."""
    went = 0
    for _ in range(times):
        account = quotas.account(now, customer, CAPPED, 2)
        if quotas.ceiling_allows(account, 1.0, False):
            quotas.spend(account, 1.0, quotas.is_within_quota(account, 1.0, False))
            went += 1
    return went


def test_usual_customers_keep_their_accounts_beside_a_flood_of_those_that_come_once():
    quotas = Quotas(-60.0, max_accounts=2000)
    usual = {f"u{n}": None for n in range(900)}
    for _ in range(2):
        for name in usual:
            usual[name] = quotas.account(0.0, name, CAPPED, 2)
    for n in range(15_000):
        quotas.account(n / 1000, f"once-{n}", CAPPED, 2)
        if n % 10 == 0:
            name = f"u{n // 10 % 900}"
            assert quotas.account(n / 1000, name, CAPPED, 2) is usual[name]
        assert len(quotas.accounts) <= 2001
    assert len(quotas.accounts) > 1500  # and no more are let go than must be


def test_an_account_that_was_let_go_is_not_fresh_when_it_comes_back():
    quotas = Quotas(-60.0, max_accounts=100)
    assert spend(quotas, 0.0, "c", 100) == 20  # its half of the ceiling's depth
    for n in range(1000):
        quotas.account(0.1, f"twice-{n // 2}", CAPPED, 2)
    assert quotas.accounts.get("c/capped/c") is None
    assert spend(quotas, 0.1, "c", 100) <= 0.1 * 10 + 1
    assert 0.9 * 10 <= spend(quotas, 1.1, "c", 100) <= 11  # it fills as if it had been here


@pytest.mark.parametrize("seed", range(4))
def test_ceilings_hold_however_accounts_come_and_go(seed):
    random, quotas = Random(seed), Quotas(-60.0, max_accounts=40)
    level, at, now, spent, gone = 20.0, 0.0, 0.0, 0, 0
    for _ in range(1500):
        now += random.expovariate(100.0)
        if random.random() < 0.5:
            gone += quotas.accounts.get("c/capped/c") is None
            went = spend(quotas, now, "c", random.choice((1, 1, 5)))
            level, at = min(20.0, level + (now - at) * 10.0) - went, now
            spent += went
            assert level > -1e-6
        for n in range(random.choice((0, 0, 0, 30))):
            spend(quotas, now, f"o{random.randrange(10**6)}-{n}", 3)
    assert spent > 0.5 * 10 * now and gone > 20


def test_a_table_that_forgets_debts_lets_a_ceiling_be_passed(monkeypatch):
    monkeypatch.setattr(DeficitSketch, "deficit", lambda self, now, key: 0.0)
    quotas = Quotas(-60.0, max_accounts=40)
    went = 0
    for n in range(20):
        went += spend(quotas, 0.0, "c", 5)
        for each in range(60):
            spend(quotas, 0.0, f"o{n}-{each // 2}", 1)
    assert went > 3 * 20  # what the tests above would find


def test_what_has_something_out_or_lent_is_not_let_go():
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


def test_at_once_caps_hold_in_a_gateway_whose_table_is_full():
    d = Driver(max_accounts=10)
    assert sends(d.ask(plan="few", customer="c")[1])  # 4 over 3 gateways: one at once
    for n in range(100):
        d.ask(plan="metered", customer=f"once-{n}")
    assert not sends(d.ask(plan="few", customer="c")[1])


def test_no_step_looks_at_more_than_a_few_accounts(monkeypatch):
    looked = []
    refill = Quotas.refill
    monkeypatch.setattr(Quotas, "refill", lambda self, now, a: (looked.append(a), refill(self, now, a))[1])
    quotas = Quotas(-60.0)
    for n in range(5000):
        quotas.account(0.0, f"c{n}", CAPPED, 2)
    del looked[:]
    quotas.account(1000.0, "late", CAPPED, 2)  # all are idle now
    assert len(looked) <= 5
    for _ in range(5000):
        quotas.account(1000.0, "late", CAPPED, 2)
    assert len(quotas.accounts) == 1


def test_debts_are_never_too_small_whatever_shares_their_places():
    debts, random = DeficitSketch("salt"), Random(1)
    true = {}
    for n in range(3 * SLOTS_PER_ROW):
        seconds = random.uniform(0.0, 10.0)
        true[f"k{n}"] = seconds
        debts.add(0.0, f"k{n}", seconds)
    assert all(debts.deficit(0.0, key) >= seconds - 1e-9 for key, seconds in true.items())
    few = DeficitSketch("salt")
    for key, seconds in list(true.items())[:1000]:
        few.add(0.0, key, seconds)
    wrong = sum(few.deficit(0.0, f"new{n}") > 0 for n in range(1000))
    assert wrong <= 10  # with few debts, hardly any new customer is taken for one of them


def test_two_gateways_place_debts_differently():
    assert DeficitSketch("1")._slots("c/p/x") != DeficitSketch("2")._slots("c/p/x")
