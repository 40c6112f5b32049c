"""Simulates counting without sockets: many gateways on one slow counter, and ceilings while the counter fails."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from random import Random

from micagate import interface
from micagate.accounts import Account
from micagate.counting.budget import CounterCallLimit
from micagate.counting.counting import QuotaCounter
from rig.counting import CounterService

CALL_TIMEOUT_SECONDS, ROUND_TRIP_SECONDS = 0.03, 0.004  # of a call to the counter
READ_CLASS = interface.RequestClass("read", aim=0.4, deadline=1.0)
CEILING_PLAN = interface.Plan(
    "team", rate=2.0, burst=4.0, excess_cost=1.0, ceiling_rate=4.0, ceiling_capacity=10.0, ceiling_slack=1.0
)


@dataclass(frozen=True, slots=True)
class CounterLoadResult:
    """Calls of all gateways in the second half of a run, those answered in time, and when the fleet settled."""

    calls: int
    answered_in_time: int
    settled_after_seconds: float


def simulate_counter_overload(
    rate: float, request_rate: float = 400.0, gateways: int = 40, seconds: float = 20.0, seed: int = 3
) -> CounterLoadResult:
    """Simulate gateways that all start at once, with `request_rate` requests per second over all of them.

    Each gateway's budget level decides which requests are counted by a counter that processes `rate` calls per second.
    The fleet has settled at the first second in which at least 90% of the calls are answered in time.
    """
    service, random = CounterService(rate, max_wait_seconds=2 * CALL_TIMEOUT_SECONDS), Random(seed)
    budgets = [CounterCallLimit(0.0, 2.0, CALL_TIMEOUT_SECONDS, Random(n)) for n in range(gateways)]
    waiting: list[tuple[float, int, float, bool, CounterCallLimit]] = []  # when the result is known, and which
    calls, answered = [0] * int(seconds), [0] * int(seconds)
    for n in range(int(request_rate * seconds)):
        now = n / request_rate
        while waiting and waiting[0][0] <= now:
            when, _, took, late, budget = heapq.heappop(waiting)
            if late:
                budget.record_response(when, interface.LATE_RESPONSE, took)
            else:
                budget.record_response(
                    when, interface.SUCCESS if took < CALL_TIMEOUT_SECONDS else interface.TIMED_OUT, took
                )
                answered[min(int(when), int(seconds) - 1)] += took < CALL_TIMEOUT_SECONDS
        budget = random.choice(budgets)
        if 2 * random.random() < budget.level and budget.may_call(now):
            calls[int(now)] += 1
            due = service.accept(now, "x")
            if due is None:
                budget.record_response(now, interface.OVERLOADED, 0.0)
                continue
            took = due + ROUND_TRIP_SECONDS - now
            heapq.heappush(
                waiting, (now + min(took, CALL_TIMEOUT_SECONDS), n, min(took, CALL_TIMEOUT_SECONDS), False, budget)
            )
            if took > CALL_TIMEOUT_SECONDS:
                heapq.heappush(waiting, (now + took, n, took, True, budget))
    half = int(seconds) // 2
    settled_after_seconds = next((s for s in range(int(seconds)) if answered[s] >= 0.9 * calls[s]), int(seconds))
    return CounterLoadResult(sum(calls[half:]), sum(answered[half:]), float(settled_after_seconds))


def simulate_ceiling_overspend(
    seed: int, gateways: int, seconds: float = 30.0, count_before_sending: bool = True
) -> float:
    """Return by how many units a customer exceeds its ceiling while the counter fails to answer or loses its totals.

    The customer sends without pause. With `count_before_sending` False, requests are sent to workers
    before they are counted.
    """
    random, service = Random(seed), CounterService()
    plan = replace(CEILING_PLAN, ceiling_capacity=2 * CEILING_PLAN.burst + gateways)
    counters = [
        QuotaCounter(
            interface.Settings((READ_CLASS,), (plan,), gateways, n, counter_timeout=CALL_TIMEOUT_SECONDS),
            0.0,
            0.0,
            Random(n),
        )
        for n in range(gateways)
    ]
    accounts = [Account(plan, "c/team/x", gateways, 0.0, 0.0) for _ in range(gateways)]
    for counting in counters:
        counting.budget.max_level = 1.0
    level = lowest_level = plan.ceiling_capacity
    updated_at, lost_keys_at = 0.0, -9.0
    for n in range(int(seconds * 100)):
        now = n * 0.01
        level, updated_at = min(plan.ceiling_capacity, level + (now - updated_at) * plan.ceiling_rate), now
        if now - lost_keys_at > 4.0 and random.random() < 0.005:
            lost_keys_at = now
            service.drop_keys()
        unresponsive = n % 1000 > 600 and random.random() < 0.9
        number = random.randrange(gateways)
        counting, account, allowed = counters[number], accounts[number], False
        if counting.should_count(now, account) and now >= account.ceiling_full_until:
            counting.count(now, account, 1.0, "r")
            allowed = not count_before_sending
            while counting.actions:
                call = counting.actions.pop(0)
                total = service.add(now, str(call.name), call.amount, call.ttl)
                verdict = counting.record_result(
                    now,
                    interface.CounterResult(
                        call.name, interface.TIMED_OUT if unresponsive else interface.SUCCESS, total, ROUND_TRIP_SECONDS
                    ),
                )
                allowed = allowed or verdict is not None and verdict.within_quota is True
                unresponsive = False
        if not allowed and account.counter_unresponsive_since is not None and account.ceiling_balance >= 1.0:
            account.ceiling_balance -= 1.0
            allowed = True
        if allowed:
            level -= 1.0
            lowest_level = min(lowest_level, level)
    return max(0.0, -lowest_level)
