"""SIGTERM: accepted requests are answered before SIGKILL, and requests that cross a close are served when retried."""

import asyncio
import copy
import signal

from rig.fake_servers import (
    DEFAULT_SETTINGS,
    Client,
    FakeWorker,
    after_event,
    answer,
    hang,
    run,
    running_gatekeeper,
    until,
)

KILL_SECONDS = 3.7  # the earliest SIGKILL after SIGTERM, if deadlines are 3 s or longer


def deadlines(seconds):
    """The default settings with another deadline for all classes."""
    facts = copy.deepcopy(DEFAULT_SETTINGS)
    for klass in facts["Classes"]:
        klass["DeadlineUs"] = int(seconds * 1_000_000)
    return facts


def with_deadlines(seconds, monkeypatch):
    """Give all classes this deadline."""
    monkeypatch.setattr("rig.fake_servers.DEFAULT_SETTINGS", deadlines(seconds))


def test_requests_in_flight_beyond_the_kill_are_answered_before_it(monkeypatch):
    with_deadlines(8.0, monkeypatch)

    async def scenario():
        worker = FakeWorker("w", hang)
        async with running_gatekeeper(worker, expect_exit=True) as (gatekeeper, _, client):
            pipelined = await gatekeeper.client()
            client.send(client.request("write", timeout="8.0"))
            pipelined.send(pipelined.request("read", timeout="8.0") + pipelined.request("write", timeout="8.0"))
            await until(lambda: len(worker.received) == 2)
            began = asyncio.get_running_loop().time()
            gatekeeper.process.send_signal(signal.SIGTERM)
            replies = [await client.receive(), await pipelined.receive(), await pipelined.receive()]
            assert await gatekeeper.process.wait() == 0
            assert asyncio.get_running_loop().time() - began < KILL_SECONDS
            # A request that may have run fails; one that was never sent is refused, with no attempt made.
            assert [reply and reply.status for reply in replies] == [502, 502, 503]
            assert len(worker.received) == 2
            assert await client.is_closed_cleanly() and await pipelined.is_closed_cleanly()

    run(scenario())


def test_a_request_that_crossed_the_close_of_its_connection_is_served_when_it_is_sent_again():
    async def scenario():
        go = asyncio.Event()
        workers = [FakeWorker(name, after_event(go)) for name in "vw"]
        async with running_gatekeeper(*workers, expect_exit=True) as (gatekeeper, _, client):
            idle = await gatekeeper.client()
            client.send(Client.request("write", timeout="3.0"))
            await until(lambda: any(worker.received for worker in workers))
            for worker in workers:
                worker.script = answer()
            gatekeeper.process.send_signal(signal.SIGTERM)
            assert await idle.is_closed_cleanly()  # a request may have crossed the close: the client sends it again
            again = await gatekeeper.client()
            reply = await again.fetch("write")
            assert reply.status == 200 and reply.headers["connection"] == "close"
            go.set()
            assert (await client.receive()).status == 200
            assert await gatekeeper.process.wait() == 0

    run(scenario())


def test_pipelined_requests_are_answered_too():
    async def scenario():
        worker, go = FakeWorker("w", hang), asyncio.Event()
        async with running_gatekeeper(worker, expect_exit=True) as (gatekeeper, _, client):
            worker.script = after_event(go)
            idle = await gatekeeper.client()
            client.send(b"".join(client.request("write", timeout="3.0") for _ in range(3)))
            await until(lambda: worker.received)
            gatekeeper.process.send_signal(signal.SIGTERM)
            assert await idle.is_closed_cleanly()  # from now on replies close their connections
            go.set()
            replies = [await client.receive() for _ in range(3)]
            assert [reply and reply.status for reply in replies] == [200] * 3
            assert [reply.headers.get("connection") for reply in replies] == [None, None, "close"]
            assert await client.is_closed_cleanly() and await gatekeeper.process.wait() == 0

    run(scenario())


def test_with_short_deadlines_shutdown_ends_long_before_the_kill(monkeypatch):
    with_deadlines(0.3, monkeypatch)

    async def scenario():
        worker = FakeWorker("w", hang)
        async with running_gatekeeper(worker, expect_exit=True) as (gatekeeper, _, client):
            idle = await gatekeeper.client()
            began = asyncio.get_running_loop().time()
            gatekeeper.process.send_signal(signal.SIGTERM)
            client.send(client.request("write", timeout="0.3"))
            assert (await client.receive()).status in (502, 504)
            assert await idle.is_closed_cleanly() and await gatekeeper.process.wait() == 0
            assert asyncio.get_running_loop().time() - began < 1.0

    run(scenario())
