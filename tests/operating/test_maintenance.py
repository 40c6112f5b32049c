"""Bans over whatever lists say, and the first request of a worker that came back."""

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


def entries(*names, **how):
    return tuple(WorkerEntry(name, **how) for name in names)


def gateway(*names, **how):
    made = Gateway(Settings((READ,), (Plan("basic"),), **how), seed=1, now=0.0)
    made.handle(0.0, WorkerList(entries(*names), whole=True))
    return made


class Traffic:
    """One request after another, each answered at once; where they went."""

    def __init__(self, module):
        self.module, self.count = module, 0

    def ask(self, now):
        self.count += 1
        name = f"r{self.count}"
        for action in self.module.handle(now, Request(name, "read", "basic", f"c{self.count}", time_left=4.0)):
            if isinstance(action, Send):
                self.module.handle(now, Outcome(name, 0, action.worker, interface.SUCCESS, terminal=True, took=0.01))
                return action.worker
            assert not isinstance(action, Refuse)
        return None


def call(module, now, worker, out):
    return next(a for a in module.handle(now, SetMaintenance(worker, out)) if isinstance(a, MaintenanceResult)).known


@pytest.mark.parametrize(
    "news",
    [
        WorkerList(entries("a", "b"), whole=True),
        WorkerList(entries("a")),
        WorkerList(entries("a", started=3.0)),
        WorkerList(entries("b"), whole=True),
        WorkerList(entries("a", state=interface.DRAINING)),
        WorkerList((), failed=True),
    ],
)
def test_a_ban_outlives_whatever_the_list_tells(news):
    module = gateway("a", "b")
    assert call(module, 1.0, "a", out=True)
    module.handle(2.0, news)
    module.handle(2.1, WorkerList(entries("a", "b"), whole=True))
    traffic = Traffic(module)
    assert {traffic.ask(3.0 + n / 10) for n in range(40)} == {"b"}


def test_two_calls_out_are_undone_by_one_back():
    module = gateway("a", "b")
    assert call(module, 1.0, "a", True) and call(module, 1.5, "a", True)
    assert call(module, 2.0, "a", False)
    traffic = Traffic(module)
    assert "a" in {traffic.ask(2.0 + n / 10) for n in range(40)}
    assert call(module, 7.0, "a", False), "a call back that comes twice is a yes"


def test_an_unknown_id_is_a_no_and_one_that_left_the_list_is_not():
    module = gateway("a", "b")
    assert not call(module, 1.0, "nobody", True) and not call(module, 1.0, "nobody", False)
    assert call(module, 1.0, "a", True)
    module.handle(2.0, WorkerList((WorkerEntry("a", state=interface.REMOVED),)))
    assert call(module, 3.0, "a", True) and call(module, 3.0, "a", False)
    assert not call(module, 3.1, "a", False)


def test_what_comes_back_is_cold_until_the_list_knows_when_it_started():
    kept = Maintenance()
    kept.follow(WorkerList(entries("a"), whole=True))
    kept.out(1.0, "a")
    news = kept.online(5.0, "a")
    assert news.entries == entries("a", started=5.0)
    assert kept.follow(WorkerList(entries("a"))).entries[0].started == 5.0, "the list has nothing yet"
    assert kept.follow(WorkerList(entries("a", started=0.5))).entries[0].started == 5.0, "a start before the ban"
    assert kept.follow(WorkerList(entries("a", started=3.0))).entries[0].started == 3.0, "the restart"


def test_a_list_without_bans_passes_as_it_is():
    kept, news = Maintenance(), WorkerList(entries("a", "b"), whole=True)
    assert kept.follow(news) is news


@pytest.mark.parametrize("gateways", [1, 4, 40])
def test_what_comes_back_among_sixty_gets_a_request_within_five_seconds(gateways):
    names = [f"w{n}" for n in range(60)]
    how = {"gateways": gateways, "number": 0, "slow_start_min_factor": 0.2, "slow_start_duration": 8.0}
    module = gateway(*names, **how)
    traffic, random = Traffic(module), Random(3)
    for n in range(200):
        traffic.ask(n / 50)
    for worker in random.sample(names, 5):
        now = 4.0 + traffic.count / 50
        call(module, now, worker, True)
        for n in range(50):
            assert traffic.ask(now + n / 50) != worker
        now += 1.0
        call(module, now, worker, False)
        assert worker in {traffic.ask(now + n / 20) for n in range(100)}


def test_what_comes_back_gets_one_request_until_it_has_answered():
    module = gateway("a", "b", slow_start_min_factor=0.2, slow_start_duration=8.0, gateways=4)
    traffic = Traffic(module)
    for n in range(100):
        traffic.ask(n / 50)
    call(module, 3.0, "a", True)
    call(module, 4.0, "a", False)
    sent = []
    for n in range(30):  # none of them is answered
        for action in module.handle(4.0 + n / 100, Request(f"x{n}", "read", "basic", f"y{n}", time_left=4.0)):
            if isinstance(action, Send):
                sent.append(action.worker)
    assert sent.count("a") == 1
