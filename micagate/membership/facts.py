"""Facts that hold for the whole fleet: of each kind and key the last word stands, by its stamp (last writer wins)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from micagate.membership.clock import Stamp
from micagate.membership.messages import Fact

Key = tuple[str, str]


def digest(*parts: object) -> int:
    """64 bits that differ where any part does, the same on every machine."""
    return int.from_bytes(hashlib.blake2b(repr(parts).encode(), digest_size=8).digest(), "big")


class Facts:
    """All that a member has heard; `sum` changes with each."""

    def __init__(self, facts: Iterable[Fact] = ()) -> None:
        self._facts: dict[Key, Fact] = {}
        self.sum = 0
        for fact in facts:
            self.put(fact)

    def put(self, fact: Fact) -> bool:
        """Hear a fact; whether it is news. An older one than what stands is none, wherever it comes from."""
        key = fact.kind, fact.key
        old = self._facts.get(key)
        if old is not None and old.stamp >= fact.stamp:
            return False
        if old is not None:
            self.sum ^= digest(*key, old.stamp)
        self._facts[key] = fact
        self.sum ^= digest(*key, fact.stamp)
        return True

    def get(self, kind: str, key: str) -> Fact | None:
        """The last word on a key."""
        return self._facts.get((kind, key))

    def of(self, kind: str) -> Iterator[Fact]:
        """All of a kind."""
        return (fact for fact in self._facts.values() if fact.kind == kind)

    def stamps(self) -> tuple[tuple[str, str, Stamp], ...]:
        """What there is, without what it says."""
        return tuple((kind, key, fact.stamp) for (kind, key), fact in self._facts.items())

    def newer(self, stamps: Iterable[tuple[str, str, Stamp]]) -> list[Fact]:
        """What whoever has these lacks."""
        theirs = {(kind, key): stamp for kind, key, stamp in stamps}
        return [fact for key, fact in self._facts.items() if key not in theirs or theirs[key] < fact.stamp]

    def __iter__(self) -> Iterator[Fact]:
        return iter(list(self._facts.values()))

    def __len__(self) -> int:
        return len(self._facts)
