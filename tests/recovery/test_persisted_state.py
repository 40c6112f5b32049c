"""What is kept beside marks comes back as far as it is believed; control begins by what cold workers can do."""

import pytest

from micagate import Gateway, interface
from micagate.recovery import slow_start
from micagate.recovery.persisted_state import ROWS, SPAN, Kept, Walk, account_row
from micagate.recovery.recovery_policy import Case, Disk, End
from micagate.recovery.write_ahead import Marks
from rig.driver import SETTINGS, Driver, answered, workers
from rig.fleet_restart import Return, by_second

PLAN = interface.Plan("metered", rate=3.0, burst=12.0)


def gateway(now=0.0, cold=None, count=4):
    made = Gateway(interface.Settings(**SETTINGS), 1, now)
    made.handle(now, workers(count, **({} if cold is None else {"started": cold})))
    return made


def rows(d):
    walk = Walk(d.gateway, d.now - 100.0)
    return {(kind, key): value for kind, key, value in walk.step(d.now)}


def test_what_was_learned_comes_back():
    d = Driver(4)
    answered(d, 40)
    kept = Kept(rows(d), Case(Disk.OWN, End.KILLED, age=0.5))
    after = gateway(d.now)
    assert after.fleet.shortest_usual_latency == float("inf")
    kept.learned(after, d.now)
    assert (
        after.fleet.shortest_usual_latency == d.gateway.fleet.shortest_usual_latency < 0.1
        and after.fleet.usual_latency(after.classes["read"]) < 0.1
    )
    assert after.retry_budget == d.gateway.retry_budget / 2 and kept.pace() > 0


@pytest.mark.parametrize("case", [Case(Disk.OLD), Case(Disk.OTHER), Case(Disk.OWN, age=7200.0), Case(Disk.NONE)])
def test_what_is_not_believed_does_not(case):
    d = Driver(4)
    answered(d, 40)
    kept, after = Kept(rows(d), case), gateway(d.now)
    kept.learned(after, d.now)
    assert after.fleet.shortest_usual_latency == float("inf") and kept.pace() == 0.0


def test_a_store_comes_back_less_what_was_not_written_and_filled_since():
    d = Driver(4)
    account = d.gateway.quotas.account(0.0, "a", PLAN, 3)
    account.balance, account.forecast = 1.0, 0.5
    d.now = 1.0
    made = {("account", account.key): account_row(account)}
    for end, expected in ((End.ASKED, 1.0 + 2.0), (End.KILLED, 0.5 + 2.0)):
        quotas = gateway(2.0).quotas
        quotas.ceiling_marks = Marks(2.0)
        quotas.ceiling_marks.recall = Kept(made, Case(Disk.OWN, end, age=1.0)).account
        assert quotas.account(2.0, "a", PLAN, 3).balance == pytest.approx(expected)
    quotas = gateway(2.0).quotas
    quotas.ceiling_marks = Marks(2.0)
    quotas.ceiling_marks.recall = Kept(made, Case(Disk.OLD)).account
    assert quotas.account(2.0, "a", PLAN, 3).balance == 4.0  # as a new one


def test_a_worker_s_judgement_comes_back_unless_it_was_started_since():
    d = Driver(4)
    worker = d.gateway.fleet.workers["w0"]
    worker.relative_latency, worker.latency_updated_at, worker.consecutive_failures, worker.backoff_until = (
        5.0,
        d.now,
        2,
        d.now + 3.0,
    )
    made = rows(d)
    after = gateway(d.now)
    assert Kept(made, Case(Disk.OWN)).worker(after, d.now + 1.0, "w0")
    assert after.fleet.workers["w0"].relative_latency == pytest.approx(1 + 4 * 0.9)
    assert after.fleet.workers["w0"].consecutive_failures == 2 and after.fleet.workers[
        "w0"
    ].backoff_until == pytest.approx(d.now + 3.0)
    restarted = gateway(d.now, cold=d.now)
    assert not Kept(made, Case(Disk.OWN)).worker(restarted, d.now + 1.0, "w0")
    assert (
        restarted.fleet.workers["w0"].relative_latency == 1.0 and not restarted.fleet.workers["w0"].consecutive_failures
    )


@pytest.mark.parametrize("row", [None, 7, [1, 2], ["a"] * 7, [float("nan")] * 7, {"x": 1}])
def test_rows_that_are_no_rows_are_left(row):
    kept = Kept({("account", "c/metered/a"): row, ("core", ""): row, ("worker", "w0"): row}, Case(Disk.OWN))
    after = gateway()
    kept.learned(after, 0.0)
    assert not kept.accounts and not kept.workers and kept.pace() == 0.0 and kept.load() == 1.0


def test_the_walk_writes_what_changed_within_its_span_a_few_at_a_time():
    d = Driver(4)
    walk, seen = Walk(d.gateway, 0.0), set()
    for n in range(3000):
        d.gateway.quotas.account(0.01 + n / 1e6, f"{n:x}", PLAN, 3)
        if n % 500 == 499:
            seen.update(key for kind, key, _ in walk.step(0.01 + n / 1e6) if kind == "account")
    now = 0.02
    while now < 0.02 + SPAN:
        now += 0.05
        step = [key for kind, key, _ in walk.step(now) if kind == "account"]
        assert len(step) <= ROWS
        seen.update(step)
    assert len(seen) == 3000
    assert not [key for kind, key, _ in walk.step(now + 1) if kind == "account"]  # nothing has changed


def test_control_begins_where_workers_are_cold_together_follows_them_and_ends_with_their_cold():
    after = gateway(100.0, cold=99.0)
    assert slow_start.begin(after, 100.0, 50.0, 1.0)
    warm = slow_start.warmth(after, 100.0)
    assert after.throttle.active and after.throttle.rate == pytest.approx(50.0 * warm) and warm < 0.5
    slow_start.follow(after, 104.0)
    assert after.throttle.rate == pytest.approx(50.0 * slow_start.warmth(after, 104.0))
    slow_start.follow(after, 110.0)
    assert not after.throttle.active


def test_control_does_not_begin_before_warm_workers_nor_where_little_was_asked_nor_by_nothing():
    assert not slow_start.begin(gateway(100.0), 100.0, 50.0, 1.0)
    assert not slow_start.begin(gateway(100.0, cold=92.0), 100.0, 50.0, 0.5)
    assert not slow_start.begin(gateway(100.0, cold=99.0), 100.0, 0.0, 1.0)


def test_signals_hold_control_on_over_the_end_of_the_cold():
    after = gateway(100.0, cold=99.0)
    slow_start.begin(after, 100.0, 50.0, 1.0)
    after.throttle.advance(108.0)  # its look is due: what is signalled after it is of the present rate
    after.throttle.record_signal(108.9, "w0", "free", 108.8)
    slow_start.follow(after, 109.0)
    assert after.throttle.active


def play(seed, on):
    walks = {}

    def step():
        for gate in case.gates:
            walks.setdefault(id(gate), Walk(gate, case.clock.now)).step(case.clock.now)
        if case.life == 1:
            case.clock.after(0.05, step)

    def remember(gate, now):
        made = {(kind, key): value for kind, key, value in walks[id(gate)].all(now)}

        def restore(after, later):
            kept = Kept(made, Case(Disk.OWN, End.POWER, age=1.0, all_lost=True))
            kept.learned(after, later)
            slow_start.begin(after, later, kept.pace(), kept.load())

        return restore

    case = Return(seed, remember=remember if on else None, follow=slow_start.follow)
    step()
    calm = sum(by_second(case.served(5))[2:]) / 3
    case.lose()
    return sum(by_second(case.served(8))) / 8 / calm


def test_a_fleet_that_remembers_serves_more_before_cold_workers():
    gains = [play(seed, True) - play(seed, False) for seed in (1, 2, 3)]
    assert min(gains) > 0.1, gains
