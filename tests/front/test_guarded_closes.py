"""A client's connection: no close while a reply is owed, and no second reply."""

import json

from micagate.invariants import Reason, close_refusal
from oliveloft.guard import MOST_LINES, Guard
from rig.fake_servers import Worker, run, scene
from tests.front.test_one_answer import Case


def test_a_close_that_would_lose_a_request_is_refused_and_its_reply_goes_out():
    case = Case(1)
    case.backend.send = lambda attempt: None  # no endpoint ever answers
    end, _ = case.connect()
    end.protocol.data_received(case.request("a").replace(b"X-Tariff: counted", b"X-Tariff: free"))
    assert end.protocol._current is not None
    end.protocol.abort()
    end.protocol.close()
    assert case.server.guard.refused == {Reason.CLOSED_WITHOUT_REPLY: 2}
    case.clock.run(5.0)
    assert b"HTTP/1.1 504" in end.delivered or b"HTTP/1.1 50" in end.delivered
    assert close_refusal(False) is None


def test_a_second_reply_to_one_request_is_refused():
    case = Case(1)
    end, _ = case.connect()
    end.protocol.data_received(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
    case.clock.run(0.1)
    before = bytes(end.delivered)
    end.protocol.reply(200, b"", b"again")
    case.clock.run(0.2)
    assert bytes(end.delivered) == before and case.server.guard.refused == {Reason.REPLIED_TWICE: 1}


def test_refused_steps_are_counted_by_reason_and_the_first_are_logged_with_id_state_event_and_reason(capsys):
    guard = Guard()
    assert guard.summary() == "none"
    for n in range(MOST_LINES + 5):
        guard.refuse(Reason.SENT_TWICE, "write", id=f"r{n}", state="replied")
    guard.refuse(Reason.ENDPOINT_NOT_READY, "send", id="s", state="draining")
    assert guard.summary() == f"endpoint_not_ready=1 sent_twice={MOST_LINES + 5}"
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert len(lines) == MOST_LINES + 1  # a fault that comes again and again fills no disk
    assert {"id": "s", "state": "draining", "step": "send", "reason": "endpoint_not_ready"}.items() <= lines[-1].items()
    assert all({"monotonic", "level", "event"} <= line.keys() for line in lines)


def test_operators_read_the_counts():
    async def scenario():
        async with scene(Worker("w")) as (gatekeeper, _, client):
            assert (await client.ask("write")).status == 200
            assert await gatekeeper.call("REFUSED") == "ok none"

    run(scenario())
