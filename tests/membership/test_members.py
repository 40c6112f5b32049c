"""Tests of membership on a simulated clock: views converge, lost changes are found, and kinds of failure are told
apart."""

from random import Random

import pytest

from micagate.membership.clock import HybridClock
from micagate.membership.detector import PhiAccrualDetector
from micagate.membership.facts import Facts
from micagate.membership.members import Members, Terms, hash_rings
from micagate.membership.messages import MAX_ENTRIES, Fact, Heartbeat, Record, RecoveryAnswer, StateSummary, check
from micagate.planning.messages import Malformed
from rig.gossip import MembershipSimulation

FALSE_SHARE = 0.001  # highest rate of members that are falsely declared dead, per member and second


def started_fleet(count, seed=1, **options):
    fleet = MembershipSimulation(count, seed, **options)
    for name in fleet.names:
        fleet.start(name)
    assert fleet.seconds_to_converge(5.0) is not None
    return fleet


def down_updates(fleet):
    return [(at, name, news) for name, node in fleet.nodes.items() for at, news in node.updates if news.kind == "down"]


@pytest.mark.parametrize("count", [2, 5, 12, 60])
def test_all_members_notice_a_crash_and_a_restart_as_a_new_incarnation(count):
    fleet = started_fleet(count)
    before = fleet.nodes["g001"].incarnation
    fleet.stop("g001")
    assert fleet.seconds_to_converge(1.0) is not None
    assert fleet.nodes["g000"].member.is_gone("g001") and fleet.nodes["g000"].member.alive_count() == count - 1
    fleet.start("g001")
    assert fleet.seconds_to_converge(1.0) is not None
    assert fleet.nodes["g001"].incarnation > before
    assert any(news.kind == "restarted" or news.kind == "up" for _, news in fleet.nodes["g000"].updates[-3:])


def test_a_stalled_member_is_dead_but_not_gone_and_recovers():
    fleet = started_fleet(7)
    fleet.pause("g003", 4.0)
    fleet.run(2.5)
    member = fleet.nodes["g000"].member
    assert not member.is_alive("g003") and not member.is_gone("g003") and member.alive_count() == 7
    fleet.run(1.6)
    assert fleet.seconds_to_converge(2.0) is not None
    # It was late itself, so it has declared nobody dead.
    assert all(name != "g003" for _, name, _ in down_updates(fleet))


@pytest.mark.parametrize("seconds", [0.1, 0.3, 0.5])
def test_a_short_stall_does_not_make_a_member_dead(seconds):
    fleet = started_fleet(7)
    fleet.pause("g003", seconds)
    fleet.run(4.0)
    assert not down_updates(fleet) and fleet.has_converged()


@pytest.mark.parametrize(("incoming", "kind"), [(True, "mute"), (False, "deaf")])
def test_a_one_way_link_is_reported_and_makes_no_member_dead(incoming, kind):
    fleet = started_fleet(5)
    one, other = ("g000", "g004")
    fleet.block([other] if incoming else [one], [one] if incoming else [other], both=False)
    fleet.run(10.0)
    assert not down_updates(fleet)
    assert fleet.nodes[one].member.unreachable_peers(fleet.clock.now) == {other: kind}
    assert fleet.nodes["g002"].member.unreachable_peers(fleet.clock.now) == {}
    fleet.heal()
    fleet.run(3.0)
    assert fleet.nodes[one].member.unreachable_peers(fleet.clock.now) == {} and fleet.has_converged()


def test_an_isolated_member_and_the_rest_see_each_other_dead_and_recover():
    fleet = started_fleet(6)
    rest = [name for name in fleet.names if name != "g002"]
    fleet.block(["g002"], rest)
    fleet.run(4.0)
    assert all(not fleet.nodes[name].member.is_alive("g002") for name in rest)
    assert not any(fleet.nodes["g002"].member.is_alive(name) for name in rest)
    assert (
        fleet.nodes["g002"].member.alive_count() == 6
    )  # they may be serving, as none of their machines has refused connections
    fleet.heal()
    assert fleet.seconds_to_converge(6.0) is not None


@pytest.mark.parametrize("count", [8, 40])
def test_two_partitions_merge_with_all_facts_of_both(count):
    fleet = started_fleet(count)
    left, right = fleet.names[: count // 2], fleet.names[count // 2 :]
    fleet.block(left, right)
    fleet.run(3.0)
    fleet.nodes[left[0]].member.publish_fact(fleet.wall_clock(fleet.nodes[left[0]]), "ban", "w1", {"out": True})
    fleet.run(0.1)
    fleet.nodes[right[0]].member.publish_fact(fleet.wall_clock(fleet.nodes[right[0]]), "ban", "w1", {"out": False})
    fleet.run(3.0)
    fleet.heal()
    assert fleet.seconds_to_converge(10.0) is not None
    assert all(fleet.nodes[name].member.facts.get("ban", "w1").value == {"out": False} for name in fleet.names)


def test_rolling_restart_of_two_hundred_members_with_message_loss():
    fleet = started_fleet(200, seed=3)
    fleet.retransmission_rate, fleet.disconnect_rate = 0.02, 0.0002
    fleet.clock.run(fleet.clock.now + 3.0)
    false = 0
    for first in range(0, 200, 50):  # four of the ten groups, to keep the test short
        group = fleet.names[first : first + 20]
        for name in group:
            fleet.stop(name)
        fleet.run(0.6)
        for name in group:
            fleet.start(name)
        assert fleet.seconds_to_converge(3.0) is not None, first
    living = {name for name in fleet.names}
    false = sum(1 for at, _, news in down_updates(fleet) if news.cause == "silent" and news.name in living)
    assert false <= FALSE_SHARE * 200 * (fleet.clock.now - 1000.0)


def test_message_rate_per_member_does_not_grow_with_the_fleet():
    costs = {}
    for count in (20, 100):
        fleet = started_fleet(count)
        fleet.run(8.0)
        fleet.sent.clear()
        fleet.run(5.0)
        costs[count] = sum(fleet.sent.values()) / count / 5
    assert costs[100] < 1.3 * costs[20] < 60


def test_a_slow_member_is_reported_slow_and_not_dead():
    fleet = started_fleet(5)
    fleet.nodes["g002"].extra_delay = 0.4
    fleet.run(8.0)
    assert not down_updates(fleet)
    assert "g002" in fleet.nodes["g000"].member.slow_peers() and "g003" not in fleet.nodes["g000"].member.slow_peers()


def test_only_the_digest_finds_changes_lost_on_a_broken_link():
    found = {}
    for digests in (True, False):
        missed = 0
        for seed in range(12):
            fleet = MembershipSimulation(5, seed, send_summaries=digests)
            for name in fleet.names:
                fleet.start(name)
            fleet.run(3.0)
            fleet.disconnect_rate = 0.2
            for n in range(20):
                member = fleet.nodes[f"g00{n % 5}"].member
                member.publish_fact(fleet.wall_clock(fleet.nodes[f"g00{n % 5}"]), "ban", f"w{n}", n)
                fleet.run(0.1)
            fleet.disconnect_rate = 0.0
            missed += fleet.seconds_to_converge(8.0) is None
        found[digests] = missed
    assert found[True] == 0 and found[False] > 0


def test_a_repeated_incarnation_number_hides_a_restart():
    """Without distinct incarnation numbers, a restarted member is taken for the one before."""
    seen = {}
    for boots in (True, False):
        fleet = MembershipSimulation(5, 2, new_incarnations=boots)
        for name in fleet.names:
            fleet.start(name)
        fleet.run(2.0)
        fleet.stop("g001")
        fleet.start("g001", disk="another")  # before any member has noticed
        fleet.run(2.0)
        seen[boots] = any(news.kind == "restarted" for _, news in fleet.nodes["g000"].updates)
    assert seen == {True: True, False: False}


def test_the_earlier_process_notices_a_duplicate_member_name():
    member = Members("g1", ["g1", "g2"], boot=5, now=0.0, random=Random(1))
    member.link_opened(0.0, "g2")
    member.receive(0.1, 0.1, "g2", Heartbeat(1, 0, 0.1, 0, (Record("g1", 9, 1),)))
    assert (
        member.duplicate_name
        and member.duplicate_incarnation == 9
        and [news.kind for news in member.updates] == ["twin"]
    )
    member.receive(0.2, 0.2, "g2", Heartbeat(2, 0, 0.1, 0, (Record("g1", 4, 7),)))  # a previous incarnation: no change
    assert member.me.incarnation == 5 and len(member.updates) == 1


def test_a_suspected_member_clears_itself():
    member = Members("g1", ["g1", "g2"], boot=5, now=0.0, random=Random(1))
    member.link_opened(0.0, "g2")
    member.receive(0.1, 0.1, "g2", Heartbeat(1, 0, 0.1, 0, (Record("g1", 5, 1, "dead", ("g2",), "silent"),)))
    assert member.me.order() == (5, 2, 0)


def test_stamps_are_ordered_although_clocks_are_stepped():
    one, other = HybridClock("a"), HybridClock("b")
    first = one.stamp(5000.0)
    other.observe(first)
    second = other.stamp(1000.0)  # more than an hour behind
    one.observe(second)
    third = one.stamp(1000.0)
    assert first < second < third


def test_the_latest_stamp_wins_in_any_order_and_an_outdated_fact_loses():
    old, new = Fact("ban", "w", (1000, 0, "a"), "out"), Fact("ban", "w", (2000, 0, "b"), "in")
    for order in ((old, new), (new, old)):
        facts = Facts(order)
        assert facts.get("ban", "w") == new and facts.checksum == Facts([new]).checksum
    assert Facts([old]).newer([("ban", "w", (2000, 0, "b"))]) == []
    assert Facts([new]).newer([("ban", "w", (1000, 0, "a"))]) == [new]


def test_phi_grows_with_time_and_faster_after_even_arrivals():
    even, uneven = PhiAccrualDetector(0.0, 0.2, 3, 20), PhiAccrualDetector(0.0, 0.2, 3, 20)
    for n in range(1, 60):
        even.record_arrival(0.2 * n)
        uneven.record_arrival(0.2 * n + (0.15 if n % 2 else 0.0))
    assert even.phi(12.0) < even.phi(12.4) < even.phi(12.8)
    assert even.phi(12.6) > uneven.phi(12.6)
    assert not even.is_overdue(12.1) and even.is_overdue(13.2) and uneven.is_overdue(11.8 + 4.1)
    assert even.is_overdue(13.0) and not even.is_overdue(13.0, tolerance=4.0)


def test_rings_do_not_depend_on_the_order_of_names_and_differ():
    names = [f"g{n}" for n in range(30)]
    assert hash_rings(names) == hash_rings(list(reversed(names)))
    assert len({tuple(ring) for ring in hash_rings(names)}) == 4


@pytest.mark.parametrize(
    "change",
    [{"interval": 0}, {"most": 1.0}, {"longest": 0.1}, {"interval": float("nan")}, {"slow": True}, {"interval": 9.0}],
)
def test_invalid_terms_are_rejected_and_named(change):
    (name,) = change
    with pytest.raises(ValueError, match=name):
        Terms(**change)


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(1, 0, float("inf"), 0),
        Heartbeat(-1, 0, 0.0, 0),
        Heartbeat(1, 0, 0.0, 0, (Record("", 1, 1),)),
        Heartbeat(1, 0, 0.0, 0, (Record("g", 1, 1, "well"),)),
        Heartbeat(1, 0, 0.0, 0, (Record("g", 1, 1),) * (MAX_ENTRIES + 1)),
        Heartbeat(1, 0, 0.0, 0, (), (Fact("ban", "", (1, 0, "a"), 1),)),
        Heartbeat(1, 0, 0.0, 0, (), (Fact("b", "w", (-1, 0, "a"), 1),)),
        StateSummary((), (("ban", "w", (1 << 60, 0, "a")),), True),
        StateSummary((("g", 1, 1, 7),), (), True),
        RecoveryAnswer(1, 0.0, 0.0, float("nan"), True),
        RecoveryAnswer(1, 0.0, 0.0, 0.0, True, (("w", 2.0, False),)),
    ],
)
def test_invalid_messages_are_rejected(message):
    with pytest.raises(Malformed):
        check(message)
