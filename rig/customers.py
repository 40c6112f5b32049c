"""Simulates customers whose quotas are split over gatekeepers, and measures what the split costs.

First requests and client retries go to real `Quotas`, one for each gatekeeper, with a meter that reports late. The
units that they admit are compared with one token bucket that sees all requests. Workers are not simulated: each attempt
gets a response, but for the share `response_loss`, whose responses are written and never arrive; their gatekeeper
counts them as in flight until the latency objective has passed. Times are in seconds.

    python -m rig.customers [--gateways N] [--seeds N]
"""

from __future__ import annotations

import argparse
import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from micagate import interface
from micagate.accounts import Account
from micagate.quotas import Quotas
from rig.traffic import PlanShape, TokenBucket

KIND_SHARES = {"calm": 0.52, "full": 0.20, "heavy": 0.10, "spiky": 0.18}  # share of customers by kind of load
PLANS = (
    interface.Plan("small", rate=1.7, burst=7.0, excess_cost=0.8),
    interface.Plan("middle", rate=4.1, burst=14.0, concurrency_limit=2.0, excess_cost=1.2),
    interface.Plan(
        "large", rate=10.0, burst=18.0, ceiling_rate=25.0, ceiling_capacity=41.0, ceiling_slack=4.0, excess_cost=0.8
    ),
)
PLAN_INDEXES = (0,) * 12 + (1,) * 5 + (2,)  # index in the plans, for each of eighteen customers in turn
AIM_SECONDS, DEADLINE_SECONDS = 0.33, 1.76
RESPONSE_LOST, ATTEMPT_EXPIRED = -1, -2  # in place of an attempt's number: lost, and no longer in flight


@dataclass(frozen=True)
class Scenario:
    """Parameters of a simulated day; times are in seconds, the rest shares and counts."""

    gateways: int = 4
    customers: int = 90
    seconds: float = 22.0
    skew: float = 1.0  # exponent of a customer's weights of its gatekeepers; 0: even weights
    weights_change_interval: float = 12.0  # mean time between changes of those weights
    follows_advice: float = 0.3  # share of rejections whose retry advice is followed; the others retry at once
    retry_elsewhere: float = 0.03  # share of retries that go to another gatekeeper of the customer
    meter_delay: float = 0.8  # from the end of a meter period to the first reading of it
    meter_period: float = 0.5  # length of a meter period
    response_loss: float = 0.0  # share of attempts whose responses never arrive
    plans: tuple[interface.Plan, ...] = PLANS
    max_units: int = 1  # maximum units of a request; uniform from 1
    mark_retries: bool = True  # whether retries are marked as such
    retry_delay: float = 0.002  # delay of a client retry, beside the advised delay
    max_attempts: int = 3  # maximum number of times that a client sends a request
    meter: bool = True  # without one, local shares of quotas decide alone
    # If set, replaces the decisions of `Quotas`: each gatekeeper sees the true balance of so many seconds ago, and what
    # it admitted itself since then.
    global_view_delay: float | None = None
    kind_shares: tuple[tuple[str, float], ...] = tuple(KIND_SHARES.items())


def scenario_for(gateways: int) -> Scenario:
    """Return a day with so many gatekeepers, and enough customers for them."""
    return Scenario(gateways=gateways, customers=max(90, 18 * gateways))


@dataclass
class Customer:
    """A customer, with the token bucket that sees all its requests, and the meter's counts by period."""

    name: str
    kind: str
    plan: interface.Plan
    first_gateway: int
    weights: list[tuple[float, list[float]]]  # weights of its gatekeepers, with the time from which they hold
    bucket: TokenBucket
    in_flight: int = 0
    # Time, balance and attempts in flight after each change.
    history: list[tuple[float, float, int]] = field(default_factory=list)
    sent: list[tuple[float, int, int]] = field(default_factory=list)  # time, gateway, units
    metered_units: dict[int, int] = field(default_factory=lambda: defaultdict(int))

    def gateway(self, now: float, random: Random, gateways: int) -> int:
        """Choose the gateway of a request."""
        weights = next(w for since, w in reversed(self.weights) if since <= now)
        return (self.first_gateway + random.choices(range(len(weights)), weights)[0]) % gateways

    def appears_to_have_room(self, now: float, delay: float, gateway: int, units: int) -> bool:
        """Whether the quota has room by the view of a gateway that knows an old state and its own attempts since."""
        seen_at = now - delay
        updated_at, level, in_flight = next(
            (p for p in reversed(self.history) if p[0] <= seen_at), (0.0, self.plan.burst, 0)
        )
        sent_since = [sent for at, where, sent in reversed(self.sent[-64:]) if at > seen_at and where == gateway]
        level = min(self.plan.burst, level + (now - updated_at) * self.plan.rate) - sum(sent_since)
        return level >= units and (
            not self.plan.concurrency_limit or in_flight + len(sent_since) < self.plan.concurrency_limit
        )

    def record_state(self, now: float) -> None:
        """Record the current state for gateways that see it with a delay."""
        self.history.append((now, self.bucket.refill(now), self.in_flight))

    def has_room(self, now: float, units: int) -> bool:
        """Whether the whole quota has room for a request of so many units now."""
        return self.bucket.refill(now) >= units and (
            not self.plan.concurrency_limit or self.in_flight < self.plan.concurrency_limit
        )


@dataclass
class KindTotals:
    """Totals of one kind of customer, in units or in the plans' prices."""

    offered: int = 0  # first requests that one bucket that sees them all admits
    served: int = 0  # within the whole quota and the latency objective
    over_quota: int = 0  # admitted beyond the whole quota
    revenue_offered: float = 0.0  # price of the offered units
    revenue_served: float = 0.0  # price of the served units
    cost: float = 0.0  # excess cost of the units admitted beyond the quota, less their revenue
    units_requested: int = 0
    refused_with_room: int = 0  # units rejected while the whole bucket was at least half full


def full_bucket(plan: interface.Plan) -> TokenBucket:
    """Return a full token bucket of the whole quota."""
    return TokenBucket(PlanShape(plan.rate, plan.burst), 0.0)


def arrivals(random: Random, scenario: Scenario, kind: str, rate: float) -> list[float]:
    """Return the times of a customer's first requests: a steady Poisson process, or one with spikes."""
    low, high = {"calm": (0.16, 0.36), "full": (0.8, 1.0), "heavy": (1.9, 4.3), "spiky": (0.16, 0.36)}[kind]
    base_load, spikes, at = random.uniform(low, high), [], random.uniform(0.0, 18.0)
    while kind == "spiky" and at < scenario.seconds:
        end = at + random.uniform(0.6, 3.6)
        spikes.append((at, end, random.uniform(2.6, 7.3)))
        at = end + random.uniform(11.0, 25.0)
    times, now = [], 0.0
    while now < scenario.seconds:
        load = next((x for a, b, x in spikes if a <= now < b), base_load)
        next_change = min((t for a, b, _ in spikes for t in (a, b) if t > now), default=math.inf)
        step = random.expovariate(load * rate)
        now = min(now + step, next_change)
        if now < next_change and now < scenario.seconds:
            times.append(now)
    return times


def play(scenario: Scenario, seed: int) -> dict[str, KindTotals]:
    """Simulate a day; return the totals by kind of customer."""
    random = Random(seed)
    quotas_by_gateway = [
        Quotas(-60.0, meter_period=scenario.meter_period if scenario.meter else 0.0) for _ in range(scenario.gateways)
    ]
    customers, totals = [], {kind: KindTotals() for kind in KIND_SHARES}
    queue: list[tuple[float, int, Customer, float, int, int, Account | None, bool, int]] = []
    for number in range(scenario.customers):
        plan, kind_name = (
            scenario.plans[PLAN_INDEXES[number % 18]],
            random.choices(*zip(*scenario.kind_shares, strict=True))[0],
        )
        spread = random.randint(max(1, scenario.gateways // 2), scenario.gateways)
        even = [(rank + 1) ** -scenario.skew for rank in range(spread)]
        weights, since = [(0.0, random.sample(even, spread))], random.uniform(0.0, scenario.weights_change_interval)
        while since < scenario.seconds:
            weights.append((since, random.sample(even, spread)))
            since += random.uniform(0.6, 1.4) * scenario.weights_change_interval
        customer = Customer(
            f"c{number}", kind_name, plan, random.randrange(scenario.gateways), weights, full_bucket(plan)
        )
        customers.append(customer)
        ideal = full_bucket(plan)
        for now in arrivals(random, scenario, kind_name, plan.rate / ((1 + scenario.max_units) / 2)):
            units = random.randint(1, scenario.max_units) if scenario.max_units > 1 else 1
            offered = units * ideal.take(now, units)
            totals[kind_name].offered += offered
            totals[kind_name].revenue_offered += offered * plan.price
            queue.append(
                (
                    now,
                    len(queue),
                    customer,
                    now,
                    0,
                    customer.gateway(now, random, scenario.gateways),
                    None,
                    False,
                    units,
                )
            )
    heapq.heapify(queue)
    sequence = len(queue)
    while queue:
        now, _, customer, started, attempt, gateway_index, account, within_quota, units = heapq.heappop(queue)
        kind_totals, quotas, sequence = totals[customer.kind], quotas_by_gateway[gateway_index], sequence + 1
        spread = len(customer.weights[0][1])
        if account is not None:  # a response, or the end of the wait for one
            customer.in_flight -= attempt != ATTEMPT_EXPIRED
            if scenario.global_view_delay is not None:
                customer.record_state(now)
            account.in_flight -= attempt != RESPONSE_LOST
            if attempt in (RESPONSE_LOST, ATTEMPT_EXPIRED):
                continue
            period = int((now - scenario.meter_delay) / scenario.meter_period) - 1
            if period >= 0:
                account.record_reading(
                    now, customer.metered_units[period] / scenario.meter_period / customer.plan.rate, quotas.meter
                )
            in_time = within_quota and now - started <= AIM_SECONDS + (scenario.max_attempts - 1) * scenario.retry_delay
            kind_totals.served += units * in_time
            kind_totals.revenue_served += units * in_time * customer.plan.price
            continue
        kind_totals.units_requested += units
        account = quotas.account(now, customer.name, customer.plan, spread)
        quotas.record_demand(
            account,
            interface.Request(
                "r", "k", customer.plan.name, customer.name, 1.0, units, spread, scenario.mark_retries and attempt > 0
            ),
        )
        has_room = customer.has_room(now, units)
        allowed = (
            quotas.is_within_quota(account, units, False) and quotas.ceiling_allows(account, units, False)
            if scenario.global_view_delay is None
            else customer.appears_to_have_room(now, scenario.global_view_delay, gateway_index, units)
        )
        if allowed:
            quotas.spend(account, units, True)
            account.in_flight += 1
            customer.in_flight += 1
            customer.metered_units[int(now / scenario.meter_period)] += units
            if has_room:
                customer.bucket.take(now, units)
            kind_totals.over_quota += units * (not has_room)
            kind_totals.cost += (
                units
                * (not has_room)
                * customer.plan.price
                * (customer.plan.excess_cost - customer.plan.excess_revenue)
            )
            if scenario.global_view_delay is not None:
                customer.sent.append((now, gateway_index, units))
                customer.record_state(now)
            response_lost = random.random() < scenario.response_loss
            end = now + random.uniform(0.02, 0.06)
            heapq.heappush(
                queue,
                (
                    end,
                    sequence,
                    customer,
                    started,
                    RESPONSE_LOST if response_lost else attempt,
                    gateway_index,
                    account,
                    has_room,
                    units,
                ),
            )
            if response_lost:
                sequence += 1
                heapq.heappush(
                    queue,
                    (
                        now + AIM_SECONDS,
                        sequence,
                        customer,
                        started,
                        ATTEMPT_EXPIRED,
                        gateway_index,
                        account,
                        has_room,
                        units,
                    ),
                )
        else:
            kind_totals.refused_with_room += units * (has_room and customer.bucket.level >= customer.plan.burst / 2)
            wait = 0.2 * AIM_SECONDS * random.uniform(0.5, 1.0) if random.random() < scenario.follows_advice else 0.0
            if attempt + 1 < scenario.max_attempts and now + wait - started < DEADLINE_SECONDS:
                if random.random() < scenario.retry_elsewhere:
                    gateway_index = customer.gateway(now, random, scenario.gateways)
                heapq.heappush(
                    queue,
                    (
                        now + wait + scenario.retry_delay,
                        sequence,
                        customer,
                        started,
                        attempt + 1,
                        gateway_index,
                        None,
                        False,
                        units,
                    ),
                )
    return totals


def total(days: list[dict[str, KindTotals]], *kinds: str) -> dict[str, float]:
    """Return shares: served and over-quota units of those offered, units refused with room of those requested."""
    selected = [day_totals[kind] for day_totals in days for kind in kinds or KIND_SHARES]
    offered = max(1, sum(k.offered for k in selected))
    return {
        "served": sum(k.served for k in selected) / offered,
        "over": sum(k.over_quota for k in selected) / offered,
        "refused_with_room": sum(k.refused_with_room for k in selected)
        / max(1, sum(k.units_requested for k in selected)),
    }


def main() -> None:
    """Print what splitting the quotas costs, by kind of customer."""
    parser = argparse.ArgumentParser(prog="python -m rig.customers", description=main.__doc__)
    parser.add_argument("--gateways", type=int, default=4, help="gatekeepers (default %(default)s)")
    parser.add_argument("--seeds", type=int, default=8, help="days simulated (default %(default)s)")
    options = parser.parse_args()
    days = [play(scenario_for(options.gateways), seed) for seed in range(options.seeds)]
    for kinds in (*((kind,) for kind in KIND_SHARES), ()):
        figures = "  ".join(f"{name} {value:.3f}" for name, value in total(days, *kinds).items())
        print(f"{', '.join(kinds) or 'all':6} {figures}")


if __name__ == "__main__":
    main()
