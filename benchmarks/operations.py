"""Measures operations on a gatekeeper under load: management calls, maintenance, drains, upgrades and long bodies.

Run as `python -m benchmarks.operations [--short]`; the last line of output is one JSON object. Gatekeepers are real
processes on loopback with fake workers and a fake discovery service. Two parts differ: the handoff of 30,000 customers
runs between two gateways over the real socket in one event loop, and `cold_falls` comes from the decision code alone.
`short_request_cost_ratio` compares this version to `BASELINE_COMMIT`, in alternating rounds; it is null if the
repository does not have that commit. Rates depend on the machine; ratios are taken within one run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, cast

import uvloop

from micagate import Gateway, Plan, RequestClass, Settings, interface
from oliveloft.takeover import wire
from oliveloft.takeover.predecessor import Predecessor
from oliveloft.takeover.successor import Successor
from rig.bulk import BulkClient, BulkWorker, body_checksum, transfer_concurrently
from rig.fake_servers import Client, FakeWorker, GatekeeperProcess, config, run, running_gatekeeper, spawn, until
from rig.memory import peak_resident_bytes
from rig.process_host import ClosedLoopClients, ProcessHost

BASELINE_COMMIT = "ac3768b"  # the last version without streaming of long bodies
MB = 1 << 20
Figures = dict[str, Any]


def meets_bounds(figures: Figures) -> bool:
    """Return whether every bound holds; bounds on times leave a margin for a busy machine."""
    return bool(
        figures["upgrade_lost"] == 0
        and figures["upgrade_refused"] == 0
        and figures["bans_broken"] == 0
        and figures["calls_wrong"] == 0
        and figures["wrong_outcomes"] == 0
        and figures["cold_falls"] == 0
        and figures["served_ratio"] >= 0.95
        and figures["quota_excess"] <= 0.02
        and figures["back_in_s"] <= 5
        and figures["drained_s"] <= 4
        and figures["peak_memory_mb"] <= 80
        and figures["longest_pause_ms"] <= 20
    )


async def measure_upgrades(count: int, calm: float) -> Figures:
    """Perform `count` hot restarts under load; return the failed requests and the throughput.

    `upgrade_lost` counts responses other than 200 in all; `upgrade_refused` is the highest number of requests without a
    response at one restart. `served_ratio` compares the throughput in the `calm` seconds from a restart on to that
    in as many seconds before it.
    """
    workers = FakeWorker("w"), FakeWorker("v")
    async with ProcessHost(*workers) as host:
        predecessor = await host.start_process()
        lost = worst_refused = 0
        ratios = []
        async with ClosedLoopClients(host.port, 20, 0.01) as load:
            for _ in range(count):
                started = time.monotonic()
                await asyncio.sleep(calm)
                statuses_before, broken_before, upgrade_started = (
                    len(load.statuses),
                    load.connection_failures,
                    time.monotonic(),
                )
                calm_rate = sum(finished >= started for finished in load.reply_times) / (upgrade_started - started)
                successor = await host.start_process()
                predecessor.process.terminate()
                await predecessor.process.wait()
                await asyncio.sleep(max(0.0, calm - (time.monotonic() - upgrade_started)))
                ratios.append((len(load.statuses) - statuses_before) / (time.monotonic() - upgrade_started) / calm_rate)
                worst_refused = max(worst_refused, load.connection_failures - broken_before)
                predecessor = successor
        lost = sum(status != 200 for status in load.statuses)
    return {
        "upgrades": count,
        "upgrade_lost": lost,
        "upgrade_refused": worst_refused,
        "served_ratio": round(statistics.median(ratios), 3),
        "served_ratio_worst": round(min(ratios), 3),
    }


async def measure_quota_excess(seconds: float) -> Figures:
    """Return by how much a hot restart raises what a customer that exhausts its quota is admitted."""
    plans = [
        {
            "AtOnce": 0,
            "BeyondEarns": 0,
            "CapDepth": 0,
            "CapSlack": 0,
            "ExcessCost": 1,
            "HardRate": 0,
            "MostAtOnce": 20,
            "Name": "free",
            "Refill": 20,
        }
    ]
    served = []
    for upgrade in (False, True):
        async with ProcessHost(FakeWorker("w")) as host:
            settings = config(host.discovery.port)["settings"]
            settings["Plans"] = plans
            predecessor = await host.start_process(settings=settings)
            client = Client(*await asyncio.open_connection("127.0.0.1", host.port))
            started, count = time.monotonic(), 0
            upgraded = False
            while time.monotonic() - started < seconds:
                if upgrade and not upgraded and time.monotonic() - started > seconds / 2:
                    upgraded = True
                    await host.start_process(settings=settings)
                    predecessor.process.terminate()
                count += (await client.fetch("write")).status == 200
                await asyncio.sleep(0.002)
            served.append(count / (20 + 20 * (time.monotonic() - started)))
    return {"quota_excess": round(max(0.0, served[1] / served[0] - 1), 3)}


class FakeProcess:
    """Fake of the process that surrounds a predecessor or successor: a handoff of state with no sockets to pass."""

    def pause(self) -> None:
        """Do nothing: no connections are accepted here."""

    resume = on_superseded = pause

    def network_state(self) -> dict[str, Any]:
        """Return no network state."""
        return {}

    def restore_network_state(self, parts: dict[str, Any]) -> None:
        """Ignore the network state."""

    def update_list(self, update: dict[str, Any]) -> None:
        """Ignore an update of the worker list; none is passed."""

    def adopt_client(self, sock: socket.socket, good: bool) -> None:
        """Ignore a client connection; none is passed."""

    def adopt_worker(self, sock: socket.socket, released: wire.WorkerConnection) -> None:
        """Ignore a worker connection; none is passed."""

    def on_operator_call(self, command: str, worker: str) -> None:
        """Ignore a management call; none is passed."""


async def measure_handoff(customers: int) -> Figures:
    """Hand off this many customers between two gateways in one event loop; return its duration and longest pause."""
    loop = asyncio.get_running_loop()
    plan = Plan("basic", rate=1.0, burst=4.0)
    settings = Settings((RequestClass("read", aim=1.0, deadline=2.0),), (plan,), max_accounts=2 * customers)
    old_gateway, new_gateway = Gateway(settings, 1, loop.time()), Gateway(settings, 2, loop.time())
    for n in range(customers):
        account = old_gateway.quotas.account(loop.time(), f"{n:016x}", plan, 2)
        old_gateway.quotas.spend(account, 1.0, True)
    longest_pause, ended, random = 0.0, False, Random(3)

    async def measure_pauses() -> None:
        nonlocal longest_pause
        last = time.perf_counter()
        while not ended:
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest_pause, last = max(longest_pause, now - last), now

    async def change_accounts() -> None:
        while not ended:
            for _ in range(5):
                old_gateway.quotas.account(loop.time(), f"{random.randrange(customers):016x}", plan, 2)
            await asyncio.sleep(0.01)

    with tempfile.TemporaryDirectory() as folder:
        predecessor = Predecessor(loop, "bench", folder, old_gateway, FakeProcess(), loop.time)
        predecessor.listen()
        successor = Successor(loop, "bench", new_gateway, FakeProcess(), loop.time, lambda event: None)
        tasks = [asyncio.create_task(measure_pauses()), asyncio.create_task(change_accounts())]
        started = time.perf_counter()
        good = await successor.request_state(folder)
        duration = time.perf_counter() - started
        ended = True
        await asyncio.gather(*tasks)
        predecessor.stop()
    assert good and len(new_gateway.quotas.accounts) == customers, (good, len(new_gateway.quotas.accounts))
    return {
        "handover_ms": round(1000 * duration),
        "longest_pause_ms": round(1000 * longest_pause, 1),
        "customers": customers,
    }


async def measure_calls(seconds: float) -> Figures:
    """Make management calls under full load, beside 60 open management connections that send no complete line."""
    async with running_gatekeeper(FakeWorker("w"), FakeWorker("v")) as (gatekeeper, _, _):
        open_connections = [await asyncio.open_connection("127.0.0.1", gatekeeper.management_port) for _ in range(60)]
        for _, writer in open_connections[::2]:
            writer.write(b"HEAL")
        durations, wrong = [], 0
        async with ClosedLoopClients(gatekeeper.port, 40, 0.0):
            deadline = time.monotonic() + seconds
            expected = (
                ("HEALTH", "ok"),
                ("OFFLINE w", "ok"),
                ("ONLINE w", "ok"),
                ("OFFLINE nobody", "fail"),
                ("what", "fail"),
                ("health", "ok"),
            )
            while time.monotonic() < deadline:
                for line, prefix in expected:
                    started = time.monotonic()
                    response = await gatekeeper.call(line)
                    durations.append(time.monotonic() - started)
                    wrong += not response.startswith(prefix)
        for _, writer in open_connections:
            writer.close()
    durations.sort()
    return {
        "calls": len(durations),
        "calls_p99_ms": round(1000 * durations[int(0.99 * (len(durations) - 1))], 1),
        "calls_wrong": wrong,
    }


async def measure_maintenance(rounds: int) -> Figures:
    """Take workers out for maintenance and back, among twelve.

    Returns the requests sent to them while out, and the longest time until the first request after their return.
    """
    workers = [FakeWorker(f"w{n}") for n in range(12)]
    sent_while_out, return_times = 0, []
    async with running_gatekeeper(*workers) as (gatekeeper, discovery, _):
        async with ClosedLoopClients(gatekeeper.port, 10, 0.005) as load:
            for n in range(rounds):
                worker = workers[n % len(workers)]
                await gatekeeper.call(f"OFFLINE {worker.name}")
                await asyncio.sleep(0.05)
                seen_before = len(worker.received)
                if n % 2:  # a discovery update that shows the worker as healthy must not bring it back
                    discovery.change(worker.entry(since_ms=int(1000 * time.time())))
                await asyncio.sleep(0.25)
                sent_while_out += len(worker.received) - seen_before
                seen_before, returned_at = len(worker.received), time.monotonic()
                await gatekeeper.call(f"ONLINE {worker.name}")
                await asyncio.wait_for(until(lambda: len(worker.received) > seen_before), 10)  # noqa: B023
                return_times.append(time.monotonic() - returned_at)
        assert load.connection_failures == 0
    return {"bans": rounds, "bans_broken": sent_while_out, "back_in_s": round(max(return_times), 2)}


def count_cold_overloads(rounds: int) -> Figures:
    """Count requests at which a worker back from maintenance, one of 60, has more attempts in flight than it can bear.

    Runs the decision code alone, in simulated time.
    """
    overloads = 0
    for seed in range(rounds):
        random = Random(seed)
        settings = Settings(
            (RequestClass("read", aim=1.0, deadline=4.0),),
            (Plan("basic"),),
            gateways=4,
            number=seed % 4,
            slow_start_min_factor=0.2,
            slow_start_duration=8.0,
        )
        gateway = Gateway(settings, seed, 0.0)
        names = [f"w{n}" for n in range(60)]
        gateway.handle(0.0, interface.WorkerList(tuple(interface.WorkerEntry(name) for name in names), whole=True))
        now, returned_at, victim = 0.0, 0.0, random.choice(names)
        in_flight: list[tuple[float, str, str]] = []
        for n in range(3000):
            now += random.expovariate(300.0)
            if n == 1000:
                gateway.handle(now, interface.SetMaintenance(victim, True))
            if n == 1500:
                gateway.handle(now, interface.SetMaintenance(victim, False))
                returned_at = now
            while in_flight and in_flight[0][0] <= now:
                end_time, name, worker = in_flight.pop(0)
                gateway.handle(
                    end_time, interface.Outcome(name, 0, worker, interface.SUCCESS, terminal=True, took=0.05)
                )
            for action in gateway.handle(now, interface.Request(f"r{n}", "read", "basic", f"{n:016x}", 4.0)):
                if isinstance(action, interface.Send):
                    in_flight.append((now + 0.05, f"r{n}", action.worker))
            state = gateway.fleet.workers.get(victim)
            if n > 1500 and state is not None:
                # A warm worker serves 300 / 60 requests per second here; the limit is twice its current share of that.
                warm_up_factor = min(1.0, 0.2 + 0.8 * (now - returned_at) / 8.0)
                overloads += len(state.in_flight) > max(1.0, 2 * warm_up_factor * 300 / 60)
    return {"cold_falls": overloads}


async def measure_drains(rounds: int) -> Figures:
    """Drain the clients of a gatekeeper, idle and new ones; return the longest time until all have disconnected."""
    longest = 0.0
    async with running_gatekeeper(FakeWorker("w")) as (gatekeeper, _, _):
        for _ in range(rounds):
            idle = [await gatekeeper.client() for _ in range(20)]
            for client in idle:
                assert (await client.fetch("write")).status == 200
            started = time.monotonic()
            await gatekeeper.call("LEAVE")
            assert await gatekeeper.health() == 503
            late_client = await gatekeeper.client()
            assert (await late_client.fetch("write")).status == 200
            disconnected = await asyncio.gather(*(client.is_closed_cleanly() for client in (*idle, late_client)))
            assert all(disconnected)
            longest = max(longest, time.monotonic() - started)
            await gatekeeper.call("JOIN")
            assert await gatekeeper.health() == 200
    return {"drained_s": round(longest, 2)}


async def measure_memory() -> Figures:
    """Transfer 20 bodies of 32 MB concurrently, both ways, through a gatekeeper that is limited to 80 MB of memory."""
    async with running_gatekeeper(BulkWorker("w"), limits={"memory_mb": 80}) as (gatekeeper, _, _):
        peak_bytes = await peak_resident_bytes(
            gatekeeper.process.pid, transfer_concurrently(gatekeeper.port, 20, 32 * MB)
        )
    return {"peak_memory_mb": round(peak_bytes / MB, 1)}


class Relay(asyncio.Protocol):
    """One connection of a plain TCP relay; backpressure on one side pauses reading on the other."""

    def __init__(self, port: int = 0, other: Relay | None = None) -> None:
        self._port, self._other = port, other
        self._transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the target, or forward what arrived before this connection was established."""
        self._transport = transport = cast(asyncio.Transport, transport)
        if self._other is None:
            other = self._other = Relay(other=self)
            self._task = asyncio.create_task(
                asyncio.get_running_loop().create_connection(lambda: other, "127.0.0.1", self._port)
            )
        else:
            for data in self._other._early:
                transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Forward the data, or keep it until the other side is connected."""
        other = self._other
        if other is not None and other._transport is not None:
            other._transport.write(data)
        else:
            self._early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side."""
        if self._other is not None and self._other._transport is not None:
            self._other._transport.close()

    def pause_writing(self) -> None:
        """Pause reading from the other side."""
        if self._other is not None and self._other._transport is not None:
            self._other._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the other side."""
        if self._other is not None and self._other._transport is not None:
            self._other._transport.resume_reading()


def run_relay(port: int) -> None:
    """Run a plain TCP relay to `port` for 60 s: print its own port, then forward bytes both ways."""

    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(lambda: Relay(port), "127.0.0.1", 0)
        print(server.sockets[0].getsockname()[1], flush=True)
        await asyncio.sleep(60)

    uvloop.run(serve())


async def transfer_rate(port: int, size: int) -> float:
    """Return the MB per second at which one response of `size` bytes is received."""
    client = await BulkClient.connect(port)
    started = time.perf_counter()
    status, _, received, _, whole = await client.fetch("read", worker_query=f"give={size}")
    duration = time.perf_counter() - started
    client.close()
    assert status == 200 and whole and received == size, (status, whole, received)
    return size / MB / duration


async def measure_transfer_rates(rounds: int) -> Figures:
    """Compare the transfer rate of long responses through the gatekeeper to that of a plain relay, in alternation."""
    worker, size = BulkWorker("w"), 32 * MB
    async with running_gatekeeper(worker) as (gatekeeper, _, _):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.operations", "--relay", str(worker.port), stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        relay_port = int(await process.stdout.readline())
        ratios, rates = [], []
        for _ in range(rounds):
            gatekeeper_rate, relay_rate = (
                await transfer_rate(gatekeeper.port, size),
                await transfer_rate(relay_port, size),
            )
            rates.append(gatekeeper_rate)
            ratios.append(gatekeeper_rate / relay_rate)
        process.kill()
        await process.wait()
    return {
        "mb_s": round(statistics.median(rates)),
        "mb_s_ratio": round(statistics.median(ratios), 2),
        "mb_s_ratio_least": round(min(ratios), 2),
    }


def cpu_seconds_used(gatekeeper: GatekeeperProcess) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{gatekeeper.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_request_cost(rounds: int, requests: int) -> Figures:
    """Compare the CPU time of short requests to that of `BASELINE_COMMIT`, in alternating rounds."""
    repository = Path(__file__).parents[1]
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "-C", str(repository), "archive", BASELINE_COMMIT], capture_output=True, check=False
        )
        if archive.returncode:
            return {"short_request_cost_ratio": None}
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        worker = FakeWorker("w")
        ratios = []
        async with ProcessHost(worker) as host:
            gatekeepers: list[GatekeeperProcess] = []
            for root in (repository, Path(folder)):
                configuration = config(host.discovery.port)
                del configuration["management"]
                gatekeeper = await spawn(json.dumps(configuration), source_root=root)
                await gatekeeper.wait_until_listening()
                gatekeepers.append(gatekeeper)
                host.processes.append(gatekeeper)
            clients = [await gatekeeper.client() for gatekeeper in gatekeepers]
            body = b"x" * 200
            for n in range(rounds + 1):
                cpu_seconds = []
                for gatekeeper, client in zip(gatekeepers, clients, strict=True):
                    cpu_before = cpu_seconds_used(gatekeeper)
                    for _ in range(requests):
                        assert (await client.fetch("write", body=body)).status == 200
                    cpu_seconds.append(cpu_seconds_used(gatekeeper) - cpu_before)
                if n:  # the first round warms up both versions
                    ratios.append(cpu_seconds[0] / cpu_seconds[1])
        return {
            "short_request_cost_ratio": round(statistics.median(ratios), 3),
            "short_request_cost_spread": [round(min(ratios), 3), round(max(ratios), 3)],
        }


async def check_outcomes() -> Figures:
    """Check the response and the number of whole requests at workers for each request class and point of failure."""
    wrong_count = case_count = 0
    size = 16 * MB
    # Per case, the instructions to the worker; per class, the expected status and number of whole requests at workers.
    expected: list[tuple[str, dict[str, tuple[int, int]]]] = [
        ("", {"write": (200, 1), "read": (200, 1)}),
        ("turn=1", {"write": (200, 2), "read": (200, 2)}),
        ("cut=1", {"write": (200, 1)}),
        (f"give={4 * MB}&break={MB}", {"write": (200, 1), "read": (200, 1)}),
        ("give=100&break=50", {"write": (502, 1)}),
        ("turn=9", {"write": (503, 3), "read": (503, 3)}),
    ]
    for want, by_class in expected:
        for klass, (status, whole_expected) in by_class.items():
            workers = [BulkWorker(name) for name in "wvu"]
            async with running_gatekeeper(*workers) as (gatekeeper, _, _):
                client = await BulkClient.connect(gatekeeper.port)
                body_size = size if klass == "write" else 0
                received_status, name, length, total, whole = await client.fetch(
                    klass, size=body_size, worker_query=want
                )
                whole_received = sum(
                    transfer[0] == name and transfer[3] for worker in workers for transfer in worker.received
                )
                response_cut = "give=4" in want and "break" in want
                as_expected = (
                    received_status == status and whole_received == whole_expected and whole is not response_cut
                )
                if received_status == 200 and whole and not response_cut:
                    as_expected = as_expected and total == body_checksum(name, length)
                case_count += 1
                wrong_count += not as_expected
                if not as_expected:
                    print(
                        "wrong:",
                        klass,
                        want,
                        "status",
                        received_status,
                        "whole requests",
                        whole_received,
                        "whole response",
                        whole,
                    )
    return {"cases": case_count, "wrong_outcomes": wrong_count}


def main() -> int:
    """Run every part and print the figures; return 0 if every bound holds, else 1."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.operations", description=__doc__)
    parser.add_argument("--short", action="store_true", help="run fewer rounds; ends within 45 s")
    parser.add_argument("--relay", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.relay:
        run_relay(options.relay)
        return 0
    short = options.short
    figures: Figures = {}
    parts: list[tuple[str, Callable[[], Awaitable[Figures]]]] = [
        ("upgrades", lambda: measure_upgrades(2 if short else 8, 1.5 if short else 5.0)),
        ("quota over an upgrade", lambda: measure_quota_excess(2.0 if short else 10.0)),
        ("handoff of 30,000 customers", lambda: measure_handoff(30_000)),
        ("calls", lambda: measure_calls(1.0 if short else 10.0)),
        ("bans", lambda: measure_maintenance(4 if short else 40)),
        ("drains", lambda: measure_drains(1 if short else 10)),
        ("memory", measure_memory),
        ("speed", lambda: measure_transfer_rates(2 if short else 9)),
        ("CPU time of a short request", lambda: measure_request_cost(2 if short else 9, 800 if short else 4000)),
        ("outcomes", check_outcomes),
    ]
    for name, part in parts:
        started = time.monotonic()

        async def collect(part: Callable[[], Awaitable[Figures]] = part) -> None:
            figures.update(await part())

        run(collect())
        print(f"{name}: {time.monotonic() - started:.1f} s")
    figures.update(count_cold_overloads(3 if short else 20))
    figures["ok"] = meets_bounds(figures)
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
