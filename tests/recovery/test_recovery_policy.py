"""The table of what is believed, row by row, and what the others' answers make of it."""

import pytest

from micagate.membership.messages import RecoveryAnswer
from micagate.recovery.answers import TOGETHER, Questions
from micagate.recovery.recovery_policy import Case, Disk, End, Kind, Peers, Way, judge, loans_over

OWN, KILLED = Case(), End.KILLED


def row(kind, **case):
    verdict = judge(kind, Case(**case))
    return verdict.way, round(verdict.share, 3)


@pytest.mark.parametrize(
    ("kind", "case", "expected"),
    [
        (Kind.STORES, {"end": End.ASKED}, (Way.TAKEN, 1.0)),
        (Kind.STORES, {"end": End.KILLED}, (Way.DISCOUNTED, 1.0)),
        (Kind.STORES, {"end": End.POWER}, (Way.DISCOUNTED, 1.0)),
        (Kind.STORES, {"disk": Disk.OLD}, (Way.DROPPED, 0.0)),
        (Kind.STORES, {"disk": Disk.OTHER}, (Way.DROPPED, 0.0)),
        (Kind.STORES, {"disk": Disk.SPOILT}, (Way.DROPPED, 0.0)),
        (Kind.STORES, {"disk": Disk.NONE}, (Way.DROPPED, 0.0)),
        (Kind.CEILINGS, {}, (Way.TAKEN, 1.0)),
        (Kind.CEILINGS, {"peers": Peers.SILENT}, (Way.TAKEN, 1.0)),
        (Kind.CEILINGS, {"peers": Peers.OPEN}, (Way.ASKED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.OLD}, (Way.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.OTHER}, (Way.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.SPOILT}, (Way.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.VOID}, (Way.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.NONE}, (Way.DROPPED, 0.0)),
        (Kind.PLACES, {"end": End.KILLED}, (Way.DROPPED, 0.0)),
        (Kind.PLACES, {"end": End.POWER, "down": 1.5, "longest": 3.0}, (Way.DISCOUNTED, 0.5)),
        (Kind.PLACES, {"end": End.POWER, "down": 1.5, "all_lost": True}, (Way.DROPPED, 0.0)),
        (Kind.PLACES, {"end": End.POWER, "down": 4.0}, (Way.DROPPED, 0.0)),
        (Kind.COUNTS, {}, (Way.ASKED, 0.0)),
        (Kind.COUNTS, {"disk": Disk.NONE}, (Way.ASKED, 0.0)),
        (Kind.CONTROL, {"age": 1.0}, (Way.TAKEN, 1.0)),
        (Kind.CONTROL, {"age": 3600.0}, (Way.ASKED, 0.0)),
        (Kind.CONTROL, {"disk": Disk.OLD}, (Way.ASKED, 0.0)),
        (Kind.CONTROL, {"disk": Disk.NONE}, (Way.ASKED, 0.0)),
        (Kind.WARMTH, {"age": 2.5}, (Way.DISCOUNTED, 0.75)),
        (Kind.WARMTH, {"same": False}, (Way.DROPPED, 0.0)),
        (Kind.WARMTH, {"age": 60.0}, (Way.ASKED, 0.0)),
        (Kind.HEALTH, {"age": 4.0}, (Way.DISCOUNTED, 0.75)),
        (Kind.HEALTH, {"same": False}, (Way.DROPPED, 0.0)),
        (Kind.HEALTH, {"disk": Disk.NONE}, (Way.ASKED, 0.0)),
        (Kind.BANS, {"peers": Peers.OPEN}, (Way.ASKED, 1.0)),
        (Kind.BANS, {"disk": Disk.OLD, "age": 30 * 86400.0}, (Way.TAKEN, 1.0)),
        (Kind.BANS, {"disk": Disk.OTHER}, (Way.TAKEN, 1.0)),
        (Kind.BANS, {"disk": Disk.SPOILT}, (Way.TAKEN, 1.0)),
        (Kind.DRAIN, {}, (Way.TAKEN, 1.0)),
        (Kind.DRAIN, {"disk": Disk.VOID}, (Way.TAKEN, 1.0)),
        (Kind.DRAIN, {"disk": Disk.OLD}, (Way.DROPPED, 0.0)),
        (Kind.DRAIN, {"disk": Disk.OTHER}, (Way.DROPPED, 0.0)),
        (Kind.LIST, {}, (Way.ASKED, 1.0)),
        (Kind.LOANS, {}, (Way.DROPPED, 0.0)),
        (Kind.GRANTS, {}, (Way.DROPPED, 0.0)),
        (Kind.RETRIES, {}, (Way.DISCOUNTED, 0.5)),
        (Kind.RETRIES, {"all_lost": True}, (Way.DROPPED, 0.0)),
        (Kind.RETRIES, {"end": End.POWER}, (Way.DROPPED, 0.0)),
        (Kind.WAITS, {"age": 5.0}, (Way.TAKEN, 1.0)),
        (Kind.WAITS, {"age": 600.0}, (Way.DROPPED, 0.0)),
        (Kind.WAITS, {"disk": Disk.OLD}, (Way.DROPPED, 0.0)),
    ],
)
def test_a_row_of_the_table(kind, case, expected):
    assert row(kind, **case) == expected


def test_each_verdict_says_why_unless_it_is_taken_whole_and_what_holds_while_it_is_open():
    for kind in Kind:
        for disk in Disk:
            for peers in Peers:
                for end in End:
                    verdict = judge(kind, Case(disk, end, peers))
                    assert verdict.why or verdict.way is Way.TAKEN, (kind, disk, peers, end)
                    assert 0 <= verdict.share <= 1
    assert judge(Kind.CEILINGS, Case(peers=Peers.OPEN)).open


def test_ceilings_are_believed_of_nobody_s_disk_but_the_own_latest():
    for disk in Disk:
        for end in End:
            for peers in (Peers.AGREE, Peers.SILENT):
                taken = judge(Kind.CEILINGS, Case(disk, end, peers)).way is Way.TAKEN
                assert taken == (disk is Disk.OWN)


@pytest.mark.parametrize(
    ("until", "receivers", "planners", "expected"),
    [
        (90.0, {}, {}, True),  # surely over, on record
        (110.0, {}, {}, False),
        (None, {}, {}, False),
        (110.0, {"f1": 95.0, "f2": 96.0}, {"p1": 95.0}, True),  # all that could spend or grant it have begun anew
        (110.0, {"f1": 95.0, "f2": 80.0}, {"p1": 95.0}, False),
        (110.0, {"f1": 95.0}, {"p1": 40.0}, False),
    ],
)
def test_loans_are_over_by_the_record_or_with_all_who_held_them(until, receivers, planners, expected):
    assert loans_over(100.0, until, receivers, planners, ended=94.0) is expected


def knows(boot=0, up=100.0, back=False, **more):
    return RecoveryAnswer(boot, more.pop("ago", -1.0), more.pop("wall", 1000.0), up, back, **more)


def test_everybody_is_asked_once_and_nobody_waited_for_longer_than_stated():
    round_ = Questions(10.0, ["a", "b", "c"], 0.6)
    assert round_.waits(10.1) == ["a", "b", "c"]
    round_.answered(10.1, 1000.0, "a", knows())
    round_.gone(10.2, "b")
    assert round_.waits(10.2) == ["b", "c"]  # it may only be slower to come up
    round_.gone(10.4, "b")
    assert round_.waits(10.4) == ["c"] and round_.waits(10.6) == []
    told = round_.told(10.6)
    assert told.stayed == ("a",) and told.silent == ("c",) and not told.all_lost


def test_who_came_back_in_the_same_moment_is_told_from_who_stayed():
    round_ = Questions(10.0, ["a", "b", "c"], 0.6)
    round_.answered(10.1, 1000.0, "a", knows(up=0.4, back=True))
    round_.answered(10.1, 1000.0, "b", knows(up=2.0))  # up first, and open already
    assert round_.told(10.2).all_lost and round_.told(10.2).back == ("a", "b")
    round_.answered(10.1, 1000.0, "c", knows(up=TOGETHER + 1))
    assert round_.told(10.2).stayed == ("c",)
    # With the last word on record it is exact.
    assert round_.told(10.2, lost=1.5).stayed == ("b", "c")


def test_answers_that_contradict_each_other():
    round_ = Questions(10.0, ["a", "b", "c"], 0.6)
    round_.answered(10.1, 1000.0, "a", knows(boot=7, ago=3.0, workers=(("w", 1.0, False), ("v", 0.2, True))))
    round_.answered(
        10.1, 1000.0, "b", knows(boot=9, ago=1.0, workers=(("w", 0.5, True), ("v", 0.4, True)), wall=1000.2)
    )
    round_.answered(
        10.1, 1000.0, "c", knows(boot=3, ago=8.0, workers=(("w", 0.9, False),), wall=4600.0, distrusted=True)
    )
    told = round_.told(10.2)
    assert (told.boot, told.ago, told.void) == (9, 1.0, True)  # the latest life that any knows of
    assert told.workers == {"w": (0.9, False), "v": (0.4, True)}  # a bad way is one's, a bad worker most see
    assert not told.stepped  # one clock that is off is not this one's
    round_.answered(10.1, 1000.0, "b", knows(wall=4600.5))
    assert round_.told(10.2).stepped


def test_of_those_that_come_back_too_nothing_is_asked_about_workers_where_others_stayed():
    round_ = Questions(10.0, ["a", "b"], 0.6)
    round_.answered(10.1, 1000.0, "a", knows(up=0.2, back=True, workers=(("w", 1.0, False),)))
    assert round_.told(10.2).workers == {"w": (1.0, False)}
    round_.answered(10.1, 1000.0, "b", knows(workers=(("w", 0.3, True),)))
    assert round_.told(10.2).workers == {"w": (0.3, True)}


def test_nobody_to_ask():
    told = Questions(10.0, [], 0.6).told(10.0)
    assert told.all_lost and told.boot == 0 and told.pace == 0.0 and not told.stepped
