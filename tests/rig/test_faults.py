"""The fault proxy: each fault has its effect, and no bytes are lost when the link heals."""

import asyncio
import contextlib

import pytest

from rig.fake_servers import run, until
from rig.faults import FaultProxy


@contextlib.asynccontextmanager
async def echo():
    """A proxy in front of an echo server, and the list of chunks that the server received."""
    received = []

    async def serve(reader, writer):
        try:
            while data := await reader.read(65536):
                received.append(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            received.append(b"<reset>")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    proxy = await FaultProxy(server.sockets[0].getsockname()).start()
    try:
        yield proxy, received
    finally:
        await proxy.stop()
        server.close()


async def connect(proxy):
    return await asyncio.open_connection("127.0.0.1", proxy.port)


def test_bytes_are_forwarded_unchanged_and_half_close_is_passed_on():
    async def scenario():
        async with echo() as (proxy, _):
            reader, writer = await connect(proxy)
            message = bytes(range(256)) * 4000
            writer.write(message)
            writer.write_eof()
            assert await reader.read(-1) == message
            assert proxy.up.bytes_carried == proxy.down.bytes_carried == len(message)

    run(scenario())


@pytest.mark.parametrize(("up", "down"), [(True, False), (False, True), (True, True)])
def test_blocked_directions_hold_bytes_back_and_healing_delivers_each_once(up, down):
    async def scenario():
        async with echo() as (proxy, received):
            reader, writer = await connect(proxy)
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.block(up, down)
            writer.write(b"two")
            if not up:
                await until(lambda: b"two" in received)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), 0.1)
            assert (b"two" in received) is not up
            proxy.heal()
            assert await reader.readexactly(3) == b"two" and b"".join(received) == b"onetwo"

    run(scenario())


def test_reset_ends_both_sides_and_new_connections_can_be_reset():
    async def scenario():
        async with echo() as (proxy, received):
            reader, writer = await connect(proxy)
            writer.write(b"x")
            await reader.readexactly(1)
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            await until(lambda: b"<reset>" in received)
            proxy.reset_new_connections()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                reader, writer = await connect(proxy)
                writer.write(b"x")
                await reader.readexactly(1)
            proxy.heal()
            reader, writer = await connect(proxy)
            writer.write(b"y")
            assert await reader.readexactly(1) == b"y"

    run(scenario())


def test_new_connection_through_a_blocked_link_carries_nothing_until_it_heals():
    async def scenario():
        async with echo() as (proxy, received):
            proxy.block()
            reader, writer = await connect(proxy)
            writer.write(b"late")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), 0.1)
            assert not received
            proxy.heal()
            assert await reader.readexactly(4) == b"late"

    run(scenario())


def test_delay_and_throttle_slow_the_link_and_keep_the_order():
    async def scenario():
        async with echo() as (proxy, _):
            reader, writer = await connect(proxy)
            loop = asyncio.get_running_loop()
            proxy.delay(up=0.1, down=0.1)
            started_at = loop.time()
            for n in range(10):
                writer.write(bytes([n]))
            assert await reader.readexactly(10) == bytes(range(10))
            assert loop.time() - started_at >= 0.2
            proxy.heal()
            proxy.throttle(up=200_000.0)
            started_at = loop.time()
            writer.write(b"z" * 64_000)
            await reader.readexactly(64_000)
            assert loop.time() - started_at >= 0.2

    run(scenario())
