"""Counting without sockets: many gateways on one counter that bears little, and ceilings while it fails."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from random import Random

from micagate import interface
from micagate.accounts import Account
from micagate.counting.budget import Budget
from micagate.counting.counting import Counting
from rig.counting import Service

WAIT, WAY = 0.03, 0.004  # seconds: how long a call is waited for, and the way there and back
READ = interface.RequestClass("read", aim=0.4, deadline=1.0)
HELD = interface.Plan(
    "team", rate=2.0, burst=4.0, excess_cost=1.0, ceiling_rate=4.0, ceiling_capacity=10.0, ceiling_slack=1.0
)


@dataclass(frozen=True, slots=True)
class Borne:
    """What became of the calls of a fleet: those made and answered in time after it had settled, and when it had."""

    asked: int
    answered: int
    settles: float


def crowd(rate: float, tries: float = 400.0, gateways: int = 40, seconds: float = 20.0, seed: int = 3) -> Borne:
    """All begin in one instant, `tries` a second over all; the level says which of them are asked of a counter that
    works `rate` calls a second off. Settled: the first second from which nine in ten are answered in it."""
    service, draw = Service(rate, queue=2 * WAIT), Random(seed)
    fleet = [Budget(0.0, 2.0, WAIT, Random(n)) for n in range(gateways)]
    waiting: list[tuple[float, int, float, bool, Budget]] = []  # when it is heard of, and how
    asked, answered = [0] * int(seconds), [0] * int(seconds)
    for n in range(int(tries * seconds)):
        now = n / tries
        while waiting and waiting[0][0] <= now:
            when, _, took, late, budget = heapq.heappop(waiting)
            if late:
                budget.heard(when, interface.LATE_RESPONSE, took)
            else:
                budget.heard(when, interface.SUCCESS if took < WAIT else interface.TIMED_OUT, took)
                answered[min(int(when), int(seconds) - 1)] += took < WAIT
        budget = draw.choice(fleet)
        if 2 * draw.random() < budget.level and budget.may(now):
            asked[int(now)] += 1
            due = service.accept(now, "x")
            if due is None:
                budget.heard(now, interface.OVERLOADED, 0.0)
                continue
            took = due + WAY - now
            heapq.heappush(waiting, (now + min(took, WAIT), n, min(took, WAIT), False, budget))
            if took > WAIT:
                heapq.heappush(waiting, (now + took, n, took, True, budget))
    half = int(seconds) // 2
    settles = next((s for s in range(int(seconds)) if answered[s] >= 0.9 * asked[s]), int(seconds))
    return Borne(sum(asked[half:]), sum(answered[half:]), float(settles))


def ceiling(seed: int, gateways: int, seconds: float = 30.0, before: bool = True) -> float:
    """How far below nothing a ceiling's store goes, in units, for a customer that asks without end, while the counter
    leaves calls unanswered or forgets. `before` false: tries are sent on before they are counted."""
    draw, service = Random(seed), Service()
    held = replace(HELD, ceiling_capacity=2 * HELD.burst + gateways)
    fleet = [
        Counting(interface.Settings((READ,), (held,), gateways, n, counter_timeout=WAIT), 0.0, 0.0, Random(n))
        for n in range(gateways)
    ]
    accounts = [Account(held, "c/team/x", gateways, 0.0, 0.0) for _ in range(gateways)]
    for one in fleet:
        one.budget.most = 1.0
    level = least = held.ceiling_capacity
    at, lost = 0.0, -9.0
    for n in range(int(seconds * 100)):
        now = n * 0.01
        level, at = min(held.ceiling_capacity, level + (now - at) * held.ceiling_rate), now
        if now - lost > 4.0 and draw.random() < 0.005:
            lost = now
            service.forget()
        silent = n % 1000 > 600 and draw.random() < 0.9
        number = draw.randrange(gateways)
        one, account, goes = fleet[number], accounts[number], False
        if one.counts(now, account) and now >= account.ceiling_full_until:
            one.ask(now, account, 1.0, "r")
            goes = not before
            while one.actions:
                call = one.actions.pop(0)
                total = service.add(now, str(call.name), call.amount, call.ttl)
                verdict = one.answered(
                    now,
                    interface.CounterResult(
                        call.name, interface.TIMED_OUT if silent else interface.SUCCESS, total, WAY
                    ),
                )
                goes = goes or verdict is not None and verdict.inside is True
                silent = False
        if not goes and account.counter_unresponsive_since is not None and account.ceiling_balance >= 1.0:
            account.ceiling_balance -= 1.0
            goes = True
        if goes:
            level -= 1.0
            least = min(least, level)
    return max(0.0, -least)
