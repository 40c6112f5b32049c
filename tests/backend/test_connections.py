"""Worker connections: what is used again, what is not, and what drains do to them."""

import asyncio

from oliveloft.backend.idle_timeout import IdleTimeout
from rig.fake_servers import Client, Worker, answer, reset, run, scene, until


def held() -> tuple[asyncio.Event, object]:
    """An event, and a script that answers once it is set."""
    event = asyncio.Event()

    async def script(request, writer):
        await event.wait()
        await answer()(request, writer)

    return event, script


def test_a_connection_is_used_again():
    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (_, _, client):
            for _ in range(5):
                assert (await client.ask("write")).status == 200
            assert worker.over == [1] * 5

    run(scenario())


def test_the_most_recent_connection_is_used_first():
    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (gatekeeper, _, client):
            first, second = held(), held()
            other = await gatekeeper.client()
            worker.script = first[1]
            client.send(Client.request("write"))
            await until(lambda: len(worker.seen) == 1)
            worker.script = second[1]
            other.send(Client.request("write"))
            await until(lambda: len(worker.seen) == 2)
            second[0].set()
            assert (await other.receive()).status == 200
            first[0].set()
            assert (await client.receive()).status == 200
            worker.script = answer()
            assert (await client.ask("write")).status == 200
            assert worker.over == [1, 2, 1]  # the first one was free last

    run(scenario())


def test_what_is_spoilt_is_not_used_again():
    async def stray(request, writer):
        await answer()(request, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")

    async def closing(request, writer):
        await answer()(request, writer)
        writer.close()

    async def scenario():
        worker = Worker("w")
        twice = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 500 X\r\n\r\n"
        async with scene(worker) as (_, _, client):
            for script in (stray, closing, answer(headers="Connection: close\r\n"), answer(raw=twice)):
                worker.script = script
                assert (await client.ask("write")).body == b"done"
                await until(lambda: worker.closed == worker.connections)
            assert worker.over == [1, 2, 3, 4]

    run(scenario())


def test_stray_bytes_on_an_idle_connection_end_it():
    async def scenario():
        writers = []

        async def keep(request, writer):
            writers.append(writer)
            await answer()(request, writer)

        worker = Worker("w", keep)
        async with scene(worker) as (_, _, client):
            assert (await client.ask("write")).status == 200
            writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
            await until(lambda: worker.closed == 1)
            assert (await client.ask("write")).body == b"done" and worker.over == [1, 2]

    run(scenario())


def test_idle_connections_are_closed_before_the_worker_would():
    async def scenario():
        worker = Worker("w")
        async with scene(worker, changes={"Caps": {"IdleCloseUs": 3_000_000}}) as (_, _, client):
            assert (await client.ask("write")).status == 200
            began = asyncio.get_running_loop().time()
            await until(lambda: worker.closed == 1)
            assert asyncio.get_running_loop().time() - began < 3.0

    run(scenario())


def test_worker_connections_are_bounded_and_idle_ones_make_room():
    async def scenario():
        workers = [Worker(f"w{n}") for n in range(12)]
        async with scene(*workers, sockets=64) as (_, _, client):  # room for 7 connections to workers
            for _ in range(60):
                assert (await client.ask("write")).status == 200
            assert sum(worker.connections - worker.closed for worker in workers) <= 8

    run(scenario())


def test_a_draining_worker_gets_nothing_new_and_what_it_has_is_finished():
    async def scenario():
        event, script = held()
        worker, other = Worker("w", script), Worker("v")
        async with scene(worker) as (gatekeeper, discovery, client):
            client.send(Client.request("write"))
            await until(lambda: worker.seen)
            await other.start()
            discovery.change(other.entry(), worker.entry(status="draining"))
            await discovery.watched()
            second = await gatekeeper.client()
            for _ in range(5):
                assert (await second.ask("write")).status == 200
            event.set()
            assert (await client.receive()).status == 200
            await until(lambda: worker.closed == 1)  # idle now, and of no more use
            assert len(worker.seen) == 1 and len(other.seen) == 5

    run(scenario())


def test_a_worker_back_at_a_new_address_or_start_is_a_fresh_process():
    async def scenario():
        old, new = Worker("w"), Worker("w")
        async with scene(old) as (_, discovery, client):
            assert (await client.ask("write")).status == 200
            await new.start()
            discovery.change(new.entry())
            await until(lambda: old.closed == 1)
            assert (await client.ask("write")).status == 200 and len(new.seen) == 1
            discovery.change(new.entry(since_ms=1_700_000_000_000))
            await until(lambda: new.closed == 1)
            assert (await client.ask("write")).status == 200
            assert len(old.seen) == 1 and new.over == [1, 2]

    run(scenario())


def test_a_removed_worker_gets_nothing_and_its_idle_connection_is_closed():
    async def scenario():
        worker = Worker("w")
        async with scene(worker) as (_, discovery, client):
            assert (await client.ask("write")).status == 200
            discovery.change({"name": "w", "status": "removed"})
            await until(lambda: worker.closed == 1)
            assert (await client.ask("write")).status == 503 and len(worker.seen) == 1

    run(scenario())


def test_connections_that_die_at_rest_are_soon_rested_no_longer():
    async def scenario():
        loop, last = asyncio.get_running_loop(), {}

        async def forgetful(request, writer):  # it has forgotten what has rested for 50 ms, and tells nobody
            rested = loop.time() - last.get(writer, loop.time())
            await (answer() if rested < 0.05 else reset)(request, writer)
            last[writer] = loop.time()

        worker = Worker("w", forgetful)
        async with scene(worker) as (_, _, client):
            statuses = []
            for _ in range(20):
                statuses.append((await client.ask("write")).status)
                await asyncio.sleep(0.1)
            assert statuses.count(502) <= 4 and set(statuses) <= {200, 502}

    run(scenario())


def test_a_rest_is_given_up_only_where_new_connections_do_better_and_is_tried_again_later():
    for new_break, given_up in ((0, True), (1, False)):
        rest = IdleTimeout(8.0, 0.0)
        for n in range(40):
            rest.tell(None, bool(new_break and n % 2))
            rest.tell(0.01, False)
            rest.tell(1.5, n % 2 == 0)
        assert (0.01 < rest.limit <= 1.5) is given_up
        rest.look(300.0)
        assert rest.limit == 8.0
