"""A second response to a request, received some time after the first, is never taken for that to another request."""

import asyncio
import socket

import pytest

from micagate import interface
from oliveloft.backend.attempt import Attempt
from oliveloft.backend.pool import ConnectionPool
from oliveloft.shared_types import DiscoveryUpdate
from rig.fake_servers import FakeWorker, run, until

WORKER_TIMEOUT_SECONDS = 2.0  # ends a failed test
HEAD = b"POST / HTTP/1.1\r\nX-Request-ID: %b\r\nContent-Length: 0\r\n"


def response(request_id):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request_id.encode()


async def respond(request, writer):
    writer.write(response(request.id))


class PoolClient:
    """Sends requests over a pool to one worker, `w`, and keeps their outcomes."""

    def __init__(self, entry, connection_limit=10):
        self.loop, self.outcomes = asyncio.get_running_loop(), {}
        self.workers = ConnectionPool(self.loop, connection_limit, 0.25, 15.0)
        self.workers.update(DiscoveryUpdate({"index": 1, "snapshot": True, "endpoints": [entry]}).endpoints, True)

    def send(self, name):
        now = self.loop.time()
        self.workers.send(Attempt(name, 0, "w", HEAD % name.encode(), b"", now + 5.0, now, self.ended))

    def ended(self, attempt, status, answer):
        self.outcomes[attempt.request] = status, answer and answer.body

    async def ask(self, name):
        """Send a request, and check that its response is its own."""
        self.send(name)
        await until(lambda: name in self.outcomes)
        assert self.outcomes[name] == (interface.SUCCESS, name.encode())


# Guards against: the first late second response of all was served as the answer to the next request on its connection.
def test_the_first_late_second_response_of_all_is_not_taken_for_the_response_to_the_next_request():
    async def scenario():
        writers = []

        async def script(request, writer):
            writers.append(writer)
            if request.id == "2":  # the second response to request 1 crosses request 2
                writers[0].write(response("1"))
                await writers[0].drain()
            writer.write(response(request.id))

        worker = await FakeWorker("w", script).start()
        client = PoolClient(worker.entry())
        client.workers.reuse_delay_seconds = 60.0
        await client.ask("1")
        await client.ask("2")
        assert worker.connection_numbers == [1, 2]
        await until(lambda: worker.connections_closed == 1)  # the connection with the second response
        client.workers.reuse_delay_seconds = 0.0  # the delay is over
        await client.ask("3")
        assert worker.connection_numbers == [1, 2, 2]
        worker.stop()

    run(scenario())


def test_a_connection_is_reused_when_the_delay_after_its_response_is_over_and_not_before():
    async def scenario():
        worker = await FakeWorker("w", respond).start()
        client = PoolClient(worker.entry())
        client.workers.reuse_delay_seconds = 60.0
        for name in "123":
            await client.ask(name)
        assert worker.connection_numbers == [1, 2, 3]
        client.workers.reuse_delay_seconds = 0.0
        for name in "456":
            await client.ask(name)
        assert worker.connection_numbers == [1, 2, 3, 3, 3, 3]
        worker.stop()

    run(scenario())


def test_at_the_connection_limit_a_connection_is_closed_rather_than_reused_too_soon():
    async def scenario():
        worker = await FakeWorker("w", respond).start()
        client = PoolClient(worker.entry(), connection_limit=1)
        client.workers.reuse_delay_seconds = 60.0
        await client.ask("1")
        await client.ask("2")
        assert worker.connection_numbers == [1, 2]
        await until(lambda: worker.connections_closed == 1)
        worker.stop()

    run(scenario())


class HeldWorker:
    """A worker without an event loop: what it writes is in the gatekeeper's socket before that reads again."""

    def __init__(self):
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(WORKER_TIMEOUT_SECONDS)
        self.accepted = []

    def entry(self):
        return FakeWorker.entry(self)

    name = "w"

    @property
    def port(self):
        return self.listening.getsockname()[1]

    def answer_next_request(self, sock):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            head += sock.recv(4096)
        name = head.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0].decode()
        sock.sendall(response(name))

    def accept(self):
        sock, _ = self.listening.accept()
        sock.settimeout(WORKER_TIMEOUT_SECONDS)
        self.accepted.append(sock)
        return sock

    def stop(self):
        for sock in [*self.accepted, self.listening]:
            sock.close()


# Guards against: a process that was held up reused a connection with a second response that it had not read yet.
@pytest.mark.parametrize("ending", ["second response", "close"])
def test_a_connection_with_unread_input_is_not_reused(ending):
    async def scenario():
        loop, worker = asyncio.get_running_loop(), HeldWorker()
        client = PoolClient(worker.entry())
        client.workers.reuse_delay_seconds = 0.0

        def serve():
            sock = worker.accept()
            worker.answer_next_request(sock)
            return sock

        serving = loop.run_in_executor(None, serve)
        await client.ask("1")
        first = await serving
        if ending == "close":
            first.close()
        else:
            first.sendall(response("1"))
        serving = loop.run_in_executor(None, serve)
        client.send("2")  # before the loop has read from the first connection
        await until(lambda: "2" in client.outcomes)
        assert client.outcomes["2"] == (interface.SUCCESS, b"2")
        await serving
        worker.stop()

    run(scenario())


# Guards against: a connection taken over from another process was reused at once, with a second response on its way.
def test_a_connection_taken_over_is_not_reused_before_the_delay_is_over():
    async def scenario():
        worker = await FakeWorker("w", respond).start()
        client = PoolClient(worker.entry())
        client.workers.reuse_delay_seconds = 60.0
        await client.workers.adopt(socket.create_connection(("127.0.0.1", worker.port)), "w", client.loop.time())
        await client.ask("1")
        assert worker.connection_numbers == [2]
        client.workers.reuse_delay_seconds = 0.0
        await client.ask("2")
        await client.ask("3")
        assert worker.connection_numbers == [2, 2, 2]
        worker.stop()

    run(scenario())
