"""The leaky bucket under overload control, and the loop that drives overload signals to their target."""

from __future__ import annotations

import math
from collections import deque

# (BT contribution C4-051699, "the paper"; "ours" where it gives no figure).
PERIOD = 2.0  # seconds measured before an update of the leak rate (paper: 4)
PAUSE = 0.5  # seconds ignored after it (paper: 1)
MAX_FILL = 5.0  # the bucket's size and its fill at the start of control (paper)
SPLASH = 1.0  # what a request let through adds (paper)
SLOWEST, FASTEST = 0.1, 4.5  # leak rate's bounds over the rate before control (paper: 1 s, 22 ms over 0.1 s)
TARGET_SHARE = 0.05  # target overload rate over the rate before control (paper: 1 of 11 a second)
LEAST_SIGNALS = 3.0  # ... but never so low that so many in a period start control (ours: chance)
MOST_DOWN, MOST_UP = 0.7, 1.25  # bounds of one step: signals of a backlog overstate the excess (ours)
RISE = 0.4  # fixed rise when refusing without signals, over the rate before control (ours)
QUIET = 10.0  # seconds without refusals or signals that end control (ours)
SICK_SHARE = 3.0  # one worker in so many may signal all it can without starting control (ours)
PLAN_SHARE = 2 / 3  # of the plans must signal before control starts (ours)


class Throttle:
    """The leaky bucket and the loop that drives overload signals to their target."""

    def __init__(self, now: float, plans: int) -> None:
        self.active = False
        self.rate = self.base_rate = self.bucket_level = 0.0
        self.worker_count, self.plan_count = 1, plans
        self.min_signals = LEAST_SIGNALS
        self.warm_share = 1.0  # the share of what warm workers do that the present ones can, as told
        self._born = self._leaked = self._since = self._due = self._quiet = self._changed = now
        self._admits: deque[float] = deque()
        self._refusals: deque[float] = deque()
        self._signals: deque[tuple[float, str, str]] = deque()

    def set_workers(self, workers: int, few: bool) -> None:
        """How many workers signals may come from; `few`: the few of a large fleet that it keeps to.

        Guards against control by chance where traffic is thin: one signal each of those that may be sick
        would already be as many as start control.
        """
        self.worker_count = workers
        self.min_signals = max(LEAST_SIGNALS, 1 + workers / SICK_SHARE) if few else LEAST_SIGNALS

    def target_signal_rate(self, base: float) -> float:
        """The target overload rate, signals a second."""
        return max(self.min_signals / PERIOD, TARGET_SHARE * base)

    def _measured(self, base: float) -> float:
        """Signals of the window, none of a worker's or a plan's beyond its cap.

        Guards against a few sick or cold workers, or one plan whose requests go wrong everywhere, strangling
        the fleet: overload is felt all over. Harm: trouble confined to few workers or one plan is left to
        `Fleet` and `Quotas`, and where one plan alone is in use of several the loop hears less.
        """
        whole = self.target_signal_rate(base) * PERIOD
        totals = []
        for place, number, share in ((1, self.worker_count, 1 / SICK_SHARE), (2, self.plan_count, PLAN_SHARE)):
            counts: dict[str | float, int] = {}
            for signal in self._signals:
                counts[signal[place]] = counts.get(signal[place], 0) + 1
            # One alone is all there is: capped, it could start control but never press the rate down.
            cap = max(1.0, whole / max(1.0, number * share)) if number > 1 else math.inf
            totals.append(sum(min(cap, count) for count in counts.values()))
        return min(totals)

    def _prune(self, start: float) -> None:
        for times in (self._admits, self._refusals):
            while times and times[0] < start:
                times.popleft()
        while self._signals and self._signals[0][0] < start:
            self._signals.popleft()

    def record_signal(self, now: float, worker: str, plan: str, sent: float) -> None:
        """An overload signal: a refusal as full, a time-out, latency past the aim.

        Under control, what was sent before the last update tells nothing of the present leak rate: a backlog
        would go on pressing the rate down long after it was cut enough.
        """
        self.advance(now)
        if self.active and sent < self._changed:
            return
        self._signals.append((now, worker, plan))
        self.advance(now)

    def activate_at(self, now: float, rate: float, warm: float) -> None:
        """Begin under control, before workers cold together: `rate` is what they do once warm."""
        self.active, self.base_rate, self.rate, self.warm_share, self.bucket_level = True, rate, rate * warm, warm, 0.0
        self._leaked = self._quiet = self._changed = now
        self._begin(now + PAUSE)

    def update_warm_share(self, now: float, warm: float) -> None:
        """The workers can do another share: so does the leak rate. Control by their cold ends with it."""
        if self.active:
            self.rate *= warm / self.warm_share
            self.active = warm < 1 or self.warm_share >= 1 or bool(self._signals)
        self.warm_share = warm

    def advance(self, now: float) -> None:
        """Start, update or end control as due."""
        if not self.active:
            self._prune(now - PERIOD)
            span = max(0.1 * PERIOD, min(PERIOD, now - self._born))  # since requests come: else far too low
            base = len(self._admits) / span
            if self._signals and self._measured(base) >= self.target_signal_rate(base) * PERIOD:
                self.active, self.base_rate, self.rate = True, max(base, 1.0 / PERIOD), max(base, 1.0 / PERIOD)
                self.bucket_level, self._leaked, self._quiet, self._changed = MAX_FILL, now, now, now
                self._begin(now)
        elif now >= self._due:
            span = now - self._since
            self._prune(self._since)
            measured = self._measured(self.base_rate) / span
            if self._changed < self._born + PERIOD:  # control began with traffic: what is asked is the base
                self.base_rate = max(self.base_rate, (len(self._admits) + len(self._refusals)) / span)
            target = self.target_signal_rate(self.base_rate)
            if 2 * measured > target:  # fewer are chance: they would hold a low rate down for long
                rate = len(self._admits) / span * min(MOST_UP, max(MOST_DOWN, target / measured))
            else:  # what went well is the base from now on: traffic may have grown since control began
                self.base_rate = max(self.base_rate, len(self._admits) / span)
                rate = self.rate + RISE * self.base_rate
            if self._refusals or rate < self.rate:  # not raised while nothing is refused
                self.rate = min(FASTEST * self.base_rate, max(SLOWEST * self.base_rate, rate))
            if self._refusals or measured > self.target_signal_rate(self.base_rate):
                self._quiet = now
            elif now - self._quiet >= QUIET:
                self.active = False
            self._changed = now
            self._begin(now + PAUSE)

    def _begin(self, now: float) -> None:
        self._since, self._due = now, now + PERIOD
        self._prune(now)

    def admit(self, now: float, part: float = 1.0) -> bool:
        """Whether the bucket, full at this part of its size, lets a request through; counts it either way."""
        self.advance(now)
        if self.active:
            self.bucket_level = max(0.0, self.bucket_level - (now - self._leaked) * self.rate)
            self._leaked = now
            if self.bucket_level + SPLASH > MAX_FILL * part:
                self._refusals.append(now)
                return False
            self.bucket_level += SPLASH
        elif not self._admits:
            self._born = now
        self._admits.append(now)
        return True
