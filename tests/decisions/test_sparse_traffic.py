"""Gateways with little traffic of their own: health, throttling and shares where each is one of many gateways."""

from dataclasses import replace
from random import Random

import pytest

from micagate import interface
from micagate.estimates.metering import Meter
from micagate.estimates.recent import RecentLatencies
from micagate.fleet import Fleet
from micagate.quotas import Quotas
from micagate.shares import Shares
from micagate.throttle import MEASUREMENT_PERIOD_SECONDS, MIN_SIGNALS_PER_PERIOD, Throttle
from micagate.worker import MAX_BACKOFF_SECONDS, Worker
from micagate.worker_subset import MIN_SUBSET_SIZE, WorkerSubset
from rig.capacity import Capacity
from rig.cluster import Cluster

READ = interface.RequestClass("read", aim=1.0, deadline=4.0)
SETTINGS = interface.Settings(
    (READ,), (interface.Plan("p"),), gateways=40, slow_start_min_factor=0.25, slow_start_duration=10.0, fall_time=3.0
)


def gateway(number, entries):
    fleet = Fleet(replace(SETTINGS, number=number), Random(number), 0.0, Shares())
    fleet.update(0.0, interface.WorkerList(tuple(entries), whole=True))
    return fleet


def serve(fleet, now, name, took=0.1, status=interface.SUCCESS):
    fleet.record_sent(now, name, (name, int(now * 1000)), READ)
    fleet.record_outcome(now + took, name, (name, int(now * 1000)), READ, status, took)


def test_subset_holds_enough_eligible_workers_and_reports_its_overlap():
    subset = WorkerSubset(3, 40)
    for n in range(60):
        subset.add(Worker(interface.WorkerEntry(f"w{n}"), 1.0, 0.0, n / 60))
    assert (
        subset.is_partial
        and subset.reachable_count == subset.size == MIN_SUBSET_SIZE
        and len(subset.members(MIN_SUBSET_SIZE)) == MIN_SUBSET_SIZE
    )
    # Two workers in three are eligible.
    members = subset.members(MIN_SUBSET_SIZE, lambda worker: int(worker.entry.worker[1:]) % 3 > 0)
    assert (
        subset.eligible_count == MIN_SUBSET_SIZE and len(members) in (11, 12) and subset.overlap() == len(members) / 60
    )
    assert [worker.entry.worker for worker in members[:2]] == ["w4", "w5"]  # from this gateway's start on the ring
    assert (
        subset.members(MIN_SUBSET_SIZE, lambda worker: False) == subset.ring[4:] + subset.ring[:4]
        and subset.overlap() == 1.0
    )
    assert not WorkerSubset(None, 40).is_partial and WorkerSubset(0, 3).reachable_count == 0


@pytest.mark.parametrize("restarted_count", [0, 36])
def test_subsets_keep_their_warm_workers_in_a_mass_replacement(restarted_count):
    entries = [interface.WorkerEntry(f"w{n}", started=0.0 if n < restarted_count else None) for n in range(60)]
    for number in range(0, 40, 7):
        fleet = gateway(number, entries)
        fleet.pick(0.1, READ, set())
        members = fleet.subset.members(MIN_SUBSET_SIZE, lambda w, f=fleet: f.warm_up_factor(0.1, w) is None)
        assert sum(w.entry.started is None for w in members) == MIN_SUBSET_SIZE


def test_workers_in_slow_start_are_used_within_subsets_and_never_overloaded():
    """Replaces six workers in ten at once, at less than half of the total capacity, with immediate list updates."""
    # 0.14 s of work for each request.
    warm = Capacity(cores=2, speed=1 / 7, queue_limit=20, min_warm_up_factor=0.25, warm_up_seconds=10.0)
    cluster = Cluster(5, [7.0] * 40, {f"w{n:02}": warm for n in range(60)}, replace(SETTINGS, number=0), False)
    cluster.clock.run(6.0)
    cluster.arrivals.clear()
    for n in range(36):
        cluster.restart(f"w{n:02}")
    cluster.clock.run(16.0)
    restarted = [f"w{n:02}" for n in range(36)]
    for name in restarted:
        times = [(now, work / warm.speed) for now, where, work in cluster.arrivals if where == name]
        for begin, _ in times:
            share = 0.25 + 0.75 * (begin - 6.0) / 10.0
            assert sum(w for t, w in times if begin <= t < begin + 3.0) <= 2 * share * 2 * 3.0
    restarted_share = sum(where in restarted for _, where, _ in cluster.arrivals) / len(cluster.arrivals)
    assert restarted_share > 0.08  # the replaced workers get a part of the traffic
    # Workers in slow start outside the subset get no requests, since no slow-start limit counts these.
    fleet = cluster.gateways[0].fleet
    members = {
        w.entry.worker for w in fleet.subset.members(MIN_SUBSET_SIZE, lambda w: fleet.warm_up_factor(6.1, w) is None)
    }
    assert fleet.pick(6.1, READ, members | {f"w{n:02}" for n in range(36, 60)}) is None


def test_worker_backs_off_after_two_overload_rejections_until_a_response():
    worker = Worker(interface.WorkerEntry("w"), 1.0, 0.0, 0.0)
    worker.record_overload(1.0)
    assert not worker.is_suspect()
    worker.record_overload(1.1)
    assert worker.is_suspect() and 1.1 < worker.backoff_until <= 1.1 + MAX_BACKOFF_SECONDS
    fleet = gateway(0, [interface.WorkerEntry(f"w{n}") for n in range(60)])
    name = fleet.subset.ring[0].entry.worker
    for now in (1.0, 1.5):
        serve(fleet, now, name, status=interface.OVERLOADED)
    assert not fleet._is_healthy(1.65, fleet.workers[name])
    serve(fleet, 3.0, name)
    assert fleet._is_healthy(3.2, fleet.workers[name])


def test_backoff_starts_after_one_error_in_a_subset_and_after_three_otherwise():
    subset_fleet = gateway(0, [interface.WorkerEntry(f"w{n}") for n in range(60)])
    small_fleet = Fleet(replace(SETTINGS, gateways=3, number=0), Random(1), 0.0, Shares())
    small_fleet.update(0.0, interface.WorkerList(tuple(interface.WorkerEntry(f"w{n}") for n in range(6)), whole=True))
    for fleet in (subset_fleet, small_fleet):
        serve(fleet, 1.0, "w1", status=interface.FAILURE)
    assert (
        not subset_fleet._is_healthy(1.15, subset_fleet.workers["w1"])
        and not subset_fleet.workers["w1"].backoff_until < 1.2
    )
    assert small_fleet.workers["w1"].backoff_until == 0.0


def test_long_unanswered_attempt_raises_the_expected_wait_before_its_response():
    fleet = gateway(0, [interface.WorkerEntry(f"w{n}") for n in range(60)])
    one, other = (w.entry.worker for w in fleet.subset.ring[:2])
    for step in range(10):
        for name in (one, other):
            serve(fleet, step / 5, name)
    fleet.record_sent(3.0, one, ("slow", 0), READ)
    assert fleet._latency_factor(3.05, fleet.workers[one]) < 1.1
    assert fleet._latency_factor(3.35, fleet.workers[one]) > 3 > fleet._latency_factor(3.35, fleet.workers[other])


def test_signals_of_a_third_of_a_subset_do_not_activate_the_throttle_and_one_more_does():
    throttle = Throttle(0.0, 1)
    throttle.set_workers(8, True)
    assert throttle.min_signals > MIN_SIGNALS_PER_PERIOD
    for n in range(14):
        throttle.admit(n / 7)
    for n in range(3):
        throttle.record_signal(1.9 + n / 100, f"w{n}", "p", 1.0)
    assert not throttle.active
    throttle.record_signal(1.95, "w3", "p", 1.0)
    assert throttle.active
    throttle.set_workers(8, False)
    assert throttle.target_signal_rate(0.0) == MIN_SIGNALS_PER_PERIOD / MEASUREMENT_PERIOD_SECONDS


def test_few_attempts_in_flight_are_no_queue_at_low_traffic_and_slow_responses_are():
    recent = RecentLatencies(0.0)
    for n in range(12):
        recent.record_response(n / 6, 0.25, 1.0)
    attempts = [(1.95 - n / 10, 1.0) for n in range(3)]
    assert recent.refusal_share(2.0, attempts, 1.0, False, False) > 0.3
    assert recent.refusal_share(2.0, attempts, 1.0, False, True) <= 0
    for n in range(12):
        recent.record_response(2.0 + n / 6, 0.95, 1.0)
    assert recent.refusal_share(4.0, [(sent + 2.0, aim) for sent, aim in 3 * attempts], 1.0, False, True) >= 1


def thin_share_account(quotas, now, gateway_count=30):
    plan = interface.Plan("p", rate=0.8, burst=4.0, excess_cost=0.8)
    return quotas.account(now, "c", plan, gateway_count)


def test_rejected_customer_is_admitted_again_without_new_readings():
    quotas = Quotas(0.0, meter_period=0.5)
    account = thin_share_account(quotas, 0.0)
    for second in range(3):
        if quotas.is_within_quota(account := thin_share_account(quotas, second / 10), 1.0, False):
            quotas.spend(account, 1.0, True)
            account.record_reading(second / 10 + 0.2, 6.0, quotas.meter)  # high use by all gateways together
    assert not quotas.is_within_quota(thin_share_account(quotas, 0.6), 1.0, False)
    # Without a reading since, the quota counts as refilled.
    assert quotas.is_within_quota(thin_share_account(quotas, 20.0), 1.0, False)
    assert quotas.is_within_quota(thin_share_account(quotas, 20.0), 1.0, True)  # while throttled, the bucket decides


def test_only_many_gateways_have_thin_shares():
    quotas = Quotas(0.0, meter_period=0.5)
    assert (
        thin_share_account(quotas, 0.0, 30).quota_estimate.has_thin_share()
        and not thin_share_account(Quotas(0.0), 0.0, 3).quota_estimate.has_thin_share()
    )


def test_reading_at_unknown_meter_times_counts_only_for_a_thin_share():
    meter = Meter(0.5)
    for gateway_count, counts in ((30, True), (3, False)):
        account = thin_share_account(Quotas(0.0, meter_period=0.5), 0.0, gateway_count)
        account.record_reading(5.0, 2.0, meter)
        assert (account.quota_estimate.metered_until is not None) is counts


def test_ceiling_shares_follow_the_traffic_and_add_up_to_the_whole():
    plan = interface.Plan("p", rate=4.0, burst=7.0, ceiling_rate=8.0, ceiling_capacity=14.0, ceiling_slack=1.0)
    shares, total_refill = [0.5, 0.2, 0.1, 0.1, 0.05, 0.03, 0.02], 0.0
    for share in shares:
        quotas = Quotas(0.0, meter_period=0.5)
        account = quotas.account(0.0, "c", plan, 7)
        # As the meter measured.
        account.quota_estimate._own_metered_units, account.quota_estimate._metered_units = (1000 * share, 1000.0)
        account.ceiling_balance = 0.0
        quotas.account(0.5, "c", plan, 7)
        assert account.ceiling_balance > 0.25 * 8.0 / 7 - 1e-9  # none gets less than half of the equal share
        total_refill += account.ceiling_balance
    assert total_refill == pytest.approx(4.0, rel=0.02)
