"""What a gateway keeps for its next life beside marks and facts: rows of plain values, some at a time, and back.

At most a second old when power goes. Nothing of it decides on its own: how much is believed is `recovery_policy`'s.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from itertools import islice
from typing import Any

from micagate.accounts import Account
from micagate.gateway import RETRY_DEPTH, Gateway
from micagate.recovery.recovery_policy import UNSAVED, Case, Disk, Kind, Way, judge
from micagate.recovery.slow_start import load

ACCOUNT, CORE, WORKER = "account", "core", "worker"
SPAN = 1.0  # seconds in which all that changed is written
NAMES = 1000  # customers looked at in one step
STEADY = 0.2  # weight of a second in what is served usually (ours)
ROWS = 200  # rows made in one step, of each kind: 2,000 customers a second; of more than that some are older

Row = tuple[str, str, Any]


class Walk:
    """Goes over what changed, a few rows at each step, so that all of it is at most `SPAN` old."""

    def __init__(self, gateway: Gateway, now: float) -> None:
        self._gateway = gateway
        self._since = self._last = now
        self._changed: dict[str, float] = {}  # customers who asked, and since when that is not written
        self._workers: list[str] = []
        self._core = now
        self.pace = 0.0  # served a second, smoothed: what two seconds showed is off by a fifth by chance
        self._paces = 0

    def step(self, now: float, whole: bool = True) -> list[Row]:
        """The next rows, of customers only if they are kept. Times in them are on the caller's clock."""
        table, rows = self._gateway.quotas.accounts, list[Row]()
        for queue in table.queues if whole else ():
            for key in islice(reversed(queue), NAMES):  # by last use
                if queue[key].updated_at < self._since:
                    break
                self._changed.setdefault(key, now)
        passed, self._since = max(0.0, now - self._since), now
        # Evenly over the time that is left for the oldest.
        left = next(iter(self._changed.values()), now) + SPAN - now
        share = min(1.0, passed / left) if left > 0 else 1.0
        for key in list(islice(self._changed, min(ROWS, math.ceil(len(self._changed) * share)))):
            del self._changed[key]
            if (account := table.get(key)) is not None:
                rows.append((ACCOUNT, key, account_row(account)))
        if now - self._core >= SPAN:
            self._core = now
            self._smooth(now)
            rows.append((CORE, "", core(self._gateway, now, self.pace)))
            self._workers = list(self._gateway.fleet.workers)
        names, self._workers = self._workers[:ROWS], self._workers[ROWS:]
        for name in names:
            rows.append((WORKER, name, worker_row(self._gateway, now, name)))
        return rows

    def _smooth(self, now: float) -> None:
        """Control lets through what it has learned, not what is asked: only what was served without it counts."""
        if not self._gateway.throttle.active:
            self._paces += 1
            self.pace += max(STEADY, 1 / self._paces) * (served(self._gateway, now) - self.pace)

    def all(self, now: float) -> list[Row]:
        """What is left, at a planned end."""
        rows = [
            (ACCOUNT, key, account_row(account))
            for key in self._changed
            if (account := self._gateway.quotas.accounts.get(key)) is not None
        ]
        return [*rows, (CORE, "", core(self._gateway, now, self.pace))]


def account_row(a: Account) -> list[float]:
    """An account's stores and what is expected of it: at, store, level of the whole, use, forecast, longer, slice."""
    return [
        round(a.updated_at, 3),
        round(a.balance, 4),
        round(a.quota_estimate.level, 4),
        round(a.metered_use, 4),
        round(a.forecast, 3),
        round(a.long_forecast, 3),
        round(a.local_rate, 4),
    ]


def core(gateway: Gateway, now: float, pace: float) -> dict[str, Any]:
    """What was learned of the fleet: paces, answer times, control, the retry budget, waits."""
    fleet, throttle = gateway.fleet, gateway.throttle
    return {
        "at": now,
        "usual": dict(fleet._usual),
        "brisk": fleet.shortest_usual_latency if fleet.shortest_usual_latency < math.inf else None,
        "answers": fleet._answers,
        "pace": pace,
        "load": load(gateway),
        "control": throttle.active,
        "budget": gateway.retry_budget,
        "took": gateway.quotas.mean_duration,
        "waits": gateway.waits.kept(),
    }


def served(gateway: Gateway, now: float) -> float:
    """What workers serve this gateway in a second, all together."""
    return gateway.fleet.rate(now) * max(
        1, gateway.fleet.subset.fit if gateway.fleet.subset.is_partial else gateway.fleet.usable_count
    )


def worker_row(gateway: Gateway, now: float, name: str) -> list[float | None] | None:
    """A worker's: at, start, how slow, failures in a row, seconds until it is tried; None: it is forgotten."""
    worker = gateway.fleet.workers.get(name)
    if worker is None:
        return None
    return [
        round(now, 3),
        worker.entry.started,
        round(worker.slowness(now), 4),
        worker.consecutive_failures,
        round(max(0.0, worker.backoff_until - now), 3),
    ]


class Kept:
    """What the last life left, on this life's clock; given back as customers and workers turn up."""

    def __init__(self, rows: Mapping[tuple[str, str], Any], case: Case) -> None:
        self.case = case
        self.accounts = {key: row for (kind, key), row in rows.items() if kind == ACCOUNT and _numbers(row, 7)}
        self.workers = {key: row for (kind, key), row in rows.items() if kind == WORKER and _worker(row)}
        core = rows.get((CORE, ""))
        self.core: dict[str, Any] = core if isinstance(core, dict) else {}

    def account(self, now: float, a: Account) -> None:
        """A customer turns up: its stores begin with what is believed of them."""
        row = self.accounts.pop(a.key, None)
        if row is None:
            return
        at, store, level, use, forecast, longer, slice_ = row
        verdict = judge(Kind.STORES, self.case)
        if verdict.way is Way.DROPPED or not a.plan.rate:
            return
        passed = max(0.0, now - at)
        unsaved = 0.0 if verdict.way is Way.TAKEN else max(forecast, longer) * UNSAVED
        a.balance = min(a.capacity, max(0.0, store - unsaved) + passed * a.equal_rate)
        # While the others served on, they took from the whole: it is no fuller than it was.
        filled = passed * a.plan.rate if self.case.all_lost else 0.0
        a.quota_estimate.level = min(a.plan.burst, max(0.0, level - unsaved) + filled)
        a.metered_use, a.forecast, a.long_forecast = use, forecast, longer
        a.local_rate = max(a.equal_rate, min(slice_, a.plan.rate))

    def learned(self, gateway: Gateway, now: float) -> None:
        """What was learned of the fleet comes first: it says how much room cold workers have."""
        core, fleet = self.core, gateway.fleet
        if judge(Kind.CONTROL, self.case).way is Way.TAKEN:
            usual = core.get("usual")
            if isinstance(usual, dict):
                fleet._usual.update(
                    {
                        str(name): float(took)
                        for name, took in usual.items()
                        if name in gateway.classes and _number(took) and took > 0
                    }
                )
            if (brisk := _positive(core.get("brisk"))) > 0:
                fleet.shortest_usual_latency, fleet._answers = (
                    brisk,
                    max(fleet._answers, int(_positive(core.get("answers")))),
                )
            if (took := _positive(core.get("took"))) > 0:
                gateway.quotas.mean_duration = took
        retries = judge(Kind.RETRIES, self.case)
        if self.case.disk is not Disk.NONE:
            gateway.retry_budget = min(RETRY_DEPTH, retries.share * _positive(core.get("budget")))
        if judge(Kind.WAITS, self.case).way is Way.TAKEN and isinstance(core.get("waits"), dict):
            gateway.waits.restore(core["waits"])

    def pace(self) -> float:
        """What this gateway was served a second; 0 where that is not believed."""
        return _positive(self.core.get("pace")) if judge(Kind.CONTROL, self.case).way is Way.TAKEN else 0.0

    def load(self) -> float:
        """The share of what workers can do that was asked."""
        return min(1.0, _positive(self.core.get("load"))) or 1.0

    def worker(self, gateway: Gateway, now: float, name: str) -> bool:
        """A worker is on the list: whether anything is believed of it."""
        row, worker = self.workers.pop(name, None), gateway.fleet.workers.get(name)
        if row is None or worker is None:
            return False
        at, started, slow, fails, until = row
        same = started == worker.entry.started or (
            started is not None and worker.entry.started is not None and abs(started - worker.entry.started) < 0.1
        )
        warmth = judge(Kind.WARMTH, _aged(self.case, now - at, same))
        if warmth.share > 0:
            worker.relative_latency, worker.latency_updated_at = 1 + (max(0.1, slow) - 1) * warmth.share, now
        health = judge(Kind.HEALTH, _aged(self.case, now - at, same))
        if health.share > 0 and fails > 0:
            worker.consecutive_failures, worker.backoff_until = int(fails), now + max(0.0, until - (now - at))
        return warmth.share > 0


def _aged(case: Case, age: float, same: bool) -> Case:
    return Case(case.disk, case.end, case.peers, age, case.down, case.all_lost, same, case.longest)


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _positive(value: Any) -> float:
    """A number above 0, else 0."""
    return max(0.0, float(value)) if _number(value) else 0.0


def _numbers(row: Any, count: int) -> bool:
    return isinstance(row, list) and len(row) == count and all(map(_number, row))


def _worker(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(_number(value) or value is None and n == 1 for n, value in enumerate(row))
    )
