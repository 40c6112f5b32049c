"""Operators' calls to the real program."""

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from rig.fake_servers import (
    Client,
    FakeDiscovery,
    FakeWorker,
    after_event,
    answer,
    config,
    hang,
    launch,
    run,
    running_gatekeeper,
    spawn,
    until,
)


def test_calls_are_answered_in_every_accepted_form():
    async def scenario():
        async with running_gatekeeper(FakeWorker("w")) as (gatekeeper, _, _):
            for line, send_eof in (
                (b"HEALTH\n", False),
                (b"health\r\n", False),
                (b"Health", True),
                (b"HEALTH\nJOIN\n", False),
            ):
                assert (await gatekeeper.call(line, send_eof)).startswith("ok ")
            for line in (
                b"\n",
                b"NOTHING\n",
                b"OFFLINE\n",
                b"OFFLINE nobody\n",
                b"ONLINE nobody\n",
                b"x" * 600,
                b"HEALTH you\n",
                b"\xff\n",
            ):
                assert (await gatekeeper.call(line)).startswith("fail "), line

    run(scenario())


def test_sixty_unresponsive_callers_lock_nobody_out():
    async def scenario():
        async with running_gatekeeper(FakeWorker("w")) as (gatekeeper, _, client):
            callers = [await asyncio.open_connection("127.0.0.1", gatekeeper.management_port) for _ in range(60)]
            for _, writer in callers[::2]:
                writer.write(b"HEAL")
            assert (await gatekeeper.call("HEALTH")).startswith("ok ")
            assert (await client.fetch()).status == 200
            for _, writer in callers:
                writer.close()

    run(scenario())


def test_a_worker_in_maintenance_gets_no_requests_at_any_address_until_it_is_back():
    async def scenario():
        worker, other = FakeWorker("w"), FakeWorker("v")
        async with running_gatekeeper(worker, other) as (gatekeeper, discovery, client):
            assert (await gatekeeper.call("OFFLINE w")).startswith("ok ")
            seen = len(worker.received)
            moved = await FakeWorker("w").start()
            for _ in range(10):
                assert (await client.fetch("write")).status == 200
            discovery.change(moved.entry())
            await discovery.wait_until_watched()
            for _ in range(10):
                assert (await client.fetch("write")).status == 200
            assert len(worker.received) == seen and not moved.received
            assert (await gatekeeper.call("ONLINE w")).startswith("ok ")
            async with asyncio.timeout(5):
                while not moved.received:
                    assert (await client.fetch("write")).status == 200

    run(scenario())


def test_maintenance_cancels_an_attempt_that_is_still_connecting_and_retries_elsewhere():
    async def scenario():
        full_listener = socket.socket()
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        fillers = []
        for _ in range(2):  # fill its accept queue: further connects stay pending
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
            fillers.append(filler)
        stuck = FakeWorker("stuck")
        stuck.port = full_listener.getsockname()[1]
        other = await FakeWorker("v").start()
        discovery = await FakeDiscovery([stuck.entry()]).start()
        gatekeeper = await launch(config(discovery.port, changes={"Caps": {"ConnectTimeoutUs": 3000000}}))
        await discovery.wait_until_watched()
        client = await gatekeeper.client()
        client.send(Client.request("write", timeout="4.0"))
        await asyncio.sleep(0.2)
        discovery.change(other.entry())
        await discovery.wait_until_watched()
        assert (await gatekeeper.call("OFFLINE stuck")).startswith("ok ")
        async with asyncio.timeout(1.5):
            reply = await client.receive()
        assert reply.status == 200 and len(other.received) == 1
        gatekeeper.process.kill()
        await gatekeeper.process.wait()
        for sock in (*fillers, full_listener):
            sock.close()

    run(scenario())


def test_leave_fails_health_at_once_still_serves_requests_and_closes_idle_connections():
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, idle):
            assert (await idle.fetch()).status == 200
            proceed = asyncio.Event()
            worker.script = after_event(proceed)
            busy_client = await gatekeeper.client()
            busy_client.send(Client.request("write", timeout="3.0"))
            await until(lambda: len(worker.received) == 2)
            for _ in range(2):
                assert (await gatekeeper.call("LEAVE")).startswith("ok ")
            assert await gatekeeper.health() == 503
            assert (await gatekeeper.call("HEALTH")).startswith("fail ")
            worker.script = answer()
            late = await (await gatekeeper.client()).fetch("write")
            assert late.status == 200 and late.headers["connection"] == "close"
            async with asyncio.timeout(3):
                assert await idle.is_closed_cleanly()
            proceed.set()
            assert (await busy_client.receive()).status == 200 and await busy_client.is_closed_cleanly()
            assert (await gatekeeper.call("JOIN")).startswith("ok ")
            assert await gatekeeper.health() == 200
            again = await (await gatekeeper.client()).fetch("write")
            assert again.status == 200 and "connection" not in again.headers

    run(scenario())


def test_sigterm_after_leave_loses_nothing():
    async def scenario():
        worker = FakeWorker("w", hang)
        async with running_gatekeeper(worker, expect_exit=True) as (gatekeeper, _, client):
            client.send(Client.request("read", timeout="0.8"))
            await until(lambda: worker.received)
            await gatekeeper.call("LEAVE")
            gatekeeper.process.send_signal(signal.SIGTERM)
            assert (await client.receive()).status in (502, 504)
            assert await gatekeeper.process.wait() == 0

    run(scenario())


def test_the_inherited_socket_is_used_and_an_invalid_one_reported():
    async def scenario():
        inherited = socket.socket()
        inherited.bind(("127.0.0.1", 0))
        inherited.listen(64)
        discovery = await FakeDiscovery([]).start()
        configuration = config(discovery.port)
        configuration["listen"] = f"127.0.0.1:{inherited.getsockname()[1]}"
        gatekeeper = await spawn(json.dumps(configuration), listening_socket=inherited)
        await gatekeeper.wait_until_listening()
        assert gatekeeper.port == inherited.getsockname()[1] and await gatekeeper.health() == 503
        gatekeeper.process.kill()
        await gatekeeper.process.wait()
        for text in ("x", "97"):
            os.environ["PROXY_ACCEPT_FD"] = text
            try:
                rejected = await launch(configuration)
            finally:
                del os.environ["PROXY_ACCEPT_FD"]
            assert await rejected.process.wait() == 2
            await rejected._log_reader
            assert len(rejected.log) == 1 and "PROXY_ACCEPT_FD" in rejected.log[0]
        inherited.close()

    run(scenario())


@pytest.mark.parametrize("where", ["nowhere", "127.0.0.1:99999"])
def test_an_invalid_address_for_operators_is_reported_with_its_key(where):
    async def scenario():
        gatekeeper = await launch({**config(9), "management": where})
        assert await gatekeeper.process.wait() == 2
        await gatekeeper._log_reader
        assert len(gatekeeper.log) == 1 and "management" in gatekeeper.log[0]

    run(scenario())


def test_the_command_line_makes_calls_and_reports_their_results():
    async def scenario():
        async with running_gatekeeper(FakeWorker("w")) as (gatekeeper, _, _):
            at = f"127.0.0.1:{gatekeeper.management_port}"

            async def manage(*arguments):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "oliveloft",
                    "manage",
                    *arguments,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE,
                    cwd=Path(__file__).parents[2],
                )
                out, err = await process.communicate()
                return process.returncode, out.decode(), err.decode()

            code, out, _ = await manage("health", "--at", at, "--json")
            result = json.loads(out)
            assert code == 0 and result["ok"] and result["call"] == "HEALTH" and result["ms"] < 1000
            code, out, _ = await manage("OFFLINE", "nobody", "--at", at)
            assert code == 1 and out.startswith("fail ") and "nobody" in out
            for arguments in (
                ("RESTART", "--at", at),
                ("OFFLINE", "--at", at),
                ("HEALTH", "--at", "nowhere"),
                ("HEALTH",),
            ):
                code, _, err = await manage(*arguments)
                assert code == 2 and len(err.splitlines()) == 1
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                code, out, _ = await manage("HEALTH", "--at", f"127.0.0.1:{unused.getsockname()[1]}")
            assert code == 3 and out.startswith("no answer")

    run(scenario())
