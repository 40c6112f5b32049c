"""A cold worker under twenty forwarders together is not pushed over, whatever becomes of the planners.

In simulated time: twenty modules, holders and one ledger, against modelled workers. Work sent to a worker that has
started lately, within any window of `FALL`, stays under the factor times what it can do in it.
"""

import itertools

import pytest

from micagate import interface
from micagate.fleet import Fleet as Chooser
from rig.capacity import Capacity
from rig.cluster import Cluster as Forwarders

FORWARDERS, FACTOR, FALL, RAMP, COLD = 20, 2.0, 1.0, 8.0, 0.2
CORES, WORK = 4, 0.02  # seconds of a core that a request takes in the rig
RATE = 340.0  # requests a second, of the 400 that two warm workers can do
SLACK = 1.25  # of the bound, for chance: work is drawn with a coefficient of variation of 0.5


class Cluster(Forwarders):
    """Twenty forwarders before two workers; `uneven`: five of them have most of the traffic."""

    def __init__(self, seed: int, rate: float, planner: bool, uneven: bool, paces: bool = False) -> None:
        settings = interface.Settings(
            (interface.RequestClass("fetch", aim=0.4, deadline=1.0),),
            (interface.Plan("free"),),
            gateways=FORWARDERS,
            zone="a",
            max_attempts=3,
            can_cancel=True,
            slow_start_min_factor=COLD,
            slow_start_duration=RAMP,
            overload_factor=FACTOR,
            fall_time=FALL,
        )
        rates = [rate * (3.0 if uneven and n < 5 else 0.33 if uneven else 1.0) / FORWARDERS for n in range(FORWARDERS)]
        super().__init__(
            seed,
            rates,
            {f"w{n}": Capacity(cores=CORES, queue=200, cold_from=COLD, ramp=RAMP) for n in range(2)},
            settings,
            planner,
            paces,
        )

    def worst(self, name, started):
        """The most work sent to a cold worker within a window, over what the rule allows there."""
        sent = [(when, work) for when, where, work in self.sent if where == name and started <= when < started + RAMP]
        worst = 0.0
        for n, (begin, _) in enumerate(sent):
            work = sum(w for when, w in sent[n:] if when < begin + FALL)
            warm = COLD + (1 - COLD) * min(1.0, (begin + FALL / 2 - started) / RAMP)
            worst = max(worst, work / (FACTOR * warm * CORES * FALL))
        return worst, len(sent)


@pytest.mark.parametrize(
    ("planner", "paces"),
    [(True, False), (True, True), (False, False)],
    ids=["planner", "planner that learns paces", "no planner"],
)
@pytest.mark.parametrize("uneven", [True, False], ids=["uneven", "even"])
@pytest.mark.parametrize("seed", range(3))
def test_a_cold_worker_under_twenty_forwarders_is_not_pushed_over(seed, uneven, planner, paces):
    cluster = Cluster(seed, RATE, planner=planner, uneven=uneven, paces=paces)
    cluster.clock.run(6.0)
    cluster.restart("w1")
    started = cluster.clock.now
    if planner and seed == 1:  # and the planner goes while shares are out
        cluster.clock.at(started + 2.0, lambda: setattr(cluster, "ledger", None))
    cluster.clock.run(started + RAMP)
    worst, sent = cluster.worst("w1", started)
    assert worst <= SLACK and sent > 20, (worst, sent)
    assert cluster.ends["served"] > 0.6 * cluster.ends.total()


def test_a_choice_that_knows_of_no_cold_worker_does_push_it_over(monkeypatch):
    turns = itertools.count()
    monkeypatch.setattr(
        Chooser,
        "pick",
        lambda self, now, klass, tried, zone=None, cell=None: None
        if (worker := f"w{next(turns) % 2}") in tried
        else worker,
    )
    cluster = Cluster(0, RATE, planner=False, uneven=False)
    cluster.clock.run(6.0)
    cluster.restart("w1")
    started = cluster.clock.now
    cluster.clock.run(started + RAMP)
    assert cluster.worst("w1", started)[0] > SLACK


def test_room_moves_to_the_forwarders_that_have_the_traffic():
    cluster = Cluster(0, 150.0, planner=True, uneven=True)
    cluster.clock.run(6.0)
    cluster.restart("w1")
    cluster.clock.run(cluster.clock.now + 3.0)
    assert cluster.moved > 0.01
