"""Estimates the share of each resource that a forwarder needs from its traffic: fast to rise, slow to fall."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from micagate.interface import ResourceDemand
from micagate.planning.holder import NEGLIGIBLE_NEED, ResourceNeed

RISE_TIME_SECONDS = 0.4  # averaging time of a rate that rises
# The averaging time of a falling rate is the time in which FALL_TIME_UNITS units arrive, within these bounds: a
# shorter gap does not show that the rate has fallen.
FALL_TIME_UNITS, MIN_FALL_TIME_SECONDS, MAX_FALL_TIME_SECONDS = 3.0, 0.3, 3.0
NEED_HEADROOM = 1.25  # ratio of the need to the average rate, as arrivals are random
BURST_WINDOW_SECONDS = 1.0  # a peak must fit in the burst and the refill of this time


class _ResourceUse:
    """The smoothed use of one resource, in units and units a second."""

    __slots__ = (
        "first_gateway",
        "gateway_count",
        "rate",
        "peak_units",
        "total_rate",
        "burst",
        "concurrency_limit",
        "peak_in_flight",
    )

    def __init__(self, report: ResourceDemand) -> None:
        self.first_gateway, self.gateway_count = report.first_gateway, report.gateway_count
        self.rate = self.peak_units = self.peak_in_flight = 0.0
        self.total_rate, self.burst, self.concurrency_limit = report.total_rate, report.burst, report.concurrency_limit


class DemandEstimator:
    """Turns reports of traffic into needs; the need of a resource without traffic decays until it is forgotten."""

    def __init__(self, now: float) -> None:
        self._uses: dict[str, _ResourceUse] = {}
        self._updated_at = now

    def __len__(self) -> int:
        return len(self._uses)

    def update(self, now: float, reports: Iterable[ResourceDemand]) -> list[ResourceNeed]:
        """Add the reports since the last call, and return the needs of all known resources."""
        elapsed = max(1e-3, now - self._updated_at)
        self._updated_at = now
        rise_weight = -math.expm1(-elapsed / RISE_TIME_SECONDS)
        reports_by_key: dict[str, ResourceDemand] = {}
        for report in reports:
            reports_by_key[report.key] = report
            if report.key not in self._uses:
                self._uses[report.key] = _ResourceUse(report)
        return list(self._estimate(elapsed, rise_weight, reports_by_key))

    def _estimate(
        self, elapsed: float, rise_weight: float, reports_by_key: dict[str, ResourceDemand]
    ) -> Iterator[ResourceNeed]:
        for key, use in list(self._uses.items()):
            report = reports_by_key.get(key)
            rate = report.requested_units / elapsed if report is not None else 0.0
            if report is not None:
                use.first_gateway, use.gateway_count = report.first_gateway, report.gateway_count
                use.total_rate, use.burst, use.concurrency_limit = (
                    report.total_rate,
                    report.burst,
                    report.concurrency_limit,
                )
            fall_time = min(MAX_FALL_TIME_SECONDS, max(MIN_FALL_TIME_SECONDS, FALL_TIME_UNITS / max(use.rate, 1e-6)))
            fall_weight = -math.expm1(-elapsed / fall_time)
            use.rate += (rate - use.rate) * (rise_weight if rate > use.rate else fall_weight)
            # All units between two calls may have arrived at once: the burst of the token bucket has to cover them.
            units = report.requested_units if report is not None else 0.0
            use.peak_units += (units - use.peak_units) * (1.0 if units > use.peak_units else fall_weight)
            in_flight = report.peak_in_flight if report is not None else 0.0
            use.peak_in_flight += (in_flight - use.peak_in_flight) * (
                1.0 if in_flight > use.peak_in_flight else fall_weight
            )
            need = 0.0
            if use.total_rate > 0:
                need = max(
                    NEED_HEADROOM * use.rate / use.total_rate,
                    use.peak_units / (use.burst + BURST_WINDOW_SECONDS * use.total_rate) if use.burst else 0.0,
                )
            if use.concurrency_limit > 0:
                need = max(need, use.peak_in_flight / use.concurrency_limit)
            need = min(1.0, need)
            if need < NEGLIGIBLE_NEED:
                del self._uses[key]
                need = 0.0
            yield ResourceNeed(key, use.first_gateway, use.gateway_count, need)
