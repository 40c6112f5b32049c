"""Tests of the estimates of needs from demand reports."""

import pytest

from micagate.interface import ResourceDemand
from micagate.planning.demand import DemandEstimator


def report(asked, most=0.0, whole=10.0, burst=10.0, limit=0.0):
    return ResourceDemand("k", 0, 3, asked, most, whole, burst, limit)


def needs(estimator, now, *tallies):
    return {demand.key: demand.need for demand in estimator.update(now, tallies)}


def test_a_need_rises_within_a_second_and_decays_to_zero_over_seconds():
    estimator = DemandEstimator(0.0)
    for n in range(1, 6):
        estimated = needs(estimator, 0.2 * n, report(1.6))
    assert 0.7 < estimated["k"] <= 1.0  # 8 of 10 units a second, and headroom
    falling = [needs(estimator, 1.0 + 0.2 * n).get("k", 0.0) for n in range(1, 120)]
    assert falling[0] > 0.4 and falling[-1] == 0.0 and falling == sorted(falling, reverse=True)
    # At a low rate, a gap says less, so the need decays more slowly.
    sparse = DemandEstimator(0.0)
    for n in range(1, 21):
        needs(sparse, 0.2 * n, *([report(1.0)] if n % 3 == 0 else []))
    assert needs(sparse, 4.6)["k"] > 0.08
    assert len(estimator) == 0


def test_a_peak_needs_its_share_of_the_burst():
    assert needs(DemandEstimator(0.0), 10.0, report(10.0, whole=1.0, burst=20.0))["k"] >= 10 / 21
    assert needs(DemandEstimator(0.0), 0.2, report(0.0, most=2.0, whole=0.0, limit=8.0))["k"] == pytest.approx(0.25)


def test_a_need_never_exceeds_the_whole():
    assert needs(DemandEstimator(0.0), 0.01, report(1e12))["k"] == 1.0
