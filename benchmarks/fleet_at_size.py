"""Measures what is lost by spreading the same load over more gateways: 4, 12 and 40 before 60 workers.

Run as `python -m benchmarks.fleet_at_size [--short]`; the last line of output is one JSON object. The real
decision code runs in simulated gateways (`rig/fleet.py`, `rig/simulation.py`) through four kinds of day: without
disturbance, with 70% of the gateways killed at once, with a zone of workers that hangs and restarts in slow start, and
with six in ten workers replaced within 7 s, of which each gateway learns up to 3 s late. Customers have quotas, and a
few request several times as much; the usage meter reports late.

The figure is the value inside quotas answered in time, less the cost of what went beyond quotas, divided by that of a
policy that sees the true state of every token bucket and queue. Each day is also played without the features meant for
many gateways: without worker subsets, and with local shares of quotas used however small they are.

Clients do not retry. Connections are counted as the highest number of attempts in flight for each gateway and worker.
Discovery calls are those of real watches on a loopback service that takes one call at a time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import statistics
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from benchmarks.planners import min_median_max
from micagate import Gateway, interface
from micagate.estimates import metering
from micagate.estimates.start_times import StartTimes
from oliveloft.discovery import policy as discovery_policy
from oliveloft.discovery.watch import DiscoveryWatch
from oliveloft.shared_types import DiscoveryUpdate
from rig.capacity import Capacity, Load
from rig.fake_servers import BusyDiscovery
from rig.fleet import EntryPoint, Fleet
from rig.simulation import Clock
from rig.traffic import PlanShape, TokenBucket

GATEWAY_COUNTS, DAY_KINDS = (4, 12, 40), ("quiet", "kill", "zone", "join")
# The grace period is that in which a draining worker may still receive requests.
WORKER_COUNT, REQUESTS_PER_SECOND, DRAIN_GRACE_SECONDS = 60, 280.0, 0.5
SLOW_START_SECONDS, OVERLOAD_SPAN_SECONDS, OVERLOAD_FACTOR, SLOW_START_MIN_FACTOR = 8.0, 3.0, 2.0, 0.25
WORKER_CAPACITY = Capacity(
    cores=2, speed=1 / 7, queue_limit=20, min_warm_up_factor=SLOW_START_MIN_FACTOR, warm_up_seconds=SLOW_START_SECONDS
)
PLAN = interface.Plan("p", rate=1.2, burst=5.0, excess_cost=0.8)
SETTINGS = interface.Settings(
    (
        interface.RequestClass("fetch", aim=1.0, deadline=4.0, importance=3.0),
        interface.RequestClass("file", aim=1.0, deadline=4.0, effect=interface.SIDE_EFFECT, importance=2.0),
    ),
    (PLAN,),
    zone="a",
    tick=0.004,
    max_attempts=4,
    can_cancel=True,
    meter_period=0.5,
    slow_start_min_factor=SLOW_START_MIN_FACTOR,
    slow_start_duration=SLOW_START_SECONDS,
    overload_factor=OVERLOAD_FACTOR,
    fall_time=OVERLOAD_SPAN_SECONDS,
)


@dataclass
class ReferencePolicy:
    """Reference policy that sees the true state: one token bucket per customer, and every worker's queue."""

    fleet: Fleet
    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Admit a request inside its quota and send it to the worker that would finish it first."""
        if isinstance(event, interface.Outcome) and not event.terminal:
            return [interface.Fail(event.request)]
        if not isinstance(event, interface.Request):
            return []
        bucket = self.buckets.setdefault(event.customer, TokenBucket(PlanShape(PLAN.rate, PLAN.burst), 0.0))
        if not bucket.take(now, 1):
            return [interface.Refuse(event.request)]
        finish_times = [
            (place.load.next_core_free_at(now) + 0.14 / place.load.warm_up_factor(now), name)
            for name, place in self.fleet.workers.items()
            if place.in_service and not place.unresponsive
        ]
        return [interface.Send(event.request, min(finish_times)[1])]


class Day:
    """Simulates one kind of day with one number of gateways under one policy.

    `policy` is "with" or "without" the features meant for many gateways, or "sees_all" for the reference policy.
    """

    def __init__(self, kind: str, gateways: int, seed: int, seconds: float, policy: str) -> None:
        self.kind, self.seconds, self.random, self.clock = kind, seconds, Random(seed), Clock()
        self.fleet = Fleet(
            self.clock, self.random, {f"w{n:02}": WORKER_CAPACITY for n in range(WORKER_COUNT)}, work_cv=0.8
        )
        self.policy, self.gateway_count, self.seed = policy, gateways, seed
        self.settings = replace(SETTINGS, gateways=gateways)
        self.gateways: list[Gateway | ReferencePolicy] = []
        self.entrances: list[EntryPoint] = []
        reference = ReferencePolicy(self.fleet)
        self.killed_gateways: set[int] = set()
        self.drain_notified_at: dict[tuple[int, str], float] = {}  # when a gateway was notified that a worker drains
        self.drain_breaks = self.throttle_activations = 0
        self.peak_in_flight: Counter[tuple[int, str]] = Counter()
        self.arrivals: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.loads: list[tuple[str, Load]] = []
        for n in range(gateways):
            gateway = reference if policy == "sees_all" else self._make_gateway(n, 0.0)
            self.gateways.append(gateway)
            entrance = EntryPoint(self.fleet, self._handle(n), self.settings, f"g{n}-")
            entrance.metered_use = self._metered_usage
            self.entrances.append(entrance)
        self.fleet.on_arrival = lambda now, name, work, done: self.arrivals[name].append(
            (now, work / WORKER_CAPACITY.speed)
        )
        self.fleet.send_update(whole=True)
        self.usage: dict[str, Counter[int]] = defaultdict(Counter)
        self.buckets: dict[str, TokenBucket] = {}
        self.sent_inside_quota: dict[str, float] = {}  # arrival times of requests sent inside their quotas
        self.excess_cost_total = self.answered_in_time = 0.0
        self.customers = [
            (f"c{n}", self.random.choices((0.25, 0.9, 3.0), (0.7, 0.2, 0.1))[0])
            for n in range(int(REQUESTS_PER_SECOND / (0.655 * PLAN.rate)))
        ]
        self.gateways_by_customer = {
            name: self.random.sample(range(gateways), max(1, math.ceil(0.75 * gateways))) for name, _ in self.customers
        }

    def _make_gateway(self, n: int, now: float) -> Gateway:
        number = n if self.policy == "with" else None
        return Gateway(replace(self.settings, number=number), self.seed * 100 + n + int(now), now)

    def _metered_usage(self, customer: str) -> float | None:
        period = int((self.clock.now - 0.8) / 0.5) - 1
        return self.usage[customer][period] / 0.5 / PLAN.rate if period >= 0 else None

    def _handle(self, n: int) -> Callable[[float, interface.Event], list[interface.Action]]:
        def handle(now: float, event: interface.Event) -> list[interface.Action]:
            gateway = self.gateways[n]
            was_active = isinstance(gateway, Gateway) and gateway.throttle.active
            actions = gateway.handle(now, event)
            if isinstance(event, interface.Outcome) and event.status == interface.SUCCESS:
                self.answered_in_time += (
                    now - self.sent_inside_quota.pop(event.request, -math.inf) <= SETTINGS.classes[0].aim
                )
            self.throttle_activations += isinstance(gateway, Gateway) and gateway.throttle.active and not was_active
            for action in actions:
                if isinstance(action, interface.Send):
                    self._record_send(n, now, action, event)
            return actions

        return handle

    def _record_send(self, n: int, now: float, action: interface.Send, event: interface.Event) -> None:
        key = n, action.worker
        self.peak_in_flight[key] = max(
            self.peak_in_flight[key],
            1 + sum(action.worker in attempts for attempts in self.entrances[n]._attempts.values()),
        )
        self.drain_breaks += now > self.drain_notified_at.get(key, math.inf) + DRAIN_GRACE_SECONDS
        if isinstance(event, interface.Request):
            customer = event.customer
            bucket = self.buckets.setdefault(customer, TokenBucket(PlanShape(PLAN.rate, PLAN.burst), 0.0))
            self.usage[customer][int(now / 0.5)] += 1
            if bucket.take(now, 1):
                self.sent_inside_quota[event.request] = now
            else:
                self.excess_cost_total += PLAN.excess_cost

    def _send_request(self) -> None:
        name, _ = self.random.choices(self.customers, [rate for _, rate in self.customers])[0]
        gateways = self.gateways_by_customer[name]
        weights = [(rank + 1) ** -0.9 for rank in range(len(gateways))]
        n = self.random.choices(gateways, weights)[0]
        if n in self.killed_gateways:
            n = self.random.choice(
                [other for other in gateways if other not in self.killed_gateways]
                or [other for other in range(self.gateway_count) if other not in self.killed_gateways]
            )
        klass = "fetch" if self.random.random() < 0.55 else "file"
        self.entrances[n].submit(klass, PLAN.name, name, spread=len(gateways))
        self.clock.after(self.random.expovariate(REQUESTS_PER_SECOND), self._send_request)

    def _notify_gateways(self, name: str, max_delay: float) -> None:
        """Notify each gateway of a worker's state, with a random delay of up to `max_delay` seconds beyond 0.1 s."""
        for n, entrance in enumerate(self.entrances):
            self.clock.after(self.random.uniform(0.1, 0.1 + max_delay), self._notify_gateway, n, entrance, name)

    def _notify_gateway(self, n: int, entrance: EntryPoint, name: str) -> None:
        entry = self.fleet.entry(name)
        if entry.state == interface.HEALTHY:
            self.drain_notified_at.pop((n, name), None)
        else:
            self.drain_notified_at[n, name] = self.clock.now
        entrance.dispatch(interface.WorkerList((entry,)), "")

    def _replace_worker(self, name: str) -> None:
        self.fleet.workers[name].in_service = False
        self._notify_gateways(name, 3.0)
        self.clock.after(4.0, self._start_worker, name)

    def _start_worker(self, name: str) -> None:
        place = self.fleet.workers[name]
        place.load = Load(WORKER_CAPACITY, started=self.clock.now)
        place.in_service, place.unresponsive = True, False
        self.arrivals[name] = []
        self.loads.append((name, place.load))
        self._notify_gateways(name, 3.0)

    def _kill_gateways(self) -> None:
        self.killed_gateways = set(self.random.sample(range(self.gateway_count), int(0.7 * self.gateway_count)))
        for n in self.killed_gateways:
            self.clock.after(2.0, self._restart_gateway, n)

    def _restart_gateway(self, n: int) -> None:
        if self.policy != "sees_all":
            self.gateways[n] = self._make_gateway(n, self.clock.now)
            self.entrances[n].dispatch(
                interface.WorkerList(tuple(map(self.fleet.entry, self.fleet.workers)), whole=True), ""
            )
        self.killed_gateways.discard(n)

    def play(self) -> Day:
        """Run the simulation and return this day."""
        names = sorted(self.fleet.workers)
        if self.kind == "kill":
            self.clock.at(4.0, self._kill_gateways)
        for index, name in enumerate(names):
            if self.kind == "join" and index % 5 < 3:
                self.clock.at(4.0 + self.random.uniform(0.0, 7.0), self._replace_worker, name)
            if self.kind == "zone" and self.fleet.workers[name].zone == "b":
                self.clock.at(4.0, setattr, self.fleet.workers[name], "unresponsive", True)
                self.clock.at(9.0, self._start_worker, name)
        self.clock.after(0.0, self._send_request)
        self.clock.run(self.seconds)
        return self

    def served(self) -> float:
        """Return the requests inside quotas answered in time, less the cost of those sent beyond quotas."""
        return self.answered_in_time - self.excess_cost_total

    def overloaded_cold_workers(self) -> int:
        """Return how many workers in slow start were overloaded.

        A worker counts if, over any span of `OVERLOAD_SPAN_SECONDS`, it was sent more work than `OVERLOAD_FACTOR` times
        its capacity at the start of the span.
        """
        overloaded = 0
        for name, load in self.loads:
            arrivals = self.arrivals[name]
            for index, (span_start, _) in enumerate(arrivals):
                work = sum(
                    seconds for arrived, seconds in arrivals[index:] if arrived < span_start + OVERLOAD_SPAN_SECONDS
                )
                limit = (
                    OVERLOAD_FACTOR * load.warm_up_factor(span_start) * WORKER_CAPACITY.cores * OVERLOAD_SPAN_SECONDS
                )
                if work > limit + 4 * 0.14:  # allows for four requests more, by chance
                    overloaded += 1
                    break
        return overloaded


def count_discovery_calls(gatekeepers: int, turns: bool) -> int:
    """Return how many discovery calls are made until every gatekeeper has received an update.

    The discovery service takes one call at a time. All gatekeepers start at the same instant. With `turns`, each
    knows the number of gatekeepers and its own number, so that calls are spread out.
    """
    service, updated = BusyDiscovery(0.004, 0.04), set[int]()
    usual_interval, discovery_policy.CALL_COST_SECONDS = discovery_policy.CALL_COST_SECONDS, 0.006

    def on_update(number: int) -> Callable[[DiscoveryUpdate], None]:
        return lambda update: updated.add(number)

    async def scenario() -> None:
        loop, address = asyncio.get_running_loop(), await service.start()
        watches = [
            DiscoveryWatch(
                loop,
                address,
                StartTimes(0.0),
                on_update(n),
                3 if turns else None,
                gatekeepers if turns else 1,
                n,
                seed=n,
            )
            for n in range(gatekeepers)
        ]
        for watch in watches:
            watch.start()
        for _ in range(1000):
            await asyncio.sleep(0.01)
            if len(updated) == gatekeepers:
                break
        for watch in watches:
            watch.stop()
        service.stop()

    asyncio.run(scenario())
    discovery_policy.CALL_COST_SECONDS = usual_interval
    return service.calls


def main() -> int:
    """Run the benchmark and print the figures; return 0 if every bound holds, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="use one seed and shorter days; ends within 45 s")
    short = parser.parse_args().short
    seeds, seconds, gateway_counts = (1, 9.0, GATEWAY_COUNTS) if short else (5, 24.0, GATEWAY_COUNTS)
    shares: dict[str, dict[int, list[float]]] = {
        name: {gateway_count: [] for gateway_count in gateway_counts} for name in ("with", "without")
    }
    activations: dict[str, list[float]] = {name: [] for name in shares}
    connects: dict[str, list[float]] = {name: [] for name in shares}
    cold_falls = drain_breaks = 0
    usual_minimum = metering.THIN_SHARE_REQUESTS
    for seed in range(seeds):
        for day_kind in DAY_KINDS:
            for gateway_count in gateway_counts:
                ideal = Day(day_kind, gateway_count, seed, seconds, "sees_all").play().served()
                for policy in shares:
                    metering.THIN_SHARE_REQUESTS = usual_minimum if policy == "with" else 0.0
                    day = Day(day_kind, gateway_count, seed, seconds, policy).play()
                    metering.THIN_SHARE_REQUESTS = usual_minimum
                    shares[policy][gateway_count].append(day.served() / ideal)
                    if gateway_count == GATEWAY_COUNTS[-1]:
                        connects[policy].append(sum(day.peak_in_flight.values()))
                        if day_kind == "quiet":
                            activations[policy].append(day.throttle_activations)
                    if policy == "with":
                        cold_falls, drain_breaks = (
                            cold_falls + day.overloaded_cold_workers(),
                            drain_breaks + day.drain_breaks,
                        )
                print(
                    f"{day_kind}, {gateway_count} gateways, seed {seed}: share of the reference policy "
                    f"{shares['with'][gateway_count][-1]:.3f} with, {shares['without'][gateway_count][-1]:.3f} without",
                    flush=True,
                )
    calls = {
        name: [float(count_discovery_calls(40, name == "with")) for _ in range(1 if short else 5)] for name in shares
    }
    figures = {
        **{
            f"served_{gateway_count}": {name: min_median_max(shares[name][gateway_count]) for name in shares}
            for gateway_count in gateway_counts
        },
        "list_calls": {name: min_median_max(calls[name]) for name in shares},
        "connects": {name: min_median_max(connects[name]) for name in shares},
        "cold_falls": cold_falls,
        "drain_breaks": drain_breaks,
        "controls_by_chance": {name: min_median_max(activations[name]) for name in shares},
        "ok": bool(
            not cold_falls
            and not drain_breaks
            and statistics.median(calls["with"]) <= 80
            and statistics.median(shares["with"][40]) > 0.95 * statistics.median(shares["without"][40])
        ),
    }
    print(json.dumps(figures))
    return 0 if figures["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
