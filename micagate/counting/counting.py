"""One gateway's calls to the counter: what is asked of it, and what its answers say of tries that wait for them."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from micagate import interface
from micagate.accounts import Account
from micagate.counting.budget import Budget
from micagate.counting.stores import (
    EPOCH,
    LAG,
    LIFE,
    PLACE,
    ROUNDED,
    Place,
    before,
    doubled,
    fraction,
    judge,
    place,
    split,
)

ASKED = 2 / 3  # of all that may be counted: the most that is (ours)
MOST = 1000  # names of which calls are remembered that have timed out
TRY, KEPT, RIGHT, BACK, OLD = "try", "kept", "right", "back", "old"


@dataclass(slots=True)
class Call:
    """A call until its answer: of a try that waits or does not, to put a number right, to take back, or to
    read the number that stood before."""

    kind: str
    account: Account
    where: Place
    amount: float
    request: str = ""
    sent: bool = False  # the try went on, whatever was said of the call


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the counter says of a try that waited: whether it is inside its quota; None: it said nothing."""

    call: Call
    inside: bool | None


class Counting:
    """The calls that are out, and what they become."""

    def __init__(self, settings: interface.Settings, now: float, offset: float, random: Random) -> None:
        self._offset, self._number = offset, settings.number
        self._gateways = settings.gateways
        self._longest = max(c.deadline for c in settings.classes)
        order = self._order(settings.plans) if settings.counter_timeout else []
        self.ranks = {name: rank for rank, name in enumerate(order)}
        self.budget = Budget(now, ASKED * len(order), settings.counter_timeout or 1.0, random)
        self._out: dict[int, deque[Call]] = {}  # by name: answers for one come in the order of the calls
        self._late: OrderedDict[int, deque[Call]] = OrderedDict()  # those that have timed out, in their order
        self._again: list[Call] = []
        self.actions: list[interface.CounterAdd] = []  # asked for since they were last taken

    def clock(self, offset: float) -> None:
        """The clock's offset to Unix time, as the process that this one follows has it: epochs stay the same."""
        self._offset = offset

    @staticmethod
    def _order(plans: Sequence[interface.Plan]) -> list[str]:
        """The plans whose tries beyond the quota cost more than they earn, those first that cost most.

        Under a ceiling only where that leaves room for what the counter may lose: what is counted stays within the
        quota, once more where the counter has forgotten it, and what is not has the rest of the rate.
        """
        asked = [
            p
            for p in plans
            if p.rate
            and p.excess_cost > p.excess_revenue
            and (
                not p.ceiling_rate
                or p.ceiling_rate >= 2 * p.rate
                and p.ceiling_capacity + p.ceiling_slack >= 2 * p.burst
            )
        ]
        asked.sort(key=lambda p: -p.price * p.excess_cost)
        return [p.name for p in asked]

    def counts(self, now: float, a: Account, first: int = 0) -> bool:
        """Whether a try is counted: all sends of its customer, by all gateways, or none.

        Under a ceiling its part here is empty as long as it is counted, and fills only from where it isn't, or its
        counts have no answer, with what the ceiling's rate is above the quota's: with what others count meanwhile
        that makes no more than the ceiling. All parts together hold what the ceiling's store has beyond two bursts of
        the quota, one of them for a counter that forgets; where that is less than a request for each gateway, whole
        requests for the first of them. `first` is the number of the first gateway of the customer's set.
        """
        rank = self.ranks.get(a.plan.name)
        # Guards against starving: with a counter that bears little most of such customers are left to these parts.
        left = a.plan.ceiling_capacity + a.plan.ceiling_slack - 2 * a.plan.burst
        bears = not a.plan.ceiling_rate or left >= a.gateway_count
        a.uses_counter = (
            rank is not None and bears and a.quota_estimate.has_thin_share() and a.rate_divisor == a.gateway_count
        )
        if rank is None or not a.uses_counter:
            return False
        asks = rank + fraction(a.key) < self.budget.level and self.budget.may(now)
        if not asks and a.counter_unresponsive_since is None:
            a.counter_unresponsive_since = now
        if a.plan.ceiling_rate:
            if a.counter_unresponsive_since is None or a.ceiling_filled_until < a.counter_unresponsive_since:
                a.ceiling_balance = 0.0
            if a.counter_unresponsive_since is not None:
                holders = min(a.gateway_count, int(left / max(1.0, a.largest_request)))
                if self._number is not None and (self._number - first) % self._gateways < holders:
                    rate, since = (
                        a.plan.ceiling_rate - a.plan.rate,
                        max(a.ceiling_filled_until, a.counter_unresponsive_since),
                    )
                    a.ceiling_balance = min(left / holders, a.ceiling_balance + (now - since) * rate / holders)
            a.ceiling_filled_until = now
        return asks

    def ask(self, now: float, a: Account, units: float, request: str = "") -> None:
        """Count a try; one that waits for the answer names its request."""
        amount = units / a.plan.rate + (PLACE if a.plan.concurrency_limit else 0.0)
        self._call(Call(TRY if request else KEPT, a, place(now, self._offset, a.key), amount, request))

    def leave(self, call: Call) -> None:
        """A try that was counted and sent on is out no more."""
        if call.account.plan.concurrency_limit:
            self._call(Call(BACK, call.account, call.where, -PLACE))

    def give_back(self, call: Call) -> None:
        """A try that was counted is not sent on."""
        self._call(Call(BACK, call.account, call.where, -call.amount))

    def retry(self) -> None:
        """Make calls again that were turned away and that something stays taken without; a few at a time."""
        for call in self._again[:2]:
            self._call(call)
        del self._again[:2]

    def _call(self, call: Call) -> None:
        self._out.setdefault(call.where.name, deque()).append(call)
        self.actions.append(interface.CounterAdd(call.where.name, call.amount, LIFE))

    def answered(self, now: float, event: interface.CounterResult) -> Verdict | None:
        """Follow an answer; the verdict on the try that waited for it, if one did."""
        table = self._late if event.status == interface.LATE_RESPONSE else self._out
        calls = table.get(event.name)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del table[event.name]
        a = call.account
        self.budget.heard(now, event.status, event.took)
        if event.status == interface.SUCCESS:
            a.counter_unresponsive_since = None
        elif a.counter_unresponsive_since is None:
            a.counter_unresponsive_since = now
        if event.status == interface.LATE_RESPONSE and call.kind == TRY and not call.sent:
            self.give_back(call)  # guards against places and units that stay taken for a try that was refused
        elif event.status == interface.TIMED_OUT:
            self._late.setdefault(event.name, deque()).append(call)
            if len(self._late) > MOST:  # where none is told late they would pile up
                self._late.popitem(last=False)
            if call.kind == TRY and now - call.where.begin < a.plan.burst / a.plan.rate:
                # Guards against an epoch whose first call was this one: nobody would hand over. Harm: it is done twice.
                self._call(Call(OLD, a, before(call.where, self._offset, a.key), 0.0))
        elif (
            event.status in (interface.OVERLOADED, interface.UNREACHABLE)
            and call.kind == BACK
            and now < call.where.begin + LIFE
        ):
            self._again.append(call)
        if event.status != interface.SUCCESS:
            return Verdict(call, None) if call.kind == TRY and event.status != interface.LATE_RESPONSE else None
        self.retry()
        elapsed, depth = now - call.where.begin, a.plan.burst / a.plan.rate
        if call.kind == BACK:
            return None
        places, stands = split(event.total)
        if call.kind == OLD:
            if (ahead := stands - EPOCH) > ROUNDED:
                self._call(Call(BACK, a, place(now, self._offset, a.key), ahead))
            return None
        if call.kind == RIGHT:
            if wrong := doubled(event.total, call.amount, elapsed, depth):
                self._call(Call(BACK, a, call.where, -wrong))
            return None
        taken, amount = split(call.amount)
        stood, others = stands - amount, places - taken
        early, behind = judge(stood, amount, elapsed, depth)
        if stood <= ROUNDED and not others and elapsed < depth:
            # Guards against a new epoch's number being taken for a full store: whoever is first hands over.
            self._call(Call(OLD, a, before(call.where, self._offset, a.key), 0.0))
        # Guards against places that gateways which died have left taken, where nothing was sent on for so long; and
        # against those that were given back to a counter which had forgotten that they were taken.
        gone = others if others < 0 or behind > self._longest + depth * LAG else 0
        if gone or behind > depth * LAG:
            self._call(Call(RIGHT, a, call.where, (behind if behind > depth * LAG else 0.0) - gone * PLACE))
        if early > 0:
            a.ceiling_full_until = now + early
        if call.kind == KEPT:
            return None
        inside = early <= 0 and (not taken or others - gone < int(a.plan.concurrency_limit))
        if not inside:
            self.give_back(call)
        return Verdict(call, inside)
