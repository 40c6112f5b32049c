"""A client connection is not closed while a reply is pending, and a request gets no second reply."""

import json

from micagate.invariants import Reason, close_refusal
from oliveloft.guard import MAX_LOGGED_PER_REASON, Guard
from rig.fake_servers import FakeWorker, run, running_gatekeeper
from tests.front.test_one_answer import Case


def test_a_close_while_a_reply_is_pending_is_refused_and_the_reply_is_sent():
    case = Case(1)
    case.backend.send = lambda attempt: None  # no worker ever answers
    wire, _ = case.connect()
    wire.protocol.data_received(case.request("a").replace(b"X-Tariff: counted", b"X-Tariff: free"))
    assert wire.protocol._current is not None
    wire.protocol.abort()
    wire.protocol.close()
    assert case.server.guard.refused == {Reason.CLOSED_WITHOUT_REPLY: 2}
    case.clock.run(5.0)
    assert b"HTTP/1.1 504" in wire.delivered or b"HTTP/1.1 50" in wire.delivered
    assert close_refusal(False) is None


def test_a_second_reply_to_one_request_is_refused():
    case = Case(1)
    wire, _ = case.connect()
    wire.protocol.data_received(b"GET /healthz HTTP/1.1\r\nHost: o\r\n\r\n")
    case.clock.run(0.1)
    before = bytes(wire.delivered)
    wire.protocol.reply(200, b"", b"again")
    case.clock.run(0.2)
    assert bytes(wire.delivered) == before and case.server.guard.refused == {Reason.REPLIED_TWICE: 1}


def test_refused_steps_are_counted_by_reason_and_the_first_are_logged_with_id_state_event_and_reason(capsys):
    guard = Guard()
    assert guard.summary() == "none"
    for n in range(MAX_LOGGED_PER_REASON + 5):
        guard.refuse(Reason.SENT_TWICE, "write", id=f"r{n}", state="replied")
    guard.refuse(Reason.ENDPOINT_NOT_READY, "send", id="s", state="draining")
    assert guard.summary() == f"endpoint_not_ready=1 sent_twice={MAX_LOGGED_PER_REASON + 5}"
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert len(lines) == MAX_LOGGED_PER_REASON + 1  # a repeated fault does not fill the disk
    assert {"id": "s", "state": "draining", "step": "send", "reason": "endpoint_not_ready"}.items() <= lines[-1].items()
    assert all({"monotonic", "level", "event"} <= line.keys() for line in lines)


def test_operators_can_read_the_counts():
    async def scenario():
        async with running_gatekeeper(FakeWorker("w")) as (gatekeeper, _, client):
            assert (await client.fetch("write")).status == 200
            assert await gatekeeper.call("REFUSED") == "ok none"

    run(scenario())
