"""Transfer of a gateway's state to the gateway of the process that replaces it.

All times are on one clock that both processes read. Accounts are transferred first, a few at a time, while the
predecessor keeps serving; those it used meanwhile are transferred again at the end, together with the rest, at one
instant (pre-copy, as in live migration of virtual machines: Clark and others, "Live Migration of Virtual Machines",
2005). Attempts in flight then stay with the predecessor: the successor counts them as in flight until the predecessor
reports their end or exits.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from micagate import interface
from micagate.accounts import Account
from micagate.gateway import Gateway
from micagate.handover.fields import MalformedState, dump_fields, load_fields
from micagate.pending import Attempt, Pending
from micagate.resource_keys import parse_customer_key

# The transferred fields of each object: the written key, which never changes, and the attribute it stands for.
ACCOUNT_FIELDS = {
    "slice": "local_rate",
    "stood": "metered_local_rate",
    "store": "balance",
    "ceiling": "ceiling_balance",
    "at": "updated_at",
    "tick": "ticked_at",
    "asked": "demand",
    "forecast": "forecast",
    "longer": "long_forecast",
    "top": "largest_request",
    "use": "metered_use",
    "read": "read_at",
    "readings": "reading_count",
    "fresh": "has_new_reading",
    "counted": "uses_counter",
    "silent": "counter_unresponsive_since",
    "filled": "ceiling_filled_until",
    "full_until": "ceiling_full_until",
    "took": "mean_duration",
}
QUOTA_ESTIMATE_FIELDS = {
    "level": "level",
    "at": "updated_at",
    "told": "metered_until",
    "unit": "mean_units",
    "_base": "_metered_level",
    "_times": "_sent_times",
    "_sums": "_cumulative_units",
    "_own": "_own_recent_units",
    "_use": "_recent_units",
    "_span": "_recent_seconds",
    "_long": "_usual_units",
    "_longer": "_usual_seconds",
    "_mine": "_own_metered_units",
    "_all": "_metered_units",
    "_read": "_last_reading",
    "_weighed": "_last_weighed_at",
    "_kept": "_slot_granted_ratio",
    "_due": "_next_reading_due_at",
}
METER_FIELDS = {
    "_missed": "_phase_misfits",
    "_phase": "_phase",
    "_misfits": "_lateness_misfits",
    "_weighed": "_weighed_count",
    "_skipped": "_skipped_count",
    "late": "lateness",
}
THROTTLE_FIELDS = {
    "on": "active",
    "rate": "rate",
    "base": "base_rate",
    "fill": "bucket_level",
    "workers": "worker_count",
    "plans": "plan_count",
    "least": "min_signals",
    "_born": "_traffic_started_at",
    "_leaked": "_leaked_at",
    "_since": "_period_start",
    "_due": "_period_end",
    "_quiet": "_last_excess_at",
    "_changed": "_updated_at",
    "_admits": "_admission_times",
    "_refusals": "_rejection_times",
    "_signals": "_signals",
}
FLEET_FIELDS = {
    "_usual": "_usual_latencies",
    "_done": "_decayed_response_count",
    "_done_at": "_decayed_at",
    "brisk": "shortest_usual_latency",
    "_answers": "_response_count",
    "owed": "restored_at",
}
WORKER_FIELDS = {
    "slow": "relative_latency",
    "learned": "latency_updated_at",
    "heard": "last_response_at",
    "latest": "latest_answered_sent_at",
    "losses": "loss_rates",
    "fails": "consecutive_failures",
    "until": "backoff_until",
    "turn": "next_turn_at",
    "pause": "turn_interval",
    "answers": "response_count",
    "fulls": "consecutive_overloads",
    "held": "held_slots_until",
}
RECENT_FIELDS = {
    "_at": "_updated_at",
    "_took": "_latency_sum",
    "_aims": "_aim_sum",
    "_missed": "_missed_aim_sum",
}
TAILS_FIELDS = {
    "_at": "_updated_at",
    "_long": "_slow_response_count",
    "_gone": "_lost_count",
}
# Number of accounts that may be left for the final step, and of rounds after which a copy ends in any case.
MAX_FINAL_ACCOUNTS, MAX_COPY_ROUNDS = 40, 6
COUNTER_BUDGET_FIELDS = {
    "_took": "_mean_latency_ratio",
    "_heard": "_last_response_at",
    "_unheard": "_unanswered_count",
    "_look": "_next_probe_at",
    "_row": "_consecutive_slow_count",
    "_held": "_paused_until",
}
QUOTAS_FIELDS = {
    "_born": "_started_at",
    "took": "mean_duration",
}
WAITS_FIELDS = {
    "_waits": "_waits",
}


def account_row(account: Account, recurring: bool) -> dict[str, Any]:
    """Return an account as it is transferred.

    `recurring` says that the customer has sent more than one request, which selects its queue in the account table.
    """
    return {
        "key": account.key,
        "spread": account.gateway_count,
        "often": recurring,
        **dump_fields(account, ACCOUNT_FIELDS),
        "whole": dump_fields(account.quota_estimate, QUOTA_ESTIMATE_FIELDS),
    }


class AccountCopy:
    """Transfers the accounts and deficits of a gateway, a few at a time, in rounds.

    Each round after the first transfers the accounts that were used during the previous one, until so few are left
    that they fit into one step. If the gateway uses accounts faster than they are copied, the copy ends after
    `MAX_COPY_ROUNDS` rounds.
    """

    def __init__(self, gateway: Gateway, now: float) -> None:
        self._quotas, self._deficits = gateway.quotas, gateway.quotas.deficits.copy()
        self._round_started_at = now  # accounts last used before this are done after the round
        self._rounds = 0
        self._copied: set[str] = set()
        self._remaining_keys: list[list[str]] = [[], []]  # by queue, the next key last
        # Queues whose keys were not read yet. Only one is read at a time, since the keys alone take milliseconds.
        self._unread_queues = [False, True]

    def next_deficits(self) -> dict[str, Any] | None:
        """Return the next part of the deficits; None once all were transferred."""
        return next(self._deficits, None)

    def load_next_queue(self) -> bool:
        """Read the keys of the next queue if it is due: a separate step, since 30,000 keys take 3 ms."""
        if any(self._remaining_keys) or not self._unread_queues:
            return False
        recurring = self._unread_queues.pop()
        # A list of `keys()` takes a third less time than one of the queue itself.
        self._remaining_keys[recurring] = list(self._quotas.accounts.queues[recurring].keys())
        self._remaining_keys[recurring].reverse()
        return True

    def next_accounts(self, now: float, limit: int) -> list[dict[str, Any]]:
        """Return the next accounts, up to `limit`; none if a further round is not worthwhile."""
        while self.load_next_queue():
            pass
        if not any(self._remaining_keys):
            used = list(self._used_since_round())
            if len(used) <= MAX_FINAL_ACCOUNTS or self._rounds >= MAX_COPY_ROUNDS:
                return []
            self._rounds += 1
            self._remaining_keys = [[key for key, recurring in used if recurring == queue] for queue in (False, True)]
            self._round_started_at = now
        rows: list[dict[str, Any]] = []
        while len(rows) < limit and any(self._remaining_keys):
            recurring = not self._remaining_keys[0]
            key = self._remaining_keys[recurring].pop()
            account = self._quotas.accounts.get(key)
            if account is not None:
                self._copied.add(key)
                rows.append(account_row(account, recurring))
        return rows or self.next_accounts(now, limit)

    def _used_since_round(self) -> Iterator[tuple[str, bool]]:
        """Yield the customers used since this round began or never copied, with their queue."""
        for recurring, queue in enumerate(self._quotas.accounts.queues):
            for key in reversed(queue):  # latest use first: older accounts have not changed
                if key in self._copied and queue[key].updated_at < self._round_started_at:
                    break
                yield key, bool(recurring)

    def remaining_accounts(self) -> list[dict[str, Any]]:
        """Return the accounts used since the last round; called once, at the end."""
        return [
            account_row(self._quotas.accounts.queues[recurring][key], recurring)
            for key, recurring in self._used_since_round()
        ]


def core_state(gateway: Gateway) -> dict[str, Any]:
    """Return the state except for accounts and attempts in flight."""
    source, quotas, fleet = gateway, gateway.quotas, gateway.fleet
    return {
        "quotas": dump_fields(quotas, QUOTAS_FIELDS),
        "meter": dump_fields(quotas.meter, METER_FIELDS),
        "debts": quotas.deficits.take_changes(),
        "throttle": dump_fields(source.throttle, THROTTLE_FIELDS),
        "fleet": dump_fields(fleet, FLEET_FIELDS),
        "recent": dump_fields(fleet.recent, RECENT_FIELDS),
        "tails": dump_fields(fleet.tails, TAILS_FIELDS),
        "workers": {name: dump_fields(worker, WORKER_FIELDS) for name, worker in fleet.workers.items()},
        "waits": dump_fields(source.waits, WAITS_FIELDS)["_waits"],
        "budget": source.retry_budget,
        "counter": dump_fields(source.counting.budget, COUNTER_BUDGET_FIELDS),
        "banned": dict(source.maintenance.out_since),
        "back": {n: list(t) for n, t in source.maintenance.service_gaps.items()},
    }


def in_flight_rows(gateway: Gateway) -> Iterator[dict[str, Any]]:
    """Yield the attempts in flight."""
    for (name, number), attempt in gateway.in_flight.items():
        yield attempt_row(name, number, attempt)


def attempt_row(name: str, number: int, attempt: Attempt) -> dict[str, Any]:
    """Return an attempt as it is transferred; `units` are those of its request, which the first attempt spent."""
    return {
        "request": name,
        "number": number,
        "worker": attempt.worker,
        "klass": attempt.klass.name,
        "key": attempt.account.key,
        "spread": attempt.account.gateway_count,
        "sent": attempt.sent_at,
        "signalled": attempt.overload_signalled,
        "counted": attempt.holds_slot,
        "units": attempt.pending.request.units,
        "inside": attempt.pending.within_quota,
    }


def restore_accounts(gateway: Gateway, now: float, rows: Iterable[dict[str, Any]]) -> None:
    """Restore accounts; a later row of a customer replaces an earlier one. Raises MalformedState if malformed."""
    for row in rows:
        plan_and_customer, spread = parse_customer_key(str(row.get("key", ""))), row.get("spread")
        if plan_and_customer is None or not isinstance(spread, int) or spread < 1:
            raise MalformedState(f"malformed account: key {row.get('key')!r}, spread {spread!r}")
        if (plan := gateway.plans.get(plan_and_customer[0])) is None:
            continue  # the settings of this process do not have the plan
        account = Account(plan, row["key"], spread, now, now)
        load_fields(account, ACCOUNT_FIELDS, row)
        if isinstance(estimate_state := row.get("whole"), dict):
            load_fields(account.quota_estimate, QUOTA_ESTIMATE_FIELDS, estimate_state)
        table = gateway.quotas.accounts
        previous = table.get(account.key)
        account.in_flight = previous.in_flight if previous is not None else 0
        for queue in table.queues:
            queue.pop(account.key, None)
        table.queues[bool(row.get("often"))][account.key] = account


def restore_core(gateway: Gateway, now: float, state: dict[str, Any], in_flight: Iterable[dict[str, Any]] = ()) -> None:
    """Restore the rest of the state, after the list of workers. Raises MalformedState if malformed."""
    target, quotas, fleet = gateway, gateway.quotas, gateway.fleet
    parts: list[tuple[object, dict[str, str], str]] = [
        (quotas, QUOTAS_FIELDS, "quotas"),
        (quotas.meter, METER_FIELDS, "meter"),
        (target.throttle, THROTTLE_FIELDS, "throttle"),
        (fleet, FLEET_FIELDS, "fleet"),
        (fleet.recent, RECENT_FIELDS, "recent"),
        (fleet.tails, TAILS_FIELDS, "tails"),
        (target.counting.budget, COUNTER_BUDGET_FIELDS, "counter"),
    ]
    for owner, fields, key in parts:
        load_fields(owner, fields, _mapping(state, key))
    for name, worker_state in _mapping(state, "workers").items():
        if name in fleet.workers and isinstance(worker_state, dict):
            load_fields(fleet.workers[name], WORKER_FIELDS, worker_state)
    quotas.deficits.restore(_mapping(state, "debts"))
    target.waits.restore(_mapping(state, "waits"))
    if isinstance(budget := state.get("budget"), int | float):
        target.retry_budget = float(budget)
    for row in in_flight:  # before maintenance: a worker that is out is dropped once it has nothing in flight
        adopt_attempt(gateway, now, row)
    out_since = {str(name): float(since) for name, since in _mapping(state, "banned").items()}
    service_gaps = {str(name): (float(t[0]), float(t[1])) for name, t in _mapping(state, "back").items()}
    target.fleet.update(now, target.maintenance.restore(out_since, service_gaps))


def _mapping(state: dict[str, Any], key: str) -> dict[str, Any]:
    value = state.get(key, {})
    if not isinstance(value, dict):
        raise MalformedState(f"{key}: expected a mapping")
    return value


def adopt_attempt(gateway: Gateway, now: float, row: dict[str, Any], spend_units: bool = False) -> None:
    """Count an attempt of the predecessor as in flight.

    With `spend_units`, the predecessor began it after the state was transferred, and the first attempt of a request
    spends its units here too. The request is not one of this gateway's: its outcome is treated like that of a request
    whose client disconnected.
    """
    klass, worker = gateway.classes.get(row["klass"]), gateway.fleet.workers.get(row["worker"])
    plan_name, customer = parse_customer_key(str(row["key"])) or ("", "")
    plan, name, number = gateway.plans.get(plan_name), str(row["request"]), int(row["number"])
    if klass is None or plan is None or (name, number) in gateway.in_flight:
        return
    account = gateway.quotas.accounts.get(row["key"]) or gateway.quotas.account(now, customer, plan, int(row["spread"]))
    units, sent = float(row["units"]), float(row["sent"])
    if spend_units and number == 0:
        gateway.quotas.spend(account, units, bool(row["inside"]))
    request = interface.Request(
        name, klass.name, plan.name, customer, klass.deadline, units=units, gateway_count=int(row["spread"])
    )
    pending = Pending(request, klass, account, sent + klass.deadline)
    entry = worker.entry if worker is not None else interface.WorkerEntry(str(row["worker"]))
    attempt = Attempt(entry, klass, sent, pending)
    attempt.overload_signalled, attempt.holds_slot = bool(row["signalled"]), bool(row["counted"])
    pending.attempts.append(attempt)
    account.in_flight += attempt.holds_slot
    gateway.in_flight[name, number] = attempt
    if worker is not None:
        gateway.fleet.record_sent(now, worker.entry.worker, (name, number), klass)
        worker.in_flight[name, number] = sent


def cancelled_outcomes(gateway: Gateway, attempts: Iterable[tuple[str, int]]) -> list[interface.Outcome]:
    """Return the outcomes of the predecessor's attempts after its exit closed their connections: all cancelled."""
    return [
        interface.Outcome(
            name, number, gateway.in_flight[name, number].worker, interface.CANCELLED, terminal=True, took=0.0
        )
        for name, number in attempts
        if (name, number) in gateway.in_flight
    ]
