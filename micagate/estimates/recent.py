"""Overload estimate from the latencies of the latest responses of all workers, relative to their latency objectives."""

from __future__ import annotations

import math
from collections.abc import Sequence

RESPONSE_DECAY_SECONDS = 2.0  # time constant with which a response loses weight
FAST_RESPONSE_RATIO = 0.2  # pooled latency, relative to the aim, below which responses are fast
# Pooled latency, relative to the aim, at which no request is refused and at which all are.
REFUSE_NONE_RATIO, REFUSE_ALL_RATIO = FAST_RESPONSE_RATIO, 0.4
# Divides the ratio where a gateway rarely sends to each worker, so that one or two slow ones would weigh too much.
SPARSE_TRAFFIC_DIVISOR = 2.0
USUAL_LATENCY_RATIO = 0.15  # usual latency of a response, and mean age of certainly late attempts, relative to the aim
BURST_AGE_RATIO = 0.05  # mean age, relative to the aim, below which the attempts in flight are a burst, not a queue
PRIOR_RESPONSE_COUNT = 1.0  # usual responses that are mixed in, so that few real ones say little
SPARSE_TRAFFIC_SIGMAS = 2.0  # standard deviations of in-flight attempts that count as chance with sparse traffic


class RecentLatencies:
    """Decayed sums, in seconds, of latencies, of their aims, and of the aims of missed attempts.

    An aim is the latency objective of the attempt's class.
    """

    def __init__(self, now: float) -> None:
        self._updated_at, self._latency_sum, self._aim_sum, self._missed_aim_sum = now, 0.0, 0.0, 0.0

    def _add(self, now: float, latency: float, aim: float, missed: float) -> None:
        latency_sum, aim_sum, missed_sum = self.decayed_sums(now)
        self._updated_at = now
        self._latency_sum, self._aim_sum, self._missed_aim_sum = (
            latency_sum + latency,
            aim_sum + aim,
            missed_sum + missed,
        )

    def record_response(self, now: float, latency: float, aim: float) -> None:
        """Record a response with its latency and aim in seconds."""
        self._add(now, latency, aim, 0.0)

    def record_missed(self, now: float, aim: float) -> None:
        """Record an attempt that had no response within its aim."""
        self._add(now, 0.0, 0.0, aim)

    def decayed_sums(self, now: float) -> tuple[float, float, float]:
        """Return the sums of latencies, of their aims, and of the aims of missed attempts, decayed to `now`."""
        decay = math.exp((self._updated_at - now) / RESPONSE_DECAY_SECONDS)
        return self._latency_sum * decay, self._aim_sum * decay, self._missed_aim_sum * decay

    def indicates_losses(self) -> bool:
        """Return whether missing responses indicate losses rather than load.

        That is so while the responses that arrive are fast and at least as many as the missing ones. This keeps packet
        loss and hung or dying workers from starting overload control. Trade-off: while only part of the fleet is
        overloaded, missing responses start overload control only once responses are slow.
        """
        return self._latency_sum < FAST_RESPONSE_RATIO * self._aim_sum and self._missed_aim_sum <= self._aim_sum

    def refusal_share(
        self,
        now: float,
        in_flight: Sequence[tuple[float, float]],
        aim: float,
        few_responses: bool,
        sparse_traffic: bool,
    ) -> float:
        """Return the share of requests to refuse: none at 0 or less, all at 1 or more.

        `in_flight` holds the send time and the aim of each attempt in flight, `aim` is the shortest aim.
        `few_responses` says that no usual latency is known yet, so that attempts in flight count by their age only.
        `sparse_traffic` says that this gateway rarely sends to each worker.

        The responses of all workers are pooled by latency relative to aim, and attempts in flight by their age. A prior
        of usual responses keeps one or two of them from deciding. A missed attempt counts once, with its aim as its
        latency, if other responses are slow. Trade-off: overload is detected seconds late.
        """
        (latency_sum, aim_sum, missed_sum), prior_aim = self.decayed_sums(now), PRIOR_RESPONSE_COUNT * aim
        age_sum = sum(now - sent for sent, _ in in_flight)
        missed_load = 0.0 if self.indicates_losses() else missed_sum
        in_flight_aim_sum = sum(aim for _, aim in in_flight)
        latency_ratio = (USUAL_LATENCY_RATIO * prior_aim + latency_sum + missed_load + age_sum) / (
            prior_aim + aim_sum + missed_load + (in_flight_aim_sum if few_responses else 0.0)
        )
        usual_in_flight = max(1.0, latency_sum / RESPONSE_DECAY_SECONDS)
        random_excess = SPARSE_TRAFFIC_SIGMAS * math.sqrt(usual_in_flight) if sparse_traffic else 0.0
        in_flight_ratio = (1 + len(in_flight)) / (1 + usual_in_flight + random_excess)
        if few_responses or age_sum < BURST_AGE_RATIO * in_flight_aim_sum:
            in_flight_ratio = min(1.0, in_flight_ratio)  # many attempts, but all young: a burst on idle workers
        return (
            latency_ratio * in_flight_ratio / (SPARSE_TRAFFIC_DIVISOR if sparse_traffic else 1.0) - REFUSE_NONE_RATIO
        ) / (REFUSE_ALL_RATIO - REFUSE_NONE_RATIO)
