"""System calls that fail temporarily: each request is answered once, and no effect happens twice."""

import asyncio
import contextlib
import errno

import pytest

from rig.fake_servers import Client, FakeDiscovery, FakeWorker, config, launch, run
from tests.incidents.conftest import Call

REQUESTS = 24


@contextlib.asynccontextmanager
async def gatekeeper_with(failing_calls, *workers):
    """A gatekeeper in a process of its own, with the failing calls preloaded into it."""
    for worker in workers:
        await worker.start()
    discovery = await FakeDiscovery([worker.entry() for worker in workers]).start()
    gatekeeper = await launch(config(discovery.port), environment=failing_calls.environment)
    try:
        await discovery.wait_until_watched()
        gatekeeper.discovery = discovery
        yield gatekeeper
        assert gatekeeper.process.returncode is None, gatekeeper.log
        assert not any("Traceback" in line for line in gatekeeper.log), gatekeeper.log
    finally:
        if gatekeeper.process.returncode is None:
            gatekeeper.process.kill()
        await gatekeeper.process.wait()


async def ask_on_new_connection(gatekeeper, body=b""):
    """The status of a request on a new connection; None if the connection ended without a reply."""
    client = await gatekeeper.client()
    client.send(Client.request("write", body=body))
    reply = await client.receive()
    client.writer.close()
    return reply.status if reply is not None else None


def all_ran_once(worker):
    """Whether the worker received no request twice."""
    return len({request.id for request in worker.received}) == len(worker.received)


@pytest.mark.parametrize("times", [1, 3, -1])
@pytest.mark.parametrize(
    "error",
    [
        errno.ENFILE,
        errno.EMFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EINTR,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.EHOSTUNREACH,
        errno.EAGAIN,
    ],
)
def test_a_failing_accept_loses_no_request(failing_calls, error, times):
    async def scenario():
        worker = FakeWorker("w")
        async with gatekeeper_with(failing_calls, worker) as gatekeeper:
            failing_calls.plan(Call.ACCEPT, error, 50 if error == errno.EINTR and times < 0 else times)
            tasks = [asyncio.create_task(ask_on_new_connection(gatekeeper)) for _ in range(REQUESTS)]
            if times < 0:
                await asyncio.sleep(0.3)  # EINTR is limited: the interpreter itself repeats an interrupted call
                assert 0 < failing_calls.failed(Call.ACCEPT) < 20_000  # accepting is retried, but not in a busy loop
                failing_calls.plan(Call.ACCEPT)
            assert await asyncio.gather(*tasks) == [200] * REQUESTS
            assert all_ran_once(worker) and len(worker.received) == REQUESTS

    run(scenario())


@pytest.mark.parametrize("call", [Call.SOCKET, Call.CONNECT])
@pytest.mark.parametrize(
    "error",
    [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR],
)
def test_a_connection_that_fails_locally_is_retried(failing_calls, call, error):
    if call is Call.SOCKET and error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR):
        error = errno.EACCES  # socket(2) does not return these

    async def scenario():
        worker = FakeWorker("w")
        async with gatekeeper_with(failing_calls, worker) as gatekeeper:
            client = await gatekeeper.client()
            failing_calls.plan(call, error, 3)
            assert (await client.fetch("write")).status == 200
            assert failing_calls.failed(call) == 3 and len(worker.received) == 1

    run(scenario())


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENETUNREACH])
def test_a_connection_that_always_fails_locally_is_refused_in_time_with_a_bounded_number_of_retries(
    failing_calls, error
):
    async def scenario():
        worker = FakeWorker("w")
        async with gatekeeper_with(failing_calls, worker) as gatekeeper:
            client = await gatekeeper.client()
            failing_calls.plan(Call.CONNECT, error, -1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await client.fetch("write", timeout="2.0")).status == 503
            assert loop.time() - began < 1.5 and failing_calls.failed(Call.CONNECT) < 100 and not worker.received
            failing_calls.plan(Call.CONNECT)
            assert (await client.fetch("write")).status == 200

    run(scenario())


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE])
@pytest.mark.parametrize("call", [Call.RECEIVE, Call.SEND])
def test_a_connection_broken_by_any_error_gives_at_most_one_run(failing_calls, call, error):
    async def scenario():
        worker = FakeWorker("w")
        async with gatekeeper_with(failing_calls, worker) as gatekeeper:
            statuses = []
            for _ in range(REQUESTS):
                client = await gatekeeper.client()
                failing_calls.plan(call, error, 1)
                client.send(Client.request("write"))
                reply = await client.receive()
                statuses.append(reply.status if reply is not None else None)
                client.writer.close()
            assert all_ran_once(worker)
            failing_calls.plan(call)
            assert await ask_on_new_connection(gatekeeper) == 200

    run(scenario())


@pytest.mark.parametrize("most_bytes", [1, 7])
@pytest.mark.parametrize("call", [Call.RECEIVE, Call.SEND])
def test_short_reads_and_writes_change_nothing(failing_calls, call, most_bytes):
    async def scenario():
        worker = FakeWorker("w")
        async with gatekeeper_with(failing_calls, worker) as gatekeeper:
            failing_calls.plan(call, most_bytes=most_bytes)
            statuses = await asyncio.gather(*(ask_on_new_connection(gatekeeper, b"x" * 300) for _ in range(REQUESTS)))
            assert statuses == [200] * REQUESTS and all_ran_once(worker)
            assert {request.body for request in worker.received} == {b"x" * 300}

    run(scenario())
