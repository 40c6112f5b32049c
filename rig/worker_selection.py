"""Choices of a worker on a simulated fleet: the decision module beside others, one of which sees all true queues.

    python -m rig.worker_selection [--workers N] [--gateways N] [--load SHARE] [--seconds S] [--seed N]

Workers have one core and a queue each. A part of them is slow, and some lose answers; nobody is told which.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from micagate import Gateway, interface
from rig.capacity import Capacity
from rig.fleet import Entrance, Fleet
from rig.simulation import Clock

CLASSES = (interface.RequestClass("fetch", aim=0.8, deadline=2.0),)
PLANS = (interface.Plan("free"),)
UNITS, MEAN = 8.0, 0.16  # of a request, and the seconds that it takes on a worker of speed 1


@dataclass(frozen=True)
class Field:
    """A fleet and the traffic on it."""

    workers: int = 1000
    gateways: int = 1
    load: float = 0.8  # share of what all workers together can do
    seconds: float = 6.0
    warm_up: float = 3.0  # not counted
    slow: float = 0.2  # share of the workers that are slow
    numbered: bool = True  # gateways know their numbers, so that subsets are dealt out evenly


Choose = Callable[[float, "Choices"], str]


class Choices:
    """Takes a gateway's place: sends each request once, to the worker that `choose` names."""

    def __init__(self, fleet: Fleet, random: Random, choose: Choose) -> None:
        self.fleet, self.random, self.choose = fleet, random, choose
        self.names = sorted(fleet.places)
        self.out = dict.fromkeys(self.names, 0)
        self.turn = 0
        self.credit = dict.fromkeys(self.names, 0.0)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Send what comes; count what is out."""
        if isinstance(event, interface.Request):
            worker = self.choose(now, self)
            self.out[worker] += 1
            return [interface.Send(event.request, worker)]
        if isinstance(event, interface.Outcome):
            self.out[event.worker] -= 1
        return []


def sees_all(now: float, c: Choices) -> str:
    """The worker that would be done first, by its true queue and speed."""

    def done(name: str) -> float:
        load = c.fleet.places[name].load
        return load.free(now) + MEAN / (load.capacity.speed * load.warmth(now))

    return min(c.names, key=done)


def of_two(now: float, c: Choices) -> str:
    """The one of two drawn by chance where less of the own is out."""
    return min(c.random.sample(c.names, 2), key=lambda name: c.out[name])


def by_chance(now: float, c: Choices) -> str:
    """Any."""
    return c.random.choice(c.names)


def in_turn(now: float, c: Choices) -> str:
    """Weighted round robin by the true speeds, which a real one would have to learn."""
    while True:
        name = c.names[c.turn % len(c.names)]
        c.turn += 1
        c.credit[name] += c.fleet.places[name].load.capacity.speed / 1.3
        if c.credit[name] >= 1.0:
            c.credit[name] -= 1.0
            return name


OTHERS: dict[str, Choose] = {"sees_all": sees_all, "of_two": of_two, "by_chance": by_chance, "in_turn": in_turn}


def served(how: str, field: Field, seed: int) -> float:
    """The share of the requests that are answered in their aim; `how` is `module` or one of `OTHERS`."""
    random, clock = Random(seed), Clock()
    slow = round(field.workers * field.slow)
    capacities = {
        f"w{n:04}": Capacity(cores=1, queue=8, speed=random.uniform(0.3, 0.5) if n < slow else random.uniform(0.8, 1.3))
        for n in range(field.workers)
    }
    fleet = Fleet(clock, random, capacities, zones="a")
    for number in range(field.gateways):
        settings = interface.Settings(
            CLASSES,
            PLANS,
            gateways=field.gateways,
            number=number if field.numbered else None,
            zone="a",
            max_attempts=2,
            can_cancel=True,
        )
        if how == "module":
            handle = Gateway(settings, seed * 1000 + number, 0.0).handle
        else:
            handle = Choices(fleet, random, OTHERS[how]).handle
        Entrance(fleet, handle, settings, f"g{number}")
    fleet.tell(whole=True)
    rate = field.load * sum(c.speed for c in capacities.values()) / MEAN
    customers = 40 * field.gateways

    def ask() -> None:
        random.choice(fleet.entrances).ask("fetch", "free", f"c{random.randrange(customers)}", UNITS)
        clock.after(random.expovariate(rate), ask)

    ask()
    clock.run(field.warm_up)
    before = [(e.tally.asked, e.tally.ends["served"]) for e in fleet.entrances]
    clock.run(field.warm_up + field.seconds)
    asked = sum(e.tally.asked - a for e, (a, _) in zip(fleet.entrances, before, strict=True))
    good = sum(e.tally.ends["served"] - s for e, (_, s) in zip(fleet.entrances, before, strict=True))
    return good / max(1, asked)


def main() -> None:
    """Print the share served in time by each choice, over the share of the one that sees all."""
    parser = argparse.ArgumentParser(prog="python -m rig.worker_selection", description=main.__doc__)
    parser.add_argument("--workers", type=int, default=1000, help="workers (default %(default)s)")
    parser.add_argument("--gateways", type=int, default=1, help="gatekeepers (default %(default)s)")
    parser.add_argument("--load", type=float, default=0.8, help="of what all can do (default %(default)s)")
    parser.add_argument("--seconds", type=float, default=6.0, help="counted (default %(default)s)")
    parser.add_argument("--seeds", type=int, default=1, help="fields played (default %(default)s)")
    words = parser.parse_args()
    field = Field(words.workers, words.gateways, words.load, words.seconds)
    ideal = [served("sees_all", field, seed) for seed in range(words.seeds)]
    print(f"sees_all   {statistics.median(ideal):.3f}")
    for how in ("module", *OTHERS):
        if how != "sees_all":
            share = [served(how, field, seed) / best for seed, best in enumerate(ideal)]
            print(f"{how:10} {statistics.median(share):.3f} of that", flush=True)


if __name__ == "__main__":
    main()
