"""A second copy whose connection comes up after the answer: it is never written."""

import asyncio

import pytest

from micagate import interface
from oliveloft.backend.pool import ConnectionPool
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.shared_types import DiscoveryUpdate
from rig.fake_servers import Plugged, Worker, answer, run, until

SETTINGS = interface.Settings(
    (interface.RequestClass("read", 1.0, 4.0),), (interface.Plan("free"),), max_attempts=2, hedging=True
)


class Module:
    """In the module's place: two copies of each request at once, and nothing is ever called off."""

    def __init__(self):
        self.outcomes = []

    def handle(self, now, event):
        if isinstance(event, interface.Outcome):
            self.outcomes.append((event.worker, event.status, event.terminal))
        return (
            [interface.Send("r", "here"), interface.Send("r", "there")] if isinstance(event, interface.Request) else []
        )


@pytest.mark.parametrize("raw", [None, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 100_000])
def test_a_copy_that_comes_up_after_the_final_answer_is_not_sent_on(raw):
    """Also where that is a long answer, which is over for the module as soon as it begins."""

    async def scenario():
        loop, replies, module = asyncio.get_running_loop(), [], Module()
        here, there = await Worker("here", answer(raw=raw)).start(), await Plugged("there").start()
        workers = ConnectionPool(loop, 10, 10.0, 15.0)
        dispatcher = RequestDispatcher(loop, SETTINGS, module, workers)
        dispatcher.update_workers(
            DiscoveryUpdate({"index": 1, "snapshot": True, "endpoints": [here.entry(), there.entry()]})
        )

        class Taker:
            def begin(self, headers, length, source):
                replies.append(200)

            def write(self, data):
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
            Taker(),
        )
        await until(lambda: replies and replies[0] == 200)
        await until(lambda: len(module.outcomes) == 2)
        assert sorted(module.outcomes) == [("here", interface.SUCCESS, True), ("there", interface.NOT_SENT, True)]
        await there.open()
        await until(lambda: there.coming == 0 and there.connections > 0)
        await until(lambda: len(workers._processes["there"].idle) == 1)  # it stands, for whoever is next
        assert not there.seen and not dispatcher.holds("r")
        here.stop()
        there.stop()

    run(scenario())
