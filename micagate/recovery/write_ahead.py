"""Keeps ceilings over a crash by write-ahead marks: how far an account may be spent before its next mark is on disk.

A mark holds a level of an account's local share of the ceiling and the time at which it was made. From then on this
gateway keeps the balance at or above that level, which rises at the rate of the local share (a token bucket below the
token bucket). So after any crash the balance is at least what the mark says, and starting with just that amount spends
nothing twice. This is write-ahead logging (Mohan and others, ARIES, 1992) with an allowance in units in place of a
record for each request.

One default mark holds for all accounts without their own (`default_mark`): `UNMARKED_SPENDABLE_FRACTION` of each
local share may be spent before the account has its own mark, so that the first request of a customer does not wait for
the disk.

Trade-off: after a crash a customer has up to its `lead` less than it could have. While the disk is slow, customers can
spend only what the last mark allows, and further requests are refused.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from micagate.accounts import Account
from micagate.recovery.high_water_mark import HighWaterMark

UNMARKED_SPENDABLE_FRACTION = 0.5  # of a local share, that a customer without a mark may spend
# A lead covers so many of the largest requests seen, or the use of so many seconds if that is more.
LEAD_REQUESTS, LEAD_SECONDS = 1.0, 1.0
REFRESH_SECONDS = 1.0  # how often accounts well above their mark get a new one
# The rate of a local share below SMALL_RATE units a second may have been lowered by a meter reading
# (`micagate.quotas`), but not below SMALL_RATE_FACTOR of it.
SMALL_RATE = 2.0
SMALL_RATE_FACTOR = 0.5
MAX_MARKS_PER_STEP = 200  # bounds the time of one step


def local_ceiling(account: Account) -> tuple[float, float]:
    """Return an account's local share of the ceiling: its capacity in units and its least refill rate a second."""
    rate = account.plan.ceiling_rate / account.gateway_count
    return (
        account.plan.ceiling_capacity / account.gateway_count,
        rate * SMALL_RATE_FACTOR if rate < SMALL_RATE else rate,
    )


def default_mark(key: str, started_at: float, capacity: float, rate: float) -> HighWaterMark:
    """Return the default mark of accounts without their own, in an incarnation that started empty at `started_at`."""
    return HighWaterMark(
        key, -UNMARKED_SPENDABLE_FRACTION * capacity, started_at, (1 - UNMARKED_SPENDABLE_FRACTION) * capacity, rate
    )


def lead(account: Account) -> float:
    """Return how far below the balance of an account its marks are made, in units."""
    return max(
        LEAD_REQUESTS * max(1.0, account.largest_request), LEAD_SECONDS * max(account.forecast, account.long_forecast)
    )


def make_mark(account: Account, now: float) -> HighWaterMark:
    """Make a mark of an account's present balance."""
    (capacity, rate), ahead = local_ceiling(account), lead(account)
    return HighWaterMark(
        account.key,
        max(0.0, account.ceiling_balance - ahead),
        now,
        capacity - min(ahead, UNMARKED_SPENDABLE_FRACTION * capacity),
        rate,
    )


class HighWaterMarks:
    """The marks of one incarnation of a gateway, and those that the previous one has left on disk.

    `persisted` has the marks of the previous incarnation; `previous_default_since` is when its default mark was made,
    or None if unknown. This incarnation's default mark, made at `started_at`, must be on disk before a request is
    served.
    """

    def __init__(
        self,
        started_at: float,
        persisted: Mapping[str, HighWaterMark] | None = None,
        previous_default_since: float | None = None,
    ) -> None:
        self.started_at, self._previous_default_since = (
            started_at,
            started_at if previous_default_since is None else min(started_at, previous_default_since),
        )
        self._persisted = dict(persisted or {})
        self._written: dict[str, HighWaterMark] = {}  # of this incarnation, and on disk
        self._being_written: set[str] = set()  # keys of marks that are being written
        self.due_accounts: dict[str, Account] = {}  # accounts that need a mark
        self.write_immediately = False  # a request waits for one of these marks, or the next request would
        # Called for each account that is created, to restore its other persisted values.
        self.on_account_opened: Callable[[float, Account], None] | None = None
        self._spent_accounts: dict[str, Account] = {}  # spent from since the last `refresh`

    def open_account(self, now: float, account: Account, seconds_to_full: float) -> None:
        """Set the ceiling balance of a new account to what is surely left, and its mark to the one on disk.

        `seconds_to_full` is the time that the account still needs to fill up, as far as this incarnation knows.
        """
        if self.on_account_opened is not None:
            self.on_account_opened(now, account)
        if not account.plan.ceiling_rate:
            return
        capacity, rate = local_ceiling(account)
        if (written := self._written.get(account.key)) is not None:  # the account was evicted and is back
            account.ceiling_high_water_mark = written
            account.ceiling_balance = max(account.ceiling_balance, min(capacity, written.level_at(now)))
            return
        # The least that the previous incarnation has left by its default mark, and by this account's own mark if any.
        level = default_mark(account.key, self._previous_default_since, capacity, rate).level_at(self.started_at)
        if (persisted := self._persisted.get(account.key)) is not None:
            level = (
                persisted.level_at(self.started_at)
                if persisted.since >= self._previous_default_since
                else min(level, persisted.level_at(self.started_at))
            )
        level = min(capacity, level + (now - self.started_at) * rate)
        account.ceiling_balance = max(0.0, level - seconds_to_full * account.plan.ceiling_rate / account.gateway_count)
        account.ceiling_high_water_mark = default_mark(account.key, self.started_at, capacity, rate)

    def allows(self, account: Account, units: float) -> bool:
        """Return whether the mark on disk allows to spend `units`; request a new mark if only the mark forbids it."""
        if (
            account.ceiling_high_water_mark is None
            or account.ceiling_balance - account.ceiling_high_water_mark.level_at(account.updated_at) >= units
        ):
            return True
        if account.ceiling_balance >= units:
            self.due_accounts[account.key], self.write_immediately = account, True
        return False

    def record_spending(self, account: Account) -> None:
        """Record that an account was spent from; request a new mark before the balance reaches the present one."""
        if account.ceiling_high_water_mark is None:
            return
        self._spent_accounts[account.key] = account
        spendable = account.ceiling_balance - account.ceiling_high_water_mark.level_at(account.updated_at)
        if spendable < max(account.largest_request, lead(account) / 2):
            self.due_accounts[account.key], self.write_immediately = (
                account,
                self.write_immediately or spendable < account.largest_request <= account.ceiling_balance,
            )

    def refresh(self) -> None:
        """Request marks for accounts well above their last one, so that a crash costs little. Call it once every
        `REFRESH_SECONDS`."""
        for account in self._spent_accounts.values():
            if (
                account.ceiling_high_water_mark is not None
                and account.ceiling_balance - account.ceiling_high_water_mark.level_at(account.updated_at)
                > 2 * lead(account)
            ):
                self.due_accounts.setdefault(account.key, account)
        self._spent_accounts.clear()

    def next_marks(self, now: float) -> list[HighWaterMark]:
        """Return at most `MAX_MARKS_PER_STEP` marks to write now, none for accounts whose mark is being written."""
        marks: list[HighWaterMark] = []
        self.write_immediately = False
        for key in [key for key in self.due_accounts if key not in self._being_written][:MAX_MARKS_PER_STEP]:
            account = self.due_accounts.pop(key)
            if account.ceiling_high_water_mark is not None:
                self._being_written.add(key)
                marks.append(make_mark(account, now))
        return marks

    def mark_written(self, marks: Iterable[HighWaterMark], find_account: Callable[[str], Account | None]) -> None:
        """Record that marks are on disk: their accounts may be spent down to them."""
        for mark in marks:
            self._being_written.discard(mark.key)
            self._written[mark.key] = mark
            opened_account = find_account(mark.key)
            if opened_account is not None and opened_account.ceiling_high_water_mark is not None:
                opened_account.ceiling_high_water_mark = mark

    def final_marks(self, now: float, accounts: Iterable[Account]) -> Iterator[HighWaterMark]:
        """Return marks with the full balance of each account, at a planned shutdown after the last request."""
        for account in accounts:
            if account.ceiling_high_water_mark is not None:
                # No lead, as nothing more is spent.
                yield HighWaterMark(account.key, round(account.ceiling_balance, 4), now, *local_ceiling(account))

    def mark_failed(self, marks: Iterable[HighWaterMark]) -> None:
        """Record that marks are not, or perhaps not, on disk: the marks before them hold."""
        for mark in marks:
            self._being_written.discard(mark.key)

    def distrust(self, now: float, accounts: Iterable[Account]) -> None:
        """Discard persisted marks that prove outdated: all ceilings count as spent when this incarnation started."""
        self._persisted.clear()
        self._previous_default_since = self.started_at
        for account in accounts:
            if account.ceiling_high_water_mark is not None:
                account.ceiling_balance = min(
                    account.ceiling_balance, max(0.0, now - self.started_at) * local_ceiling(account)[1]
                )

    def disable(self, accounts: Iterable[Account]) -> None:
        """Stop using marks, as when the disk has failed: accounts are spent as without persisted state."""
        for account in accounts:
            account.ceiling_high_water_mark = None
        self.due_accounts.clear()
        self._spent_accounts.clear()

    def removable_keys(self, now: float, limit: int) -> list[str]:
        """Check up to `limit` marks and remove those that have risen to their maximum, as they say no more than the
        default mark. Return their keys, to be removed from disk."""
        keys: list[str] = []
        for table in (self._written, self._persisted):
            for key in list(table)[: limit - len(keys)]:
                mark = table.pop(key)
                if (
                    mark.level_at(now) >= mark.max_level
                    and key not in self._being_written
                    and key not in self.due_accounts
                ):
                    keys.append(key)
                else:
                    table[key] = mark  # moves to the end, to be checked after all others
        return keys
