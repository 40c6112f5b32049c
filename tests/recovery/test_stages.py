"""Tests that a start passes through its stages in order and ends even if conditions are never met."""

from random import Random

import pytest

from micagate.recovery.stages import (
    GATHER,
    LIST,
    MEMORY,
    OPEN,
    ORDER,
    PEERS,
    ROOM,
    Limits,
    StartProgress,
    pending_peers,
)


def test_a_start_with_nothing_to_wait_for_opens_at_once():
    start = StartProgress(10.0)
    assert start.advance(10.0, {}) == OPEN and start.is_open
    assert [over.stage for over in start.completed] == list(ORDER[:-1]) and not any(
        over.missing for over in start.completed
    )


def test_each_stage_waits_for_its_own_condition_and_reports_it():
    start = StartProgress(10.0)
    assert start.advance(10.0, {PEERS: "g1, g2"}) == PEERS and start.waits_for == "g1, g2"
    assert start.advance(10.1, {PEERS: "g2"}) == PEERS and start.waits_for == "g2"
    assert start.advance(10.2, {LIST: "discovery"}) == LIST and start.waits_for == "discovery"
    assert start.advance(10.3, {}) == OPEN and start.waits_for == ""


def test_stages_time_out_and_name_what_is_missing():
    limits = Limits(peers=0.5, list=1.0)
    start = StartProgress(10.0, limits)
    blocked = {stage: "nobody" for stage in ORDER}
    stages, now = [], 10.0
    while not start.is_open:
        stages.append(start.advance(now, blocked))
        now += 0.01
        assert now < 20.0
    total = sum(limits.limit(stage) for stage in ORDER[:-1])
    assert now - 10.0 <= total + 0.1
    assert [over.stage for over in start.completed if over.missing] == list(ORDER[:-1])


def test_starts_end_within_their_limits_in_any_order_of_events():
    """A stage with an endless timeout must fail the same check."""
    longest = {}
    for endless in (False, True):
        worst = 0.0
        for seed in range(1000):
            random = Random(seed)
            completes_at = {stage: 10.0 + random.expovariate(1 / random.choice((0.1, 1.0, 1e9))) for stage in ORDER}
            limits = Limits(list=1e9) if endless else Limits()
            start, now = StartProgress(10.0, limits), 10.0
            while not start.is_open and now < 40.0:
                start.advance(now, {stage: "it" for stage, when in completes_at.items() if when > now})
                now += random.random() * 0.1
            worst = max(worst, now - 10.0)
        longest[endless] = worst
    limits = Limits()
    assert longest[False] <= sum(limits.limit(stage) for stage in ORDER[:-1]) + 0.1 * len(ORDER)
    assert longest[True] >= 29.0


def test_a_start_can_return_to_an_earlier_stage_only_before_it_serves_clients():
    start = StartProgress(10.0)
    start.advance(10.0, {ROOM: "g1"})
    start.return_to(10.1, PEERS)
    assert start.stage == PEERS
    start.advance(10.2, {})
    start.return_to(10.3, MEMORY)
    assert start.is_open


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([], ""),
        ([("g1", MEMORY, True)], "g1"),
        ([("g1", GATHER, True), ("g2", OPEN, True)], ""),
        ([("g1", PEERS, True), ("g2", GATHER, True)], "g1"),
        ([("g1", PEERS, True), ("g2", OPEN, False)], ""),  # a member that stayed up serves clients
        ([("g1", PEERS, False)], ""),
    ],
)
def test_members_waited_for_at_gather(others, expected):
    assert pending_peers("me", others) == expected


@pytest.mark.parametrize("change", [{"peers": -1}, {"list": float("inf")}, {"room": True}, {"gather": "1"}])
def test_invalid_limits_are_rejected_and_named(change):
    (name,) = change
    with pytest.raises(ValueError, match=name):
        Limits(**change)
