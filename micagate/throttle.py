"""Limits the rate of admitted requests during overload, with a leaky bucket and a feedback loop.

Rejections by workers, timeouts and late responses are overload signals. Once signals exceed their target rate, the
throttle activates: a leaky bucket admits requests at the leak rate, and the loop adjusts that rate after each
measurement period so that the signals meet the target. The algorithm follows BT's contribution C4-051699, "the paper"
below.

The base rate is the rate at which requests were admitted before activation, raised as traffic without signals grows.
Rates are requests a second, times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections import deque

# Brackets give the value in the paper (see above) where it differs. Constants that do not mention the paper are not
# in it.
MEASUREMENT_PERIOD_SECONDS = 2.0  # signals and requests are counted for this long before each update (paper: 4)
SETTLING_SECONDS = 0.5  # ignored after each update, until its effect shows (paper: 1)
BUCKET_CAPACITY = 5.0  # as in the paper, where the bucket is full at activation too
REQUEST_COST = 1.0  # what an admitted request adds to the bucket level, as in the paper
# Bounds of the leak rate, as multiples of the base rate. The paper bounds the interval between two requests to 1 s and
# 22 ms, at a base of one in 0.1 s.
MIN_LEAK_RATE_FACTOR, MAX_LEAK_RATE_FACTOR = 0.1, 4.5
TARGET_SIGNAL_SHARE = 0.05  # target rate of overload signals, as a share of the base rate (paper: 1 in 11)
# The target is at least this many signals in a measurement period, so that a few random ones don't activate it.
MIN_SIGNALS_PER_PERIOD = 3.0
# Bounds of the factor of one update: the signals of a backlog overstate the excess load.
MIN_STEP_FACTOR, MAX_STEP_FACTOR = 0.7, 1.25
# Fixed increase of the leak rate, as a share of the base rate, if requests were rejected and few signals came.
RATE_INCREMENT_SHARE = 0.4
DEACTIVATION_DELAY_SECONDS = 10.0  # without rejections or an excess of signals, before the throttle deactivates
WORKERS_PER_UNHEALTHY_WORKER = 3.0  # all signals of one worker in this many are too few to activate the throttle
MIN_PLAN_SHARE = 2 / 3  # share of the plans that must cause signals to activate the throttle


class Throttle:
    """The leaky bucket, and the loop that adjusts its leak rate to the target rate of overload signals."""

    def __init__(self, now: float, plan_count: int) -> None:
        self.active = False
        self.rate = self.base_rate = self.bucket_level = 0.0  # `rate` is the leak rate
        self.worker_count, self.plan_count = 1, plan_count
        self.min_signals = MIN_SIGNALS_PER_PERIOD
        self.warm_up_factor = 1.0  # capacity of the present workers over that of warm ones
        # In this order: the first request after a time without any, the last leak of the bucket, start and end of the
        # measurement period, the last rejection or excess of signals, and the last update of the leak rate.
        self._traffic_started_at = self._leaked_at = self._period_start = self._period_end = self._last_excess_at = (
            self._updated_at
        ) = now
        self._admission_times: deque[float] = deque()  # times of the admitted requests
        self._rejection_times: deque[float] = deque()  # times of the rejected requests
        self._signals: deque[tuple[float, str, str]] = deque()  # time, worker and plan of each overload signal

    def set_workers(self, worker_count: int, is_partial_subset: bool) -> None:
        """Set the number of workers that signals may come from, which may be a subset of a large fleet.

        With a subset and little traffic, one signal from each worker that may be unhealthy could reach the minimum
        of signals and activate the throttle by chance, so the minimum is raised above that.
        """
        self.worker_count = worker_count
        self.min_signals = (
            max(MIN_SIGNALS_PER_PERIOD, 1 + worker_count / WORKERS_PER_UNHEALTHY_WORKER)
            if is_partial_subset
            else MIN_SIGNALS_PER_PERIOD
        )

    def target_signal_rate(self, base_rate: float) -> float:
        """Return the target rate of overload signals, in signals a second."""
        return max(self.min_signals / MEASUREMENT_PERIOD_SECONDS, TARGET_SIGNAL_SHARE * base_rate)

    def _count_capped_signals(self, base_rate: float) -> float:
        """Return the number of signals in the window, with the signals of each worker and each plan capped.

        Overload shows at all workers and plans. Without the caps, a few unhealthy workers or workers in slow start,
        or one plan whose requests fail everywhere, would throttle the whole fleet. Trade-off: problems of few
        workers or of one plan are left to `Fleet` and `Quotas`, and if only one of several plans is in use, the
        loop counts fewer signals.
        """
        target_count = self.target_signal_rate(base_rate) * MEASUREMENT_PERIOD_SECONDS
        totals = []
        for field, source_count, min_share in (
            (1, self.worker_count, 1 / WORKERS_PER_UNHEALTHY_WORKER),
            (2, self.plan_count, MIN_PLAN_SHARE),
        ):
            counts: dict[str | float, int] = {}
            for signal in self._signals:
                counts[signal[field]] = counts.get(signal[field], 0) + 1
            # A single worker or plan has no cap: with one, it could activate the throttle but never lower the rate.
            cap = max(1.0, target_count / max(1.0, source_count * min_share)) if source_count > 1 else math.inf
            totals.append(sum(min(cap, count) for count in counts.values()))
        return min(totals)

    def _discard_before(self, start: float) -> None:
        """Discard the requests and signals before a time."""
        for times in (self._admission_times, self._rejection_times):
            while times and times[0] < start:
                times.popleft()
        while self._signals and self._signals[0][0] < start:
            self._signals.popleft()

    def record_signal(self, now: float, worker: str, plan: str, sent_at: float) -> None:
        """Record an overload signal: a rejection as overloaded, a timeout, or a latency above the objective.

        While active, the throttle ignores signals of attempts sent before the last update, which say nothing about
        the present leak rate: a backlog would lower it long after it was low enough.
        """
        self.advance(now)
        if self.active and sent_at < self._updated_at:
            return
        self._signals.append((now, worker, plan))
        self.advance(now)

    def activate_at(self, now: float, rate: float, warm_up_factor: float) -> None:
        """Activate at once, when all workers start together; `rate` is what they serve once warm."""
        self.active, self.base_rate, self.rate, self.warm_up_factor, self.bucket_level = (
            True,
            rate,
            rate * warm_up_factor,
            warm_up_factor,
            0.0,
        )
        self._leaked_at = self._last_excess_at = self._updated_at = now
        self._start_measurement(now + SETTLING_SECONDS)

    def update_warm_up_factor(self, now: float, warm_up_factor: float) -> None:
        """Scale the leak rate with the capacity of the present workers.

        A throttle that was activated for slow start deactivates once they are warm, unless there are signals.
        """
        if self.active:
            self.rate *= warm_up_factor / self.warm_up_factor
            self.active = warm_up_factor < 1 or self.warm_up_factor >= 1 or bool(self._signals)
        self.warm_up_factor = warm_up_factor

    def advance(self, now: float) -> None:
        """Activate or deactivate the throttle, or update its leak rate, if due."""
        if not self.active:
            self._discard_before(now - MEASUREMENT_PERIOD_SECONDS)
            # Only the time since the first request counts: over a whole period the rate would be far too low.
            elapsed = max(
                0.1 * MEASUREMENT_PERIOD_SECONDS, min(MEASUREMENT_PERIOD_SECONDS, now - self._traffic_started_at)
            )
            base_rate = len(self._admission_times) / elapsed
            if (
                self._signals
                and self._count_capped_signals(base_rate)
                >= self.target_signal_rate(base_rate) * MEASUREMENT_PERIOD_SECONDS
            ):
                self.active, self.base_rate, self.rate = (
                    True,
                    max(base_rate, 1.0 / MEASUREMENT_PERIOD_SECONDS),
                    max(base_rate, 1.0 / MEASUREMENT_PERIOD_SECONDS),
                )
                self.bucket_level, self._leaked_at, self._last_excess_at, self._updated_at = (
                    BUCKET_CAPACITY,
                    now,
                    now,
                    now,
                )
                self._start_measurement(now)
        elif now >= self._period_end:
            elapsed = now - self._period_start
            self._discard_before(self._period_start)
            signal_rate = self._count_capped_signals(self.base_rate) / elapsed
            # If the throttle activated as traffic began, few requests were admitted before: use the offered load.
            if self._updated_at < self._traffic_started_at + MEASUREMENT_PERIOD_SECONDS:
                self.base_rate = max(
                    self.base_rate, (len(self._admission_times) + len(self._rejection_times)) / elapsed
                )
            target_rate = self.target_signal_rate(self.base_rate)
            if 2 * signal_rate > target_rate:  # fewer occur by chance, and would keep a low rate low for long
                rate = (
                    len(self._admission_times)
                    / elapsed
                    * min(MAX_STEP_FACTOR, max(MIN_STEP_FACTOR, target_rate / signal_rate))
                )
            else:  # the admitted rate is fine, so it becomes the base: traffic may have grown since activation
                self.base_rate = max(self.base_rate, len(self._admission_times) / elapsed)
                rate = self.rate + RATE_INCREMENT_SHARE * self.base_rate
            if self._rejection_times or rate < self.rate:  # not raised unless requests were rejected
                self.rate = min(MAX_LEAK_RATE_FACTOR * self.base_rate, max(MIN_LEAK_RATE_FACTOR * self.base_rate, rate))
            if self._rejection_times or signal_rate > self.target_signal_rate(self.base_rate):
                self._last_excess_at = now
            elif now - self._last_excess_at >= DEACTIVATION_DELAY_SECONDS:
                self.active = False
            self._updated_at = now
            self._start_measurement(now + SETTLING_SECONDS)

    def _start_measurement(self, now: float) -> None:
        """Start a measurement period, which may lie in the future."""
        self._period_start, self._period_end = now, now + MEASUREMENT_PERIOD_SECONDS
        self._discard_before(now)

    def admit(self, now: float, capacity_share: float = 1.0) -> bool:
        """Return whether to admit a request, and count it either way.

        `capacity_share`, from 0 to 1, is the part of the bucket that the request may use: smaller for low-value
        classes, which are rejected first.
        """
        self.advance(now)
        if self.active:
            self.bucket_level = max(0.0, self.bucket_level - (now - self._leaked_at) * self.rate)
            self._leaked_at = now
            if self.bucket_level + REQUEST_COST > BUCKET_CAPACITY * capacity_share:
                self._rejection_times.append(now)
                return False
            self.bucket_level += REQUEST_COST
        elif not self._admission_times:
            self._traffic_started_at = now
        self._admission_times.append(now)
        return True
