"""The counter client against a fake counter: each call gets one result, whatever happens to the connection."""

import asyncio

import pytest

from micagate import interface
from oliveloft.counter.client import Counter as Client
from rig.counting import Counter, Service

TIMEOUT_SECONDS = 0.5


async def connect(counter: Counter, timeout: float = TIMEOUT_SECONDS) -> Client:
    client = Client(asyncio.get_running_loop(), ("127.0.0.1", counter.port), timeout, 1)
    while (await call(client)).status == interface.UNREACHABLE:
        await asyncio.sleep(0.01)
    return client


async def call(client: Client, name: int = 7, amount: float = 0.0) -> interface.CounterResult:
    results: asyncio.Queue[interface.CounterResult] = asyncio.Queue()
    client.call(interface.CounterAdd(name, amount, 30.0), results.put_nowait)
    return await asyncio.wait_for(results.get(), 10.0)


def play(scenario) -> None:
    async def run_scenario() -> None:
        counter = await Counter(Service()).start()
        try:
            client = await connect(counter)
            await scenario(counter, client)
            client.stop()
        finally:
            counter.stop()

    asyncio.run(run_scenario())


def test_totals_add_up_over_clients_and_arrive_in_call_order():
    async def scenario(counter, client):
        other = await connect(counter)
        answers = await asyncio.gather(*(call(client, 3, 0.5) for _ in range(50)))
        assert [answer.total for answer in answers] == [0.5 * n for n in range(1, 51)]
        assert (await call(other, 3, -25.0)).total == 0.0

    play(scenario)


def test_reports_overload_and_timeout_of_the_counter():
    async def scenario(counter, client):
        counter.service.busy = True
        assert (await call(client)).status == interface.OVERLOADED
        counter.service.busy = False
        counter.service.dead = {0}
        answer = await call(client)
        assert answer.status == interface.TIMED_OUT and answer.took >= TIMEOUT_SECONDS

    play(scenario)


def test_a_late_response_is_not_attributed_to_the_next_call():
    async def scenario(counter, client):
        counter.service.rate, counter.service.queue, client._wait = 2.0, 5.0, 0.05  # each call takes half a second
        assert (await call(client, 3, 1.0)).status == interface.TIMED_OUT
        client._wait = 5.0
        assert (await call(client, 4, 5.0)).total == 5.0

    play(scenario)


@pytest.mark.parametrize(
    "malformed", [b"$3\r\nabc\r\n", b"*1\r\n:1\r\n", b":7\r\n", b"+OK\r\n", b"$-1\r\n", b"?\r\n", b"$3\r\ninf\r\n"]
)
def test_a_malformed_response_closes_the_connection_and_the_next_call_reconnects(malformed):
    async def scenario(counter, client):
        counter.spoil = malformed
        assert (await call(client, 3, 1.0)).status == interface.TIMED_OUT  # it may have been added
        while (answer := await call(client, 3, 1.0)).status == interface.UNREACHABLE:
            await asyncio.sleep(0.01)
        assert answer.total == 2.0

    play(scenario)


def test_reconnects_after_an_outage_and_to_a_new_address():
    async def scenario(counter, client):
        assert (await call(client, 3, 1.0)).total == 1.0
        counter.stop()
        while (await call(client, 3, 1.0)).status != interface.UNREACHABLE:
            await asyncio.sleep(0.01)
        other = await Counter().start()
        client.move(("127.0.0.1", other.port))
        while (answer := await call(client, 3, 1.0)).status != interface.SUCCESS:
            await asyncio.sleep(0.01)
        assert answer.total == 1.0
        other.stop()

    play(scenario)


class RacingLoop:
    """An event loop whose first connection is established at the moment of its timeout.

    The connection is closed without a callback to its protocol, as uvloop does when a connect is cancelled after it has
    succeeded.
    """

    def __init__(self, loop):
        self._loop, self.raced = loop, False

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, factory, host, port):
        transport, protocol = await self._loop.create_connection(factory, host, port)
        if not self.raced:
            self.raced = True
            transport.set_protocol(asyncio.Protocol())
            transport.abort()
            raise TimeoutError
        return transport, protocol


def test_drops_a_connection_established_at_its_timeout():
    """Such a connection was kept, and every call written to it failed until the process was restarted."""

    async def scenario():
        counter = await Counter(Service()).start()
        loop = RacingLoop(asyncio.get_running_loop())
        client = Client(loop, ("127.0.0.1", counter.port), TIMEOUT_SECONDS, 1)
        statuses = []
        while not statuses or statuses[-1] == interface.UNREACHABLE:
            statuses.append((await call(client)).status)
            await asyncio.sleep(0.01)
        assert loop.raced and statuses[-1] == interface.SUCCESS
        client.stop()
        counter.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))
