"""Limit on one gateway's calls to the shared counter, which has little capacity, adapted to its latency.

The level decides which customers are counted: customers have an order that is the same at all gateways, and those below
the level are counted. A customer that only some gateways count is worse off than one that none counts, so the levels of
all gateways have to agree. The level therefore follows the average latency of the latest responses: all gateways see
the same queue, and earlier observations are soon forgotten. (A level with additive increase and multiplicative
decrease, as in congestion control, diverged between gateways by a fifth of itself within 20 s, because no gateway
sees enough responses.)

A counter that answers nothing at all, not even late, is unresponsive rather than overloaded: the level stays, and only
an occasional call probes whether it is back.
"""

from __future__ import annotations

import math
from random import Random

from micagate import interface

AVERAGING_RESPONSE_COUNT = 20  # number of responses over which the latency is averaged
# Mean latency, relative to the timeout, up to which the level is full, and the smallest fraction of the full level.
FULL_LEVEL_LATENCY_RATIO, MIN_LEVEL_RATIO = 0.33, 0.02
LEVEL_DECAY_LATENCY_RATIO = 0.25  # increase of the mean latency, relative to the timeout, that divides the level by e
TIMEOUT_LATENCY_RATIO = 2.0  # latency, relative to the timeout, that a call without a response in time counts as
SLOW_RESPONSE_RATIO = 0.5  # latency, relative to the timeout, above which a response is slow
# Shortest pause between calls in seconds (the longest is three times that), and after how many slow responses in a row.
MIN_PAUSE_SECONDS, PAUSE_AFTER_SLOW_COUNT = 0.1, 3
# Seconds and number of calls without a response after which the counter is unresponsive.
UNRESPONSIVE_SECONDS, UNRESPONSIVE_CALL_COUNT = 0.25, 3
MIN_PROBE_INTERVAL_SECONDS = 0.4  # between probes of an unresponsive counter; random, up to twice that


class CounterCallLimit:
    """One gateway's level, from near 0 to `max_level`; `timeout` is that of a call in seconds."""

    def __init__(self, now: float, max_level: float, timeout: float, random: Random) -> None:
        self.max_level, self._timeout, self._random = max_level, timeout, random
        self._mean_latency_ratio = 0.0  # mean latency relative to the timeout
        self._last_response_at, self._unanswered_count, self._next_probe_at = now, 0, now
        self._consecutive_slow_count, self._paused_until = 0, now

    @property
    def level(self) -> float:
        """Customers whose rank is below this are counted."""
        return self.max_level * min(
            1.0,
            max(
                MIN_LEVEL_RATIO,
                math.exp((FULL_LEVEL_LATENCY_RATIO - self._mean_latency_ratio) / LEVEL_DECAY_LATENCY_RATIO),
            ),
        )

    def record_response(self, now: float, status: str, took: float) -> None:
        """Record a response and its latency in seconds, or that none arrived in time."""
        if status == interface.LATE_RESPONSE:
            self._last_response_at, self._unanswered_count = now, 0
            return  # its latency was counted when it timed out
        slow = status != interface.SUCCESS or took > SLOW_RESPONSE_RATIO * self._timeout
        self._consecutive_slow_count = self._consecutive_slow_count + 1 if slow else 0
        if self._consecutive_slow_count >= PAUSE_AFTER_SLOW_COUNT:
            # Without a pause a queue as long as the timeout would persist, in which each call is served too late.
            self._consecutive_slow_count, self._paused_until = (
                0,
                now + MIN_PAUSE_SECONDS * (1 + 2 * self._random.random()),
            )
        if status in (interface.TIMED_OUT, interface.UNREACHABLE):
            self._unanswered_count += 1
        else:
            self._last_response_at, self._unanswered_count = now, 0
        if not self.is_unresponsive(now):
            self._mean_latency_ratio += (
                (took / self._timeout if status == interface.SUCCESS else TIMEOUT_LATENCY_RATIO)
                - self._mean_latency_ratio
            ) / AVERAGING_RESPONSE_COUNT

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the counter has answered nothing lately."""
        return self._unanswered_count >= UNRESPONSIVE_CALL_COUNT and now - self._last_response_at > UNRESPONSIVE_SECONDS

    def may_call(self, now: float) -> bool:
        """Return whether a call may be made now; to an unresponsive counter only a probe may."""
        if now < self._paused_until:
            return False
        if not self.is_unresponsive(now):
            return True
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + MIN_PROBE_INTERVAL_SECONDS * (1 + self._random.random())
        return True
