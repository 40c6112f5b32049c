"""The log on disks that break: what was synced is there, what is damaged is named, nothing is made up."""

from random import Random

import pytest

from oliveloft.memory.files import PlainDisk
from oliveloft.memory.log import STATE_FILE, Log
from rig.disks import Broken, Knobs, Memory


def opened(disk, owner="g1"):
    log = Log(disk, owner)
    return log, log.find()


def begun(disk, records=(), owner="g1"):
    log, found = opened(disk, owner)
    log.begin([(kind, key, value) for (kind, key), value in found.records.items()] + list(records))
    return log


def test_what_was_synced_is_read_back_and_the_last_word_on_a_key_holds(tmp_path):
    log = begun(PlainDisk(str(tmp_path)))
    log.append([("ban", "w1", [1, "out"]), ("mark", "c", 2.5)])
    log.append([("ban", "w1", [2, "in"]), ("mark", "c", None)])
    log.sync()
    log.close()
    found = Log(PlainDisk(str(tmp_path)), "g1").find()
    assert found.records == {("ban", "w1"): [2, "in"]}
    assert (found.owner, found.torn, found.damage, found.voided) == ("g1", False, "", False)


def test_a_cut_at_any_time_leaves_all_that_was_synced_and_only_what_was_written():
    for seed in range(300):
        random, below = Random(seed), Memory()
        disk = Broken(below)
        log = begun(disk)
        promised, written = {}, {}
        for n in range(random.randrange(1, 30)):
            log.append([("k", str(n % 7), n)])
            written[n % 7] = n
            if random.random() < 0.4:
                log.sync()
                promised = dict(written)
            if random.random() < 0.1:  # a copy under way, that may never come to its end
                log.start_copy()
                log.copy_records([("k", str(key), value) for key, value in written.items()])
                if random.random() < 0.5:
                    log.finish_copy()
                    promised = dict(written)
        disk.power(random)
        _, found = opened(Broken(below))
        assert not found.damage, (seed, found)
        for key, value in promised.items():
            assert found.records[("k", str(key))] >= value, (seed, key)
        assert all(value <= written[int(key)] for (_, key), value in found.records.items())


def test_a_flipped_bit_anywhere_is_damage_or_changes_nothing_and_never_passes_for_a_record():
    below = Memory()
    log = begun(below)
    for n in range(6):
        log.append([("k", str(n), n)])
    log.sync()
    (name,) = [name for name in below.files if name.endswith(".log")]
    good = bytes(below.files[name])
    named = 0
    for at in range(len(good)):
        for bit in (0, 3, 7):
            below.files[name][:] = good
            below.files[name][at] ^= 1 << bit
            found = Log(below, "g1").find()
            assert all(value == int(key) for (_, key), value in found.records.items())
            assert found.damage, (at, bit)
            named += 1
            for other in [other for other in below.files if other != name and ".log" in other]:
                del below.files[other]
    assert named == 3 * len(good)


def test_zeros_at_the_end_are_a_torn_tail():
    below = Memory()
    log = begun(below)
    log.append([("k", "1", 1)])
    (name,) = [name for name in below.files if name.endswith(".log")]
    below.files[name] += bytes(4096)
    found = Log(below, "g1").find()
    assert found.records == {("k", "1"): 1} and found.torn and not found.damage


def test_a_neighbour_s_files_are_named_and_set_aside_and_not_lost():
    below = Memory()
    begun(below, [("ban", "w", 1)], owner="g2").close()
    before = next(bytes(data) for name, data in below.files.items() if name.endswith(".log"))
    log, found = opened(below, "g1")
    assert found.owner == "g2" and found.records == {("ban", "w"): 1}
    log.begin([])
    assert any(name.endswith(".of-g2") and bytes(data) == before for name, data in below.files.items())


def test_what_stood_on_the_same_blocks_before_is_no_frame():
    below = Memory()
    log = begun(below)
    log.append([("k", "old", 1)])
    (name,) = [name for name in below.files if name.endswith(".log")]
    old = bytes(below.files[name])
    log.begin([])
    (new,) = [other for other in below.files if other.endswith(".log")]
    lead = len(old) - len(bytes(below.files[new]))
    below.files[new] += old[-abs(lead) :]
    found = Log(below, "g1").find()
    assert ("k", "old") not in found.records


def test_a_full_disk_keeps_what_was_promised_and_can_still_be_voided():
    below, knobs = Memory(), Knobs()
    disk = Broken(below, knobs)
    log = begun(disk)
    log.append([("k", "1", 1)])
    log.sync()
    knobs.room = 0
    with pytest.raises(OSError, match="full"):
        log.append([("k", "2", 2)])
    log.mark_void()
    _, found = opened(Broken(below))
    assert found.voided and found.records == {("k", "1"): 1}


def test_a_void_log_is_believed_again_only_once_a_new_one_is_whole():
    below = Memory()
    disk = Broken(below)
    log = begun(disk, [("mark", "c", 5)])
    log.mark_void()
    log.start_copy()
    log.copy_records([("mark", "c", 1)])
    disk.power(Random(1))
    log, found = opened(below)
    assert found.voided
    log.begin([])
    assert below.files[STATE_FILE][:4] == b"good" and not Log(below, "g1").find().voided


def test_a_read_only_disk_says_so(tmp_path):
    disk = Broken(PlainDisk(str(tmp_path)), Knobs(read_only=True))
    with pytest.raises(OSError, match="read only"):
        begun(disk)
