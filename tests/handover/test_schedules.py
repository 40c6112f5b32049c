"""Hot restarts, maintenance calls, discovery updates and crashes in random order.

No request goes to a worker in maintenance, no concurrency slot is granted twice, and no request is lost.
"""

import pytest

from rig.upgrades import play


@pytest.mark.parametrize("first", range(0, 1000, 250))
def test_random_schedules_respect_maintenance_and_limits_and_lose_nothing(first):
    report = play(range(first, first + 250))
    assert report.upgrades > 100
    assert (report.bans_broken, report.granted_twice, report.lost) == (0, 0, 0)


def test_slots_are_granted_twice_without_the_in_flight_attempts_of_the_predecessor():
    assert play(range(250), forward_updates=False).granted_twice > 0
