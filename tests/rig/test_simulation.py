"""The simulated clock, network and workers on which other tests rely."""

from random import Random

import pytest

from rig import traces
from rig.capacity import Capacity, Load
from rig.simulation import Clock, LocalClock, Network


def test_calls_run_in_order_of_time_and_then_of_scheduling():
    clock, called = Clock(), []
    clock.after(2.0, called.append, "c")
    clock.after(1.0, called.append, "a")
    clock.after(1.0, called.append, "b")
    clock.after(1.5, called.append, "never").cancel()
    clock.run(1.0)
    assert called == ["a", "b"] and clock.now == 1.0
    clock.run(5.0)
    assert called == ["a", "b", "c"] and clock.now == 5.0


def test_a_local_clock_has_its_own_rate_and_zero():
    clock = Clock()
    fast = LocalClock(clock, drift=0.01, zero=500.0)
    fired = []
    fast.after(1.01, lambda: fired.append(clock.now))
    clock.run(100.0)
    assert fast.now == pytest.approx(601.0) and fired == [pytest.approx(1.0)]
    fast.restart(3.0)
    clock.run(200.0)
    assert fast.now == pytest.approx(104.0)


def network(**link_settings):
    clock = Clock()
    simulated_network = Network(clock, Random(1))
    for name, value in link_settings.items():
        setattr(simulated_network.default_link, name, value)
    received = []
    for name in "ab":
        simulated_network.register(name, lambda source, message, name=name: received.append((source, name, message)))
    return clock, simulated_network, received


def test_a_block_of_one_direction_stops_that_direction_alone_until_healed():
    clock, simulated_network, received = network()
    simulated_network.block(["a"], ["b"], both=False)
    simulated_network.send("a", "b", 1)
    simulated_network.send("b", "a", 2)
    clock.run(1.0)
    assert received == [("b", "a", 2)] and simulated_network.lost == 1
    simulated_network.heal()
    simulated_network.send("a", "b", 3)
    clock.run(2.0)
    assert received[-1] == ("a", "b", 3)


def test_messages_are_lost_duplicated_and_reordered_as_configured():
    clock, simulated_network, received = network(min_delay=0.0, max_delay=1.0, loss=0.3, duplication=0.3)
    for n in range(500):
        simulated_network.send("a", "b", n)
    clock.run(10.0)
    numbers = [message for _, _, message in received]
    assert numbers != sorted(numbers)
    assert 0.55 < len(set(numbers)) / 500 < 0.9 and len(numbers) > len(set(numbers))


def test_messages_in_transit_can_be_dropped_and_unregistered_peers_receive_none():
    clock, simulated_network, received = network()
    simulated_network.send("a", "b", 1)
    simulated_network.drop_in_transit()
    simulated_network.send("a", "b", 2)
    simulated_network.unregister("b")
    clock.run(1.0)
    assert received == []


def test_a_worker_rejects_requests_beyond_its_queue():
    load = Load(Capacity(cores=2, queue_limit=3))
    ends = [load.arrive(0.0, 1.0) for _ in range(6)]
    assert ends == [1.0, 1.0, 2.0, 2.0, 3.0, None]
    assert load.rejected == 1 and load.max_queue_length == 3
    assert load.arrive(1.0, 1.0) == 3.0


def test_a_starting_worker_is_slow_and_thrash_slows_a_long_queue():
    cold = Capacity(cores=1, min_warm_up_factor=0.25, warm_up_seconds=10.0)
    assert Load(cold, started=0.0).arrive(0.0, 1.0) == 4.0
    assert Load(cold, started=0.0).arrive(10.0, 1.0) == 11.0
    thrashing = Load(Capacity(cores=1, queue_limit=9, queue_slowdown=0.5))
    assert [thrashing.arrive(0.0, 1.0) for _ in range(3)] == [1.0, 2.0, 3.5]


def test_a_recorded_day_is_the_same_for_the_same_seed():
    recordings = []
    for _ in range(2):
        lines = []
        tally = traces.record_day("many", lines.append).counts
        recordings.append((lines, tally.results))
    assert recordings[0] == recordings[1] and recordings[0][1]["served"] > 1000
