"""The state that a gateway persists beside marks and facts: writes rows of plain values, and restores them.

After a power loss the rows are at most a second old. `recovery_policy` decides how far they are trusted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from itertools import islice
from typing import Any

from micagate.accounts import Account
from micagate.gateway import RETRY_BUDGET_CAPACITY, Gateway
from micagate.recovery.recovery_policy import UNSAVED_SECONDS, Action, Case, Disk, Kind, decide
from micagate.recovery.slow_start import estimate_load

ACCOUNT, CORE, WORKER = "account", "core", "worker"
WRITE_PERIOD_SECONDS = 1.0  # all changes are written within this time
MAX_CUSTOMERS_PER_STEP = 1000  # bounds the time of one step
SERVED_RATE_SMOOTHING = 0.2  # weight of the latest second
MAX_ROWS_PER_STEP = 200  # of each kind; at more than 2,000 changed customers a second, some rows are older

Row = tuple[str, str, Any]


class ChangedRows:
    """Collects the rows that have changed, some at each step, so that none is older than `WRITE_PERIOD_SECONDS`."""

    def __init__(self, gateway: Gateway, now: float) -> None:
        self._gateway = gateway
        self._stepped_at = self._last = now
        self._changed_since: dict[str, float] = {}  # customers with unwritten changes, and since when
        self._pending_workers: list[str] = []
        self._core_written_at = now
        self.served_rate = 0.0  # served a second, smoothed: over two seconds the random error is a fifth
        self._sample_count = 0

    def step(self, now: float, include_customers: bool = True) -> list[Row]:
        """Return the next rows to write; those of customers only if they are persisted. Times are on the caller's
        clock."""
        table, rows = self._gateway.quotas.accounts, list[Row]()
        for queue in table.queues if include_customers else ():
            for key in islice(reversed(queue), MAX_CUSTOMERS_PER_STEP):  # the latest use first
                if queue[key].updated_at < self._stepped_at:
                    break
                self._changed_since.setdefault(key, now)
        elapsed, self._stepped_at = max(0.0, now - self._stepped_at), now
        # Spread the rows evenly over the time that remains for the oldest.
        time_left = next(iter(self._changed_since.values()), now) + WRITE_PERIOD_SECONDS - now
        fraction = min(1.0, elapsed / time_left) if time_left > 0 else 1.0
        for key in list(
            islice(self._changed_since, min(MAX_ROWS_PER_STEP, math.ceil(len(self._changed_since) * fraction)))
        ):
            del self._changed_since[key]
            if (account := table.get(key)) is not None:
                rows.append((ACCOUNT, key, account_row(account)))
        if now - self._core_written_at >= WRITE_PERIOD_SECONDS:
            self._core_written_at = now
            self._update_served_rate(now)
            rows.append((CORE, "", core_row(self._gateway, now, self.served_rate)))
            self._pending_workers = list(self._gateway.fleet.workers)
        names, self._pending_workers = (
            self._pending_workers[:MAX_ROWS_PER_STEP],
            self._pending_workers[MAX_ROWS_PER_STEP:],
        )
        for name in names:
            rows.append((WORKER, name, worker_row(self._gateway, now, name)))
        return rows

    def _update_served_rate(self, now: float) -> None:
        """Update the served rate, except under overload control, which limits it below the demand."""
        if not self._gateway.throttle.active:
            self._sample_count += 1
            self.served_rate += max(SERVED_RATE_SMOOTHING, 1 / self._sample_count) * (
                total_served_rate(self._gateway, now) - self.served_rate
            )

    def remaining_rows(self, now: float) -> list[Row]:
        """Return all unwritten rows, at a planned shutdown."""
        rows = [
            (ACCOUNT, key, account_row(account))
            for key in self._changed_since
            if (account := self._gateway.quotas.accounts.get(key)) is not None
        ]
        return [*rows, (CORE, "", core_row(self._gateway, now, self.served_rate))]


def account_row(account: Account) -> list[float]:
    """Return an account's row: time, balance, level of the whole quota, metered use, short and long forecast, local
    rate."""
    return [
        round(account.updated_at, 3),
        round(account.balance, 4),
        round(account.quota_estimate.level, 4),
        round(account.metered_use, 4),
        round(account.forecast, 3),
        round(account.long_forecast, 3),
        round(account.local_rate, 4),
    ]


def core_row(gateway: Gateway, now: float, served_rate: float) -> dict[str, Any]:
    """Return what was learned of the fleet: usual latencies, the served rate, overload control, the retry budget,
    client waits."""
    fleet, throttle = gateway.fleet, gateway.throttle
    return {
        "at": now,
        "usual": dict(fleet._usual_latencies),
        "brisk": fleet.shortest_usual_latency if fleet.shortest_usual_latency < math.inf else None,
        "answers": fleet._response_count,
        "pace": served_rate,
        "load": estimate_load(gateway),
        "control": throttle.active,
        "budget": gateway.retry_budget,
        "took": gateway.quotas.mean_duration,
        "waits": gateway.waits.state(),
    }


def total_served_rate(gateway: Gateway, now: float) -> float:
    """Return the requests that all workers together serve this gateway in a second."""
    return gateway.fleet.warm_worker_rate(now) * max(
        1, gateway.fleet.subset.eligible_count if gateway.fleet.subset.is_partial else gateway.fleet.usable_count
    )


def worker_row(gateway: Gateway, now: float, name: str) -> list[float | None] | None:
    """Return a worker's row: time, start time, relative latency, consecutive failures, seconds of backoff left; None
    if the worker is gone."""
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


class RestoredState:
    """The rows of the previous incarnation, in this one's time; restored as customers and workers appear."""

    def __init__(self, rows: Mapping[tuple[str, str], Any], case: Case) -> None:
        self.case = case
        self.accounts = {key: row for (kind, key), row in rows.items() if kind == ACCOUNT and _is_number_row(row, 7)}
        self.workers = {key: row for (kind, key), row in rows.items() if kind == WORKER and _is_worker_row(row)}
        core = rows.get((CORE, ""))
        self.core: dict[str, Any] = core if isinstance(core, dict) else {}

    def restore_account(self, now: float, account: Account) -> None:
        """Restore the quota levels of a customer's new account as far as they are trusted."""
        row = self.accounts.pop(account.key, None)
        if row is None:
            return
        updated_at, balance, level, metered_use, forecast, long_forecast, local_rate = row
        verdict = decide(Kind.QUOTA_LEVELS, self.case)
        if verdict.action is Action.DROPPED or not account.plan.rate:
            return
        elapsed = max(0.0, now - updated_at)
        unsaved = 0.0 if verdict.action is Action.ACCEPTED else max(forecast, long_forecast) * UNSAVED_SECONDS
        account.balance = min(account.capacity, max(0.0, balance - unsaved) + elapsed * account.equal_rate)
        # Other gateways that kept serving have spent from the whole quota, so it has not filled up.
        filled = elapsed * account.plan.rate if self.case.all_restarted else 0.0
        account.quota_estimate.level = min(account.plan.burst, max(0.0, level - unsaved) + filled)
        account.metered_use, account.forecast, account.long_forecast = metered_use, forecast, long_forecast
        account.local_rate = max(account.equal_rate, min(local_rate, account.plan.rate))

    def restore_learned(self, gateway: Gateway, now: float) -> None:
        """Restore what was learned of the fleet. Call it first: it determines the capacity of workers in slow start."""
        core, fleet = self.core, gateway.fleet
        if decide(Kind.OVERLOAD_CONTROL, self.case).action is Action.ACCEPTED:
            usual_latencies = core.get("usual")
            if isinstance(usual_latencies, dict):
                fleet._usual_latencies.update(
                    {
                        str(name): float(duration)
                        for name, duration in usual_latencies.items()
                        if name in gateway.classes and _is_number(duration) and duration > 0
                    }
                )
            if (shortest_latency := _positive_or_zero(core.get("brisk"))) > 0:
                fleet.shortest_usual_latency, fleet._response_count = (
                    shortest_latency,
                    max(fleet._response_count, int(_positive_or_zero(core.get("answers")))),
                )
            if (duration := _positive_or_zero(core.get("took"))) > 0:
                gateway.quotas.mean_duration = duration
        retry_verdict = decide(Kind.RETRY_BUDGET, self.case)
        if self.case.disk is not Disk.NONE:
            gateway.retry_budget = min(
                RETRY_BUDGET_CAPACITY, retry_verdict.share * _positive_or_zero(core.get("budget"))
            )
        if decide(Kind.CLIENT_WAITS, self.case).action is Action.ACCEPTED and isinstance(core.get("waits"), dict):
            gateway.waits.restore(core["waits"])

    def served_rate(self) -> float:
        """Return the rate that workers served this gateway, in requests a second; 0 if it is not trusted."""
        return (
            _positive_or_zero(self.core.get("pace"))
            if decide(Kind.OVERLOAD_CONTROL, self.case).action is Action.ACCEPTED
            else 0.0
        )

    def load(self) -> float:
        """Return the utilisation of the workers."""
        return min(1.0, _positive_or_zero(self.core.get("load"))) or 1.0

    def restore_worker(self, gateway: Gateway, now: float, name: str) -> bool:
        """Restore what was learned of a worker on the list; return whether its latency was restored."""
        row, worker = self.workers.pop(name, None), gateway.fleet.workers.get(name)
        if row is None or worker is None:
            return False
        updated_at, started, relative_latency, consecutive_failures, backoff = row
        is_same_incarnation = started == worker.entry.started or (
            started is not None and worker.entry.started is not None and abs(started - worker.entry.started) < 0.1
        )
        latency_verdict = decide(Kind.WORKER_LATENCY, _case_for_row(self.case, now - updated_at, is_same_incarnation))
        if latency_verdict.share > 0:
            worker.relative_latency, worker.latency_updated_at = (
                1 + (max(0.1, relative_latency) - 1) * latency_verdict.share,
                now,
            )
        health_verdict = decide(Kind.WORKER_HEALTH, _case_for_row(self.case, now - updated_at, is_same_incarnation))
        if health_verdict.share > 0 and consecutive_failures > 0:
            worker.consecutive_failures, worker.backoff_until = (
                int(consecutive_failures),
                now + max(0.0, backoff - (now - updated_at)),
            )
        return latency_verdict.share > 0


def _case_for_row(case: Case, age: float, same_incarnation: bool) -> Case:
    """Return the case of a restart for one row of a worker."""
    return Case(
        case.disk, case.end, case.peers, age, case.downtime, case.all_restarted, same_incarnation, case.max_deadline
    )


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _positive_or_zero(value: Any) -> float:
    """Return a number above 0 as it is, and 0 for anything else."""
    return max(0.0, float(value)) if _is_number(value) else 0.0


def _is_number_row(row: Any, count: int) -> bool:
    return isinstance(row, list) and len(row) == count and all(map(_is_number, row))


def _is_worker_row(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(_is_number(value) or value is None and n == 1 for n, value in enumerate(row))
    )
