"""Tests of max-min fairness and of the target shares of forwarders."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micagate.planning.allocate import max_min, targets

AMOUNTS = st.lists(st.floats(0.0, 1.0), min_size=1, max_size=12)


def test_small_needs_are_met_and_larger_ones_share_the_rest():
    assert max_min([0.1, 0.5, 0.9], 1.0) == pytest.approx([0.1, 0.45, 0.45])
    assert max_min([0.1, 0.2], 1.0) == pytest.approx([0.1, 0.2])
    assert max_min([1.0, 1.0], 1.0, [3.0, 1.0]) == pytest.approx([0.75, 0.25])
    assert max_min([], 1.0) == []


@given(AMOUNTS, st.floats(0.0, 2.0))
def test_max_min_takes_from_nobody_who_has_less(needs, whole):
    shares = max_min(needs, whole)
    assert sum(shares) <= whole + 1e-9
    assert sum(shares) == pytest.approx(min(whole, sum(needs)), abs=1e-9)
    for need, share in zip(needs, shares, strict=True):
        assert share <= need + 1e-12
        if share < need - 1e-9:  # whoever lacks has as much as anybody
            assert share >= max(shares) - 1e-9


def test_nothing_moves_if_every_owned_share_is_enough():
    assert targets([0.2, 0.0, 0.3], [1 / 3] * 3) == [1 / 3] * 3
    assert targets([], []) == []


@given(AMOUNTS)
def test_targets_hand_out_the_whole_and_meet_every_need_that_fits(needs):
    parts = [1 / len(needs)] * len(needs)
    made = targets(needs, parts)
    assert sum(made) == pytest.approx(1.0) and all(math.isfinite(t) and t >= 0 for t in made)
    if sum(needs) <= 1:
        assert all(t >= need - 1e-9 for t, need in zip(made, needs, strict=True))
