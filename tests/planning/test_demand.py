"""From tallies to needs."""

import pytest

from micagate.interface import ResourceDemand
from micagate.planning.demand import Demands


def tally(asked, most=0.0, whole=10.0, burst=10.0, limit=0.0):
    return ResourceDemand("k", 0, 3, asked, most, whole, burst, limit)


def needs(demands, now, *tallies):
    return {demand.key: demand.need for demand in demands.survey(now, tallies)}


def test_a_need_rises_within_a_second_and_falls_over_seconds_to_nothing():
    demands = Demands(0.0)
    for n in range(1, 6):
        found = needs(demands, 0.2 * n, tally(1.6))
    assert 0.7 < found["k"] <= 1.0  # 8 of 10 a second and some headroom
    falling = [needs(demands, 1.0 + 0.2 * n).get("k", 0.0) for n in range(1, 120)]
    assert falling[0] > 0.4 and falling[-1] == 0.0 and falling == sorted(falling, reverse=True)
    # Where little is asked, silence says less: it stands for longer.
    calm = Demands(0.0)
    for n in range(1, 21):
        needs(calm, 0.2 * n, *([tally(1.0)] if n % 3 == 0 else []))
    assert needs(calm, 4.6)["k"] > 0.08
    assert len(demands) == 0


def test_what_comes_at_once_needs_its_share_of_the_burst():
    assert needs(Demands(0.0), 10.0, tally(10.0, whole=1.0, burst=20.0))["k"] >= 10 / 21
    assert needs(Demands(0.0), 0.2, tally(0.0, most=2.0, whole=0.0, limit=8.0))["k"] == pytest.approx(0.25)


def test_a_need_is_never_more_than_the_whole():
    assert needs(Demands(0.0), 0.01, tally(1e12))["k"] == 1.0
