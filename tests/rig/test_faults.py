"""The proxy that breaks links: each fault is what it says, and healing loses nothing."""

import asyncio
import contextlib

import pytest

from rig.fake_servers import run, until
from rig.faults import FaultProxy


@contextlib.asynccontextmanager
async def echo():
    """A proxy before a server that sends back what it gets."""
    got = []

    async def serve(reader, writer):
        try:
            while data := await reader.read(65536):
                got.append(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            got.append(b"<reset>")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    proxy = await FaultProxy(server.sockets[0].getsockname()).start()
    try:
        yield proxy, got
    finally:
        await proxy.stop()
        server.close()


async def dial(proxy):
    return await asyncio.open_connection("127.0.0.1", proxy.port)


def test_bytes_go_through_unchanged_and_a_half_close_is_passed_on():
    async def scenario():
        async with echo() as (proxy, _):
            reader, writer = await dial(proxy)
            message = bytes(range(256)) * 4000
            writer.write(message)
            writer.write_eof()
            assert await reader.read(-1) == message
            assert proxy.up.bytes_carried == proxy.down.bytes_carried == len(message)

    run(scenario())


@pytest.mark.parametrize(("up", "down"), [(True, False), (False, True), (True, True)])
def test_a_half_open_cut_holds_back_its_ways_and_healing_loses_and_repeats_nothing(up, down):
    async def scenario():
        async with echo() as (proxy, got):
            reader, writer = await dial(proxy)
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.silence(up, down)
            writer.write(b"two")
            if not up:
                await until(lambda: b"two" in got)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), 0.1)
            assert (b"two" in got) is not up
            proxy.heal()
            assert await reader.readexactly(3) == b"two" and b"".join(got) == b"onetwo"

    run(scenario())


def test_a_reset_breaks_both_ends_and_new_connections_may_be_refused():
    async def scenario():
        async with echo() as (proxy, got):
            reader, writer = await dial(proxy)
            writer.write(b"x")
            await reader.readexactly(1)
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            await until(lambda: b"<reset>" in got)
            proxy.reset_new_connections()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                reader, writer = await dial(proxy)
                writer.write(b"x")
                await reader.readexactly(1)
            proxy.heal()
            reader, writer = await dial(proxy)
            writer.write(b"y")
            assert await reader.readexactly(1) == b"y"

    run(scenario())


def test_a_new_connection_through_a_cut_carries_nothing_until_it_heals():
    async def scenario():
        async with echo() as (proxy, got):
            proxy.silence()
            reader, writer = await dial(proxy)
            writer.write(b"late")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), 0.1)
            assert not got
            proxy.heal()
            assert await reader.readexactly(4) == b"late"

    run(scenario())


def test_delay_and_throttle_cost_time_and_keep_the_order():
    async def scenario():
        async with echo() as (proxy, _):
            reader, writer = await dial(proxy)
            loop = asyncio.get_running_loop()
            proxy.delay(up=0.1, down=0.1)
            began = loop.time()
            for n in range(10):
                writer.write(bytes([n]))
            assert await reader.readexactly(10) == bytes(range(10))
            assert loop.time() - began >= 0.2
            proxy.heal()
            proxy.throttle(up=200_000.0)
            began = loop.time()
            writer.write(b"z" * 64_000)
            await reader.readexactly(64_000)
            assert loop.time() - began >= 0.2

    run(scenario())
