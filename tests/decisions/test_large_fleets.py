"""A choice at a level cost: what a request looks at in a large fleet, and what membership does to it."""

from random import Random

import pytest

from micagate import Gateway, interface
from micagate.fleet import MAX_SAMPLES, SAMPLE_SIZE, Fleet
from micagate.shares import Shares
from rig.worker_selection import Field, served

READ = interface.RequestClass("read", aim=0.4, deadline=1.0)
ONCE = interface.RequestClass("once", aim=0.4, deadline=1.0, effect=interface.SIDE_EFFECT)
SETTINGS = interface.Settings((READ, ONCE), (interface.Plan("free"),), zone="a", max_attempts=2)


def entries(count: int, **more) -> tuple[interface.WorkerEntry, ...]:
    return tuple(interface.WorkerEntry(f"w{n}", zone="abcd"[n % 4], **more) for n in range(count))


def fleet(count: int, settings: interface.Settings = SETTINGS, seed: int = 1, **more) -> Fleet:
    made = Fleet(settings, Random(seed), 0.0, Shares())
    made.update(0.0, interface.WorkerList(entries(count, **more), whole=True))
    return made


def counted(monkeypatch) -> list[str]:
    looked: list[str] = []
    healthy = Fleet._is_healthy

    def count(self, now, worker):
        looked.append(worker.entry.worker)
        return healthy(self, now, worker)

    monkeypatch.setattr(Fleet, "_is_healthy", count)
    return looked


@pytest.mark.parametrize("workers", [SAMPLE_SIZE, 60, 1000])
def test_a_request_looks_at_no_more_workers_the_more_there_are(workers, monkeypatch):
    gateway = Gateway(SETTINGS, 1, 0.0)
    gateway.handle(0.0, interface.WorkerList(entries(workers), whole=True))
    looked = counted(monkeypatch)
    for n in range(200):
        now = 0.01 * n
        looked.clear()
        sends = [
            a
            for a in gateway.handle(now, interface.Request(f"r{n}", "read", "free", "c", 1.0))
            if isinstance(a, interface.Send)
        ]
        assert len(sends) == 1 and 0 < len(looked) <= SAMPLE_SIZE
        gateway.handle(now + 0.005, interface.Outcome(f"r{n}", 0, sends[0].worker, interface.SUCCESS, True, 0.005))


def test_no_worker_of_a_large_fleet_is_favoured():
    f, went = fleet(1000), dict.fromkeys((f"w{n}" for n in range(1000)), 0)
    for n in range(10_000):
        went[f.pick(0.001 * n, READ, set())] += 1
    own = [count for n, count in enumerate(went.values()) if n % 4 == 0]
    assert sum(own) > 9_700  # idle, all goes to the own zone: 40 to each there
    assert min(own) > 10 and max(own) < 100
    other = fleet(1000, seed=2)
    names = [w.entry.worker for w in f.subset.ring]
    assert names != [w.entry.worker for w in other.subset.ring]


def test_a_small_fleet_is_looked_at_whole():
    f = fleet(SAMPLE_SIZE)
    for n in range(SAMPLE_SIZE):
        for m in range(SAMPLE_SIZE):  # all others have something out
            if m != n:
                f.record_sent(0.0, f"w{m}", (f"r{m}", n), READ)
        assert f.pick(0.0, READ, set()) == f"w{n}"
        for m in range(SAMPLE_SIZE):
            if m != n:
                f.record_outcome(0.0, f"w{m}", (f"r{m}", n), READ, interface.CANCELLED, 0.0)


def test_where_the_first_few_cannot_take_it_others_are_looked_at():
    f = fleet(1000)
    warm = {f"w{n}" for n in range(0, 1000, 8)}
    tried = {f"w{n}" for n in range(1000)} - warm
    found = sum(f.pick(0.0, READ, tried) in warm for _ in range(400))
    assert found > 0.98 * 400  # an eighth may take it: 1 - (7/8) ** (16 * 3) = 0.998
    assert f.pick(0.0, READ, tried | warm) is None


def test_the_looks_are_bounded_where_none_can_take_it(monkeypatch):
    f, looked = fleet(1000), counted(monkeypatch)
    assert f.pick(0.0, READ, {f"w{n}" for n in range(1000)}) is None
    assert len(looked) <= MAX_SAMPLES * SAMPLE_SIZE


def test_a_repeat_that_must_stay_in_its_zone_finds_one_there():
    f = fleet(1000)
    for _ in range(100):
        assert f.workers[f.pick(0.0, READ, set(), zone="c")].entry.zone == "c"
    assert f.pick(0.0, READ, set(), zone="nowhere") is None


def test_no_request_is_refused_as_overdue_on_a_large_idle_or_half_busy_fleet():
    f, now, gone = fleet(1000), 0.0, {}
    for n in range(6000):  # 1000 a second, 40 ms each, so 40 are out
        now = n / 1000
        gone[n] = worker = f.pick(now, READ, set())
        assert not f.is_overloaded(now, 1.0)
        f.record_sent(now, worker, (f"r{n}", 0), READ)
        if n >= 40:
            f.record_outcome(now, gone[n - 40], (f"r{n - 40}", 0), READ, interface.SUCCESS, 0.04)


def test_a_jam_of_a_large_fleet_is_seen_by_the_few_that_are_looked_at():
    f, now, late = fleet(200), 0.0, 0
    for n in range(8000):  # 2000 a second come, 400 a second are answered, from the oldest on
        now = n / 2000
        worker = f.pick(now, READ, set())
        late += f.is_overloaded(now, 1.0)
        f.record_sent(now, worker, (f"r{n}", 0), READ)
        if n % 5 == 0:
            key = next(iter(f._waiting))
            f.record_outcome(
                now, f._waiting[key][2].entry.worker, key, READ, interface.SUCCESS, now - f._waiting[key][0]
            )
    assert late > 4000


def test_membership_as_it_changes_is_membership_as_told():
    random, f = Random(5), fleet(50)
    told = {f"w{n}" for n in range(50)}
    out: dict[tuple[str, int], str] = {}
    for step in range(3000):
        now, name = 0.01 * step, f"w{random.randrange(80)}"
        match random.randrange(6):
            case 0:
                f.update(now, interface.WorkerList((interface.WorkerEntry(name, zone="a"),)))
                told.add(name)
            case 1:
                f.update(now, interface.WorkerList((interface.WorkerEntry(name, zone="a", state=interface.DRAINING),)))
                told.discard(name)
            case 2:
                f.update(now, interface.WorkerList((interface.WorkerEntry(name, zone="a", started=now),)))
                told.add(name)
            case 3 if random.random() < 0.1:
                told = set(random.sample(sorted(told), len(told) // 2))
                f.update(
                    now,
                    interface.WorkerList(tuple(interface.WorkerEntry(n, zone="a") for n in sorted(told)), whole=True),
                )
            case 4 if (worker := f.pick(now, READ, set())) is not None:
                assert worker in told
                f.record_sent(now, worker, (f"r{step}", 0), READ)
                out[f"r{step}", 0] = worker
            case _ if out:
                key = random.choice(list(out))
                f.record_outcome(now, out.pop(key), key, READ, interface.SUCCESS, 0.02)
        assert {w.entry.worker for w in f.subset.ring} == told and len(f.subset.ring) == f.usable_count == len(told)
        assert all(f.workers[w.entry.worker] is w and w.usable for w in f.subset.ring)
        assert set(f.workers) - told <= set(out.values())  # what is gone is kept while something is out there


def test_a_large_fleet_with_slow_workers_is_served_nearly_as_by_one_that_sees_all_queues():
    field = Field(workers=200, load=0.7, seconds=4.0, warm_up=8.0)
    ideal, module, chance = (served(how, field, 3) for how in ("sees_all", "module", "by_chance"))
    assert ideal > 0.98
    assert module > 0.97 * ideal > 1.1 * chance
