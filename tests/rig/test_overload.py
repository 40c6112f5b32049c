"""The pressed fleet's own figures: what it counts as broken is broken, and its bound is one."""

from random import Random

import pytest

from benchmarks.deployments import PRESSED
from micagate.fleet import Fleet
from rig.fleet import UNIT_CORE_SECONDS
from rig.overload import arrivals, play, was_overloaded, worth_bound

SECOND = PRESSED["second"]


def test_the_dear_classes_are_served_first_and_rules_hold():
    told, alike = play(SECOND, 5), play(SECOND, 5, alike=True)
    assert told.by_class["pay"] > 0.9 > alike.by_class["pay"]
    assert told.by_class["read"] < alike.by_class["read"]
    assert alike.worth + 0.01 < told.worth <= 1.0
    assert told.cold_falls == told.drain_breaks == 0
    assert play(SECOND, 5) == told


def test_a_cold_worker_that_gets_too_much_for_long_enough_fell():
    c, span = SECOND.capacity, SECOND.fall_time
    bears = SECOND.overload_factor * c.cores * c.cold_from  # seconds of work a second, at its start
    for share, falls in ((0.8, False), (1.6, True)):
        begun = [(n * 0.1, "w00", share * bears * 0.1) for n in range(int(span / 0.1) + 10)]
        assert was_overloaded(SECOND, begun, "w00", 0.0) == falls
        assert not was_overloaded(SECOND, begun, "w01", 0.0)
    short = [(n * 0.1, "w00", 1.6 * bears * 0.1) for n in range(int(span / 0.1) // 2)]
    assert not was_overloaded(SECOND, short, "w00", 0.0)


def test_sends_to_draining_workers_and_floods_of_cold_ones_are_counted(monkeypatch):
    monkeypatch.setattr(Fleet, "_leave", lambda self, worker: None)  # a gateway that is deaf to drains
    monkeypatch.setattr(Fleet, "_has_room", lambda self, now, worker: True)  # and to cold starts
    broken = play(SECOND, 5)
    assert broken.drain_breaks > 0


@pytest.mark.parametrize("name", PRESSED)
def test_the_bound_is_all_that_is_asked_where_there_is_room_and_less_where_there_is_not(name):
    kind = PRESSED[name]
    asked = arrivals(kind, Random(1))
    everything = sum(kind.classes[n][0].importance for _, n, _ in asked)
    assert 0.5 * everything < worth_bound(kind, asked) < everything
    begin, end, _ = kind.rush
    quiet = [each for each in asked if each[0] < begin - 2]
    assert worth_bound(kind, quiet) == pytest.approx(sum(kind.classes[n][0].importance for _, n, _ in quiet))
    rush = sum(kind.classes[n][2] * UNIT_CORE_SECONDS for at, n, _ in asked if begin <= at < end) / (end - begin)
    assert rush > 1.1 * kind.workers * kind.capacity.cores
