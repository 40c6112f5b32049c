"""Chunked messages that end with trailer fields, and messages in the smallest chunks, from clients and workers."""

import asyncio
import contextlib

import pytest

from rig.bulk import TRAILER, BulkClient, BulkWorker, body_checksum
from rig.fake_servers import Client, run, running_gatekeeper
from rig.memory import resident_bytes

MB = 1 << 20


# Guards against: a trailer was counted with the whole body against the limit of a head, and long filings got no answer.
@pytest.mark.parametrize("size", [2000, 60_000, 200_000, 3 * MB // 2])
def test_a_chunked_request_with_a_trailer_is_served(size):
    async def scenario():
        worker = BulkWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, _):
            client = await BulkClient.connect(gatekeeper.port)
            for _ in range(2):  # on the same connection
                status, name, *_ = await client.fetch(size=size, chunked=True, step=16384, trailer=TRAILER)
                assert status == 200 and worker.received[-1] == (name, size, body_checksum(name, size), True)

    run(scenario())


# Guards against: the same of a worker's response, which was cut off once it was streamed.
@pytest.mark.parametrize("size", [2000, 128 * 1024, 3 * MB])
def test_a_chunked_response_with_a_trailer_arrives_complete(size):
    async def scenario():
        async with running_gatekeeper(BulkWorker("w")) as (gatekeeper, _, _):
            client = await BulkClient.connect(gatekeeper.port)
            for _ in range(2):
                query = f"give={size}&framing=chunked&step=16384&trailer=1"
                status, name, *received = await client.fetch("read", worker_query=query)
                assert status == 200 and received == [size, body_checksum(name, size), True]

    run(scenario())


# Guards against: the bytes of chunk sizes were counted like a body, and small chunks of a short message were rejected.
def test_a_short_message_in_chunks_of_one_byte_is_served_both_ways():
    async def scenario():
        worker, size = BulkWorker("w"), 60_000
        async with running_gatekeeper(worker) as (gatekeeper, _, _):
            client = await BulkClient.connect(gatekeeper.port)
            query = f"give={size}&framing=chunked&step=1"
            status, name, *received = await client.fetch(size=size, chunked=True, step=1, worker_query=query)
            assert status == 200 and received == [size, body_checksum(name, size), True]
            assert worker.received[-1] == (name, size, body_checksum(name, size), True)

    run(scenario())


# Guards against: the parser kept a trailer of a long body that never ended, in memory without a limit.
def test_a_trailer_without_end_is_rejected_before_it_takes_memory():
    async def scenario():
        async with running_gatekeeper(BulkWorker("w")) as (gatekeeper, _, _):
            before = resident_bytes(gatekeeper.process.pid)
            client = await gatekeeper.client()
            head = Client.request("write").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            client.send(head + b"%x\r\n%b\r\n0\r\nX-Endless: " % (MB // 4, bytes(MB // 4)))
            sending = asyncio.create_task(endless(client))
            reply = await client.receive()
            assert reply is None or reply.status == 431
            sending.cancel()
            assert resident_bytes(gatekeeper.process.pid) - before < 4 * MB

    async def endless(client):
        with contextlib.suppress(ConnectionError):
            while True:
                client.send(b"x" * MB)
                await client.writer.drain()

    run(scenario())
