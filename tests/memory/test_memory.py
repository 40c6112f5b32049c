"""The memory beside the work: what is told to be on disk is there, and a bad disk is said to be one."""

import asyncio
import time

import pytest

from oliveloft.memory import memory as module
from oliveloft.memory.files import PlainDisk
from oliveloft.memory.log import Log
from oliveloft.memory.memory import MemoryUnavailableError, RecordStore
from rig.disks import Broken, Knobs
from rig.fake_servers import run, until


async def started(folder, knobs=None, **told):
    memory = RecordStore(asyncio.get_running_loop(), Broken(PlainDisk(str(folder)), knobs or Knobs()), "g1", **told)
    found = await memory.open()
    await memory.rewrite(found.records)
    return memory, found


def test_what_is_kept_is_on_disk_when_told_and_the_rest_soon(tmp_path):
    async def scenario():
        memory, _ = await started(tmp_path)
        assert await memory.put_and_sync("ban", "w", [1, "out"])
        assert Log(PlainDisk(str(tmp_path)), "g1").find().records == {("ban", "w"): [1, "out"]}
        memory.put("core", "", {"pace": 3.0})
        await asyncio.sleep(3 * module.FLUSH_INTERVAL_SECONDS)
        assert Log(PlainDisk(str(tmp_path)), "g1").find().records[("core", "")] == {"pace": 3.0}
        await memory.close([("life", "", {"end": "asked"})])
        assert Log(PlainDisk(str(tmp_path)), "g1").find().records[("life", "")] == {"end": "asked"}

    run(scenario())


def test_the_folder_is_one_process_s(tmp_path):
    async def scenario():
        memory, _ = await started(tmp_path)
        with pytest.raises(MemoryUnavailableError, match="another process"):
            await started(tmp_path)
        await memory.close()

    run(scenario())


def test_a_sync_that_takes_long_holds_nothing_up_but_who_waits_for_it(tmp_path):
    async def scenario():
        knobs = Knobs()
        memory, _ = await started(tmp_path, knobs)
        knobs.sync_takes = 0.6
        began = time.monotonic()
        waiting = [memory.put_and_sync("k", str(n), n) for n in range(500)]
        longest, last = 0.0, time.monotonic()
        while not all(f.done() for f in waiting):
            await asyncio.sleep(0.002)
            longest, last = max(longest, time.monotonic() - last), time.monotonic()
        assert all(f.result() for f in waiting)
        assert 0.5 < time.monotonic() - began < 2.5 and longest < 0.2
        await memory.close()

    run(scenario())


def test_a_disk_that_fails_is_given_up_voided_and_taken_up_again(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "DISK_FAILURE_TIMEOUT_SECONDS", 0.4)
    monkeypatch.setattr(module, "RETRY_INTERVAL_SECONDS", 0.2)

    async def scenario():
        knobs, told = Knobs(), []
        memory, _ = await started(tmp_path, knobs, on_lost=told.append, on_recovered=lambda: told.append("again"))
        assert await memory.put_and_sync("k", "1", 1)
        knobs.room = 0
        assert not await memory.put_and_sync("k", "2", 2)
        await until(lambda: len(told) == 1)
        assert "full" in told[0] and not memory.trusted
        await until(lambda: Log(PlainDisk(str(tmp_path)), "g1").find().voided)
        assert not await memory.put_and_sync("k", "3", 3)
        knobs.room = -1
        await until(lambda: told[1:] == ["again"])
        assert await memory.put_and_sync("k", "4", 4)
        found = Log(PlainDisk(str(tmp_path)), "g1").find()
        assert not found.voided and set(found.records) == {("k", str(n)) for n in (1, 2, 3, 4)}
        await memory.close()

    run(scenario())


def test_a_disk_that_can_t_be_begun_on_is_voided_so_that_what_stands_there_is_not_believed(tmp_path):
    async def scenario():
        log = Log(PlainDisk(str(tmp_path)), "g1")
        log.find()
        log.begin([("mark", "c", 1)])
        log.close()
        knobs = Knobs(room=0)
        memory = RecordStore(asyncio.get_running_loop(), Broken(PlainDisk(str(tmp_path)), knobs), "g1")
        found = await memory.open()
        assert not found.voided and not await memory.rewrite(found.records)
        await until(lambda: Log(PlainDisk(str(tmp_path)), "g1").find().voided)
        knobs.room = -1
        await until(lambda: memory.trusted)
        assert not Log(PlainDisk(str(tmp_path)), "g1").find().voided
        await memory.close()

    run(scenario())


def test_a_disk_that_hangs_is_given_up_though_it_says_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "DISK_FAILURE_TIMEOUT_SECONDS", 0.4)

    async def scenario():
        knobs, told = Knobs(), []
        memory, _ = await started(tmp_path, knobs, on_lost=lambda why: told.append(why))
        knobs.sync_takes = 1.5
        waiting = memory.put_and_sync("k", "1", 1)
        await until(lambda: told)
        assert "no answer" in told[0] and not memory.trusted
        assert not await waiting  # on disk in the end, but nobody is to rely on it any more
        knobs.sync_takes = 0.0
        await asyncio.sleep(1.5)
        await memory.close()

    run(scenario())


def test_the_log_is_made_anew_while_records_come_and_loses_none(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "MIN_COMPACTION_BYTES", 20_000)
    monkeypatch.setattr(module, "COMPACTION_GROWTH_FACTOR", 1)
    monkeypatch.setattr(module, "FLUSH_INTERVAL_SECONDS", 0.01)

    async def scenario():
        memory, _ = await started(tmp_path)
        disk = PlainDisk(str(tmp_path))
        end = 0
        while (
            end < 4000 or Log(disk, "g1").find().file_number <= 2
        ):  # how many copies it takes depends on the disk's pace
            for n in range(end, end + 50):
                memory.put("k", str(n % 900), n)
            end += 50
            await memory.sync()
        for n in range(0, 900, 3):
            memory.put("k", str(n), None)
        assert await memory.sync()
        found = Log(disk, "g1").find()
        assert found.file_number > 2 and not found.damage
        assert found.records == {("k", str(n % 900)): n for n in range(end - 900, end) if (n % 900) % 3}
        await memory.close()

    run(scenario())
