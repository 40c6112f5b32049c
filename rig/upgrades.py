"""Random schedules of hot restarts without I/O: two gateways, operator calls, worker lists and kills in any order.

The schedule tracks the true state beside the gateways: which workers are in maintenance, and the units admitted and the
attempts in flight of each customer. It counts attempts sent to workers in maintenance, units and concurrency slots
granted beyond what one process would have granted, and requests that never end.
`forward_updates=False` does not forward the attempts that the predecessor starts and ends after it handed its state
over: a fault that the counts must show.
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
QUOTA_PLAN = Plan("rated", rate=2.0, burst=8.0, excess_cost=1.0)
CONCURRENCY_PLAN = Plan("placed", concurrency_limit=2.0)
CUSTOMERS = 3
TOLERANCE = 1e-6


@dataclass(slots=True)
class ScheduleResult:
    """Number of schedules, hot restarts and violations."""

    schedules: int = 0
    upgrades: int = 0
    bans_broken: int = 0  # attempts sent to workers in maintenance
    granted_twice: int = 0  # units and concurrency slots granted beyond the plan
    lost: int = 0  # requests and attempts that never ended

    def add(self, other: ScheduleResult) -> None:
        """Add the counts of another result."""
        for name in ("schedules", "upgrades", "bans_broken", "granted_twice", "lost"):
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(slots=True)
class Process:
    """A process: its gateway, its attempts in flight, its unanswered requests and its timers."""

    gateway: Gateway
    # Worker and customer, by request and attempt number.
    in_flight: dict[tuple[str, int], tuple[str, str]] = field(default_factory=dict)
    unanswered: set[str] = field(default_factory=set)
    timers: list[tuple[float, int]] = field(default_factory=list)
    successor: Process | None = None


class Schedule:
    """A random schedule; `play` runs it."""

    def __init__(self, seed: int, forward_updates: bool = True) -> None:
        self.random, self.forward_updates, self.now = Random(seed), forward_updates, 0.0
        self.seed, self.count = seed, 0
        self.result = ScheduleResult(schedules=1)
        self.in_maintenance: set[str] = set()
        self.worker_entries = {name: interface.WorkerEntry(name) for name in WORKERS}
        self.quota_started_at = {n: 0.0 for n in range(CUSTOMERS)}
        self.units_granted = {n: 0.0 for n in range(CUSTOMERS)}  # units of the quota plan since then
        self.slot_holders: dict[tuple[str, int], int] = {}  # customer by attempt of the concurrency plan
        self.serving = self._process()
        self.predecessor: Process | None = None

    def _process(self) -> Process:
        self.count += 1
        settings = Settings(CLASSES, (QUOTA_PLAN, CONCURRENCY_PLAN), max_attempts=2)
        process = Process(Gateway(settings, self.seed + self.count, self.now))
        process.gateway.handle(self.now, interface.WorkerList(tuple(self.worker_entries.values()), whole=True))
        return process

    def _carry_out(self, process: Process, actions: Iterable[interface.Action], customer: str) -> None:
        for action in actions:
            match action:
                case interface.Send(name, worker):
                    key = name, max(number for request, number in process.gateway.in_flight if request == name)
                    process.in_flight[key] = worker, customer
                    self.result.bans_broken += worker in self.in_maintenance
                    plan, _, customer_number = customer.partition("/")
                    if plan == "placed":
                        self.slot_holders[key] = int(customer_number, 16)
                        slots_held = sum(
                            holder == int(customer_number, 16) and self._holds_slot(key)
                            for key, holder in self.slot_holders.items()
                        )
                        # A further attempt keeps its request's slot and is not checked again, as in a single process.
                        self.result.granted_twice += key[1] == 0 and slots_held > CONCURRENCY_PLAN.concurrency_limit
                    elif key[1] == 0:
                        self._grant(int(customer_number, 16))
                    if process.successor is not None and self.forward_updates:
                        row = state.attempt_row(*key, process.gateway.in_flight[key])
                        state.adopt_attempt(process.successor.gateway, self.now, row, spend_units=True)
                case interface.Refuse(name) | interface.Fail(name):
                    process.unanswered.discard(name)
                case interface.SetTimer(delay, ref):
                    process.timers.append((self.now + delay, ref))

    def _holds_slot(self, key: tuple[str, int]) -> bool:
        """Whether an attempt still holds its concurrency slot; one whose response counts as lost has released it."""
        return any(
            key in process.in_flight and process.gateway.in_flight[key].holds_slot
            for process in (self.serving, self.predecessor)
            if process is not None
        )

    def _grant(self, customer_number: int) -> None:
        self.units_granted[customer_number] += 1.0
        allowed = QUOTA_PLAN.burst + QUOTA_PLAN.rate * (self.now - self.quota_started_at[customer_number])
        self.result.granted_twice += self.units_granted[customer_number] > allowed + TOLERANCE

    def send_request(self) -> None:
        """Send a request to the serving process; clients reconnect to it before their next request."""
        process = self.serving
        self.count += 1
        plan, customer_number = (
            self.random.choice((QUOTA_PLAN, CONCURRENCY_PLAN)).name,
            self.random.randrange(CUSTOMERS),
        )
        name, customer = f"r{self.count}", f"{customer_number:016x}"
        process.unanswered.add(name)
        klass = self.random.choice(CLASSES).name
        event = interface.Request(name, klass, plan, customer, 2.0)
        self._carry_out(process, process.gateway.handle(self.now, event), f"{plan}/{customer}")

    def finish_attempt(self) -> None:
        """End a random attempt, at either process."""
        process = (
            self.predecessor
            if self.predecessor is not None and self.predecessor.in_flight and self.random.random() < 0.5
            else self.serving
        )
        if process.in_flight:
            self.record_outcome(
                process,
                self.random.choice(list(process.in_flight)),
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

    def record_outcome(self, process: Process, key: tuple[str, int], status: str) -> None:
        """Report the outcome of an attempt; the predecessor's outcomes are forwarded to its successor."""
        worker, customer = process.in_flight.pop(key)
        self.slot_holders.pop(key, None)
        if status == interface.SUCCESS:
            process.unanswered.discard(key[0])
        outcome = interface.Outcome(*key, worker, status, terminal=status == interface.SUCCESS, took=0.1)
        # The successor learns of an outcome no sooner than the predecessor has acted on it: both happen in one step.
        if process.successor is not None and self.forward_updates:
            process.successor.gateway.handle(self.now, outcome)
        self._carry_out(process, process.gateway.handle(self.now, outcome), customer)

    def set_maintenance(self) -> None:
        """Let an operator take a worker out for maintenance or put it back, sometimes twice, at either process."""
        worker, out = self.random.choice(WORKERS), self.random.random() < 0.6
        if out and len(self.in_maintenance | {worker}) == len(WORKERS):
            return
        for _ in range(self.random.choice((1, 1, 2))):
            process = self.predecessor if self.predecessor is not None and self.random.random() < 0.3 else self.serving
            actions = process.gateway.handle(self.now, interface.SetMaintenance(worker, out))
            if process is self.predecessor and process.successor is not None:  # operator calls are forwarded
                process.successor.gateway.handle(self.now, interface.SetMaintenance(worker, out))
            if any(isinstance(action, interface.MaintenanceResult) and action.known for action in actions):
                self.in_maintenance.add(worker) if out else self.in_maintenance.discard(worker)
        if self.predecessor is not None:  # the predecessor's further attempts respect it as well
            self.predecessor.gateway.handle(self.now, interface.SetMaintenance(worker, out))

    def update_worker_list(self) -> None:
        """Send an update of the worker list: a restart or a drain of one worker, or the whole list."""
        name = self.random.choice(WORKERS)
        draining = self.random.random() < 0.3
        entry = interface.WorkerEntry(
            name, state=interface.DRAINING if draining else interface.HEALTHY, started=self.now
        )
        if draining and sum(e.state == interface.HEALTHY for e in self.worker_entries.values()) < 3:
            return
        self.worker_entries[name] = entry
        whole = self.random.random() < 0.3
        update = interface.WorkerList(tuple(self.worker_entries.values()) if whole else (entry,), whole=whole)
        for process in filter(None, (self.serving, self.predecessor)):
            process.gateway.handle(self.now, update)

    def upgrade(self) -> None:
        """Start a successor; sometimes it dies before it accepts, and the predecessor continues."""
        if self.predecessor is not None:
            return
        successor, predecessor = self._process(), self.serving
        copy = state.AccountCopy(predecessor.gateway, self.now)
        while rows := copy.next_accounts(self.now, 2):
            state.restore_accounts(successor.gateway, self.now, rows)
            self.now += self.random.random() * 0.01
            for _ in range(self.random.randrange(3)):
                self.random.choice(
                    (self.send_request, self.finish_attempt, self.set_maintenance, self.update_worker_list)
                )()
        if self.random.random() < 0.2:
            predecessor.gateway.quotas.deficits.take_changes()
            return
        state.restore_accounts(successor.gateway, self.now, copy.remaining_accounts())
        successor.gateway.handle(self.now, interface.WorkerList(tuple(self.worker_entries.values()), whole=True))
        in_flight_rows = list(state.in_flight_rows(predecessor.gateway)) if self.forward_updates else []
        state.restore_core(successor.gateway, self.now, state.core_state(predecessor.gateway), in_flight_rows)
        self.result.upgrades += 1
        predecessor.successor, self.serving, self.predecessor = successor, successor, predecessor

    def stop_predecessor(self) -> None:
        """End the predecessor: by itself once it has no attempt in flight, or by a kill."""
        if self.predecessor is None or self.predecessor.in_flight and self.random.random() < 0.7:
            return
        unfinished = set(self.predecessor.in_flight)
        for key in unfinished:
            self.slot_holders.pop(key, None)  # the predecessor's connections are closed
        for outcome in state.cancelled_outcomes(self.serving.gateway, unfinished):
            self.serving.gateway.handle(self.now, outcome)
        self.predecessor = None

    def kill(self) -> None:
        """Kill the serving process without a successor; the next one starts without state."""
        if self.predecessor is not None or self.random.random() < 0.9:
            return
        for key in self.serving.in_flight:
            self.slot_holders.pop(key, None)
        self.in_maintenance.clear()
        for customer_number in self.quota_started_at:
            self.quota_started_at[customer_number], self.units_granted[customer_number] = self.now, 0.0
        self.serving = self._process()

    def tick(self) -> None:
        """Let time pass and fire the timers that are due."""
        self.now += self.random.random() * 0.3
        for process in filter(None, (self.serving, self.predecessor)):
            due = [timer for timer in process.timers if timer[0] <= self.now]
            process.timers = [timer for timer in process.timers if timer[0] > self.now]
            for _, ref in due:
                self._carry_out(process, process.gateway.handle(self.now, interface.TimerFired(ref)), "")

    def play(self, steps: int = 120) -> ScheduleResult:
        """Run `steps` random steps, let every attempt end, and return the counts."""
        steps_by_weight: list[Any] = (
            [self.send_request] * 8
            + [self.finish_attempt] * 6
            + [self.tick] * 3
            + [self.set_maintenance, self.update_worker_list, self.upgrade, self.stop_predecessor, self.kill]
        )
        for _ in range(steps):
            self.now += self.random.random() * 0.02
            self.random.choice(steps_by_weight)()
        for process in filter(None, (self.predecessor, self.serving)):
            while process.in_flight:
                self.record_outcome(process, next(iter(process.in_flight)), interface.SUCCESS)
        self.now += 10.0
        self.tick()
        for process in filter(None, (self.predecessor, self.serving)):
            self.result.lost += len(process.unanswered) + len(process.gateway._pending)
        self.result.lost += len(self.serving.gateway.in_flight) if self.forward_updates else 0
        return self.result


def play(seeds: range, forward_updates: bool = True) -> ScheduleResult:
    """Run the schedules of these seeds and return their sum."""
    result = ScheduleResult()
    for seed in seeds:
        result.add(Schedule(seed, forward_updates).play())
    return result
