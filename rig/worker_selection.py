"""Compares worker selection on a simulated fleet: the gateway, and baselines, one of which knows all true queues.

    python -m rig.worker_selection [--workers N] [--gateways N] [--load SHARE] [--seconds S] [--seeds N]

Each worker has one core and a queue. Some are slow; only the baselines that need it know which.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from micagate import Gateway, interface
from rig.capacity import Capacity
from rig.fleet import EntryPoint, Fleet
from rig.simulation import Clock

CLASSES = (interface.RequestClass("fetch", aim=0.8, deadline=2.0),)
PLANS = (interface.Plan("free"),)
REQUEST_UNITS, MEAN_SERVICE_SECONDS = 8.0, 0.16  # units of a request, and its mean time on a worker of speed 1


@dataclass(frozen=True)
class Scenario:
    """A fleet and the traffic on it."""

    workers: int = 1000
    gateways: int = 1
    load: float = 0.8  # as a share of the capacity of all workers
    seconds: float = 6.0
    warm_up: float = 3.0  # seconds before requests are counted
    slow: float = 0.2  # share of the workers that are slow
    numbered: bool = True  # gateways know their numbers, so that subsets cover the workers evenly


SelectWorker = Callable[[float, "BaselineGateway"], str]


class BaselineGateway:
    """Replaces a gateway: sends each request once, to the worker that `select` returns."""

    def __init__(self, fleet: Fleet, random: Random, select: SelectWorker) -> None:
        self.fleet, self.random, self.select = fleet, random, select
        self.names = sorted(fleet.workers)
        self.in_flight = dict.fromkeys(self.names, 0)
        self.next_index = 0
        self.credits = dict.fromkeys(self.names, 0.0)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Send each request; count the attempts in flight."""
        if isinstance(event, interface.Request):
            worker = self.select(now, self)
            self.in_flight[worker] += 1
            return [interface.Send(event.request, worker)]
        if isinstance(event, interface.Outcome):
            self.in_flight[event.worker] -= 1
        return []


def shortest_true_queue(now: float, gateway: BaselineGateway) -> str:
    """Select the worker that would finish first, by its true queue and speed."""

    def done(name: str) -> float:
        load = gateway.fleet.workers[name].load
        return load.next_core_free_at(now) + MEAN_SERVICE_SECONDS / (load.capacity.speed * load.warm_up_factor(now))

    return min(gateway.names, key=done)


def two_random_choices(now: float, gateway: BaselineGateway) -> str:
    """Power of two choices: the one of two random workers with fewer own attempts in flight."""
    return min(gateway.random.sample(gateway.names, 2), key=lambda name: gateway.in_flight[name])


def random_worker(now: float, gateway: BaselineGateway) -> str:
    """Select a worker at random."""
    return gateway.random.choice(gateway.names)


def weighted_round_robin(now: float, gateway: BaselineGateway) -> str:
    """Weighted round robin by the true speeds, which a real gateway would have to learn."""
    while True:
        name = gateway.names[gateway.next_index % len(gateway.names)]
        gateway.next_index += 1
        gateway.credits[name] += gateway.fleet.workers[name].load.capacity.speed / 1.3
        if gateway.credits[name] >= 1.0:
            gateway.credits[name] -= 1.0
            return name


BASELINES: dict[str, SelectWorker] = {
    "sees_all": shortest_true_queue,
    "of_two": two_random_choices,
    "by_chance": random_worker,
    "in_turn": weighted_round_robin,
}


def served_ratio(selection: str, scenario: Scenario, seed: int) -> float:
    """Return the share of requests served in time; `selection` is `module` or a key of `BASELINES`."""
    random, clock = Random(seed), Clock()
    slow = round(scenario.workers * scenario.slow)
    capacities = {
        f"w{n:04}": Capacity(
            cores=1, queue_limit=8, speed=random.uniform(0.3, 0.5) if n < slow else random.uniform(0.8, 1.3)
        )
        for n in range(scenario.workers)
    }
    fleet = Fleet(clock, random, capacities, zones="a")
    for number in range(scenario.gateways):
        settings = interface.Settings(
            CLASSES,
            PLANS,
            gateways=scenario.gateways,
            number=number if scenario.numbered else None,
            zone="a",
            max_attempts=2,
            can_cancel=True,
        )
        if selection == "module":
            handle = Gateway(settings, seed * 1000 + number, 0.0).handle
        else:
            handle = BaselineGateway(fleet, random, BASELINES[selection]).handle
        EntryPoint(fleet, handle, settings, f"g{number}")
    fleet.send_update(whole=True)
    rate = scenario.load * sum(c.speed for c in capacities.values()) / MEAN_SERVICE_SECONDS
    customers = 40 * scenario.gateways

    def ask() -> None:
        random.choice(fleet.entry_points).submit("fetch", "free", f"c{random.randrange(customers)}", REQUEST_UNITS)
        clock.after(random.expovariate(rate), ask)

    ask()
    clock.run(scenario.warm_up)
    before = [(e.counts.received, e.counts.results["served"]) for e in fleet.entry_points]
    clock.run(scenario.warm_up + scenario.seconds)
    asked = sum(e.counts.received - a for e, (a, _) in zip(fleet.entry_points, before, strict=True))
    good = sum(e.counts.results["served"] - s for e, (_, s) in zip(fleet.entry_points, before, strict=True))
    return good / max(1, asked)


def main() -> None:
    """Print the share served in time by each selection, relative to the one that knows all queues."""
    parser = argparse.ArgumentParser(prog="python -m rig.worker_selection", description=main.__doc__)
    parser.add_argument("--workers", type=int, default=1000, help="workers (default %(default)s)")
    parser.add_argument("--gateways", type=int, default=1, help="gatekeepers (default %(default)s)")
    parser.add_argument(
        "--load", type=float, default=0.8, help="share of the capacity of all workers (default %(default)s)"
    )
    parser.add_argument("--seconds", type=float, default=6.0, help="seconds counted (default %(default)s)")
    parser.add_argument("--seeds", type=int, default=1, help="seeds simulated (default %(default)s)")
    options = parser.parse_args()
    scenario = Scenario(options.workers, options.gateways, options.load, options.seconds)
    ideal = [served_ratio("sees_all", scenario, seed) for seed in range(options.seeds)]
    print(f"sees_all   {statistics.median(ideal):.3f}")
    for selection in ("module", *BASELINES):
        if selection != "sees_all":
            ratios = [served_ratio(selection, scenario, seed) / best for seed, best in enumerate(ideal)]
            print(f"{selection:10} {statistics.median(ratios):.3f} of that", flush=True)


if __name__ == "__main__":
    main()
