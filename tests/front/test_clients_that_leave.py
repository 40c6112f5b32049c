"""Clients that leave: what is not at a worker by then is not sent on, and their ids do not run twice."""

import asyncio

import pytest

from rig.bulk import BulkClient, BulkWorker
from rig.fake_servers import Client, FakeWorker, after_event, run, running_gatekeeper, until

MB = 1 << 20


# Guards against: a long request that was whole here was still written to its worker after its client had left, and ran.
@pytest.mark.parametrize("size", [3 * MB // 2, 7 * MB])
def test_a_long_request_that_its_worker_still_reads_does_not_run_once_its_client_has_left(size):
    async def scenario():
        worker = BulkWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            leaving = await BulkClient.connect(gatekeeper.port)
            sending = asyncio.create_task(leaving.fetch(size=size, worker_query=f"read={size}"))  # it reads for 1 s
            await asyncio.sleep(0.4)
            assert not worker.received
            leaving.close()
            sending.cancel()
            await until(lambda: worker.received)
            assert not worker.received[0][3], "the worker has all of the request"
            assert (await client.fetch("write")).status == 200

    run(scenario())


# Guards against: the id of a request that was running when its client left was taken for a new one, and ran twice.
@pytest.mark.parametrize("ended", [False, True])
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(ended):
    async def scenario():
        answers = asyncio.Event()
        worker = FakeWorker("w", after_event(answers))
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            leaving = await gatekeeper.client()
            leaving.send(Client.request("write", id="same"))
            await until(lambda: worker.received)
            leaving.writer.close()
            await gatekeeper.health()  # by then the gatekeeper has seen the close
            if ended:
                answers.set()
                assert (await client.fetch("write")).status == 200  # by then the first answer has come as well
            again = await gatekeeper.client()
            assert (await again.fetch("write", id="same")).status == 400
            answers.set()
            assert [message.id for message in worker.received].count("same") == 1

    run(scenario())


# Guards against: the same after a failure that proves that the request did not run, which may be sent again.
def test_an_id_that_did_not_run_may_come_again():
    async def scenario():
        worker = BulkWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, _):
            query = "/write?customer=00000000000000aa&turn=9"
            client = await gatekeeper.client()
            assert (await client.fetch("write", id="refused", path=query)).status == 503
            assert (await client.fetch("write", id="refused")).status == 200

    run(scenario())
