"""One process takes another's place under load: the real program, on a socket that both inherit."""

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
from pathlib import Path

import pytest

from rig.scripted import Client, Discovery, Worker, answer, config, run, spawn, until

PLANS = [{"AtOnce": 0, "BeyondEarns": 0, "CapDepth": 0, "CapSlack": 0, "ExcessCost": 1, "HardRate": 0,
          "MostAtOnce": 5, "Name": "free", "Refill": 0.01}]


class House:
    """The listening socket, the folder, workers and discovery that outlive processes."""

    def __init__(self, *workers):
        self.workers = workers
        self.folder = tempfile.TemporaryDirectory()
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(512)
        self.processes = []

    async def __aenter__(self):
        for worker in self.workers:
            await worker.start()
        self.discovery = await Discovery([worker.entry() for worker in self.workers]).start()
        return self

    async def process(self, ready=True, **changes):
        made = {**config(self.discovery.port), **changes}
        made["listen"] = f"127.0.0.1:{self.socket.getsockname()[1]}"
        gatekeeper = await spawn(json.dumps(made), accept=self.socket, folder=self.folder.name)
        self.processes.append(gatekeeper)
        if ready:
            await gatekeeper.listening()
            while not (await gatekeeper.call("HEALTH")).startswith("ok"):
                await asyncio.sleep(0.01)
        return gatekeeper

    async def __aexit__(self, *error):
        for gatekeeper in self.processes:
            if gatekeeper.process.returncode is None:
                gatekeeper.process.kill()
            await gatekeeper.process.wait()
            if not error[0]:
                assert not any("Traceback" in line for line in gatekeeper.log), gatekeeper.log
        self.socket.close()
        self.folder.cleanup()


class Load:
    """Clients that keep their connections and ask again and again; what went wrong at the door."""

    def __init__(self, gatekeeper, count):
        self.port, self.count = gatekeeper.port, count
        self.statuses, self.broken, self.going = [], 0, True

    async def one(self):
        gatekeeper = type("At", (), {"port": self.port})
        client = None
        while self.going:
            try:
                if client is None:
                    client = Client(*await asyncio.open_connection("127.0.0.1", gatekeeper.port))
                client.send(Client.request("write", customer=f"{id(client) % 2 ** 32:016x}"))
                reply = await client.receive()
            except ConnectionError:
                reply = None
            if reply is None:
                self.broken += 1
                client = None
                continue
            self.statuses.append(reply.status)
            if reply.headers.get("connection") == "close":
                client = None
            await asyncio.sleep(0.002)

    async def __aenter__(self):
        self.tasks = [asyncio.create_task(self.one()) for _ in range(self.count)]
        await until(lambda: len(self.statuses) > 100)
        return self

    async def __aexit__(self, *error):
        self.going = False
        await asyncio.gather(*self.tasks)


def test_three_upgrades_under_load_refuse_reset_and_lose_nothing():
    async def scenario():
        async with House(Worker("w"), Worker("v")) as house:
            old = await house.process()
            async with Load(old, 20) as load:
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

            async def wait(request, writer):
                await go.wait()
                await answer()(request, writer)

            worker.script = wait
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
            async with Load(old, 5) as load:
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
