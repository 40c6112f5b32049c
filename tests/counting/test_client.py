"""The counter client against a fake service: each call has one result, whatever happens to the connection."""

import asyncio

import pytest

from micagate import interface
from oliveloft.counter.client import CounterClient as Client
from rig.counting import CounterServer, CounterService

TIMEOUT_SECONDS = 0.5


async def connected_client(counter: CounterServer, timeout_seconds: float = TIMEOUT_SECONDS) -> Client:
    client = Client(asyncio.get_running_loop(), ("127.0.0.1", counter.port), timeout_seconds, 1)
    while (await call(client)).status == interface.UNREACHABLE:
        await asyncio.sleep(0.01)
    return client


async def call(client: Client, name: int = 7, amount: float = 0.0) -> interface.CounterResult:
    results: asyncio.Queue[interface.CounterResult] = asyncio.Queue()
    client.add(interface.CounterAdd(name, amount, 30.0), results.put_nowait)
    return await asyncio.wait_for(results.get(), 10.0)


def run_scenario(scenario) -> None:
    async def with_counter() -> None:
        counter = await CounterServer(CounterService()).start()
        try:
            client = await connected_client(counter)
            await scenario(counter, client)
            client.stop()
        finally:
            counter.stop()

    asyncio.run(with_counter())


def test_totals_add_up_across_clients_and_arrive_in_the_order_of_the_calls():
    async def scenario(counter, client):
        other = await connected_client(counter)
        results = await asyncio.gather(*(call(client, 3, 0.5) for _ in range(50)))
        assert [result.total for result in results] == [0.5 * n for n in range(1, 51)]
        assert (await call(other, 3, -25.0)).total == 0.0

    run_scenario(scenario)


def test_an_overloaded_or_unresponsive_counter_ends_the_call_with_that_status():
    async def scenario(counter, client):
        counter.service.busy = True
        assert (await call(client)).status == interface.OVERLOADED
        counter.service.busy = False
        counter.service.unresponsive_shards = {0}
        result = await call(client)
        assert result.status == interface.TIMED_OUT and result.took >= TIMEOUT_SECONDS

    run_scenario(scenario)


def test_a_late_reply_is_not_matched_to_the_next_call():
    async def scenario(counter, client):
        # 0.5 s per call.
        counter.service.rate, counter.service.max_wait_seconds, client._timeout_seconds = (2.0, 5.0, 0.05)
        assert (await call(client, 3, 1.0)).status == interface.TIMED_OUT
        client._timeout_seconds = 5.0
        assert (await call(client, 4, 5.0)).total == 5.0

    run_scenario(scenario)


@pytest.mark.parametrize(
    "malformed", [b"$3\r\nabc\r\n", b"*1\r\n:1\r\n", b":7\r\n", b"+OK\r\n", b"$-1\r\n", b"?\r\n", b"$3\r\ninf\r\n"]
)
def test_a_malformed_reply_closes_the_connection_and_the_next_call_opens_another(malformed):
    async def scenario(counter, client):
        counter.malformed_reply = malformed
        assert (await call(client, 3, 1.0)).status == interface.TIMED_OUT  # it may have been added
        while (result := await call(client, 3, 1.0)).status == interface.UNREACHABLE:
            await asyncio.sleep(0.01)
        assert result.total == 2.0

    run_scenario(scenario)


def test_it_reconnects_after_an_outage_and_follows_a_change_of_address():
    async def scenario(counter, client):
        assert (await call(client, 3, 1.0)).total == 1.0
        counter.stop()
        while (await call(client, 3, 1.0)).status != interface.UNREACHABLE:
            await asyncio.sleep(0.01)
        other = await CounterServer().start()
        client.change_address(("127.0.0.1", other.port))
        while (result := await call(client, 3, 1.0)).status != interface.SUCCESS:
            await asyncio.sleep(0.01)
        assert result.total == 1.0
        other.stop()

    run_scenario(scenario)


class RacingLoop:
    """An event loop whose first connection is established at the very moment of the connect timeout.

    The connection is closed without a call to its protocol, as uvloop does when a connect is cancelled after it has
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


def test_a_connection_established_as_the_connect_times_out_is_not_used():
    """If it is used, each call is written to a closed connection and fails for as long as the process runs."""

    async def scenario():
        counter = await CounterServer(CounterService()).start()
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
