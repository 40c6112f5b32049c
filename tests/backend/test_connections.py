"""Connections to workers: which are reused, which are closed, and what a drain does to them."""

import asyncio

from oliveloft.backend.idle_timeout import IdleTimeout
from rig.fake_servers import Client, FakeWorker, answer, reset, reuse_delay_over, run, running_gatekeeper, until


def gated_answer() -> tuple[asyncio.Event, object]:
    """An event, and a worker script that answers once it is set."""
    event = asyncio.Event()

    async def script(request, writer):
        await event.wait()
        await answer()(request, writer)

    return event, script


def test_a_connection_is_reused():
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (_, _, client):
            for _ in range(5):
                assert (await client.fetch("write")).status == 200
                await reuse_delay_over()
            assert worker.connection_numbers == [1] * 5

    run(scenario())


def test_the_most_recently_used_connection_is_reused_first():
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            first, second = gated_answer(), gated_answer()
            other = await gatekeeper.client()
            worker.script = first[1]
            client.send(Client.request("write"))
            await until(lambda: len(worker.received) == 1)
            worker.script = second[1]
            other.send(Client.request("write"))
            await until(lambda: len(worker.received) == 2)
            second[0].set()
            assert (await other.receive()).status == 200
            first[0].set()
            assert (await client.receive()).status == 200
            worker.script = answer()
            await reuse_delay_over()
            assert (await client.fetch("write")).status == 200
            assert worker.connection_numbers == [1, 2, 1]  # the first connection became idle last

    run(scenario())


def test_a_connection_with_unsolicited_data_or_an_announced_close_is_not_reused():
    async def unsolicited(request, writer):
        await answer()(request, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")

    async def closing(request, writer):
        await answer()(request, writer)
        writer.close()

    async def scenario():
        worker = FakeWorker("w")
        twice = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 500 X\r\n\r\n"
        async with running_gatekeeper(worker) as (_, _, client):
            for script in (unsolicited, closing, answer(headers="Connection: close\r\n"), answer(raw=twice)):
                worker.script = script
                assert (await client.fetch("write")).body == b"done"
                await until(lambda: worker.connections_closed == worker.connections)
            assert worker.connection_numbers == [1, 2, 3, 4]

    run(scenario())


def test_unsolicited_bytes_on_an_idle_connection_close_it():
    async def scenario():
        writers = []

        async def keep(request, writer):
            writers.append(writer)
            await answer()(request, writer)

        worker = FakeWorker("w", keep)
        async with running_gatekeeper(worker) as (_, _, client):
            assert (await client.fetch("write")).status == 200
            writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
            await until(lambda: worker.connections_closed == 1)
            assert (await client.fetch("write")).body == b"done" and worker.connection_numbers == [1, 2]

    run(scenario())


def test_idle_connections_are_closed_before_the_worker_would():
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker, changes={"Caps": {"IdleCloseUs": 3_000_000}}) as (_, _, client):
            assert (await client.fetch("write")).status == 200
            began = asyncio.get_running_loop().time()
            await until(lambda: worker.connections_closed == 1)
            assert asyncio.get_running_loop().time() - began < 3.0

    run(scenario())


def test_worker_connections_are_limited_and_idle_ones_are_closed_to_make_room():
    async def scenario():
        workers = [FakeWorker(f"w{n}") for n in range(12)]
        async with running_gatekeeper(*workers, sockets=64) as (_, _, client):  # room for 7 connections to workers
            for _ in range(60):
                assert (await client.fetch("write")).status == 200
            assert sum(worker.connections - worker.connections_closed for worker in workers) <= 8

    run(scenario())


def test_a_draining_worker_gets_no_new_request_and_completes_those_in_flight():
    async def scenario():
        event, script = gated_answer()
        worker, other = FakeWorker("w", script), FakeWorker("v")
        async with running_gatekeeper(worker) as (gatekeeper, discovery, client):
            client.send(Client.request("write"))
            await until(lambda: worker.received)
            await other.start()
            discovery.change(other.entry(), worker.entry(status="draining"))
            await discovery.wait_until_watched()
            second = await gatekeeper.client()
            for _ in range(5):
                assert (await second.fetch("write")).status == 200
            event.set()
            assert (await client.receive()).status == 200
            await until(lambda: worker.connections_closed == 1)  # idle now, and not needed any more
            assert len(worker.received) == 1 and len(other.received) == 5

    run(scenario())


def test_a_worker_with_a_new_address_or_start_time_is_a_new_incarnation():
    async def scenario():
        old, new = FakeWorker("w"), FakeWorker("w")
        async with running_gatekeeper(old) as (_, discovery, client):
            assert (await client.fetch("write")).status == 200
            await new.start()
            discovery.change(new.entry())
            await until(lambda: old.connections_closed == 1)
            assert (await client.fetch("write")).status == 200 and len(new.received) == 1
            discovery.change(new.entry(since_ms=1_700_000_000_000))
            await until(lambda: new.connections_closed == 1)
            assert (await client.fetch("write")).status == 200
            assert len(old.received) == 1 and new.connection_numbers == [1, 2]

    run(scenario())


def test_a_removed_worker_gets_no_request_and_its_idle_connection_is_closed():
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (_, discovery, client):
            assert (await client.fetch("write")).status == 200
            discovery.change({"name": "w", "status": "removed"})
            await until(lambda: worker.connections_closed == 1)
            assert (await client.fetch("write")).status == 503 and len(worker.received) == 1

    run(scenario())


def test_the_idle_timeout_shrinks_when_idle_connections_fail_on_reuse():
    async def scenario():
        loop, last = asyncio.get_running_loop(), {}

        async def forgetful(request, writer):  # drops connections that were idle for 50 ms, without a close
            idle_seconds = loop.time() - last.get(writer, loop.time())
            await (answer() if idle_seconds < 0.05 else reset)(request, writer)
            last[writer] = loop.time()

        worker = FakeWorker("w", forgetful)
        async with running_gatekeeper(worker) as (_, _, client):
            statuses = []
            for _ in range(20):
                statuses.append((await client.fetch("write")).status)
                await asyncio.sleep(0.1)
            assert statuses.count(502) <= 4 and set(statuses) <= {200, 502}

    run(scenario())


def test_an_idle_time_is_excluded_only_if_new_connections_do_better_and_is_tried_again_later():
    for new_connections_fail, excluded in ((0, True), (1, False)):
        idle_timeout = IdleTimeout(8.0, 0.0)
        for n in range(40):
            idle_timeout.record(None, bool(new_connections_fail and n % 2))
            idle_timeout.record(0.01, False)
            idle_timeout.record(1.5, n % 2 == 0)
        assert (0.01 < idle_timeout.limit_seconds <= 1.5) is excluded
        idle_timeout.decay(300.0)
        assert idle_timeout.limit_seconds == 8.0
