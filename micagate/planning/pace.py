"""Estimates the capacity of a worker from the load reports of all forwarders. No I/O; time is an argument.

While a worker has a queue, its response rate is its capacity; without one, the capacity is above the request rate.
Latency above the recent minimum, and rejected or missed requests, show a queue. So the estimate follows the response
rate while there is a queue and rises otherwise. This is the delay-based congestion control of TCP Vegas (Brakmo,
Peterson 1995) and BBR (Cardwell et al. 2016), with many senders that report to one planner.
"""

from __future__ import annotations

import math

from micagate.planning.messages import LOAD_FIELDS, WorkerLoad

AVERAGING_SECONDS = 1.0  # time constant of the decaying sums of reports
MIN_RESPONSES = 8.0  # fewer responses in the averaging time say nothing about latency
QUEUE_LATENCY_RATIO = 2.0  # ratio of latency to its recent minimum above which the worker has a queue
QUEUE_REJECTED_FRACTION = 0.05  # fraction of rejected or missed requests above which it has one, whatever the latency
FOLLOW_TIME_SECONDS = 0.5  # time constant with which the estimate follows the response rate during a queue
# A worker with a long queue is limited to this fraction of its response rate until the queue drains.
MIN_DRAIN_FRACTION = 0.5
# Exponential growth a second without a queue, and with low latency.
RISE_PER_SECOND, FAST = 0.3, 1.0
FAST_LATENCY_RATIO = 1.3  # ratio of latency to its recent minimum below which latency is low
MIN_FRACTION_OF_BEST = 0.1  # a worker gets at least this fraction of its recent best, however few its responses
BEST_DECAY_PER_WINDOW = 0.5  # the recent best is multiplied by this each window
LOWEST = 0.5  # the least estimate, responses a second: a hung worker still gets some requests, which show its recovery
MIN_UTILIZATION = 0.6  # the estimate rises above the recent best only if this fraction of it is in use
WINDOW_SECONDS = 10.0  # the recent minimum latency is that of the last one to two windows
REPORT_TIMEOUT_SECONDS = 5.0  # without a report for this long, the capacity is unknown


class Estimate:
    """The capacity of one worker in responses a second; `now` is always a reading of the same clock."""

    __slots__ = (
        "_decayed_at",
        "_started_at",
        "_reported_at",
        "_decided_at",
        "_sums",
        "_window_min_latency",
        "_previous_min_latency",
        "_window_started_at",
        "_recent_best",
        "capacity",
    )

    def __init__(self, now: float) -> None:
        self._decayed_at = self._started_at = self._reported_at = self._decided_at = self._window_started_at = now
        self._sums = [0.0] * len(LOAD_FIELDS)
        self._window_min_latency = self._previous_min_latency = math.inf  # latency in this window and in the one before
        self.capacity = 0.0  # 0 if unknown
        self._recent_best = 0.0  # the highest recent estimate

    def report(self, now: float, load: WorkerLoad) -> None:
        """Add a forwarder's report."""
        self._decay(now)
        self._reported_at = now
        self._sums = [total + getattr(load, name) for total, name in zip(self._sums, LOAD_FIELDS, strict=True)]

    def _decay(self, now: float) -> None:
        if now > self._decayed_at:
            decay = math.exp((self._decayed_at - now) / AVERAGING_SECONDS)
            self._sums = [amount * decay for amount in self._sums]
            self._decayed_at = now

    def _averaging_span(self, now: float) -> float:
        """Return the time that the sums cover, in seconds: less than `AVERAGING_SECONDS` just after the start."""
        return max(0.1, AVERAGING_SECONDS * -math.expm1((self._started_at - now) / AVERAGING_SECONDS))

    def decide(self, now: float) -> float:
        """Update and return the capacity in responses a second, 0 if unknown. Call it once each interval."""
        self._decay(now)
        elapsed, self._decided_at = max(0.0, now - self._decided_at), now
        answered, load, busy, refused, missed, _ = self._sums
        if self.has_timed_out(now):
            self.capacity = 0.0
            return self.capacity
        span = self._averaging_span(now)
        if answered < MIN_RESPONSES and busy < MIN_RESPONSES * span:
            if self.capacity:  # too few requests to measure: allow more
                self.capacity = max(
                    self.capacity, min(self._recent_best, self.capacity * math.exp(RISE_PER_SECOND * elapsed))
                )
            return self.capacity
        if now - self._window_started_at >= WINDOW_SECONDS:
            self._window_started_at, self._previous_min_latency, self._window_min_latency = (
                now,
                self._window_min_latency,
                math.inf,
            )
            self._recent_best = max(self.capacity, self._recent_best * BEST_DECAY_PER_WINDOW)
        rate, rejected, latency = max(LOWEST, answered / span), refused + missed, math.inf
        if answered >= MIN_RESPONSES:
            latency = load / answered
            self._window_min_latency = min(self._window_min_latency, latency)
        if not self.capacity:
            self.capacity = rate
        elif latency > QUEUE_LATENCY_RATIO * min(
            self._window_min_latency, self._previous_min_latency
        ) or rejected > QUEUE_REJECTED_FRACTION * (answered + rejected):
            self.capacity += (
                max(rate * self._drain_fraction(latency), MIN_FRACTION_OF_BEST * self._recent_best) - self.capacity
            ) * -math.expm1(-elapsed / FOLLOW_TIME_SECONDS)
        else:
            is_fast = latency < FAST_LATENCY_RATIO * min(self._window_min_latency, self._previous_min_latency)
            raised = self.capacity * math.exp((FAST if is_fast else RISE_PER_SECOND) * elapsed)
            if rate > MIN_UTILIZATION * self.capacity:
                self.capacity = max(rate, raised)
            else:  # without enough load to prove it, do not rise above the recent best
                self.capacity = max(self.capacity, min(self._recent_best, raised))
        self._recent_best = max(self._recent_best, self.capacity)
        return self.capacity

    def _drain_fraction(self, latency: float) -> float:
        """Return the fraction of the rate at which a queue drains; 1 at a latency of 0, where there is no queue."""
        if latency <= 0.0:
            return 1.0
        shortest = min(self._window_min_latency, self._previous_min_latency)
        return max(MIN_DRAIN_FRACTION, math.sqrt(min(1.0, QUEUE_LATENCY_RATIO * shortest / latency)))

    def has_timed_out(self, now: float) -> bool:
        """Return whether the last report is so old that the capacity is unknown."""
        return now - self._reported_at > REPORT_TIMEOUT_SECONDS

    def shown(self, now: float) -> dict[str, float]:
        """Return values for status output: capacity, responses a second, attempts in flight (`out`), latency (`slow`),
        and the fractions of attempts that were refused, missed or failed."""
        self._decay(now)
        answered, load, busy, refused, missed, failed = self._sums
        outcomes = answered + refused + missed + failed
        span = self._averaging_span(now)
        return {
            "pace": round(self.capacity, 1),
            "answers": round(answered / span, 1),
            "out": round(busy / span, 2),
            "slow": round(load / answered, 2) if answered else 0.0,
            "refused": round(refused / outcomes, 3) if outcomes else 0.0,
            "missed": round(missed / outcomes, 3) if outcomes else 0.0,
            "failed": round(failed / outcomes, 3) if outcomes else 0.0,
        }
