"""Tests of how shards are assigned to planners."""

from collections import Counter

from micagate.planning.ownership import (
    CLAIM_DELAY_SECONDS,
    MIN_MEMBER_AGE_SECONDS,
    Claim,
    Owner,
    Ownership,
    Release,
    preferred_planner,
    shard_of,
)

NAMES = ("p1", "p2", "p3")


def claims(wishes):
    return {wish.shard for wish in wishes if isinstance(wish, Claim)}


def planner_group(*names, shards=32):
    """Create planners that know each other and an empty store."""
    planners = {name: Ownership(name, shards) for name in names}
    for planner in planners.values():
        planner.reset(0.0)
        planner.set_members(0.0, names)
    return planners


def test_each_vacant_shard_is_claimed_by_exactly_one_live_planner():
    planners = planner_group(*NAMES)
    taken = [claims(planner.store_operations(0.0)) for planner in planners.values()]
    assert set.union(*taken) == set(range(32)) and sum(map(len, taken)) == 32 and all(taken)


def test_any_planner_claims_a_vacant_shard_after_the_claim_delay():
    planner = planner_group(*NAMES)["p1"]
    later = claims(planner.store_operations(CLAIM_DELAY_SECONDS))
    assert later == set(range(32)) > claims(planner.store_operations(CLAIM_DELAY_SECONDS / 2))


def test_the_loss_of_a_planner_moves_only_its_own_shards():
    before = {shard: preferred_planner(shard, NAMES) for shard in range(1000)}
    after = {shard: preferred_planner(shard, NAMES[:2]) for shard in range(1000)}
    assert all(after[s] == before[s] for s in before if before[s] != "p3")
    counts = Counter(before.values())
    assert min(counts.values()) > 250
    assert preferred_planner(1, ()) is None


def test_a_claimed_epoch_exceeds_those_known_to_the_store_and_to_forwarders():
    planner = planner_group("p1", shards=2)["p1"]
    planner.set_epoch(0, 5, 77)
    planner.report_epoch(1, 9)
    assert planner.store_operations(0.0) == [Claim(0, 6, 77), Claim(1, 10, 0)]
    planner.set_owner(0.0, 0, Owner("p1", 6, 80))
    planner.set_owner(0.0, 1, Owner("p1", 10, 81))
    assert planner.owned() == {0: 6, 1: 10} and not planner.store_operations(0.0)
    planner.report_epoch(1, 12)  # forwarders follow an epoch that the store has lost, so the next one must exceed it
    assert planner.store_operations(1.0) == [Release(1, 81)]


def test_shards_move_one_at_a_time_to_a_new_planner_after_it_has_settled():
    planner = planner_group("p1", shards=32)["p1"]
    for shard in range(32):
        planner.set_owner(0.0, shard, Owner("p1", 1, shard + 1))
    planner.update_member(10.0, "p2", True)
    assert not planner.store_operations(10.0)
    released = set()
    now = 10.0 + MIN_MEMBER_AGE_SECONDS
    while wishes := planner.store_operations(now):
        assert len(wishes) == 1
        released.add(wishes[0].shard)
        planner.set_owner(now, wishes[0].shard, Owner("p2", 2, 100))
        assert not planner.store_operations(now + 0.1)
        now += 1.0
    assert released == {shard for shard in range(32) if preferred_planner(shard, ("p1", "p2")) == "p2"}


def test_a_planner_that_is_not_a_member_claims_nothing():
    planner = Ownership("p1", 4)
    planner.reset(0.0)
    planner.set_members(0.0, ("p2",))
    assert not planner.store_operations(100.0)


def test_resources_are_spread_evenly_and_stably_over_shards():
    counts = Counter(shard_of(f"c/plan/{n:016x}", 16) for n in range(16000))
    assert len(counts) == 16 and min(counts.values()) > 850
    assert shard_of("c/solo/00000000000000aa", 16) == shard_of("c/solo/00000000000000aa", 16)


def test_epochs_continue_above_the_known_ones_after_the_store_lost_its_data():
    ownership = Ownership("p1", 1)
    ownership.set_members(0.0, ["p1"])
    ownership.set_epoch(0, 7, 3)
    ownership.reset(1.0)
    assert ownership.store_operations(5.0) == [Claim(0, 8, 0)]
