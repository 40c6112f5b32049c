"""One member's view of the fleet: which members are alive, in which incarnation, and why others are not.

Each member has links to a few peers, whatever the size of the fleet: to all in a small fleet, else to its successors
on several rings of hashed names and to its predecessors (as the observers of Rapid: Suresh and others, 2018). Peers
exchange heartbeats on a link. Changes are sent at once with a heartbeat, and a digest of all records and facts shows
whether something was missed. A member that notices an unresponsive peer suspects it, and the suspicion spreads like
any change. The suspect clears itself with a higher version, or is declared dead when the suspicion ends, sooner the
more members accuse it (SWIM: Das and others, 2002; Lifeguard: Dadgar and others, 2018). A member that was late itself
waits longer before it suspects others.

These states are told apart: `gone` (the machine refuses connections), `silent` (stalled or partitioned), a one-way
link (`mute` or `deaf`), a slow peer, a new incarnation of a member, and a duplicate member name (`twin`).
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any

from micagate.membership.clock import HybridClock
from micagate.membership.detector import PhiAccrualDetector
from micagate.membership.facts import Facts, digest
from micagate.membership.messages import (
    ALIVE,
    DEAD,
    GONE,
    MAX_ENTRIES,
    SILENT,
    SUSPECT,
    Fact,
    Heartbeat,
    Message,
    Record,
    StateSummary,
)

RING_COUNT = 4  # rings of hashed names in a large fleet
LATE_INTERVALS = 2.0  # a `tick` so many intervals after the last one shows a pause of this member itself
MAX_LATENESS_FACTOR = 8.0  # largest factor by which a late member extends its timeouts (Lifeguard)
LATENESS_DECAY = 0.8  # the factor is multiplied by this at each `tick` in time
ACCUSERS_FOR_MIN_SUSPICION = 2  # further accusers that make a suspicion as short as possible (Lifeguard's K)
ONE_WAY_SUPPRESSION_SECONDS = 3.0  # how long a peer that others can hear is not suspected again; doubled each time
MAX_ONE_WAY_SUPPRESSION_SECONDS = 60.0
PRUNE_INTERVAL_SECONDS = 3.0  # time between searches for unneeded links, and their least age
DIGEST_MISMATCHES_BEFORE_SYNC = 3  # heartbeats in a row with another digest and no pending changes


@dataclass(frozen=True, slots=True)
class Terms:
    """The times of the membership protocol, in seconds unless stated otherwise.

    `interval`: time between heartbeats. `least`, `most`: a heartbeat is never overdue within `least` intervals of the
    last one, and always after `most`. `shortest`, `longest`: duration of a suspicion with many accusers, and with one.
    `gone`: its duration if the machine has refused a connection. `slow`: a peer with a longer round trip is slow.
    `again`: time between attempts to connect to a dead member.
    """

    interval: float = 0.2
    least: float = 3.0
    most: float = 8.0
    shortest: float = 0.3
    longest: float = 1.2
    gone: float = 0.1
    slow: float = 0.25
    again: float = 1.0
    full: int = 10  # up to so many members, each has a link to all

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
    """An established link to a peer."""

    detector: PhiAccrualDetector
    last_sent: int = 0  # number of the last heartbeat sent
    last_received: int = 0  # number of the last heartbeat received
    last_acked: int = 0  # number of the last heartbeat that the peer has received
    unacknowledged: dict[int, float] = field(default_factory=dict)  # heartbeats: number and time sent
    pending_records: dict[str, None] = field(default_factory=dict)  # changes to send, in order
    pending_facts: dict[tuple[str, str], None] = field(default_factory=dict)
    digest_mismatches: int = 0  # heartbeats in a row with another digest
    round_trip: float = 0.0  # round trip in seconds, smoothed
    clock_offset: float | None = None  # seconds by which the peer's wall clock is ahead
    next_heartbeat_at: float = 0.0  # time of the next heartbeat
    opened_at: float = 0.0  # time the link was opened


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """A change of the view: a member is `up`, `down`, `restarted`, has changed its own data (`told`) or has a
    duplicate name (`twin`), or a `fact` is new. `cause` is why a member is down, or the kind of a fact."""

    kind: str
    name: str
    cause: str = ""


def hash_rings(names: Iterable[str], count: int = RING_COUNT) -> list[list[str]]:
    """Return the members in the order of each ring, the same at all members."""
    return [
        sorted(names, key=lambda name: hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest())
        for ring in range(count)
    ]


class Members:
    """The membership state of one member. Times are seconds on its own clock; messages to send are returned, by peer.

    The owner takes `updates` and clears the list.
    """

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
            raise ValueError(f"{name!r} is not one of the members")
        self.name, self.names, self.terms = name, tuple(names), terms or Terms()
        self._random, self._rings = random, hash_rings(names)
        self._ring_positions = [{member: position for position, member in enumerate(ring)} for ring in self._rings]
        self._pruned_at = now
        self.clock = clock or HybridClock(name)
        self.records: dict[str, Record] = {}
        self.facts = Facts()
        self.links: dict[str, Link] = {}
        self._records_digest = 0
        self._suspicions_end_at: dict[str, float] = {}  # by suspect
        # Peers that others can hear: end and duration of the suppression of suspicions.
        self._suppressed: dict[str, tuple[float, float]] = {}
        self._next_try: dict[str, float] = {}
        self._ticked_at, self._lateness = now, 1.0
        self.updates: list[MembershipUpdate] = []  # changes for the owner
        self.duplicate_name = False  # another process has this name and started later
        self.duplicate_incarnation = 0  # its incarnation
        # The latest known incarnation of each member before its present one.
        self.earlier_incarnations: dict[str, int] = {}
        self.last_heard_at: dict[str, float] = {}  # when each member was last known to be alive
        self.heartbeats_sent = 0
        self.clients_waiting = False  # clients wait for this member: retry refused connections sooner
        self._set_record(Record(name, boot, 1, about=dict(about or {})))
        for fact in facts:
            self._store_fact(fact)

    # Changes by the owner.

    @property
    def me(self) -> Record:
        """This member's own record."""
        return self.records[self.name]

    @property
    def incarnation(self) -> int:
        """The number of this incarnation."""
        return self.me.incarnation

    def set_about(self, **about: Any) -> None:
        """Update this member's own data, which spreads with the next heartbeats."""
        if any(self.me.about.get(key) != value for key, value in about.items()):
            self._update_own_record(about={**self.me.about, **about})

    def raise_incarnation(self, boot: int) -> None:
        """Continue under a higher incarnation: a previous run already had this number or a higher one."""
        if boot > self.incarnation:
            self._set_record(Record(self.name, boot, 1, about=self.me.about))
            self.duplicate_name = False

    def publish_fact(self, wall: float, kind: str, key: str, value: Any) -> Fact:
        """Publish a value that holds for the whole fleet, and return it with its stamp."""
        fact = Fact(kind, key, self.clock.stamp(wall), value)
        self._store_fact(fact)
        return fact

    # Links.

    def peers_to_connect(self, now: float) -> list[str]:
        """Return the peers to connect to now."""
        candidates = self.preferred_peers()
        dead = [
            n
            for n in self.names
            if n != self.name and n not in self.links and not self.is_alive(n) and n not in candidates
        ]
        if dead:  # after a partition heals, both sides hold each other for dead
            candidates = [*candidates, self._random.choice(dead)]
        peers = []
        for name in candidates:
            if name in self.links or now < self._next_try.get(name, 0.0):
                continue
            wait = self.terms.interval if self.is_alive(name) else self.terms.again
            if self.clients_waiting:
                wait = self.terms.interval / 4
            self._next_try[name] = now + wait * (0.75 + 0.5 * self._random.random())
            peers.append(name)
        return peers

    def preferred_peers(self, name: str = "") -> list[str]:
        """Return the peers that a member, this one by default, connects to: in a small fleet the later names, else its
        successors on each ring up to the first that is alive."""
        name = name or self.name
        if len(self.names) <= self.terms.full:
            return [other for other in self.names if other > name]
        peers: dict[str, None] = {}
        for ring, positions in zip(self._rings, self._ring_positions, strict=True):
            position = positions[name]
            for step in range(1, RING_COUNT + 1):
                other = ring[(position + step) % len(ring)]
                peers[other] = None
                if self.is_alive(other):
                    break
        return [other for other in peers if other != name]

    def links_to_close(self, now: float) -> list[str]:
        """Return the peers whose link neither side needs any more, as after failures or a partition."""
        if len(self.names) <= self.terms.full or now - self._pruned_at < PRUNE_INTERVAL_SECONDS:
            return []
        self._pruned_at = now
        near = set(self.preferred_peers())
        return [
            peer
            for peer, link in self.links.items()
            if peer not in near
            and now - link.opened_at > PRUNE_INTERVAL_SECONDS
            and self.name not in self.preferred_peers(peer)
        ]

    def link_opened(self, now: float, peer: str) -> None:
        """Record a new link, which replaces an earlier one to the same peer."""
        link = self.links[peer] = Link(PhiAccrualDetector(now, self.terms.interval, self.terms.least, self.terms.most))
        link.next_heartbeat_at = link.opened_at = now
        link.digest_mismatches = DIGEST_MISMATCHES_BEFORE_SYNC  # synchronise at once
        # Send this member's own record first, as the peer may not have it.
        link.pending_records[self.name] = None
        self._next_try.pop(peer, None)

    def link_closed(self, now: float, peer: str, refused: bool = False) -> None:
        """Record that a link has closed or failed to open; `refused`: the machine is up but refuses connections."""
        self.links.pop(peer, None)
        if refused:
            self._raise_suspicion(now, peer, GONE)
        elif now - self.last_heard_at.get(peer, -math.inf) > self.terms.most * self.terms.interval * self._lateness:
            self._raise_suspicion(now, peer, SILENT)

    # Time.

    def tick(self, now: float, wall: float) -> list[tuple[str, Message]]:
        """Update suspicions and return the messages that are due. Call it at least twice an interval."""
        elapsed, self._ticked_at = now - self._ticked_at, now
        if elapsed > LATE_INTERVALS * self.terms.interval:
            # This process was paused: heartbeats of that time are not yet read, so no peer is overdue.
            self._lateness = min(MAX_LATENESS_FACTOR, self._lateness * 2)
            for link in self.links.values():
                link.detector.last_arrival = now
                link.unacknowledged.clear()
            self._suspicions_end_at = {name: end + elapsed for name, end in self._suspicions_end_at.items()}
        else:
            self._lateness = max(1.0, self._lateness * LATENESS_DECAY)
        for peer, link in list(self.links.items()):
            if link.detector.is_overdue(now, self._lateness) and now >= self._suppressed.get(peer, (0.0, 0.0))[0]:
                self._raise_suspicion(now, peer, SILENT)
        for name in [name for name, end in self._suspicions_end_at.items() if now >= end]:
            del self._suspicions_end_at[name]
            record = self.records.get(name)
            if record is not None and record.status == SUSPECT:
                self._set_record(
                    Record(name, record.incarnation, record.version, DEAD, record.by, record.cause, record.about)
                )
                self.updates.append(MembershipUpdate("down", name, record.cause))
        messages: list[tuple[str, Message]] = []
        for peer, link in self.links.items():
            if now >= link.next_heartbeat_at or link.pending_records or link.pending_facts:
                messages += self._make_heartbeat(now, wall, peer, link)
        return messages

    def _make_heartbeat(self, now: float, wall: float, peer: str, link: Link) -> list[tuple[str, Message]]:
        """Make a heartbeat with the pending changes, and a state summary after repeated digest mismatches."""
        records = list(link.pending_records)[:MAX_ENTRIES]
        facts = list(link.pending_facts)[:MAX_ENTRIES]
        for name in records:
            del link.pending_records[name]
        for key in facts:
            del link.pending_facts[key]
        if now >= link.next_heartbeat_at:
            link.next_heartbeat_at = now + self.terms.interval * (0.9 + 0.2 * self._random.random())
        link.last_sent += 1
        link.unacknowledged[link.last_sent] = now
        if len(link.unacknowledged) > 64:
            del link.unacknowledged[next(iter(link.unacknowledged))]
        self.heartbeats_sent += 1
        beat = Heartbeat(
            link.last_sent,
            link.last_received,
            wall,
            self.digest(),
            tuple(self.records[name] for name in records),
            tuple(fact for key in facts if (fact := self.facts.get(*key)) is not None),
        )
        if link.digest_mismatches >= DIGEST_MISMATCHES_BEFORE_SYNC:
            link.digest_mismatches = 0
            return [(peer, beat), (peer, self._summary(True))]
        return [(peer, beat)]

    def _summary(self, answer: bool) -> StateSummary:
        """Summarise all records and facts; `answer` asks the peer for its summary."""
        return StateSummary(tuple((r.name, *r.order()) for r in self.records.values()), self.facts.stamps(), answer)

    def digest(self) -> int:
        """Return a digest of all records and facts: members with equal digests know the same."""
        return self._records_digest ^ self.facts.checksum

    # Received messages.

    def receive(self, now: float, wall: float, peer: str, message: Message) -> list[tuple[str, Message]]:
        """Process a message from a peer; return the replies to send at once."""
        link = self.links.get(peer)
        if link is None:
            return []
        link.detector.record_arrival(now)
        self.last_heard_at[peer] = now
        match message:
            case Heartbeat():
                self._process_acknowledgement(now, wall, link, message)
                for record in message.records:
                    self._receive_record(now, record, peer)
                for fact in message.facts:
                    self._store_fact(fact, peer)
                if message.digest == self.digest() or link.pending_records or link.pending_facts:
                    link.digest_mismatches = 0
                else:
                    link.digest_mismatches += 1
            case StateSummary():
                theirs = {name: (boot, version, rank) for name, boot, version, rank in message.records}
                for name, record in self.records.items():
                    if record.order() > theirs.get(name, (0, 0, 0)):
                        link.pending_records[name] = None
                for fact in self.facts.newer(message.facts):
                    link.pending_facts[fact.kind, fact.key] = None
                if message.answer:
                    return [(peer, self._summary(False))]
        return []

    def _process_acknowledgement(self, now: float, wall: float, link: Link, heartbeat: Heartbeat) -> None:
        """Update a link's acknowledged number, round trip and clock offset."""
        link.last_received = max(link.last_received, heartbeat.number)
        if heartbeat.seen > link.last_acked:
            link.last_acked = heartbeat.seen
            sent = link.unacknowledged.get(heartbeat.seen)
            for number in [number for number in link.unacknowledged if number <= heartbeat.seen]:
                del link.unacknowledged[number]
            if sent is not None:
                # The acknowledgement waits for the peer's next heartbeat, half an interval on average.
                round_trip = max(0.0, now - sent - self.terms.interval / 2)
                link.round_trip += 0.2 * (round_trip - link.round_trip)
        link.clock_offset = heartbeat.wall - wall

    def _receive_record(self, now: float, record: Record, source: str) -> None:
        """Process a peer's record of a member."""
        if record.name not in self.names:
            return  # not a member according to this member's configuration, which may be older
        if record.name == self.name:
            self._receive_own_record(record)
            return
        known = self.records.get(record.name)
        if known is not None and record.order() == known.order():
            if record.status == SUSPECT and not set(record.by) <= set(known.by):
                by = tuple(sorted({*known.by, *record.by}))[:8]
                self._set_record(
                    Record(known.name, known.incarnation, known.version, SUSPECT, by, known.cause, known.about), source
                )
                self._shorten_suspicion(now, record.name, by, known.cause)
            return
        if known is not None and record.order() < known.order():
            return
        if known is not None and record.incarnation > known.incarnation:
            self.earlier_incarnations[record.name] = max(
                known.incarnation, self.earlier_incarnations.get(record.name, 0)
            )
        self._set_record(record, source)
        was_alive = known is not None and known.status != DEAD
        if record.status == ALIVE:
            self.last_heard_at[record.name] = now
            if record.name in self._suspicions_end_at:
                del self._suspicions_end_at[record.name]
                self._suppress_suspicion(now, record.name)
            if known is not None and record.incarnation > known.incarnation:
                self.updates.append(MembershipUpdate("restarted", record.name))
            elif not was_alive:
                self.updates.append(MembershipUpdate("up", record.name))
            elif known is not None and known.about != record.about:
                self.updates.append(MembershipUpdate("told", record.name))
        elif record.status == SUSPECT:
            self._suspicions_end_at[record.name] = now + self._suspicion_duration(len(record.by), record.cause)
            if known is None:
                self.updates.append(MembershipUpdate("up", record.name))
        else:
            self._suspicions_end_at.pop(record.name, None)
            if was_alive:
                self.updates.append(MembershipUpdate("down", record.name, record.cause))

    def _receive_own_record(self, record: Record) -> None:
        """Process a peer's record of this member."""
        me = self.me
        if record.incarnation > me.incarnation:
            self.duplicate_incarnation = max(self.duplicate_incarnation, record.incarnation)
            if not self.duplicate_name:
                self.duplicate_name = True
                self.updates.append(MembershipUpdate("twin", self.name))
        elif record.incarnation == me.incarnation and (record.status != ALIVE or record.version > me.version):
            # Peers suspect this member or hold it for dead, or know a later version: refute with a higher version.
            self._update_own_record(version=max(me.version, record.version) + 1)

    def _update_own_record(self, version: int = 0, about: dict[str, Any] | None = None) -> None:
        """Replace this member's record by one with a higher version."""
        me = self.me
        self._set_record(
            Record(self.name, me.incarnation, version or me.version + 1, about=me.about if about is None else about)
        )

    def _set_record(self, record: Record, source: str = "") -> None:
        """Store a record and spread it to all peers but `source`."""
        known = self.records.get(record.name)
        if known is not None:
            self._records_digest ^= digest(known.name, known.order())
        self.records[record.name] = record
        self._records_digest ^= digest(record.name, record.order())
        for peer, link in self.links.items():
            if peer != source:
                link.pending_records[record.name] = None

    def _store_fact(self, fact: Fact, source: str = "") -> None:
        """Store a fact and, if it is new, spread it to all peers but `source`."""
        self.clock.observe(fact.stamp)
        if self.facts.put(fact):
            self.updates.append(MembershipUpdate("fact", fact.key, fact.kind))
            for peer, link in self.links.items():
                if peer != source:
                    link.pending_facts[fact.kind, fact.key] = None

    # Suspicion.

    def _raise_suspicion(self, now: float, name: str, cause: str) -> None:
        """Suspect a member, or join the suspicion of others."""
        known = self.records.get(name)
        if known is None or known.status == DEAD or self.name in known.by and known.cause == cause:
            return
        by = tuple(sorted({*known.by, self.name}))[:8]
        cause = GONE if GONE in (cause, known.cause) else cause
        self._set_record(Record(name, known.incarnation, known.version, SUSPECT, by, cause, known.about))
        self._shorten_suspicion(now, name, by, cause)

    def _shorten_suspicion(self, now: float, name: str, by: tuple[str, ...], cause: str) -> None:
        """Move the end of a suspicion forward if there are more accusers or a graver cause."""
        end = now + self._suspicion_duration(len(by), cause)
        self._suspicions_end_at[name] = min(self._suspicions_end_at.get(name, math.inf), end)

    def _suspicion_duration(self, accuser_count: int, cause: str) -> float:
        """Return the duration of a suspicion (Lifeguard, eq. 1), longer if this member itself is late."""
        if cause == GONE:
            return self.terms.gone * self._lateness
        fraction = math.log(accuser_count) / math.log(ACCUSERS_FOR_MIN_SUSPICION + 1) if accuser_count > 1 else 0.0
        duration = self.terms.longest - (self.terms.longest - self.terms.shortest) * min(1.0, fraction)
        return max(self.terms.shortest, duration) * self._lateness

    def _suppress_suspicion(self, now: float, name: str) -> None:
        """Stop suspecting a peer for a while that cleared itself but is still not heard here: the link is one-way."""
        link = self.links.get(name)
        if link is not None and link.detector.is_overdue(now, self._lateness):
            _, previous_wait = self._suppressed.get(name, (0.0, ONE_WAY_SUPPRESSION_SECONDS / 2))
            wait = min(MAX_ONE_WAY_SUPPRESSION_SECONDS, 2 * previous_wait)
            self._suppressed[name] = now + wait, wait
        else:
            self._suppressed.pop(name, None)

    # Queries.

    def is_alive(self, name: str) -> bool:
        """Return whether a member is alive, or suspected but not yet declared dead."""
        known = self.records.get(name)
        return known is not None and known.status != DEAD

    def is_gone(self, name: str) -> bool:
        """Return whether a member is surely not serving: its own machine has refused connections to it."""
        known = self.records.get(name)
        return known is not None and known.status == DEAD and known.cause == GONE

    def alive_count(self) -> int:
        """Return how many members may be serving: all that are not gone. An unresponsive one may be partitioned and
        still serve."""
        return sum(not self.is_gone(name) for name in self.names)

    def unreachable_peers(self, now: float) -> dict[str, str]:
        """Return the peers with a one-way link: a `mute` one is not heard here though others hear it, a `deaf` one
        does not hear this member."""
        links = {}
        for peer, link in self.links.items():
            if link.detector.is_overdue(now, self._lateness):
                if self.is_alive(peer) and peer in self._suppressed:
                    links[peer] = "mute"
            elif (
                link.unacknowledged
                and now - next(iter(link.unacknowledged.values())) > self.terms.most * self.terms.interval
            ):
                links[peer] = "deaf"
        return links

    def slow_peers(self) -> list[str]:
        """Return the peers whose round trip is longer than `Terms.slow`."""
        return [peer for peer, link in self.links.items() if link.round_trip > self.terms.slow]

    def clock_offset(self) -> float | None:
        """Return the median of the seconds that peers' wall clocks are ahead of this one's, None without a peer."""
        known = sorted(link.clock_offset for link in self.links.values() if link.clock_offset is not None)
        return known[len(known) // 2] if known else None
