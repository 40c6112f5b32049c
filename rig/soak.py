"""Random faults that overlap, over many gatekeepers in processes of their own, judged from outside.

`python -m rig.soak --seeds 1 2 3` plays a day for each seed and prints a line of JSON for each: the faults that were
injected, and every broken rule. The seed decides which faults come when; what the operating system does in between is
not repeated, so that a break is looked into by its record, not by a second play.

Judged: each request gets one final answer in time, unless its process was killed or it crossed the end of a resting
connection; a request with an effect runs once; nothing begins after its client has gone; endpoints hear no more time
than the client has left; nothing goes to an endpoint that drains after the grace; no process ends by itself or refuses
a step by its own guard.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from rig.agent import AgentFaults, FakeAgent
from rig.fake_servers import Client, Gatekeeper, Message, Worker, config, launch, reset

DRAIN_GRACE_SECONDS = 0.25  # seconds after a notification in which requests may still go out
MAX_NOTIFICATION_SECONDS = 6.0  # seconds after discovery had a change and could be reached
SCHEDULING_SLACK_SECONDS = 0.12  # seconds that this program and the processes may be late on a quiet machine
LATE_ANSWER_SECONDS = 0.5  # seconds after its time in which an answer only earns nothing
DISCONNECT_GRACE_SECONDS = 0.1  # seconds in which what crossed the close of a client's connection may still begin
TIMEOUT_SLACK_SECONDS = 0.15  # seconds by which an endpoint may be told of more than the client has left
NAME_SEPARATOR = "-"  # in a request's id: gatekeeper, its start, number
PAUSE_SECONDS = 0.15  # that a process may be held up between reading its clock and writing
FAULT_TASKS_PER_GATEKEEPER = 2  # that a gatekeeper or its agent may have at a time, or more
QUIET_WINDOW_SECONDS = 1.0  # before and after a change, in which no fault of the agent makes the strict bound hold


@dataclass(frozen=True)
class Arrival:
    """A request as an endpoint saw it."""

    at: float
    request: str
    method: str
    timeout: float


@dataclass
class SentRequest:
    """A request as its client knows it."""

    at: float
    timeout: float
    disconnected_at: float | None = None


@dataclass
class SoakResult:
    """What a day came to."""

    seed: int
    breaks: list[str] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    answered: int = 0
    served: int = 0
    worst_drain_seconds: float = 0.0  # a request to a draining endpoint after its change, at the latest
    worst_quiet_drain_seconds: float = 0.0  # the same where nothing was wrong with the agent

    def to_json(self) -> str:
        """As a line of JSON."""
        return json.dumps({"ok": not self.breaks, **self.__dict__})


class SoakWorker(Worker):
    """An endpoint that answers, or fails as it is told to."""

    def __init__(self, name: str, random: Random) -> None:
        super().__init__(name, self._answer)
        self.arrivals: list[Arrival] = []
        self.draining_since: float | None = None
        self.fault = ""
        self._random = random

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        timeout = float(request.headers.get("x-timeout", "0"))
        self.arrivals.append(Arrival(time.monotonic(), request.id, request.first.split(" ")[0], timeout))
        if self.fault == "hang":
            return
        if self.fault == "reset":
            await reset(request, writer)
            return
        await asyncio.sleep(0.3 if self.fault == "slow" else self._random.uniform(0.0, 0.01))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


@dataclass
class GatekeeperSlot:
    """One gatekeeper, over all its starts, with its two agents."""

    number: int
    agents: list[FakeAgent]
    gatekeeper: Gatekeeper | None = None
    incarnation: int = 0
    started_at: list[float] = field(default_factory=list)
    agent_index: int = 0  # which agent it watches
    fault_spans: list[tuple[float, float]] = field(default_factory=list)  # spans in which its agent or it had a fault
    known_endpoints: list[dict[str, Any]] = field(default_factory=list)
    down: bool = False
    recently_paused: bool = False  # held up now, or a moment ago

    @property
    def agent(self) -> FakeAgent:
        """Whom it watches."""
        return self.agents[self.agent_index]

    @property
    def name(self) -> str:
        """Its present incarnation, as requests name it."""
        return f"g{self.number}{NAME_SEPARATOR}{self.incarnation}"

    def is_quiet(self, at: float) -> bool:
        """Whether nothing was wrong round a moment."""
        return not any(
            begin < at + QUIET_WINDOW_SECONDS and end > at - QUIET_WINDOW_SECONDS for begin, end in self.fault_spans
        )


class Soak:
    """A day."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        gatekeepers: int,
        workers: int,
        clients: int,
        slack: float = SCHEDULING_SLACK_SECONDS,
    ) -> None:
        self.random = Random(seed)
        self.seconds, self.clients, self.slack = seconds, clients, slack
        self.record = SoakResult(seed)
        self.workers = [SoakWorker(f"w{n}", self.random) for n in range(workers)]
        self.slots = [GatekeeperSlot(n, []) for n in range(gatekeepers)]
        self.sent_requests: dict[str, SentRequest] = {}
        self.drain_times: dict[str, float] = {}  # by worker: when the change was published
        self.ended = False
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> SoakResult:
        """Play it to its end, and judge."""
        for worker in self.workers:
            await worker.start()
        entries = [worker.entry() for worker in self.workers]
        for station in self.slots:
            station.agents = [await FakeAgent(entries).start(), await FakeAgent(entries, index=50).start()]
            station.known_endpoints = entries
        await asyncio.gather(*(self._start(station) for station in self.slots))
        began = time.monotonic()
        for station in self.slots:
            self._tasks += [asyncio.create_task(self._client(station)) for _ in range(self.clients)]
            self._tasks += [
                asyncio.create_task(self._inject_gatekeeper_faults(station)) for _ in range(FAULT_TASKS_PER_GATEKEEPER)
            ]
        self._tasks += [asyncio.create_task(self._drain_workers()), asyncio.create_task(self._inject_worker_faults())]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*self._tasks), self.seconds)
        self.ended = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(self._finish(station) for station in self.slots))
        self._check_results(began)
        return self.record

    # Processes.

    async def _start(self, station: GatekeeperSlot) -> None:
        station.incarnation += 1
        station.started_at.append(time.monotonic())
        configuration = config(station.agent.port, changes={"Rules": {"DrainGraceUs": int(DRAIN_GRACE_SECONDS * 1e6)}})
        configuration["name"] = f"g{station.number}"
        configuration["known"] = {
            "index": station.agent.index if not station.known_endpoints else 1,
            "snapshot": True,
            "endpoints": station.known_endpoints,
        }
        station.gatekeeper = await launch(configuration)
        station.down = False

    async def _finish(self, station: GatekeeperSlot) -> None:
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down:
            return
        if gatekeeper.process.returncode is not None:
            self.record.breaks.append(f"crash: {station.name} ended by itself: {gatekeeper.log[-3:]}")
            return
        try:
            refused = await asyncio.wait_for(gatekeeper.call("REFUSED"), 5.0)
        except (OSError, TimeoutError):
            refused = "no answer"
        if refused != "ok none":
            self.record.breaks.append(f"guard: {station.name}: {refused}")
        if any("Traceback" in line for line in gatekeeper.log):
            self.record.breaks.append(f"traceback: {station.name}: {gatekeeper.log[-5:]}")
        gatekeeper.process.kill()
        await gatekeeper.process.wait()

    # Clients.

    async def _client(self, station: GatekeeperSlot) -> None:
        client, reused = None, False
        while not self.ended:
            gatekeeper, name = station.gatekeeper, station.name
            if station.down or gatekeeper is None:
                client = None
                await asyncio.sleep(0.05)
                continue
            try:
                if client is None:
                    client, reused = await gatekeeper.client(), False
                reusable = await self._send_request(client, name, reused, station)
                client, reused = (client, True) if reusable else (None, False)
            except OSError:
                client = None
                await asyncio.sleep(0.02)
            await asyncio.sleep(self.random.uniform(0.0, 0.06))

    async def _send_request(self, client: Client, name: str, reused: bool, station: GatekeeperSlot) -> bool:
        """One request; whether its connection can carry another."""
        request = f"{name}{NAME_SEPARATOR}{len(self.sent_requests)}"
        klass = self.random.choice(("read", "write"))
        timeout = self.random.choice((0.3, 0.8, 1.5))
        sent = self.sent_requests[request] = SentRequest(time.monotonic(), timeout)
        client.send(client.request(klass, timeout=f"{timeout:.3f}", id=request))
        disconnects = self.random.random() < 0.05
        max_wait = self.random.uniform(0.0, timeout / 2) if disconnects else timeout + LATE_ANSWER_SECONDS + self.slack
        try:
            reply = await asyncio.wait_for(client.receive(), max_wait)
        except TimeoutError:
            sent.disconnected_at = time.monotonic()
            client.writer.transport.abort()
            if not disconnects and station.name == name and not station.down:
                self.record.breaks.append(f"lost: {request} ({klass}, {timeout} s) was not answered in time")
            return False
        if reply is None:
            if not reused and station.name == name and not station.down:
                self.record.breaks.append(f"lost: {request} ({klass}) ended with no answer on a new connection")
            return False
        self.record.answered += 1
        self.record.served += reply.status == 200
        return reply.headers.get("connection") != "close"

    # Faults.

    def _count_fault(self, kind: str) -> None:
        self.record.faults[kind] = self.record.faults.get(kind, 0) + 1

    async def _inject_gatekeeper_faults(self, station: GatekeeperSlot) -> None:
        kinds = [
            self._delay,
            self._delay,
            self._trickle,
            self._reset,
            self._refuse,
            self._no_response,
            self._close_after_answer,
            self._always_snapshot,
            self._reload,
            self._pause,
            self._pause,
            self._reset,
            self._kill,
        ]
        while True:
            await asyncio.sleep(self.random.expovariate(0.6))
            await self.random.choice(kinds)(station)

    async def _agent_fault(self, station: GatekeeperSlot, kind: str, seconds: float, **faults: Any) -> None:
        self._count_fault(kind)
        agent, begin = station.agent, time.monotonic()
        for key, value in faults.items():
            setattr(agent.faults, key, value)
        defaults = AgentFaults()
        try:
            await asyncio.sleep(seconds)
        finally:
            for key in faults:
                setattr(agent.faults, key, getattr(defaults, key))
            station.fault_spans.append((begin, time.monotonic() + 1.5))  # late answers may still be on their way

    async def _delay(self, station: GatekeeperSlot) -> None:
        """Late answers: each as late as the other, drawn anew, later each time, or one in three."""
        max_delay, number = self.random.choice((0.4, 0.8, 1.2)), itertools.count()
        random = Random(self.random.random())
        delays: tuple[Callable[[], float], ...] = (
            lambda: max_delay,
            lambda: random.uniform(0.0, max_delay),
            lambda: min(max_delay, 0.1 * next(number)),
            lambda: max_delay if next(number) % 3 == 0 else 0.0,
        )
        chosen = self.random.choice(delays)
        if self.random.random() < 0.5:
            await self._reset(station)
        await self._agent_fault(station, "delay", self.random.uniform(4.0, 15.0), delay_seconds=chosen)

    async def _trickle(self, station: GatekeeperSlot) -> None:
        await self._agent_fault(station, "trickle", self.random.uniform(1.0, 4.0), trickle_seconds=0.05)

    async def _no_response(self, station: GatekeeperSlot) -> None:
        await self._agent_fault(station, "silence", self.random.uniform(0.5, 3.0), unresponsive=True)

    async def _close_after_answer(self, station: GatekeeperSlot) -> None:
        await self._agent_fault(station, "close_each", self.random.uniform(1.0, 4.0), close_after_answer=True)

    async def _always_snapshot(self, station: GatekeeperSlot) -> None:
        await self._agent_fault(station, "snapshots", self.random.uniform(1.0, 4.0), always_snapshot=True)

    async def _reset(self, station: GatekeeperSlot) -> None:
        self._count_fault("reset")
        station.agent.reset_connections()
        station.fault_spans.append((time.monotonic(), time.monotonic() + 0.5))

    async def _refuse(self, station: GatekeeperSlot) -> None:
        self._count_fault("refuse")
        agent, begin = station.agent, time.monotonic()
        agent.stop()
        try:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        finally:
            while not await self._listens_again(agent):
                await asyncio.sleep(0.05)
            station.fault_spans.append((begin, time.monotonic() + 0.5))

    @staticmethod
    async def _listens_again(agent: FakeAgent) -> bool:
        """Whether an agent has its port again, which a connection to elsewhere may hold for a moment."""
        try:
            await agent.start()
        except OSError:
            return False
        return True

    async def _reload(self, station: GatekeeperSlot) -> None:
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down:
            return
        self._count_fault("reload")
        begin = time.monotonic()
        station.agent_index = 1 - station.agent_index
        configuration = json.loads(gatekeeper.file.read_text())
        configuration["discovery"] = f"127.0.0.1:{station.agent.port}"
        gatekeeper.file.write_text(json.dumps(configuration))
        with contextlib.suppress(ProcessLookupError):
            gatekeeper.process.send_signal(signal.SIGHUP)
        station.fault_spans.append((begin, begin + 4.0))

    async def _pause(self, station: GatekeeperSlot) -> None:
        """A process that is held up; one such hold-up at a time, as two in a row would be a longer one."""
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down or station.recently_paused:
            return
        self._count_fault("stop")
        station.recently_paused = True
        with contextlib.suppress(ProcessLookupError):
            gatekeeper.process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(PAUSE_SECONDS)
            finally:
                gatekeeper.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(4 * PAUSE_SECONDS)
        station.recently_paused = False

    async def _kill(self, station: GatekeeperSlot) -> None:
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down:
            return
        self._count_fault("kill")
        begin = time.monotonic()
        station.down = True
        station.known_endpoints = [
            worker.entry(status="draining" if worker.name in self.drain_times else "up") for worker in self.workers
        ]
        gatekeeper.process.kill()
        await gatekeeper.process.wait()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if not self.ended:
            await self._start(station)
        station.fault_spans.append((begin, time.monotonic() + 0.5))

    async def _inject_worker_faults(self) -> None:
        while True:
            await asyncio.sleep(self.random.expovariate(0.7))
            worker = self.random.choice(self.workers)
            worker.fault = self.random.choice(("hang", "slow", "reset"))
            self._count_fault(f"worker_{worker.fault}")
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            worker.fault = ""

    async def _drain_workers(self) -> None:
        """One endpoint after another begins to drain, until two are left."""
        drained = self.workers[2:]
        pause = self.seconds * 0.8 / len(drained)
        for worker in drained:
            await asyncio.sleep(self.random.uniform(0.6, 1.0) * pause)
            self._count_fault("drain")
            self.drain_times[worker.name] = time.monotonic()
            for station in self.slots:
                for agent in station.agents:
                    await agent.change(worker.entry(status="draining"))

    # Rules.

    def _check_results(self, began: float) -> None:
        runs: dict[str, int] = {}
        for worker in self.workers:
            for arrival in worker.arrivals:
                if arrival.method == "POST":
                    runs[arrival.request] = runs.get(arrival.request, 0) + 1
                self._check_arrival(worker, arrival)
        for request, times in runs.items():
            if times > 1:
                self.record.breaks.append(f"duplicate: {request} came to endpoints {times} times")

    def _check_arrival(self, worker: SoakWorker, arrival: Arrival) -> None:
        sent = self.sent_requests.get(arrival.request)
        if sent is None:
            self.record.breaks.append(f"unknown: {arrival.request} at {worker.name}")
            return
        left = sent.at + sent.timeout - arrival.at
        if arrival.timeout > left + TIMEOUT_SLACK_SECONDS + self.slack:
            self.record.breaks.append(f"deadline: {arrival.request} told {arrival.timeout:.3f}, left {left:.3f}")
        if (
            sent.disconnected_at is not None
            and arrival.at > sent.disconnected_at + DISCONNECT_GRACE_SECONDS + self.slack
        ):
            self.record.breaks.append(
                f"lost: {arrival.request} began {arrival.at - sent.disconnected_at:.3f} s after its client"
            )
        changed = self.drain_times.get(worker.name)
        if changed is not None and arrival.at > changed:
            self._check_drain(worker, arrival, changed)

    def _check_drain(self, worker: SoakWorker, arrival: Arrival, changed: float) -> None:
        station_name, start, _ = arrival.request.split(NAME_SEPARATOR)
        station = self.slots[int(station_name[1:])]
        started = station.started_at[int(start) - 1]
        late = arrival.at - changed
        self.record.worst_drain_seconds = max(self.record.worst_drain_seconds, late)
        if started > changed:
            # What its agent had counts as notified from the first moment of the process.
            bound, since = DRAIN_GRACE_SECONDS + self.slack, arrival.at - started
        elif station.is_quiet(changed):
            bound, since = DRAIN_GRACE_SECONDS + self.slack, late
            self.record.worst_quiet_drain_seconds = max(self.record.worst_quiet_drain_seconds, late)
        else:
            bound, since = MAX_NOTIFICATION_SECONDS + DRAIN_GRACE_SECONDS + self.slack, late
        if since > bound:
            self.record.breaks.append(f"drain: {arrival.request} at {worker.name} {since:.3f} s after it was notified")


async def _run_seed(seed: int, seconds: float, gatekeepers: int, workers: int, clients: int) -> SoakResult:
    return await Soak(seed, seconds, gatekeepers, workers, clients).play()


def main() -> int:
    """Play the seeds one after another; 1 where a rule was broken."""
    parser = argparse.ArgumentParser(description="Random overlapping faults over many gatekeepers.")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=30.0, help="of each day")
    parser.add_argument("--gatekeepers", type=int, default=8)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--clients", type=int, default=3, help="of each gatekeeper")
    arguments = parser.parse_args()
    passed = True
    for seed in arguments.seeds:
        record = asyncio.run(
            _run_seed(seed, arguments.seconds, arguments.gatekeepers, arguments.workers, arguments.clients)
        )
        print(record.to_json(), flush=True)
        passed = passed and not record.breaks
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
