"""Twenty forwarders together do not overload a worker in slow start, also when the planner fails.

In simulated time: twenty gateways, holders and one ledger, against simulated workers. Work sent to a worker that has
just started, within any window of `FALL_SECONDS`, stays below `OVERLOAD_FACTOR` times its capacity in that window.
"""

import itertools

import pytest

from micagate import interface
from micagate.fleet import Fleet as Chooser
from rig.capacity import Capacity
from rig.cluster import Cluster as Forwarders

FORWARDERS, OVERLOAD_FACTOR, FALL_SECONDS, SLOW_START_SECONDS, MIN_WARM_UP_FACTOR = 20, 2.0, 1.0, 8.0, 0.2
WORKER_CORES, REQUEST_CPU_SECONDS = 4, 0.02  # CPU seconds of a request at the simulated workers
REQUESTS_PER_SECOND = 340.0  # requests per second; two warm workers have a capacity of 400
SLACK = 1.25  # factor on the bound for chance: work has a coefficient of variation of 0.5


class Cluster(Forwarders):
    """Twenty forwarders and two workers; with `uneven` five forwarders have most of the traffic."""

    def __init__(self, seed: int, rate: float, planner: bool, uneven: bool, paces: bool = False) -> None:
        settings = interface.Settings(
            (interface.RequestClass("fetch", aim=0.4, deadline=1.0),),
            (interface.Plan("free"),),
            gateways=FORWARDERS,
            zone="a",
            max_attempts=3,
            can_cancel=True,
            slow_start_min_factor=MIN_WARM_UP_FACTOR,
            slow_start_duration=SLOW_START_SECONDS,
            overload_factor=OVERLOAD_FACTOR,
            fall_time=FALL_SECONDS,
        )
        rates = [rate * (3.0 if uneven and n < 5 else 0.33 if uneven else 1.0) / FORWARDERS for n in range(FORWARDERS)]
        super().__init__(
            seed,
            rates,
            {
                f"w{n}": Capacity(
                    cores=WORKER_CORES,
                    queue_limit=200,
                    min_warm_up_factor=MIN_WARM_UP_FACTOR,
                    warm_up_seconds=SLOW_START_SECONDS,
                )
                for n in range(2)
            },
            settings,
            planner,
            paces,
        )

    def worst(self, name, started):
        """Return the largest ratio of sent to allowed work over all windows, and the number of requests sent."""
        sent = [
            (when, work)
            for when, where, work in self.arrivals
            if where == name and started <= when < started + SLOW_START_SECONDS
        ]
        worst = 0.0
        for n, (begin, _) in enumerate(sent):
            work = sum(w for when, w in sent[n:] if when < begin + FALL_SECONDS)
            warm = MIN_WARM_UP_FACTOR + (1 - MIN_WARM_UP_FACTOR) * min(
                1.0, (begin + FALL_SECONDS / 2 - started) / SLOW_START_SECONDS
            )
            worst = max(worst, work / (OVERLOAD_FACTOR * warm * WORKER_CORES * FALL_SECONDS))
        return worst, len(sent)


@pytest.mark.parametrize(
    ("planner", "paces"),
    [(True, False), (True, True), (False, False)],
    ids=["planner", "planner that learns paces", "no planner"],
)
@pytest.mark.parametrize("uneven", [True, False], ids=["uneven", "even"])
@pytest.mark.parametrize("seed", range(3))
def test_twenty_forwarders_do_not_overload_a_worker_in_slow_start(seed, uneven, planner, paces):
    cluster = Cluster(seed, REQUESTS_PER_SECOND, planner=planner, uneven=uneven, paces=paces)
    cluster.clock.run(6.0)
    cluster.restart("w1")
    started = cluster.clock.now
    if planner and seed == 1:  # the planner fails while shares are lent
        cluster.clock.at(started + 2.0, lambda: setattr(cluster, "ledger", None))
    cluster.clock.run(started + SLOW_START_SECONDS)
    worst, sent = cluster.worst("w1", started)
    assert worst <= SLACK and sent > 20, (worst, sent)
    assert cluster.results["served"] > 0.6 * cluster.results.total()


def test_a_choice_without_slow_start_does_overload_the_worker(monkeypatch):
    turns = itertools.count()
    monkeypatch.setattr(
        Chooser,
        "pick",
        lambda self, now, klass, tried, zone=None, cell=None: None
        if (worker := f"w{next(turns) % 2}") in tried
        else worker,
    )
    cluster = Cluster(0, REQUESTS_PER_SECOND, planner=False, uneven=False)
    cluster.clock.run(6.0)
    cluster.restart("w1")
    started = cluster.clock.now
    cluster.clock.run(started + SLOW_START_SECONDS)
    assert cluster.worst("w1", started)[0] > SLACK


def test_slow_start_shares_move_to_the_forwarders_with_the_traffic():
    cluster = Cluster(0, 150.0, planner=True, uneven=True)
    cluster.clock.run(6.0)
    cluster.restart("w1")
    cluster.clock.run(cluster.clock.now + 3.0)
    assert cluster.max_borrowed > 0.01
