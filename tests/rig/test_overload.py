"""The overload simulation counts violations correctly, and its bound is an upper bound of the worth served."""

from random import Random

import pytest

from benchmarks.deployments import OVERLOAD_DEPLOYMENTS
from micagate.fleet import Fleet
from rig.fleet import UNIT_CORE_SECONDS
from rig.overload import arrivals, play, was_overloaded, worth_bound

SECOND = OVERLOAD_DEPLOYMENTS["second"]


def test_high_value_classes_are_served_first_without_violations():
    result, equal = play(SECOND, 5), play(SECOND, 5, equal_importance=True)
    assert result.by_class["pay"] > 0.9 > equal.by_class["pay"]
    assert result.by_class["read"] < equal.by_class["read"]
    assert equal.worth + 0.01 < result.worth <= 1.0
    assert result.cold_falls == result.drain_breaks == 0
    assert play(SECOND, 5) == result


def test_a_starting_worker_counts_as_overloaded_after_sustained_excess_only():
    capacity, fall_time = SECOND.capacity, SECOND.fall_time
    # Seconds of work per second, at its start.
    work_limit = SECOND.overload_factor * capacity.cores * capacity.min_warm_up_factor
    for share, overloaded in ((0.8, False), (1.6, True)):
        attempts = [(n * 0.1, "w00", share * work_limit * 0.1) for n in range(int(fall_time / 0.1) + 10)]
        assert was_overloaded(SECOND, attempts, "w00", 0.0) == overloaded
        assert not was_overloaded(SECOND, attempts, "w01", 0.0)
    brief = [(n * 0.1, "w00", 1.6 * work_limit * 0.1) for n in range(int(fall_time / 0.1) // 2)]
    assert not was_overloaded(SECOND, brief, "w00", 0.0)


def test_attempts_to_draining_workers_are_counted(monkeypatch):
    monkeypatch.setattr(Fleet, "_stop_sending_to", lambda self, worker: None)  # the gateway ignores drains
    monkeypatch.setattr(Fleet, "_is_within_slow_start_limit", lambda self, now, worker: True)  # and slow start
    broken = play(SECOND, 5)
    assert broken.drain_breaks > 0


@pytest.mark.parametrize("name", OVERLOAD_DEPLOYMENTS)
def test_the_bound_is_all_requests_within_capacity_and_less_beyond_it(name):
    deployment = OVERLOAD_DEPLOYMENTS[name]
    requests = arrivals(deployment, Random(1))
    everything = sum(deployment.classes[n][0].importance for _, n, _ in requests)
    assert 0.5 * everything < worth_bound(deployment, requests) < everything
    begin, end, _ = deployment.rush
    quiet = [request for request in requests if request[0] < begin - 2]
    assert worth_bound(deployment, quiet) == pytest.approx(
        sum(deployment.classes[n][0].importance for _, n, _ in quiet)
    )
    rush = sum(deployment.classes[n][2] * UNIT_CORE_SECONDS for at, n, _ in requests if begin <= at < end) / (
        end - begin
    )
    assert rush > 1.1 * deployment.workers * deployment.capacity.cores
