"""Schedules of gatekeepers that spend a customer's ceiling, write marks ahead to disks and crash, from a seed.

The truth is kept beside them: what all have sent on, against one store of the plan's rate and depth. Counted are
schedules in which that was overspent. `Variant` leaves a rule out; each has to be found by the count.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from micagate import Plan
from micagate.quotas import Quotas
from micagate.recovery.high_water_mark import Mark
from micagate.recovery.write_ahead import Marks
from rig.limited_worker import overspent

PLAN = Plan("capped", rate=1000.0, burst=1000.0, ceiling_rate=12.0, ceiling_capacity=24.0)
CUSTOMERS = 2
SURE = 1e-6


class Variant(Enum):
    """A rule that is left out."""

    NONE = "none"
    NOT_AHEAD = "accounts are spent without waiting for their mark"
    EARLY = "a mark counts before it is on disk"
    FULL = "accounts begin full after a crash"
    LAST_LIFE = "the mark for all of a life is not written at its start"


@dataclass
class Disk:
    """What outlives a gatekeeper's life: what was synced before it ended."""

    marks: dict[str, Mark] = field(default_factory=dict)
    before: float | None = None


class Life:
    """One gatekeeper from its start to a crash."""

    def __init__(self, disk: Disk, now: float, number: int, variant: Variant) -> None:
        self.disk, self.variant = disk, variant
        self.quotas = Quotas(now, None, 100, str(number))
        self.marks = self.quotas.ceiling_marks = Marks(now, disk.marks, disk.before)
        if variant is not Variant.LAST_LIFE or disk.before is None:
            disk.before = now
        self.full = variant is Variant.FULL
        self.writing: list[tuple[float, list[Mark]]] = []  # when they will be on disk

    def ask(self, now: float, customer: str, units: float, count: int) -> bool:
        """A customer's try: whether it is sent on."""
        account = self.quotas.account(now, customer, PLAN, count)
        if self.full and account.ceiling_balance < PLAN.ceiling_capacity / count and not account.demand:
            account.ceiling_balance = PLAN.ceiling_capacity / count
        account.demand += units
        account.largest_request = max(account.largest_request, units)
        if self.variant is Variant.NOT_AHEAD and account.ceiling_mark is not None:
            account.ceiling_mark = account.ceiling_mark._replace(level=-1e9)
        if not self.quotas.ceiling_allows(account, units, False):
            return False
        self.quotas.spend(account, units, True)
        return True

    def write(self, now: float, takes: float) -> None:
        """What is due goes to the disk, and is there after some time."""
        if marks := self.marks.make(now):
            if self.variant is Variant.EARLY:
                self.marks.written(marks, self.quotas.accounts.get)
            self.writing.append((now + takes, marks))

    def synced(self, now: float) -> None:
        """What is on disk by now is."""
        for when, marks in [entry for entry in self.writing if entry[0] <= now]:
            self.writing.remove((when, marks))
            self.disk.marks.update({mark.key: mark for mark in marks})
            self.marks.written(marks, self.quotas.accounts.get)


@dataclass
class Told:
    """What became of a schedule."""

    sent: int = 0
    refused: int = 0
    crashes: int = 0
    excess: float = 0.0  # units beyond the ceiling


def play(seed: int, variant: Variant = Variant.NONE, seconds: float = 30.0, count: int = 3) -> Told:
    """One schedule: customers at the edge of their ceiling and below, slow and quick disks, crashes at any time."""
    random, told, now, lives = Random(seed), Told(), 100.0, 0
    disks = [Disk() for _ in range(count)]
    gates: list[Life | None] = []
    for disk in disks:
        lives += 1
        gates.append(Life(disk, now, lives, variant))
    units: dict[str, list[tuple[float, float]]] = {f"{n:x}": [] for n in range(CUSTOMERS)}
    slow = random.choice((0.005, 0.05, 0.4, 1.5))
    rate = random.choice((20.0, 60.0, 200.0))
    customers, fragile = random.randint(1, CUSTOMERS), random.choice((0.002, 0.01, 0.03))
    looked = now
    while now < 100.0 + seconds:
        now += random.expovariate(rate)
        n = random.randrange(count)
        gate = gates[n]
        for other in gates:
            if other is not None:
                other.synced(now)
                if random.random() < 0.5:
                    other.write(now, random.expovariate(1 / slow))
        if now - looked > 1.0:
            looked = now
            for other in gates:
                if other is not None:
                    other.marks.look()
                    for key in other.marks.idle(now, 5):
                        other.disk.marks.pop(key, None)
        if gate is None:
            if random.random() < 0.5:
                lives += 1
                gates[n] = Life(disks[n], now, lives, variant)
        elif random.random() < fragile:
            told.crashes += 1
            gates[n] = None
            if random.random() < 0.3:  # all at once
                told.crashes += sum(other is not None for other in gates)
                gates = [None] * count
        else:
            amount = random.choice((0.5, 1.0, 1.0, 2.0))
            customer = f"{random.randrange(customers):x}"
            if gate.ask(now, customer, amount, count):
                told.sent += 1
                units[customer].append((now, amount))
            else:
                told.refused += 1
    told.excess = max(overspent(each, PLAN.ceiling_rate, PLAN.ceiling_capacity) for each in units.values() if each)
    return told
