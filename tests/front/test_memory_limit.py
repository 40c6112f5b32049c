"""Clients that make the gatekeeper hold much: it stays under its memory limit, and usual clients are served."""

import asyncio
import contextlib

import pytest

from rig.bulk import BulkClient, BulkWorker, body_checksum, read_body, read_head
from rig.fake_servers import Client, run, running_gatekeeper, until
from rig.memory import resident_bytes
from rig.memory_pressure import MB, connect, play

LEAST_MEMORY_MB, MOST_SOCKETS = 32, 1024  # the least memory that a gatekeeper is given, with the most descriptors


# Guards against: only bytes received were counted, while header lines, pieces of bodies, windows of uploads and the
# write buffers of slow readers took a multiple of them, and the process was killed at its memory limit.
@pytest.mark.parametrize(
    "kind",
    ["half_head", "half_request", "half_short_request", "tiny_chunks", "slow_reader", "slow_reader_of_chunks"],
)
def test_the_least_memory_is_enough_for_hundreds_of_clients_that_hold_much(kind):
    async def scenario():
        peak_bytes, usual = await play([kind], LEAST_MEMORY_MB, MOST_SOCKETS, seconds=3.0)
        assert peak_bytes < LEAST_MEMORY_MB * MB
        assert usual.latencies

    run(scenario())


# Guards against: requests queued behind one in progress were not charged, and one read could bring thousands.
def test_many_small_requests_behind_a_slow_one_take_little_memory():
    async def scenario():
        worker = BulkWorker("w")
        async with running_gatekeeper(worker, limits={"memory_mb": LEAST_MEMORY_MB}) as (gatekeeper, _, _):
            before = resident_bytes(gatekeeper.process.pid)
            clients = [await gatekeeper.client() for _ in range(50)]
            for client in clients:
                slow = Client.request("read", path="/read?customer=00000000000000aa&give=200000&pace=100000")
                client.send(slow + b"GET / HTTP/1.1\r\n\r\n" * 10_000)
            await until(lambda: len(worker.received) == len(clients))
            assert resident_bytes(gatekeeper.process.pid) - before < 4 * MB

    run(scenario())


# Guards against: without memory, the rest of a streamed response was dropped 2.5 s after its worker had ended it.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_the_end_of_a_long_response_waits_for_a_client_that_reads_it_seconds_later(framing):
    async def read_late(port, size):
        client = await connect(port, 16 * 1024)
        path = f"/read?customer=00000000000000aa&give={size}&framing={framing}"
        client.writer.write(Client.request("read", path=path))
        response = await read_head(client.reader)
        await asyncio.sleep(4.0)  # longer than a client may leave a short reply unread
        received = await read_body(client.reader, response.headers)
        client.close()
        return received[0], received[2]

    async def scenario():
        async with running_gatekeeper(BulkWorker("w"), limits={"held_mb": 0.0625}) as (gatekeeper, _, _):
            sizes = range(100_000, 500_000, 10_000)
            results = await asyncio.gather(*(read_late(gatekeeper.port, size) for size in sizes))
            assert results == [(size, True) for size in sizes]

    run(scenario())


# Guards against: a request that was rejected when it was whole kept its bytes of the budget until the process ended.
def test_rejected_requests_release_their_memory():
    async def scenario():
        workers = BulkWorker("w"), BulkWorker("v")
        async with running_gatekeeper(*workers, limits={"held_mb": 0.25}) as (gatekeeper, _, _):
            for _ in range(4):
                client = await BulkClient.connect(gatekeeper.port)
                assert (await client.fetch(size=100_000, plan="unknown"))[0] == 400
            leaving = await gatekeeper.client()  # leaves with a whole request queued behind one in progress
            slow = Client.request("read", path="/read?customer=00000000000000aa&give=100000&pace=50000")
            leaving.send(slow + Client.request("write", body=bytes(200_000)))
            await until(lambda: any(each[1] == 0 for worker in workers for each in worker.received))
            leaving.writer.transport.abort()
            await gatekeeper.health()
            client = await BulkClient.connect(gatekeeper.port)
            assert (await client.fetch(size=200_000, worker_query="turn=1"))[0] == 200  # buffered for a second attempt

    run(scenario())


# Guards against: while the budget was used up by requests that stand still, a sound upload waited for their time-out.
def test_an_upload_is_served_while_others_that_stand_still_use_up_the_memory():
    async def scenario():
        worker = BulkWorker("w")
        limits = {"memory_mb": LEAST_MEMORY_MB}
        async with running_gatekeeper(worker, sockets=256, limits=limits) as (gatekeeper, _, _):
            stalled = [await BulkClient.connect(gatekeeper.port) for _ in range(40)]
            tasks = [asyncio.create_task(client.fetch(size=900_000, stop=400_000)) for client in stalled]
            await asyncio.sleep(0)
            client = await BulkClient.connect(gatekeeper.port)
            status, name, *_ = await client.fetch(size=900_000)
            assert status == 200 and (name, 900_000, body_checksum(name, 900_000), True) in worker.received
            for task in tasks:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                    await task

    run(scenario())
