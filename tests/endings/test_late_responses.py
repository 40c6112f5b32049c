"""A second response to a request, received some time after the first, is never taken for that to another request."""

import asyncio

from micagate import interface
from oliveloft.backend.attempt import Attempt
from oliveloft.backend.pool import ConnectionPool
from oliveloft.shared_types import DiscoveryUpdate
from rig.fake_servers import FakeWorker, run, until

HEAD = b"POST / HTTP/1.1\r\nX-Request-ID: %b\r\nContent-Length: 0\r\n"


def test_after_an_unsolicited_response_a_connection_is_not_reused_before_it_has_been_idle_for_a_while():
    async def scenario():
        loop, outcomes, writers = asyncio.get_running_loop(), {}, []

        async def script(request, writer):
            writers.append(writer)
            if request.id == "3":  # the second response to request 2 crosses request 3
                writers[1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
                await writers[1].drain()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request.id.encode())

        worker = await FakeWorker("w", script).start()
        workers = ConnectionPool(loop, 10, 0.25, 15.0)
        workers.quarantine_min_idle_seconds = 60.0
        workers.update(DiscoveryUpdate({"index": 1, "snapshot": True, "endpoints": [worker.entry()]}).endpoints, True)

        async def ask(name):
            workers.send(
                Attempt(
                    name,
                    0,
                    "w",
                    HEAD % name.encode(),
                    b"",
                    loop.time() + 5.0,
                    loop.time(),
                    lambda attempt, status, answer: outcomes.__setitem__(name, (status, answer)),
                )
            )
            await until(lambda: name in outcomes)
            assert outcomes[name][0] == interface.SUCCESS and outcomes[name][1].body == name.encode()

        await ask("0")
        await ask("1")
        assert worker.connection_numbers == [1, 1]  # without an unsolicited response a connection is reused at once
        writers[1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
        await until(lambda: worker.connections_closed == 1)
        writers[:1] = []
        await ask("2")
        await ask("3")
        assert worker.connection_numbers == [1, 1, 2, 3]
        workers.quarantine_min_idle_seconds = 0.0  # idle for long enough
        await ask("4")
        assert worker.connection_numbers[-1] == 3
        worker.stop()

    run(scenario())
