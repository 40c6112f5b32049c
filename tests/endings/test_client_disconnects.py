"""Clients that disconnect while their request waits: it reaches no worker, and its quota is returned."""

import asyncio
import signal
import socket
import struct

import pytest

from micagate import interface
from rig.driver import Driver, sends
from rig.fake_servers import (
    Client,
    FakeWorker,
    FullBacklogWorker,
    after_event,
    answer,
    count_tcp_connections,
    hang,
    reuse_delay_over,
    run,
    running_gatekeeper,
    until,
)

SLOW = {"Caps": {"ConnectTimeoutUs": 10_000_000}}  # long enough that only the disconnect ends the attempt


def count_close_wait(port: int) -> int:
    """The number of connections that the client has closed and the gatekeeper has not (CLOSE-WAIT)."""
    return count_tcp_connections(port, "08", local=True)


def disconnect(client: Client, how: str) -> None:
    """Close a client's connection with a FIN or with a reset."""
    if how == "RST":
        client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.close()


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize(("klass", "client_count"), [("read", 1), ("write", 1), ("write", 20)])
def test_a_disconnect_while_the_connection_to_the_worker_is_established_sends_nothing(klass, client_count, how):
    async def scenario():
        worker = FullBacklogWorker("w")
        async with running_gatekeeper(worker, changes=SLOW) as (gatekeeper, _, client):
            initial = worker.connecting
            clients = [await gatekeeper.client() for _ in range(client_count)]
            for one in clients:
                one.send(one.request(klass, timeout="3.9"))
            await until(lambda: worker.connecting == initial + client_count)
            for one in clients:
                disconnect(one, how)
                await one.writer.wait_closed()
            await gatekeeper.health()  # answered after earlier events: the gatekeeper has seen the disconnects
            await until(lambda: count_close_wait(gatekeeper.port) == 0)
            await worker.accept_connections()
            # All connections are established: what is written reaches the worker.
            await until(lambda: worker.connecting == 0)
            for _ in range(client_count + 1):
                assert (await client.fetch("write", timeout="3.9", id="stays")).status == 200
            assert {message.id for message in worker.received} == {"stays"}

    run(scenario())


# Guards against: requests that waited while the process was held up were sent on after their client had left.
@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_request_whose_client_left_before_it_was_read_is_not_sent(how):
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            assert (await client.fetch("write", id="first")).status == 200
            await reuse_delay_over()  # a connection to the worker stands ready
            known = await gatekeeper.client()
            assert (await known.fetch("write", id="second")).status == 200
            await reuse_delay_over()
            gatekeeper.process.send_signal(signal.SIGSTOP)
            for one in (known, await gatekeeper.client()):  # on a known and on a new connection
                one.send(one.request("write", id="left"))
                await one.writer.drain()
                disconnect(one, how)
            gatekeeper.process.send_signal(signal.SIGCONT)
            assert (await client.fetch("write", id="stays")).status == 200
            await until(lambda: count_close_wait(gatekeeper.port) == 0)
            assert [message.id for message in worker.received] == ["first", "second", "stays"]

    run(scenario())


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_disconnect_while_reading_is_paused_drops_the_queued_requests(how):
    async def scenario():
        worker, go = FakeWorker("w"), asyncio.Event()
        worker.script = after_event(go)
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            other = await gatekeeper.client()
            client.send(b"".join(client.request("write", timeout="3.9", id=f"queued{n}") for n in range(20)))
            await until(lambda: worker.received)
            disconnect(client, how)
            await client.writer.wait_closed()
            go.set()  # the first reply is sent, and the first queued request would be next
            assert (await other.fetch("write", id="other")).status == 200
            assert [m.id for m in worker.received] == ["queued0", "other"]

    run(scenario())


def test_a_disconnect_while_reading_is_paused_is_detected_long_before_the_reply():
    async def scenario():
        worker = FakeWorker("w", hang)
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            client.send(b"".join(client.request("read", timeout="3.9") for _ in range(20)))
            await until(lambda: worker.received)
            began = asyncio.get_running_loop().time()
            client.writer.close()
            await until(lambda: count_close_wait(gatekeeper.port) == 1)
            await until(lambda: count_close_wait(gatekeeper.port) == 0)
            assert asyncio.get_running_loop().time() - began < 2.0  # not only with the reply
            assert len(worker.received) == 1

    run(scenario())


# Guards against: a retry was sent for a client that had left while reading from it was paused.
def test_a_failed_attempt_is_not_retried_for_a_client_that_left_while_reading_is_paused():
    async def scenario():
        workers, go = (FakeWorker("v"), FakeWorker("w")), asyncio.Event()
        for worker in workers:
            worker.script = after_event(go, answer(500))
        async with running_gatekeeper(*workers) as (gatekeeper, _, client):
            clients = [await gatekeeper.client() for _ in range(10)]
            for one in clients:
                one.send(b"".join(one.request("read", timeout="3.9") for _ in range(40)))
            await until(lambda: sum(len(worker.received) for worker in workers) == len(clients))
            for one in clients:
                one.writer.close()
            await until(lambda: count_tcp_connections(gatekeeper.port, "04", local=False) == 0)
            go.set()
            await until(lambda: count_close_wait(gatekeeper.port) == 0)
            await gatekeeper.health()
            assert sum(len(worker.received) for worker in workers) == len(clients)

    run(scenario())


@pytest.mark.parametrize("klass", ["read", "write"])
def test_a_request_that_a_worker_has_completely_runs_to_its_end_and_its_connection_is_reused(klass):
    async def scenario():
        worker, go = FakeWorker("w"), asyncio.Event()
        worker.script = after_event(go)
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            client.send(client.request(klass, timeout="3.9"))
            await until(lambda: worker.received)
            client.writer.close()
            await client.writer.wait_closed()
            await until(lambda: count_close_wait(gatekeeper.port) == 0)
            other = await gatekeeper.client()
            worker.script = answer()
            go.set()
            await until(lambda: not worker.connections_closed)
            assert (await other.fetch("write")).status == 200
            assert worker.connection_numbers in ([1, 1], [1, 2]) and worker.connections_closed == 0

    run(scenario())


@pytest.mark.parametrize(
    ("status", "returned"),
    [
        (interface.NOT_SENT, True),
        (interface.UNREACHABLE, True),
        (interface.OVERLOADED, False),
        (interface.CONNECTION_RESET, False),
        (interface.CANCELLED, False),
    ],
)
def test_units_return_to_quota_and_ceiling_if_no_worker_received_the_request(status, returned):
    plan = interface.Plan("free", rate=1.0, burst=8.0, ceiling_rate=2.0, ceiling_capacity=16.0, ceiling_slack=1.0)
    d = Driver(plans=(plan,))
    d.pass_time(60.0)
    name, actions = d.send_request("write", plan="free", units=3.0, spread=1)
    (worker,) = sends(actions)
    account = d.gateway.in_flight[name, 0].account
    before = account.balance, account.ceiling_balance, account.quota_estimate.level
    d.give(interface.ClientDisconnected(name))
    d.answer(name, worker, status)
    more = 3.0 if returned else 0.0
    assert account.balance == pytest.approx(before[0] + more, abs=0.2)
    assert account.ceiling_balance == pytest.approx(before[1] + more, abs=0.2)
    assert account.quota_estimate.level == pytest.approx(before[2] + more, abs=0.2)
    assert account.in_flight == 0
