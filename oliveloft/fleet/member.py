"""A gatekeeper as a member: its memory, its links, and its start in stages. It decides nothing of its own.

`remember` reads the disk, `opens` waits until clients may come; after that each look carries marks and rows to the disk
and what members say to the decisions.
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
from micagate.membership.members import Members, News
from micagate.membership.messages import DEAD, LONGEST, Fact, Heartbeat, Message, RecoveryAnswer, RecoveryQuery
from micagate.operating.presence import Presence
from micagate.recovery import slow_start, stages
from micagate.recovery.answers import TOGETHER, Questions, Told
from micagate.recovery.high_water_mark import Mark
from micagate.recovery.persisted_state import Kept, Walk
from micagate.recovery.recovery_policy import Case, Disk, End, Kind, Peers, Way, judge, loans_over
from micagate.recovery.stages import Recovery, gathers
from micagate.recovery.write_ahead import Marks, of_all, part
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.fleet.config import FleetConfig
from oliveloft.fleet.peers import Peers as Lines
from oliveloft.memory import files
from oliveloft.memory.log import Found
from oliveloft.memory.memory import Memory, Unusable

if TYPE_CHECKING:
    from oliveloft.planners.link import Links

log = logging.getLogger("oliveloft")

LOOK = 0.02  # seconds between looks at links and stages while clients wait
SERVING = 0.1  # ... and at links and what has changed once they are served
MARKS, GATHERED = 0.02, 0.1  # seconds between looks for marks that somebody waits for, and for those that can wait
FOLLOW = 0.1  # ... for workers that have warmed
IDLE = 200  # marks looked at in a second, whether they say anything
SAID = 0.8  # seconds that an operator's call waits for the disk: it is owed an answer within one
MOST_WORKERS = 200  # of which a member that comes back is told
AHEAD = 0.3  # seconds that loans on record reach beyond what was asked for
FACT, LIFE, BOOT, MARK, SEEN, DRAIN, LOANS = "fact", "life", "boot", "mark", "seen", "drain", "loans"
BAN = "ban"
FORGOTTEN = 1e9  # seconds: longer than anything is kept

# Opens a folder as a disk: for tests, which put a broken one in its place.
open_disk: Callable[[str], files.Disk] = files.PlainDisk


class Member:
    """One member's process."""

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
        self._offset, self._settings = offset, settings  # of the loop's clock to Unix time
        self._longest = max(klass.deadline for klass in settings.classes)
        self._void_lives: dict[str, int] = {}  # of others, that said that their memory is not to be believed
        self._random = Random()
        self.memory: Memory | None = None
        self.why = "none is set" if not fleet.folder else ""  # why there is no memory
        self._found = Found()
        self._machine = ""
        self._begun = loop.time()
        self.recovery = Recovery(self._begun, fleet.limits)
        self.members: Members | None = None
        self._lines = Lines(name, fleet, self)
        self._questions: Questions | None = None
        self._told = Told()
        self._case = Case(disk=Disk.NONE)
        self._kept: Kept | None = None
        self._marks: Marks | None = None
        self._walk: Walk | None = None
        self._open = asyncio.Event()
        self._opening = False
        self._listed: dict[str, None] = {}  # workers that have turned up and were not looked up yet
        self._followed = self._swept = self._marked = 0.0
        self._loans = 0.0  # until when loans are on record, on this clock
        self._loans_asked = 0.0
        self.planners: Callable[[], dict[str, float] | None] = lambda: None  # None: there are none
        self._ready: Callable[[], bool] = lambda: True
        self._stopped = False
        self.longest_step = 0.0

    # The start.

    def wall(self) -> float:
        """Unix time."""
        return time.time()

    async def remember(self) -> None:
        """Read the disk, take up what holds whatever the others say, and listen. OSError where that can't be."""
        now = self._loop.time()
        if self.fleet.folder:
            await self._read()
        rows = self._found.records if self._found.owner == self.name else {}
        facts = [
            fact
            for (kind, key), value in self._found.records.items()
            if kind == FACT and (fact := _fact(key, value)) is not None
        ]
        last = self._last()
        # Never one that was: above the last on disk, and by the clock and chance where there is none.
        boot = max(last + 1, int(self.wall() * 1000) * 1024 + self._random.randrange(1024))
        self.members = members = Members(
            self.name,
            list(self.fleet.members),
            boot,
            now,
            self._random,
            self.fleet.times,
            {"stage": stages.MEMORY, "started": self.wall(), "end": self._ended().value, "memory": not self.why},
            facts,
            HybridClock(self.name),
        )
        for name in self.fleet.members:
            seen = rows.get((SEEN, name))
            if isinstance(seen, list) and len(seen) == 3 and isinstance(seen[0], int):
                members.earlier_incarnations[name] = seen[0]
        if self.memory is not None:
            carried = {
                key: value
                for key, value in self._found.records.items()
                if self._found.owner == self.name or key[0] == FACT
            }
            carried[BOOT, ""] = boot
            beginning = self._loop.create_task(self.memory.begin(carried))
            await asyncio.wait((beginning,), timeout=self.fleet.limits.memory or None)
            if not beginning.done():
                self.memory.give_up(f"no answer of the disk for {self.fleet.limits.memory:g} s")
            self.why = self.memory.why
            self._beginning = beginning
        for fact in facts:
            if fact.kind == BAN:
                self._ban(fact)
        if judge(Kind.DRAIN, self._judged(Peers.OPEN)).way is Way.TAKEN and rows.get((DRAIN, "")):
            self._presence.leave(now)
        members.updates.clear()
        members.urgent = True
        others = [name for name in self.fleet.members if name != self.name]
        self._questions = Questions(now, others, self.fleet.limits.peers)
        await self._lines.start()
        self._look()
        log.info(
            "fleet: %s, life %d, %s, ended %s",
            self.name,
            boot,
            f"memory of {len(self._found.records)} records" if not self.why else f"no memory: {self.why}",
            self._ended().value,
        )

    async def _read(self) -> None:
        try:
            disk = open_disk(self.fleet.folder)
            self.memory = Memory(self._loop, disk, self.name, self._lost, self._again)
            self._found = await asyncio.wait_for(self.memory.open(), self.fleet.limits.memory or None)
            self._machine = disk.machine()
        except (Unusable, OSError, TimeoutError) as error:
            self.why = str(error) or f"no answer within {self.fleet.limits.memory:g} s"
            self.memory, self._found = None, Found()
            log.warning("memory: %s: %s; going on without", self.fleet.folder, self.why)
            return
        if self._found.spoilt:
            log.warning("memory: damaged: %s; ceilings begin empty, and the others are asked", self._found.spoilt)
        if self._found.owner not in ("", self.name):
            log.warning("memory: it is %s's; set aside, but for what holds for all", self._found.owner)
        if self._found.void:
            log.warning("memory: it had failed before the end; ceilings begin empty")

    def _life(self) -> dict[str, Any]:
        life = self._found.records.get((LIFE, ""))
        return life if isinstance(life, dict) and self._found.owner == self.name else {}

    def _last(self) -> int:
        """The last life that the disk tells of."""
        own = self._found.owner == self.name
        return max(_whole(self._found.records.get((BOOT, ""))) if own else 0, _whole(self._life().get("boot")))

    def _ended(self) -> End:
        life = self._life()
        if not life:
            return End.UNKNOWN
        if life.get("end") == End.ASKED.value:
            return End.ASKED
        if not self._machine or not life.get("machine"):
            return End.UNKNOWN
        return End.KILLED if life["machine"] == self._machine else End.POWER

    def _judged(self, peers: Peers) -> Case:
        """The circumstances of this start."""
        found = self._found
        if not found.records:
            disk = Disk.NONE
        elif found.owner != self.name:
            disk = Disk.OTHER
        elif found.spoilt:
            disk = Disk.SPOILT
        elif found.void or self._told.void:
            disk = Disk.VOID
        elif self._told.boot > self._last():
            disk = Disk.OLD
        else:
            disk = Disk.OWN
        core = found.records.get(("core", ""))
        at = core.get("at") if isinstance(core, dict) else None
        age = max(0.0, self.wall() - at) if isinstance(at, int | float) else FORGOTTEN
        return Case(
            disk,
            self._ended(),
            peers,
            age,
            min(age, self._loop.time() - self._begun + 0.1),
            self._told.all_lost,
            longest=self._longest,
        )

    def _settle(self) -> None:
        """The others have answered, or not: what is believed is made up now."""
        assert self._questions is not None and self.members is not None
        now = self._loop.time()
        age = self._judged(Peers.OPEN).age
        self._told = told = self._questions.told(now, age if age < FORGOTTEN else None)
        answered = bool(told.stayed or told.back)
        self._case = case = self._judged(Peers.AGREE if answered else Peers.SILENT)
        if (
            self.members.duplicate_name
        ):  # an earlier life had a higher number: the clock was stepped back, or the disk is old
            self.members.raise_incarnation(self.members.duplicate_incarnation + 1)
            if self.memory is not None:
                self.memory.put(BOOT, "", self.members.incarnation)
        rows = {key: self._moved(key, value) for key, value in self._found.records.items()}
        self._kept = Kept(rows if self._found.owner == self.name else {}, case)
        if told.stepped:
            log.warning("fleet: this machine's clock is %.1f s off the others'", -told.offset)
        log.info(
            "fleet: %s stayed, %s came back, %s silent; memory %s",
            len(told.stayed),
            len(told.back),
            len(told.silent),
            case.disk.value,
        )

    def _moved(self, key: tuple[str, str], value: Any) -> Any:
        """A row with its Unix time on this clock."""
        kind, _ = key
        if kind in ("account", "worker") and isinstance(value, list) and value and isinstance(value[0], int | float):
            return [min(value[0] - self._offset, self._loop.time()), *value[1:]]
        return value

    def _ceilings(self, now: float) -> Marks:
        """The marks that this life begins with."""
        life = self._life()
        verdict = judge(Kind.CEILINGS, self._case)
        born, offset = life.get("born"), life.get("offset")
        if verdict.way is not Way.TAKEN or not isinstance(born, int | float) or not isinstance(offset, int | float):
            return Marks(now)
        if life.get("machine") == self._machine and self._machine:
            shift = 0.0  # one clock, that nobody sets
        elif (self._told.stayed or self._told.back) and not self._told.stepped and not life.get("stepped"):
            shift = offset - self._offset
        else:
            # Nobody can say how long this gateway was away: as if not at all, up to its start.
            newest = max(
                [born, *(row[1] for (kind, _), row in self._found.records.items() if kind == MARK and _mark_row(row))]
            )
            shift = self._begun - newest
        kept = {}
        for (kind, key), row in self._found.records.items():
            if kind == MARK and _mark_row(row) and row[4] == life.get("boot"):
                kept[key] = Mark(key, row[0], min(now, row[1] + shift), row[2], row[3])
        return Marks(now, kept, min(now, born + shift))

    def follows(self, links: Links) -> None:
        """Planners move shares of this gateway: what it promises them is on record, and what they say of themselves."""
        self.planners = lambda: links.planners
        links.records, links.over = self.lends, self.loans_over

    def remembers(self) -> bool:
        """Whether there is a memory."""
        return self.memory is not None

    async def opens(self, stop: asyncio.Event, ready: Callable[[], bool]) -> bool:
        """Wait until clients may come, or a signal; whether they may. `ready`: whether there is a list."""
        self._ready = ready
        waiting = {self._loop.create_task(self._open.wait()), self._loop.create_task(stop.wait())}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
        return self._open.is_set()

    async def _begin(self) -> None:
        """Everything is settled: a new life begins, on disk first."""
        assert self.members is not None
        now = self._loop.time()
        gateway = self._gateway
        marks = self._ceilings(now)
        if self.memory is not None and self._marks_hold():
            if await self._new_life(now):
                self._marks = gateway.quotas.ceiling_marks = marks
                kept = self._kept
                if kept is not None:
                    marks.recall = kept.account
            elif self.memory.believed:
                self.memory.give_up("this life could not be written in time")  # or the last one's marks would stand
        elif self.memory is not None:
            await self._new_life(now)
        now = self._loop.time()
        kept = self._kept
        if kept is not None:
            kept.learned(gateway, now)
            for name in list(gateway.fleet.workers):
                self._worker(now, name)
            self._pace(now, kept)
        self._walk = Walk(gateway, now)
        self._tell(stages.OPEN)
        self.members.urgent = False
        took = ", ".join(
            f"{over.stage} {over.took:.2f}" + (f" (without {over.missing})" if over.missing else "")
            for over in self.recovery.over
        )
        log.info("fleet: open after %s", took)
        self._open.set()
        self._due()

    def _marks_hold(self) -> bool:
        """Whether ceilings are this gateway's parts alone: a counter knows them itself, planners move them."""
        return not self._settings.counter_timeout and self.planners() is None

    def _pace(self, now: float, kept: Kept) -> None:
        """Control begins where workers are cold together, by what was served before."""
        assert self.members is not None
        pace = kept.pace() or self._told.pace
        pace *= len(self.fleet.members) / max(1, self.members.alive_count())
        if slow_start.begin(self._gateway, now, pace, kept.load()):
            log.info(
                "fleet: control from %.1f a second, workers %.0f%% warm",
                pace,
                100 * slow_start.warmth(self._gateway, now),
            )

    async def _new_life(self, now: float) -> bool:
        assert self.memory is not None and self.members is not None
        for key in self.memory.holds(MARK):
            self.memory.put(MARK, key, None)
        done = self.memory.keep(
            LIFE,
            "",
            {
                "boot": self.members.incarnation,
                "machine": self._machine,
                "offset": self._offset,
                "born": now,
                "end": "",
                "stepped": self._told.stepped,
            },
        )
        try:
            return await asyncio.wait_for(asyncio.shield(done), 1.0)
        except TimeoutError:
            return False

    # Each look.

    def _look(self) -> None:
        if self._stopped:
            return
        self._later(SERVING if self._open.is_set() else LOOK, self._look)
        began = time.perf_counter()
        members, now = self.members, self._loop.time()
        assert members is not None
        self._beats()
        for peer in members.peers_to_connect(now):
            self._lines.dial(peer)
        for peer in members.links_to_close(now):
            self._lines.close(peer)
        self._news(now)
        if not self.recovery.open:
            self._stage(now)
        elif self._open.is_set():
            if now - self._followed >= FOLLOW:
                self._followed = now
                slow_start.follow(self._gateway, now)
            if self._walk is not None:
                for kind, key, value in self._walk.step(now, self.memory is not None):
                    if self.memory is not None:
                        self.memory.put(kind, key, self._timed(kind, value))
            if self._marks is not None and self.memory is not None and now - self._swept >= 1.0:
                self._swept = now
                self._marks.look()
                for key in self._marks.idle(now, IDLE):
                    self.memory.put(MARK, key, None)
        share = members.alive_count() / len(self.fleet.members)
        self._gateway.fleet.gateway_count = max(1, round(self._settings.gateways * share))
        self.longest_step = max(self.longest_step, time.perf_counter() - began)

    def _beats(self) -> None:
        assert self.members is not None
        for peer, message in self.members.tick(self._loop.time(), self.wall()):
            self._lines.send(peer, message)

    def _timed(self, kind: str, value: Any) -> Any:
        """A row with Unix time in place of this clock's."""
        if isinstance(value, list):
            return [value[0] + self._offset, *value[1:]]
        return {**value, "at": value["at"] + self._offset} if isinstance(value, dict) else value

    def _stage(self, now: float) -> None:
        assert self.members is not None
        before = self.recovery.stage
        stage = self.recovery.look(now, self._waits(now))
        early = (stages.MEMORY, stages.PEERS)
        if before in early and stage not in early and self._kept is None:
            self._settle()
        if stage == stages.OPEN:
            if not self._opening:
                self._opening = True
                self._task = self._loop.create_task(self._begin())
        elif stage != before:
            self._tell(stage)

    def _waits(self, now: float) -> dict[str, str]:
        """What each stage waits for."""
        members = self.members
        assert members is not None and self._questions is not None
        for name in self._questions.waits(now):
            if members.is_gone(name):
                self._questions.gone(now, name)
        waits = {stages.PEERS: ", ".join(self._questions.waits(now))}
        if not self._ready():
            waits[stages.LIST] = "discovery"
        if not self.loans_over(now):
            waits[stages.PLANNERS] = "what an earlier life may have lent"
        unheard = [
            peer
            for peer, link in members.links.items()
            if link.acked < 1 and not members.is_gone(peer) and now - link.began < self.fleet.limits.room
        ]
        waits[stages.ROOM] = ", ".join(unheard)
        mine = self._begun
        waits[stages.GATHER] = gathers(
            self.name,
            [
                (name, str(record.about.get("stage", "")), self._together(record.about.get("started"), mine))
                for name, record in members.records.items()
                if name != self.name and record.status != DEAD
            ],
        )
        return waits

    def _together(self, started: Any, mine: float) -> bool:
        return isinstance(started, int | float) and abs(started - (mine + self._offset)) < TOGETHER

    def loans_over(self, now: float) -> bool:
        """Whether all that an earlier life lent is surely back, as far as memory and members can say."""
        planners = self.planners()
        if planners is None:
            return True
        if judge(Kind.CEILINGS, self._case).way is not Way.TAKEN:
            return False
        until = self._found.records.get((LOANS, ""))
        end = until - self._offset if isinstance(until, int | float) else None
        if end is None and self._life():
            return True  # nothing was ever promised by a life that kept a record of it
        assert self.members is not None
        receivers = {
            name: started - self._offset
            for name, record in self.members.records.items()
            if name != self.name and isinstance(started := record.about.get("started"), int | float)
        }
        if len(receivers) < len(self.fleet.members) - 1:
            return loans_over(now, end, {}, {}, now)
        core = self._found.records.get(("core", ""))
        ended = (core["at"] - self._offset + 1.0) if isinstance(core, dict) and "at" in core else now
        return loans_over(now, end, receivers, planners, min(ended, self._begun))

    def lends(self, until: float) -> bool:
        """Loans are to be promised up to a time: whether that is on record. Asked for in advance, so that few wait."""
        if self.memory is None or not self.memory.believed:
            return True  # nothing on disk will be believed: the next life waits out its term
        if until > self._loans_asked - AHEAD / 2:
            self._loans_asked = until + AHEAD
            self.memory.keep(LOANS, "", self._loans_asked + self._offset).add_done_callback(
                partial(self._lent, self._loans_asked)
            )
        return until <= self._loans

    def _lent(self, until: float, kept: asyncio.Future[bool]) -> None:
        if kept.result():
            self._loans = max(self._loans, until)

    def _tell(self, stage: str) -> None:
        assert self.members is not None
        self.members.set_about(stage=stage, left=self._presence.left is not None, memory=not self.why)

    def _due(self) -> None:
        """Marks that are due go to the disk."""
        if self._stopped:
            return
        self._later(MARKS if self._marks is not None else SAID, self._due)
        now = self._loop.time()
        if (
            self._marks is None
            or self.memory is None
            or not (self._marks.urgent or self._marks.due and now - self._marked >= GATHERED)
        ):
            return
        self._marked = now
        marks = self._marks.make(now)
        if not marks:
            return
        assert self.members is not None
        for mark in marks:
            self.memory.put(
                MARK, mark.key, [round(mark.level, 4), mark.at, mark.top, mark.rate, self.members.incarnation]
            )
        self.memory.synced().add_done_callback(lambda done: self._written(marks, done.result()))

    def _written(self, marks: list[Mark], kept: bool) -> None:
        if self._marks is None:
            return
        if kept:
            self._marks.written(marks, self._gateway.quotas.accounts.get)
        else:
            self._marks.failed(marks)

    # The memory.

    def _lost(self, why: str) -> None:
        """Nothing on disk will be believed: ceilings go on as with no memory."""
        self.why = why
        if self._marks is not None:
            self._marks.end(account for queue in self._gateway.quotas.accounts.queues for account in queue.values())
            self._marks = self._gateway.quotas.ceiling_marks = None
        if self.memory is not None:
            for key in self.memory.holds(MARK):
                self.memory.put(MARK, key, None)
            if self._open.is_set():
                self.memory.put(LIFE, "", {**self._life_row(None), "end": ""})
        if self.members is not None:
            self.members.set_about(memory=False)
            self._beats()  # at once: after a crash only the others may know of it

    def _life_row(self, born: float | None) -> dict[str, Any]:
        assert self.members is not None
        return {"boot": self.members.incarnation, "machine": self._machine, "offset": self._offset, "born": born}

    def _again(self) -> None:
        """The disk is well again: marks from now on."""
        self.why = ""
        if self.members is not None:
            self.members.set_about(memory=True)
        if self._open.is_set() and self._marks_hold():
            self._task = self._loop.create_task(self._anew())

    async def _anew(self) -> None:
        now = self._loop.time()
        if self.memory is None or not await self.memory.keep(LIFE, "", {**self._life_row(now), "end": ""}):
            return
        self._marks = self._gateway.quotas.ceiling_marks = Marks(now)
        for queue in self._gateway.quotas.accounts.queues:
            for account in queue.values():
                if account.plan.ceiling_rate:
                    account.ceiling_mark = of_all(account.key, now, *part(account))

    # What members say.

    def linked(self, peer: str) -> None:
        """A link stands."""
        assert self.members is not None
        self.members.link_opened(self._loop.time(), peer)
        if not self.recovery.open and self._kept is None:
            self._lines.send(peer, RecoveryQuery(self._last(), self.members.incarnation))

    def unlinked(self, peer: str, refused: bool) -> None:
        """A link has ended, or could not be made."""
        assert self.members is not None
        self.members.link_closed(self._loop.time(), peer, refused)
        if refused and self._questions is not None:
            self._questions.gone(self._loop.time(), peer)

    def heard(self, peer: str, message: Message) -> None:
        """A member says something."""
        members, now = self.members, self._loop.time()
        assert members is not None
        if isinstance(message, RecoveryQuery):
            self._lines.send(peer, self._knows(now, peer, message))
        elif isinstance(message, RecoveryAnswer):
            if self._questions is not None:
                self._questions.answered(now, self.wall(), peer, message)
                members.heard_of[peer] = now
                if self._kept is not None:
                    self._later_word(now, message)
        else:
            for other, answer in members.receive(now, self.wall(), peer, message):
                self._lines.send(other, answer)
            self._news(now)

    def _later_word(self, now: float, knows: RecoveryAnswer) -> None:
        """An answer that came after all was settled: it may say that the disk is not this gateway's last word."""
        if self._case.disk is not Disk.OWN or not (knows.distrusted or knows.boot > self._last()):
            return
        log.warning("fleet: a member knows of a later life of this one: its disk is old; ceilings begin empty")
        self._case = replace(self._case, disk=Disk.VOID if knows.distrusted else Disk.OLD)
        if self._marks is not None:
            self._marks.distrust(now, (a for q in self._gateway.quotas.accounts.queues for a in q.values()))

    def life(self) -> int:
        """The number of this life."""
        assert self.members is not None
        return self.members.incarnation

    def later(self, peer: str) -> Heartbeat:
        """What is known of a member, for one that calls in an earlier life of it."""
        assert self.members is not None
        known = self.members.records.get(peer)
        return Heartbeat(1, 0, self.wall(), self.members.digest(), (known,) if known is not None else ())

    def _knows(self, now: float, peer: str, asks: RecoveryQuery) -> RecoveryAnswer:
        members, gateway = self.members, self._gateway
        assert members is not None
        known = members.records.get(peer)
        boot = (
            known.incarnation
            if known is not None and known.incarnation < asks.life
            else members.earlier_incarnations.get(peer, 0)
        )
        void, ago = self._void_lives.get(peer) == boot, -1.0
        seen = self._found.records.get((SEEN, peer)) if self._found.owner == self.name else None
        if isinstance(seen, list) and len(seen) == 3 and seen[0] == boot:
            ago, void = self.wall() - float(seen[1]), void or bool(seen[2])
        elif known is not None and known.incarnation == boot and peer in members.heard_of:
            ago = now - members.heard_of[peer]
        workers = tuple(
            (name[:LONGEST], round(min(1.0, 1 / max(1.0, worker.slowness(now))), 3), worker.is_suspect())
            for name, worker in list(gateway.fleet.workers.items())[:MOST_WORKERS]
        )
        return RecoveryAnswer(
            boot,
            ago,
            self.wall(),
            now - self._begun,
            not self._open.is_set(),
            workers,
            self._walk.pace if self._walk is not None else 0.0,
            void,
        )

    def _news(self, now: float) -> None:
        members = self.members
        assert members is not None
        news, members.updates = members.updates, []
        for each in news:
            self._one(now, each)

    def _one(self, now: float, news: News) -> None:
        members = self.members
        assert members is not None
        match news.what:
            case "fact":
                fact = members.facts.get(news.cause, news.name)
                if fact is not None:
                    if self.memory is not None:
                        self.memory.put(FACT, f"{fact.kind} {fact.key}", [*fact.stamp, fact.value])
                    if fact.kind == BAN:
                        self._ban(fact)
            case "twin":
                if self._open.is_set():  # else it may be an earlier life of a clock ahead: settled with the peers
                    log.warning(
                        "fleet: another process goes by the name of %s, and began later: clients go there", self.name
                    )
                    self._presence.leave(now)
                    self._lines.quiet = True
            case "down":
                log.info("fleet: %s is down (%s)", news.name, news.cause)
            case "up" | "restarted":
                log.info("fleet: %s is %s", news.name, "up" if news.what == "up" else "back in another life")
        if news.what in ("up", "restarted", "told"):
            record = members.records.get(news.name)
            if record is not None and news.name != self.name:
                void = record.about.get("memory") is False
                if void:
                    self._void_lives[news.name] = record.incarnation
                if self.memory is not None:
                    self.memory.put(SEEN, news.name, [record.incarnation, self.wall(), void])

    # Bans and drains.

    def _ban(self, fact: Fact) -> None:
        value = fact.value
        if not isinstance(value, dict) or not isinstance(value.get("out"), bool):
            return
        now = self._loop.time()
        since = value.get("since")
        self._dispatcher.maintain(
            fact.key, value["out"], min(now, since - self._offset) if isinstance(since, int | float) else now
        )

    def said(self, worker: str, out: bool) -> asyncio.Future[bool]:
        """An operator has taken a worker out here, or put it back: all hear of it; whether it is on disk."""
        assert self.members is not None
        fact = self.members.publish_fact(self.wall(), BAN, worker, {"out": out, "since": self.wall()})
        self._news(self._loop.time())
        self._beats()  # the others hear of it before whoever asked hears that it is done
        return self._kept_soon(FACT, f"{BAN} {worker}", [*fact.stamp, fact.value])

    def drained(self, left: bool) -> asyncio.Future[bool]:
        """Clients are sent away, or taken again; whether that is on disk."""
        self._tell(self.recovery.stage)
        return self._kept_soon(DRAIN, "", left)

    def _kept_soon(self, kind: str, key: str, value: Any) -> asyncio.Future[bool]:
        done: asyncio.Future[bool] = self._loop.create_future()
        if self.memory is None:
            done.set_result(False)
            return done

        def told(kept: bool) -> None:
            if not done.done():
                done.set_result(kept)

        self.memory.keep(kind, key, value).add_done_callback(lambda kept: told(kept.result()))
        self._loop.call_later(SAID, told, False)
        return done

    def banned(self, worker: str) -> bool | None:
        """Whether the fleet's last word on a worker is that it is out; None: there is none."""
        assert self.members is not None
        fact = self.members.facts.get(BAN, worker)
        return bool(fact.value.get("out")) if fact is not None and isinstance(fact.value, dict) else None

    def listed(self) -> None:
        """The list has changed: what is believed of its workers is given back."""
        if self._open.is_set():
            for name in list(self._gateway.fleet.workers):
                self._worker(self._loop.time(), name)

    def _worker(self, now: float, name: str) -> None:
        if self._kept is None or name in self._listed:
            return
        self._listed[name] = None
        if not self._kept.worker(self._gateway, now, name) and name in self._told.workers:
            pace, fails = self._told.workers[name]
            worker = self._gateway.fleet.workers[name]
            if worker.entry.started is None or now - worker.entry.started > self._settings.slow_start_duration:
                worker.relative_latency, worker.latency_updated_at = 1 / max(0.1, pace), now
                worker.consecutive_failures = int(fails)

    # For people.

    def health(self) -> str:
        """What the start waits for; empty once clients are served."""
        if self._open.is_set():
            return ""
        waits = self.recovery.waits_for
        return f"coming back: {self.recovery.stage}" + (f", waits for {waits}" if waits else "")

    def status(self) -> str:
        """This member's state as JSON."""
        members, now, wall = self.members, self._loop.time(), self.wall()
        if members is None:
            return json.dumps({"name": self.name, "stage": stages.MEMORY})
        links = {
            peer: {
                "heard_ago": round(now - link.arrivals.last, 3),
                "answer_s": round(link.took, 3),
                "clock_off": round(link.offset, 3) if link.offset is not None else None,
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
        bans = {
            fact.key: {"out": fact.value.get("out"), "since": fact.value.get("since"), "by": fact.stamp[2]}
            for fact in members.facts.of(BAN)
            if isinstance(fact.value, dict)
        }
        memory = self.memory
        return json.dumps(
            {
                "name": self.name,
                "boot": members.incarnation,
                "stage": self.recovery.stage,
                "waits_for": self.recovery.waits_for,
                "up_s": round(now - self._begun, 2),
                "open": self._open.is_set(),
                "ended": self._ended().value,
                "disk": self._case.disk.value,
                "twin": members.duplicate_name,
                "wall": wall,
                "digest": f"{members.digest():016x}",
                "stages": [
                    {"stage": o.stage, "took": round(o.took, 3), "missing": o.missing} for o in self.recovery.over
                ],
                "members": seen,
                "links": links,
                "cut": members.unreachable_peers(now),
                "slow": members.slow_peers(),
                "bans": bans,
                "memory": {
                    "why": self.why,
                    "records": len(memory) if memory else 0,
                    "batches": memory.batches if memory else 0,
                    "slowest_ms": round(1000 * memory.slowest, 1) if memory else 0.0,
                    "believed": bool(memory and memory.believed),
                },
                "longest_step_ms": round(1000 * self.longest_step, 2),
                "up": members.alive_count(),
            }
        )

    def _later(self, delay: float, call: Callable[[], None]) -> None:
        self._loop.call_later(delay, call)

    async def stop(self) -> None:
        """A planned end: the last word on disk is that it was asked for."""
        self._stopped = True
        self._lines.stop()
        if self.memory is None:
            return
        now = self._loop.time()
        last: list[tuple[str, str, Any]] = []
        if self._open.is_set():
            if self._walk is not None:
                last += [(kind, key, self._timed(kind, value)) for kind, key, value in self._walk.all(now)]
            if self._marks is not None:
                assert self.members is not None
                for mark in self._marks.last(
                    now, (a for q in self._gateway.quotas.accounts.queues for a in q.values())
                ):
                    last.append((MARK, mark.key, [mark.level, mark.at, mark.top, mark.rate, self.members.incarnation]))
            last.append(
                (LIFE, "", {**self._life_row(self._born()), "end": End.ASKED.value, "stepped": self._told.stepped})
            )
        with contextlib.suppress(TimeoutError):  # a disk that hangs: the next life finds that it was killed
            await asyncio.wait_for(self.memory.close(last), 2.0)

    def _born(self) -> float | None:
        """When this life's mark for all was made; None: nothing of it is to be believed."""
        return self._marks.born if self._marks is not None else None


def _whole(value: Any) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def _mark_row(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(isinstance(value, int | float) and not isinstance(value, bool) for value in row)
    )


def _fact(key: str, value: Any) -> Fact | None:
    kind, _, name = key.partition(" ")
    if not name or not isinstance(value, list) or len(value) != 4:
        return None
    ms, count, who, said = value
    if not isinstance(ms, int) or not isinstance(count, int) or not isinstance(who, str):
        return None
    return Fact(kind, name, (ms, count, who), said)
