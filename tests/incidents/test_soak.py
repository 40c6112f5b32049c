"""A short soak test: random overlapping faults on a few gatekeeper processes break no invariant."""

import asyncio

import pytest

from rig.soak import Soak

SLACK = 0.6  # seconds of tolerance, as other tests run at the same time


@pytest.mark.parametrize("seed", [11, 12])
def test_no_invariant_is_broken_under_random_faults(seed):
    day = Soak(seed, seconds=10.0, gatekeepers=4, workers=6, clients=3, slack=SLACK)
    record = asyncio.run(day.run())
    assert not record.breaks, record.breaks[:5]
    assert record.served > 500 and sum(record.faults.values()) > 20, record
