"""One member's view of the fleet: who is there, in which life, and why one is not; told on by signs of life.

Each member keeps links to a few others, however many there are: to all of a small fleet, else to its successors on some
rings of hashed names and to those that it is a successor of (as the observers of Rapid: Suresh and others, 2018). On a
link go beats; what is new goes with them at once, and a digest of all shows what was missed. A silent neighbour is
suspected by whoever notices, which is spread like all else: it clears itself with a higher version, or is taken for
dead once the suspicion is old, sooner the more suspect it (SWIM: Das and others, 2002; Lifeguard: Dadgar and others,
2018). A member that was late itself suspects nobody for as long.

What is told apart: gone (its machine refuses), silent (stalled or cut off), a link that passes one way (`cut`), slow,
another life under the same name, and two lives at once under one name (`twin`).
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any

from micagate.membership.clock import HybridClock
from micagate.membership.detector import Arrivals
from micagate.membership.facts import Facts, digest
from micagate.membership.messages import (
    ALIVE,
    DEAD,
    GONE,
    MOST,
    SILENT,
    SUSPECT,
    Fact,
    Heartbeat,
    Message,
    Record,
    StateSummary,
)

RINGS = 4
LATE = 2.0  # intervals: a look that comes so late tells of a pause of this member's own
SLOWEST = 8.0  # times as long that a late member waits for others, at the most (Lifeguard)
RECOVER = 0.8  # of that is left with each look in time
ENOUGH = 2  # further accusers that make a suspicion as short as it gets (Lifeguard's K)
CUT = 3.0  # seconds that a neighbour which others hear is not suspected again, doubled each time
LONGEST_CUT = 60.0
PRUNE = 3.0  # seconds between looks for links that nobody needs, and that they are kept at the least
MISSED = 3  # beats in a row whose digest differs with nothing new, before all is compared


@dataclass(frozen=True, slots=True)
class Terms:
    """The times that members keep; seconds, but for the multiples of an interval.

    `interval`: between beats. `least`, `most`: intervals of silence that are never, and always, unusual. `shortest`,
    `longest`: how long a suspicion lasts with many accusers, and with one. `gone`: the same where its machine has
    refused a connection. `slow`: an answer later than this makes a neighbour slow. `again`: between tries at one that
    is dead.
    """

    interval: float = 0.2
    least: float = 3.0
    most: float = 8.0
    shortest: float = 0.3
    longest: float = 1.2
    gone: float = 0.1
    slow: float = 0.25
    again: float = 1.0
    full: int = 10  # members up to which each has a link to all

    def __post_init__(self) -> None:
        for each in fields(self):
            value = getattr(self, each.name)
            if not isinstance(value, int | float) or isinstance(value, bool) or not 0 < value < math.inf:
                raise ValueError(f"{each.name} must be a number above 0, not {value!r}")
        if self.most < self.least:
            raise ValueError(f"most ({self.most:g}) must be at least `least` ({self.least:g})")
        if self.longest < self.shortest:
            raise ValueError(f"longest ({self.longest:g}) must be at least `shortest` ({self.shortest:g})")
        if self.interval > 5:
            raise ValueError(f"interval must be at most 5 s, not {self.interval:g}")


@dataclass(slots=True)
class Link:
    """A link to a neighbour, which stands."""

    arrivals: Arrivals
    number: int = 0  # of the last beat sent
    seen: int = 0  # of the last one heard
    acked: int = 0  # of the last one that the other side has heard
    sent: dict[int, float] = field(default_factory=dict)  # beats not acknowledged, when sent
    records: dict[str, None] = field(default_factory=dict)  # news for it
    facts: dict[tuple[str, str], None] = field(default_factory=dict)
    differs: int = 0  # beats in a row with another digest
    took: float = 0.0  # seconds to the answer, smoothed
    offset: float | None = None  # of its wall clock to this one's
    due: float = 0.0  # when the next beat is
    began: float = 0.0


@dataclass(frozen=True, slots=True)
class News:
    """Something has changed: a member is `up`, `down`, `restarted`, `told` of itself, a `twin`; a `fact` is new."""

    what: str
    name: str
    cause: str = ""


def rings(names: Iterable[str], count: int = RINGS) -> list[list[str]]:
    """The members in the order of each ring, the same at all of them."""
    return [
        sorted(names, key=lambda name: hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest())
        for ring in range(count)
    ]


class Members:
    """One member. Times are seconds on its own clock; what it sends is returned, by neighbour."""

    def __init__(
        self,
        name: str,
        names: Sequence[str],
        boot: int,
        now: float,
        random: Random,
        terms: Terms | None = None,
        about: Mapping[str, Any] | None = None,
        facts: Iterable[Fact] = (),
        clock: HybridClock | None = None,
    ) -> None:
        if name not in names:
            raise ValueError(f"{name!r} is none of the members")
        self.name, self.names, self.terms = name, tuple(names), terms or Terms()
        self._random, self._rings = random, rings(names)
        self._places = [{each: at for at, each in enumerate(ring)} for ring in self._rings]
        self._pruned = now
        self.clock = clock or HybridClock(name)
        self.records: dict[str, Record] = {}
        self.facts = Facts()
        self.links: dict[str, Link] = {}
        self._sum = 0
        self._ends: dict[str, float] = {}  # of suspicions
        self._spared: dict[str, tuple[float, float]] = {}  # neighbours that others hear: until when, and for how long
        self._next_try: dict[str, float] = {}
        self._looked, self._late = now, 1.0
        self.updates: list[News] = []  # for the owner, who takes them
        self.duplicate_name = False  # another process has this name, and began later
        self.duplicate_incarnation = 0  # its life
        self.earlier_incarnations: dict[
            str, int
        ] = {}  # the latest life of each before its present one, where that was heard of
        self.heard_of: dict[str, float] = {}  # when each was last heard of as there
        self.beats = 0
        self.urgent = False  # clients wait for this member: those that refuse are tried again soon
        self._set(Record(name, boot, 1, about=dict(about or {})))
        for fact in facts:
            self._take(fact)

    # What the owner says.

    @property
    def me(self) -> Record:
        """This member's own record."""
        return self.records[self.name]

    @property
    def incarnation(self) -> int:
        """The number of this life."""
        return self.me.incarnation

    def set_about(self, **about: Any) -> None:
        """Say something of itself; all hear of it with the next beats."""
        if any(self.me.about.get(key) != value for key, value in about.items()):
            self._own(about={**self.me.about, **about})

    def raise_incarnation(self, boot: int) -> None:
        """Go on under a higher number: an earlier life had this one, or a higher, and this side did not know."""
        if boot > self.incarnation:
            self._set(Record(self.name, boot, 1, about=self.me.about))
            self.duplicate_name = False

    def publish_fact(self, wall: float, kind: str, key: str, value: Any) -> Fact:
        """Say something that holds for the fleet."""
        fact = Fact(kind, key, self.clock.stamp(wall), value)
        self._take(fact)
        return fact

    # Links.

    def peers_to_connect(self, now: float) -> list[str]:
        """Neighbours that a link should be made to from here, and may be tried now."""
        near = self.near()
        dead = [
            n for n in self.names if n != self.name and n not in self.links and not self.is_alive(n) and n not in near
        ]
        if dead:  # both sides of a cut that has healed take each other for dead
            near = [*near, self._random.choice(dead)]
        made = []
        for name in near:
            if name in self.links or now < self._next_try.get(name, 0.0):
                continue
            wait = self.terms.interval if self.is_alive(name) else self.terms.again
            if self.urgent:
                wait = self.terms.interval / 4
            self._next_try[name] = now + wait * (0.75 + 0.5 * self._random.random())
            made.append(name)
        return made

    def near(self, name: str = "") -> list[str]:
        """Those that a member, this one if none is named, makes links to: the later names of a small fleet, else its
        successors on each ring, up to the first that is there."""
        name = name or self.name
        if len(self.names) <= self.terms.full:
            return [other for other in self.names if other > name]
        made: dict[str, None] = {}
        for ring, places in zip(self._rings, self._places, strict=True):
            at = places[name]
            for step in range(1, RINGS + 1):
                other = ring[(at + step) % len(ring)]
                made[other] = None
                if self.is_alive(other):
                    break
        return [other for other in made if other != name]

    def links_to_close(self, now: float) -> list[str]:
        """Neighbours whose link neither side needs any more: made while much was dead, or across a cut."""
        if len(self.names) <= self.terms.full or now - self._pruned < PRUNE:
            return []
        self._pruned = now
        near = set(self.near())
        return [
            peer
            for peer, link in self.links.items()
            if peer not in near and now - link.began > PRUNE and self.name not in self.near(peer)
        ]

    def link_opened(self, now: float, peer: str) -> None:
        """A link stands; it replaces an earlier one to the same member."""
        link = self.links[peer] = Link(Arrivals(now, self.terms.interval, self.terms.least, self.terms.most))
        link.due = link.began = now
        link.differs = MISSED  # compare at once
        # What it has not heard yet of this member goes first.
        link.records[self.name] = None
        self._next_try.pop(peer, None)

    def link_closed(self, now: float, peer: str, refused: bool = False) -> None:
        """A link has ended, or none could be made; `refused`: its machine is there and says that nobody listens."""
        self.links.pop(peer, None)
        if refused:
            self._suspect(now, peer, GONE)
        elif now - self.heard_of.get(peer, -math.inf) > self.terms.most * self.terms.interval * self._late:
            self._suspect(now, peer, SILENT)

    # Time.

    def tick(self, now: float, wall: float) -> list[tuple[str, Message]]:
        """What is due: beats, suspicions. To be called twice in an interval at the least."""
        passed, self._looked = now - self._looked, now
        if passed > LATE * self.terms.interval:
            # This side slept: what others did meanwhile was not heard, and is no silence of theirs.
            self._late = min(SLOWEST, self._late * 2)
            for link in self.links.values():
                link.arrivals.last = now
                link.sent.clear()
            self._ends = {name: end + passed for name, end in self._ends.items()}
        else:
            self._late = max(1.0, self._late * RECOVER)
        for peer, link in list(self.links.items()):
            if link.arrivals.unusual(now, self._late) and now >= self._spared.get(peer, (0.0, 0.0))[0]:
                self._suspect(now, peer, SILENT)
        for name in [name for name, end in self._ends.items() if now >= end]:
            del self._ends[name]
            known = self.records.get(name)
            if known is not None and known.status == SUSPECT:
                self._set(Record(name, known.incarnation, known.version, DEAD, known.by, known.cause, known.about))
                self.updates.append(News("down", name, known.cause))
        out: list[tuple[str, Message]] = []
        for peer, link in self.links.items():
            if now >= link.due or link.records or link.facts:
                out += self._beat(now, wall, peer, link)
        return out

    def _beat(self, now: float, wall: float, peer: str, link: Link) -> list[tuple[str, Message]]:
        records = list(link.records)[:MOST]
        facts = list(link.facts)[:MOST]
        for name in records:
            del link.records[name]
        for key in facts:
            del link.facts[key]
        if now >= link.due:
            link.due = now + self.terms.interval * (0.9 + 0.2 * self._random.random())
        link.number += 1
        link.sent[link.number] = now
        if len(link.sent) > 64:
            del link.sent[next(iter(link.sent))]
        self.beats += 1
        beat = Heartbeat(
            link.number,
            link.seen,
            wall,
            self.digest(),
            tuple(self.records[name] for name in records),
            tuple(fact for key in facts if (fact := self.facts.get(*key)) is not None),
        )
        if link.differs >= MISSED:
            link.differs = 0
            return [(peer, beat), (peer, self._sums(True))]
        return [(peer, beat)]

    def _sums(self, answer: bool) -> StateSummary:
        return StateSummary(tuple((r.name, *r.order()) for r in self.records.values()), self.facts.stamps(), answer)

    def digest(self) -> int:
        """Of all that this member has heard: two that have the same have heard the same."""
        return self._sum ^ self.facts.sum

    # What is heard.

    def receive(self, now: float, wall: float, peer: str, message: Message) -> list[tuple[str, Message]]:
        """A neighbour has said something; what is to be answered at once."""
        link = self.links.get(peer)
        if link is None:
            return []
        link.arrivals.came(now)
        self.heard_of[peer] = now
        match message:
            case Heartbeat():
                self._acknowledged(now, wall, link, message)
                for record in message.records:
                    self._record(now, record, peer)
                for fact in message.facts:
                    self._take(fact, peer)
                if message.digest == self.digest() or link.records or link.facts:
                    link.differs = 0
                else:
                    link.differs += 1
            case StateSummary():
                theirs = {name: (boot, version, rank) for name, boot, version, rank in message.records}
                for name, record in self.records.items():
                    if record.order() > theirs.get(name, (0, 0, 0)):
                        link.records[name] = None
                for fact in self.facts.newer(message.facts):
                    link.facts[fact.kind, fact.key] = None
                if message.answer:
                    return [(peer, self._sums(False))]
        return []

    def _acknowledged(self, now: float, wall: float, link: Link, beat: Heartbeat) -> None:
        link.seen = max(link.seen, beat.number)
        if beat.seen > link.acked:
            link.acked = beat.seen
            sent = link.sent.get(beat.seen)
            for number in [number for number in link.sent if number <= beat.seen]:
                del link.sent[number]
            if sent is not None:
                # An answer waits for the other side's next beat, half an interval on average.
                took = max(0.0, now - sent - self.terms.interval / 2)
                link.took += 0.2 * (took - link.took)
        link.offset = beat.wall - wall

    def _record(self, now: float, record: Record, source: str) -> None:
        """Hear of a member, from a neighbour."""
        if record.name not in self.names:
            return  # none of this fleet's, or of a newer file's
        if record.name == self.name:
            self._of_me(record)
            return
        known = self.records.get(record.name)
        if known is not None and record.order() == known.order():
            if record.status == SUSPECT and not set(record.by) <= set(known.by):
                by = tuple(sorted({*known.by, *record.by}))[:8]
                self._set(
                    Record(known.name, known.incarnation, known.version, SUSPECT, by, known.cause, known.about), source
                )
                self._shorten(now, record.name, by, known.cause)
            return
        if known is not None and record.order() < known.order():
            return
        if known is not None and record.incarnation > known.incarnation:
            self.earlier_incarnations[record.name] = max(
                known.incarnation, self.earlier_incarnations.get(record.name, 0)
            )
        self._set(record, source)
        was_there = known is not None and known.status != DEAD
        if record.status == ALIVE:
            self.heard_of[record.name] = now
            if record.name in self._ends:
                del self._ends[record.name]
                self._spare(now, record.name)
            if known is not None and record.incarnation > known.incarnation:
                self.updates.append(News("restarted", record.name))
            elif not was_there:
                self.updates.append(News("up", record.name))
            elif known is not None and known.about != record.about:
                self.updates.append(News("told", record.name))
        elif record.status == SUSPECT:
            self._ends[record.name] = now + self._patience(len(record.by), record.cause)
            if known is None:
                self.updates.append(News("up", record.name))
        else:
            self._ends.pop(record.name, None)
            if was_there:
                self.updates.append(News("down", record.name, record.cause))

    def _of_me(self, record: Record) -> None:
        """Others say something of this member."""
        me = self.me
        if record.incarnation > me.incarnation:
            self.duplicate_incarnation = max(self.duplicate_incarnation, record.incarnation)
            if not self.duplicate_name:
                self.duplicate_name = True
                self.updates.append(News("twin", self.name))
        elif record.incarnation == me.incarnation and (record.status != ALIVE or record.version > me.version):
            # Suspected, or taken for dead, or what this life has said before a pause: it is here, and says so.
            self._own(version=max(me.version, record.version) + 1)

    def _own(self, version: int = 0, about: dict[str, Any] | None = None) -> None:
        me = self.me
        self._set(
            Record(self.name, me.incarnation, version or me.version + 1, about=me.about if about is None else about)
        )

    def _set(self, record: Record, source: str = "") -> None:
        known = self.records.get(record.name)
        if known is not None:
            self._sum ^= digest(known.name, known.order())
        self.records[record.name] = record
        self._sum ^= digest(record.name, record.order())
        for peer, link in self.links.items():
            if peer != source:
                link.records[record.name] = None

    def _take(self, fact: Fact, source: str = "") -> None:
        self.clock.heard(fact.stamp)
        if self.facts.put(fact):
            self.updates.append(News("fact", fact.key, fact.kind))
            for peer, link in self.links.items():
                if peer != source:
                    link.facts[fact.kind, fact.key] = None

    # Suspicion.

    def _suspect(self, now: float, name: str, cause: str) -> None:
        known = self.records.get(name)
        if known is None or known.status == DEAD or self.name in known.by and known.cause == cause:
            return
        by = tuple(sorted({*known.by, self.name}))[:8]
        cause = GONE if GONE in (cause, known.cause) else cause
        self._set(Record(name, known.incarnation, known.version, SUSPECT, by, cause, known.about))
        self._shorten(now, name, by, cause)

    def _shorten(self, now: float, name: str, by: tuple[str, ...], cause: str) -> None:
        end = now + self._patience(len(by), cause)
        self._ends[name] = min(self._ends.get(name, math.inf), end)

    def _patience(self, accusers: int, cause: str) -> float:
        """How long a suspicion lasts (Lifeguard, eq. 1), longer where this member itself is late."""
        if cause == GONE:
            return self.terms.gone * self._late
        share = math.log(accusers) / math.log(ENOUGH + 1) if accusers > 1 else 0.0
        left = self.terms.longest - (self.terms.longest - self.terms.shortest) * min(1.0, share)
        return max(self.terms.shortest, left) * self._late

    def _spare(self, now: float, name: str) -> None:
        """A neighbour that was suspected has cleared itself: what is not heard from it here, others hear."""
        link = self.links.get(name)
        if link is not None and link.arrivals.unusual(now, self._late):
            _, last = self._spared.get(name, (0.0, CUT / 2))
            wait = min(LONGEST_CUT, 2 * last)
            self._spared[name] = now + wait, wait
        else:
            self._spared.pop(name, None)

    # What is known.

    def is_alive(self, name: str) -> bool:
        """Whether a member is taken to be there: alive, or not suspected for long enough."""
        known = self.records.get(name)
        return known is not None and known.status != DEAD

    def is_gone(self, name: str) -> bool:
        """Whether a member is surely not serving: its own machine has refused connections to it."""
        known = self.records.get(name)
        return known is not None and known.status == DEAD and known.cause == GONE

    def alive_count(self) -> int:
        """How many may be serving: all but those that are surely gone. Who is silent may be cut off and serve on."""
        return sum(not self.is_gone(name) for name in self.names)

    def unreachable_peers(self, now: float) -> dict[str, str]:
        """Neighbours whose link passes one way: `mute` ones are not heard here though others hear them, `deaf` ones do
        not hear this member."""
        made = {}
        for peer, link in self.links.items():
            if link.arrivals.unusual(now, self._late):
                if self.is_alive(peer) and peer in self._spared:
                    made[peer] = "mute"
            elif link.sent and now - next(iter(link.sent.values())) > self.terms.most * self.terms.interval:
                made[peer] = "deaf"
        return made

    def slow_peers(self) -> list[str]:
        """Neighbours that answer late."""
        return [peer for peer, link in self.links.items() if link.took > self.terms.slow]

    def offset(self) -> float | None:
        """By how much the neighbours' wall clocks are ahead of this one's: the median; None where nobody is heard."""
        known = sorted(link.offset for link in self.links.values() if link.offset is not None)
        return known[len(known) // 2] if known else None
