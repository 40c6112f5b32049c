"""Facts that hold for the whole fleet: for each kind and key, the value with the latest stamp (last writer wins)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from micagate.membership.clock import Stamp
from micagate.membership.messages import Fact

Key = tuple[str, str]


def digest(*parts: object) -> int:
    """Return a 64-bit hash of the parts that is the same on every machine."""
    return int.from_bytes(hashlib.blake2b(repr(parts).encode(), digest_size=8).digest(), "big")


class Facts:
    """The facts that a member knows; `checksum` is the XOR of their digests, to compare sets of facts."""

    def __init__(self, facts: Iterable[Fact] = ()) -> None:
        self._facts: dict[Key, Fact] = {}
        self.checksum = 0
        for fact in facts:
            self.put(fact)

    def put(self, fact: Fact) -> bool:
        """Store a fact unless a fact as late or later is known; return whether it was stored."""
        key = fact.kind, fact.key
        old = self._facts.get(key)
        if old is not None and old.stamp >= fact.stamp:
            return False
        if old is not None:
            self.checksum ^= digest(*key, old.stamp)
        self._facts[key] = fact
        self.checksum ^= digest(*key, fact.stamp)
        return True

    def get(self, kind: str, key: str) -> Fact | None:
        """Return the latest fact of a kind and key, None if there is none."""
        return self._facts.get((kind, key))

    def of_kind(self, kind: str) -> Iterator[Fact]:
        """Return all facts of a kind."""
        return (fact for fact in self._facts.values() if fact.kind == kind)

    def stamps(self) -> tuple[tuple[str, str, Stamp], ...]:
        """Return the kind, key and stamp of each fact, without the values."""
        return tuple((kind, key, fact.stamp) for (kind, key), fact in self._facts.items())

    def newer(self, stamps: Iterable[tuple[str, str, Stamp]]) -> list[Fact]:
        """Return the facts that a member with these stamps lacks."""
        theirs = {(kind, key): stamp for kind, key, stamp in stamps}
        return [fact for key, fact in self._facts.items() if key not in theirs or theirs[key] < fact.stamp]

    def __iter__(self) -> Iterator[Fact]:
        return iter(list(self._facts.values()))

    def __len__(self) -> int:
        return len(self._facts)
