"""Streamed answers."""

from micagate import interface
from rig.driver import SETTINGS, Driver, sends

STREAM = interface.RequestClass("stream", aim=1.0, deadline=4.0, streaming=True)


def test_a_begun_stream_is_past_its_deadline_and_gets_no_second_copy():
    d = Driver(classes=(*SETTINGS["classes"], STREAM))
    name, actions = d.ask("stream")
    (worker,) = sends(actions)
    d.give(interface.StreamStarted(name, 0, worker, 0.1), after=0.1)
    assert d.pass_time(10.0) == []  # no copy, no end of ours, no signal
    assert not d.gateway.throttle._signals
    assert d.answer(name, worker, took=10.1) == []
    assert not d.gateway._pending and not d.gateway.in_flight


def test_a_stream_that_breaks_owes_nothing():
    d = Driver(classes=(*SETTINGS["classes"], STREAM))
    name, actions = d.ask("stream")
    (worker,) = sends(actions)
    d.give(interface.StreamStarted(name, 0, worker, 0.1), after=0.1)
    assert d.answer(name, worker, interface.CONNECTION_RESET, terminal=True, took=2.0) == []
    assert not d.gateway._pending


def test_a_stream_that_starts_late_is_a_signal():
    d = Driver(classes=(*SETTINGS["classes"], STREAM), max_attempts=1)
    name, actions = d.ask("stream")
    d.give(interface.StreamStarted(name, 0, sends(actions)[0], 1.5), after=1.5)
    assert len(d.gateway.throttle._signals) == 1
