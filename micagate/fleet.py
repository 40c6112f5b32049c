"""The workers: the list, their health, the cold guard, and the choice of one."""

from __future__ import annotations

import math
from random import Random

from micagate import interface
from micagate.estimates.recent import OLD_SHARE, Recent
from micagate.estimates.tails import Tails
from micagate.resource_keys import worker_key
from micagate.shares import Shares
from micagate.worker import BACKOFF, LONGEST_BACKOFF, Worker
from micagate.worker_subset import TOGETHER, WorkerSubset
from micagate.workload import Workload

# All ours, since the design leaves the choice of a worker open.
LEARN = 0.15  # weight of a new answer in what was learned
FAR = 1.1  # a worker elsewhere must be this much better than one in the own zone
LOOK, LOOKS = 16, 3  # workers of a larger fleet that a choice looks at, and how often before it gives up
STALL = 4.0  # times the usual answer time after which silence counts as a stall
RECENT = 2.0  # seconds over which the fleet's pace is averaged
LATE_SHARE = 0.5  # of the aim: expected answer time of a sure latecomer; its age out is over `OLD_SHARE`
ENOUGH = 10.0  # attempts out or just answered that Little's law needs to mean something
KEEPS_ENOUGH = 30.0  # ... of a gateway that keeps to few of many workers: by chance it has several out
SPARE = 1.5  # what a warm worker could take over what it gets, at the least (cold guard with many gateways)
OWED = 2.0  # seconds after which a worker that was put back gets its first request, room or not
LOSSY, LOSSIER = 0.3, 4.0  # share of answers that a worker loses, and times what another loses: it loses them


class Fleet:
    """The list of workers, their health, the cold guard and the choice of one."""

    def __init__(self, settings: interface.Settings, random: Random, now: float, shares: Shares) -> None:
        self._s, self._random, self._shares = settings, random, shares
        self.workers: dict[str, Worker] = {}
        self.gateway_count = settings.gateways  # those that may send to a cold worker
        self.restored_at: dict[str, float] = {}  # put back by operators, when, and not heard of since
        self._usual: dict[str, float] = {}
        self._done, self._done_at = 0.0, now
        # Out, and not past its aim: when sent, the aim and where.
        self._waiting: dict[tuple[str, int], tuple[float, float, Worker]] = {}
        self.usable_count, self.tails, self.recent = 0, Tails(now), Recent(now)
        self.shortest_usual_latency = math.inf  # the shortest usual answer time so far, of the class that takes longest
        self._answers = 0
        self.reported_at = now
        self.workload: Workload | None = None  # counted once a survey has asked for it
        self.subset = WorkerSubset(settings.number, settings.gateways)
        self._pooled: tuple[float, list[Worker]] | None = None  # the last pool, until anything changes
        self._aim = min(c.aim for c in settings.classes)

    def update(self, now: float, news: interface.WorkerList) -> None:
        """Follow the list; a drained or gone worker gets nothing from here on, a restarted one is new."""
        if news.whole:
            named = {entry.worker for entry in news.entries}
            for worker in [worker for name, worker in self.workers.items() if name not in named]:
                self._leave(worker)
        sizes = [e.size for e in news.entries if e.size > 0] or [1.0]
        mean = sum(sizes) / len(sizes)
        for entry in news.entries:
            known = self.workers.get(entry.worker)
            if known is None or known.entry.started != entry.started:
                source = self._random if self._s.number is None else Random(entry.worker)
                fresh = Worker(
                    entry,
                    mean / entry.size if news.whole and entry.size > 0 else 1.0,
                    now,
                    known.rank if known else source.random(),
                )
                if known is not None:
                    fresh.in_flight = known.in_flight
                    self._unlist(known)
                self.workers[entry.worker] = known = fresh
            known.entry = entry
            if entry.state != interface.HEALTHY:
                self._leave(known)
            elif not known.usable:
                known.usable = True
                self.subset.add(known)
        self.usable_count = len(self.subset.ring)
        self._pooled = None

    def _unlist(self, worker: Worker) -> None:
        if worker.usable:
            worker.usable = False
            self.subset.remove(worker)

    def _leave(self, worker: Worker) -> None:
        """Give a worker no more; forget it if nothing is out there."""
        self._unlist(worker)
        if not worker.in_flight:
            del self.workers[worker.entry.worker]

    def usual_latency(self, klass: interface.RequestClass) -> float:
        """The usual answer time of a class; its aim's tenth until something is known."""
        return self._usual.get(klass.name, klass.aim / 10)

    def _stalled(self, now: float, worker: Worker) -> bool:
        """Whether all that is out at a worker goes unanswered well beyond the usual.

        Guards against hung, pausing, cut off or silently lost workers alike: what it holds is bounded, and
        anything that returns ends it. What later-sent ones have overtaken doesn't count: the worker lives,
        and one answer lost on the way would shut it out until the client's deadline. Once in a while it may
        be tried, ever less the more it swallows. Harm: a lone unusually long request keeps the others away
        for a while.
        """
        behind = [sent for sent in worker.in_flight.values() if sent > worker.latest_answered_sent_at]
        if not behind or now - max(behind[0], worker.last_response_at) <= self._patience(worker):
            return False
        pause: float = BACKOFF * 2 ** min(len(behind) - 1, 10)
        return now - behind[-1] < min(LONGEST_BACKOFF, pause)

    def _patience(self, worker: Worker) -> float:
        """How long a worker's silence is nothing unusual."""
        return STALL * max(self._usual.values(), default=1.0) * max(1.0, min(2.0, worker.relative_latency))

    def _queued(self, now: float, worker: Worker) -> list[float]:
        """When what a worker has before it was sent, without what is lost as far as can be told.

        Lost: past its aim, or silent for unusually long though later-sent ones were answered. Guards against
        answers lost on the way, of whatever cause: each would count as load until its client's deadline.
        Harm: unusually long requests among short ones count for nothing after a while.
        """
        if not worker.in_flight:
            return []
        return [
            sent for key, sent in worker.in_flight.items() if key in self._waiting and not self._gone(now, worker, sent)
        ]

    def _gone(self, now: float, worker: Worker, sent: float) -> bool:
        """Whether what was sent then is silent for unusually long, though later-sent ones were answered."""
        return sent <= worker.latest_answered_sent_at and now - sent > self._patience(worker)

    def _healthy(self, now: float, worker: Worker) -> bool:
        if not worker.in_flight:
            return not worker.is_suspect() or now >= worker.backoff_until
        if worker.is_suspect() and (now < worker.backoff_until or self._queued(now, worker)):
            return False  # one trial at a time
        return not self._stalled(now, worker)

    def _has_room(self, now: float, worker: Worker) -> bool:
        """The cold guard: a cap on what this gateway has in flight at a worker that started lately.

        In a span of `fall_time` a worker does its capacity x span, so what may be in flight at most is
        (factor - 1) x capacity x span; each gateway takes its own share of the rate a warm one serves it,
        or of one core at the briskest answer time known: in a jam the rate served says nothing.
        """
        if (warm := self.warm_up_factor(now, worker)) is None:
            return True
        over, _ = self._shares.divisors(now, worker_key(worker.entry.worker), self.gateway_count)
        if self.subset.is_partial and over == self.gateway_count:  # only those send to it in whose arcs it is
            over = max(1.0, over * self.subset.overlap())
        cap = (self._s.overload_factor - 1) * warm * self.rate(now) * self._s.fall_time
        alone = (self._s.overload_factor - 1) * warm * self._s.fall_time / self.shortest_usual_latency / over
        if over > self.gateway_count:
            cap *= self.gateway_count / over  # lent; what is borrowed only shortens the turns
        spare = max(SPARE * cap, TOGETHER / over, alone)
        if spare <= 0:
            return False  # all of it is lent
        if spare < 1:  # with many gateways even one each is too much: they take turns by chance
            pause = self._s.fall_time / spare
            if worker.next_turn_at is None:
                worker.next_turn_at = now + pause * self._random.random()
            elif worker.next_turn_at > now:  # what is left follows the pause: it shortens as the worker warms
                worker.next_turn_at = now + (worker.next_turn_at - now) * min(1.0, pause / worker.turn_interval)
            worker.turn_interval = pause
            if now < worker.next_turn_at:
                return False
        while worker.held_slots_until and worker.held_slots_until[0] <= now:
            worker.held_slots_until.popleft()
        return len(worker.in_flight) + len(worker.held_slots_until) < max(1, int(cap))

    def rate(self, now: float) -> float:
        """What a warm worker serves this gateway in a second."""
        self._fade(now)
        return self._done / RECENT / max(1, self.subset.fit if self.subset.is_partial else self.usable_count)

    def warm_up_factor(self, now: float, worker: Worker) -> float | None:
        """The share of its capacity that a worker has which started lately; None for a warm one."""
        started = worker.entry.started
        if started is None or now - started >= self._s.slow_start_duration:
            return None
        return (
            self._s.slow_start_min_factor
            + (1 - self._s.slow_start_min_factor) * max(0.0, now - started) / self._s.slow_start_duration
        )

    def _slow(self, now: float, worker: Worker) -> float:
        """A worker's answer time over the usual, and what tells of it sooner where it is met seldom."""
        slow = worker.slowness(now)
        if self.subset.is_partial and (queued := self._queued(now, worker)):  # it tells before its answer
            slow = max(slow, (now - queued[0]) / max(self._usual.values(), default=math.inf))
        # What a cold one has left of its capacity is learned too late by who meets it seldom.
        return slow / (self.warm_up_factor(now, worker) or 1.0) if self.subset.is_partial else slow

    def _fade(self, now: float) -> None:
        self._done *= math.exp((self._done_at - now) / RECENT)
        self._done_at = now

    def _pool(self, now: float) -> list[Worker]:
        """The workers to choose from, as they were last looked at."""
        if self._pooled is None or self._pooled[0] != now:
            span = now if self.subset.is_partial else None
            self._pooled = now, self._well(now, self._look(self.subset.size, now=span))
        return self._pooled[1]

    def _well(self, now: float, looked: list[Worker]) -> list[Worker]:
        """Those that look well; if most look bad it is overload, the throttle's job: then all."""
        good = [w for w in looked if self._healthy(now, w)]
        return good if 2 * len(good) >= len(looked) else looked

    def _look(
        self, span: int, zone: str | None = None, cell: int | None = None, now: float | None = None
    ) -> list[Worker]:
        """Usable workers to look at: all of a small fleet, a few of the first `span` of a large one.

        Guards against requests that cost more the larger the fleet. They stand anywhere, any distance apart:
        a few in a row would always meet the same others, and favour those with bad ones. Harm: the best of
        all is missed.
        """
        ring = self.subset.members(
            span, None if now is None else lambda w: (self.warm_up_factor(now, w) is None and self._healthy(now, w))
        )
        if zone is not None or cell is not None:
            ring = [w for w in ring if zone in (None, w.entry.zone) and cell in (None, w.entry.cell)]
        elif span == self.usable_count <= LOOK:
            ring = [w for w in self.workers.values() if w.usable]
        if (many := len(ring)) > LOOK:
            begin, step = int(self._random.random() * many), 1 + int(self._random.random() * (many - 1))
            ring = list(dict.fromkeys(ring[(begin + n * step) % many] for n in range(LOOK)))
        return ring

    def is_overloaded(self, now: float, room: float, part: float = 1.0) -> bool:
        """Whether one more would likely miss its aim: then the gateway says the `full` that workers can't.

        A class that has but a part of the bar is refused that much earlier.

        Little's law: what is out over the pace of answers is the time a new one takes. The mean age of what
        is out must be up as well, since a burst on idle workers has much out and no pace yet. Stalled
        workers are left out, and one each (three for all gateways together) may always be out, so that the
        pace can't choke itself. The bar is one for all classes (the shortest aim): with its own, the longest
        aim takes all room.
        Guards against every overload that time-outs tell of too late: slowing everywhere, lost capacity,
        floods, retries. Harm: answers that are long by nature look like a backlog where aims are tight.
        """
        self._fade(now)
        if self.has_few_samples():
            return self._slow_all_over(now) / (1 + room) > self._random.random()
        pool = self._pool(now)
        queued = [self._queued(now, w) for w in pool]
        out = sum(map(len, queued))
        done = self._done * min(1.0, LOOK / max(1, self.subset.size))  # of those that were looked at
        if out <= len(pool) * min(1.0, TOGETHER / self._s.gateways):
            return False
        age = now - sum(map(sum, queued)) / out
        return age > OLD_SHARE * self._aim and out > part * LATE_SHARE * self._aim * done / RECENT

    def has_few_samples(self) -> bool:
        """Whether too little is out and answered to measure a queue by."""
        return len(self._waiting) + self._done < (KEEPS_ENOUGH if self.subset.is_partial else ENOUGH)

    def _slow_all_over(self, now: float) -> float:
        """The share to refuse, with too few out for Little's law: what the last answers say, pooled."""
        waiting = [(sent, aim) for sent, aim, w in self._waiting.values() if not self._gone(now, w, sent)]
        return self.recent.pressed(now, waiting, self._aim, self._answers < ENOUGH, self.subset.is_partial)

    def pick(
        self,
        now: float,
        klass: interface.RequestClass,
        tried: set[str],
        zone: str | None = None,
        cell: int | None = None,
    ) -> str | None:
        """The worker with the least expected wait, or None.

        A gateway among many meets each worker too seldom to know any, and all at once would agree on the
        same favourite: so it keeps to a few of its own, which it meets often (subsetting).
        """
        if self.restored_at and zone is None and cell is None and (name := self._back(now, tried)):
            return name
        for look in range(LOOKS):
            if look or zone is not None or cell is not None:
                pool = self._well(now, self._look(self.usable_count, zone, cell))
                if self.subset.is_partial:  # the room of cold ones is counted by arcs
                    pool = [w for w in pool if self.warm_up_factor(now, w) is None]
            else:
                pool = self._pool(now)
            fit = [w for w in pool if w.entry.worker not in tried and self._has_room(now, w)]
            if fit:
                return self._best(now, klass, fit)
        return None

    def _back(self, now: float, tried: set[str]) -> str | None:
        """A worker that operators have put back and that is owed its first request; None where none is.

        Guards against one that stands unused among many, or under control, since others look better. One
        request at a time, by the cold guard's room, and after `OWED` without.
        """
        for name, since in list(self.restored_at.items()):
            worker = self.workers.get(name)
            if worker is None or not worker.usable or now - since > 10 * OWED:
                del self.restored_at[name]
            elif (
                name not in tried
                and not self._queued(now, worker)
                and self._healthy(now, worker)
                and (self._has_room(now, worker) or now - since > OWED)
            ):
                return name
        return None

    def _best(self, now: float, klass: interface.RequestClass, fit: list[Worker]) -> str:
        """The worker with the least expected wait.

        To a wait belongs what a lost answer would cost: until it is missed where the request may be repeated,
        the whole aim where it may not. Guards against ways and workers that lose requests or answers, of
        whatever cause: what may be repeated goes there first, and all of it where the others are busy. Harm:
        a few losses by chance make the load uneven for seconds.
        """
        once = klass.effect == interface.SIDE_EFFECT
        lost = max(STALL, klass.aim / max(self.usual_latency(klass), 1e-6)) if once else STALL
        waits = self._paced(now, klass, fit) if self._shares.worker_capacities else None
        waits = waits or [self._slow(now, w) * (1 + len(self._queued(now, w))) * self._far(w) for w in fit]
        return min(
            zip(waits, fit, strict=True),
            key=lambda each: (each[0] + lost * each[1].loss_rate(now, klass.name))
            * (1.0 + 0.1 * self._random.random()),
        )[1].entry.worker

    def _far(self, worker: Worker) -> float:
        """What a wait elsewhere counts for next to one in the own zone."""
        return 1.0 if worker.entry.zone == self._s.zone else FAR

    def _paced(self, now: float, klass: interface.RequestClass, fit: list[Worker]) -> list[float] | None:
        """The expected wait at each worker, over the usual answer time, by this gateway's part of its pace.

        None unless the paces of all are known. What is out here over the part of the pace is the time that it
        takes (Little), and all gateways' parts of a worker add up to one of it: so each sends in proportion
        to what the workers can do, and knows what others use by what is left to it. Guards against many
        gateways of which each learns late which workers are slow or small. Harm: answer times that differ
        with no queue count for nothing.
        """
        waits = []
        for worker in fit:
            key = worker_key(worker.entry.worker)
            if not (pace := self._shares.worker_capacity(now, key)):
                return None
            over, _ = self._shares.divisors(now, key, self._s.gateways)
            out = 1.0 / self._s.gateways + len(self._queued(now, worker))
            waits.append(self._far(worker) * out * over / pace / max(self.usual_latency(klass), 1e-6))
        return waits

    def record_no_response(self, now: float, name: str, klass: interface.RequestClass, lost: bool = True) -> None:
        """An attempt at a worker goes without an answer, or has one.

        Kept by class, since a worker may serve one well and lose another.
        """
        worker = self.workers.get(name)
        if worker is not None and (lost or klass.name in worker.loss_rates):
            worker.record_loss(now, klass.name, lost, LEARN)

    def record_sent(self, now: float, name: str, key: tuple[str, int], klass: interface.RequestClass) -> None:
        """An attempt has gone to a worker."""
        worker, self._pooled = self.workers[name], None
        if self.workload is not None:
            self.workload.sent(now, name, len(worker.in_flight))
        worker.in_flight[key] = now
        self._waiting[key] = (now, klass.aim, worker)
        if worker.next_turn_at is not None:
            worker.next_turn_at = now + worker.turn_interval * (0.5 + self._random.random())

    def record_overdue(self, now: float, key: tuple[str, int]) -> None:
        """An attempt is past its aim: it has told of its lateness, and may be lost rather than waiting."""
        self._pooled = None
        if (waited := self._waiting.pop(key, None)) is not None:
            self.recent.missed(now, waited[1])

    def record_response_start(self, now: float, name: str, key: tuple[str, int]) -> None:
        """An answer has begun: the worker lives, and what follows is no wait for it."""
        self._pooled = None
        waited = self._waiting.pop(key, None)
        if waited is not None and key in waited[2].in_flight:
            waited[2].last_response_at, waited[2].latest_answered_sent_at = (
                now,
                max(waited[2].latest_answered_sent_at, waited[0]),
            )

    def has_answered_later(self, name: str, sent: float) -> bool:
        """Whether the worker has answered something that was sent to it later."""
        return (worker := self.workers.get(name)) is not None and sent <= worker.latest_answered_sent_at

    def loses_class(self, now: float, name: str, klass: interface.RequestClass) -> bool:
        """Whether a worker goes on losing much of a class where another loses little.

        Its silence then tells of lost answers, not of load. Guards against lossy ways and half-dead workers,
        whose silence pressed the whole fleet's rate down and took the second chance from what they lost.
        Harm: a worker that drowns alone is no longer heard by its silence, only by what it answers late or
        turns away.
        """
        if (worker := self.workers.get(name)) is None:
            return False
        least = min((w.loss_rate(now, klass.name) for w in self._look(self.usable_count)), default=0.0)
        return worker.loss_rate(now, klass.name) > max(LOSSY, LOSSIER * least)

    def record_outcome(
        self, now: float, name: str, key: tuple[str, int], klass: interface.RequestClass, status: str, took: float
    ) -> None:
        """An attempt's outcome, whatever became of its request."""
        self._waiting.pop(key, None)
        self._pooled = None
        worker = self.workers.get(name)
        sent = worker.in_flight.pop(key, None) if worker is not None else None
        if worker is None or sent is None:
            return
        if not worker.usable:
            self._leave(worker)
        if self.workload is not None:
            self.workload.ended(
                now, name, len(worker.in_flight) + 1, klass.name, self.usual_latency(klass), status, took
            )
        if status == interface.OVERLOADED and self.subset.is_partial:
            worker.record_overload(now)
        if status in (interface.TIMED_OUT, interface.OVERLOADED, interface.UNREACHABLE):
            worker.held_slots_until.append(now + self._s.fall_time)
        if status in (interface.CANCELLED, interface.NOT_SENT):
            return
        if status != interface.UNREACHABLE:
            self.restored_at.pop(name, None)
        if status in (interface.SUCCESS, interface.OVERLOADED, interface.FAILURE, interface.MALFORMED_RESPONSE):
            worker.last_response_at, worker.latest_answered_sent_at = now, max(worker.latest_answered_sent_at, sent)
            self.record_no_response(now, name, klass, lost=False)
        elif status == interface.CONNECTION_RESET:
            self.record_no_response(now, name, klass)
        if status == interface.SUCCESS:
            self._fade(now)
            self._done += 1
            usual = self._usual.setdefault(klass.name, took)
            self.recent.answered(now, took, klass.aim)
            worker.relative_latency = worker.slowness(now)
            worker.response_count += 1
            learn = max(LEARN, 1 / (1 + worker.response_count)) if self.subset.is_partial else LEARN  # it is met seldom
            worker.relative_latency += learn * (min(10.0, took / max(usual, 1e-6)) - worker.relative_latency)
            worker.latency_updated_at, worker.consecutive_failures, worker.consecutive_overloads = now, 0, 0
            self._usual[klass.name] = usual + LEARN / 3 * (took - usual)
            self._answers += 1
            if self._answers >= ENOUGH:
                self.shortest_usual_latency = min(self.shortest_usual_latency, max(self._usual.values()))
        elif status not in (
            interface.OVERLOADED,
            interface.MALFORMED_RESPONSE,
        ):  # answers spoilt by chance tell nothing of a worker's health
            # Errors that come at once draw ever more; who meets a worker seldom sees too few in a row.
            sudden = (
                status in (interface.UNREACHABLE, interface.CONNECTION_RESET)
                or self.subset.is_partial
                and status == interface.FAILURE
            )
            worker.record_failure(now, sudden, self.subset.is_partial)
