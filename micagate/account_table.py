"""A table of customers' accounts that is bounded by a number. Decides nothing on a request."""

from __future__ import annotations

from collections import OrderedDict

from micagate.accounts import Account


class AccountTable:
    """The accounts, bounded: those that asked once apart from those that asked again.

    Guards the usual customers against ever so many that come once: these only push out each other. Two
    queues, each by last use (2Q: Johnson, Shasha 1994). Half of the places are for those seen once.
    """

    def __init__(self, most: int) -> None:
        self._once: OrderedDict[str, Account] = OrderedDict()
        self._often: OrderedDict[str, Account] = OrderedDict()
        self.queues = self._once, self._often  # each by last use, the longest ago first
        self.most = max(1, most // 2)  # of each

    def __len__(self) -> int:
        return len(self._once) + len(self._often)

    def get(self, key: str) -> Account | None:
        """The account of a customer, if it is here."""
        return self._often.get(key) or self._once.get(key)

    def use(self, account: Account) -> None:
        """A customer has asked: its account is the latest used."""
        if account.key in self._often:
            self._often.move_to_end(account.key)
        elif self._once.pop(account.key, None) is not None:
            self._often[account.key] = account
        else:
            self._once[account.key] = account
