"""Hot restarts of the real program, whose processes inherit one listening socket and share a folder."""

import asyncio
import contextlib
import signal
import socket
from pathlib import Path

import pytest

from rig.fake_servers import Client, FakeWorker, after_event, answer, config, reuse_delay_over, run, until
from rig.process_host import ClosedLoopClients, ProcessHost

PLANS = [
    {
        "AtOnce": 0,
        "BeyondEarns": 0,
        "CapDepth": 0,
        "CapSlack": 0,
        "ExcessCost": 1,
        "HardRate": 0,
        "MostAtOnce": 5,
        "Name": "free",
        "Refill": 0.01,
    }
]


async def restart_three_times_under_load(pause_seconds):
    """Restart three times under 20 clients, check that nothing is lost, and return the connections to workers."""
    async with ProcessHost(FakeWorker("w"), FakeWorker("v")) as house:
        old = await house.start_process()
        async with ClosedLoopClients(old.port, 20, pause_seconds) as load:
            for _ in range(3):
                new = await house.start_process()
                old.process.send_signal(signal.SIGTERM)
                assert await old.process.wait() == 0
                served_before = len(load.statuses)
                await until(lambda: len(load.statuses) > served_before + 100)  # noqa: B023
                old = new
        assert load.connection_failures == 0 and set(load.statuses) == {200}
        return sum(worker.connections for worker in house.workers)


def test_three_hot_restarts_under_load_refuse_reset_and_lose_nothing():
    run(restart_three_times_under_load(pause_seconds=0.002))


def test_three_hot_restarts_under_load_pass_connections_to_workers_on():
    async def scenario():
        # So slow that the reuse delay needs few connections: without passing any on it would be up to 80.
        assert await restart_three_times_under_load(pause_seconds=0.05) <= 60

    run(scenario())


def test_the_new_process_reuses_an_idle_connection_of_the_old_one():
    async def scenario():
        worker = FakeWorker("w")
        async with ProcessHost(worker) as house:
            old = await house.start_process()
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            assert (await client.fetch("write")).status == 200
            await house.start_process()
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            await reuse_delay_over()
            assert (await client.fetch("write")).status == 200
            assert worker.connection_numbers == [1, 1]

    run(scenario())


def test_the_old_process_answers_requests_in_flight_and_their_connections_continue_in_the_new_one():
    async def scenario():
        worker, proceed = FakeWorker("w"), asyncio.Event()
        async with ProcessHost(worker) as house:
            old = await house.start_process()
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            worker.script = after_event(proceed)
            client.send(Client.request("write", timeout="3.0"))
            await until(lambda: worker.received)
            worker.script = answer()
            await house.start_process()
            old.process.send_signal(signal.SIGTERM)
            proceed.set()
            reply = await client.receive()
            assert reply.status == 200 and "connection" not in reply.headers
            assert await old.process.wait() == 0
            assert (await client.fetch("write")).status == 200

    run(scenario())


def test_quotas_maintenance_and_drain_state_are_handed_over():
    async def scenario():
        worker, other = FakeWorker("w"), FakeWorker("v")
        async with ProcessHost(worker, other) as house:
            configuration = config(house.discovery.port, changes={})
            configuration["settings"]["Plans"] = PLANS
            old = await house.start_process(settings=configuration["settings"])
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            statuses = [(await client.fetch("write")).status for _ in range(12)]
            assert statuses.count(503) > 3  # the token bucket is empty
            assert (await old.call("OFFLINE w")).startswith("ok ")
            new = await house.start_process(settings=configuration["settings"])
            old.process.send_signal(signal.SIGTERM)
            await old.process.wait()
            assert [(await client.fetch("write")).status for _ in range(4)] == [503] * 4
            seen = len(worker.received)
            for n in range(20):
                reply = await client.fetch("write", customer=f"{n + 5:016x}")
                assert reply.status == 200
            assert len(worker.received) == seen
            assert (await new.call("ONLINE w")).startswith("ok ")
            await new.call("LEAVE")
            last = await house.start_process(ready=False, settings=configuration["settings"])
            await last.wait_until_listening()
            assert (await last.call("HEALTH")) == "fail sending clients away"
            assert (await last.call("JOIN")).startswith("ok ")
            assert (await last.call("HEALTH")).startswith("ok ")

    run(scenario())


def test_calls_to_the_old_process_are_forwarded_to_the_new_one():
    async def scenario():
        worker, other = FakeWorker("w"), FakeWorker("v")
        async with ProcessHost(worker, other) as house:
            old = await house.start_process()
            new = await house.start_process()
            await old.wait_for_log("the new process serves")
            assert (await old.call("HEALTH")).startswith("fail ")
            assert (await old.call("OFFLINE w")).startswith("ok ")
            await new.wait_for_log("w is out")
            client = Client(*await asyncio.open_connection("127.0.0.1", new.port))
            for _ in range(20):
                assert (await client.fetch("write")).status == 200
            assert not worker.received

    run(scenario())


@contextlib.asynccontextmanager
async def restart_with_silent_discovery(*workers):
    """A hot restart in which the new process has the state but does not serve yet: it waits for its silent agent."""
    async with ProcessHost(*workers) as house:
        old = await house.start_process()
        await house.discovery.wait_until_watched()
        house.discovery.unresponsive = True
        new = await house.start_process(ready=False)
        await old.wait_for_log("the new process has the state")
        yield house, old, new


async def served_by(house, process, worker):
    """Send requests once this process serves; return how many of them a worker received."""
    await process.wait_until_listening()
    seen = len(worker.received)
    for _ in range(20):
        client = Client(*await asyncio.open_connection("127.0.0.1", house.port))
        assert (await client.fetch("write")).status == 200
    return len(worker.received) - seen


# Guards against: an OFFLINE that the old process answered ok after it had sent its state was unknown to the new one.
def test_a_call_to_the_old_process_before_the_new_one_serves_holds_in_the_new_one():
    async def scenario():
        worker, other = FakeWorker("w"), FakeWorker("v")
        async with restart_with_silent_discovery(worker, other) as (house, old, new):
            assert (await old.call("OFFLINE w")).startswith("ok ")
            assert await served_by(house, new, worker) == 0
            assert (await new.call("ONLINE w")).startswith("ok ")

    run(scenario())


# Guards against: the same for an operator's drain, and for its end.
@pytest.mark.parametrize("calls", [("LEAVE",), ("LEAVE", "JOIN")])
def test_a_drain_of_the_old_process_before_the_new_one_serves_holds_in_the_new_one(calls):
    async def scenario():
        async with restart_with_silent_discovery(FakeWorker("w")) as (house, old, new):
            for call in calls:
                assert (await old.call(call)).startswith("ok ")
            await new.wait_until_listening()
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            answer_line = await new.call("HEALTH")
            assert answer_line.startswith("ok " if calls[-1] == "JOIN" else "fail sending clients away")

    run(scenario())


# Guards against: a call answered by the new process before it served was unknown to the old one, which may go on.
def test_calls_to_the_new_process_before_it_serves_hold_in_the_old_one_that_goes_on():
    async def scenario():
        worker, other = FakeWorker("w"), FakeWorker("v")
        async with restart_with_silent_discovery(worker, other) as (house, old, new):
            while not (await new.call("OFFLINE w")).startswith("ok "):  # until it has read the state
                pass
            assert (await new.call("LEAVE")).startswith("ok ")
            await old.wait_for_log("sending clients away")
            new.process.kill()
            await old.wait_for_log("this process goes on")
            assert (await old.call("HEALTH")) == "fail sending clients away"
            assert await served_by(house, old, worker) == 0

    run(scenario())


# Guards against: a worker that only the old process knew was taken out there, and the new one was told of it later.
def test_a_worker_listed_after_the_state_was_sent_can_be_taken_out_at_the_old_process():
    async def scenario():
        worker, late = FakeWorker("w"), await FakeWorker("late").start()
        async with restart_with_silent_discovery(worker) as (house, old, new):
            house.discovery.entries.append(late.entry())
            house.discovery.change(late.entry())
            while not (await old.call("OFFLINE late")).startswith("ok "):  # until it is listed
                pass
            house.discovery.unresponsive = False
            assert await served_by(house, new, late) == 0
            assert (await new.call("ONLINE late")).startswith("ok ")

    run(scenario())


# Guards against: a drain that discovery told the old process after it had sent its state was unknown to the new one.
def test_a_list_update_that_only_the_old_process_gets_holds_in_the_new_one():
    async def scenario():
        worker = FakeWorker("w")
        async with restart_with_silent_discovery(worker) as (house, old, new):
            house.discovery.change(worker.entry(status="draining"))
            await new.wait_for_log("serving by the last known list")
            await new.wait_until_listening()
            client = Client(*await asyncio.open_connection("127.0.0.1", house.port))
            assert (await client.fetch("read", timeout="0.5")).status != 200
            assert not worker.received

    run(scenario())


@pytest.mark.parametrize("failure", ["killed", "other name", "garbage"])
def test_if_the_new_process_fails_the_old_one_continues(failure):
    async def scenario():
        async with ProcessHost(FakeWorker("w")) as house:
            old = await house.start_process()
            async with ClosedLoopClients(old.port, 5) as load:
                if failure == "killed":
                    new = await house.start_process(ready=False)
                    await asyncio.sleep(0.2)
                    new.process.kill()
                    await new.process.wait()
                elif failure == "other name":
                    new = await house.start_process(ready=False, name="another")
                    await new.wait_for_log("starting with nothing")
                    new.process.kill()
                else:
                    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as caller:
                        caller.connect(str(Path(house.temp_directory.name) / "oliveloft.takeover"))
                        caller.send(b"what is this")
                        await asyncio.sleep(0.1)
                served_before = len(load.statuses)
                await until(lambda: len(load.statuses) > served_before + 200)
            # It may have accepted clients before it was killed.
            assert load.connection_failures == 0 or failure == "killed"
            late = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            assert (await late.fetch("write")).status == 200
            assert old.process.returncode is None

    run(scenario())


def test_after_the_old_process_was_killed_the_new_one_starts_without_state():
    async def scenario():
        async with ProcessHost(FakeWorker("w")) as house:
            old = await house.start_process()
            old.process.kill()
            await old.process.wait()
            new = await house.start_process()
            client = Client(*await asyncio.open_connection("127.0.0.1", new.port))
            assert (await client.fetch("write")).status == 200

    run(scenario())


def test_the_process_serves_even_if_it_cannot_listen_for_a_successor():
    async def scenario():
        async with ProcessHost(FakeWorker("w")) as house:
            with contextlib.suppress(FileNotFoundError):
                (Path(house.temp_directory.name) / "oliveloft.takeover").mkdir()
            old = await house.start_process()
            await old.wait_for_log("a process that follows starts with nothing")
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            assert (await client.fetch("write")).status == 200

    run(scenario())


def test_retries_of_the_old_process_respect_maintenance_that_only_the_new_one_was_told_of():
    async def scenario():
        worker, other = FakeWorker("w"), FakeWorker("v")
        async with ProcessHost(worker, other) as house:
            old = await house.start_process()
            clients = [Client(*await asyncio.open_connection("127.0.0.1", house.port)) for _ in range(8)]
            proceed = asyncio.Event()
            worker.script = other.script = after_event(proceed, answer(503, b"", "X-Not-Processed: 1\r\n"))
            for client in clients:
                client.send(Client.request("write", timeout="3.0"))
            await until(lambda: len(worker.received) + len(other.received) == 8)
            new = await house.start_process()
            await old.wait_for_log("the new process serves")
            assert (await new.call("OFFLINE w")).startswith("ok ")
            await old.wait_for_log("w is out")
            await asyncio.sleep(0.6)  # longer than the grace period of a drain
            seen = len(worker.received)
            proceed.set()
            replies = [await client.receive() for client in clients]
            assert len(worker.received) == seen and {reply.status for reply in replies} <= {503, 200}
            assert (await new.call("ONLINE w")).startswith("ok ")
            await old.wait_for_log("w is back")

    run(scenario())


def test_if_the_new_process_dies_after_the_handoff_the_old_one_accepts_clients_again():
    async def scenario():
        async with ProcessHost(FakeWorker("w")) as house:
            old = await house.start_process()
            new = await house.start_process()
            await old.wait_for_log("the new process serves")
            new.process.kill()
            await new.process.wait()
            await old.wait_for_log("this process goes on")
            late = Client(*await asyncio.open_connection("127.0.0.1", house.port))
            async with asyncio.timeout(3):
                assert (await late.fetch("write")).status == 200
            assert (await old.call("HEALTH")).startswith("ok ")
            last = await house.start_process()  # a later successor can take over again
            await last.wait_for_log("management at")
            old.process.terminate()
            assert await old.process.wait() == 0
            assert (await late.fetch("write")).status == 200

    run(scenario())
