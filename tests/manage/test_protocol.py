"""The line protocol for operators' calls, and the state that LEAVE and JOIN change."""

import pytest

from micagate.operating.presence import REDIRECT_SECONDS, Presence
from oliveloft.manage import protocol


@pytest.mark.parametrize(
    ("line", "call"),
    [
        (b"HEALTH", protocol.Call("HEALTH")),
        (b"health\r", protocol.Call("HEALTH")),
        (b"  Leave  ", protocol.Call("LEAVE")),
        (b"OFFLINE s-5be2a07c\r", protocol.Call("OFFLINE", "s-5be2a07c")),
        (b"online\ts-1", protocol.Call("ONLINE", "s-1")),
        (b"JOIN", protocol.Call("JOIN")),
    ],
)
def test_calls_are_parsed_in_any_case_and_spacing(line, call):
    assert protocol.parse(line) == call


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"  ",
        b"RESTART",
        b"HEALTH now",
        b"OFFLINE",
        b"OFFLINE a b",
        b"ONLINE \xc3\xa9",
        b"OFFLINE " + b"x" * 300,
        b"\xff\xfe",
        b"\x00",
    ],
)
def test_invalid_calls_raise_an_error_with_a_one_line_answer(line):
    with pytest.raises(protocol.InvalidCall) as error:
        protocol.parse(line)
    assert len(protocol.format_answer(False, str(error.value)).splitlines()) == 1


def test_an_answer_is_always_one_line():
    assert protocol.format_answer(True, "a\r\nb") == b"ok a b\n" and protocol.format_answer(False, "no") == b"fail no\n"


def test_idle_connections_stay_open_until_the_sender_of_clients_has_noticed_leave():
    presence = Presence()
    assert presence.start_drain(1.0) and not presence.start_drain(5.0)
    assert (
        presence.closes_connections()
        and not presence.closes_idle_connections(1.0 + REDIRECT_SECONDS / 2)
        and presence.closes_idle_connections(1.01 + REDIRECT_SECONDS)
    )
    assert (
        presence.end_drain()
        and not presence.end_drain()
        and not presence.closes_connections()
        and not presence.closes_idle_connections(9.0)
    )
