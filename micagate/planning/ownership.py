"""Decides which planner plans which shard: rendezvous hashing over the live planners (Thaler, Ravishankar 1998).

A vacant shard is claimed by the planner that hashing prefers, and after a delay by any other. A planner releases its
shards one at a time to a preferred planner that has been a member for a while. Safety does not depend on this: when
a shard has two owners, forwarders follow the one with the higher epoch.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

CLAIM_DELAY_SECONDS = 1.0  # how long a vacant shard waits for its preferred planner
MIN_MEMBER_AGE_SECONDS = 3.0  # how long a planner must be a member before shards move to it
RELEASE_INTERVAL_SECONDS = 0.5  # the least time between two shards that one planner releases


@dataclass(frozen=True, slots=True)
class Claim:
    """Claims a vacant shard with this epoch; `modified` is the store revision of the shard's last epoch, 0 if none."""

    shard: int
    epoch: int
    modified: int


@dataclass(frozen=True, slots=True)
class Release:
    """Releases a shard whose owner entry in the store was last modified at revision `modified`."""

    shard: int
    modified: int


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard according to the store."""

    planner: str
    epoch: int
    modified: int


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a resource key; a stable hash, equal on all machines and versions."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=4).digest(), "big") % shards


def preferred_planner(shard: int, planners: Iterable[str]) -> str | None:
    """Return the planner that rendezvous hashing prefers for a shard, None if there are no planners."""
    return max(
        planners,
        default=None,
        key=lambda name: (hashlib.blake2b(f"{shard} {name}".encode(), digest_size=8).digest(), name),
    )


class Ownership:
    """Decides which shards one planner should claim and release, from the contents of the store."""

    def __init__(self, name: str, shards: int) -> None:
        self.name, self._shards = name, shards
        self._member_since: dict[str, float] = {}  # by planner: time it became a member
        self._owners: dict[int, Owner] = {}
        self._epochs: dict[int, tuple[int, int]] = {}  # by shard: the last epoch and its store revision
        self._reported_epochs: dict[int, int] = {}  # by shard: the highest epoch that a forwarder has reported
        self._vacant_since: dict[int, float] = {}  # by shard: time it became vacant
        self._released_at = 0.0

    def reset(self, now: float) -> None:
        """Prepare to read the store again. Members that are still present keep the time they joined."""
        self._owners.clear()
        for shard, (number, _) in self._epochs.items():  # the store may have come back empty
            self.report_epoch(shard, number)
        self._epochs.clear()
        for shard in range(self._shards):
            self._vacant_since.setdefault(shard, now)

    def set_members(self, now: float, names: Iterable[str]) -> None:
        """Set the planners that are present."""
        self._member_since = {name: self._member_since.get(name, now) for name in names}

    def update_member(self, now: float, name: str, is_present: bool) -> None:
        """Record that a planner has joined or left."""
        if is_present:
            self._member_since.setdefault(name, now)
        else:
            self._member_since.pop(name, None)

    def set_owner(self, now: float, shard: int, owner: Owner | None) -> None:
        """Set the owner of a shard according to the store; None makes it vacant."""
        if owner is None:
            self._owners.pop(shard, None)
            self._vacant_since.setdefault(shard, now)
        else:
            self._owners[shard] = owner
            self._vacant_since.pop(shard, None)

    def set_epoch(self, shard: int, number: int, modified: int) -> None:
        """Set the last epoch of a shard according to the store."""
        self._epochs[shard] = number, modified

    def report_epoch(self, shard: int, epoch: int) -> None:
        """Record an epoch that a forwarder knows; a store that came back empty may not have it."""
        self._reported_epochs[shard] = max(epoch, self._reported_epochs.get(shard, 0))

    def owned(self) -> dict[int, int]:
        """Return the shards that this planner owns according to the store, with their epochs."""
        return {shard: owner.epoch for shard, owner in self._owners.items() if owner.planner == self.name}

    def owners(self) -> dict[int, Owner]:
        """Return the owner of each shard according to the store."""
        return dict(self._owners)

    def store_operations(self, now: float) -> list[Claim | Release]:
        """Return the claims and releases to attempt at the store now."""
        operations: list[Claim | Release] = []
        if self.name not in self._member_since:
            return operations
        for shard in range(self._shards):
            owner = self._owners.get(shard)
            preferred = preferred_planner(shard, self._member_since)
            if owner is None:
                since = self._vacant_since.setdefault(shard, now)
                if preferred == self.name or now - since >= CLAIM_DELAY_SECONDS:
                    number, modified = self._epochs.get(shard, (0, 0))
                    operations.append(Claim(shard, max(number, self._reported_epochs.get(shard, 0)) + 1, modified))
            elif owner.planner == self.name:
                is_superseded = self._reported_epochs.get(shard, 0) > owner.epoch  # forwarders follow a higher epoch
                should_move = (
                    preferred is not None
                    and preferred != self.name
                    and now - self._member_since[preferred] >= MIN_MEMBER_AGE_SECONDS
                    and now - self._released_at >= RELEASE_INTERVAL_SECONDS
                )
                if is_superseded or should_move:
                    self._released_at = now
                    operations.append(Release(shard, owner.modified))
        return operations
