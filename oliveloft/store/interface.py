"""Defines the store that planners need. The contract tests in `tests/store/` apply to every implementation."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """Raised where the store is unreachable, too slow or sends a malformed answer; the call may have taken effect."""


class Compacted(StoreError):
    """Raised where a watch begins at a revision that is already compacted: read again and watch from there."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value, and the revision that last changed it."""

    key: str
    value: str
    modified: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys under a prefix, as of one revision."""

    revision: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write; with a lease the key is deleted when that ends (0: no lease)."""

    key: str
    value: str
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A changed key; `value` is None if it was deleted."""

    key: str
    value: str | None
    modified: int


class Store(Protocol):
    """A key-value store. Keys and values are text. Every call raises `StoreError` where its outcome is unknown."""

    async def lease(self, seconds: float) -> int:
        """Create a lease that expires this time after its last renewal, in whole seconds; the store may lengthen it."""

    async def renew(self, lease: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""

    async def revoke(self, lease: int) -> None:
        """End a lease now and delete all keys under it."""

    async def read(self, prefix: str) -> Snapshot:
        """Return all keys that begin with the prefix."""

    async def commit(
        self, expect: Mapping[str, int], puts: Sequence[Put] = (), deletes: Sequence[str] = ()
    ) -> int | None:
        """Write all or nothing, if each key in `expect` was last changed at the given revision (0: does not exist).

        Returns the new revision, or None if the condition did not hold.
        """

    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Change]]:
        """Yield the changes under a prefix after a revision, in order, until the caller stops."""

    async def close(self) -> None:
        """Close all connections."""
