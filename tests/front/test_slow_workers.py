"""Workers that read or write slowly: the final reply comes in time, and what they still give is not cut off."""

import asyncio

import pytest

from rig.bulk import BulkClient, BulkWorker, body_checksum, read_body, read_head
from rig.fake_servers import Client, FakeWorker, reset, run, running_gatekeeper, until

MB = 1 << 20


# Guards against: without memory, the deadline of a request that its worker reads slowly began when its last byte was
# read here, seconds after the client had sent it.
@pytest.mark.parametrize("held_mb", [0.0625, 24])
def test_the_deadline_of_a_long_request_counts_from_when_its_client_has_sent_it(held_mb):
    async def scenario():
        loop, timeout_seconds = asyncio.get_running_loop(), 1.0
        async with running_gatekeeper(BulkWorker("w"), limits={"held_mb": held_mb}) as (gatekeeper, _, _):
            client = await BulkClient.connect(gatekeeper.port)
            asking = asyncio.create_task(
                client.fetch(size=6 * MB, worker_query=f"read={MB}", timeout=timeout_seconds, step=6 * MB)
            )
            await until(lambda: client.is_sent)
            await until(lambda: not client.writer.transport.get_write_buffer_size())
            sent_at = loop.time()
            status, *_ = await asking
            assert status in (502, 504)
            assert loop.time() - sent_at < timeout_seconds + 0.5  # a final reply is lost half a second after its time

    run(scenario())


# Guards against: a response without a length was held back until its deadline, however much its worker still gave.
@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
def test_a_long_response_that_its_worker_writes_for_longer_than_the_deadline_arrives_complete(framing):
    async def scenario():
        async with running_gatekeeper(BulkWorker("w")) as (gatekeeper, _, _):
            client = await BulkClient.connect(gatekeeper.port)
            query = f"give=120000&framing={framing}&pace=40000&step=4000"
            status, name, *received = await client.fetch("read", worker_query=query, timeout=2.0)
            assert status == 200 and received == [120_000, body_checksum(name, 120_000), True]

    run(scenario())


# Guards against: a response without a length that is reset on the way looked complete to its client.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_streamed_response_without_a_length_that_is_reset_is_visibly_truncated(version):
    async def give_and_reset(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for _ in range(15):
            writer.write(b"x" * 4000)
            await asyncio.sleep(0.1)
        await reset(request, writer)

    async def scenario():
        async with running_gatekeeper(FakeWorker("w", give_and_reset)) as (gatekeeper, _, _):
            client = await BulkClient.connect(gatekeeper.port)
            client.writer.write(Client.request("read").replace(b"HTTP/1.1", b"HTTP/%b" % version.encode(), 1))
            response = await read_head(client.reader)
            size, _, complete = await read_body(client.reader, response.headers)
            assert response.status == 200 and size <= 60_000 and not complete

    run(scenario())
