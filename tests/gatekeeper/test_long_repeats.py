"""A keyed request with a long body is repeated at workers that read slowly: none reads its end after the window."""

import asyncio
import contextlib
import socket

import pytest

from micagate import interface
from micagate.bodies.buffering import BufferBudget
from oliveloft.backend.pool import ConnectionPool
from oliveloft.bodies.body import Body
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.shared_types import DiscoveryUpdate
from rig.fake_servers import FakeWorker, run, until

RECEIVE_BUFFER_BYTES = 32 * 1024
BODY_BYTES = 300_000
TIME_LEFT_SECONDS = 3.0
ERROR_RESPONSE = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class ReadingWorker:
    """A worker that reads a request in pieces with a delay between them, and counts what it has read.

    With `begin` it reads nothing before that event.
    """

    def __init__(self, response, delay_seconds=0.0, begin=None):
        self.response, self.delay_seconds, self.begin = response, delay_seconds, begin
        self.read_bytes, self.read_at, self.is_over = 0, 0.0, False

    async def start(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.sock.setblocking(False)
        self.task = asyncio.create_task(self.serve())
        return self

    async def serve(self):
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(self.sock)
        with contextlib.suppress(ConnectionError):
            if self.begin is not None:
                await self.begin.wait()
            while self.read_bytes < BODY_BYTES and (data := await loop.sock_recv(accepted, 16 * 1024)):
                self.read_bytes += len(data) - (data.index(b"\r\n\r\n") + 4 if not self.read_bytes else 0)
                self.read_at = loop.time()
                await asyncio.sleep(self.delay_seconds)
            if self.read_bytes == BODY_BYTES:
                await loop.sock_sendall(accepted, self.response)
        self.is_over = True

    def entry(self, name):
        worker = FakeWorker(name)
        worker.port = self.sock.getsockname()[1]
        return worker.entry()


class RepeatingGateway:
    """A scripted gateway: the request goes to worker `first`, and after a failure once more to `second`."""

    def __init__(self):
        self.outcomes = []

    def handle(self, now, event):
        if isinstance(event, interface.Request):
            return [interface.Send("r", "first")]
        if isinstance(event, interface.Outcome):
            self.outcomes.append(event.status)
            if event.status == interface.FAILURE:
                return [interface.Send("r", "second")]
        return []


async def submit_repeated(second, window_seconds):
    """Submit a keyed request whose first attempt fails at once; return the gateway when the second one has begun."""
    loop, gateway = asyncio.get_running_loop(), RepeatingGateway()
    klass = interface.RequestClass("keyed", 1.0, 4.0, interface.TOKEN, window=window_seconds)
    settings = interface.Settings((klass,), (interface.Plan("free"),), max_attempts=2)
    dispatcher = RequestDispatcher(loop, settings, gateway, ConnectionPool(loop, 10, 0.25, 15.0))
    first = await ReadingWorker(ERROR_RESPONSE).start()
    endpoints = [first.entry("first"), second.entry("second")]
    dispatcher.update_workers(DiscoveryUpdate({"index": 1, "snapshot": True, "endpoints": endpoints}))
    body = Body(BufferBudget(2 * BODY_BYTES), BODY_BYTES)
    body.append(bytes(BODY_BYTES))
    body.finish()
    event = interface.Request("r", "keyed", "free", "c", TIME_LEFT_SECONDS, long_body=True)
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n" % BODY_BYTES
    dispatcher.submit(event, head, body, loop.time() + TIME_LEFT_SECONDS, lambda status, headers, body: None)
    await until(lambda: gateway.outcomes)
    return gateway


# Guards against: a repeat that is passed to the system within the window was read, and run, after it.
def test_what_the_system_holds_of_a_repeat_at_the_end_of_its_window_is_dropped():
    async def scenario():
        window_over = asyncio.Event()
        slow = await ReadingWorker(RESPONSE, begin=window_over).start()
        gateway = await submit_repeated(slow, window_seconds=0.2)
        await until(lambda: len(gateway.outcomes) == 2)
        assert gateway.outcomes[0] == interface.FAILURE
        assert gateway.outcomes[1] in (interface.UNREACHABLE, interface.CONNECTION_RESET)
        window_over.set()
        await until(lambda: slow.is_over)
        assert slow.read_bytes < BODY_BYTES

    run(scenario())


# Guards against: the end of a repeat waited in the worker's buffers at the end of the window, and was read after it.
def test_the_end_of_a_repeat_is_kept_back_from_a_worker_that_would_read_it_after_the_window():
    async def scenario():
        loop = asyncio.get_running_loop()
        slow = await ReadingWorker(RESPONSE, delay_seconds=0.02).start()  # 19 pieces: 0.38 s
        began_at = loop.time()
        gateway = await submit_repeated(slow, window_seconds=0.35)
        await until(lambda: len(gateway.outcomes) == 2)
        await until(lambda: slow.is_over)
        assert slow.read_bytes < BODY_BYTES, f"whole {slow.read_at - began_at:.3f} s after the start"
        assert gateway.outcomes[1] in (interface.UNREACHABLE, interface.CONNECTION_RESET)

    run(scenario())


@pytest.mark.parametrize("delay_seconds", [0.0, 0.005])
def test_a_worker_that_reads_a_repeat_in_time_gets_all_of_it(delay_seconds):
    async def scenario():
        sound = await ReadingWorker(RESPONSE, delay_seconds).start()
        gateway = await submit_repeated(sound, window_seconds=2.5)
        await until(lambda: len(gateway.outcomes) == 2)
        assert gateway.outcomes == [interface.FAILURE, interface.SUCCESS] and sound.read_bytes == BODY_BYTES

    run(scenario())
