"""Transfer of a gateway's state to another one: complete, across versions, and rejected if malformed."""

import json
from random import Random

import msgspec
import pytest

from micagate import Gateway, Plan, RequestClass, Settings, interface
from micagate.handover import state
from micagate.handover.fields import MalformedState
from micagate.interface import Outcome, Refuse, Request, Send, SetMaintenance, WorkerEntry, WorkerList
from oliveloft.takeover import wire

CLASSES = (
    RequestClass("read", aim=0.5, deadline=2.0),
    RequestClass("write", aim=0.5, deadline=2.0, effect=interface.SIDE_EFFECT),
)
PLANS = (
    Plan("basic", rate=2.0, burst=6.0, excess_cost=1.0),
    Plan("team", rate=4.0, burst=8.0, concurrency_limit=2.0),
    Plan("big", ceiling_rate=5.0, ceiling_capacity=10.0),
)
WORKERS = WorkerList(tuple(WorkerEntry(f"w{n}") for n in range(4)), whole=True)


def make_gateway(seed=1, now=0.0, **settings):
    gateway = Gateway(
        Settings(CLASSES, PLANS, max_attempts=3, slow_start_duration=5.0, meter_period=1.0, **settings), seed, now
    )
    gateway.handle(now, WORKERS)
    return gateway


class Clients:
    """Clients of some customers, and workers that respond after a while or never."""

    def __init__(self, seed):
        self.random, self.count, self.now = Random(seed), 0, 0.0
        self.open = []

    def step(self, gateway, ends=None):
        self.now += self.random.random() * 0.1
        now, plan = self.now, self.random.choice(PLANS).name
        self.count += 1
        name, customer = f"r{self.count}", f"{self.random.randrange(6):016x}"
        klass = self.random.choice(("read", "write"))
        sent = None
        for action in gateway.handle(now, Request(name, klass, plan, customer, 2.0, gateway_count=2)):
            if isinstance(action, Send):
                sent = action.worker
                self.open.append((name, 0, action.worker, now))
        while self.open and self.random.random() < 0.5:
            self.end(gateway, self.open.pop(0))
        return sent is not None

    def end(self, gateway, attempt):
        name, number, worker, sent = attempt
        gateway.handle(
            self.now,
            Outcome(
                name, number, worker, interface.SUCCESS, terminal=True, took=self.now - sent, used=self.random.random()
            ),
        )


def transferred(gateway, now, seed=9):
    """Return another gateway to which the state was transferred, encoded as on the wire."""
    copy = state.AccountCopy(gateway, now)
    messages = []
    while rows := copy.next_accounts(now, 3):
        messages.append(wire.Accounts(rows))
    deficits = []
    while (part := copy.next_deficits()) is not None:
        deficits.append(wire.decode(wire.encode(wire.StatePart("debts", part))).value)
    messages += [
        wire.Accounts(copy.remaining_accounts()),
        wire.StatePart("core", state.core_state(gateway)),
        wire.StatePart("outs", list(state.in_flight_rows(gateway))),
    ]
    accounts, (core, outs) = messages[:-2], [wire.decode(wire.encode(m)) for m in messages[-2:]]
    successor = make_gateway(seed, now)
    for message in accounts:
        state.restore_accounts(successor, now, wire.decode(wire.encode(message)).rows)
    for part in deficits:
        successor.quotas.deficits.restore(part)
    state.restore_core(successor, now, core.value, outs.value)
    return successor


@pytest.mark.parametrize("seed", range(8))
def test_a_successor_has_the_whole_state_of_its_predecessor(seed):
    gateway, clients = make_gateway(), Clients(seed)
    while clients.count < 300 or not gateway.in_flight:
        clients.step(gateway)
    gateway.handle(clients.now, SetMaintenance("w1", True))
    successor = transferred(gateway, clients.now)
    assert set(successor.in_flight) == set(gateway.in_flight) and gateway.in_flight
    for queue, other in zip(gateway.quotas.accounts.queues, successor.quotas.accounts.queues, strict=True):
        assert list(queue) == list(other)
        for key, account in queue.items():
            assert state.account_row(account, True) == state.account_row(other[key], True)
            assert account.in_flight == other[key].in_flight and account.capacity == other[key].capacity
    mine, theirs = state.core_state(gateway), state.core_state(successor)
    for core in (mine, theirs):
        core["debts"] = json.dumps(core["debts"]["places"])
        core["fleet"].pop("_done_at")  # advanced to another time
        core["fleet"].pop("_done")
    assert mine == theirs
    for name, worker in gateway.fleet.workers.items():
        assert set(worker.in_flight) == set(successor.fleet.workers[name].in_flight)
    for attempt in list(clients.open):
        clients.end(gateway, attempt)
        clients.end(successor, attempt)
    assert not successor.in_flight and not any(
        a.in_flight for q in successor.quotas.accounts.queues for a in q.values()
    )


@pytest.mark.parametrize("seed", range(4))
def test_a_customer_at_its_limit_gets_nothing_twice(seed):
    alone, first = make_gateway(), make_gateway()
    one, two = Clients(seed), Clients(seed)
    served = [0, 0]
    second = None
    for n in range(400):
        if n == 200:
            second = transferred(first, two.now)
        served[0] += one.step(alone)
        served[1] += two.step(second or first)
        if second is not None:  # attempts of the first end there, and the second is notified
            for attempt in [a for a in two.open if (a[0], a[1]) in first.in_flight]:
                two.open.remove(attempt)
                two.end(first, attempt)
                two.end(second, attempt)
    assert abs(served[1] - served[0]) <= 0.02 * served[0]


def test_transfers_maintenance_and_workers_brought_back():
    gateway = make_gateway()
    for name, out in (("w0", True), ("w1", True), ("w1", False)):
        gateway.handle(1.0, SetMaintenance(name, out))
    successor = transferred(gateway, 2.0)
    successor.handle(2.1, WORKERS)
    seen = set()
    for n in range(60):
        for action in successor.handle(2.2 + n / 50, Request(f"x{n}", "read", "basic", f"{n:016x}", 2.0)):
            if isinstance(action, Send):
                seen.add(action.worker)
                successor.handle(2.2 + n / 50, Outcome(f"x{n}", 0, action.worker, interface.SUCCESS, True, 0.01))
            assert not isinstance(action, Refuse)
    assert seen == {"w1", "w2", "w3"}
    assert successor.fleet.workers["w1"].entry.started == 1.0


def test_attempts_of_an_exited_predecessor_are_no_longer_in_flight():
    gateway, clients = make_gateway(), Clients(1)
    while len(clients.open) < 3:
        clients.step(gateway)
    successor = transferred(gateway, clients.now)
    for outcome in state.cancelled_outcomes(successor, set(successor.in_flight)):
        successor.handle(clients.now, outcome)
    assert not successor.in_flight and not any(w.in_flight for w in successor.fleet.workers.values())


def test_a_later_attempt_of_the_predecessor_takes_units_and_a_slot():
    gateway, successor = make_gateway(), make_gateway(2)
    account = successor.quotas.account(0.0, "0" * 16, PLANS[1], 1)
    before = account.balance
    for action in gateway.handle(0.0, Request("late", "write", "team", "0" * 16, 2.0, units=2.0)):
        if isinstance(action, Send):
            row = state.attempt_row("late", 0, gateway.in_flight["late", 0])
            state.adopt_attempt(successor, 0.0, row, spend_units=True)
            state.adopt_attempt(successor, 0.0, row, spend_units=True)  # reported twice
    assert account.in_flight == 1 and account.balance == before - 2.0


def test_ignores_unknown_fields_and_keeps_missing_ones():
    gateway, clients = make_gateway(), Clients(3)
    for _ in range(50):
        clients.step(gateway)
    core = {**state.core_state(gateway), "novel": {"x": 1}}
    core["throttle"] = {**core["throttle"], "novelty": 3.0}
    del core["throttle"]["fill"], core["budget"]
    successor = make_gateway(5)
    state.restore_core(successor, clients.now, msgspec.msgpack.decode(msgspec.msgpack.encode(core)))
    assert successor.throttle.rate == gateway.throttle.rate and successor.throttle.bucket_level == 0.0
    state.restore_accounts(successor, 1.0, [{"key": "c/gone/00", "spread": 1}])  # a plan that no longer exists
    assert not len(successor.quotas.accounts)


@pytest.mark.parametrize(
    "damage",
    [
        {"throttle": {"on": "yes"}},
        {"throttle": {"rate": float("nan")}},
        {"throttle": {"_admits": 3}},
        {"fleet": {"_usual": [1]}},
        {"meter": []},
        {"workers": {"w0": {"held": "x"}}},
    ],
)
def test_raises_for_malformed_state(damage):
    with pytest.raises(MalformedState):
        state.restore_core(make_gateway(), 1.0, damage)


def test_rejects_a_corrupted_datagram():
    data = bytearray(wire.encode(wire.StatePart("fleet", {"a": 1.5})))
    assert wire.decode(bytes(data)) == wire.StatePart("fleet", {"a": 1.5})
    for n in range(len(data)):
        changed = bytes(data[:n]) + bytes([data[n] ^ 1]) + bytes(data[n + 1 :])
        with pytest.raises(wire.MalformedMessage):
            wire.decode(changed)
    with pytest.raises(wire.MalformedMessage):
        wire.decode(b"")


def test_copies_thirty_thousand_customers_in_small_steps_without_omission():
    gateway = make_gateway(max_accounts=60_000)
    quotas, now = gateway.quotas, 0.0
    for n in range(30_000):
        now += 0.0001
        quotas.spend(quotas.account(now, f"{n:016x}", PLANS[0], 2), 1.0, True)
    successor, random = make_gateway(4, now, max_accounts=60_000), Random(1)
    copy, steps = state.AccountCopy(gateway, now), 0
    while rows := copy.next_accounts(now, 40):
        state.restore_accounts(successor, now, rows)
        steps += 1
        for _ in range(10):  # requests continue meanwhile, also from new customers
            now += 0.0005
            account = quotas.account(now, f"{random.randrange(30_500):016x}", PLANS[0], 2)
            quotas.spend(account, 1.0, True)
    rest = copy.remaining_accounts()
    assert len(rest) <= 60 and steps > 30_000 / 40
    state.restore_accounts(successor, now, rest)
    for queue in quotas.accounts.queues:
        for key, account in queue.items():
            assert state.account_row(successor.quotas.accounts.get(key), True) == state.account_row(account, True), key


def test_transfers_deficits_including_those_added_meanwhile():
    gateway, successor = make_gateway(), make_gateway(2)
    deficits = gateway.quotas.deficits
    for n in range(500):
        deficits.add(0.0, f"c{n}", 10.0 + n)
    copy = state.AccountCopy(gateway, 0.0)
    pieces = [copy.next_deficits() for _ in range(5)]
    for n in range(500, 600):
        deficits.add(1.0, f"c{n}", 10.0 + n)
    while (part := copy.next_deficits()) is not None:
        pieces.append(part)
    for part in (*pieces, deficits.take_changes()):
        successor.quotas.deficits.restore(part)
    assert all(
        successor.quotas.deficits.deficit(2.0, f"c{n}") == deficits.deficit(2.0, f"c{n}") > 0 for n in range(600)
    )
