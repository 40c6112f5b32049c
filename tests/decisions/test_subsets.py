"""Numbered gateways keep to arcs of one ring: even, none empty, and little moves when workers come and go."""

from collections import Counter
from random import Random

import pytest

from micagate import interface
from micagate.fleet import Fleet
from rig.subsets import CLASSES, churn, fleet, imbalance, measure

READ = CLASSES[0]


def fleets(workers: int, gateways: int, numbered: bool = True) -> list[Fleet]:
    made = []
    for number in range(gateways):
        names = [f"w{n}" for n in range(workers)]
        Random(number).shuffle(names)  # lists come in any order
        made.append(fleet(names, number, gateways, numbered))
    return made


def subsets(all_of: list[Fleet]) -> list[list[str]]:
    return [[worker.entry.worker for worker in f.subset.members(f.subset.size)] for f in all_of]


@pytest.mark.parametrize(("workers", "gateways"), [(1000, 50), (1000, 10), (997, 13), (30, 40), (9, 3), (200, 200)])
def test_each_worker_is_in_as_many_subsets_as_any_other_or_in_one_more(workers, gateways):
    made = subsets(fleets(workers, gateways))
    count = Counter(name for subset in made for name in subset)
    assert len(count) == workers  # none is left to nobody
    assert max(count.values()) - min(count.values()) <= 2  # sizes are rounded up: arcs may lap twice
    drawn = subsets(fleets(workers, gateways, numbered=False))
    names = [f"w{n}" for n in range(workers)]
    if workers > 100:
        assert imbalance(made, names) < 1.4 < imbalance(drawn, names)


def test_all_gateways_that_start_at_once_with_one_list_do_not_meet_on_the_same_workers():
    all_of = fleets(1000, 50)
    went: Counter[str] = Counter()
    for number, f in enumerate(all_of):
        for n in range(20):
            worker = f.pick(0.0, READ, set())
            f.record_sent(0.0, worker, (f"r{number}-{n}", 0), READ)
            went[worker] += 1
    assert max(went.values()) <= 3  # a thousand requests over a thousand workers, each in three arcs
    assert len(went) > 500


def test_a_rolling_release_of_all_moves_little_at_a_time_and_leaves_no_subset_empty():
    all_of = fleets(1000, 50)[::7]
    before, moved = subsets(all_of), 0.0
    for n in range(1000):
        for f in all_of:
            f.update(
                0.06 * n,
                interface.WorkerList(
                    (interface.WorkerEntry(f"w{n}", state=interface.DRAINING), interface.WorkerEntry(f"x{n}"))
                ),
            )
        if n % 20 == 19:
            after = subsets(all_of)
            step = churn(before, after)
            assert all(len(subset) == 60 for subset in after) and step < 0.1
            rings = [[w.entry.worker for w in f.subset.ring] for f in all_of]
            assert len(rings[0]) == 1000 and all(ring == rings[0] for ring in rings)  # so all arcs stay even
            before, moved = after, moved + step
    assert moved < 50 * 0.06  # of which 50 x 0.02 are the new workers themselves


def test_a_worker_that_restarts_keeps_its_place():
    all_of = fleets(100, 20)
    before = subsets(all_of)
    for f in all_of:
        f.update(1.0, interface.WorkerList((interface.WorkerEntry("w7", started=1.0),)))
    assert subsets(all_of) == before


def test_membership_applies_at_a_hundred_changes_a_second_whatever_comes_between():
    random, f = Random(3), fleets(1000, 50)[7]
    told = {f"w{n}" for n in range(1000)}
    for step in range(600):
        name = f"w{random.randrange(1100)}"
        up = random.random() < 0.6
        f.update(
            step / 100,
            interface.WorkerList((interface.WorkerEntry(name, state=interface.HEALTHY if up else interface.DRAINING),)),
        )
        (told.add if up else told.discard)(name)
        assert f.pick(step / 100, READ, set()) in told
    ranks = [worker.rank for worker in f.subset.ring]
    assert ranks == sorted(ranks) and {w.entry.worker for w in f.subset.ring} == told


def test_the_measure_of_subsets_finds_those_by_chance_uneven():
    ours, chance = (measure(kind, 300, 15, 60) for kind in ("module", "by_chance"))
    assert ours["imbalance"] < 1.2 < chance["imbalance"] and ours["least_gateways"] == 3
    assert ours["churn_one_replaced"] < 0.05


def test_a_number_below_zero_is_turned_down():
    with pytest.raises(ValueError, match="number"):
        interface.Settings((READ,), (interface.Plan("free"),), gateways=3, number=-1)
