"""The record log on faulty disks: synced records are read back, damage is reported, no record is invented."""

from random import Random

import pytest

from oliveloft.memory.files import SystemDisk
from oliveloft.memory.log import STATE_FILE, RecordLog
from rig.disks import DiskFaults, FaultyDisk, MemoryDisk


def open_log(disk, owner="g1"):
    log = RecordLog(disk, owner)
    return log, log.load()


def begin_log(disk, records=(), owner="g1"):
    log, found = open_log(disk, owner)
    log.rewrite([(kind, key, value) for (kind, key), value in found.records.items()] + list(records))
    return log


def test_synced_records_are_read_back_and_the_last_value_of_a_key_is_valid(tmp_path):
    log = begin_log(SystemDisk(str(tmp_path)))
    log.append([("ban", "w1", [1, "out"]), ("mark", "c", 2.5)])
    log.append([("ban", "w1", [2, "in"]), ("mark", "c", None)])
    log.sync()
    log.close()
    found = RecordLog(SystemDisk(str(tmp_path)), "g1").load()
    assert found.records == {("ban", "w1"): [2, "in"]}
    assert (found.owner, found.torn, found.damage, found.voided) == ("g1", False, "", False)


def test_a_power_loss_keeps_all_synced_records_and_adds_none():
    for seed in range(300):
        random, backing = Random(seed), MemoryDisk()
        disk = FaultyDisk(backing)
        log = begin_log(disk)
        synced, written = {}, {}
        for n in range(random.randrange(1, 30)):
            log.append([("k", str(n % 7), n)])
            written[n % 7] = n
            if random.random() < 0.4:
                log.sync()
                synced = dict(written)
            if random.random() < 0.1:  # a compaction that may not complete
                log.start_copy()
                log.copy_records([("k", str(key), value) for key, value in written.items()])
                if random.random() < 0.5:
                    log.finish_copy()
                    synced = dict(written)
        disk.cut_power(random)
        _, found = open_log(FaultyDisk(backing))
        assert not found.damage, (seed, found)
        for key, value in synced.items():
            assert found.records[("k", str(key))] >= value, (seed, key)
        assert all(value <= written[int(key)] for (_, key), value in found.records.items())


def test_a_flipped_bit_anywhere_is_reported_as_damage_and_never_read_as_a_record():
    backing = MemoryDisk()
    log = begin_log(backing)
    for n in range(6):
        log.append([("k", str(n), n)])
    log.sync()
    (name,) = [name for name in backing.files if name.endswith(".log")]
    good = bytes(backing.files[name])
    damage_reports = 0
    for at in range(len(good)):
        for bit in (0, 3, 7):
            backing.files[name][:] = good
            backing.files[name][at] ^= 1 << bit
            found = RecordLog(backing, "g1").load()
            assert all(value == int(key) for (_, key), value in found.records.items())
            assert found.damage, (at, bit)
            damage_reports += 1
            for other in [other for other in backing.files if other != name and ".log" in other]:
                del backing.files[other]
    assert damage_reports == 3 * len(good)


def test_zeros_at_the_end_are_a_torn_tail():
    backing = MemoryDisk()
    log = begin_log(backing)
    log.append([("k", "1", 1)])
    (name,) = [name for name in backing.files if name.endswith(".log")]
    backing.files[name] += bytes(4096)
    found = RecordLog(backing, "g1").load()
    assert found.records == {("k", "1"): 1} and found.torn and not found.damage


def test_files_of_another_owner_are_reported_and_renamed_but_not_deleted():
    backing = MemoryDisk()
    begin_log(backing, [("ban", "w", 1)], owner="g2").close()
    before = next(bytes(data) for name, data in backing.files.items() if name.endswith(".log"))
    log, found = open_log(backing, "g1")
    assert found.owner == "g2" and found.records == {("ban", "w"): 1}
    log.rewrite([])
    assert any(name.endswith(".of-g2") and bytes(data) == before for name, data in backing.files.items())


def test_leftovers_of_an_earlier_file_are_not_read_as_a_frame():
    backing = MemoryDisk()
    log = begin_log(backing)
    log.append([("k", "old", 1)])
    (name,) = [name for name in backing.files if name.endswith(".log")]
    old = bytes(backing.files[name])
    log.rewrite([])
    (new,) = [other for other in backing.files if other.endswith(".log")]
    lead = len(old) - len(bytes(backing.files[new]))
    backing.files[new] += old[-abs(lead) :]
    found = RecordLog(backing, "g1").load()
    assert ("k", "old") not in found.records


def test_a_full_disk_keeps_synced_records_and_can_still_be_marked_void():
    backing, knobs = MemoryDisk(), DiskFaults()
    disk = FaultyDisk(backing, knobs)
    log = begin_log(disk)
    log.append([("k", "1", 1)])
    log.sync()
    knobs.room = 0
    with pytest.raises(OSError, match="full"):
        log.append([("k", "2", 2)])
    log.mark_void()
    _, found = open_log(FaultyDisk(backing))
    assert found.voided and found.records == {("k", "1"): 1}


def test_a_void_log_is_trusted_again_only_after_a_complete_rewrite():
    backing = MemoryDisk()
    disk = FaultyDisk(backing)
    log = begin_log(disk, [("mark", "c", 5)])
    log.mark_void()
    log.start_copy()
    log.copy_records([("mark", "c", 1)])
    disk.cut_power(Random(1))
    log, found = open_log(backing)
    assert found.voided
    log.rewrite([])
    assert backing.files[STATE_FILE][:4] == b"good" and not RecordLog(backing, "g1").load().voided


def test_a_read_only_disk_raises_an_error(tmp_path):
    disk = FaultyDisk(SystemDisk(str(tmp_path)), DiskFaults(read_only=True))
    with pytest.raises(OSError, match="read only"):
        begin_log(disk)
