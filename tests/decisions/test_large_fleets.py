"""Worker selection in large fleets: constant cost per request, and changes of the list of workers."""

from random import Random

import pytest

from micagate import Gateway, interface
from micagate.fleet import MAX_SAMPLES, SAMPLE_SIZE, Fleet
from micagate.shares import Shares
from rig.worker_selection import Scenario, served_ratio

READ = interface.RequestClass("read", aim=0.4, deadline=1.0)
ONCE = interface.RequestClass("once", aim=0.4, deadline=1.0, effect=interface.SIDE_EFFECT)
SETTINGS = interface.Settings((READ, ONCE), (interface.Plan("free"),), zone="a", max_attempts=2)


def entries(count: int, **more) -> tuple[interface.WorkerEntry, ...]:
    return tuple(interface.WorkerEntry(f"w{n}", zone="abcd"[n % 4], **more) for n in range(count))


def make_fleet(count: int, settings: interface.Settings = SETTINGS, seed: int = 1, **more) -> Fleet:
    new_fleet = Fleet(settings, Random(seed), 0.0, Shares())
    new_fleet.update(0.0, interface.WorkerList(entries(count, **more), whole=True))
    return new_fleet


def record_health_checks(monkeypatch) -> list[str]:
    checked: list[str] = []
    original = Fleet._is_healthy

    def count(self, now, worker):
        checked.append(worker.entry.worker)
        return original(self, now, worker)

    monkeypatch.setattr(Fleet, "_is_healthy", count)
    return checked


@pytest.mark.parametrize("workers", [SAMPLE_SIZE, 60, 1000])
def test_compared_workers_per_request_do_not_grow_with_the_fleet(workers, monkeypatch):
    gateway = Gateway(SETTINGS, 1, 0.0)
    gateway.handle(0.0, interface.WorkerList(entries(workers), whole=True))
    checked = record_health_checks(monkeypatch)
    for n in range(200):
        now = 0.01 * n
        checked.clear()
        sends = [
            a
            for a in gateway.handle(now, interface.Request(f"r{n}", "read", "free", "c", 1.0))
            if isinstance(a, interface.Send)
        ]
        assert len(sends) == 1 and 0 < len(checked) <= SAMPLE_SIZE
        gateway.handle(now + 0.005, interface.Outcome(f"r{n}", 0, sends[0].worker, interface.SUCCESS, True, 0.005))


def test_large_idle_fleet_is_used_evenly():
    fleet, sent_counts = make_fleet(1000), dict.fromkeys((f"w{n}" for n in range(1000)), 0)
    for n in range(10_000):
        sent_counts[fleet.pick(0.001 * n, READ, set())] += 1
    own_zone = [count for n, count in enumerate(sent_counts.values()) if n % 4 == 0]
    assert sum(own_zone) > 9_700  # an idle fleet serves all in the own zone: 40 for each worker
    assert min(own_zone) > 10 and max(own_zone) < 100
    other_fleet = make_fleet(1000, seed=2)
    names = [worker.entry.worker for worker in fleet.subset.ring]
    assert names != [worker.entry.worker for worker in other_fleet.subset.ring]


def test_all_workers_of_a_small_fleet_are_compared():
    fleet = make_fleet(SAMPLE_SIZE)
    for n in range(SAMPLE_SIZE):
        for m in range(SAMPLE_SIZE):  # all others have an attempt in flight
            if m != n:
                fleet.record_sent(0.0, f"w{m}", (f"r{m}", n), READ)
        assert fleet.pick(0.0, READ, set()) == f"w{n}"
        for m in range(SAMPLE_SIZE):
            if m != n:
                fleet.record_outcome(0.0, f"w{m}", (f"r{m}", n), READ, interface.CANCELLED, 0.0)


def test_further_samples_are_drawn_if_none_of_the_first_is_eligible():
    fleet = make_fleet(1000)
    warm = {f"w{n}" for n in range(0, 1000, 8)}
    tried = {f"w{n}" for n in range(1000)} - warm
    found = sum(fleet.pick(0.0, READ, tried) in warm for _ in range(400))
    assert found > 0.98 * 400  # an eighth is eligible: 1 - (7/8) ** (16 * 3) = 0.998
    assert fleet.pick(0.0, READ, tried | warm) is None


def test_number_of_samples_is_bounded_if_no_worker_is_eligible(monkeypatch):
    fleet, checked = make_fleet(1000), record_health_checks(monkeypatch)
    assert fleet.pick(0.0, READ, {f"w{n}" for n in range(1000)}) is None
    assert len(checked) <= MAX_SAMPLES * SAMPLE_SIZE


def test_attempt_restricted_to_a_zone_finds_a_worker_there():
    fleet = make_fleet(1000)
    for _ in range(100):
        assert fleet.workers[fleet.pick(0.0, READ, set(), zone="c")].entry.zone == "c"
    assert fleet.pick(0.0, READ, set(), zone="nowhere") is None


def test_no_overload_is_detected_on_a_large_fleet_with_spare_capacity():
    fleet, now, workers_by_request = make_fleet(1000), 0.0, {}
    for n in range(6000):  # 1000 a second at 40 ms each, so 40 are in flight
        now = n / 1000
        workers_by_request[n] = worker = fleet.pick(now, READ, set())
        assert not fleet.is_overloaded(now, 1.0)
        fleet.record_sent(now, worker, (f"r{n}", 0), READ)
        if n >= 40:
            fleet.record_outcome(now, workers_by_request[n - 40], (f"r{n - 40}", 0), READ, interface.SUCCESS, 0.04)


def test_overload_of_a_large_fleet_is_detected_from_the_sample():
    fleet, now, overloaded_count = make_fleet(200), 0.0, 0
    for n in range(8000):  # 2000 a second arrive, 400 a second are answered, oldest first
        now = n / 2000
        worker = fleet.pick(now, READ, set())
        overloaded_count += fleet.is_overloaded(now, 1.0)
        fleet.record_sent(now, worker, (f"r{n}", 0), READ)
        if n % 5 == 0:
            key = next(iter(fleet._awaiting_response))
            fleet.record_outcome(
                now,
                fleet._awaiting_response[key][2].entry.worker,
                key,
                READ,
                interface.SUCCESS,
                now - fleet._awaiting_response[key][0],
            )
    assert overloaded_count > 4000


def test_usable_workers_follow_random_list_updates():
    random, fleet = Random(5), make_fleet(50)
    listed = {f"w{n}" for n in range(50)}
    in_flight: dict[tuple[str, int], str] = {}
    for step in range(3000):
        now, name = 0.01 * step, f"w{random.randrange(80)}"
        match random.randrange(6):
            case 0:
                fleet.update(now, interface.WorkerList((interface.WorkerEntry(name, zone="a"),)))
                listed.add(name)
            case 1:
                fleet.update(
                    now, interface.WorkerList((interface.WorkerEntry(name, zone="a", state=interface.DRAINING),))
                )
                listed.discard(name)
            case 2:
                fleet.update(now, interface.WorkerList((interface.WorkerEntry(name, zone="a", started=now),)))
                listed.add(name)
            case 3 if random.random() < 0.1:
                listed = set(random.sample(sorted(listed), len(listed) // 2))
                fleet.update(
                    now,
                    interface.WorkerList(tuple(interface.WorkerEntry(n, zone="a") for n in sorted(listed)), whole=True),
                )
            case 4 if (worker := fleet.pick(now, READ, set())) is not None:
                assert worker in listed
                fleet.record_sent(now, worker, (f"r{step}", 0), READ)
                in_flight[f"r{step}", 0] = worker
            case _ if in_flight:
                key = random.choice(list(in_flight))
                fleet.record_outcome(now, in_flight.pop(key), key, READ, interface.SUCCESS, 0.02)
        assert {usable.entry.worker for usable in fleet.subset.ring} == listed and len(
            fleet.subset.ring
        ) == fleet.usable_count == len(listed)
        assert all(fleet.workers[usable.entry.worker] is usable and usable.usable for usable in fleet.subset.ring)
        # Removed workers stay known while they have attempts in flight.
        assert set(fleet.workers) - listed <= set(in_flight.values())


def test_sampled_choice_serves_nearly_as_much_as_one_that_knows_all_queues():
    field = Scenario(workers=200, load=0.7, seconds=4.0, warm_up=8.0)
    ideal, sampled, by_chance = (served_ratio(how, field, 3) for how in ("sees_all", "module", "by_chance"))
    assert ideal > 0.98
    assert sampled > 0.97 * ideal > 1.1 * by_chance
