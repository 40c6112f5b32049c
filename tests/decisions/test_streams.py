"""Streamed responses: deadlines, hedges and overload signals."""

from micagate import interface
from rig.driver import SETTINGS, Driver, sends

STREAM = interface.RequestClass("stream", aim=1.0, deadline=4.0, streaming=True)


def test_a_begun_stream_is_not_ended_at_its_deadline_or_hedged():
    driver = Driver(classes=(*SETTINGS["classes"], STREAM))
    name, actions = driver.send_request("stream")
    (worker,) = sends(actions)
    driver.give(interface.StreamStarted(name, 0, worker, 0.1), after=0.1)
    assert driver.pass_time(10.0) == []  # no hedge, no final response of the gateway, no overload signal
    assert not driver.gateway.throttle._signals
    assert driver.answer(name, worker, took=10.1) == []
    assert not driver.gateway._pending and not driver.gateway.in_flight


def test_nothing_is_sent_after_a_stream_breaks_off():
    driver = Driver(classes=(*SETTINGS["classes"], STREAM))
    name, actions = driver.send_request("stream")
    (worker,) = sends(actions)
    driver.give(interface.StreamStarted(name, 0, worker, 0.1), after=0.1)
    assert driver.answer(name, worker, interface.CONNECTION_RESET, terminal=True, took=2.0) == []
    assert not driver.gateway._pending


def test_a_stream_that_starts_after_the_latency_objective_is_an_overload_signal():
    driver = Driver(classes=(*SETTINGS["classes"], STREAM), max_attempts=1)
    name, actions = driver.send_request("stream")
    driver.give(interface.StreamStarted(name, 0, sends(actions)[0], 1.5), after=1.5)
    assert len(driver.gateway.throttle._signals) == 1
