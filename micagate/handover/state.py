"""What a gateway knows, taken from one and put into another that starts in its place.

All times are on one clock, which both read. Accounts are given first, some at a time, while the giver goes on; those
that it used meanwhile are given once more at the end, with the rest, at one instant (pre-copy, as virtual machines
are moved: Clark and others, "Live Migration of Virtual Machines", 2005). What is out then stays with the giver: the
taker counts it as out until the giver tells of its end, or is gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from micagate import interface
from micagate.accounts import Account
from micagate.gateway import Gateway
from micagate.handover.fields import Damaged, put, take
from micagate.pending import Attempt, Pending
from micagate.resource_keys import parse_customer_key

# What is written of each object: the written key, which never changes, and the attribute that it stands for.
ACCOUNT = {
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
WHOLE = {
    "level": "level",
    "at": "at",
    "told": "told",
    "unit": "unit",
    "_base": "_base",
    "_times": "_times",
    "_sums": "_sums",
    "_own": "_own",
    "_use": "_use",
    "_span": "_span",
    "_long": "_long",
    "_longer": "_longer",
    "_mine": "_mine",
    "_all": "_all",
    "_read": "_read",
    "_weighed": "_weighed",
    "_kept": "_kept",
    "_due": "_due",
}
METER = {
    "_missed": "_missed",
    "_phase": "_phase",
    "_misfits": "_misfits",
    "_weighed": "_weighed",
    "_skipped": "_skipped",
    "late": "late",
}
THROTTLE = {
    "on": "active",
    "rate": "rate",
    "base": "base_rate",
    "fill": "bucket_level",
    "workers": "worker_count",
    "plans": "plan_count",
    "least": "min_signals",
    "_born": "_born",
    "_leaked": "_leaked",
    "_since": "_since",
    "_due": "_due",
    "_quiet": "_quiet",
    "_changed": "_changed",
    "_admits": "_admits",
    "_refusals": "_refusals",
    "_signals": "_signals",
}
FLEET = {
    "_usual": "_usual",
    "_done": "_done",
    "_done_at": "_done_at",
    "brisk": "shortest_usual_latency",
    "_answers": "_answers",
    "owed": "restored_at",
}
WORKER = {
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
RECENT = {
    "_at": "_at",
    "_took": "_took",
    "_aims": "_aims",
    "_missed": "_missed",
}
TAILS = {
    "_at": "_at",
    "_long": "_long",
    "_gone": "_gone",
}
FEW, ROUNDS = 40, 6  # accounts that may be given in one step; rounds of a copy at the most
BUDGET = {
    "_took": "_took",
    "_heard": "_heard",
    "_unheard": "_unheard",
    "_look": "_look",
    "_row": "_row",
    "_held": "_held",
}
QUOTAS = {
    "_born": "_born",
    "took": "mean_duration",
}
WAITS = {
    "_waits": "_waits",
}


def account_row(a: Account, often: bool) -> dict[str, Any]:
    """An account as it goes over, of a customer who asked `often`, or once."""
    return {
        "key": a.key,
        "spread": a.gateway_count,
        "often": often,
        **take(a, ACCOUNT),
        "whole": take(a.quota_estimate, WHOLE),
    }


class Copy:
    """The accounts of a gateway and its debts, given a few at a time, in rounds.

    Each round after the first gives what was used in the one before, until that is so little that the rest can be
    given in one step; a gateway that is used faster than it is copied ends after `ROUNDS`.
    """

    def __init__(self, gateway: Gateway, now: float) -> None:
        self._quotas, self._debts = gateway.quotas, gateway.quotas.deficits.copy()
        self._since = now  # whatever was used last before this is given once the round is over
        self._rounds = 0
        self._given: set[str] = set()
        self._keys: list[list[str]] = [[], []]  # those left of a queue, the next one last
        self._untold = [False, True]  # queues that nothing was taken of yet: one at a time, as even their names take ms

    def debts(self) -> dict[str, Any] | None:
        """The next of the debts; None where all were given."""
        return next(self._debts, None)

    def lists(self) -> bool:
        """Take the names of the next queue, if it is time: a step of its own, as 30,000 names take 3 ms."""
        if any(self._keys) or not self._untold:
            return False
        often = self._untold.pop()
        self._keys[often] = list(self._quotas.accounts.queues[often].keys())  # a third faster than by the queue itself
        self._keys[often].reverse()
        return True

    def more(self, now: float, most: int) -> list[dict[str, Any]]:
        """The next accounts, `most` of them; none where no further round is worth it."""
        while self.lists():
            pass
        if not any(self._keys):
            used = list(self._used())
            if len(used) <= FEW or self._rounds >= ROUNDS:
                return []
            self._rounds += 1
            self._keys = [[key for key, often in used if often == queue] for queue in (False, True)]
            self._since = now
        rows: list[dict[str, Any]] = []
        while len(rows) < most and any(self._keys):
            often = not self._keys[0]
            key = self._keys[often].pop()
            account = self._quotas.accounts.get(key)
            if account is not None:
                self._given.add(key)
                rows.append(account_row(account, often))
        return rows or self.more(now, most)

    def _used(self) -> Iterator[tuple[str, bool]]:
        """The customers who asked since this round began, or were never given."""
        for often, queue in enumerate(self._quotas.accounts.queues):
            for key in reversed(queue):  # by last use: whatever is older has not changed
                if key in self._given and queue[key].updated_at < self._since:
                    break
                yield key, bool(often)

    def rest(self) -> list[dict[str, Any]]:
        """What was used since: once, at the end."""
        return [account_row(self._quotas.accounts.queues[often][key], often) for key, often in self._used()]


def core(gateway: Gateway) -> dict[str, Any]:
    """All but accounts and what is out."""
    g, q, f = gateway, gateway.quotas, gateway.fleet
    return {
        "quotas": take(q, QUOTAS),
        "meter": take(q.meter, METER),
        "debts": q.deficits.rest(),
        "throttle": take(g.throttle, THROTTLE),
        "fleet": take(f, FLEET),
        "recent": take(f.recent, RECENT),
        "tails": take(f.tails, TAILS),
        "workers": {name: take(worker, WORKER) for name, worker in f.workers.items()},
        "waits": take(g.waits, WAITS)["_waits"],
        "budget": g.retry_budget,
        "counter": take(g.counting.budget, BUDGET),
        "banned": dict(g.maintenance.banned),
        "back": {n: list(t) for n, t in g.maintenance.back.items()},
    }


def outs(gateway: Gateway) -> Iterator[dict[str, Any]]:
    """The attempts that are out."""
    for (name, number), attempt in gateway.in_flight.items():
        yield out_row(name, number, attempt)


def out_row(name: str, number: int, attempt: Attempt) -> dict[str, Any]:
    """An attempt as it is told of. `units` are those of a first one, which it has taken."""
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


def put_accounts(gateway: Gateway, now: float, rows: Iterable[dict[str, Any]]) -> None:
    """Take accounts over; a later row of a customer replaces an earlier one."""
    for row in rows:
        whose, spread = parse_customer_key(str(row.get("key", ""))), row.get("spread")
        if whose is None or not isinstance(spread, int) or spread < 1:
            raise Damaged(f"an account {row.get('key')!r} of {spread!r}")
        if (plan := gateway.plans.get(whose[0])) is None:
            continue  # a plan that this version's settings do not have
        account = Account(plan, row["key"], spread, now, now)
        put(account, ACCOUNT, row)
        if isinstance(whole := row.get("whole"), dict):
            put(account.quota_estimate, WHOLE, whole)
        table = gateway.quotas.accounts
        old = table.get(account.key)
        account.in_flight = old.in_flight if old is not None else 0
        for queue in table.queues:
            queue.pop(account.key, None)
        table.queues[bool(row.get("often"))][account.key] = account


def put_core(gateway: Gateway, now: float, state: dict[str, Any], out: Iterable[dict[str, Any]] = ()) -> None:
    """Take the rest over; the list of workers has been told before. Damaged where it can't be read."""
    g, q, f = gateway, gateway.quotas, gateway.fleet
    parts: list[tuple[object, dict[str, str], str]] = [
        (q, QUOTAS, "quotas"),
        (q.meter, METER, "meter"),
        (g.throttle, THROTTLE, "throttle"),
        (f, FLEET, "fleet"),
        (f.recent, RECENT, "recent"),
        (f.tails, TAILS, "tails"),
        (g.counting.budget, BUDGET, "counter"),
    ]
    for owner, fields, key in parts:
        put(owner, fields, _mapping(state, key))
    for name, known in _mapping(state, "workers").items():
        if name in f.workers and isinstance(known, dict):
            put(f.workers[name], WORKER, known)
    q.deficits.restore(_mapping(state, "debts"))
    g.waits.restore(_mapping(state, "waits"))
    if isinstance(budget := state.get("budget"), int | float):
        g.retry_budget = float(budget)
    for row in out:  # before the bans: a worker that is out is forgotten once nothing is out there
        adopt(gateway, now, row)
    banned = {str(name): float(since) for name, since in _mapping(state, "banned").items()}
    back = {str(name): (float(t[0]), float(t[1])) for name, t in _mapping(state, "back").items()}
    g.fleet.update(now, g.maintenance.restore(banned, back))


def _mapping(state: dict[str, Any], key: str) -> dict[str, Any]:
    value = state.get(key, {})
    if not isinstance(value, dict):
        raise Damaged(f"{key} is no mapping")
    return value


def adopt(gateway: Gateway, now: float, row: dict[str, Any], spends: bool = False) -> None:
    """Count an attempt of the giver's as out; one that it began since, and was a first one, `spends` its units.

    Its request is none of this gateway's, and its outcome is taken like that of any whose client has gone.
    """
    klass, worker = gateway.classes.get(row["klass"]), gateway.fleet.workers.get(row["worker"])
    plan_name, customer = parse_customer_key(str(row["key"])) or ("", "")
    plan, name, number = gateway.plans.get(plan_name), str(row["request"]), int(row["number"])
    if klass is None or plan is None or (name, number) in gateway.in_flight:
        return
    account = gateway.quotas.accounts.get(row["key"]) or gateway.quotas.account(now, customer, plan, int(row["spread"]))
    units, sent = float(row["units"]), float(row["sent"])
    if spends and number == 0:
        gateway.quotas.spend(account, units, bool(row["inside"]))
    request = interface.Request(
        name, klass.name, plan.name, customer, klass.deadline, units=units, gateway_count=int(row["spread"])
    )
    stub = Pending(request, klass, account, sent + klass.deadline)
    entry = worker.entry if worker is not None else interface.WorkerEntry(str(row["worker"]))
    attempt = Attempt(entry, klass, sent, stub)
    attempt.overload_signalled, attempt.holds_slot = bool(row["signalled"]), bool(row["counted"])
    stub.attempts.append(attempt)
    account.in_flight += attempt.holds_slot
    gateway.in_flight[name, number] = attempt
    if worker is not None:
        gateway.fleet.record_sent(now, worker.entry.worker, (name, number), klass)
        worker.in_flight[name, number] = sent


def left_out(gateway: Gateway, theirs: Iterable[tuple[str, int]]) -> list[interface.Outcome]:
    """The giver is gone, and with it what it had out, as its connections are closed: the outcomes of that."""
    return [
        interface.Outcome(
            name, number, gateway.in_flight[name, number].worker, interface.CANCELLED, terminal=True, took=0.0
        )
        for name, number in theirs
        if (name, number) in gateway.in_flight
    ]
