"""What a worker can do, learned from what all forwarders together see of it. No I/O, the time is told.

Answers a second while it has a queue are what it can do; while it has none it can do more than it is asked. That a
queue stands is told by answer times beyond the least of late, and by what is refused or missed. So the estimate
follows the pace of answers while there is a queue, and rises while there is none: the delay-based congestion control
of TCP Vegas (Brakmo, Peterson 1995) and BBR (Cardwell et al. 2016), with many senders that report to one place.
"""

from __future__ import annotations

import math

from micagate.planning.messages import AMOUNTS, WorkerLoad

SPAN = 1.0  # seconds over which reports are averaged
ENOUGH = 8.0  # answers within the span under which nothing is said
QUEUED = 2.0  # answer time over the least of late at which a queue stands
TURNED = 0.05  # share turned away or missed at which one stands, whatever the answer times
FOLLOW = 0.5  # seconds in which the estimate follows the pace of answers while a queue stands
DRAIN = 0.5  # share of the pace of answers that a worker with a long queue is held to, until that is gone
RISE, FAST = 0.3, 1.0  # shares by which it rises a second while none does, and while answers are brisk
BRISK = 1.3  # answer time over the least of late under which they are
TRIED = 0.1  # share of its best of late at which a worker is tried on, however little it answers
FORGOTTEN = 0.5  # of that best, each window
LOWEST = 0.5  # answers a second: a worker that holds much and answers nothing is tried again this way
USED = 0.6  # share of the estimate that must be in use for it to rise
WINDOW = 10.0  # seconds: the least answer time is that of one to two windows
SILENT = 5.0  # seconds without a report after which nothing is known


class Estimate:
    """One worker's pace, answers a second; `now` is one clock throughout."""

    __slots__ = ("_at", "_began", "_heard", "_decided", "_sums", "_least", "_before", "_turned_at", "_best", "pace")

    def __init__(self, now: float) -> None:
        self._at = self._began = self._heard = self._decided = self._turned_at = now
        self._sums = [0.0] * len(AMOUNTS)
        self._least = self._before = math.inf  # answer time in this window, and in the one before
        self.pace = 0.0  # 0: not known
        self._best = 0.0  # the most of late

    def report(self, now: float, work: WorkerLoad) -> None:
        """A forwarder has told what it saw."""
        self._fade(now)
        self._heard = now
        self._sums = [total + getattr(work, name) for total, name in zip(self._sums, AMOUNTS, strict=True)]

    def _fade(self, now: float) -> None:
        if now > self._at:
            fade = math.exp((self._at - now) / SPAN)
            self._sums = [amount * fade for amount in self._sums]
            self._at = now

    def _span(self, now: float) -> float:
        """The seconds that the sums stand for: fewer at the beginning."""
        return max(0.1, SPAN * -math.expm1((self._began - now) / SPAN))

    def decide(self, now: float) -> float:
        """The pace as of now; to be called each interval."""
        self._fade(now)
        passed, self._decided = max(0.0, now - self._decided), now
        answered, load, busy, refused, missed, _ = self._sums
        if self.silent(now):
            self.pace = 0.0
            return self.pace
        span = self._span(now)
        if answered < ENOUGH and busy < ENOUGH * span:
            if self.pace:  # too little is asked of it to tell: it is tried with more
                self.pace = max(self.pace, min(self._best, self.pace * math.exp(RISE * passed)))
            return self.pace
        if now - self._turned_at >= WINDOW:
            self._turned_at, self._before, self._least = now, self._least, math.inf
            self._best = max(self.pace, self._best * FORGOTTEN)
        rate, turned, took = max(LOWEST, answered / span), refused + missed, math.inf
        if answered >= ENOUGH:
            took = load / answered
            self._least = min(self._least, took)
        if not self.pace:
            self.pace = rate
        elif took > QUEUED * min(self._least, self._before) or turned > TURNED * (answered + turned):
            drain = max(DRAIN, math.sqrt(min(1.0, QUEUED * min(self._least, self._before) / took)))
            self.pace += (max(rate * drain, TRIED * self._best) - self.pace) * -math.expm1(-passed / FOLLOW)
        else:
            brisk = took < BRISK * min(self._least, self._before)
            risen = self.pace * math.exp((FAST if brisk else RISE) * passed)
            if rate > USED * self.pace:
                self.pace = max(rate, risen)
            else:  # no more than it could do of late is risked without its being asked for that
                self.pace = max(self.pace, min(self._best, risen))
        self._best = max(self._best, self.pace)
        return self.pace

    def silent(self, now: float) -> bool:
        """Whether nothing was heard of it for so long that nothing is known."""
        return now - self._heard > SILENT

    def shown(self, now: float) -> dict[str, float]:
        """For people: pace, answers a second, what is out, and the share of attempts that went wrong."""
        self._fade(now)
        answered, load, busy, refused, missed, failed = self._sums
        ends = answered + refused + missed + failed
        span = self._span(now)
        return {
            "pace": round(self.pace, 1),
            "answers": round(answered / span, 1),
            "out": round(busy / span, 2),
            "slow": round(load / answered, 2) if answered else 0.0,
            "refused": round(refused / ends, 3) if ends else 0.0,
            "missed": round(missed / ends, 3) if ends else 0.0,
            "failed": round(failed / ends, 3) if ends else 0.0,
        }
