"""The local shares of resources that planners lease from one gateway to another.

A resource is a customer's limits or a worker's capacity. Each of the `gateway_count` gateways that use it has a share
of 1 / gateway_count, less what it has lent, plus what it has borrowed. Leases are kept by planner session; a session
has one expiry for all that it lent and one for all that it borrowed. Expiries are checked at each use, so that a
gateway that was suspended past an expiry spends nothing that is no longer its own. Without planners there are no
leases, and every share is exactly 1 / gateway_count.
"""

from __future__ import annotations

import math

from micagate import interface
from micagate.resource_keys import SessionValues, set_values

BUCKET_TRANSFER_RATIO = 0.7  # part of a share's bucket capacity that is lent with it; the rate is lent entirely


class Shares:
    """The leases in force, and the workers' capacities that planners report."""

    def __init__(self) -> None:
        self._lease_expiries: dict[int, tuple[float, float]] = {}  # by session: of what is lent, and borrowed
        self._leases: SessionValues = {}  # lent and borrowed share of each resource
        self.worker_capacities: SessionValues = {}  # of each worker, responses a second

    def apply(self, event: interface.ShareUpdate) -> None:
        """Update a session's leases and capacities; remove the session if both its leases have expired."""
        if event.expired:
            self._lease_expiries.pop(event.session, None)
            for table in (self._leases, self.worker_capacities):
                for key in list(table):
                    set_values(table, key, event.session)
            return
        self._lease_expiries[event.session] = event.lent_until, event.borrowed_until
        for share in event.changes:
            set_values(self._leases, share.key, event.session, share.lent, share.borrowed)
        for worker in event.capacities:
            set_values(self.worker_capacities, worker.key, event.session, worker.capacity)

    def worker_capacity(self, now: float, key: str) -> float:
        """Return the capacity of a worker for all gateways together, responses a second; 0 if it is not known."""
        for session, (capacity,) in reversed(self.worker_capacities.get(key, {}).items()):
            if now < self._lease_expiries[session][1]:
                return capacity
        return 0.0

    def __len__(self) -> int:
        return len(self._leases)

    def divisors(self, now: float, key: str, gateway_count: float) -> tuple[float, float]:
        """Return the divisors of a whole resource's rate and bucket capacity that give this gateway's local share.

        Both equal `gateway_count` without leases. Less capacity is lent than rate, so that new traffic at a lender
        can be served at once, until its share has adapted.
        """
        leases = self._leases.get(key)
        if leases is None:
            return gateway_count, gateway_count
        lent = borrowed = 0.0
        for session, (session_lent, session_borrowed) in leases.items():
            lent_until, borrowed_until = self._lease_expiries[session]
            lent += session_lent if now < lent_until else 0.0
            borrowed += session_borrowed if now < borrowed_until else 0.0
        if not lent and not borrowed:
            return gateway_count, gateway_count
        rate_share = max(0.0, 1.0 / gateway_count - lent) + borrowed
        capacity_share = max(0.0, 1.0 / gateway_count - lent * BUCKET_TRANSFER_RATIO) + borrowed * BUCKET_TRANSFER_RATIO
        return (
            1.0 / rate_share if rate_share > 0 else math.inf,
            1.0 / capacity_share if capacity_share > 0 else math.inf,
        )
