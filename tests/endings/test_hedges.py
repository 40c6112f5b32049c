"""A hedge whose connection is established after the final reply is never written."""

import asyncio

import pytest

from micagate import interface
from oliveloft.backend.pool import ConnectionPool
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.shared_types import DiscoveryUpdate
from rig.fake_servers import FakeWorker, FullBacklogWorker, answer, run, until

SETTINGS = interface.Settings(
    (interface.RequestClass("read", 1.0, 4.0),), (interface.Plan("free"),), max_attempts=2, hedging=True
)


class FakeGateway:
    """A fake gateway that sends two attempts of each request at once and cancels none."""

    def __init__(self):
        self.outcomes = []

    def handle(self, now, event):
        if isinstance(event, interface.Outcome):
            self.outcomes.append((event.worker, event.status, event.terminal))
        return (
            [interface.Send("r", "fast"), interface.Send("r", "slow")] if isinstance(event, interface.Request) else []
        )


@pytest.mark.parametrize("raw", [None, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 100_000])
def test_a_hedge_whose_connection_is_established_after_the_final_reply_is_not_sent(raw):
    """Also if the response is streamed, which ends the request for the gateway as soon as it starts."""

    async def scenario():
        loop, replies, gateway = asyncio.get_running_loop(), [], FakeGateway()
        fast, slow = await FakeWorker("fast", answer(raw=raw)).start(), await FullBacklogWorker("slow").start()
        workers = ConnectionPool(loop, 10, 10.0, 15.0)
        dispatcher = RequestDispatcher(loop, SETTINGS, gateway, workers)
        dispatcher.update_workers(
            DiscoveryUpdate({"index": 1, "snapshot": True, "endpoints": [fast.entry(), slow.entry()]})
        )

        class Sink:
            def begin(self, headers, length, source):
                replies.append(200)

            def write(self, pieces):
                return True

            def end(self):
                replies.append("whole")

        head = b"GET / HTTP/1.1\r\nX-Request-ID: r\r\n"
        dispatcher.submit(
            interface.Request("r", "read", "free", "c", 4.0),
            head,
            b"",
            loop.time() + 4.0,
            lambda status, headers, body: replies.append(status),
            Sink(),
        )
        await until(lambda: replies and replies[0] == 200)
        await until(lambda: len(gateway.outcomes) == 2)
        assert sorted(gateway.outcomes) == [("fast", interface.SUCCESS, True), ("slow", interface.NOT_SENT, True)]
        await slow.accept_connections()
        await until(lambda: slow.connecting == 0 and slow.connections > 0)
        await until(lambda: len(workers._endpoints["slow"].idle) == 1)  # kept for the next request
        assert not slow.received and not dispatcher.has_request("r")
        fast.stop()
        slow.stop()

    run(scenario())
