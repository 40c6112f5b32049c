"""Random schedules of gatekeepers that spend ceilings, persist high-water marks and crash.

The units admitted by all gatekeepers together are compared with one token bucket of the plan's ceiling. `Variant`
leaves out one rule of the write-ahead protocol; tests and benchmarks check that some schedule of each overspends.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from micagate import Plan
from micagate.quotas import Quotas
from micagate.recovery.high_water_mark import HighWaterMark
from micagate.recovery.write_ahead import HighWaterMarks
from rig.limited_worker import max_overspending

PLAN = Plan("capped", rate=1000.0, burst=1000.0, ceiling_rate=12.0, ceiling_capacity=24.0)
CUSTOMERS = 2
TOLERANCE = 1e-6


class Variant(Enum):
    """A rule of the write-ahead protocol that is left out."""

    NONE = "none"
    NOT_AHEAD = "accounts are spent without waiting for their mark"
    EARLY = "a mark counts before it is on disk"
    FULL = "accounts begin full after a crash"
    LAST_LIFE = "the mark for all of a life is not written at its start"


@dataclass
class Disk:
    """State that survives a crash: the marks that were synced, and when the previous incarnation started."""

    marks: dict[str, HighWaterMark] = field(default_factory=dict)
    previous_start: float | None = None


class Incarnation:
    """One gatekeeper from its start to a crash."""

    def __init__(self, disk: Disk, now: float, number: int, variant: Variant) -> None:
        self.disk, self.variant = disk, variant
        self.quotas = Quotas(now, None, 100, str(number))
        self.marks = self.quotas.ceiling_high_water_marks = HighWaterMarks(now, disk.marks, disk.previous_start)
        if variant is not Variant.LAST_LIFE or disk.previous_start is None:
            disk.previous_start = now
        self.full_after_crash = variant is Variant.FULL
        # Marks with the time at which they are on disk.
        self.pending_writes: list[tuple[float, list[HighWaterMark]]] = []

    def admit(self, now: float, customer: str, units: float, count: int) -> bool:
        """Return whether a request of a customer is admitted."""
        account = self.quotas.account(now, customer, PLAN, count)
        if self.full_after_crash and account.ceiling_balance < PLAN.ceiling_capacity / count and not account.demand:
            account.ceiling_balance = PLAN.ceiling_capacity / count
        account.demand += units
        account.largest_request = max(account.largest_request, units)
        if self.variant is Variant.NOT_AHEAD and account.ceiling_high_water_mark is not None:
            account.ceiling_high_water_mark = account.ceiling_high_water_mark._replace(level=-1e9)
        if not self.quotas.ceiling_allows(account, units, False):
            return False
        self.quotas.spend(account, units, True)
        return True

    def write(self, now: float, sync_seconds: float) -> None:
        """Start to write the marks that are due; they are on disk after `sync_seconds`."""
        if marks := self.marks.next_marks(now):
            if self.variant is Variant.EARLY:
                self.marks.mark_written(marks, self.quotas.accounts.get)
            self.pending_writes.append((now + sync_seconds, marks))

    def complete_writes(self, now: float) -> None:
        """Complete the writes whose time has come."""
        for when, marks in [entry for entry in self.pending_writes if entry[0] <= now]:
            self.pending_writes.remove((when, marks))
            self.disk.marks.update({mark.key: mark for mark in marks})
            self.marks.mark_written(marks, self.quotas.accounts.get)


@dataclass
class ScheduleResult:
    """Result of a schedule."""

    admitted: int = 0
    refused: int = 0
    crashes: int = 0
    excess: float = 0.0  # units beyond the ceiling


def play(seed: int, variant: Variant = Variant.NONE, seconds: float = 30.0, count: int = 3) -> ScheduleResult:
    """Run a schedule: customers near or below their ceiling, slow or fast disks, crashes at any time."""
    random, result, now, incarnations = Random(seed), ScheduleResult(), 100.0, 0
    disks = [Disk() for _ in range(count)]
    gatekeepers: list[Incarnation | None] = []
    for disk in disks:
        incarnations += 1
        gatekeepers.append(Incarnation(disk, now, incarnations, variant))
    admitted_units: dict[str, list[tuple[float, float]]] = {f"{n:x}": [] for n in range(CUSTOMERS)}
    mean_sync_seconds = random.choice((0.005, 0.05, 0.4, 1.5))
    rate = random.choice((20.0, 60.0, 200.0))
    customers, crash_probability = random.randint(1, CUSTOMERS), random.choice((0.002, 0.01, 0.03))
    last_check = now
    while now < 100.0 + seconds:
        now += random.expovariate(rate)
        n = random.randrange(count)
        gatekeeper = gatekeepers[n]
        for other in gatekeepers:
            if other is not None:
                other.complete_writes(now)
                if random.random() < 0.5:
                    other.write(now, random.expovariate(1 / mean_sync_seconds))
        if now - last_check > 1.0:
            last_check = now
            for other in gatekeepers:
                if other is not None:
                    other.marks.refresh()
                    for key in other.marks.removable_keys(now, 5):
                        other.disk.marks.pop(key, None)
        if gatekeeper is None:
            if random.random() < 0.5:
                incarnations += 1
                gatekeepers[n] = Incarnation(disks[n], now, incarnations, variant)
        elif random.random() < crash_probability:
            result.crashes += 1
            gatekeepers[n] = None
            if random.random() < 0.3:  # all gatekeepers crash at the same time
                result.crashes += sum(other is not None for other in gatekeepers)
                gatekeepers = [None] * count
        else:
            amount = random.choice((0.5, 1.0, 1.0, 2.0))
            customer = f"{random.randrange(customers):x}"
            if gatekeeper.admit(now, customer, amount, count):
                result.admitted += 1
                admitted_units[customer].append((now, amount))
            else:
                result.refused += 1
    result.excess = max(
        max_overspending(admitted, PLAN.ceiling_rate, PLAN.ceiling_capacity)
        for admitted in admitted_units.values()
        if admitted
    )
    return result
