"""A simulated clock and network for modules without I/O; a run is reproducible from its seed."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any


class Timer:
    """A call scheduled on a `Clock`."""

    __slots__ = ("call", "args", "cancelled")

    def __init__(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.call, self.args, self.cancelled = call, args, False

    def cancel(self) -> None:
        """Prevent the call."""
        self.cancelled = True


class Clock:
    """True simulated time in seconds; calls due at the same time run in the order in which they were scheduled."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._due: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule a call at a time; a time in the past means now, after the calls that are already due."""
        timer = Timer(call, args)
        heapq.heappush(self._due, (max(when, self.now), next(self._sequence), timer))
        return timer

    def after(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule a call after a delay in seconds."""
        return self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Advance the time to `until` and run every call due by then, including those due at `until`."""
        while self._due and self._due[0][0] <= until:
            self.now, _, timer = heapq.heappop(self._due)
            if not timer.cancelled:
                timer.call(*timer.args)
        self.now = max(self.now, until)


class LocalClock:
    """One machine's monotonic clock, with an arbitrary zero and a rate that is off by `drift` (0.01: 1% fast).

    `restart` sets another zero, as a reboot does.
    """

    def __init__(self, clock: Clock, drift: float = 0.0, zero: float = 0.0) -> None:
        self._clock, self.rate, self._zero = clock, 1.0 + drift, zero

    @property
    def now(self) -> float:
        """Current reading of this machine's clock, in seconds."""
        return self._zero + self._clock.now * self.rate

    def after(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule a call after a delay in seconds of this machine's clock."""
        return self._clock.after(delay / self.rate, call, *args)

    def restart(self, zero: float) -> None:
        """Restart the machine, so that its clock reads `zero` now."""
        self._zero = zero - self._clock.now * self.rate


@dataclass(slots=True)
class Link:
    """Properties of one direction of a link; delays are in seconds, `loss` and `duplication` are probabilities."""

    min_delay: float = 0.001
    max_delay: float = 0.005
    loss: float = 0.0
    duplication: float = 0.0  # probability that a message arrives twice
    blocked: bool = False


class Network:
    """Carries messages between named peers; each direction of each link can be blocked, slowed and healed.

    Messages may overtake each other where `min_delay` and `max_delay` differ. Messages in transit when a link is
    blocked still arrive, as on a real network; `drop_in_transit` loses them.
    """

    def __init__(self, clock: Clock, random: Random, default_link: Link | None = None) -> None:
        self._clock, self._random, self.default_link = clock, random, default_link or Link()
        self._links: dict[tuple[str, str], Link] = {}
        self._peers: dict[str, Callable[[str, Any], object]] = {}
        self._in_transit: list[Timer] = []
        self.delivered = self.lost = 0

    def register(self, name: str, receive: Callable[[str, Any], object]) -> None:
        """Register the peer `name`; `receive` gets the sender's name and the message, and replaces an earlier one."""
        self._peers[name] = receive

    def unregister(self, name: str) -> None:
        """Remove a peer; messages that arrive for it from now on are lost."""
        self._peers.pop(name, None)

    def link(self, source: str, target: str) -> Link:
        """Return the link from source to target, which the caller may change in place."""
        return self._links.setdefault(
            (source, target),
            Link(
                self.default_link.min_delay,
                self.default_link.max_delay,
                self.default_link.loss,
                self.default_link.duplication,
            ),
        )

    def block(self, sources: list[str], targets: list[str], both: bool = True) -> None:
        """Block all links from sources to targets, and back unless `both` is False."""
        for source in sources:
            for target in targets:
                self.link(source, target).blocked = True
                if both:
                    self.link(target, source).blocked = True

    def heal(self) -> None:
        """Reset all links to the default."""
        self._links.clear()

    def drop_in_transit(self) -> None:
        """Lose all messages in transit."""
        for timer in self._in_transit:
            timer.cancel()
        self._in_transit.clear()

    def send(self, source: str, target: str, message: Any) -> None:
        """Send a message; the sender does not learn whether it arrived."""
        link = self.link(source, target)
        copy_count = 2 if self._random.random() < link.duplication else 1
        for _ in range(copy_count):
            if link.blocked or self._random.random() < link.loss:
                self.lost += 1
                continue
            delay = self._random.uniform(link.min_delay, link.max_delay)
            if len(self._in_transit) > 256:
                self._in_transit = [timer for timer in self._in_transit if not timer.cancelled]
            timer = self._clock.after(delay, self._arrive, source, target, message)
            self._in_transit.append(timer)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        receive = self._peers.get(target)
        if receive is None:
            self.lost += 1
        else:
            self.delivered += 1
            receive(source, message)
