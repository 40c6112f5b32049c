"""Which planner plans what."""

from collections import Counter

from micagate.planning.ownership import PATIENCE, SETTLED, Claim, Owner, Ownership, Release, first, shard_of

NAMES = ("p1", "p2", "p3")


def claims(wishes):
    return {wish.shard for wish in wishes if isinstance(wish, Claim)}


def world(*names, shards=32):
    """Some planners that see each other and an empty store."""
    made = {name: Ownership(name, shards) for name in names}
    for planner in made.values():
        planner.reset(0.0)
        planner.members(0.0, names)
    return made


def test_every_shard_is_claimed_by_exactly_one_of_those_that_are_there():
    made = world(*NAMES)
    taken = [claims(planner.wishes(0.0)) for planner in made.values()]
    assert set.union(*taken) == set(range(32)) and sum(map(len, taken)) == 32 and all(taken)


def test_a_vacant_shard_goes_to_anyone_once_its_first_does_not_come():
    planner = world(*NAMES)["p1"]
    later = claims(planner.wishes(PATIENCE))
    assert later == set(range(32)) > claims(planner.wishes(PATIENCE / 2))


def test_a_planner_that_goes_moves_its_shards_and_no_others():
    before = {shard: first(shard, NAMES) for shard in range(1000)}
    after = {shard: first(shard, NAMES[:2]) for shard in range(1000)}
    assert all(after[s] == before[s] for s in before if before[s] != "p3")
    counts = Counter(before.values())
    assert min(counts.values()) > 250
    assert first(1, ()) is None


def test_an_epoch_is_above_all_that_the_store_and_the_forwarders_know():
    planner = world("p1", shards=2)["p1"]
    planner.epoch(0, 5, 77)
    planner.heard(1, 9)
    assert planner.wishes(0.0) == [Claim(0, 6, 77), Claim(1, 10, 0)]
    planner.owner(0.0, 0, Owner("p1", 6, 80))
    planner.owner(0.0, 1, Owner("p1", 10, 81))
    assert planner.owned() == {0: 6, 1: 10} and not planner.wishes(0.0)
    planner.heard(1, 12)  # forwarders follow an epoch that the store has lost: begin above it
    assert planner.wishes(1.0) == [Release(1, 81)]


def test_shards_move_one_by_one_to_a_planner_that_has_come_to_stay():
    planner = world("p1", shards=32)["p1"]
    for shard in range(32):
        planner.owner(0.0, shard, Owner("p1", 1, shard + 1))
    planner.member(10.0, "p2", True)
    assert not planner.wishes(10.0)
    gone = set()
    now = 10.0 + SETTLED
    while wishes := planner.wishes(now):
        assert len(wishes) == 1
        gone.add(wishes[0].shard)
        planner.owner(now, wishes[0].shard, Owner("p2", 2, 100))
        assert not planner.wishes(now + 0.1)
        now += 1.0
    assert gone == {shard for shard in range(32) if first(shard, ("p1", "p2")) == "p2"}


def test_a_planner_that_is_no_member_claims_nothing():
    planner = Ownership("p1", 4)
    planner.reset(0.0)
    planner.members(0.0, ("p2",))
    assert not planner.wishes(100.0)


def test_things_are_dealt_out_evenly_and_for_good():
    counts = Counter(shard_of(f"c/plan/{n:016x}", 16) for n in range(16000))
    assert len(counts) == 16 and min(counts.values()) > 850
    assert shard_of("c/solo/00000000000000aa", 16) == shard_of("c/solo/00000000000000aa", 16)


def test_epochs_go_on_above_those_of_a_store_that_came_back_empty():
    ownership = Ownership("p1", 1)
    ownership.members(0.0, ["p1"])
    ownership.epoch(0, 7, 3)
    ownership.reset(1.0)
    assert ownership.wishes(5.0) == [Claim(0, 8, 0)]
