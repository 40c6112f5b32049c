"""Customers over gatekeepers that hold parts of their quotas: what is lost because the parts are parts.

Plays first tries and clients' repeats against real `Quotas`, one for each gatekeeper, with a meter that tells
late, and holds what they let in against one store that sees all, in units. Workers are no matter here: each attempt is
answered, unless `lost` of them, whose answers are written and never come: their gatekeeper counts them as out up to the
aim. Times in seconds.

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
from rig.traffic import PlanShape, Store

KIND_SHARES = {"calm": 0.52, "full": 0.20, "heavy": 0.10, "spiky": 0.18}  # shares of the customers
PLANS = (
    interface.Plan("small", rate=1.7, burst=7.0, excess_cost=0.8),
    interface.Plan("middle", rate=4.1, burst=14.0, concurrency_limit=2.0, excess_cost=1.2),
    interface.Plan(
        "large", rate=10.0, burst=18.0, ceiling_rate=25.0, ceiling_capacity=41.0, ceiling_slack=4.0, excess_cost=0.8
    ),
)
PLAN_INDEXES = (0,) * 12 + (1,) * 5 + (2,)  # of eighteen customers in a row
AIM_SECONDS, DEADLINE_SECONDS = 0.33, 1.76
RESPONSE_LOST, ATTEMPT_EXPIRED = -1, -2  # for an attempt's number: its answer was written and lost; it counts no more


@dataclass(frozen=True)
class Day:
    """What a day is like."""

    gateways: int = 4
    customers: int = 90
    seconds: float = 22.0
    skew: float = 1.0  # of a customer's weights on its gatekeepers: 0 is even
    moves: float = 12.0  # between changes of those weights
    patient: float = 0.3  # share of the refusals whose advice is followed; the others repeat at once
    elsewhere: float = 0.03  # share of the repeats that go to another gatekeeper of the set
    late: float = 0.8  # from the end of the meter's period to its first reading
    period: float = 0.5  # of the meter
    lost: float = 0.0  # share of the attempts whose answers never come
    plans: tuple[interface.Plan, ...] = PLANS
    units: int = 1  # the most that a try counts; all up to it are as frequent
    marked: bool = True  # whether repeats are marked
    wait: float = 0.002  # before a repeat, beside what was advised
    tries: int = 3
    meter: bool = True  # without one, parts of quotas decide alone
    # In place of the gatekeepers' own decisions: each sees the whole store as it was so long ago, and its own sends.
    sees: float | None = None
    mix: tuple[tuple[str, float], ...] = tuple(KIND_SHARES.items())


def wide(gateways: int) -> Day:
    """A day of so many gatekeepers, with customers for them."""
    return Day(gateways=gateways, customers=max(90, 18 * gateways))


@dataclass
class Customer:
    """One customer, with the store that sees all its tries and the meter's counts by period."""

    name: str
    kind: str
    plan: interface.Plan
    first_gateway: int
    weights: list[tuple[float, list[float]]]  # from when on
    bucket: Store
    in_flight: int = 0
    history: list[tuple[float, float, int]] = field(default_factory=list)  # after each send or end: store, and out
    sent: list[tuple[float, int, int]] = field(default_factory=list)  # sends: when, from where, units
    metered_units: dict[int, int] = field(default_factory=lambda: defaultdict(int))

    def gateway(self, now: float, random: Random, gateways: int) -> int:
        """Where a try goes."""
        weights = next(w for since, w in reversed(self.weights) if since <= now)
        return (self.first_gateway + random.choices(range(len(weights)), weights)[0]) % gateways

    def appears_to_have_room(self, now: float, delay: float, gateway: int, units: int) -> bool:
        """Whether it would seem to have room at a gateway that sees what was true so long ago, and its own sends."""
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
        """Keep what is true now for those that see it later."""
        self.history.append((now, self.bucket.fill(now), self.in_flight))

    def has_room(self, now: float, units: int) -> bool:
        """Whether the whole quota has room for one more try of so many units now."""
        return self.bucket.fill(now) >= units and (
            not self.plan.concurrency_limit or self.in_flight < self.plan.concurrency_limit
        )


@dataclass
class KindTotals:
    """What became of one kind's tries, in units."""

    offered: int = 0  # first tries that one store that sees them all lets in
    served: int = 0  # inside the whole quota, within the aim
    over_quota: int = 0  # let in beyond the whole quota
    worth: float = 0.0  # of what is offered, and of what is served, by the plans' prices
    earned: float = 0.0
    cost: float = 0.0  # of what is let in beyond the quota, less what that earns
    units_requested: int = 0
    refused_with_room: int = 0  # with half of the whole store or more unused


def full_bucket(plan: interface.Plan) -> Store:
    """A full store of the whole quota."""
    return Store(PlanShape(plan.rate, plan.burst), 0.0)


def arrivals(random: Random, scenario: Day, kind: str, rate: float) -> list[float]:
    """The times of a customer's first tries: steady, or with spikes."""
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


def play(scenario: Day, seed: int) -> dict[str, KindTotals]:
    """Play a day; what became of the tries, by kind of customer."""
    random = Random(seed)
    quotas_by_gateway = [
        Quotas(-60.0, period=scenario.period if scenario.meter else 0.0) for _ in range(scenario.gateways)
    ]
    customers, totals = [], {kind: KindTotals() for kind in KIND_SHARES}
    queue: list[tuple[float, int, Customer, float, int, int, Account | None, bool, int]] = []
    for number in range(scenario.customers):
        plan, kind_name = scenario.plans[PLAN_INDEXES[number % 18]], random.choices(*zip(*scenario.mix, strict=True))[0]
        spread = random.randint(max(1, scenario.gateways // 2), scenario.gateways)
        even = [(rank + 1) ** -scenario.skew for rank in range(spread)]
        weights, since = [(0.0, random.sample(even, spread))], random.uniform(0.0, scenario.moves)
        while since < scenario.seconds:
            weights.append((since, random.sample(even, spread)))
            since += random.uniform(0.6, 1.4) * scenario.moves
        customer = Customer(
            f"c{number}", kind_name, plan, random.randrange(scenario.gateways), weights, full_bucket(plan)
        )
        customers.append(customer)
        ideal = full_bucket(plan)
        for now in arrivals(random, scenario, kind_name, plan.rate / ((1 + scenario.units) / 2)):
            units = random.randint(1, scenario.units) if scenario.units > 1 else 1
            offered = units * ideal.take(now, units)
            totals[kind_name].offered += offered
            totals[kind_name].worth += offered * plan.price
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
        if account is not None:  # an answer, or the end of waiting for one
            customer.in_flight -= attempt != ATTEMPT_EXPIRED
            if scenario.sees is not None:
                customer.record_state(now)
            account.in_flight -= attempt != RESPONSE_LOST
            if attempt in (RESPONSE_LOST, ATTEMPT_EXPIRED):
                continue
            period = int((now - scenario.late) / scenario.period) - 1
            if period >= 0:
                account.record_reading(
                    now, customer.metered_units[period] / scenario.period / customer.plan.rate, quotas.meter
                )
            in_time = within_quota and now - started <= AIM_SECONDS + (scenario.tries - 1) * scenario.wait
            kind_totals.served += units * in_time
            kind_totals.earned += units * in_time * customer.plan.price
            continue
        kind_totals.units_requested += units
        account = quotas.account(now, customer.name, customer.plan, spread)
        quotas.record_demand(
            account,
            interface.Request(
                "r", "k", customer.plan.name, customer.name, 1.0, units, spread, scenario.marked and attempt > 0
            ),
        )
        has_room = customer.has_room(now, units)
        allowed = (
            quotas.is_within_quota(account, units, False) and quotas.ceiling_allows(account, units, False)
            if scenario.sees is None
            else customer.appears_to_have_room(now, scenario.sees, gateway_index, units)
        )
        if allowed:
            quotas.spend(account, units, True)
            account.in_flight += 1
            customer.in_flight += 1
            customer.metered_units[int(now / scenario.period)] += units
            if has_room:
                customer.bucket.take(now, units)
            kind_totals.over_quota += units * (not has_room)
            kind_totals.cost += (
                units
                * (not has_room)
                * customer.plan.price
                * (customer.plan.excess_cost - customer.plan.excess_revenue)
            )
            if scenario.sees is not None:
                customer.sent.append((now, gateway_index, units))
                customer.record_state(now)
            response_lost = random.random() < scenario.lost
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
            wait = 0.2 * AIM_SECONDS * random.uniform(0.5, 1.0) if random.random() < scenario.patient else 0.0
            if attempt + 1 < scenario.tries and now + wait - started < DEADLINE_SECONDS:
                if random.random() < scenario.elsewhere:
                    gateway_index = customer.gateway(now, random, scenario.gateways)
                heapq.heappush(
                    queue,
                    (
                        now + wait + scenario.wait,
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
    """Served and over as shares of what was offered, and refused with room as a share of the tries."""
    selected = [day_totals[kind] for day_totals in days for kind in kinds or KIND_SHARES]
    offered = max(1, sum(k.offered for k in selected))
    return {
        "served": sum(k.served for k in selected) / offered,
        "over": sum(k.over_quota for k in selected) / offered,
        "refused_with_room": sum(k.refused_with_room for k in selected)
        / max(1, sum(k.units_requested for k in selected)),
    }


def main() -> None:
    """Print what parts lose, by kind of customer."""
    parser = argparse.ArgumentParser(prog="python -m rig.customers", description=main.__doc__)
    parser.add_argument("--gateways", type=int, default=4, help="gatekeepers (default %(default)s)")
    parser.add_argument("--seeds", type=int, default=8, help="days played (default %(default)s)")
    options = parser.parse_args()
    days = [play(wide(options.gateways), seed) for seed in range(options.seeds)]
    for kinds in (*((kind,) for kind in KIND_SHARES), ()):
        figures = "  ".join(f"{name} {value:.3f}" for name, value in total(days, *kinds).items())
        print(f"{', '.join(kinds) or 'all':6} {figures}")


if __name__ == "__main__":
    main()
