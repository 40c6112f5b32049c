"""Members on the simulated clock: views agree, what is lost is found, and what is told apart is told apart."""

from random import Random

import pytest

from micagate.membership.clock import HybridClock
from micagate.membership.detector import Arrivals
from micagate.membership.facts import Facts
from micagate.membership.members import Members, Terms, rings
from micagate.membership.messages import MOST, Fact, Heartbeat, Record, RecoveryAnswer, StateSummary, check
from micagate.planning.messages import Malformed
from rig.gossip import Gossip

FALSE_SHARE = 0.001  # of the members' seconds: what is stated of false suspicions that end in a death


def started(count, seed=1, **how):
    fleet = Gossip(count, seed, **how)
    for name in fleet.names:
        fleet.start(name)
    assert fleet.settled(5.0) is not None
    return fleet


def downs(fleet):
    return [(at, name, news) for name, node in fleet.nodes.items() for at, news in node.news if news.what == "down"]


@pytest.mark.parametrize("count", [2, 5, 12, 60])
def test_a_kill_is_seen_by_all_and_a_restart_as_another_life(count):
    fleet = started(count)
    before = fleet.nodes["g001"].boot
    fleet.stop("g001")
    assert fleet.settled(1.0) is not None
    assert fleet.nodes["g000"].life.is_gone("g001") and fleet.nodes["g000"].life.alive_count() == count - 1
    fleet.start("g001")
    assert fleet.settled(1.0) is not None
    assert fleet.nodes["g001"].boot > before
    assert any(news.what == "restarted" or news.what == "up" for _, news in fleet.nodes["g000"].news[-3:])


def test_a_stall_is_silence_and_no_word_of_its_machine_and_clears_itself():
    fleet = started(7)
    fleet.sleep("g003", 4.0)
    fleet.run(2.5)
    life = fleet.nodes["g000"].life
    assert not life.is_alive("g003") and not life.is_gone("g003") and life.alive_count() == 7
    fleet.run(1.6)
    assert fleet.settled(2.0) is not None
    # It was late itself: it has taken nobody for dead.
    assert all(name != "g003" for _, name, _ in downs(fleet))


@pytest.mark.parametrize("seconds", [0.1, 0.3, 0.5])
def test_a_short_stall_is_no_death(seconds):
    fleet = started(7)
    fleet.sleep("g003", seconds)
    fleet.run(4.0)
    assert not downs(fleet) and fleet.agree()


@pytest.mark.parametrize(("there", "word"), [(True, "mute"), (False, "deaf")])
def test_a_link_that_passes_one_way_is_named_and_kills_nobody(there, word):
    fleet = started(5)
    one, other = ("g000", "g004")
    fleet.cut([other] if there else [one], [one] if there else [other], both=False)
    fleet.run(10.0)
    assert not downs(fleet)
    assert fleet.nodes[one].life.unreachable_peers(fleet.clock.now) == {other: word}
    assert fleet.nodes["g002"].life.unreachable_peers(fleet.clock.now) == {}
    fleet.heal()
    fleet.run(3.0)
    assert fleet.nodes[one].life.unreachable_peers(fleet.clock.now) == {} and fleet.agree()


def test_a_member_with_no_way_left_is_dead_to_the_rest_and_they_to_it_and_both_come_back():
    fleet = started(6)
    rest = [name for name in fleet.names if name != "g002"]
    fleet.cut(["g002"], rest)
    fleet.run(4.0)
    assert all(not fleet.nodes[name].life.is_alive("g002") for name in rest)
    assert not any(fleet.nodes["g002"].life.is_alive(name) for name in rest)
    assert fleet.nodes["g002"].life.alive_count() == 6  # they may be serving: none of their machines has refused
    fleet.heal()
    assert fleet.settled(6.0) is not None


@pytest.mark.parametrize("count", [8, 40])
def test_two_halves_that_were_cut_find_each_other_and_all_that_was_said_in_either(count):
    fleet = started(count)
    left, right = fleet.names[: count // 2], fleet.names[count // 2 :]
    fleet.cut(left, right)
    fleet.run(3.0)
    fleet.nodes[left[0]].life.publish_fact(fleet.wall(fleet.nodes[left[0]]), "ban", "w1", {"out": True})
    fleet.run(0.1)
    fleet.nodes[right[0]].life.publish_fact(fleet.wall(fleet.nodes[right[0]]), "ban", "w1", {"out": False})
    fleet.run(3.0)
    fleet.heal()
    assert fleet.settled(10.0) is not None
    assert all(fleet.nodes[name].life.facts.get("ban", "w1").value == {"out": False} for name in fleet.names)


def test_two_hundred_are_restarted_a_tenth_at_a_time_with_losses():
    fleet = started(200, seed=3)
    fleet.loss, fleet.lost = 0.02, 0.0002
    fleet.clock.run(fleet.clock.now + 3.0)
    false = 0
    for first in range(0, 200, 50):  # four of the ten tenths, to stay within the time of a test
        group = fleet.names[first : first + 20]
        for name in group:
            fleet.stop(name)
        fleet.run(0.6)
        for name in group:
            fleet.start(name)
        assert fleet.settled(3.0) is not None, first
    living = {name for name in fleet.names}
    false = sum(1 for at, _, news in downs(fleet) if news.cause == "silent" and news.name in living)
    assert false <= FALSE_SHARE * 200 * (fleet.clock.now - 1000.0)


def test_the_cost_of_a_member_does_not_grow_with_the_fleet():
    costs = {}
    for count in (20, 100):
        fleet = started(count)
        fleet.run(8.0)
        fleet.sent.clear()
        fleet.run(5.0)
        costs[count] = sum(fleet.sent.values()) / count / 5
    assert costs[100] < 1.3 * costs[20] < 60


def test_a_slow_member_is_slow_and_not_dead():
    fleet = started(5)
    fleet.nodes["g002"].slow = 0.4
    fleet.run(8.0)
    assert not downs(fleet)
    assert "g002" in fleet.nodes["g000"].life.slow_peers() and "g003" not in fleet.nodes["g000"].life.slow_peers()


def test_without_the_digest_what_a_broken_link_lost_is_never_found():
    found = {}
    for digests in (True, False):
        missed = 0
        for seed in range(12):
            fleet = Gossip(5, seed, digests=digests)
            for name in fleet.names:
                fleet.start(name)
            fleet.run(3.0)
            fleet.lost = 0.2
            for n in range(20):
                life = fleet.nodes[f"g00{n % 5}"].life
                life.publish_fact(fleet.wall(fleet.nodes[f"g00{n % 5}"]), "ban", f"w{n}", n)
                fleet.run(0.1)
            fleet.lost = 0.0
            missed += fleet.settled(8.0) is None
        found[digests] = missed
    assert found[True] == 0 and found[False] > 0


def test_numbers_of_lives_that_repeat_are_found():
    """The variant: a second life under the first one's number is taken for the first."""
    seen = {}
    for boots in (True, False):
        fleet = Gossip(5, 2, boots=boots)
        for name in fleet.names:
            fleet.start(name)
        fleet.run(2.0)
        fleet.stop("g001")
        fleet.start("g001", disk="another")  # so soon that nobody has noticed
        fleet.run(2.0)
        seen[boots] = any(news.what == "restarted" for _, news in fleet.nodes["g000"].news)
    assert seen == {True: True, False: False}


def test_two_processes_under_one_name_are_noticed_by_the_earlier_one():
    life = Members("g1", ["g1", "g2"], boot=5, now=0.0, random=Random(1))
    life.link_opened(0.0, "g2")
    life.receive(0.1, 0.1, "g2", Heartbeat(1, 0, 0.1, 0, (Record("g1", 9, 1),)))
    assert life.duplicate_name and life.duplicate_incarnation == 9 and [news.what for news in life.updates] == ["twin"]
    life.receive(
        0.2, 0.2, "g2", Heartbeat(2, 0, 0.1, 0, (Record("g1", 4, 7),))
    )  # an earlier life of this one: nothing new
    assert life.me.incarnation == 5 and len(life.updates) == 1


def test_a_suspected_member_clears_itself():
    life = Members("g1", ["g1", "g2"], boot=5, now=0.0, random=Random(1))
    life.link_opened(0.0, "g2")
    life.receive(0.1, 0.1, "g2", Heartbeat(1, 0, 0.1, 0, (Record("g1", 5, 1, "dead", ("g2",), "silent"),)))
    assert life.me.order() == (5, 2, 0)


def test_stamps_order_what_is_said_over_clocks_that_are_stepped():
    one, other = HybridClock("a"), HybridClock("b")
    first = one.stamp(5000.0)
    other.heard(first)
    second = other.stamp(1000.0)  # over an hour behind
    one.heard(second)
    third = one.stamp(1000.0)
    assert first < second < third


def test_the_last_word_holds_whichever_comes_last_and_an_old_disk_s_is_none():
    old, new = Fact("ban", "w", (1000, 0, "a"), "out"), Fact("ban", "w", (2000, 0, "b"), "in")
    for order in ((old, new), (new, old)):
        facts = Facts(order)
        assert facts.get("ban", "w") == new and facts.sum == Facts([new]).sum
    assert Facts([old]).newer([("ban", "w", (2000, 0, "b"))]) == []
    assert Facts([new]).newer([("ban", "w", (1000, 0, "a"))]) == [new]


def test_phi_grows_with_silence_and_sooner_on_a_link_that_came_evenly():
    even, uneven = Arrivals(0.0, 0.2, 3, 20), Arrivals(0.0, 0.2, 3, 20)
    for n in range(1, 60):
        even.came(0.2 * n)
        uneven.came(0.2 * n + (0.15 if n % 2 else 0.0))
    assert even.phi(12.0) < even.phi(12.4) < even.phi(12.8)
    assert even.phi(12.6) > uneven.phi(12.6)
    assert not even.unusual(12.1) and even.unusual(13.2) and uneven.unusual(11.8 + 4.1)
    assert even.unusual(13.0) and not even.unusual(13.0, slack=4.0)


def test_rings_are_the_same_everywhere_and_differ_from_each_other():
    names = [f"g{n}" for n in range(30)]
    assert rings(names) == rings(list(reversed(names)))
    assert len({tuple(ring) for ring in rings(names)}) == 4


@pytest.mark.parametrize(
    "change",
    [{"interval": 0}, {"most": 1.0}, {"longest": 0.1}, {"interval": float("nan")}, {"slow": True}, {"interval": 9.0}],
)
def test_wrong_times_are_named(change):
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
        Heartbeat(1, 0, 0.0, 0, (Record("g", 1, 1),) * (MOST + 1)),
        Heartbeat(1, 0, 0.0, 0, (), (Fact("ban", "", (1, 0, "a"), 1),)),
        Heartbeat(1, 0, 0.0, 0, (), (Fact("b", "w", (-1, 0, "a"), 1),)),
        StateSummary((), (("ban", "w", (1 << 60, 0, "a")),), True),
        StateSummary((("g", 1, 1, 7),), (), True),
        RecoveryAnswer(1, 0.0, 0.0, float("nan"), True),
        RecoveryAnswer(1, 0.0, 0.0, 0.0, True, (("w", 2.0, False),)),
    ],
)
def test_what_no_member_says_is_turned_down(message):
    with pytest.raises(Malformed):
        check(message)
