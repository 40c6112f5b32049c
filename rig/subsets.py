"""Compares algorithms for worker subsets: how evenly gateways cover the workers, and the churn when workers change.

    python -m rig.subsets [--workers N] [--gateways N] [--size N]

`module` is the algorithm of micagate's `Fleet`; the others are alternatives for comparison.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable, Sequence
from functools import cache
from random import Random

from micagate import interface
from micagate.fleet import Fleet
from micagate.shares import Shares

Subset = Callable[[Sequence[str], int, int, int], list[str]]  # names, gateway, gateways, size
CLASSES, PLANS = (interface.RequestClass("fetch", aim=0.4, deadline=1.0),), (interface.Plan("free"),)


def gateway_fleet(names: Sequence[str], gateway: int, gateways: int, numbered: bool = True) -> Fleet:
    """Return a gateway's `Fleet` with these workers; with `numbered` False the gateway does not know its number."""
    settings = interface.Settings(CLASSES, PLANS, gateways=gateways, number=gateway if numbered else None)
    result = Fleet(settings, Random(gateway), 0.0, Shares())
    result.update(0.0, interface.WorkerList(tuple(map(interface.WorkerEntry, names)), whole=True))
    return result


def gateway_subset(names: Sequence[str], gateway: int, gateways: int, size: int) -> list[str]:
    """Return the subset that a numbered gateway uses (a section of the ring)."""
    return [worker.entry.worker for worker in gateway_fleet(names, gateway, gateways).subset.members(size)]


def random_subset(names: Sequence[str], gateway: int, gateways: int, size: int) -> list[str]:
    """Random subset: the workers with the lowest of the random numbers that the gateway draws, one for each worker."""
    return sorted(names, key=lambda name: _random_rank(name, gateway))[:size]


def rendezvous_subset(names: Sequence[str], gateway: int, gateways: int, size: int) -> list[str]:
    """Rendezvous hashing (highest random weight): each worker picks the gateways with the highest hash of both."""
    gateways_per_worker = max(1, round(size * gateways / max(1, len(names))))
    return [
        name
        for name in names
        if gateway in sorted(range(gateways), key=lambda g: -_random_rank(name, g))[:gateways_per_worker]
    ]


def round_based_subset(names: Sequence[str], gateway: int, gateways: int, size: int) -> list[str]:
    """Deterministic subsetting (Site Reliability Engineering, 2016, chapter 20): one shuffle per round."""
    rounds = max(1, len(names) // size)
    order = sorted(names)
    Random(gateway // rounds).shuffle(order)
    start = gateway % rounds * size
    return order[start : start + size]


@cache
def _random_rank(name: str, gateway: int) -> float:
    return Random(f"{name}/{gateway}").random()


ALGORITHMS: dict[str, Subset] = {
    "module": gateway_subset,
    "by_chance": random_subset,
    "rendezvous": rendezvous_subset,
    "in_rounds": round_based_subset,
}


def imbalance(subsets: Sequence[Sequence[str]], names: Sequence[str]) -> float:
    """Return the highest load of a worker over the mean, if each gateway spreads the same traffic over its subset."""
    load: Counter[str] = Counter()
    for subset in subsets:
        for name in subset:
            load[name] += 1.0 / len(subset)  # type: ignore[assignment]
    return max(load.values()) / (len(subsets) / len(names))


def min_gateways_per_worker(subsets: Sequence[Sequence[str]], names: Sequence[str]) -> int:
    """Return the number of gateways of the worker that has the fewest."""
    count = Counter(name for subset in subsets for name in subset)
    return min(count[name] for name in names)


def churn(before: Sequence[Sequence[str]], after: Sequence[Sequence[str]]) -> float:
    """Return new members of the subsets over all members: the share of connections that have to be opened."""
    new = sum(len(set(b) - set(a)) for a, b in zip(before, after, strict=False))
    return new / max(1, sum(map(len, after)))


def measure(algorithm: str, workers: int, gateways: int, size: int) -> dict[str, float]:
    """Return imbalance, and churn for each event; the minimum churn is about the share of workers that are new."""
    subset = ALGORITHMS[algorithm]
    names = [f"w{n:04}" for n in range(workers)]

    def all_of(names: Sequence[str], count: int = gateways, size: int = size) -> list[list[str]]:
        return [subset(names, gateway, count, size) for gateway in range(count)]

    original = all_of(names)
    nine_tenths = [name for n, name in enumerate(names) if n % 10]
    one_replaced = [*names[1:], "x0000"]
    replacements = [f"x{n:04}" for n in range(workers // 10)]
    tenth_replaced = [*names[len(replacements) :], *replacements]
    return {
        "imbalance": imbalance(original, names),
        "least_gateways": min_gateways_per_worker(original, names),
        "churn_one_leaves": churn(original, all_of(names[1:])),
        "churn_one_replaced": churn(original, all_of(one_replaced)),
        "churn_tenth_leaves": churn(original, all_of(nine_tenths, size=len(nine_tenths) * size // workers)),
        "churn_tenth_replaced": churn(original, all_of(tenth_replaced)),
        "imbalance_tenth_replaced": imbalance(all_of(tenth_replaced), tenth_replaced),
        "churn_gateway_comes": churn(original, all_of(names, gateways + 1)),
    }


def main() -> None:
    """Print imbalance and churn of each algorithm."""
    parser = argparse.ArgumentParser(prog="python -m rig.subsets", description=main.__doc__)
    parser.add_argument("--workers", type=int, default=1000, help="workers (default %(default)s)")
    parser.add_argument("--gateways", type=int, default=50, help="gatekeepers (default %(default)s)")
    parser.add_argument("--size", type=int, default=60, help="workers of each gatekeeper (default %(default)s)")
    options = parser.parse_args()
    for algorithm in ALGORITHMS:
        figures = measure(algorithm, options.workers, options.gateways, options.size)
        print(f"{algorithm:10}", "  ".join(f"{name} {value:.3f}" for name, value in figures.items()), flush=True)


if __name__ == "__main__":
    main()
