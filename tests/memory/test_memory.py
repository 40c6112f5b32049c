"""The record store: records reported as synced are on disk, and a failing disk is reported to the owner."""

import asyncio
import time

import pytest

from oliveloft.memory import memory as module
from oliveloft.memory.files import SystemDisk
from oliveloft.memory.log import RecordLog
from oliveloft.memory.memory import MemoryUnavailableError, RecordStore
from rig.disks import DiskFaults, FaultyDisk
from rig.fake_servers import run, until


async def start_store(folder, knobs=None, **notified):
    store = RecordStore(
        asyncio.get_running_loop(), FaultyDisk(SystemDisk(str(folder)), knobs or DiskFaults()), "g1", **notified
    )
    found = await store.open()
    await store.rewrite(found.records)
    return store, found


def test_synced_records_are_on_disk_when_reported_and_others_soon(tmp_path):
    async def scenario():
        store, _ = await start_store(tmp_path)
        assert await store.put_and_sync("ban", "w", [1, "out"])
        assert RecordLog(SystemDisk(str(tmp_path)), "g1").load().records == {("ban", "w"): [1, "out"]}
        store.put("core", "", {"pace": 3.0})
        await asyncio.sleep(3 * module.FLUSH_INTERVAL_SECONDS)
        assert RecordLog(SystemDisk(str(tmp_path)), "g1").load().records[("core", "")] == {"pace": 3.0}
        await store.close([("life", "", {"end": "asked"})])
        assert RecordLog(SystemDisk(str(tmp_path)), "g1").load().records[("life", "")] == {"end": "asked"}

    run(scenario())


def test_a_folder_is_used_by_one_process_only(tmp_path):
    async def scenario():
        store, _ = await start_store(tmp_path)
        with pytest.raises(MemoryUnavailableError, match="another process"):
            await start_store(tmp_path)
        await store.close()

    run(scenario())


def test_a_slow_sync_delays_only_its_callers(tmp_path):
    async def scenario():
        knobs = DiskFaults()
        store, _ = await start_store(tmp_path, knobs)
        knobs.sync_takes = 0.6
        began = time.monotonic()
        waiting = [store.put_and_sync("k", str(n), n) for n in range(500)]
        longest, last = 0.0, time.monotonic()
        while not all(f.done() for f in waiting):
            await asyncio.sleep(0.002)
            longest, last = max(longest, time.monotonic() - last), time.monotonic()
        assert all(f.result() for f in waiting)
        assert 0.5 < time.monotonic() - began < 2.5 and longest < 0.2
        await store.close()

    run(scenario())


def test_a_failing_disk_is_marked_void_and_used_again_after_recovery(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "DISK_FAILURE_TIMEOUT_SECONDS", 0.4)
    monkeypatch.setattr(module, "RETRY_INTERVAL_SECONDS", 0.2)

    async def scenario():
        knobs, notified = DiskFaults(), []
        store, _ = await start_store(
            tmp_path, knobs, on_lost=notified.append, on_recovered=lambda: notified.append("again")
        )
        assert await store.put_and_sync("k", "1", 1)
        knobs.room = 0
        assert not await store.put_and_sync("k", "2", 2)
        await until(lambda: len(notified) == 1)
        assert "full" in notified[0] and not store.trusted
        await until(lambda: RecordLog(SystemDisk(str(tmp_path)), "g1").load().voided)
        assert not await store.put_and_sync("k", "3", 3)
        knobs.room = -1
        await until(lambda: notified[1:] == ["again"])
        assert await store.put_and_sync("k", "4", 4)
        found = RecordLog(SystemDisk(str(tmp_path)), "g1").load()
        assert not found.voided and set(found.records) == {("k", str(n)) for n in (1, 2, 3, 4)}
        await store.close()

    run(scenario())


def test_a_disk_that_fails_at_the_start_is_marked_void(tmp_path):
    async def scenario():
        log = RecordLog(SystemDisk(str(tmp_path)), "g1")
        log.load()
        log.rewrite([("mark", "c", 1)])
        log.close()
        knobs = DiskFaults(room=0)
        store = RecordStore(asyncio.get_running_loop(), FaultyDisk(SystemDisk(str(tmp_path)), knobs), "g1")
        found = await store.open()
        assert not found.voided and not await store.rewrite(found.records)
        await until(lambda: RecordLog(SystemDisk(str(tmp_path)), "g1").load().voided)
        knobs.room = -1
        await until(lambda: store.trusted)
        assert not RecordLog(SystemDisk(str(tmp_path)), "g1").load().voided
        await store.close()

    run(scenario())


def test_a_hung_disk_is_given_up_without_an_error(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "DISK_FAILURE_TIMEOUT_SECONDS", 0.4)

    async def scenario():
        knobs, notified = DiskFaults(), []
        store, _ = await start_store(tmp_path, knobs, on_lost=lambda why: notified.append(why))
        knobs.sync_takes = 1.5
        waiting = store.put_and_sync("k", "1", 1)
        await until(lambda: notified)
        assert "no answer" in notified[0] and not store.trusted
        assert not await waiting  # it reached the disk, but the store is no longer trusted
        knobs.sync_takes = 0.0
        await asyncio.sleep(1.5)
        await store.close()

    run(scenario())


def test_compaction_under_load_loses_no_record(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "MIN_COMPACTION_BYTES", 20_000)
    monkeypatch.setattr(module, "COMPACTION_GROWTH_FACTOR", 1)
    monkeypatch.setattr(module, "FLUSH_INTERVAL_SECONDS", 0.01)

    async def scenario():
        store, _ = await start_store(tmp_path)
        disk = SystemDisk(str(tmp_path))
        end = 0
        while (
            end < 4000 or RecordLog(disk, "g1").load().file_number <= 2
        ):  # the number of compactions depends on the speed of the disk
            for n in range(end, end + 50):
                store.put("k", str(n % 900), n)
            end += 50
            await store.sync()
        for n in range(0, 900, 3):
            store.put("k", str(n), None)
        assert await store.sync()
        found = RecordLog(disk, "g1").load()
        assert found.file_number > 2 and not found.damage
        assert found.records == {("k", str(n % 900)): n for n in range(end - 900, end) if (n % 900) % 3}
        await store.close()

    run(scenario())
