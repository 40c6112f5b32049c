"""Schedules of upgrades on the decisions alone: two processes, calls, lists and kills in any order, from a seed.

The truth is kept beside them: who is out for maintenance, what each customer has let in and has out. Counted are sends
to workers that are out, units and places granted beyond what one process would have granted, and requests that never
end.
`news=False` leaves out what the old process still begins and ends after it has given its state: the fault that
the counts have to show.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from micagate import Gateway, Plan, RequestClass, Settings, interface
from micagate.handover import state

WORKERS = tuple(f"w{n}" for n in range(4))
CLASSES = (
    RequestClass("read", aim=0.5, deadline=2.0),
    RequestClass("write", aim=0.5, deadline=2.0, effect=interface.SIDE_EFFECT),
)
RATED = Plan("rated", rate=2.0, burst=8.0, excess_cost=1.0)
PLACED = Plan("placed", concurrency_limit=2.0)
CUSTOMERS = 3
SURE = 1e-6


@dataclass(slots=True)
class Told:
    """What went wrong, over some schedules."""

    schedules: int = 0
    upgrades: int = 0
    bans_broken: int = 0
    granted_twice: int = 0
    lost: int = 0

    def add(self, other: Told) -> None:
        """Add up."""
        for name in ("schedules", "upgrades", "bans_broken", "granted_twice", "lost"):
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(slots=True)
class Process:
    """One process: its decisions, and what it has out and owes."""

    gateway: Gateway
    out: dict[tuple[str, int], tuple[str, str]] = field(default_factory=dict)  # worker and customer
    owed: set[str] = field(default_factory=set)
    timers: list[tuple[float, int]] = field(default_factory=list)
    taker: Process | None = None


class Schedule:
    """One schedule; `play` goes through it."""

    def __init__(self, seed: int, news: bool = True) -> None:
        self.random, self.news, self.now = Random(seed), news, 0.0
        self.seed, self.count = seed, 0
        self.told = Told(schedules=1)
        self.banned: set[str] = set()
        self.listed = {name: interface.WorkerEntry(name) for name in WORKERS}
        self.began = {n: 0.0 for n in range(CUSTOMERS)}
        self.granted = {n: 0.0 for n in range(CUSTOMERS)}  # units of the rated plan since then
        self.holds: dict[tuple[str, int], int] = {}  # attempts of the placed plan, by customer
        self.serving = self._process()
        self.old: Process | None = None

    def _process(self) -> Process:
        self.count += 1
        settings = Settings(CLASSES, (RATED, PLACED), max_attempts=2)
        process = Process(Gateway(settings, self.seed + self.count, self.now))
        process.gateway.handle(self.now, interface.WorkerList(tuple(self.listed.values()), whole=True))
        return process

    def _do(self, process: Process, actions: Iterable[interface.Action], customer: str) -> None:
        for action in actions:
            match action:
                case interface.Send(name, worker):
                    key = name, max(number for request, number in process.gateway.in_flight if request == name)
                    process.out[key] = worker, customer
                    self.told.bans_broken += worker in self.banned
                    plan, _, who = customer.partition("/")
                    if plan == "placed":
                        self.holds[key] = int(who, 16)
                        mine = sum(each == int(who, 16) and self._held(key) for key, each in self.holds.items())
                        # A further attempt keeps its request's place: it is not asked again, in one process either.
                        self.told.granted_twice += key[1] == 0 and mine > PLACED.concurrency_limit
                    elif key[1] == 0:
                        self._grant(int(who, 16))
                    if process.taker is not None and self.news:
                        row = state.out_row(*key, process.gateway.in_flight[key])
                        state.adopt(process.taker.gateway, self.now, row, spends=True)
                case interface.Refuse(name) | interface.Fail(name):
                    process.owed.discard(name)
                case interface.SetTimer(delay, ref):
                    process.timers.append((self.now + delay, ref))

    def _held(self, key: tuple[str, int]) -> bool:
        """Whether an attempt still holds its place: one whose answer is taken to be lost has given it back."""
        return any(
            key in process.out and process.gateway.in_flight[key].holds_slot
            for process in (self.serving, self.old)
            if process is not None
        )

    def _grant(self, who: int) -> None:
        self.granted[who] += 1.0
        most = RATED.burst + RATED.rate * (self.now - self.began[who])
        self.told.granted_twice += self.granted[who] > most + SURE

    def ask(self) -> None:
        """A client asks the process that serves: connections go over before their next request."""
        process = self.serving
        self.count += 1
        plan, who = self.random.choice((RATED, PLACED)).name, self.random.randrange(CUSTOMERS)
        name, customer = f"r{self.count}", f"{who:016x}"
        process.owed.add(name)
        klass = self.random.choice(CLASSES).name
        event = interface.Request(name, klass, plan, customer, 2.0)
        self._do(process, process.gateway.handle(self.now, event), f"{plan}/{customer}")

    def answer(self) -> None:
        """An attempt ends, at either process."""
        process = self.old if self.old is not None and self.old.out and self.random.random() < 0.5 else self.serving
        if process.out:
            self.end(
                process,
                self.random.choice(list(process.out)),
                self.random.choice(
                    (
                        interface.SUCCESS,
                        interface.SUCCESS,
                        interface.SUCCESS,
                        interface.UNREACHABLE,
                        interface.OVERLOADED,
                        interface.FAILURE,
                    )
                ),
            )

    def end(self, process: Process, key: tuple[str, int], status: str) -> None:
        """The outcome of an attempt; what the old process has out is told to the new one."""
        worker, customer = process.out.pop(key)
        self.holds.pop(key, None)
        if status == interface.SUCCESS:
            process.owed.discard(key[0])
        outcome = interface.Outcome(*key, worker, status, terminal=status == interface.SUCCESS, took=0.1)
        # The new process hears of it no sooner than the old one has drawn its consequences.
        if process.taker is not None and self.news:
            process.taker.gateway.handle(self.now, outcome)
        self._do(process, process.gateway.handle(self.now, outcome), customer)

    def call(self) -> None:
        """An operator takes a worker out, or puts it back, at the process that serves; at times twice."""
        worker, out = self.random.choice(WORKERS), self.random.random() < 0.6
        if out and len(self.banned | {worker}) == len(WORKERS):
            return
        for _ in range(self.random.choice((1, 1, 2))):
            process = self.old if self.old is not None and self.random.random() < 0.3 else self.serving
            actions = process.gateway.handle(self.now, interface.SetMaintenance(worker, out))
            if process is self.old and process.taker is not None:  # calls are passed on
                process.taker.gateway.handle(self.now, interface.SetMaintenance(worker, out))
            if any(isinstance(action, interface.MaintenanceResult) and action.known for action in actions):
                self.banned.add(worker) if out else self.banned.discard(worker)
        if self.old is not None:  # its further attempts keep to it as well
            self.old.gateway.handle(self.now, interface.SetMaintenance(worker, out))

    def list(self) -> None:
        """The list tells something: a restart, a drain, all of it."""
        name = self.random.choice(WORKERS)
        drains = self.random.random() < 0.3
        entry = interface.WorkerEntry(name, state=interface.DRAINING if drains else interface.HEALTHY, started=self.now)
        if drains and sum(e.state == interface.HEALTHY for e in self.listed.values()) < 3:
            return
        self.listed[name] = entry
        whole = self.random.random() < 0.3
        news = interface.WorkerList(tuple(self.listed.values()) if whole else (entry,), whole=whole)
        for process in filter(None, (self.serving, self.old)):
            process.gateway.handle(self.now, news)

    def upgrade(self) -> None:
        """A new process takes over; at times it dies before it accepts, and the old one goes on."""
        if self.old is not None:
            return
        new, old = self._process(), self.serving
        copy = state.Copy(old.gateway, self.now)
        while rows := copy.more(self.now, 2):
            state.put_accounts(new.gateway, self.now, rows)
            self.now += self.random.random() * 0.01
            for _ in range(self.random.randrange(3)):
                self.random.choice((self.ask, self.answer, self.call, self.list))()
        if self.random.random() < 0.2:
            old.gateway.quotas.deficits.rest()
            return
        state.put_accounts(new.gateway, self.now, copy.rest())
        new.gateway.handle(self.now, interface.WorkerList(tuple(self.listed.values()), whole=True))
        outs = list(state.outs(old.gateway)) if self.news else []
        state.put_core(new.gateway, self.now, state.core(old.gateway), outs)
        self.told.upgrades += 1
        old.taker, self.serving, self.old = new, new, old

    def leave(self) -> None:
        """The old process ends: by itself once nothing is out, or it is killed."""
        if self.old is None or self.old.out and self.random.random() < 0.7:
            return
        theirs = set(self.old.out)
        for key in theirs:
            self.holds.pop(key, None)  # its connections are closed
        for outcome in state.left_out(self.serving.gateway, theirs):
            self.serving.gateway.handle(self.now, outcome)
        self.old = None

    def kill(self) -> None:
        """The process that serves is killed with no one to take over: what comes next knows nothing."""
        if self.old is not None or self.random.random() < 0.9:
            return
        for key in self.serving.out:
            self.holds.pop(key, None)
        self.banned.clear()
        for who in self.began:
            self.began[who], self.granted[who] = self.now, 0.0
        self.serving = self._process()

    def tick(self) -> None:
        """Time passes, and timers fire."""
        self.now += self.random.random() * 0.3
        for process in filter(None, (self.serving, self.old)):
            due = [timer for timer in process.timers if timer[0] <= self.now]
            process.timers = [timer for timer in process.timers if timer[0] > self.now]
            for _, ref in due:
                self._do(process, process.gateway.handle(self.now, interface.TimerFired(ref)), "")

    def play(self, steps: int = 120) -> Told:
        """Go through it, let all end, and tell."""
        weighted: list[Any] = (
            [self.ask] * 8
            + [self.answer] * 6
            + [self.tick] * 3
            + [self.call, self.list, self.upgrade, self.leave, self.kill]
        )
        for _ in range(steps):
            self.now += self.random.random() * 0.02
            self.random.choice(weighted)()
        for process in filter(None, (self.old, self.serving)):
            while process.out:
                self.end(process, next(iter(process.out)), interface.SUCCESS)
        self.now += 10.0
        self.tick()
        for process in filter(None, (self.old, self.serving)):
            self.told.lost += len(process.owed) + len(process.gateway._pending)
        self.told.lost += len(self.serving.gateway.in_flight) if self.news else 0
        return self.told


def play(seeds: range, news: bool = True) -> Told:
    """Some schedules, added up."""
    told = Told()
    for seed in seeds:
        told.add(Schedule(seed, news).play())
    return told
