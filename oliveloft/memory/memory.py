"""Persists a gatekeeper's records in the background, without blocking requests or the event loop.

Records are accepted at once and written by a thread; those that arrive while it is busy are written together (group
commit: DeWitt and others, 1984). `put_and_sync` reports when a record is on disk; one given to `put` is written within
`FLUSH_INTERVAL_SECONDS`. After a disk error the whole set of records is written again, since the state left behind by
a failed write or sync is unknown (fsync reports an error once: Rebello and others, "Can Applications Recover from
fsync Failures?", 2020). If the disk fails or hangs for longer than `DISK_FAILURE_TIMEOUT_SECONDS`, the owner is
notified that the records are no longer trusted, and the log is marked void in place.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec

from oliveloft.memory.files import Disk
from oliveloft.memory.log import COPY_CHUNK_RECORDS, LOCK_FILE, Key, LogContents, RecordLog

log = logging.getLogger("oliveloft")

FLUSH_INTERVAL_SECONDS = 0.25  # longest wait of a record that no caller waits for before its write begins
DISK_FAILURE_TIMEOUT_SECONDS = 3.0  # how long the disk may fail or hang before the records are no longer trusted
RETRY_INTERVAL_SECONDS = 1.0  # between retries on a failing disk
# The log is compacted into a new file once it exceeds both this size and this multiple of the last copy.
MIN_COMPACTION_BYTES, COMPACTION_GROWTH_FACTOR = 1 << 20, 4
MAX_BATCH_RECORDS = 2000  # records written at once: encoding holds the interpreter lock

_encode = msgspec.msgpack.Encoder().encode


class MemoryUnavailableError(Exception):
    """Raised where a folder cannot hold records; the text says why."""


class RecordStore:
    """The records of one owner in one folder.

    `on_lost` is called with the reason when the records on disk are no longer trusted, `on_recovered` when they are
    again.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        disk: Disk,
        owner: str,
        on_lost: Callable[[str], None] = lambda reason: None,
        on_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop, self._disk, self._on_lost, self._on_recovered = loop, disk, on_lost, on_recovered
        self._log = RecordLog(disk, owner)
        self._write_executor = ThreadPoolExecutor(1, "memory")
        self._void_executor = ThreadPoolExecutor(1, "memory-void")  # marks the log void while the writer hangs
        self._current: dict[Key, msgspec.Raw] = {}  # all current records, encoded
        self._pending: dict[Key, msgspec.Raw | None] = {}
        self._sync_waiters: list[asyncio.Future[bool]] = []
        self._writing = False
        self._write_started_at = 0.0  # monotonic time
        self._failing_since: float | None = None  # None while the disk works
        self._next_retry_at = 0.0
        self._keys_to_copy: list[Key] | None = None  # not yet copied by a compaction; None: no compaction
        self._last_copy_bytes = 0
        self._marked_untrusted = False
        self.trusted = False  # whether the records on disk are valid and reported writes are durable
        self.unavailable_reason = "not open"
        self.batch_count = self.record_count = 0
        self.slowest_batch_seconds = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    async def open(self) -> LogContents:
        """Lock the folder and read its log.

        Raises MemoryUnavailableError where another process has the folder or it cannot be read.
        """

        def find() -> LogContents:
            if not self._disk.lock(LOCK_FILE):
                raise MemoryUnavailableError("another process has it")
            return self._log.load()

        try:
            contents = await self._loop.run_in_executor(self._write_executor, find)
        except OSError as error:
            raise MemoryUnavailableError(error.strerror or str(error)) from error
        return contents

    async def rewrite(self, records: dict[Key, Any]) -> bool:
        """Replace all records by these, in a new log file; return whether they are on disk and trusted."""
        self._current = {key: msgspec.Raw(_encode(value)) for key, value in records.items()}
        rows = [(kind, key, raw) for (kind, key), raw in self._current.items()]
        self._writing, self._write_started_at = True, time.monotonic()
        self._tick()
        try:
            await self._loop.run_in_executor(self._write_executor, self._log.rewrite, rows)
        except OSError as error:
            self._writing = False
            self._record_failure(error)
            # The disk still holds the records of an earlier incarnation.
            self.mark_untrusted(error.strerror or str(error))
        else:
            self._writing = False
            if self._marked_untrusted:
                # It finished after the timeout: everything is written once more before it is trusted.
                self._failing_since = self._write_started_at
            else:
                self.trusted, self.unavailable_reason = True, ""
        return self.trusted

    def put(self, kind: str, key: str, value: Any) -> None:
        """Store a record, to be written soon; a value of None deletes it."""
        if value is None:
            if self._current.pop((kind, key), None) is None:
                return
            self._pending[kind, key] = None
        else:
            raw = msgspec.Raw(_encode(value))
            if self._current.get((kind, key)) == raw:
                return
            self._current[kind, key] = self._pending[kind, key] = raw

    def put_and_sync(self, kind: str, key: str, value: Any) -> asyncio.Future[bool]:
        """Store a record and write it now; the result is whether it is on disk."""
        self.put(kind, key, value)
        return self.sync()

    def sync(self) -> asyncio.Future[bool]:
        """Write all pending records now; the result is whether they are on disk."""
        done: asyncio.Future[bool] = self._loop.create_future()
        if self._closed or self._failing_since is not None and not self.trusted:
            done.set_result(False)
        else:
            self._sync_waiters.append(done)
            self._write_next_batch()
        return done

    def keys_of_kind(self, kind: str) -> list[str]:
        """Return the keys of all records of a kind."""
        return [key for record_kind, key in self._current if record_kind == kind]

    def __len__(self) -> int:
        return len(self._current)

    # Work of the writer thread, one task at a time.

    def _write_next_batch(self) -> None:
        """Give the writer thread the next batch, with a chunk of a compaction if one is under way."""
        if self._writing or self._closed or self._failing_since is not None:
            return
        if self._keys_to_copy is None and self._log.size > max(
            MIN_COMPACTION_BYTES, COMPACTION_GROWTH_FACTOR * self._last_copy_bytes
        ):
            self._keys_to_copy = list(self._current)
            self._last_copy_bytes = sum(map(len, self._current.values()))
        if not (self._pending or self._sync_waiters or self._keys_to_copy is not None):
            return
        keys = list(self._pending)[:MAX_BATCH_RECORDS]
        rows = [(kind, key, self._pending.pop((kind, key))) for kind, key in keys]
        waiters: list[asyncio.Future[bool]] = []
        if not self._pending:
            waiters, self._sync_waiters = self._sync_waiters, []
        copy_rows: list[tuple[str, str, Any]] | None = None
        if self._keys_to_copy is not None:
            copied_keys, self._keys_to_copy = (
                self._keys_to_copy[-COPY_CHUNK_RECORDS:],
                self._keys_to_copy[:-COPY_CHUNK_RECORDS],
            )
            copy_rows = [(*key, self._current[key]) for key in copied_keys if key in self._current]
        self._submit(self._write_batch, rows, copy_rows, waiters=waiters, full_rewrite=False)

    def _write_batch(
        self, rows: Sequence[tuple[str, str, Any]], copy_rows: Sequence[tuple[str, str, Any]] | None
    ) -> None:
        if rows:
            self._log.append(rows)
        if copy_rows is not None:
            if not self._log.copying:
                self._log.start_copy()
            self._log.copy_records(copy_rows)
            if not copy_rows:
                self._log.finish_copy()
        if rows:
            self._log.sync()

    def _submit(
        self, work: Callable[..., None], *arguments: Any, waiters: list[asyncio.Future[bool]], full_rewrite: bool
    ) -> None:
        self._writing, self._write_started_at = True, time.monotonic()
        future = self._loop.run_in_executor(self._write_executor, work, *arguments)
        future.add_done_callback(lambda done: self._write_done(done, len(arguments[0]), waiters, full_rewrite))

    def _write_done(
        self, done: asyncio.Future[None], count: int, waiters: list[asyncio.Future[bool]], full_rewrite: bool
    ) -> None:
        self._writing = False
        self.slowest_batch_seconds = max(self.slowest_batch_seconds, time.monotonic() - self._write_started_at)
        error = done.exception() if not done.cancelled() else asyncio.CancelledError("closed")
        if error is None:
            self.batch_count += 1
            self.record_count += count
            if self._keys_to_copy is not None and not self._log.copying:
                self._keys_to_copy = None
            if full_rewrite:  # any other batch that hung past the timeout went to a log that is void
                self._mark_recovered()
        else:
            self._keys_to_copy = None
            self._record_failure(error)
        for future in waiters:
            if not future.done():
                future.set_result(error is None and self.trusted)
        if error is None:
            self._write_next_batch()

    def _record_failure(self, error: BaseException) -> None:
        if self._failing_since is None:
            self._failing_since = time.monotonic()
            log.warning("memory: %s", error)
        self._next_retry_at = time.monotonic() + RETRY_INTERVAL_SECONDS
        self.unavailable_reason = str(error)
        for future in self._sync_waiters:
            if not future.done():
                future.set_result(False)
        self._sync_waiters.clear()

    def _mark_recovered(self) -> None:
        self._failing_since, self._marked_untrusted = None, False
        self.unavailable_reason = ""
        if not self.trusted:
            self.trusted = True
            log.info("memory: on disk again")
            self._on_recovered()

    def mark_untrusted(self, reason: str) -> None:
        """Stop trusting the records on disk: notify the owner first, then mark the log void."""
        self.trusted, self._marked_untrusted = False, True
        self.unavailable_reason = reason
        self._failing_since = self._failing_since or time.monotonic()
        self._on_lost(reason)
        log.warning("memory: %s; nothing of it is believed from here on", reason)
        for future in self._sync_waiters:
            if not future.done():
                future.set_result(False)
        self._sync_waiters.clear()

        def void() -> None:
            self._log.mark_void()

        done = self._loop.run_in_executor(self._void_executor, void)
        done.add_done_callback(lambda f: f.exception())  # may fail like the other writes; retrieve the error

    def _tick(self) -> None:
        """Write pending records, detect a hung disk and retry a failing one."""
        if self._closed:
            return
        self._timer = self._loop.call_later(FLUSH_INTERVAL_SECONDS, self._tick)
        now = time.monotonic()
        if self._writing:
            if now - self._write_started_at > DISK_FAILURE_TIMEOUT_SECONDS:
                if self.trusted:
                    self.mark_untrusted(f"no answer of the disk for {DISK_FAILURE_TIMEOUT_SECONDS:g} s")
                self._failing_since = self._failing_since or self._write_started_at
            return
        if self._failing_since is not None:
            if self.trusted and now - self._failing_since > DISK_FAILURE_TIMEOUT_SECONDS:
                self.mark_untrusted(self.unavailable_reason)
            if now >= self._next_retry_at:  # rewrite everything: the state after the failure is unknown
                self._next_retry_at = now + RETRY_INTERVAL_SECONDS
                rows = [(kind, key, raw) for (kind, key), raw in self._current.items()]
                self._pending.clear()
                self._submit(self._log.rewrite, rows, waiters=[], full_rewrite=True)
            return
        self._write_next_batch()

    async def close(self, final_records: Sequence[tuple[str, str, Any]] = ()) -> None:
        """Write the pending records and `final_records`, then close the log."""
        if self._timer is not None:
            self._timer.cancel()
        for kind, key, value in final_records:
            self.put(kind, key, value)
        while self._pending and self._failing_since is None and not self._closed:
            await self.sync()
        self._closed = True
        self._write_executor.shutdown(wait=False, cancel_futures=True)
        self._void_executor.shutdown(wait=False, cancel_futures=True)
        if not self._writing:
            self._log.close()
