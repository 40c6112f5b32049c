"""Gateways among many, each of which meets a worker or a customer seldom: what one of them may do by itself."""

from dataclasses import replace
from random import Random

import pytest

from micagate import interface
from micagate.estimates.metering import Meter
from micagate.estimates.recent import Recent
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


def test_an_arc_holds_so_many_that_are_fit_and_tells_how_many_share_a_worker():
    arcs = WorkerSubset(3, 40)
    for n in range(60):
        arcs.add(Worker(interface.WorkerEntry(f"w{n}"), 1.0, 0.0, n / 60))
    assert (
        arcs.is_partial
        and arcs.reachable_count == arcs.size == MIN_SUBSET_SIZE
        and len(arcs.members(MIN_SUBSET_SIZE)) == MIN_SUBSET_SIZE
    )
    arc = arcs.members(MIN_SUBSET_SIZE, lambda w: int(w.entry.worker[1:]) % 3 > 0)  # two in three
    assert arcs.fit == MIN_SUBSET_SIZE and len(arc) in (11, 12) and arcs.overlap() == len(arc) / 60
    assert [w.entry.worker for w in arc[:2]] == ["w4", "w5"]  # from its own place on
    assert arcs.members(MIN_SUBSET_SIZE, lambda w: False) == arcs.ring[4:] + arcs.ring[:4] and arcs.overlap() == 1.0
    assert not WorkerSubset(None, 40).is_partial and WorkerSubset(0, 3).reachable_count == 0


@pytest.mark.parametrize("cold", [0, 36])
def test_a_mass_replacement_leaves_every_gateway_as_many_warm_workers(cold):
    entries = [interface.WorkerEntry(f"w{n}", started=0.0 if n < cold else None) for n in range(60)]
    for number in range(0, 40, 7):
        fleet = gateway(number, entries)
        fleet.pick(0.1, READ, set())
        looked = fleet.subset.members(MIN_SUBSET_SIZE, lambda w, f=fleet: f.warm_up_factor(0.1, w) is None)
        assert sum(w.entry.started is None for w in looked) == MIN_SUBSET_SIZE


def test_cold_workers_are_used_by_those_in_whose_arcs_they_are_and_never_pushed_over():
    """Six workers in ten are replaced in a moment, under half of what all can do; the list comes at once."""
    warm = Capacity(cores=2, speed=1 / 7, queue=20, cold_from=0.25, ramp=10.0)  # 0.14 s of work a request
    cluster = Cluster(5, [7.0] * 40, {f"w{n:02}": warm for n in range(60)}, replace(SETTINGS, number=0), False)
    cluster.clock.run(6.0)
    cluster.sent.clear()
    for n in range(36):
        cluster.restart(f"w{n:02}")
    cluster.clock.run(16.0)
    cold = [f"w{n:02}" for n in range(36)]
    for name in cold:
        times = [(now, work / warm.speed) for now, where, work in cluster.sent if where == name]
        for begin, _ in times:
            share = 0.25 + 0.75 * (begin - 6.0) / 10.0
            assert sum(w for t, w in times if begin <= t < begin + 3.0) <= 2 * share * 2 * 3.0
    part = sum(where in cold for _, where, _ in cluster.sent) / len(cluster.sent)
    assert part > 0.08  # not left to the others
    # No cold worker is sent to from beyond the arc, where its room is not counted.
    fleet = cluster.gates[0].fleet
    arc = {
        w.entry.worker for w in fleet.subset.members(MIN_SUBSET_SIZE, lambda w: fleet.warm_up_factor(6.1, w) is None)
    }
    assert fleet.pick(6.1, READ, arc | {f"w{n:02}" for n in range(36, 60)}) is None


def test_two_refusals_with_no_answer_between_put_others_first_and_an_answer_ends_that():
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


def test_one_error_puts_a_worker_out_for_who_meets_it_seldom_and_three_for_who_meets_it_often():
    many = gateway(0, [interface.WorkerEntry(f"w{n}") for n in range(60)])
    few = Fleet(replace(SETTINGS, gateways=3, number=0), Random(1), 0.0, Shares())
    few.update(0.0, interface.WorkerList(tuple(interface.WorkerEntry(f"w{n}") for n in range(6)), whole=True))
    for fleet in (many, few):
        serve(fleet, 1.0, "w1", status=interface.FAILURE)
    assert not many._is_healthy(1.15, many.workers["w1"]) and not many.workers["w1"].backoff_until < 1.2
    assert few.workers["w1"].backoff_until == 0.0


def test_what_is_out_for_long_tells_of_a_worker_before_its_answer():
    fleet = gateway(0, [interface.WorkerEntry(f"w{n}") for n in range(60)])
    one, other = (w.entry.worker for w in fleet.subset.ring[:2])
    for step in range(10):
        for name in (one, other):
            serve(fleet, step / 5, name)
    fleet.record_sent(3.0, one, ("slow", 0), READ)
    assert fleet._effective_latency(3.05, fleet.workers[one]) < 1.1
    assert fleet._effective_latency(3.35, fleet.workers[one]) > 3 > fleet._effective_latency(3.35, fleet.workers[other])


def test_one_signal_each_of_a_third_of_the_few_workers_met_starts_no_control_and_one_more_does():
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


def test_a_few_out_by_chance_are_no_queue_where_traffic_is_thin_and_slow_answers_are():
    recent = Recent(0.0)
    for n in range(12):
        recent.answered(n / 6, 0.25, 1.0)
    chance = [(1.95 - n / 10, 1.0) for n in range(3)]
    assert recent.pressed(2.0, chance, 1.0, False, False) > 0.3
    assert recent.pressed(2.0, chance, 1.0, False, True) <= 0
    for n in range(12):
        recent.answered(2.0 + n / 6, 0.95, 1.0)
    assert recent.pressed(4.0, [(sent + 2.0, aim) for sent, aim in 3 * chance], 1.0, False, True) >= 1


def sliver(quotas, now, spread=30):
    plan = interface.Plan("p", rate=0.8, burst=4.0, excess_cost=0.8)
    return quotas.account(now, "c", plan, spread)


def test_a_customer_that_was_refused_is_not_shut_out_for_want_of_readings():
    quotas = Quotas(0.0, period=0.5)
    a = sliver(quotas, 0.0)
    for second in range(3):
        if quotas.is_within_quota(a := sliver(quotas, second / 10), 1.0, False):
            quotas.spend(a, 1.0, True)
            a.record_reading(second / 10 + 0.2, 6.0, quotas.meter)  # much use, by all
    assert not quotas.is_within_quota(sliver(quotas, 0.6), 1.0, False)
    assert quotas.is_within_quota(sliver(quotas, 20.0), 1.0, False)  # nothing was heard since: the whole has filled
    assert quotas.is_within_quota(sliver(quotas, 20.0), 1.0, True)  # and control leaves it to the bucket


def test_few_gateways_go_by_their_parts_as_before():
    quotas = Quotas(0.0, period=0.5)
    assert (
        sliver(quotas, 0.0, 30).quota_estimate.has_thin_share()
        and not sliver(Quotas(0.0), 0.0, 3).quota_estimate.has_thin_share()
    )


def test_a_reading_counts_where_the_meters_times_are_not_known_and_the_part_is_a_sliver():
    meter = Meter(0.5)
    for spread, heard in ((30, True), (3, False)):
        a = sliver(Quotas(0.0, period=0.5), 0.0, spread)
        a.record_reading(5.0, 2.0, meter)
        assert (a.quota_estimate.told is not None) is heard


def test_the_parts_of_a_ceiling_follow_who_sends_and_add_up_to_the_whole():
    plan = interface.Plan("p", rate=4.0, burst=7.0, ceiling_rate=8.0, ceiling_capacity=14.0, ceiling_slack=1.0)
    shares, filled = [0.5, 0.2, 0.1, 0.1, 0.05, 0.03, 0.02], 0.0
    for share in shares:
        quotas = Quotas(0.0, period=0.5)
        a = quotas.account(0.0, "c", plan, 7)
        a.quota_estimate._mine, a.quota_estimate._all = 1000 * share, 1000.0  # what the meter showed
        a.ceiling_balance = 0.0
        quotas.account(0.5, "c", plan, 7)
        assert a.ceiling_balance > 0.25 * 8.0 / 7 - 1e-9  # none falls below half of its even part
        filled += a.ceiling_balance
    assert filled == pytest.approx(4.0, rel=0.02)
