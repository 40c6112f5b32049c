"""Tests of the recovery policy, and of combining the answers of peers."""

import pytest

from micagate.membership.messages import RecoveryAnswer
from micagate.recovery.answers import SIMULTANEOUS_LOSS_SECONDS, RecoveryQueries
from micagate.recovery.recovery_policy import Action, Case, Disk, End, Kind, Peers, decide, leases_over

OWN, KILLED = Case(), End.KILLED


def decision(kind, **case):
    verdict = decide(kind, Case(**case))
    return verdict.action, round(verdict.share, 3)


@pytest.mark.parametrize(
    ("kind", "case", "expected"),
    [
        (Kind.QUOTA_LEVELS, {"end": End.PLANNED}, (Action.ACCEPTED, 1.0)),
        (Kind.QUOTA_LEVELS, {"end": End.KILLED}, (Action.DISCOUNTED, 1.0)),
        (Kind.QUOTA_LEVELS, {"end": End.POWER}, (Action.DISCOUNTED, 1.0)),
        (Kind.QUOTA_LEVELS, {"disk": Disk.OLD}, (Action.DROPPED, 0.0)),
        (Kind.QUOTA_LEVELS, {"disk": Disk.OTHER}, (Action.DROPPED, 0.0)),
        (Kind.QUOTA_LEVELS, {"disk": Disk.DAMAGED}, (Action.DROPPED, 0.0)),
        (Kind.QUOTA_LEVELS, {"disk": Disk.NONE}, (Action.DROPPED, 0.0)),
        (Kind.CEILINGS, {}, (Action.ACCEPTED, 1.0)),
        (Kind.CEILINGS, {"peers": Peers.UNRESPONSIVE}, (Action.ACCEPTED, 1.0)),
        (Kind.CEILINGS, {"peers": Peers.PENDING}, (Action.QUERIED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.OLD}, (Action.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.OTHER}, (Action.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.DAMAGED}, (Action.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.INVALIDATED}, (Action.DROPPED, 0.0)),
        (Kind.CEILINGS, {"disk": Disk.NONE}, (Action.DROPPED, 0.0)),
        (Kind.CONCURRENCY_SLOTS, {"end": End.KILLED}, (Action.DROPPED, 0.0)),
        (Kind.CONCURRENCY_SLOTS, {"end": End.POWER, "downtime": 1.5, "max_deadline": 3.0}, (Action.DISCOUNTED, 0.5)),
        (Kind.CONCURRENCY_SLOTS, {"end": End.POWER, "downtime": 1.5, "all_restarted": True}, (Action.DROPPED, 0.0)),
        (Kind.CONCURRENCY_SLOTS, {"end": End.POWER, "downtime": 4.0}, (Action.DROPPED, 0.0)),
        (Kind.COUNTER_VALUES, {}, (Action.QUERIED, 0.0)),
        (Kind.COUNTER_VALUES, {"disk": Disk.NONE}, (Action.QUERIED, 0.0)),
        (Kind.OVERLOAD_CONTROL, {"age": 1.0}, (Action.ACCEPTED, 1.0)),
        (Kind.OVERLOAD_CONTROL, {"age": 3600.0}, (Action.QUERIED, 0.0)),
        (Kind.OVERLOAD_CONTROL, {"disk": Disk.OLD}, (Action.QUERIED, 0.0)),
        (Kind.OVERLOAD_CONTROL, {"disk": Disk.NONE}, (Action.QUERIED, 0.0)),
        (Kind.WORKER_LATENCY, {"age": 2.5}, (Action.DISCOUNTED, 0.75)),
        (Kind.WORKER_LATENCY, {"same_incarnation": False}, (Action.DROPPED, 0.0)),
        (Kind.WORKER_LATENCY, {"age": 60.0}, (Action.QUERIED, 0.0)),
        (Kind.WORKER_HEALTH, {"age": 4.0}, (Action.DISCOUNTED, 0.75)),
        (Kind.WORKER_HEALTH, {"same_incarnation": False}, (Action.DROPPED, 0.0)),
        (Kind.WORKER_HEALTH, {"disk": Disk.NONE}, (Action.QUERIED, 0.0)),
        (Kind.MAINTENANCE, {"peers": Peers.PENDING}, (Action.QUERIED, 1.0)),
        (Kind.MAINTENANCE, {"disk": Disk.OLD, "age": 30 * 86400.0}, (Action.ACCEPTED, 1.0)),
        (Kind.MAINTENANCE, {"disk": Disk.OTHER}, (Action.ACCEPTED, 1.0)),
        (Kind.MAINTENANCE, {"disk": Disk.DAMAGED}, (Action.ACCEPTED, 1.0)),
        (Kind.DRAIN, {}, (Action.ACCEPTED, 1.0)),
        (Kind.DRAIN, {"disk": Disk.INVALIDATED}, (Action.ACCEPTED, 1.0)),
        (Kind.DRAIN, {"disk": Disk.OLD}, (Action.DROPPED, 0.0)),
        (Kind.DRAIN, {"disk": Disk.OTHER}, (Action.DROPPED, 0.0)),
        (Kind.WORKER_LIST, {}, (Action.QUERIED, 1.0)),
        (Kind.LEASES, {}, (Action.DROPPED, 0.0)),
        (Kind.GRANTS, {}, (Action.DROPPED, 0.0)),
        (Kind.RETRY_BUDGET, {}, (Action.DISCOUNTED, 0.5)),
        (Kind.RETRY_BUDGET, {"all_restarted": True}, (Action.DROPPED, 0.0)),
        (Kind.RETRY_BUDGET, {"end": End.POWER}, (Action.DROPPED, 0.0)),
        (Kind.CLIENT_WAITS, {"age": 5.0}, (Action.ACCEPTED, 1.0)),
        (Kind.CLIENT_WAITS, {"age": 600.0}, (Action.DROPPED, 0.0)),
        (Kind.CLIENT_WAITS, {"disk": Disk.OLD}, (Action.DROPPED, 0.0)),
    ],
)
def test_verdict(kind, case, expected):
    assert decision(kind, **case) == expected


def test_each_verdict_has_a_reason_unless_the_state_is_fully_trusted():
    for kind in Kind:
        for disk in Disk:
            for peers in Peers:
                for end in End:
                    verdict = decide(kind, Case(disk, end, peers))
                    assert verdict.reason or verdict.action is Action.ACCEPTED, (kind, disk, peers, end)
                    assert 0 <= verdict.share <= 1
    assert decide(Kind.CEILINGS, Case(peers=Peers.PENDING)).meanwhile


def test_ceilings_are_restored_only_from_the_latest_disk_of_the_gateway_itself():
    for disk in Disk:
        for end in End:
            for peers in (Peers.AGREE, Peers.UNRESPONSIVE):
                taken = decide(Kind.CEILINGS, Case(disk, end, peers)).action is Action.ACCEPTED
                assert taken == (disk is Disk.OWN)


@pytest.mark.parametrize(
    ("until", "receivers", "planners", "expected"),
    [
        (90.0, {}, {}, True),  # the recorded expiry has passed
        (110.0, {}, {}, False),
        (None, {}, {}, False),
        (110.0, {"f1": 95.0, "f2": 96.0}, {"p1": 95.0}, True),  # all that could spend or grant it have restarted
        (110.0, {"f1": 95.0, "f2": 80.0}, {"p1": 95.0}, False),
        (110.0, {"f1": 95.0}, {"p1": 40.0}, False),
    ],
)
def test_leases_end_at_the_recorded_time_or_after_all_holders_have_restarted(until, receivers, planners, expected):
    assert leases_over(100.0, until, receivers, planners, ended_at=94.0) is expected


def answer(boot=0, up=100.0, back=False, **more):
    return RecoveryAnswer(boot, more.pop("ago", -1.0), more.pop("wall", 1000.0), up, back, **more)


def test_peers_are_waited_for_no_longer_than_the_timeout():
    queries = RecoveryQueries(10.0, ["a", "b", "c"], 0.6)
    assert queries.pending(10.1) == ["a", "b", "c"]
    queries.record_answer(10.1, 1000.0, "a", answer())
    queries.record_refusal(10.2, "b")
    assert queries.pending(10.2) == ["b", "c"]  # it may just start more slowly
    queries.record_refusal(10.4, "b")
    assert queries.pending(10.4) == ["c"] and queries.pending(10.6) == []
    findings = queries.findings(10.6)
    assert findings.stayed == ("a",) and findings.unresponsive == ("c",) and not findings.all_restarted


def test_peers_that_restarted_together_are_told_from_those_that_stayed_up():
    queries = RecoveryQueries(10.0, ["a", "b", "c"], 0.6)
    queries.record_answer(10.1, 1000.0, "a", answer(up=0.4, back=True))
    queries.record_answer(10.1, 1000.0, "b", answer(up=2.0))  # restarted first and serves already
    assert queries.findings(10.2).all_restarted and queries.findings(10.2).restarted == ("a", "b")
    queries.record_answer(10.1, 1000.0, "c", answer(up=SIMULTANEOUS_LOSS_SECONDS + 1))
    assert queries.findings(10.2).stayed == ("c",)
    # The time of the last write makes the distinction exact.
    assert queries.findings(10.2, seconds_since_write=1.5).stayed == ("b", "c")


def test_contradictory_answers_are_combined_by_median_and_majority():
    queries = RecoveryQueries(10.0, ["a", "b", "c"], 0.6)
    queries.record_answer(10.1, 1000.0, "a", answer(boot=7, ago=3.0, workers=(("w", 1.0, False), ("v", 0.2, True))))
    queries.record_answer(
        10.1, 1000.0, "b", answer(boot=9, ago=1.0, workers=(("w", 0.5, True), ("v", 0.4, True)), wall=1000.2)
    )
    queries.record_answer(
        10.1, 1000.0, "c", answer(boot=3, ago=8.0, workers=(("w", 0.9, False),), wall=4600.0, distrusted=True)
    )
    findings = queries.findings(10.2)
    assert (findings.incarnation, findings.last_heard_ago, findings.distrusted) == (
        9,
        1.0,
        True,
    )  # the latest incarnation that a peer knows
    assert findings.workers == {
        "w": (0.9, False),
        "v": (0.4, True),
    }  # a broken path is seen by one peer, a broken worker by most
    assert not findings.clock_stepped  # one peer's clock is wrong
    queries.record_answer(10.1, 1000.0, "b", answer(wall=4600.5))
    assert queries.findings(10.2).clock_stepped


def test_restarted_peers_are_ignored_about_workers_if_others_stayed_up():
    queries = RecoveryQueries(10.0, ["a", "b"], 0.6)
    queries.record_answer(10.1, 1000.0, "a", answer(up=0.2, back=True, workers=(("w", 1.0, False),)))
    assert queries.findings(10.2).workers == {"w": (1.0, False)}
    queries.record_answer(10.1, 1000.0, "b", answer(workers=(("w", 0.3, True),)))
    assert queries.findings(10.2).workers == {"w": (0.3, True)}


def test_findings_without_peers():
    findings = RecoveryQueries(10.0, [], 0.6).findings(10.0)
    assert (
        findings.all_restarted
        and findings.incarnation == 0
        and findings.served_rate == 0.0
        and not findings.clock_stepped
    )
