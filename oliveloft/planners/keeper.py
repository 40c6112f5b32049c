"""Maintains a planner's registration and its shards in the store: a lease, a watch, claims and releases.

While the store cannot be reached, a planner keeps the shards it owns: no other planner can claim them either, and
forwarders follow the planner with the higher epoch. When the store has let the lease expire, the planner takes a new
one and has to claim its shards again.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable

from micagate.planning.ownership import Claim, Owner, Ownership, Release
from oliveloft.store.interface import Put, Store, StoreError

log = logging.getLogger("oliveloft")

CLAIM_INTERVAL_SECONDS = 0.1  # interval of checks for shards to claim or release
RETRY_INTERVAL_SECONDS = 0.3  # wait after a failed store call
RENEWALS_PER_SESSION = 4  # lease renewals within one lease lifetime


class StoreSession:
    """One planner's session in the store.

    `on_ownership_changed` is called with the owned shards and their epochs. `session` is the lease's lifetime in
    seconds.
    """

    def __init__(
        self,
        store: Store,
        ownership: Ownership,
        address: str,
        prefix: str,
        session: float,
        on_ownership_changed: Callable[[dict[int, int]], None],
        now: Callable[[], float],
    ) -> None:
        self._store, self._ownership, self._address = store, ownership, address
        self._prefix, self._lease_seconds, self._on_ownership_changed, self._now = (
            prefix,
            session,
            on_ownership_changed,
            now,
        )
        self._lease = 0
        self._owned_epochs: dict[int, int] = {}
        self._state_known = False  # whether the store has been read
        self.last_error = ""  # of the latest store call; empty after a success
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks = [
            asyncio.create_task(work()) for work in (self._maintain_lease, self._watch_store, self._run_transfers)
        ]

    async def stop(self) -> None:
        """Stop and revoke the lease, so that other planners need not wait for its expiry."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._lease:
            with contextlib.suppress(StoreError):
                await self._store.revoke(self._lease)

    def _record_failure(self, error: StoreError) -> None:
        if not self.last_error:
            log.warning("store: %s; what is owned stays owned, trying again", error)
        self.last_error = str(error) or type(error).__name__

    def _record_success(self) -> None:
        if self.last_error:
            log.info("store: reachable again")
        self.last_error = ""

    async def _maintain_lease(self) -> None:
        """Hold a lease, with this planner's member entry attached to it."""
        while True:
            try:
                if not self._lease:
                    lease = await self._store.lease(self._lease_seconds)
                    await self._store.commit(
                        {}, [Put(f"{self._prefix}members/{self._ownership.name}", self._address, lease)]
                    )
                    self._lease = lease
                elif await self._store.renew(self._lease) <= 0:
                    log.warning("store: the lease has expired; taking a new one")
                    self._lease = 0  # the watch has reported or will report the loss of the shards owned under it
                    continue
                self._record_success()
                await asyncio.sleep(self._lease_seconds / RENEWALS_PER_SESSION)
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _watch_store(self) -> None:
        """Follow the store's state: read it, then watch for changes, and read it again after an interruption."""
        while True:
            try:
                snapshot = await self._store.read(self._prefix)
                now = self._now()
                self._ownership.reset(now)
                self._ownership.set_members(
                    now,
                    [
                        entry.key.rpartition("/")[2]
                        for entry in snapshot.entries
                        if entry.key.startswith(f"{self._prefix}members/")
                    ],
                )
                for entry in snapshot.entries:
                    self._apply_entry(now, entry.key, entry.value, entry.modified)
                self._state_known = True
                self._notify_ownership()
                async for changes in self._store.watch(self._prefix, snapshot.revision):
                    for change in changes:
                        self._apply_entry(self._now(), change.key, change.value, change.modified)
                    self._notify_ownership()
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def _apply_entry(self, now: float, key: str, value: str | None, modified: int) -> None:
        kind, _, name = key.removeprefix(self._prefix).partition("/")
        if kind == "members":
            self._ownership.update_member(now, name, value is not None)
            return
        try:
            shard = int(name)
            if kind == "epochs" and value is not None:
                self._ownership.set_epoch(shard, int(value), modified)
            elif kind == "owners":
                raw = json.loads(value) if value is not None else None
                self._ownership.set_owner(
                    now, shard, None if raw is None else Owner(str(raw["planner"]), int(raw["epoch"]), modified)
                )
        except (ValueError, KeyError, TypeError) as error:
            log.warning("store: invalid value of %s: %r", key, error)

    def _notify_ownership(self) -> None:
        owned = self._ownership.owned()
        if owned != self._owned_epochs:
            self._owned_epochs = owned
            self._on_ownership_changed(dict(owned))

    async def _run_transfers(self) -> None:
        """Claim and release shards as `Ownership` asks for."""
        while True:
            await asyncio.sleep(CLAIM_INTERVAL_SECONDS)
            if not self._lease or not self._state_known:
                continue
            for transfer in self._ownership.store_operations(self._now()):
                try:
                    await self._commit_transfer(transfer)
                except StoreError as error:
                    self._record_failure(error)
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                    break

    async def _commit_transfer(self, transfer: Claim | Release) -> None:
        key, now = f"{self._prefix}owners/{transfer.shard}", self._now()
        if isinstance(transfer, Release):
            if await self._store.commit({key: transfer.modified}, [], [key]) is not None:
                self._ownership.set_owner(now, transfer.shard, None)
                self._notify_ownership()
            return
        value = json.dumps({"planner": self._ownership.name, "epoch": transfer.epoch})
        epoch_key = f"{self._prefix}epochs/{transfer.shard}"
        revision = await self._store.commit(
            {key: 0, epoch_key: transfer.modified}, [Put(key, value, self._lease), Put(epoch_key, str(transfer.epoch))]
        )
        if revision is not None:
            self._ownership.set_owner(now, transfer.shard, Owner(self._ownership.name, transfer.epoch, revision))
            self._ownership.set_epoch(transfer.shard, transfer.epoch, revision)
            self._notify_ownership()
