"""A fleet of members in simulated time: links like TCP connections, which stall, work in one direction only, or break.

A link delivers its messages in order. While a direction is blocked they wait, as TCP would retransmit them, and are
delivered once it heals, unless the link was closed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from micagate.membership.members import Members, MembershipUpdate, Terms
from micagate.membership.messages import Fact, Heartbeat, StateSummary
from rig.simulation import Clock

TICK_INTERVAL_SECONDS = 0.05  # between two ticks of a member
CONNECT_TIMEOUT_SECONDS = 0.5  # after which a connection attempt fails


@dataclass
class Node:
    """A member's machine: the state that survives its incarnations, and the running member, if any."""

    name: str
    incarnation: int = 0  # incarnation number
    member: Members | None = None
    run_number: int = 0  # of the incarnation; calls and messages meant for an earlier one are dropped
    paused: bool = False
    # Messages received while paused: source, message.
    queued_messages: list[tuple[Any, ...]] = field(default_factory=list)
    wall_clock_offset: float = 0.0  # offset of its wall clock from the true time, in seconds
    extra_delay: float = 0.0  # additional delay of each message that it sends, in seconds
    persisted_facts: list[Fact] = field(default_factory=list)  # facts persisted at its last stop
    # The member's updates, with their times.
    updates: list[tuple[float, MembershipUpdate]] = field(default_factory=list)
    stopped_at: float | None = None  # when its last incarnation ended


class MembershipSimulation:
    """A fleet of members. `network_delay` is the mean delay of a message in seconds.

    With `send_summaries` False members do not compare summaries of their state, and with `new_incarnations` False
    every incarnation has the same number: faulty variants that tests and benchmarks must detect.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        terms: Terms | None = None,
        network_delay: float = 0.002,
        send_summaries: bool = True,
        new_incarnations: bool = True,
        names: Sequence[str] = (),
    ) -> None:
        self.clock, self.random = Clock(1000.0), Random(seed)
        self.terms, self.network_delay, self.send_summaries, self.new_incarnations = (
            terms or Terms(),
            network_delay,
            send_summaries,
            new_incarnations,
        )
        self.names = list(names) or [f"g{n:03d}" for n in range(count)]
        self.nodes = {name: Node(name) for name in self.names}
        self.blocked_links: set[tuple[str, str]] = set()  # blocked directions: source, target
        self.retransmission_rate = 0.0  # probability that TCP has to retransmit a message
        self.disconnect_rate = 0.0  # probability per message that its link breaks
        # By pair: the run numbers of both members, in name order.
        self._links: dict[frozenset[str], tuple[int, int]] = {}
        self._queues: dict[tuple[str, str], list[tuple[float, Any]]] = {}
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def wall_clock(self, node: Node) -> float:
        """Return the reading of a member's wall clock, in seconds since the epoch."""
        return 1.7e9 + self.clock.now + node.wall_clock_offset

    def start(self, name: str, **attributes: Any) -> Members:
        """Start a member, under a new incarnation number (with `new_incarnations` False always under the same)."""
        node = self.nodes[name]
        node.incarnation = max(node.incarnation + 1, int(self.wall_clock(node))) if self.new_incarnations else 1
        node.run_number += 1
        node.paused = False
        node.queued_messages.clear()
        member = node.member = Members(
            name,
            self.names,
            node.incarnation,
            self.clock.now,
            Random(self.random.random()),
            self.terms,
            attributes,
            node.persisted_facts,
        )
        self.clock.after(self.random.random() * TICK_INTERVAL_SECONDS, self._tick, name, node.run_number)
        return member

    def stop(self, name: str) -> None:
        """Stop a member without a message to its peers; its machine stays up and refuses connections."""
        node = self.nodes[name]
        if node.member is not None:
            node.persisted_facts = list(node.member.facts)
        node.member, node.stopped_at = None, self.clock.now
        for pair in [pair for pair in self._links if name in pair]:
            del self._links[pair]
            (other,) = pair - {name}
            self._queues.pop((name, other), None)
            self._queues.pop((other, name), None)
            if not self._is_blocked(name, other):
                self.clock.after(
                    self.network_delay, self._connection_failed, other, self.nodes[other].run_number, name, True
                )

    def pause(self, name: str, seconds: float) -> None:
        """Pause a member for `seconds`; messages that arrive meanwhile are handled when it resumes."""
        node = self.nodes[name]
        node.paused = True
        self.clock.after(seconds, self._resume, name, node.run_number)

    def _resume(self, name: str, run_number: int) -> None:
        node = self.nodes[name]
        if node.run_number != run_number or node.member is None:
            return
        node.paused = False
        self._tick(name, run_number, reschedule=False)
        queued_messages, node.queued_messages = node.queued_messages, []
        for source, message in queued_messages:
            self._receive(name, run_number, source, message)

    def _is_blocked(self, a: str, b: str) -> bool:
        return (a, b) in self.blocked_links or (b, a) in self.blocked_links

    def _tick(self, name: str, run_number: int, reschedule: bool = True) -> None:
        node = self.nodes[name]
        member = node.member
        if member is None or node.run_number != run_number:
            return
        if reschedule:
            self.clock.after(TICK_INTERVAL_SECONDS, self._tick, name, run_number)
        if node.paused:
            return
        now = self.clock.now
        for peer in member.peers_to_connect(now):
            self._connect(name, run_number, peer)
        for peer, message in member.tick(now, self.wall_clock(node)):
            self._send(name, peer, message)
        for peer in member.links_to_close(now):
            if self._links.pop(frozenset((name, peer)), None) is not None:
                member.link_closed(now, peer)
                self.clock.after(
                    self.network_delay, self._connection_failed, peer, self.nodes[peer].run_number, name, False
                )
        self._record_updates(node)

    def _record_updates(self, node: Node) -> None:
        if node.member is not None:
            node.updates += [(self.clock.now, update) for update in node.member.updates]
            node.member.updates.clear()

    def _connect(self, name: str, run_number: int, peer: str) -> None:
        other = self.nodes[peer]
        if self._is_blocked(name, peer):
            self.clock.after(CONNECT_TIMEOUT_SECONDS, self._connection_failed, name, run_number, peer, False)
        elif other.member is None:
            self.clock.after(2 * self.network_delay, self._connection_failed, name, run_number, peer, True)
        elif other.paused:
            self.clock.after(CONNECT_TIMEOUT_SECONDS, self._connection_failed, name, run_number, peer, False)
        else:
            self.clock.after(2 * self.network_delay, self._connected, name, run_number, peer, other.run_number)

    def _connected(self, name: str, run_number: int, peer: str, peer_run_number: int) -> None:
        node, peer_node = self.nodes[name], self.nodes[peer]
        if (
            node.run_number != run_number
            or peer_node.run_number != peer_run_number
            or node.member is None
            or peer_node.member is None
        ):
            return
        self._links[frozenset((name, peer))] = (
            (run_number, peer_run_number) if name < peer else (peer_run_number, run_number)
        )
        self._queues[name, peer] = []
        self._queues[peer, name] = []
        node.member.link_opened(self.clock.now, peer)
        peer_node.member.link_opened(self.clock.now, name)

    def _connection_failed(self, name: str, run_number: int, peer: str, refused: bool) -> None:
        node = self.nodes[name]
        if node.run_number == run_number and node.member is not None and not node.paused:
            if refused and self.nodes[peer].member is not None and peer in node.member.links:
                return  # the peer restarted meanwhile
            node.member.link_closed(self.clock.now, peer, refused)
            self._links.pop(frozenset((name, peer)), None)

    def _send(self, name: str, peer: str, message: Any) -> None:
        if not self.send_summaries:
            if isinstance(message, StateSummary):
                return
            if isinstance(message, Heartbeat):
                message = Heartbeat(message.number, message.seen, message.wall, 0, message.records, message.facts)
        self.sent[name] += 1
        self.bytes[name] += 40 + 60 * len(getattr(message, "records", ())) + 60 * len(getattr(message, "facts", ()))
        pair = frozenset((name, peer))
        if pair not in self._links:
            return
        if self.random.random() < self.disconnect_rate:  # the connection breaks and its messages in transit are lost
            del self._links[pair]
            for source, target in ((name, peer), (peer, name)):
                self._connection_failed(source, self.nodes[source].run_number, target, False)
            return
        delay = self.network_delay * (0.5 + self.random.random()) + self.nodes[name].extra_delay
        if self.random.random() < self.retransmission_rate:
            delay += 0.2  # retransmission
        queue = self._queues[name, peer]
        due = max(self.clock.now + delay, queue[-1][0] if queue else 0.0)
        queue.append((due, message))
        self.clock.at(due, self._arrive, name, peer, self._links[pair])

    def _arrive(self, name: str, peer: str, link: tuple[int, int]) -> None:
        if self._links.get(frozenset((name, peer))) != link:
            return
        if (name, peer) in self.blocked_links:
            self.clock.after(0.2, self._arrive, name, peer, link)
            return
        queue = self._queues[name, peer]
        while queue and queue[0][0] <= self.clock.now:
            _, message = queue.pop(0)
            node = self.nodes[peer]
            if node.paused:
                node.queued_messages.append((name, message))
            else:
                self._receive(peer, node.run_number, name, message)

    def _receive(self, name: str, run_number: int, source: str, message: Any) -> None:
        node = self.nodes[name]
        if node.member is None or node.run_number != run_number:
            return
        for peer, reply in node.member.receive(self.clock.now, self.wall_clock(node), source, message):
            self._send(name, peer, reply)
        self._record_updates(node)

    # Operations for tests and benchmarks.

    def run(self, seconds: float) -> None:
        """Advance the time by `seconds`."""
        self.clock.run(self.clock.now + seconds)

    def block(self, sources: Sequence[str], targets: Sequence[str], both: bool = True) -> None:
        """Block messages from sources to targets, and back unless `both` is False."""
        for source in sources:
            for target in targets:
                self.blocked_links.add((source, target))
                if both:
                    self.blocked_links.add((target, source))

    def heal(self) -> None:
        """Unblock all directions."""
        self.blocked_links.clear()

    def running(self) -> list[str]:
        """Names of the members that run."""
        return [name for name, node in self.nodes.items() if node.member is not None]

    def has_converged(self) -> bool:
        """Whether all running members see exactly the running incarnations, and have the same facts."""
        running = set(self.running())
        members = [member for node in self.nodes.values() if (member := node.member) is not None]
        for member in members:
            for name in self.names:
                if member.is_alive(name) != (name in running):
                    return False
                if name in running and member.records[name].incarnation != self.nodes[name].incarnation:
                    return False
        return len({member.facts.checksum for member in members}) <= 1

    def seconds_to_converge(self, within: float) -> float | None:
        """Run until the members agree; return the seconds that it took, or None after `within` seconds."""
        started = self.clock.now
        while self.clock.now - started < within:
            if self.has_converged():
                return self.clock.now - started
            self.run(0.05)
        return None
