"""Tests of restoring persisted state as far as it is trusted, and of overload control during slow start."""

import pytest

from micagate import Gateway, interface
from micagate.recovery import slow_start
from micagate.recovery.persisted_state import (
    MAX_ROWS_PER_STEP,
    WRITE_PERIOD_SECONDS,
    ChangedRows,
    RestoredState,
    account_row,
)
from micagate.recovery.recovery_policy import Case, Disk, End
from micagate.recovery.write_ahead import HighWaterMarks
from rig.driver import SETTINGS, Driver, send_and_answer, workers
from rig.fleet_restart import PowerLossSimulation, by_second

PLAN = interface.Plan("metered", rate=3.0, burst=12.0)


def gateway(now=0.0, worker_start=None, count=4):
    created = Gateway(interface.Settings(**SETTINGS), 1, now)
    created.handle(now, workers(count, **({} if worker_start is None else {"started": worker_start})))
    return created


def rows(driver):
    walk = ChangedRows(driver.gateway, driver.now - 100.0)
    return {(kind, key): value for kind, key, value in walk.step(driver.now)}


def test_learned_state_is_restored():
    driver = Driver(4)
    send_and_answer(driver, 40)
    restored = RestoredState(rows(driver), Case(Disk.OWN, End.KILLED, age=0.5))
    after = gateway(driver.now)
    assert after.fleet.shortest_usual_latency == float("inf")
    restored.restore_learned(after, driver.now)
    assert (
        after.fleet.shortest_usual_latency == driver.gateway.fleet.shortest_usual_latency < 0.1
        and after.fleet.usual_latency(after.classes["read"]) < 0.1
    )
    assert after.retry_budget == driver.gateway.retry_budget / 2 and restored.served_rate() > 0


@pytest.mark.parametrize("case", [Case(Disk.OLD), Case(Disk.OTHER), Case(Disk.OWN, age=7200.0), Case(Disk.NONE)])
def test_untrusted_state_is_not_restored(case):
    driver = Driver(4)
    send_and_answer(driver, 40)
    restored, after = RestoredState(rows(driver), case), gateway(driver.now)
    restored.restore_learned(after, driver.now)
    assert after.fleet.shortest_usual_latency == float("inf") and restored.served_rate() == 0.0


def test_a_balance_is_restored_less_unwritten_spending_plus_the_refill():
    driver = Driver(4)
    account = driver.gateway.quotas.account(0.0, "a", PLAN, 3)
    account.balance, account.forecast = 1.0, 0.5
    driver.now = 1.0
    persisted = {("account", account.key): account_row(account)}
    for end, expected in ((End.PLANNED, 1.0 + 2.0), (End.KILLED, 0.5 + 2.0)):
        quotas = gateway(2.0).quotas
        quotas.ceiling_high_water_marks = HighWaterMarks(2.0)
        quotas.ceiling_high_water_marks.on_account_opened = RestoredState(
            persisted, Case(Disk.OWN, end, age=1.0)
        ).restore_account
        assert quotas.account(2.0, "a", PLAN, 3).balance == pytest.approx(expected)
    quotas = gateway(2.0).quotas
    quotas.ceiling_high_water_marks = HighWaterMarks(2.0)
    quotas.ceiling_high_water_marks.on_account_opened = RestoredState(persisted, Case(Disk.OLD)).restore_account
    assert quotas.account(2.0, "a", PLAN, 3).balance == 4.0  # as for a new account


def test_worker_state_is_restored_unless_the_worker_has_restarted():
    driver = Driver(4)
    worker = driver.gateway.fleet.workers["w0"]
    worker.relative_latency, worker.latency_updated_at, worker.consecutive_failures, worker.backoff_until = (
        5.0,
        driver.now,
        2,
        driver.now + 3.0,
    )
    persisted = rows(driver)
    after = gateway(driver.now)
    assert RestoredState(persisted, Case(Disk.OWN)).restore_worker(after, driver.now + 1.0, "w0")
    assert after.fleet.workers["w0"].relative_latency == pytest.approx(1 + 4 * 0.9)
    assert after.fleet.workers["w0"].consecutive_failures == 2 and after.fleet.workers[
        "w0"
    ].backoff_until == pytest.approx(driver.now + 3.0)
    restarted = gateway(driver.now, worker_start=driver.now)
    assert not RestoredState(persisted, Case(Disk.OWN)).restore_worker(restarted, driver.now + 1.0, "w0")
    assert (
        restarted.fleet.workers["w0"].relative_latency == 1.0 and not restarted.fleet.workers["w0"].consecutive_failures
    )


@pytest.mark.parametrize("row", [None, 7, [1, 2], ["a"] * 7, [float("nan")] * 7, {"x": 1}])
def test_malformed_rows_are_ignored(row):
    restored = RestoredState(
        {("account", "c/metered/a"): row, ("core", ""): row, ("worker", "w0"): row}, Case(Disk.OWN)
    )
    after = gateway()
    restored.restore_learned(after, 0.0)
    assert not restored.accounts and not restored.workers and restored.served_rate() == 0.0 and restored.load() == 1.0


def test_changed_rows_are_written_within_the_period_in_small_batches():
    driver = Driver(4)
    walk, seen = ChangedRows(driver.gateway, 0.0), set()
    for n in range(3000):
        driver.gateway.quotas.account(0.01 + n / 1e6, f"{n:x}", PLAN, 3)
        if n % 500 == 499:
            seen.update(key for kind, key, _ in walk.step(0.01 + n / 1e6) if kind == "account")
    now = 0.02
    while now < 0.02 + WRITE_PERIOD_SECONDS:
        now += 0.05
        step = [key for kind, key, _ in walk.step(now) if kind == "account"]
        assert len(step) <= MAX_ROWS_PER_STEP
        seen.update(step)
    assert len(seen) == 3000
    assert not [key for kind, key, _ in walk.step(now + 1) if kind == "account"]  # no further changes


def test_overload_control_starts_with_slow_start_follows_it_and_ends_with_it():
    after = gateway(100.0, worker_start=99.0)
    assert slow_start.start_throttled(after, 100.0, 50.0, 1.0)
    warm = slow_start.mean_warm_up_factor(after, 100.0)
    assert after.throttle.active and after.throttle.rate == pytest.approx(50.0 * warm) and warm < 0.5
    slow_start.update_warm_up(after, 104.0)
    assert after.throttle.rate == pytest.approx(50.0 * slow_start.mean_warm_up_factor(after, 104.0))
    slow_start.update_warm_up(after, 110.0)
    assert not after.throttle.active


def test_overload_control_does_not_start_with_warm_workers_low_load_or_no_rate():
    assert not slow_start.start_throttled(gateway(100.0), 100.0, 50.0, 1.0)
    assert not slow_start.start_throttled(gateway(100.0, worker_start=92.0), 100.0, 50.0, 0.5)
    assert not slow_start.start_throttled(gateway(100.0, worker_start=99.0), 100.0, 0.0, 1.0)


def test_overload_signals_keep_control_active_after_slow_start():
    after = gateway(100.0, worker_start=99.0)
    slow_start.start_throttled(after, 100.0, 50.0, 1.0)
    after.throttle.advance(108.0)  # later signals count for the present rate
    after.throttle.record_signal(108.9, "w0", "free", 108.8)
    slow_start.update_warm_up(after, 109.0)
    assert after.throttle.active


def play(seed, persist):
    walks = {}

    def step():
        for gate in case.gateways:
            walks.setdefault(id(gate), ChangedRows(gate, case.clock.now)).step(case.clock.now)
        if case.incarnation == 1:
            case.clock.after(0.05, step)

    def remember(gate, now):
        persisted = {(kind, key): value for kind, key, value in walks[id(gate)].remaining_rows(now)}

        def restore(after, later):
            restored = RestoredState(persisted, Case(Disk.OWN, End.POWER, age=1.0, all_restarted=True))
            restored.restore_learned(after, later)
            slow_start.start_throttled(after, later, restored.served_rate(), restored.load())

        return restore

    case = PowerLossSimulation(seed, persist=remember if persist else None, after_restore=slow_start.update_warm_up)
    step()
    normal_rate = sum(by_second(case.served_per_tenth(5))[2:]) / 3
    case.lose_power()
    return sum(by_second(case.served_per_tenth(8))) / 8 / normal_rate


def test_a_fleet_with_persisted_state_serves_more_during_slow_start():
    gains = [play(seed, True) - play(seed, False) for seed in (1, 2, 3)]
    assert min(gains) > 0.1, gains
