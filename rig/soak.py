"""A soak test: random overlapping faults on many gatekeepers in processes of their own, checked from outside.

`python -m rig.soak --seeds 1 2 3` runs once for each seed and prints a line of JSON for each run: the faults that were
injected, and every rule that was broken. The seed determines which faults are injected when, but not the scheduling of
the operating system, so a run cannot be repeated exactly: a broken rule is analysed from its record.

The rules: each request gets one final response in time, unless its process was killed or it was sent while the
gatekeeper closed an idle connection; a request with side effects runs once; no request starts at a worker after its
client disconnected; workers are given no more time than the client has left; no request goes to a draining worker after
the grace period; no process exits by itself, and its invariant checks refuse no step.
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
from rig.fake_servers import Client, FakeWorker, GatekeeperProcess, Message, config, launch, reset

DRAIN_GRACE_SECONDS = 0.25  # after a notification, in which requests may still go to a draining worker
MAX_NOTIFICATION_SECONDS = 6.0  # from the publication of a change until a gatekeeper with faults has it
SCHEDULING_SLACK_SECONDS = 0.12  # scheduling delay of this program and the processes on an idle machine
LATE_ANSWER_SECONDS = 0.5  # after its timeout, in which a response is late but not counted as lost
DISCONNECT_GRACE_SECONDS = 0.1  # in which a request may still start when its client disconnects meanwhile
TIMEOUT_SLACK_SECONDS = 0.15  # by which a worker's timeout may exceed what the client has left
NAME_SEPARATOR = "-"  # in a request id: gatekeeper, incarnation, number
PAUSE_SECONDS = 0.15  # for which a process is suspended, possibly between reading its clock and writing
FAULT_TASKS_PER_GATEKEEPER = 2  # tasks that inject faults; their faults overlap
QUIET_WINDOW_SECONDS = 1.0  # before and after a change; without faults in it, the strict drain bound applies


@dataclass(frozen=True)
class Arrival:
    """A request as a worker received it."""

    at: float
    request: str
    method: str
    timeout: float


@dataclass
class SentRequest:
    """A request as its client sent it."""

    at: float
    timeout: float
    disconnected_at: float | None = None


@dataclass
class SoakResult:
    """The result of a run; its fields are the keys of the printed JSON."""

    seed: int
    breaks: list[str] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    answered: int = 0
    served: int = 0
    worst_drain_seconds: float = 0.0  # latest request to a draining worker, after its change was published
    worst_quiet_drain_seconds: float = 0.0  # the same where the agent and the gatekeeper had no fault

    def to_json(self) -> str:
        """Return the result as a line of JSON."""
        return json.dumps({"ok": not self.breaks, **self.__dict__})


class SoakWorker(FakeWorker):
    """A worker that responds, or fails as `fault` says: hang, reset or slow."""

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
    """One gatekeeper over all its incarnations, with the two agents that it can watch."""

    number: int
    agents: list[FakeAgent]
    gatekeeper: GatekeeperProcess | None = None
    incarnation: int = 0
    started_at: list[float] = field(default_factory=list)
    agent_index: int = 0  # index of the agent that it watches
    fault_spans: list[tuple[float, float]] = field(default_factory=list)  # (begin, end) of faults
    known_endpoints: list[dict[str, Any]] = field(default_factory=list)
    down: bool = False
    recently_paused: bool = False  # suspended now or a moment ago

    @property
    def agent(self) -> FakeAgent:
        """The agent that it watches."""
        return self.agents[self.agent_index]

    @property
    def name(self) -> str:
        """The name of its present incarnation, the prefix of request ids."""
        return f"g{self.number}{NAME_SEPARATOR}{self.incarnation}"

    def is_quiet(self, at: float) -> bool:
        """Whether there was no fault within the quiet window around a time."""
        return not any(
            begin < at + QUIET_WINDOW_SECONDS and end > at - QUIET_WINDOW_SECONDS for begin, end in self.fault_spans
        )


class Soak:
    """One run: processes, clients, fault injection and the checks at its end."""

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
        self.result = SoakResult(seed)
        self.workers = [SoakWorker(f"w{n}", self.random) for n in range(workers)]
        self.slots = [GatekeeperSlot(n, []) for n in range(gatekeepers)]
        self.sent_requests: dict[str, SentRequest] = {}
        self.drain_times: dict[str, float] = {}  # by worker: when the change was published
        self.ended = False
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> SoakResult:
        """Run for the given seconds, then check the rules."""
        for worker in self.workers:
            await worker.start()
        entries = [worker.entry() for worker in self.workers]
        for slot in self.slots:
            slot.agents = [await FakeAgent(entries).start(), await FakeAgent(entries, index=50).start()]
            slot.known_endpoints = entries
        await asyncio.gather(*(self._start(slot) for slot in self.slots))
        began = time.monotonic()
        for slot in self.slots:
            self._tasks += [asyncio.create_task(self._client(slot)) for _ in range(self.clients)]
            self._tasks += [
                asyncio.create_task(self._inject_gatekeeper_faults(slot)) for _ in range(FAULT_TASKS_PER_GATEKEEPER)
            ]
        self._tasks += [asyncio.create_task(self._drain_workers()), asyncio.create_task(self._inject_worker_faults())]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*self._tasks), self.seconds)
        self.ended = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(self._finish(slot) for slot in self.slots))
        self._check_results(began)
        return self.result

    # Processes.

    async def _start(self, slot: GatekeeperSlot) -> None:
        slot.incarnation += 1
        slot.started_at.append(time.monotonic())
        configuration = config(slot.agent.port, changes={"Rules": {"DrainGraceUs": int(DRAIN_GRACE_SECONDS * 1e6)}})
        configuration["name"] = f"g{slot.number}"
        configuration["known"] = {
            "index": slot.agent.index if not slot.known_endpoints else 1,
            "snapshot": True,
            "endpoints": slot.known_endpoints,
        }
        slot.gatekeeper = await launch(configuration)
        slot.down = False

    async def _finish(self, slot: GatekeeperSlot) -> None:
        gatekeeper = slot.gatekeeper
        if gatekeeper is None or slot.down:
            return
        if gatekeeper.process.returncode is not None:
            self.result.breaks.append(f"crash: {slot.name} exited by itself: {gatekeeper.log[-3:]}")
            return
        try:
            refused = await asyncio.wait_for(gatekeeper.call("REFUSED"), 5.0)
        except (OSError, TimeoutError):
            refused = "no response"
        if refused != "ok none":
            self.result.breaks.append(f"guard: {slot.name}: {refused}")
        if any("Traceback" in line for line in gatekeeper.log):
            self.result.breaks.append(f"traceback: {slot.name}: {gatekeeper.log[-5:]}")
        gatekeeper.process.kill()
        await gatekeeper.process.wait()

    # Clients.

    async def _client(self, slot: GatekeeperSlot) -> None:
        client, reused = None, False
        while not self.ended:
            gatekeeper, name = slot.gatekeeper, slot.name
            if slot.down or gatekeeper is None:
                client = None
                await asyncio.sleep(0.05)
                continue
            try:
                if client is None:
                    client, reused = await gatekeeper.client(), False
                reusable = await self._send_request(client, name, reused, slot)
                client, reused = (client, True) if reusable else (None, False)
            except OSError:
                client = None
                await asyncio.sleep(0.02)
            await asyncio.sleep(self.random.uniform(0.0, 0.06))

    async def _send_request(self, client: Client, name: str, reused: bool, slot: GatekeeperSlot) -> bool:
        """Send one request; return whether its connection can carry another."""
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
            if not disconnects and slot.name == name and not slot.down:
                self.result.breaks.append(f"lost: {request} ({klass}, {timeout} s) got no response in time")
            return False
        if reply is None:
            if not reused and slot.name == name and not slot.down:
                self.result.breaks.append(f"lost: {request} ({klass}) ended without a response on a new connection")
            return False
        self.result.answered += 1
        self.result.served += reply.status == 200
        return reply.headers.get("connection") != "close"

    # Faults.

    def _count_fault(self, kind: str) -> None:
        self.result.faults[kind] = self.result.faults.get(kind, 0) + 1

    async def _inject_gatekeeper_faults(self, slot: GatekeeperSlot) -> None:
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
            await self.random.choice(kinds)(slot)

    async def _agent_fault(self, slot: GatekeeperSlot, kind: str, seconds: float, **faults: Any) -> None:
        self._count_fault(kind)
        agent, begin = slot.agent, time.monotonic()
        for key, value in faults.items():
            setattr(agent.faults, key, value)
        defaults = AgentFaults()
        try:
            await asyncio.sleep(seconds)
        finally:
            for key in faults:
                setattr(agent.faults, key, getattr(defaults, key))
            slot.fault_spans.append((begin, time.monotonic() + 1.5))  # late responses may still arrive

    async def _delay(self, slot: GatekeeperSlot) -> None:
        """Delay responses: by a constant, a random or a growing delay, or one response in three."""
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
            await self._reset(slot)
        await self._agent_fault(slot, "delay", self.random.uniform(4.0, 15.0), delay_seconds=chosen)

    async def _trickle(self, slot: GatekeeperSlot) -> None:
        await self._agent_fault(slot, "trickle", self.random.uniform(1.0, 4.0), trickle_seconds=0.05)

    async def _no_response(self, slot: GatekeeperSlot) -> None:
        await self._agent_fault(slot, "silence", self.random.uniform(0.5, 3.0), unresponsive=True)

    async def _close_after_answer(self, slot: GatekeeperSlot) -> None:
        await self._agent_fault(slot, "close_each", self.random.uniform(1.0, 4.0), close_after_answer=True)

    async def _always_snapshot(self, slot: GatekeeperSlot) -> None:
        await self._agent_fault(slot, "snapshots", self.random.uniform(1.0, 4.0), always_snapshot=True)

    async def _reset(self, slot: GatekeeperSlot) -> None:
        self._count_fault("reset")
        slot.agent.reset_connections()
        slot.fault_spans.append((time.monotonic(), time.monotonic() + 0.5))

    async def _refuse(self, slot: GatekeeperSlot) -> None:
        self._count_fault("refuse")
        agent, begin = slot.agent, time.monotonic()
        agent.stop()
        try:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        finally:
            while not await self._listens_again(agent):
                await asyncio.sleep(0.05)
            slot.fault_spans.append((begin, time.monotonic() + 0.5))

    @staticmethod
    async def _listens_again(agent: FakeAgent) -> bool:
        """Restart an agent; return False while another connection still holds its port."""
        try:
            await agent.start()
        except OSError:
            return False
        return True

    async def _reload(self, slot: GatekeeperSlot) -> None:
        gatekeeper = slot.gatekeeper
        if gatekeeper is None or slot.down:
            return
        self._count_fault("reload")
        begin = time.monotonic()
        slot.agent_index = 1 - slot.agent_index
        configuration = json.loads(gatekeeper.file.read_text())
        configuration["discovery"] = f"127.0.0.1:{slot.agent.port}"
        gatekeeper.file.write_text(json.dumps(configuration))
        with contextlib.suppress(ProcessLookupError):
            gatekeeper.process.send_signal(signal.SIGHUP)
        slot.fault_spans.append((begin, begin + 4.0))

    async def _pause(self, slot: GatekeeperSlot) -> None:
        """Suspend the process, one pause at a time: two in a row would act as a longer one."""
        gatekeeper = slot.gatekeeper
        if gatekeeper is None or slot.down or slot.recently_paused:
            return
        self._count_fault("stop")
        slot.recently_paused = True
        with contextlib.suppress(ProcessLookupError):
            gatekeeper.process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(PAUSE_SECONDS)
            finally:
                gatekeeper.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(4 * PAUSE_SECONDS)
        slot.recently_paused = False

    async def _kill(self, slot: GatekeeperSlot) -> None:
        gatekeeper = slot.gatekeeper
        if gatekeeper is None or slot.down:
            return
        self._count_fault("kill")
        begin = time.monotonic()
        slot.down = True
        slot.known_endpoints = [
            worker.entry(status="draining" if worker.name in self.drain_times else "up") for worker in self.workers
        ]
        gatekeeper.process.kill()
        await gatekeeper.process.wait()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if not self.ended:
            await self._start(slot)
        slot.fault_spans.append((begin, time.monotonic() + 0.5))

    async def _inject_worker_faults(self) -> None:
        while True:
            await asyncio.sleep(self.random.expovariate(0.7))
            worker = self.random.choice(self.workers)
            worker.fault = self.random.choice(("hang", "slow", "reset"))
            self._count_fault(f"worker_{worker.fault}")
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            worker.fault = ""

    async def _drain_workers(self) -> None:
        """Drain one worker after another, until two are left."""
        drained = self.workers[2:]
        pause = self.seconds * 0.8 / len(drained)
        for worker in drained:
            await asyncio.sleep(self.random.uniform(0.6, 1.0) * pause)
            self._count_fault("drain")
            self.drain_times[worker.name] = time.monotonic()
            for slot in self.slots:
                for agent in slot.agents:
                    await agent.change(worker.entry(status="draining"))

    # Checks of the rules.

    def _check_results(self, began: float) -> None:
        runs: dict[str, int] = {}
        for worker in self.workers:
            for arrival in worker.arrivals:
                if arrival.method == "POST":
                    runs[arrival.request] = runs.get(arrival.request, 0) + 1
                self._check_arrival(worker, arrival)
        for request, times in runs.items():
            if times > 1:
                self.result.breaks.append(f"duplicate: {request} reached workers {times} times")

    def _check_arrival(self, worker: SoakWorker, arrival: Arrival) -> None:
        sent = self.sent_requests.get(arrival.request)
        if sent is None:
            self.result.breaks.append(f"unknown: {arrival.request} at {worker.name}")
            return
        left = sent.at + sent.timeout - arrival.at
        if arrival.timeout > left + TIMEOUT_SLACK_SECONDS + self.slack:
            self.result.breaks.append(f"deadline: {arrival.request} given {arrival.timeout:.3f} s, left {left:.3f} s")
        if (
            sent.disconnected_at is not None
            and arrival.at > sent.disconnected_at + DISCONNECT_GRACE_SECONDS + self.slack
        ):
            self.result.breaks.append(
                f"lost: {arrival.request} started {arrival.at - sent.disconnected_at:.3f} s after its disconnect"
            )
        changed = self.drain_times.get(worker.name)
        if changed is not None and arrival.at > changed:
            self._check_drain(worker, arrival, changed)

    def _check_drain(self, worker: SoakWorker, arrival: Arrival, changed: float) -> None:
        slot_name, incarnation, _ = arrival.request.split(NAME_SEPARATOR)
        slot = self.slots[int(slot_name[1:])]
        started = slot.started_at[int(incarnation) - 1]
        late = arrival.at - changed
        self.result.worst_drain_seconds = max(self.result.worst_drain_seconds, late)
        if started > changed:
            # What its agent had before the process started counts as notified at its start.
            bound, since = DRAIN_GRACE_SECONDS + self.slack, arrival.at - started
        elif slot.is_quiet(changed):
            bound, since = DRAIN_GRACE_SECONDS + self.slack, late
            self.result.worst_quiet_drain_seconds = max(self.result.worst_quiet_drain_seconds, late)
        else:
            bound, since = MAX_NOTIFICATION_SECONDS + DRAIN_GRACE_SECONDS + self.slack, late
        if since > bound:
            self.result.breaks.append(f"drain: {arrival.request} at {worker.name} {since:.3f} s after the notification")


async def _run_seed(seed: int, seconds: float, gatekeepers: int, workers: int, clients: int) -> SoakResult:
    return await Soak(seed, seconds, gatekeepers, workers, clients).run()


def main() -> int:
    """Run the seeds one after another; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description="Random overlapping faults over many gatekeepers.")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=30.0, help="of each run")
    parser.add_argument("--gatekeepers", type=int, default=8)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--clients", type=int, default=3, help="for each gatekeeper")
    arguments = parser.parse_args()
    passed = True
    for seed in arguments.seeds:
        result = asyncio.run(
            _run_seed(seed, arguments.seconds, arguments.gatekeepers, arguments.workers, arguments.clients)
        )
        print(result.to_json(), flush=True)
        passed = passed and not result.breaks
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
