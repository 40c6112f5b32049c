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

GRACE = 0.25  # seconds after a notification in which requests may still go out
NOTIFIED_AT_LATEST = 6.0  # seconds after discovery had a change and could be reached
SLACK = 0.12  # seconds that this program and the processes may be late on a quiet machine
LATE_ANSWER = 0.5  # seconds after its time in which an answer only earns nothing
CLIENT_GONE_GRACE = 0.1  # seconds in which what crossed the close of a client's connection may still begin
TIMEOUT_SLACK = 0.15  # seconds by which an endpoint may be told of more than the client has left
NAME_SEPARATOR = "-"  # in a request's id: gatekeeper, its start, number
HOLD_UP_SECONDS = 0.15  # that a process may be held up between reading its clock and writing
OVERLAPPING_FAULTS = 2  # that a gatekeeper or its agent may have at a time, or more
QUIET_SECONDS = 1.0  # before and after a change, in which no fault of the agent makes the strict bound hold


@dataclass(frozen=True)
class Arrival:
    """A request as an endpoint saw it."""

    at: float
    request: str
    method: str
    timeout: float


@dataclass
class Sent:
    """A request as its client knows it."""

    at: float
    timeout: float
    left_at: float | None = None


@dataclass
class Record:
    """What a day came to."""

    seed: int
    breaks: list[str] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    answered: int = 0
    served: int = 0
    worst_drain_seconds: float = 0.0  # a request to a draining endpoint after its change, at the latest
    worst_quiet_drain_seconds: float = 0.0  # the same where nothing was wrong with the agent

    def line(self) -> str:
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
class Station:
    """One gatekeeper, over all its starts, with its two agents."""

    number: int
    agents: list[FakeAgent]
    gatekeeper: Gatekeeper | None = None
    start: int = 0
    started_at: list[float] = field(default_factory=list)
    current: int = 0  # which agent it watches
    disturbed: list[tuple[float, float]] = field(default_factory=list)  # spans in which its agent or it had a fault
    known: list[dict[str, Any]] = field(default_factory=list)
    down: bool = False
    stopped: bool = False  # held up now, or a moment ago

    @property
    def agent(self) -> FakeAgent:
        """Whom it watches."""
        return self.agents[self.current]

    @property
    def name(self) -> str:
        """Its present incarnation, as requests name it."""
        return f"g{self.number}{NAME_SEPARATOR}{self.start}"

    def quiet(self, at: float) -> bool:
        """Whether nothing was wrong round a moment."""
        return not any(begin < at + QUIET_SECONDS and end > at - QUIET_SECONDS for begin, end in self.disturbed)


class Soak:
    """A day."""

    def __init__(
        self, seed: int, seconds: float, gatekeepers: int, workers: int, clients: int, slack: float = SLACK
    ) -> None:
        self.random = Random(seed)
        self.seconds, self.clients, self.slack = seconds, clients, slack
        self.record = Record(seed)
        self.workers = [SoakWorker(f"w{n}", self.random) for n in range(workers)]
        self.stations = [Station(n, []) for n in range(gatekeepers)]
        self.sent: dict[str, Sent] = {}
        self.drains: dict[str, float] = {}  # by worker: when the change was published
        self.ended = False
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> Record:
        """Play it to its end, and judge."""
        for worker in self.workers:
            await worker.start()
        entries = [worker.entry() for worker in self.workers]
        for station in self.stations:
            station.agents = [await FakeAgent(entries).start(), await FakeAgent(entries, index=50).start()]
            station.known = entries
        await asyncio.gather(*(self._start(station) for station in self.stations))
        began = time.monotonic()
        for station in self.stations:
            self._tasks += [asyncio.create_task(self._client(station)) for _ in range(self.clients)]
            self._tasks += [asyncio.create_task(self._faults_of(station)) for _ in range(OVERLAPPING_FAULTS)]
        self._tasks += [asyncio.create_task(self._drain_workers()), asyncio.create_task(self._worker_faults())]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*self._tasks), self.seconds)
        self.ended = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(self._finish(station) for station in self.stations))
        self._judge(began)
        return self.record

    # Processes.

    async def _start(self, station: Station) -> None:
        station.start += 1
        station.started_at.append(time.monotonic())
        made = config(station.agent.port, changes={"Rules": {"DrainGraceUs": int(GRACE * 1e6)}})
        made["name"] = f"g{station.number}"
        made["known"] = {
            "index": station.agent.index if not station.known else 1,
            "snapshot": True,
            "endpoints": station.known,
        }
        station.gatekeeper = await launch(made)
        station.down = False

    async def _finish(self, station: Station) -> None:
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

    async def _client(self, station: Station) -> None:
        client, rested = None, False
        while not self.ended:
            gatekeeper, name = station.gatekeeper, station.name
            if station.down or gatekeeper is None:
                client = None
                await asyncio.sleep(0.05)
                continue
            try:
                if client is None:
                    client, rested = await gatekeeper.client(), False
                kept = await self._ask(client, name, rested, station)
                client, rested = (client, True) if kept else (None, False)
            except OSError:
                client = None
                await asyncio.sleep(0.02)
            await asyncio.sleep(self.random.uniform(0.0, 0.06))

    async def _ask(self, client: Client, name: str, rested: bool, station: Station) -> bool:
        """One request; whether its connection can carry another."""
        request = f"{name}{NAME_SEPARATOR}{len(self.sent)}"
        klass = self.random.choice(("read", "write"))
        timeout = self.random.choice((0.3, 0.8, 1.5))
        sent = self.sent[request] = Sent(time.monotonic(), timeout)
        client.send(client.request(klass, timeout=f"{timeout:.3f}", id=request))
        leaves = self.random.random() < 0.05
        patience = self.random.uniform(0.0, timeout / 2) if leaves else timeout + LATE_ANSWER + self.slack
        try:
            reply = await asyncio.wait_for(client.receive(), patience)
        except TimeoutError:
            sent.left_at = time.monotonic()
            client.writer.transport.abort()
            if not leaves and station.name == name and not station.down:
                self.record.breaks.append(f"lost: {request} ({klass}, {timeout} s) was not answered in time")
            return False
        if reply is None:
            if not rested and station.name == name and not station.down:
                self.record.breaks.append(f"lost: {request} ({klass}) ended with no answer on a new connection")
            return False
        self.record.answered += 1
        self.record.served += reply.status == 200
        return reply.headers.get("connection") != "close"

    # Faults.

    def _inject(self, kind: str) -> None:
        self.record.faults[kind] = self.record.faults.get(kind, 0) + 1

    async def _faults_of(self, station: Station) -> None:
        kinds = [
            self._delay,
            self._delay,
            self._trickle,
            self._reset,
            self._refuse,
            self._silence,
            self._close_each,
            self._snapshots,
            self._reload,
            self._stop,
            self._stop,
            self._reset,
            self._kill,
        ]
        while True:
            await asyncio.sleep(self.random.expovariate(0.6))
            await self.random.choice(kinds)(station)

    async def _agent_fault(self, station: Station, kind: str, seconds: float, **faults: Any) -> None:
        self._inject(kind)
        agent, begin = station.agent, time.monotonic()
        for key, value in faults.items():
            setattr(agent.faults, key, value)
        usual = AgentFaults()
        try:
            await asyncio.sleep(seconds)
        finally:
            for key in faults:
                setattr(agent.faults, key, getattr(usual, key))
            station.disturbed.append((begin, time.monotonic() + 1.5))  # late answers may still be on their way

    async def _delay(self, station: Station) -> None:
        """Late answers: each as late as the other, drawn anew, later each time, or one in three."""
        most, number = self.random.choice((0.4, 0.8, 1.2)), itertools.count()
        random = Random(self.random.random())
        delays: tuple[Callable[[], float], ...] = (
            lambda: most,
            lambda: random.uniform(0.0, most),
            lambda: min(most, 0.1 * next(number)),
            lambda: most if next(number) % 3 == 0 else 0.0,
        )
        chosen = self.random.choice(delays)
        if self.random.random() < 0.5:
            await self._reset(station)
        await self._agent_fault(station, "delay", self.random.uniform(4.0, 15.0), delay_seconds=chosen)

    async def _trickle(self, station: Station) -> None:
        await self._agent_fault(station, "trickle", self.random.uniform(1.0, 4.0), trickle_seconds=0.05)

    async def _silence(self, station: Station) -> None:
        await self._agent_fault(station, "silence", self.random.uniform(0.5, 3.0), unresponsive=True)

    async def _close_each(self, station: Station) -> None:
        await self._agent_fault(station, "close_each", self.random.uniform(1.0, 4.0), close_after_answer=True)

    async def _snapshots(self, station: Station) -> None:
        await self._agent_fault(station, "snapshots", self.random.uniform(1.0, 4.0), always_snapshot=True)

    async def _reset(self, station: Station) -> None:
        self._inject("reset")
        station.agent.reset_connections()
        station.disturbed.append((time.monotonic(), time.monotonic() + 0.5))

    async def _refuse(self, station: Station) -> None:
        self._inject("refuse")
        agent, begin = station.agent, time.monotonic()
        agent.stop()
        try:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        finally:
            while not await self._listens_again(agent):
                await asyncio.sleep(0.05)
            station.disturbed.append((begin, time.monotonic() + 0.5))

    @staticmethod
    async def _listens_again(agent: FakeAgent) -> bool:
        """Whether an agent has its port again, which a connection to elsewhere may hold for a moment."""
        try:
            await agent.start()
        except OSError:
            return False
        return True

    async def _reload(self, station: Station) -> None:
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down:
            return
        self._inject("reload")
        begin = time.monotonic()
        station.current = 1 - station.current
        made = json.loads(gatekeeper.file.read_text())
        made["discovery"] = f"127.0.0.1:{station.agent.port}"
        gatekeeper.file.write_text(json.dumps(made))
        with contextlib.suppress(ProcessLookupError):
            gatekeeper.process.send_signal(signal.SIGHUP)
        station.disturbed.append((begin, begin + 4.0))

    async def _stop(self, station: Station) -> None:
        """A process that is held up; one such hold-up at a time, as two in a row would be a longer one."""
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down or station.stopped:
            return
        self._inject("stop")
        station.stopped = True
        with contextlib.suppress(ProcessLookupError):
            gatekeeper.process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(HOLD_UP_SECONDS)
            finally:
                gatekeeper.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(4 * HOLD_UP_SECONDS)
        station.stopped = False

    async def _kill(self, station: Station) -> None:
        gatekeeper = station.gatekeeper
        if gatekeeper is None or station.down:
            return
        self._inject("kill")
        begin = time.monotonic()
        station.down = True
        station.known = [
            worker.entry(status="draining" if worker.name in self.drains else "up") for worker in self.workers
        ]
        gatekeeper.process.kill()
        await gatekeeper.process.wait()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if not self.ended:
            await self._start(station)
        station.disturbed.append((begin, time.monotonic() + 0.5))

    async def _worker_faults(self) -> None:
        while True:
            await asyncio.sleep(self.random.expovariate(0.7))
            worker = self.random.choice(self.workers)
            worker.fault = self.random.choice(("hang", "slow", "reset"))
            self._inject(f"worker_{worker.fault}")
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            worker.fault = ""

    async def _drain_workers(self) -> None:
        """One endpoint after another begins to drain, until two are left."""
        drained = self.workers[2:]
        pause = self.seconds * 0.8 / len(drained)
        for worker in drained:
            await asyncio.sleep(self.random.uniform(0.6, 1.0) * pause)
            self._inject("drain")
            self.drains[worker.name] = time.monotonic()
            for station in self.stations:
                for agent in station.agents:
                    await agent.change(worker.entry(status="draining"))

    # Rules.

    def _judge(self, began: float) -> None:
        runs: dict[str, int] = {}
        for worker in self.workers:
            for arrival in worker.arrivals:
                if arrival.method == "POST":
                    runs[arrival.request] = runs.get(arrival.request, 0) + 1
                self._judge_arrival(worker, arrival)
        for request, times in runs.items():
            if times > 1:
                self.record.breaks.append(f"duplicate: {request} came to endpoints {times} times")

    def _judge_arrival(self, worker: SoakWorker, arrival: Arrival) -> None:
        sent = self.sent.get(arrival.request)
        if sent is None:
            self.record.breaks.append(f"unknown: {arrival.request} at {worker.name}")
            return
        left = sent.at + sent.timeout - arrival.at
        if arrival.timeout > left + TIMEOUT_SLACK + self.slack:
            self.record.breaks.append(f"deadline: {arrival.request} told {arrival.timeout:.3f}, left {left:.3f}")
        if sent.left_at is not None and arrival.at > sent.left_at + CLIENT_GONE_GRACE + self.slack:
            self.record.breaks.append(
                f"lost: {arrival.request} began {arrival.at - sent.left_at:.3f} s after its client"
            )
        changed = self.drains.get(worker.name)
        if changed is not None and arrival.at > changed:
            self._judge_drain(worker, arrival, changed)

    def _judge_drain(self, worker: SoakWorker, arrival: Arrival, changed: float) -> None:
        station_name, start, _ = arrival.request.split(NAME_SEPARATOR)
        station = self.stations[int(station_name[1:])]
        started = station.started_at[int(start) - 1]
        late = arrival.at - changed
        self.record.worst_drain_seconds = max(self.record.worst_drain_seconds, late)
        if started > changed:
            # What its agent had counts as notified from the first moment of the process.
            bound, since = GRACE + self.slack, arrival.at - started
        elif station.quiet(changed):
            bound, since = GRACE + self.slack, late
            self.record.worst_quiet_drain_seconds = max(self.record.worst_quiet_drain_seconds, late)
        else:
            bound, since = NOTIFIED_AT_LATEST + GRACE + self.slack, late
        if since > bound:
            self.record.breaks.append(f"drain: {arrival.request} at {worker.name} {since:.3f} s after it was notified")


async def _play(seed: int, seconds: float, gatekeepers: int, workers: int, clients: int) -> Record:
    return await Soak(seed, seconds, gatekeepers, workers, clients).play()


def main() -> int:
    """Play the seeds one after another; 1 where a rule was broken."""
    words = argparse.ArgumentParser(description="Random overlapping faults over many gatekeepers.")
    words.add_argument("--seeds", type=int, nargs="+", default=[1])
    words.add_argument("--seconds", type=float, default=30.0, help="of each day")
    words.add_argument("--gatekeepers", type=int, default=8)
    words.add_argument("--workers", type=int, default=8)
    words.add_argument("--clients", type=int, default=3, help="of each gatekeeper")
    asked = words.parse_args()
    good = True
    for seed in asked.seeds:
        record = asyncio.run(_play(seed, asked.seconds, asked.gatekeepers, asked.workers, asked.clients))
        print(record.line(), flush=True)
        good = good and not record.breaks
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
