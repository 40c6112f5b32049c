"""Estimate of whether attempts without a response for unusually long are lost or merely slow."""

from __future__ import annotations

import math

DECAY_SECONDS = 20.0  # time constant with which the outcome of a late attempt loses weight
PRIOR_SLOW_RESPONSE_COUNT = 2.0  # slow responses that are assumed, so that one or two losses by chance say little


class LateAttempts:
    """Counts what became of attempts that were in flight for several times the usual latency.

    A slow response still arrives, and a further attempt would do the work twice; a lost one never arrives. The two look
    alike while in flight, so attempts that were not cancelled are counted: a slow one is answered; a lost one passes
    its aim without a response although the worker has answered requests that were sent later. Trade-off: when losses
    begin, the first few requests wait until their deadline.
    """

    def __init__(self, now: float) -> None:
        self._updated_at, self._slow_response_count, self._lost_count = now, 0.0, 0.0

    def _decay(self, now: float) -> None:
        factor = math.exp((self._updated_at - now) / DECAY_SECONDS)
        self._updated_at, self._slow_response_count, self._lost_count = (
            now,
            self._slow_response_count * factor,
            self._lost_count * factor,
        )

    def record_response(self, now: float, was_missed: bool) -> None:
        """Record the response of a slow attempt; `was_missed`: it had been counted as missed before."""
        self._decay(now)
        self._slow_response_count += 1
        if was_missed:
            self._lost_count = max(0.0, self._lost_count - 1)

    def record_missed(self, now: float) -> None:
        """Record an attempt that passed its aim while later ones to the same worker were answered."""
        self._decay(now)
        self._lost_count += 1

    def is_likely_lost(self) -> bool:
        """Return whether an attempt without a response for so long is more likely lost than slow."""
        return self._lost_count > PRIOR_SLOW_RESPONSE_COUNT + self._slow_response_count
