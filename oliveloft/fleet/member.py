"""Runs a gatekeeper as a cluster member: its record store, its links to other members and its start in stages.

`start` reads the disk and `wait_until_open` waits until clients may be served. After that each periodic tick writes
high-water marks and changed state to the disk and passes what other members report to the gateway. The rules
themselves are in `micagate.membership` and `micagate.recovery`; this module only connects them to disk and sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from micagate import interface
from micagate.gateway import Gateway
from micagate.membership.clock import HybridClock
from micagate.membership.members import Members, MembershipUpdate
from micagate.membership.messages import DEAD, MAX_NAME_LENGTH, Fact, Heartbeat, Message, RecoveryAnswer, RecoveryQuery
from micagate.operating.presence import Presence
from micagate.recovery import slow_start, stages
from micagate.recovery.answers import SIMULTANEOUS_LOSS_SECONDS, PeerFindings, RecoveryQueries
from micagate.recovery.high_water_mark import HighWaterMark
from micagate.recovery.persisted_state import ChangedRows, RestoredState
from micagate.recovery.recovery_policy import Action, Case, Disk, End, Kind, Peers, decide, leases_over
from micagate.recovery.stages import StartProgress, pending_peers
from micagate.recovery.write_ahead import HighWaterMarks, default_mark, local_ceiling
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.fleet.config import FleetConfig
from oliveloft.fleet.peers import PeerLinks
from oliveloft.memory import files
from oliveloft.memory.log import LogContents
from oliveloft.memory.memory import MemoryUnavailableError, RecordStore

if TYPE_CHECKING:
    from oliveloft.planners.link import Links

log = logging.getLogger("oliveloft")

STARTUP_TICK_SECONDS = 0.02  # interval of link and stage checks while clients wait for the start
SERVING_TICK_SECONDS = 0.1  # interval of link and state checks once clients are served
# Interval of checks for high-water marks that a request waits for, and of writes of those that can wait.
URGENT_MARK_INTERVAL_SECONDS, MARK_INTERVAL_SECONDS = 0.02, 0.1
SLOW_START_INTERVAL_SECONDS = 0.1  # interval of checks for workers that have finished slow start
IDLE_MARKS_PER_SECOND = 200  # high-water marks checked each second for removal as idle
OPERATOR_CALL_TIMEOUT_SECONDS = 0.8  # wait for the disk in an operator's call, which must be answered within 1 s
MAX_REPORTED_WORKERS = 200  # workers included in the answer to a recovering member
LEASE_RECORD_AHEAD_SECONDS = 0.3  # how far the recorded lease expiry is put beyond the requested one
# Record kinds on disk.
FACT, INCARNATION, BOOT, MARK, SEEN, DRAIN, LEASES = "fact", "life", "boot", "mark", "seen", "drain", "loans"
MAINTENANCE = "ban"  # kind of the fact that takes a worker out of service or returns it
UNKNOWN_AGE_SECONDS = 1e9  # age of persisted state without a timestamp; older than any retention period

# Opens a folder as a disk. Tests replace it to inject disk faults.
open_disk: Callable[[str], files.Disk] = files.SystemDisk


class Member:
    """One gatekeeper process as a member of the cluster.

    Times are seconds on the event loop's clock unless a name says Unix time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        fleet: FleetConfig,
        gateway: Gateway,
        dispatcher: RequestDispatcher,
        presence: Presence,
        offset: float,
        settings: interface.Settings,
    ) -> None:
        self._loop, self.name, self.fleet = loop, name, fleet
        self._gateway, self._dispatcher, self._presence = gateway, dispatcher, presence
        self._clock_offset, self._settings = offset, settings  # Unix time minus loop time
        self._longest_deadline = max(klass.deadline for klass in settings.classes)
        self._void_incarnations: dict[str, int] = {}  # peer -> incarnation whose record store is voided
        self._random = Random()
        self.memory: RecordStore | None = None
        self.memory_unavailable_reason = "none is set" if not fleet.folder else ""
        self._loaded = LogContents()
        self._boot_id = ""
        self._started_at = loop.time()
        self.recovery = StartProgress(self._started_at, fleet.limits)
        self.members: Members | None = None
        self._peer_links = PeerLinks(name, fleet, self)
        self._recovery_queries: RecoveryQueries | None = None
        self._peer_answers = PeerFindings()
        self._recovery_case = Case(disk=Disk.NONE)
        self._persisted_state: RestoredState | None = None
        self._ceiling_marks: HighWaterMarks | None = None
        self._state_walk: ChangedRows | None = None
        self._open_event = asyncio.Event()
        self._opening = False
        self._restored_workers: dict[str, None] = {}  # workers whose state was restored, as an ordered set
        self._slow_start_updated_at = self._idle_marks_swept_at = self._marks_written_at = 0.0
        self._leases_recorded_until = 0.0  # lease expiry that is on disk
        self._leases_requested_until = 0.0
        # Start time of each planner's process; None where no planners are configured.
        self.planner_start_times: Callable[[], dict[str, float] | None] = lambda: None
        self._worker_list_ready: Callable[[], bool] = lambda: True
        self._stopped = False
        self.longest_step_seconds = 0.0

    # Start.

    def unix_time(self) -> float:
        """Return the current Unix time in seconds."""
        return time.time()

    async def start(self) -> None:
        """Load the record store, restore state that needs no confirmation by peers, and start to listen.

        Raises OSError where the listening address cannot be bound.
        """
        now = self._loop.time()
        if self.fleet.folder:
            await self._load_memory()
        rows = self._loaded.records if self._loaded.owner == self.name else {}
        facts = [
            fact
            for (kind, key), value in self._loaded.records.items()
            if kind == FACT and (fact := _parse_fact(key, value)) is not None
        ]
        last_incarnation = self._last_incarnation_number()
        # A number that was never used before: above the last one on disk, and by clock and chance without a disk.
        incarnation = max(last_incarnation + 1, int(self.unix_time() * 1000) * 1024 + self._random.randrange(1024))
        self.members = members = Members(
            self.name,
            list(self.fleet.members),
            incarnation,
            now,
            self._random,
            self.fleet.times,
            {
                "stage": stages.MEMORY,
                "started": self.unix_time(),
                "end": self._previous_end().value,
                "memory": not self.memory_unavailable_reason,
            },
            facts,
            HybridClock(self.name),
        )
        for name in self.fleet.members:
            seen = rows.get((SEEN, name))
            if isinstance(seen, list) and len(seen) == 3 and isinstance(seen[0], int):
                members.earlier_incarnations[name] = seen[0]
        if self.memory is not None:
            initial_records = {
                key: value
                for key, value in self._loaded.records.items()
                if self._loaded.owner == self.name or key[0] == FACT
            }
            initial_records[BOOT, ""] = incarnation
            rewrite_task = self._loop.create_task(self.memory.rewrite(initial_records))
            await asyncio.wait((rewrite_task,), timeout=self.fleet.limits.memory or None)
            if not rewrite_task.done():
                self.memory.mark_untrusted(f"no answer of the disk for {self.fleet.limits.memory:g} s")
            self.memory_unavailable_reason = self.memory.unavailable_reason
            self._rewrite_task = rewrite_task
        for fact in facts:
            if fact.kind == MAINTENANCE:
                self._apply_maintenance(fact)
        if decide(Kind.DRAIN, self._assess_start(Peers.PENDING)).action is Action.ACCEPTED and rows.get((DRAIN, "")):
            self._presence.start_drain(now)
        members.updates.clear()
        members.clients_waiting = True
        others = [name for name in self.fleet.members if name != self.name]
        self._recovery_queries = RecoveryQueries(now, others, self.fleet.limits.peers)
        await self._peer_links.start()
        self._tick()
        log.info(
            "fleet: %s, incarnation %d, %s, previous end: %s",
            self.name,
            incarnation,
            f"{len(self._loaded.records)} records in memory"
            if not self.memory_unavailable_reason
            else f"no memory: {self.memory_unavailable_reason}",
            self._previous_end().value,
        )

    async def _load_memory(self) -> None:
        """Read the record store; without a usable one the member continues without."""
        try:
            disk = open_disk(self.fleet.folder)
            self.memory = RecordStore(self._loop, disk, self.name, self._memory_lost, self._memory_recovered)
            self._loaded = await asyncio.wait_for(self.memory.open(), self.fleet.limits.memory or None)
            self._boot_id = disk.boot_id()
        except (MemoryUnavailableError, OSError, TimeoutError) as error:
            self.memory_unavailable_reason = str(error) or f"no answer within {self.fleet.limits.memory:g} s"
            self.memory, self._loaded = None, LogContents()
            log.warning("memory: %s: %s; going on without", self.fleet.folder, self.memory_unavailable_reason)
            return
        if self._loaded.damage:
            log.warning("memory: damaged: %s; ceilings begin empty, and the others are asked", self._loaded.damage)
        if self._loaded.owner not in ("", self.name):
            log.warning("memory: it is %s's; set aside, but for what holds for all", self._loaded.owner)
        if self._loaded.voided:
            log.warning("memory: it had failed before the end; ceilings begin empty")

    def _previous_incarnation(self) -> dict[str, Any]:
        """Return the record of this member's previous incarnation, empty if there is none."""
        record = self._loaded.records.get((INCARNATION, ""))
        return record if isinstance(record, dict) and self._loaded.owner == self.name else {}

    def _last_incarnation_number(self) -> int:
        """Return the highest incarnation number recorded on disk, 0 if there is none."""
        is_own_log = self._loaded.owner == self.name
        return max(
            _int_or_zero(self._loaded.records.get((BOOT, ""))) if is_own_log else 0,
            _int_or_zero(self._previous_incarnation().get("boot")),
        )

    def _previous_end(self) -> End:
        """Return how the previous incarnation ended; a changed boot id means that the machine lost power."""
        previous = self._previous_incarnation()
        if not previous:
            return End.UNKNOWN
        if previous.get("end") == End.PLANNED.value:
            return End.PLANNED
        if not self._boot_id or not previous.get("machine"):
            return End.UNKNOWN
        return End.KILLED if previous["machine"] == self._boot_id else End.POWER

    def _assess_start(self, peers: Peers) -> Case:
        """Return the circumstances of this start: state of the disk, previous end, answers of peers."""
        loaded = self._loaded
        if not loaded.records:
            disk = Disk.NONE
        elif loaded.owner != self.name:
            disk = Disk.OTHER
        elif loaded.damage:
            disk = Disk.DAMAGED
        elif loaded.voided or self._peer_answers.distrusted:
            disk = Disk.INVALIDATED
        elif self._peer_answers.incarnation > self._last_incarnation_number():
            disk = Disk.OLD
        else:
            disk = Disk.OWN
        core_state = loaded.records.get(("core", ""))
        saved_at = core_state.get("at") if isinstance(core_state, dict) else None
        age = max(0.0, self.unix_time() - saved_at) if isinstance(saved_at, int | float) else UNKNOWN_AGE_SECONDS
        return Case(
            disk,
            self._previous_end(),
            peers,
            age,
            min(age, self._loop.time() - self._started_at + 0.1),
            self._peer_answers.all_restarted,
            max_deadline=self._longest_deadline,
        )

    def _evaluate_answers(self) -> None:
        """Decide which persisted state to use, once the peers have answered or timed out."""
        assert self._recovery_queries is not None and self.members is not None
        now = self._loop.time()
        age = self._assess_start(Peers.PENDING).age
        self._peer_answers = answers = self._recovery_queries.findings(now, age if age < UNKNOWN_AGE_SECONDS else None)
        answered = bool(answers.stayed or answers.restarted)
        self._recovery_case = case = self._assess_start(Peers.AGREE if answered else Peers.UNRESPONSIVE)
        # An earlier incarnation had a higher number: the clock was set back, or the disk is outdated.
        if self.members.duplicate_name:
            self.members.raise_incarnation(self.members.duplicate_incarnation + 1)
            if self.memory is not None:
                self.memory.put(BOOT, "", self.members.incarnation)
        rows = {key: self._to_loop_time(key, value) for key, value in self._loaded.records.items()}
        self._persisted_state = RestoredState(rows if self._loaded.owner == self.name else {}, case)
        if answers.clock_stepped:
            log.warning("fleet: this machine's clock is %.1f s off the others'", -answers.offset)
        log.info(
            "fleet: %s stayed, %s came back, %s silent; memory %s",
            len(answers.stayed),
            len(answers.restarted),
            len(answers.unresponsive),
            case.disk.value,
        )

    def _to_loop_time(self, key: tuple[str, str], value: Any) -> Any:
        """Return a record's value with its Unix time converted to loop time."""
        kind, _ = key
        if kind in ("account", "worker") and isinstance(value, list) and value and isinstance(value[0], int | float):
            return [min(value[0] - self._clock_offset, self._loop.time()), *value[1:]]
        return value

    def _restored_marks(self, now: float) -> HighWaterMarks:
        """Return the high-water marks of ceilings that this incarnation begins with."""
        previous = self._previous_incarnation()
        verdict = decide(Kind.CEILINGS, self._recovery_case)
        created_at, offset = previous.get("born"), previous.get("offset")
        if (
            verdict.action is not Action.ACCEPTED
            or not isinstance(created_at, int | float)
            or not isinstance(offset, int | float)
        ):
            return HighWaterMarks(now)
        if previous.get("machine") == self._boot_id and self._boot_id:
            shift = 0.0  # same boot: the loop's monotonic clock has continued
        elif (
            (self._peer_answers.stayed or self._peer_answers.restarted)
            and not self._peer_answers.clock_stepped
            and not previous.get("stepped")
        ):
            shift = offset - self._clock_offset
        else:
            # The downtime is unknown, so none is credited: the newest mark is moved to the start of this process.
            newest = max(
                [
                    created_at,
                    *(row[1] for (kind, _), row in self._loaded.records.items() if kind == MARK and _is_mark_row(row)),
                ]
            )
            shift = self._started_at - newest
        marks = {}
        for (kind, key), row in self._loaded.records.items():
            if kind == MARK and _is_mark_row(row) and row[4] == previous.get("boot"):
                marks[key] = HighWaterMark(key, row[0], min(now, row[1] + shift), row[2], row[3])
        return HighWaterMarks(now, marks, min(now, created_at + shift))

    def use_planner_links(self, links: Links) -> None:
        """Connect the planner links: leases are recorded on disk before they are promised to planners."""
        self.planner_start_times = lambda: links.planner_start_times
        links.leases_recorded, links.leases_expired = self.record_leases, self.leases_expired

    def has_record_store(self) -> bool:
        """Return whether a record store is in use."""
        return self.memory is not None

    async def wait_until_open(self, stop: asyncio.Event, ready: Callable[[], bool]) -> bool:
        """Wait until clients may be served or `stop` is set; return whether they may be served.

        `ready` returns whether the list of workers is known.
        """
        self._worker_list_ready = ready
        waiting = {self._loop.create_task(self._open_event.wait()), self._loop.create_task(stop.wait())}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
        return self._open_event.is_set()

    async def _open_for_clients(self) -> None:
        """Record the new incarnation on disk, apply the restored state and open for clients."""
        assert self.members is not None
        now = self._loop.time()
        gateway = self._gateway
        marks = self._restored_marks(now)
        if self.memory is not None and self._uses_ceiling_marks():
            if await self._record_incarnation(now):
                self._ceiling_marks = gateway.quotas.ceiling_high_water_marks = marks
                state = self._persisted_state
                if state is not None:
                    marks.on_account_opened = state.restore_account
            elif self.memory.trusted:
                # Otherwise the marks of the previous incarnation would stay valid on disk.
                self.memory.mark_untrusted("this life could not be written in time")
        elif self.memory is not None:
            await self._record_incarnation(now)
        now = self._loop.time()
        state = self._persisted_state
        if state is not None:
            state.restore_learned(gateway, now)
            for name in list(gateway.fleet.workers):
                self._restore_worker(now, name)
            self._begin_slow_start(now, state)
        self._state_walk = ChangedRows(gateway, now)
        self._publish_state(stages.OPEN)
        self.members.clients_waiting = False
        stage_durations = ", ".join(
            f"{over.stage} {over.duration:.2f}" + (f" (without {over.missing})" if over.missing else "")
            for over in self.recovery.completed
        )
        log.info("fleet: open after %s", stage_durations)
        self._open_event.set()
        self._write_due_marks()

    def _uses_ceiling_marks(self) -> bool:
        """Return whether ceilings are local shares only and need high-water marks.

        A counter keeps its own state, and planners move shares between gateways.
        """
        return not self._settings.counter_timeout and self.planner_start_times() is None

    def _begin_slow_start(self, now: float, state: RestoredState) -> None:
        """Start overload control from the earlier request rate if all workers are in slow start together."""
        assert self.members is not None
        request_rate = state.served_rate() or self._peer_answers.served_rate
        request_rate *= len(self.fleet.members) / max(1, self.members.alive_count())
        if slow_start.start_throttled(self._gateway, now, request_rate, state.load()):
            log.info(
                "fleet: control from %.1f a second, workers %.0f%% warm",
                request_rate,
                100 * slow_start.mean_warm_up_factor(self._gateway, now),
            )

    async def _record_incarnation(self, now: float) -> bool:
        """Replace the marks on disk by a record of this incarnation; return whether it is on disk within 1 s."""
        assert self.memory is not None and self.members is not None
        for key in self.memory.keys_of_kind(MARK):
            self.memory.put(MARK, key, None)
        written = self.memory.put_and_sync(
            INCARNATION,
            "",
            {
                "boot": self.members.incarnation,
                "machine": self._boot_id,
                "offset": self._clock_offset,
                "born": now,
                "end": "",
                "stepped": self._peer_answers.clock_stepped,
            },
        )
        try:
            return await asyncio.wait_for(asyncio.shield(written), 1.0)
        except TimeoutError:
            return False

    # Periodic work.

    def _tick(self) -> None:
        if self._stopped:
            return
        self._call_later(SERVING_TICK_SECONDS if self._open_event.is_set() else STARTUP_TICK_SECONDS, self._tick)
        tick_started_at = time.perf_counter()
        members, now = self.members, self._loop.time()
        assert members is not None
        self._send_heartbeats()
        for peer in members.peers_to_connect(now):
            self._peer_links.dial(peer)
        for peer in members.links_to_close(now):
            self._peer_links.close(peer)
        self._process_updates(now)
        if not self.recovery.is_open:
            self._advance_stage(now)
        elif self._open_event.is_set():
            if now - self._slow_start_updated_at >= SLOW_START_INTERVAL_SECONDS:
                self._slow_start_updated_at = now
                slow_start.update_warm_up(self._gateway, now)
            if self._state_walk is not None:
                for kind, key, value in self._state_walk.step(now, self.memory is not None):
                    if self.memory is not None:
                        self.memory.put(kind, key, self._to_unix_time(kind, value))
            if self._ceiling_marks is not None and self.memory is not None and now - self._idle_marks_swept_at >= 1.0:
                self._idle_marks_swept_at = now
                self._ceiling_marks.refresh()
                for key in self._ceiling_marks.removable_keys(now, IDLE_MARKS_PER_SECOND):
                    self.memory.put(MARK, key, None)
        share = members.alive_count() / len(self.fleet.members)
        self._gateway.fleet.gateway_count = max(1, round(self._settings.gateways * share))
        self.longest_step_seconds = max(self.longest_step_seconds, time.perf_counter() - tick_started_at)

    def _send_heartbeats(self) -> None:
        assert self.members is not None
        for peer, message in self.members.tick(self._loop.time(), self.unix_time()):
            self._peer_links.send(peer, message)

    def _to_unix_time(self, kind: str, value: Any) -> Any:
        """Return a record's value with its loop time converted to Unix time."""
        if isinstance(value, list):
            return [value[0] + self._clock_offset, *value[1:]]
        return {**value, "at": value["at"] + self._clock_offset} if isinstance(value, dict) else value

    def _advance_stage(self, now: float) -> None:
        """Update the recovery stage and run what is due when it changes."""
        assert self.members is not None
        previous_stage = self.recovery.stage
        stage = self.recovery.advance(now, self._waits_by_stage(now))
        stages_before_recovery = (stages.MEMORY, stages.PEERS)
        if (
            previous_stage in stages_before_recovery
            and stage not in stages_before_recovery
            and self._persisted_state is None
        ):
            self._evaluate_answers()
        if stage == stages.OPEN:
            if not self._opening:
                self._opening = True
                self._task = self._loop.create_task(self._open_for_clients())
        elif stage != previous_stage:
            self._publish_state(stage)

    def _waits_by_stage(self, now: float) -> dict[str, str]:
        """Return for each stage what it still waits for; empty where it is done."""
        members = self.members
        assert members is not None and self._recovery_queries is not None
        for name in self._recovery_queries.pending(now):
            if members.is_gone(name):
                self._recovery_queries.record_refusal(now, name)
        waits = {stages.PEERS: ", ".join(self._recovery_queries.pending(now))}
        if not self._worker_list_ready():
            waits[stages.LIST] = "discovery"
        if not self.leases_expired(now):
            waits[stages.PLANNERS] = "what an earlier life may have lent"
        unacknowledged = [
            peer
            for peer, link in members.links.items()
            if link.last_acked < 1 and not members.is_gone(peer) and now - link.opened_at < self.fleet.limits.room
        ]
        waits[stages.ROOM] = ", ".join(unacknowledged)
        started_at = self._started_at
        waits[stages.GATHER] = pending_peers(
            self.name,
            [
                (
                    name,
                    str(record.about.get("stage", "")),
                    self._started_together(record.about.get("started"), started_at),
                )
                for name, record in members.records.items()
                if name != self.name and record.status != DEAD
            ],
        )
        return waits

    def _started_together(self, started: Any, own_start: float) -> bool:
        return (
            isinstance(started, int | float)
            and abs(started - (own_start + self._clock_offset)) < SIMULTANEOUS_LOSS_SECONDS
        )

    def leases_expired(self, now: float) -> bool:
        """Return whether every lease granted by an earlier incarnation has expired, by record store and members."""
        planners = self.planner_start_times()
        if planners is None:
            return True
        if decide(Kind.CEILINGS, self._recovery_case).action is not Action.ACCEPTED:
            return False
        recorded_until = self._loaded.records.get((LEASES, ""))
        lease_end = recorded_until - self._clock_offset if isinstance(recorded_until, int | float) else None
        if lease_end is None and self._previous_incarnation():
            return True  # an earlier incarnation with a record store records each lease before it promises it
        assert self.members is not None
        receivers = {
            name: started - self._clock_offset
            for name, record in self.members.records.items()
            if name != self.name and isinstance(started := record.about.get("started"), int | float)
        }
        if len(receivers) < len(self.fleet.members) - 1:
            return leases_over(now, lease_end, {}, {}, now)
        core_state = self._loaded.records.get(("core", ""))
        process_ended_at = (
            (core_state["at"] - self._clock_offset + 1.0)
            if isinstance(core_state, dict) and "at" in core_state
            else now
        )
        return leases_over(now, lease_end, receivers, planners, min(process_ended_at, self._started_at))

    def record_leases(self, until: float) -> bool:
        """Return whether leases up to a time are recorded on disk, and request the record if not.

        The record is requested ahead of need, so that few calls have to wait for the disk.
        """
        if self.memory is None or not self.memory.trusted:
            return True  # the disk is not trusted, so the next incarnation waits until the leases' term has passed
        if until > self._leases_requested_until - LEASE_RECORD_AHEAD_SECONDS / 2:
            self._leases_requested_until = until + LEASE_RECORD_AHEAD_SECONDS
            self.memory.put_and_sync(LEASES, "", self._leases_requested_until + self._clock_offset).add_done_callback(
                partial(self._leases_written, self._leases_requested_until)
            )
        return until <= self._leases_recorded_until

    def _leases_written(self, until: float, written: asyncio.Future[bool]) -> None:
        if written.result():
            self._leases_recorded_until = max(self._leases_recorded_until, until)

    def _publish_state(self, stage: str) -> None:
        assert self.members is not None
        self.members.set_about(
            stage=stage, left=self._presence.draining_since is not None, memory=not self.memory_unavailable_reason
        )

    def _write_due_marks(self) -> None:
        """Write due high-water marks to the disk."""
        if self._stopped:
            return
        self._call_later(
            URGENT_MARK_INTERVAL_SECONDS if self._ceiling_marks is not None else OPERATOR_CALL_TIMEOUT_SECONDS,
            self._write_due_marks,
        )
        now = self._loop.time()
        if (
            self._ceiling_marks is None
            or self.memory is None
            or not (
                self._ceiling_marks.write_immediately
                or self._ceiling_marks.due_accounts
                and now - self._marks_written_at >= MARK_INTERVAL_SECONDS
            )
        ):
            return
        self._marks_written_at = now
        marks = self._ceiling_marks.next_marks(now)
        if not marks:
            return
        assert self.members is not None
        for mark in marks:
            self.memory.put(
                MARK, mark.key, [round(mark.level, 4), mark.since, mark.max_level, mark.rate, self.members.incarnation]
            )
        self.memory.sync().add_done_callback(lambda done: self._marks_written(marks, done.result()))

    def _marks_written(self, marks: list[HighWaterMark], written: bool) -> None:
        if self._ceiling_marks is None:
            return
        if written:
            self._ceiling_marks.mark_written(marks, self._gateway.quotas.accounts.get)
        else:
            self._ceiling_marks.mark_failed(marks)

    # Record store.

    def _memory_lost(self, reason: str) -> None:
        """Continue ceilings without high-water marks, since the record store is no longer trusted."""
        self.memory_unavailable_reason = reason
        if self._ceiling_marks is not None:
            self._ceiling_marks.disable(
                account for queue in self._gateway.quotas.accounts.queues for account in queue.values()
            )
            self._ceiling_marks = self._gateway.quotas.ceiling_high_water_marks = None
        if self.memory is not None:
            for key in self.memory.keys_of_kind(MARK):
                self.memory.put(MARK, key, None)
            if self._open_event.is_set():
                self.memory.put(INCARNATION, "", {**self._incarnation_row(None), "end": ""})
        if self.members is not None:
            self.members.set_about(memory=False)
            self._send_heartbeats()  # at once: after a crash only the peers may know that the store was voided

    def _incarnation_row(self, marks_created_at: float | None) -> dict[str, Any]:
        assert self.members is not None
        return {
            "boot": self.members.incarnation,
            "machine": self._boot_id,
            "offset": self._clock_offset,
            "born": marks_created_at,
        }

    def _memory_recovered(self) -> None:
        """Resume high-water marks after the disk has recovered."""
        self.memory_unavailable_reason = ""
        if self.members is not None:
            self.members.set_about(memory=True)
        if self._open_event.is_set() and self._uses_ceiling_marks():
            self._task = self._loop.create_task(self._restart_marks())

    async def _restart_marks(self) -> None:
        """Begin high-water marks anew, after a record of that is on disk."""
        now = self._loop.time()
        if self.memory is None or not await self.memory.put_and_sync(
            INCARNATION, "", {**self._incarnation_row(now), "end": ""}
        ):
            return
        self._ceiling_marks = self._gateway.quotas.ceiling_high_water_marks = HighWaterMarks(now)
        for queue in self._gateway.quotas.accounts.queues:
            for account in queue.values():
                if account.plan.ceiling_rate:
                    account.ceiling_high_water_mark = default_mark(account.key, now, *local_ceiling(account))

    # Messages of other members.

    def link_opened(self, peer: str) -> None:
        """Handle an opened link to a member; query it if this process is still recovering."""
        assert self.members is not None
        self.members.link_opened(self._loop.time(), peer)
        if not self.recovery.is_open and self._persisted_state is None:
            self._peer_links.send(peer, RecoveryQuery(self._last_incarnation_number(), self.members.incarnation))

    def link_closed(self, peer: str, refused: bool) -> None:
        """Handle a link that has closed or could not be made; `refused`: nobody listens at the address."""
        assert self.members is not None
        self.members.link_closed(self._loop.time(), peer, refused)
        if refused and self._recovery_queries is not None:
            self._recovery_queries.record_refusal(self._loop.time(), peer)

    def message_received(self, peer: str, message: Message) -> None:
        """Handle a message of a member."""
        members, now = self.members, self._loop.time()
        assert members is not None
        if isinstance(message, RecoveryQuery):
            self._peer_links.send(peer, self._recovery_answer(now, peer, message))
        elif isinstance(message, RecoveryAnswer):
            if self._recovery_queries is not None:
                self._recovery_queries.record_answer(now, self.unix_time(), peer, message)
                members.last_heard_at[peer] = now
                if self._persisted_state is not None:
                    self._late_answer(now, message)
        else:
            for other, answer in members.receive(now, self.unix_time(), peer, message):
                self._peer_links.send(other, answer)
            self._process_updates(now)

    def _late_answer(self, now: float, answer: RecoveryAnswer) -> None:
        """Handle an answer that arrived after the recovery decision; it may show that the disk is outdated."""
        if self._recovery_case.disk is not Disk.OWN or not (
            answer.distrusted or answer.boot > self._last_incarnation_number()
        ):
            return
        log.warning("fleet: a member knows of a later life of this one: its disk is old; ceilings begin empty")
        self._recovery_case = replace(self._recovery_case, disk=Disk.INVALIDATED if answer.distrusted else Disk.OLD)
        if self._ceiling_marks is not None:
            self._ceiling_marks.distrust(now, (a for q in self._gateway.quotas.accounts.queues for a in q.values()))

    def incarnation(self) -> int:
        """Return the number of this incarnation."""
        assert self.members is not None
        return self.members.incarnation

    def known_record(self, peer: str) -> Heartbeat:
        """Return the known record of a member, for a process that connects as an earlier incarnation of it."""
        assert self.members is not None
        known = self.members.records.get(peer)
        return Heartbeat(1, 0, self.unix_time(), self.members.digest(), (known,) if known is not None else ())

    def _recovery_answer(self, now: float, peer: str, query: RecoveryQuery) -> RecoveryAnswer:
        """Return what this member knows of the peer's previous incarnation, and its view of the workers."""
        members, gateway = self.members, self._gateway
        assert members is not None
        known = members.records.get(peer)
        incarnation = (
            known.incarnation
            if known is not None and known.incarnation < query.life
            else members.earlier_incarnations.get(peer, 0)
        )
        distrusted, seconds_ago = self._void_incarnations.get(peer) == incarnation, -1.0
        seen = self._loaded.records.get((SEEN, peer)) if self._loaded.owner == self.name else None
        if isinstance(seen, list) and len(seen) == 3 and seen[0] == incarnation:
            seconds_ago, distrusted = self.unix_time() - float(seen[1]), distrusted or bool(seen[2])
        elif known is not None and known.incarnation == incarnation and peer in members.last_heard_at:
            seconds_ago = now - members.last_heard_at[peer]
        workers = tuple(
            (name[:MAX_NAME_LENGTH], round(min(1.0, 1 / max(1.0, worker.slowness(now))), 3), worker.is_suspect())
            for name, worker in list(gateway.fleet.workers.items())[:MAX_REPORTED_WORKERS]
        )
        return RecoveryAnswer(
            incarnation,
            seconds_ago,
            self.unix_time(),
            now - self._started_at,
            not self._open_event.is_set(),
            workers,
            self._state_walk.served_rate if self._state_walk is not None else 0.0,
            distrusted,
        )

    def _process_updates(self, now: float) -> None:
        members = self.members
        assert members is not None
        updates, members.updates = members.updates, []
        for update in updates:
            self._process_update(now, update)

    def _process_update(self, now: float, update: MembershipUpdate) -> None:
        """Apply, log and persist one change of the membership or of a shared fact."""
        members = self.members
        assert members is not None
        match update.kind:
            case "fact":
                fact = members.facts.get(update.cause, update.name)
                if fact is not None:
                    if self.memory is not None:
                        self.memory.put(FACT, f"{fact.kind} {fact.key}", [*fact.stamp, fact.value])
                    if fact.kind == MAINTENANCE:
                        self._apply_maintenance(fact)
            case "twin":
                # Before the opening it may be an earlier incarnation with a clock ahead: see _evaluate_answers.
                if self._open_event.is_set():
                    log.warning(
                        "fleet: another process goes by the name of %s, and began later: clients go there", self.name
                    )
                    self._presence.start_drain(now)
                    self._peer_links.dialing_disabled = True
            case "down":
                log.info("fleet: %s is down (%s)", update.name, update.cause)
            case "up" | "restarted":
                log.info("fleet: %s is %s", update.name, "up" if update.kind == "up" else "up in a new incarnation")
        if update.kind in ("up", "restarted", "told"):
            record = members.records.get(update.name)
            if record is not None and update.name != self.name:
                is_void = record.about.get("memory") is False
                if is_void:
                    self._void_incarnations[update.name] = record.incarnation
                if self.memory is not None:
                    self.memory.put(SEEN, update.name, [record.incarnation, self.unix_time(), is_void])

    # Maintenance and drain.

    def _apply_maintenance(self, fact: Fact) -> None:
        """Take a worker out of service or return it, as a fact says; malformed facts are ignored."""
        value = fact.value
        if not isinstance(value, dict) or not isinstance(value.get("out"), bool):
            return
        now = self._loop.time()
        since = value.get("since")
        self._dispatcher.set_maintenance(
            fact.key, value["out"], min(now, since - self._clock_offset) if isinstance(since, int | float) else now
        )

    def set_maintenance(self, worker: str, in_maintenance: bool) -> asyncio.Future[bool]:
        """Publish that an operator took a worker out of service or returned it; the result is whether it is on disk."""
        assert self.members is not None
        fact = self.members.publish_fact(
            self.unix_time(), MAINTENANCE, worker, {"out": in_maintenance, "since": self.unix_time()}
        )
        self._process_updates(self._loop.time())
        self._send_heartbeats()  # peers are notified before the operator's call is answered
        return self._persist_within_timeout(FACT, f"{MAINTENANCE} {worker}", [*fact.stamp, fact.value])

    def record_drain(self, draining: bool) -> asyncio.Future[bool]:
        """Record that this gateway drains, or serves again; the result is whether it is on disk."""
        self._publish_state(self.recovery.stage)
        return self._persist_within_timeout(DRAIN, "", draining)

    def _persist_within_timeout(self, kind: str, key: str, value: Any) -> asyncio.Future[bool]:
        """Write a record; the result is whether it is on disk within `OPERATOR_CALL_TIMEOUT_SECONDS`."""
        done: asyncio.Future[bool] = self._loop.create_future()
        if self.memory is None:
            done.set_result(False)
            return done

        def finish(written: bool) -> None:
            if not done.done():
                done.set_result(written)

        self.memory.put_and_sync(kind, key, value).add_done_callback(lambda synced: finish(synced.result()))
        self._loop.call_later(OPERATOR_CALL_TIMEOUT_SECONDS, finish, False)
        return done

    def is_out_for_maintenance(self, worker: str) -> bool | None:
        """Return whether a worker is out for maintenance by the latest fact; None if there is no fact."""
        assert self.members is not None
        fact = self.members.facts.get(MAINTENANCE, worker)
        return bool(fact.value.get("out")) if fact is not None and isinstance(fact.value, dict) else None

    def worker_list_changed(self) -> None:
        """Restore the state of workers that are new in the worker list."""
        if self._open_event.is_set():
            for name in list(self._gateway.fleet.workers):
                self._restore_worker(self._loop.time(), name)

    def _restore_worker(self, now: float, name: str) -> None:
        """Restore a worker's state once, from disk or else from the answers of peers."""
        if self._persisted_state is None or name in self._restored_workers:
            return
        self._restored_workers[name] = None
        if not self._persisted_state.restore_worker(self._gateway, now, name) and name in self._peer_answers.workers:
            relative_speed, failures = self._peer_answers.workers[name]
            worker = self._gateway.fleet.workers[name]
            if worker.entry.started is None or now - worker.entry.started > self._settings.slow_start_duration:
                worker.relative_latency, worker.latency_updated_at = 1 / max(0.1, relative_speed), now
                worker.consecutive_failures = int(failures)

    # Status for operators.

    def startup_state(self) -> str:
        """Return what the start waits for; empty once clients are served."""
        if self._open_event.is_set():
            return ""
        waits = self.recovery.waits_for
        return f"coming back: {self.recovery.stage}" + (f", waits for {waits}" if waits else "")

    def status(self) -> str:
        """Return this member's state as JSON."""
        members, now, unix_time = self.members, self._loop.time(), self.unix_time()
        if members is None:
            return json.dumps({"name": self.name, "stage": stages.MEMORY})
        links = {
            peer: {
                "heard_ago": round(now - link.detector.last_arrival, 3),
                "answer_s": round(link.round_trip, 3),
                "clock_off": round(link.clock_offset, 3) if link.clock_offset is not None else None,
            }
            for peer, link in members.links.items()
        }
        seen = {
            name: {
                "status": record.status,
                "cause": record.cause,
                "boot": record.incarnation,
                "by": list(record.by),
                **{key: value for key, value in record.about.items()},
            }
            for name, record in sorted(members.records.items())
        }
        for name in members.names:
            seen.setdefault(name, {"status": "never heard"})
        maintenance = {
            fact.key: {"out": fact.value.get("out"), "since": fact.value.get("since"), "by": fact.stamp[2]}
            for fact in members.facts.of_kind(MAINTENANCE)
            if isinstance(fact.value, dict)
        }
        memory = self.memory
        return json.dumps(
            {
                "name": self.name,
                "boot": members.incarnation,
                "stage": self.recovery.stage,
                "waits_for": self.recovery.waits_for,
                "up_s": round(now - self._started_at, 2),
                "open": self._open_event.is_set(),
                "ended": self._previous_end().value,
                "disk": self._recovery_case.disk.value,
                "twin": members.duplicate_name,
                "wall": unix_time,
                "digest": f"{members.digest():016x}",
                "stages": [
                    {"stage": o.stage, "took": round(o.duration, 3), "missing": o.missing}
                    for o in self.recovery.completed
                ],
                "members": seen,
                "links": links,
                "cut": members.unreachable_peers(now),
                "slow": members.slow_peers(),
                "bans": maintenance,
                "memory": {
                    "why": self.memory_unavailable_reason,
                    "records": len(memory) if memory else 0,
                    "batches": memory.batch_count if memory else 0,
                    "slowest_ms": round(1000 * memory.slowest_batch_seconds, 1) if memory else 0.0,
                    "believed": bool(memory and memory.trusted),
                },
                "longest_step_ms": round(1000 * self.longest_step_seconds, 2),
                "up": members.alive_count(),
            }
        )

    def _call_later(self, delay: float, call: Callable[[], None]) -> None:
        self._loop.call_later(delay, call)

    async def stop(self) -> None:
        """Shut down, and record on disk that the shutdown was requested."""
        self._stopped = True
        self._peer_links.stop()
        if self.memory is None:
            return
        now = self._loop.time()
        last_records: list[tuple[str, str, Any]] = []
        if self._open_event.is_set():
            if self._state_walk is not None:
                last_records += [
                    (kind, key, self._to_unix_time(kind, value))
                    for kind, key, value in self._state_walk.remaining_rows(now)
                ]
            if self._ceiling_marks is not None:
                assert self.members is not None
                for mark in self._ceiling_marks.final_marks(
                    now, (a for q in self._gateway.quotas.accounts.queues for a in q.values())
                ):
                    last_records.append(
                        (MARK, mark.key, [mark.level, mark.since, mark.max_level, mark.rate, self.members.incarnation])
                    )
            last_records.append(
                (
                    INCARNATION,
                    "",
                    {
                        **self._incarnation_row(self._marks_created_at()),
                        "end": End.PLANNED.value,
                        "stepped": self._peer_answers.clock_stepped,
                    },
                )
            )
        with contextlib.suppress(TimeoutError):  # a hung disk: the next incarnation treats the end as a kill
            await asyncio.wait_for(self.memory.close(last_records), 2.0)

    def _marks_created_at(self) -> float | None:
        """Return when the high-water marks of this incarnation were created; None if none are in use."""
        return self._ceiling_marks.started_at if self._ceiling_marks is not None else None


def _int_or_zero(value: Any) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def _is_mark_row(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(isinstance(value, int | float) and not isinstance(value, bool) for value in row)
    )


def _parse_fact(key: str, value: Any) -> Fact | None:
    kind, _, name = key.partition(" ")
    if not name or not isinstance(value, list) or len(value) != 4:
        return None
    milliseconds, count, origin, content = value
    if not isinstance(milliseconds, int) or not isinstance(count, int) or not isinstance(origin, str):
        return None
    return Fact(kind, name, (milliseconds, count, origin), content)
