"""Worker subsets of numbered gateways: evenly spread, never empty, and stable when workers come and go."""

from collections import Counter
from random import Random

import pytest

from micagate import interface
from micagate.fleet import Fleet
from rig.subsets import CLASSES, churn, gateway_fleet, imbalance, measure

READ = CLASSES[0]


def fleets(workers: int, gateways: int, numbered: bool = True) -> list[Fleet]:
    made = []
    for number in range(gateways):
        names = [f"w{n}" for n in range(workers)]
        Random(number).shuffle(names)  # the order of the list must not matter
        made.append(gateway_fleet(names, number, gateways, numbered))
    return made


def subsets(all_fleets: list[Fleet]) -> list[list[str]]:
    return [
        [worker.entry.worker for worker in one_fleet.subset.members(one_fleet.subset.size)] for one_fleet in all_fleets
    ]


@pytest.mark.parametrize(("workers", "gateways"), [(1000, 50), (1000, 10), (997, 13), (30, 40), (9, 3), (200, 200)])
def test_subsets_cover_all_workers_evenly(workers, gateways):
    deterministic = subsets(fleets(workers, gateways))
    count = Counter(name for subset in deterministic for name in subset)
    assert len(count) == workers  # each worker is in a subset
    assert max(count.values()) - min(count.values()) <= 2  # sizes are rounded up, so subsets may overlap once more
    randomly_drawn = subsets(fleets(workers, gateways, numbered=False))
    names = [f"w{n}" for n in range(workers)]
    if workers > 100:
        assert imbalance(deterministic, names) < 1.4 < imbalance(randomly_drawn, names)


def test_gateways_that_start_at_once_do_not_choose_the_same_workers():
    all_fleets = fleets(1000, 50)
    sent: Counter[str] = Counter()
    for number, one_fleet in enumerate(all_fleets):
        for n in range(20):
            worker = one_fleet.pick(0.0, READ, set())
            one_fleet.record_sent(0.0, worker, (f"r{number}-{n}", 0), READ)
            sent[worker] += 1
    assert max(sent.values()) <= 3  # a thousand requests over a thousand workers, each in three subsets
    assert len(sent) > 500


def test_rolling_release_changes_few_subset_members_at_a_time():
    all_fleets = fleets(1000, 50)[::7]
    before, moved = subsets(all_fleets), 0.0
    for n in range(1000):
        for one_fleet in all_fleets:
            one_fleet.update(
                0.06 * n,
                interface.WorkerList(
                    (interface.WorkerEntry(f"w{n}", state=interface.DRAINING), interface.WorkerEntry(f"x{n}"))
                ),
            )
        if n % 20 == 19:
            after = subsets(all_fleets)
            step = churn(before, after)
            assert all(len(subset) == 60 for subset in after) and step < 0.1
            rings = [[worker.entry.worker for worker in one_fleet.subset.ring] for one_fleet in all_fleets]
            # With equal rings the subsets stay even.
            assert len(rings[0]) == 1000 and all(ring == rings[0] for ring in rings)
            before, moved = after, moved + step
    assert moved < 50 * 0.06  # of which 50 x 0.02 are the replaced workers themselves


def test_restarted_worker_keeps_its_position_on_the_ring():
    all_fleets = fleets(100, 20)
    before = subsets(all_fleets)
    for one_fleet in all_fleets:
        one_fleet.update(1.0, interface.WorkerList((interface.WorkerEntry("w7", started=1.0),)))
    assert subsets(all_fleets) == before


def test_ring_follows_a_hundred_list_changes_a_second():
    random, one_fleet = Random(3), fleets(1000, 50)[7]
    listed = {f"w{n}" for n in range(1000)}
    for step in range(600):
        name = f"w{random.randrange(1100)}"
        is_healthy = random.random() < 0.6
        one_fleet.update(
            step / 100,
            interface.WorkerList(
                (interface.WorkerEntry(name, state=interface.HEALTHY if is_healthy else interface.DRAINING),)
            ),
        )
        (listed.add if is_healthy else listed.discard)(name)
        assert one_fleet.pick(step / 100, READ, set()) in listed
    ranks = [worker.rank for worker in one_fleet.subset.ring]
    assert ranks == sorted(ranks) and {usable.entry.worker for usable in one_fleet.subset.ring} == listed


def test_deterministic_subsets_are_more_even_than_random_ones():
    deterministic, by_chance = (measure(kind, 300, 15, 60) for kind in ("module", "by_chance"))
    assert deterministic["imbalance"] < 1.2 < by_chance["imbalance"] and deterministic["least_gateways"] == 3
    assert deterministic["churn_one_replaced"] < 0.05


def test_negative_gateway_number_is_rejected():
    with pytest.raises(ValueError, match="number"):
        interface.Settings((READ,), (interface.Plan("free"),), gateways=3, number=-1)
