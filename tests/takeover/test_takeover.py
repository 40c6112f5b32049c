"""One process takes another's place under load: the real program, on a socket that both inherit."""

import asyncio
import contextlib
import signal
import socket
from pathlib import Path

import pytest

from rig.fake_servers import Client, Worker, answer, config, once, run, until
from rig.process_host import House, Load

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


def test_three_upgrades_under_load_refuse_reset_and_lose_nothing():
    async def scenario():
        async with House(Worker("w"), Worker("v")) as house:
            old = await house.process()
            async with Load(old.port, 20) as load:
                for _ in range(3):
                    new = await house.process()
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.process.wait() == 0
                    mark = len(load.statuses)
                    await until(lambda: len(load.statuses) > mark + 100)  # noqa: B023
                    old = new
            assert load.broken == 0 and set(load.statuses) == {200}
            connections = sum(worker.connections for worker in house.workers)
            assert connections <= 60  # those to workers went along as well

    run(scenario())


def test_what_is_out_is_answered_by_the_old_process_and_its_connection_goes_on_in_the_new_one():
    async def scenario():
        worker, go = Worker("w"), asyncio.Event()
        async with House(worker) as house:
            old = await house.process()
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            worker.script = once(go)
            client.send(Client.request("write", timeout="3.0"))
            await until(lambda: worker.seen)
            worker.script = answer()
            await house.process()
            old.process.send_signal(signal.SIGTERM)
            go.set()
            reply = await client.receive()
            assert reply.status == 200 and "connection" not in reply.headers
            assert await old.process.wait() == 0
            assert (await client.ask("write")).status == 200

    run(scenario())


def test_quotas_bans_and_a_drain_go_over():
    async def scenario():
        worker, other = Worker("w"), Worker("v")
        async with House(worker, other) as house:
            made = config(house.discovery.port, changes={})
            made["settings"]["Plans"] = PLANS
            old = await house.process(settings=made["settings"])
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            first = [(await client.ask("write")).status for _ in range(12)]
            assert first.count(503) > 3  # the store is empty
            assert (await old.call("OFFLINE w")).startswith("ok ")
            new = await house.process(settings=made["settings"])
            old.process.send_signal(signal.SIGTERM)
            await old.process.wait()
            assert [(await client.ask("write")).status for _ in range(4)] == [503] * 4
            seen = len(worker.seen)
            for n in range(20):
                reply = await client.ask("write", customer=f"{n + 5:016x}")
                assert reply.status == 200
            assert len(worker.seen) == seen
            assert (await new.call("ONLINE w")).startswith("ok ")
            await new.call("LEAVE")
            last = await house.process(ready=False, settings=made["settings"])
            await last.listening()
            assert (await last.call("HEALTH")) == "fail sending clients away"
            assert (await last.call("JOIN")).startswith("ok ")
            assert (await last.call("HEALTH")).startswith("ok ")

    run(scenario())


def test_calls_that_still_reach_the_old_process_reach_the_new_one():
    async def scenario():
        worker, other = Worker("w"), Worker("v")
        async with House(worker, other) as house:
            old = await house.process()
            new = await house.process()
            await old.logged("the new process serves")
            assert (await old.call("HEALTH")).startswith("fail ")
            assert (await old.call("OFFLINE w")).startswith("ok ")
            await new.logged("w is out")
            client = Client(*await asyncio.open_connection("127.0.0.1", new.port))
            for _ in range(20):
                assert (await client.ask("write")).status == 200
            assert not worker.seen

    run(scenario())


@pytest.mark.parametrize("how", ["killed", "other name", "garbage"])
def test_where_the_new_process_fails_the_old_one_goes_on(how):
    async def scenario():
        async with House(Worker("w")) as house:
            old = await house.process()
            async with Load(old.port, 5) as load:
                if how == "killed":
                    new = await house.process(ready=False)
                    await asyncio.sleep(0.2)
                    new.process.kill()
                    await new.process.wait()
                elif how == "other name":
                    new = await house.process(ready=False, name="another")
                    await new.logged("starting with nothing")
                    new.process.kill()
                else:
                    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as caller:
                        caller.connect(str(Path(house.folder.name) / "oliveloft.takeover"))
                        caller.send(b"what is this")
                        await asyncio.sleep(0.1)
                mark = len(load.statuses)
                await until(lambda: len(load.statuses) > mark + 200)
            assert load.broken == 0 or how == "killed"  # it may have accepted some by then
            late = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            assert (await late.ask("write")).status == 200
            assert old.process.returncode is None

    run(scenario())


def test_where_the_old_process_was_killed_the_new_one_starts_with_nothing():
    async def scenario():
        async with House(Worker("w")) as house:
            old = await house.process()
            old.process.kill()
            await old.process.wait()
            new = await house.process()
            client = Client(*await asyncio.open_connection("127.0.0.1", new.port))
            assert (await client.ask("write")).status == 200

    run(scenario())


def test_where_nobody_can_be_waited_for_the_process_serves_all_the_same():
    async def scenario():
        async with House(Worker("w")) as house:
            with contextlib.suppress(FileNotFoundError):
                (Path(house.folder.name) / "oliveloft.takeover").mkdir()
            old = await house.process()
            await old.logged("a process that follows starts with nothing")
            client = Client(*await asyncio.open_connection("127.0.0.1", old.port))
            assert (await client.ask("write")).status == 200

    run(scenario())


def test_a_further_attempt_of_the_old_process_keeps_to_a_ban_that_the_new_one_was_told_of():
    async def scenario():
        worker, other = Worker("w"), Worker("v")
        async with House(worker, other) as house:
            old = await house.process()
            clients = [Client(*await asyncio.open_connection("127.0.0.1", house.port)) for _ in range(8)]
            go = asyncio.Event()
            worker.script = other.script = once(go, answer(503, b"", "X-Not-Processed: 1\r\n"))
            for client in clients:
                client.send(Client.request("write", timeout="3.0"))
            await until(lambda: len(worker.seen) + len(other.seen) == 8)
            new = await house.process()
            await old.logged("the new process serves")
            assert (await new.call("OFFLINE w")).startswith("ok ")
            await old.logged("w is out")
            await asyncio.sleep(0.6)  # the grace
            seen = len(worker.seen)
            go.set()
            replies = [await client.receive() for client in clients]
            assert len(worker.seen) == seen and {reply.status for reply in replies} <= {503, 200}
            assert (await new.call("ONLINE w")).startswith("ok ")
            await old.logged("w is back")

    run(scenario())


def test_where_the_new_process_dies_after_it_took_over_the_old_one_accepts_again():
    async def scenario():
        async with House(Worker("w")) as house:
            old = await house.process()
            new = await house.process()
            await old.logged("the new process serves")
            new.process.kill()
            await new.process.wait()
            await old.logged("this process goes on")
            late = Client(*await asyncio.open_connection("127.0.0.1", house.port))
            async with asyncio.timeout(3):
                assert (await late.ask("write")).status == 200
            assert (await old.call("HEALTH")).startswith("ok ")
            last = await house.process()  # and it can be followed again
            await last.logged("management at")
            old.process.terminate()
            assert await old.process.wait() == 0
            assert (await late.ask("write")).status == 200

    run(scenario())
