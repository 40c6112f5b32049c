"""Upgrades, calls, lists and kills in any order: nothing goes where it may not, nothing is granted twice or lost."""

import pytest

from rig.upgrades import play


@pytest.mark.parametrize("first", range(0, 1000, 250))
def test_no_schedule_breaks_a_ban_grants_twice_or_loses(first):
    told = play(range(first, first + 250))
    assert told.upgrades > 100
    assert (told.bans_broken, told.granted_twice, told.lost) == (0, 0, 0)


def test_without_what_the_old_process_still_has_out_places_are_granted_twice():
    assert play(range(250), news=False).granted_twice > 0
