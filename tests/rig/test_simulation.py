"""The simulated clock, network and workers that other tests trust."""

from random import Random

import pytest

from rig import traces
from rig.capacity import Capacity, Load
from rig.simulation import Clock, LocalClock, Network


def test_calls_are_made_in_the_order_of_their_times_and_of_asking():
    clock, seen = Clock(), []
    clock.after(2.0, seen.append, "c")
    clock.after(1.0, seen.append, "a")
    clock.after(1.0, seen.append, "b")
    clock.after(1.5, seen.append, "never").cancel()
    clock.run(1.0)
    assert seen == ["a", "b"] and clock.now == 1.0
    clock.run(5.0)
    assert seen == ["a", "b", "c"] and clock.now == 5.0


def test_a_local_clock_runs_at_its_own_speed_and_from_its_own_zero():
    clock = Clock()
    fast = LocalClock(clock, drift=0.01, zero=500.0)
    fired = []
    fast.after(1.01, lambda: fired.append(clock.now))
    clock.run(100.0)
    assert fast.now == pytest.approx(601.0) and fired == [pytest.approx(1.0)]
    fast.restart(3.0)
    clock.run(200.0)
    assert fast.now == pytest.approx(104.0)


def network(**usual):
    clock = Clock()
    net = Network(clock, Random(1))
    for name, value in usual.items():
        setattr(net.default_link, name, value)
    got = []
    for name in "ab":
        net.register(name, lambda source, message, name=name: got.append((source, name, message)))
    return clock, net, got


def test_a_cut_one_way_silences_that_way_alone_until_it_heals():
    clock, net, got = network()
    net.block(["a"], ["b"], both=False)
    net.send("a", "b", 1)
    net.send("b", "a", 2)
    clock.run(1.0)
    assert got == [("b", "a", 2)] and net.lost == 1
    net.heal()
    net.send("a", "b", 3)
    clock.run(2.0)
    assert got[-1] == ("a", "b", 3)


def test_messages_get_lost_repeated_and_overtake_each_other_as_told():
    clock, net, got = network(min_delay=0.0, max_delay=1.0, loss=0.3, duplication=0.3)
    for n in range(500):
        net.send("a", "b", n)
    clock.run(10.0)
    numbers = [message for _, _, message in got]
    assert numbers != sorted(numbers)
    assert 0.55 < len(set(numbers)) / 500 < 0.9 and len(numbers) > len(set(numbers))


def test_what_is_under_way_can_be_lost_and_who_has_left_gets_nothing():
    clock, net, got = network()
    net.send("a", "b", 1)
    net.drop_in_transit()
    net.send("a", "b", 2)
    net.unregister("b")
    clock.run(1.0)
    assert got == []


def test_a_worker_turns_away_what_its_queue_cannot_hold():
    load = Load(Capacity(cores=2, queue=3))
    ends = [load.arrive(0.0, 1.0) for _ in range(6)]
    assert ends == [1.0, 1.0, 2.0, 2.0, 3.0, None]
    assert load.rejected == 1 and load.max_queue_length == 3
    assert load.arrive(1.0, 1.0) == 3.0


def test_a_cold_worker_is_slow_at_first_and_thrash_slows_a_deep_queue():
    cold = Capacity(cores=1, cold_from=0.25, ramp=10.0)
    assert Load(cold, started=0.0).arrive(0.0, 1.0) == 4.0
    assert Load(cold, started=0.0).arrive(10.0, 1.0) == 11.0
    thrashing = Load(Capacity(cores=1, queue=9, thrash=0.5))
    assert [thrashing.arrive(0.0, 1.0) for _ in range(3)] == [1.0, 2.0, 3.5]


def test_a_recorded_day_is_the_same_for_the_same_seed():
    days = []
    for _ in range(2):
        lines = []
        tally = traces.record_day("many", lines.append).counts
        days.append((lines, tally.ends))
    assert days[0] == days[1] and days[0][1]["served"] > 1000
