"""Maintenance of workers across discovery updates, and the first request to a worker that was brought back."""

from random import Random

import pytest

from micagate import Gateway, Plan, RequestClass, Settings, interface
from micagate.interface import (
    MaintenanceResult,
    Outcome,
    Refuse,
    Request,
    Send,
    SetMaintenance,
    WorkerEntry,
    WorkerList,
)
from micagate.operating.maintenance import Maintenance

READ = RequestClass("read", aim=1.0, deadline=4.0)


def entries(*names, **fields):
    return tuple(WorkerEntry(name, **fields) for name in names)


def make_gateway(*names, **settings):
    gateway = Gateway(Settings((READ,), (Plan("basic"),), **settings), seed=1, now=0.0)
    gateway.handle(0.0, WorkerList(entries(*names), whole=True))
    return gateway


class Traffic:
    """Sends one request after another and answers each at once."""

    def __init__(self, gateway):
        self.gateway, self.count = gateway, 0

    def send_request(self, now):
        """Send a request and return the worker that got it, if any."""
        self.count += 1
        name = f"r{self.count}"
        for action in self.gateway.handle(now, Request(name, "read", "basic", f"c{self.count}", time_left=4.0)):
            if isinstance(action, Send):
                self.gateway.handle(now, Outcome(name, 0, action.worker, interface.SUCCESS, terminal=True, took=0.01))
                return action.worker
            assert not isinstance(action, Refuse)
        return None


def set_maintenance(gateway, now, worker, out):
    return next(a for a in gateway.handle(now, SetMaintenance(worker, out)) if isinstance(a, MaintenanceResult)).known


@pytest.mark.parametrize(
    "update",
    [
        WorkerList(entries("a", "b"), whole=True),
        WorkerList(entries("a")),
        WorkerList(entries("a", started=3.0)),
        WorkerList(entries("b"), whole=True),
        WorkerList(entries("a", state=interface.DRAINING)),
        WorkerList((), failed=True),
    ],
)
def test_maintenance_outlives_discovery_updates(update):
    gateway = make_gateway("a", "b")
    assert set_maintenance(gateway, 1.0, "a", out=True)
    gateway.handle(2.0, update)
    gateway.handle(2.1, WorkerList(entries("a", "b"), whole=True))
    traffic = Traffic(gateway)
    assert {traffic.send_request(3.0 + n / 10) for n in range(40)} == {"b"}


def test_one_call_back_ends_maintenance_after_repeated_calls():
    gateway = make_gateway("a", "b")
    assert set_maintenance(gateway, 1.0, "a", True) and set_maintenance(gateway, 1.5, "a", True)
    assert set_maintenance(gateway, 2.0, "a", False)
    traffic = Traffic(gateway)
    assert "a" in {traffic.send_request(2.0 + n / 10) for n in range(40)}
    assert set_maintenance(gateway, 7.0, "a", False), "a repeated call to bring it back succeeds"


def test_rejects_unknown_ids_but_not_a_worker_in_maintenance_that_left_the_list():
    gateway = make_gateway("a", "b")
    assert not set_maintenance(gateway, 1.0, "nobody", True) and not set_maintenance(gateway, 1.0, "nobody", False)
    assert set_maintenance(gateway, 1.0, "a", True)
    gateway.handle(2.0, WorkerList((WorkerEntry("a", state=interface.REMOVED),)))
    assert set_maintenance(gateway, 3.0, "a", True) and set_maintenance(gateway, 3.0, "a", False)
    assert not set_maintenance(gateway, 3.1, "a", False)


def test_a_worker_brought_back_has_slow_start_until_the_list_has_its_start_time():
    maintenance = Maintenance()
    maintenance.apply_update(WorkerList(entries("a"), whole=True))
    maintenance.take_out(1.0, "a")
    update = maintenance.bring_back(5.0, "a")
    assert update.entries == entries("a", started=5.0)
    assert (
        maintenance.apply_update(WorkerList(entries("a"))).entries[0].started == 5.0
    ), "the list has no start time yet"
    assert (
        maintenance.apply_update(WorkerList(entries("a", started=0.5))).entries[0].started == 5.0
    ), "started before the maintenance"
    assert (
        maintenance.apply_update(WorkerList(entries("a", started=3.0))).entries[0].started == 3.0
    ), "restarted during the maintenance"


def test_an_update_passes_unchanged_without_maintenance():
    maintenance, update = Maintenance(), WorkerList(entries("a", "b"), whole=True)
    assert maintenance.apply_update(update) is update


@pytest.mark.parametrize("gateways", [1, 4, 40])
def test_a_worker_brought_back_among_sixty_gets_a_request_within_five_seconds(gateways):
    names = [f"w{n}" for n in range(60)]
    settings = {"gateways": gateways, "number": 0, "slow_start_min_factor": 0.2, "slow_start_duration": 8.0}
    gateway = make_gateway(*names, **settings)
    traffic, random = Traffic(gateway), Random(3)
    for n in range(200):
        traffic.send_request(n / 50)
    for worker in random.sample(names, 5):
        now = 4.0 + traffic.count / 50
        set_maintenance(gateway, now, worker, True)
        for n in range(50):
            assert traffic.send_request(now + n / 50) != worker
        now += 1.0
        set_maintenance(gateway, now, worker, False)
        assert worker in {traffic.send_request(now + n / 20) for n in range(100)}


def test_a_worker_brought_back_gets_one_request_until_it_has_answered():
    gateway = make_gateway("a", "b", slow_start_min_factor=0.2, slow_start_duration=8.0, gateways=4)
    traffic = Traffic(gateway)
    for n in range(100):
        traffic.send_request(n / 50)
    set_maintenance(gateway, 3.0, "a", True)
    set_maintenance(gateway, 4.0, "a", False)
    sent = []
    for n in range(30):  # none of them is answered
        for action in gateway.handle(4.0 + n / 100, Request(f"x{n}", "read", "basic", f"y{n}", time_left=4.0)):
            if isinstance(action, Send):
                sent.append(action.worker)
    assert sent.count("a") == 1
