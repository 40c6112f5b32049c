"""A bounded table of customers' accounts in memory, ordered by last use. `Quotas` evicts from it."""

from __future__ import annotations

from collections import OrderedDict

from micagate.accounts import Account


class AccountTable:
    """The accounts in two queues of `max_accounts` / 2, each ordered by last use (2Q: Johnson, Shasha 1994).

    One holds accounts used once, the other those used repeatedly. A flood of customers that each send one request
    therefore evicts only its own kind, and regular customers keep their accounts.
    """

    def __init__(self, max_accounts: int) -> None:
        self._seen_once: OrderedDict[str, Account] = OrderedDict()
        self._seen_repeatedly: OrderedDict[str, Account] = OrderedDict()
        self.queues = self._seen_once, self._seen_repeatedly  # least recently used first
        self.max_per_queue = max(1, max_accounts // 2)

    def __len__(self) -> int:
        return len(self._seen_once) + len(self._seen_repeatedly)

    def get(self, key: str) -> Account | None:
        """Return the account of a customer key, or None."""
        return self._seen_repeatedly.get(key) or self._seen_once.get(key)

    def record_use(self, account: Account) -> None:
        """Make an account the most recently used one; its second use moves it to the other queue."""
        if account.key in self._seen_repeatedly:
            self._seen_repeatedly.move_to_end(account.key)
        elif self._seen_once.pop(account.key, None) is not None:
            self._seen_repeatedly[account.key] = account
        else:
            self._seen_once[account.key] = account
