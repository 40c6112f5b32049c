"""A power loss of an installation: all gatekeepers, and optionally the workers, die at once and start again.

Functions here measure what is served around it. As a bound for comparison, `ideal_served_share` simulates a single
gatekeeper with perfect knowledge before the same workers, which begin their slow start at the same moment, under
arrivals of the same rate.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from random import Random

from rig.capacity import Capacity, Load
from rig.installation import Installation
from rig.traffic import Customer, Traffic, TrafficReport


def spread_customers(
    count: int, rate: float, plan: str, spread: int, klass: str = "read", first: int = 1
) -> list[Customer]:
    """Return customers of one plan whose requests go to all gatekeepers of the fleet."""
    return [
        Customer(
            f"{first + n:016x}",
            plan,
            lambda at: rate,
            lambda at: int(at * 997),
            peak_rate=rate,
            spread=spread,
            klass=klass,
        )
        for n in range(count)
    ]


def ideal_served_share(
    rate: float,
    seconds: float,
    workers: Sequence[Capacity],
    service_seconds: float,
    latency_objective: float,
    seed: int,
    service_cv: float = 0.5,
) -> float:
    """Return the share of arrivals served within the latency objective by one gatekeeper with perfect knowledge.

    It knows each worker's queue and warm-up factor. The workers begin their slow start at time 0. A request goes to the
    worker that would complete it first, or is refused if that takes longer than a bound. Queues slow the work, so the
    result is the best over several bounds up to the objective.
    """
    return max(
        _greedy_served_share(
            rate, seconds, workers, service_seconds, latency_objective, bound * latency_objective, seed, service_cv
        )
        for bound in (0.25, 0.5, 0.75, 1.0)
    )


def _greedy_served_share(
    rate: float,
    seconds: float,
    workers: Sequence[Capacity],
    service_seconds: float,
    latency_objective: float,
    max_completion_seconds: float,
    seed: int,
    service_cv: float,
) -> float:
    random, loads = Random(seed), [Load(capacity, started=0.0) for capacity in workers]
    shape, now, arrivals, served = 1 / service_cv**2, 0.0, 0, 0
    while (now := now + random.expovariate(rate)) < seconds:
        arrivals += 1
        work = random.gammavariate(shape, 1 / shape) * service_seconds
        best = min(loads, key=lambda load: load.next_core_free_at(now) - now + _processing_seconds(load, now, work))
        if best.next_core_free_at(now) - now + _processing_seconds(best, now, work) > max_completion_seconds:
            continue
        done_at = best.arrive(now, work)
        served += done_at is not None and done_at - now <= latency_objective
    return served / max(1, arrivals)


def _processing_seconds(load: Load, now: float, work: float) -> float:
    """Return the seconds that work takes at a worker, slowed by its queue and its warm-up."""
    slowdown = 1 + load.capacity.queue_slowdown * load.queue_length(now) / load.capacity.cores
    return work * slowdown / (load.capacity.speed * load.warm_up_factor(now))


class PowerLoss:
    """Cuts the power of an installation's gatekeepers, and of its workers if asked, and restores it."""

    def __init__(self, installation: Installation, traffic: Traffic) -> None:
        self.installation, self.traffic = installation, traffic
        self.restored_at = 0.0  # when power was restored, in seconds of the traffic
        self.start_seconds: list[float] = []  # seconds from each gatekeeper's start until it accepted clients

    async def cut_power(
        self, outage_seconds: float, workers: bool = True, start_delays: dict[int, float] | None = None
    ) -> None:
        """Kill all at once, restart after the outage; `start_delays` are further seconds by gatekeeper number."""
        loop = asyncio.get_running_loop()
        for gatekeeper in self.installation.forwarders:
            gatekeeper.process.kill()
        if workers:
            for worker in self.installation.workers:
                worker.stop()
        await asyncio.gather(*(gatekeeper.process.wait() for gatekeeper in self.installation.forwarders))
        await asyncio.sleep(outage_seconds)
        self.restored_at = loop.time() - self.traffic._started_at
        if workers:
            for worker in self.installation.workers:
                worker.slow_start = True
                await worker.start()
            self.installation.discovery.entries = [worker.entry() for worker in self.installation.workers]
            self.installation.discovery.change(*self.installation.discovery.entries)
        await asyncio.gather(
            *(
                self._start(number, (start_delays or {}).get(number, 0.0))
                for number in range(self.installation.forwarder_count)
            )
        )

    async def _start(self, number: int, delay_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        started_at = time.monotonic()
        gatekeeper = await self.installation.start_forwarder(number)
        self.start_seconds.append(time.monotonic() - started_at)
        self.traffic.ports[number] = gatekeeper.port


def served_between(report: TrafficReport, first: int, last: int) -> int:
    """Count the requests sent in the seconds [first, last) that were served within their latency objective."""
    return sum(
        report.outcomes_by_second[second]["served"]
        for second in range(first, last)
        if second in report.outcomes_by_second
    )


def sent_between(report: TrafficReport, first: int, last: int) -> int:
    """Count the requests sent in the seconds [first, last)."""
    return sum(
        report.outcomes_by_second[second].total()
        for second in range(first, last)
        if second in report.outcomes_by_second
    )


def recovery_seconds(report: TrafficReport, lost_at: int, baseline: float, end: int, min_share: float = 0.95) -> float:
    """Return the seconds from the loss until every further second serves `min_share` of the baseline; inf if never."""
    degraded = [
        second for second in range(lost_at, end) if served_between(report, second, second + 1) < min_share * baseline
    ]
    return (
        float(max(degraded) + 1 - lost_at if degraded else 0)
        if not degraded or max(degraded) + 1 < end
        else float("inf")
    )
