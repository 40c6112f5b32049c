"""Start times of endpoints when the clocks differ or are stepped."""

import pytest

from micagate.estimates.start_times import StartTimes

HOUR = 3600.0
RAMP = 6.0  # seconds that an endpoint is in slow start


@pytest.mark.parametrize("clock_difference", [0.0, 5.0, -5.0, HOUR, -HOUR])
def test_a_changed_start_time_means_a_recent_start_for_any_clock_difference(clock_difference):
    """`clock_difference` is by how much this machine's wall clock is ahead of discovery's, in seconds."""
    times = StartTimes(wall_offset=1000.0 + clock_difference)
    times.start_time(10.0, "old", 1000.0 + 10.0 - 50.0)
    times.record_list(True, {"old"})
    for now in (20.0, 21.0, 30.0):
        lag = 0.3
        started = times.start_time(now, f"new{now}", 1000.0 + now - lag)
        assert now - lag - 0.01 <= started <= now  # in slow start from now on, at the latest
        assert times.start_time(now + 5.0, f"new{now}", 1000.0 + now - lag) == started  # one incarnation


@pytest.mark.parametrize("clock_difference", [5.0, HOUR])
def test_a_start_is_never_in_the_future(clock_difference):
    times = StartTimes(wall_offset=1000.0 - clock_difference)  # the wall clock is behind
    assert times.start_time(10.0, "a", 1000.0 + 9.0) == 10.0


def test_with_equal_clocks_ages_are_kept_less_the_smallest_lag():
    times = StartTimes(wall_offset=1000.0)
    assert times.start_time(10.0, "a", 1004.0) == 4.0  # on the first list, so the clocks alone decide
    times.record_list(True, {"a"})
    assert times.start_time(20.0, "b", 1019.8) == pytest.approx(20.0)
    assert times.start_time(30.0, "c", 1028.0) == pytest.approx(28.2)  # reported late
    assert times.start_time(30.0, "d", 0.0) is None  # long ago
    assert times.start_time(40.0, "a", 1039.0) == pytest.approx(39.2)  # a restart


def test_a_first_change_seen_late_counts_as_a_recent_start_and_later_ones_are_exact():
    times = StartTimes(wall_offset=1000.0)
    times.start_time(0.0, "a", 900.0)
    times.record_list(True, {"a"})
    assert times.start_time(20.0, "b", 1012.0) == 20.0  # discovery was down for 8 s, or the clock is 8 s ahead
    assert times.start_time(30.0, "c", 1029.9) == pytest.approx(30.0)
    assert times.start_time(40.0, "d", 1037.0) == pytest.approx(37.1)


def test_an_empty_list_does_not_count_as_a_previous_list():
    times = StartTimes(wall_offset=0.0)
    times.record_list(True, set())
    assert times.start_time(1000.0, "a", 100.0) == 100.0


def test_forgets_removed_endpoints_and_a_successor_continues():
    times = StartTimes(wall_offset=0.0)
    for name in ("a", "b", "c"):
        times.start_time(100.0, name, 99.0)
    times.record_list(True, {"a", "b", "c"})
    times.forget("a")
    times.record_list(True, {"c"})
    assert times.state()["known"] == {"c": [99.0, 99.0]}
    successor = StartTimes(wall_offset=0.0)
    successor.restore(times.state())
    assert successor.start_time(200.0, "c", 99.0) == 99.0
    assert successor.start_time(200.0, "d", 150.0) == 200.0  # seen as a change
