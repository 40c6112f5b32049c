"""All decisions of micagate; its settings, events and actions are in `micagate/interface.py`.

A request meets, in this order: its customer's metered quota slice and ceiling (`Quotas`), the choice of a
worker (`Fleet`), the leaky bucket (`Throttle`). `Gateway` owns its life after that. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from random import Random

from micagate import interface as i

# Throttle (BT contribution C4-051699, "the paper"; "ours" where it gives no figure).
PERIOD = 2.0  # seconds measured before an update of the leak rate (paper: 4)
PAUSE = 0.5  # seconds ignored after it (paper: 1)
MAX_FILL = 5.0  # the bucket's size and its fill at the start of control (paper)
SPLASH = 1.0  # what a request let through adds (paper)
SLOWEST, FASTEST = 0.1, 4.5  # leak rate's bounds over the rate before control (paper: 1 s, 22 ms over 0.1 s)
TARGET_SHARE = 0.05  # target overload rate over the rate before control (paper: 1 of 11 a second)
LEAST_SIGNALS = 3.0  # ... but never so low that so many in a period start control (ours: chance)
MOST_DOWN, MOST_UP = 0.7, 1.25  # bounds of one step: signals of a backlog overstate the excess (ours)
RISE = 0.4  # fixed rise when refusing without signals, over the rate before control (ours)
QUIET = 10.0  # seconds without refusals or signals that end control (ours)
SICK_SHARE = 3.0  # one worker in so many may signal all it can without starting control (ours)
PLAN_SHARE = 2 / 3  # of the plans must signal before control starts (ours)

# Quotas.
DECAY = 0.7  # of the forecast, each second (ours)
LONG_DECAY = 0.95  # of the longer forecast, for customers that come to this gateway seldom (ours)
LEAST = 2.0  # requests that a part of the store should hold; thinner ones get credit (ours)
SMOOTH = 2.0  # seconds that a reading of the meter should span; shorter ones are averaged (ours)
AIMED = 0.9  # of the quota: what the slices steer the metered use to (ours)
UNSEEN = 0.5  # use taken for granted before the first reading: most customers are calm (ours)
IDLE = 30.0  # seconds after which an idle customer's entry may go (ours)

# Fleet and attempts: ours, since the design leaves them open.
LEARN = 0.15  # weight of a new answer in what was learned
FORGET = 10.0  # seconds in which an old judgement of a worker's speed fades
FAR = 1.1  # a worker elsewhere must be this much better than one in the own zone
NEAR = 8  # workers that a gateway among many keeps to: each is met every few seconds
STALL = 4.0  # times the usual answer time after which silence counts as a stall
BACKOFF, LONGEST_BACKOFF = 0.25, 4.0  # seconds before the first and any later trial of a failing worker
RECENT = 2.0  # seconds over which the fleet's pace is averaged
LATE_SHARE, OLD_SHARE = 0.5, 0.15  # of the aim: expected answer time and mean age out of a sure latecomer
ENOUGH = 10.0  # attempts out or just answered that Little's law needs to mean something
LOW_SHARE, HIGH_SHARE = 0.2, 0.4  # of the aim: pooled answer time at which none, and all, are refused
YOUNG_SHARE = 0.05  # of the aim: mean age under which what is out is a burst, not a queue
SPELL, PRIOR = 2.0, 1.0  # seconds of answers pooled where there are fewer, and usual ones mixed in
SPARE = 2.0  # what a warm worker could take over what it gets, at the least (cold guard with many gateways)
TOGETHER = 3.0  # attempts at a worker that all gateways together may always have (latecomer and cold guards)
LOSSY, LOSSIER = 0.3, 4.0  # share of answers that a worker loses, and times what another loses: it loses them
FAILS = 3  # errors or time-outs in a row that make a worker suspect
RETRY_SHARE, RETRY_DEPTH = 0.2, 10.0  # retry budget: further attempts per first try, and how many it saves up
ADVICE = 0.2  # of the aim: the longest wait that a refusal advises
WAITS, ALIKE = 32, 0.02  # latest first tries of a class whose waits are kept; those this near are alike


class Throttle:
    """The leaky bucket and the loop that drives overload signals to their target."""

    def __init__(self, now: float, plans: int) -> None:
        self.on = False
        self.rate = self.base = self.fill = 0.0
        self.workers, self.plans = 1, plans
        self._born = self._leaked = self._since = self._due = self._quiet = self._changed = now
        self._admits: deque[float] = deque()
        self._refusals: deque[float] = deque()
        self._signals: deque[tuple[float, str, str]] = deque()

    def target(self, base: float) -> float:
        """The target overload rate, signals a second."""
        return max(LEAST_SIGNALS / PERIOD, TARGET_SHARE * base)

    def _measured(self, base: float) -> float:
        """Signals of the window, none of a worker's or a plan's beyond its cap.

        Guards against a few sick or cold workers, or one plan whose requests go wrong everywhere, strangling
        the fleet: overload is felt all over. Harm: trouble confined to few workers or one plan is left to
        `Fleet` and `Quotas`, and where one plan alone is in use of several the loop hears less.
        """
        whole = self.target(base) * PERIOD
        totals = []
        for place, parts in ((1, self.workers / SICK_SHARE), (2, self.plans * PLAN_SHARE)):
            counts: dict[str | float, int] = {}
            for signal in self._signals:
                counts[signal[place]] = counts.get(signal[place], 0) + 1
            cap = max(1.0, whole / max(1.0, parts))
            totals.append(sum(min(cap, count) for count in counts.values()))
        return min(totals)

    def _prune(self, start: float) -> None:
        for times in (self._admits, self._refusals):
            while times and times[0] < start:
                times.popleft()
        while self._signals and self._signals[0][0] < start:
            self._signals.popleft()

    def signal(self, now: float, worker: str, plan: str, sent: float) -> None:
        """An overload signal: a refusal as full, a time-out, latency past the aim.

        Under control, what was sent before the last update tells nothing of the present leak rate: a backlog
        would go on pressing the rate down long after it was cut enough.
        """
        self.advance(now)
        if self.on and sent < self._changed:
            return
        self._signals.append((now, worker, plan))
        self.advance(now)

    def advance(self, now: float) -> None:
        """Start, update or end control as due."""
        if not self.on:
            self._prune(now - PERIOD)
            span = max(0.1 * PERIOD, min(PERIOD, now - self._born))
            base = len(self._admits) / span
            if self._signals and self._measured(base) >= self.target(base) * PERIOD:
                self.on, self.base, self.rate = True, max(base, 1.0 / PERIOD), max(base, 1.0 / PERIOD)
                self.fill, self._leaked, self._quiet, self._changed = MAX_FILL, now, now, now
                self._begin(now)
        elif now >= self._due:
            span = now - self._since
            self._prune(self._since)
            measured = self._measured(self.base) / span
            target = self.target(self.base)
            rate = self.rate + RISE * self.base
            if 2 * measured > target:  # fewer are chance: they would hold a low rate down for long
                rate = len(self._admits) / span * min(MOST_UP, max(MOST_DOWN, target / measured))
            if self._refusals or rate < self.rate:  # not raised while nothing is refused
                self.rate = min(FASTEST * self.base, max(SLOWEST * self.base, rate))
            if self._refusals or measured > self.target(self.base):
                self._quiet = now
            elif now - self._quiet >= QUIET:
                self.on = False
            self._changed = now
            self._begin(now + PAUSE)

    def _begin(self, now: float) -> None:
        self._since, self._due = now, now + PERIOD
        if self.on:
            self._prune(now)

    def admit(self, now: float) -> bool:
        """Whether the bucket lets a request through; counts it either way."""
        self.advance(now)
        if self.on:
            self.fill = max(0.0, self.fill - (now - self._leaked) * self.rate)
            self._leaked = now
            if self.fill + SPLASH > MAX_FILL:
                self._refusals.append(now)
                return False
            self.fill += SPLASH
        self._admits.append(now)
        return True


class Account:
    """One customer as this gateway knows it."""

    __slots__ = ("plan", "spread", "depth", "floor", "slice", "store", "ceiling", "at", "tick", "asked",
                 "forecast", "longer", "top", "use", "read", "readings", "fresh", "out")

    def __init__(self, plan: i.Plan, spread: int, now: float, born: float) -> None:
        self.plan, self.spread = plan, spread
        self.depth, self.floor = plan.burst / spread, plan.rate / spread
        self.slice, self.store = self.floor, self.depth
        # An earlier life of this gateway may have spent its share of the ceiling: it fills from this birth.
        self.ceiling = min(plan.ceiling_depth, (now - born) * plan.ceiling_rate) / spread
        self.at = self.tick = now
        self.asked = self.forecast = self.longer = self.top = 0.0
        self.use, self.read, self.readings, self.fresh = UNSEEN, now, 0, False
        self.out = 0

    def metered(self, now: float, used: float, period: float) -> None:
        """A reading of the meter, averaged with those before where the meter's period is short.

        Guards against coarse readings: one unit in a short period looks like many times the rate.
        """
        smooth = max(1e-9, SMOOTH - period)
        self.readings += 1
        weight = max(1 - math.exp((self.read - now) / smooth), 1 / (1 + self.readings))
        self.use += (used - self.use) * weight
        self.read, self.fresh = now, True

    def room(self) -> float:
        """How sure it is that the quota has room: 1 while the meter shows half in use, 0 from all on."""
        return min(1.0, max(0.0, 2 * (1 - self.use)))


class Quotas:
    """Stores, metered slices, ceilings and at-once caps of the customers."""

    def __init__(self, now: float) -> None:
        self._born = now
        self._accounts: OrderedDict[tuple[str, str], Account] = OrderedDict()

    def account(self, now: float, customer: str, plan: i.Plan, spread: int) -> Account:
        """The customer's entry brought up to now; entries idle for long and full again are dropped.

        Guards against requests that name a customer wrongly: another plan has an entry of its own, and
        another set only moves the bounds, so that neither fills a store again.
        """
        while self._accounts:
            name, oldest = next(iter(self._accounts.items()))
            if now - oldest.at < IDLE or oldest.out:
                break
            self._refill(now, oldest)
            if oldest.ceiling < oldest.plan.ceiling_depth / oldest.spread:
                self._accounts.move_to_end(name)
            else:
                del self._accounts[name]
        key = customer, plan.name
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(plan, spread, now, self._born)
        elif account.spread != spread:
            account.spread, account.depth, account.floor = spread, plan.burst / spread, plan.rate / spread
        self._accounts.move_to_end(key)
        self._refill(now, account)
        return account

    def _refill(self, now: float, a: Account) -> None:
        elapsed, a.at = now - a.at, now
        a.store = min(a.depth, a.store + elapsed * a.slice)
        a.ceiling = min(a.plan.ceiling_depth / a.spread, a.ceiling + elapsed * a.plan.ceiling_rate / a.spread)
        seconds = int(now - a.tick)
        if seconds:
            a.tick += seconds
            a.forecast = (a.forecast * DECAY + a.asked * (1 - DECAY)) * DECAY ** (seconds - 1)
            a.longer = (a.longer * LONG_DECAY + a.asked * (1 - LONG_DECAY)) * LONG_DECAY ** (seconds - 1)
            a.asked = 0.0
            if a.fresh:  # without a reading the last slice stands
                a.slice *= AIMED / max(a.use, 0.01)
                a.fresh = False
            expected = max(a.forecast, a.longer)
            a.slice = max(a.floor, min(max(a.slice, a.room() * a.longer), 2 * expected, a.plan.rate))

    def inside(self, a: Account, units: float, pressed: bool) -> bool:
        """Whether a try is inside this gateway's part of the quota.

        A request larger than a whole part of the store goes when that part is full, or it never would.
        """
        if a.plan.at_once and a.out >= max(1, int(a.plan.at_once / a.spread)):
            return False
        # Guards against starving: a part of less than a few requests refuses calm customers by chance. Harm:
        # a burst of one that the meter showed as calm goes over until the next readings.
        a.top = max(a.top, units)
        credit = 0.0 if pressed else a.room() * max(0.0, LEAST * a.top - a.depth)
        return not a.plan.rate or a.store + credit >= min(units, a.depth + credit)

    def allowed(self, a: Account, units: float, beyond: bool) -> bool:
        """Whether the ceiling has room; what goes beyond the quota leaves half of it to what is inside."""
        if not a.plan.ceiling_rate:
            return True
        return a.ceiling >= units + (a.plan.ceiling_depth / a.spread / 2 if beyond else 0.0)

    def take(self, a: Account, units: float, inside: bool) -> None:
        """Take a first attempt's units; they stay taken even where it proves void, which is rare."""
        if a.plan.ceiling_rate:
            a.ceiling -= units
        if inside and a.plan.rate:
            a.store -= units


class Worker:
    """A worker as this gateway knows it."""

    __slots__ = ("entry", "usable", "slow", "learned", "out", "heard", "latest", "losses", "fails",
                 "until", "held", "turn", "pause", "rank")

    def __init__(self, entry: i.WorkerEntry, slow: float, now: float, rank: float) -> None:
        self.entry = entry
        self.rank = rank  # drawn by chance: a gateway among many keeps to the first few
        self.usable = True
        self.slow = slow  # answer time over the usual one
        self.learned = now
        self.out: dict[tuple[str, int], float] = {}
        self.heard = self.latest = now  # the last answer; when the latest-sent of those answered was sent
        self.losses: dict[str, tuple[float, float]] = {}  # by class: share left unanswered, and as of when
        self.fails = 0
        self.until = 0.0
        self.turn: float | None = None  # when this gateway may next send to it while it is too cold for all
        self.pause = 0.0
        self.held: deque[float] = deque()  # ends of the places that time-outs and refusals still hold


class Fleet:
    """The list of workers, their health, the cold guard and the choice of one."""

    def __init__(self, settings: i.Settings, random: Random, now: float) -> None:
        self._s, self._random = settings, random
        self.workers: dict[str, Worker] = {}
        self._usual: dict[str, float] = {}
        self._done, self._done_at = 0.0, now
        # Of the last answers: their times, their aims, and the aims of those that were given up.
        self._took, self._aims, self._lost, self._told_at = 0.0, 0.0, 0.0, now
        # Out, and not past its aim: when sent, the aim and where.
        self._waiting: dict[tuple[str, int], tuple[float, float, Worker]] = {}
        self.serving = 0
        self._brisk = math.inf  # the shortest usual answer time so far, of the class that takes longest
        self._answers = 0
        self._near: list[Worker] = []  # the own few of the usable ones
        self._aim = min(c.aim for c in settings.classes)

    def update(self, now: float, news: i.WorkerList) -> None:
        """Follow the list; a drained or gone worker gets nothing from here on, a restarted one is new."""
        named = {entry.worker for entry in news.entries}
        if news.whole:
            for name, worker in self.workers.items():
                worker.usable = worker.usable and name in named
        sizes = [e.size for e in news.entries if e.size > 0] or [1.0]
        mean = sum(sizes) / len(sizes)
        for entry in news.entries:
            known = self.workers.get(entry.worker)
            if known is None or known.entry.started != entry.started:
                fresh = Worker(entry, mean / entry.size if news.whole and entry.size > 0 else 1.0, now,
                               known.rank if known else self._random.random())
                if known is not None:
                    fresh.out = known.out
                self.workers[entry.worker] = known = fresh
            known.entry = entry
            known.usable = entry.state == i.HEALTHY
        for name in [n for n, w in self.workers.items() if not w.usable and not w.out]:
            del self.workers[name]
        usable = [w for w in self.workers.values() if w.usable]
        self.serving = len(usable)
        few = max(NEAR, math.ceil(TOGETHER * self.serving / self._s.gateways))
        self._near = sorted(usable, key=lambda w: w.rank)[:few] if few < self.serving else usable

    def usual(self, klass: i.RequestClass) -> float:
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
        behind = [sent for sent in worker.out.values() if sent > worker.latest]
        if not behind or now - max(behind[0], worker.heard) <= self._patience(worker):
            return False
        pause: float = BACKOFF * 2 ** min(len(behind) - 1, 10)
        return now - behind[-1] < min(LONGEST_BACKOFF, pause)

    def _patience(self, worker: Worker) -> float:
        """How long a worker's silence is nothing unusual."""
        return STALL * max(self._usual.values(), default=1.0) * max(1.0, min(2.0, worker.slow))

    def _queued(self, now: float, worker: Worker) -> list[float]:
        """When what a worker has before it was sent, without what is lost as far as can be told.

        Lost: past its aim, or silent for unusually long though later-sent ones were answered. Guards against
        answers lost on the way, of whatever cause: each would count as load until its client's deadline.
        Harm: unusually long requests among short ones count for nothing after a while.
        """
        if not worker.out:
            return []
        return [sent for key, sent in worker.out.items()
                if key in self._waiting and not self._gone(now, worker, sent)]

    def _gone(self, now: float, worker: Worker, sent: float) -> bool:
        """Whether what was sent then is silent for unusually long, though later-sent ones were answered."""
        return sent <= worker.latest and now - sent > self._patience(worker)

    def _healthy(self, now: float, worker: Worker) -> bool:
        if worker.fails and (now < worker.until or self._queued(now, worker)):
            return False  # one trial at a time
        return not self._stalled(now, worker)

    def _has_room(self, now: float, worker: Worker) -> bool:
        """The cold guard: a cap on what this gateway has in flight at a worker that started lately.

        In a span of `fall_time` a worker does its capacity x span, so what may be in flight at most is
        (factor - 1) x capacity x span; each gateway takes its own share of the rate a warm one serves it,
        or of one core at the briskest answer time known: in a jam the rate served says nothing.
        """
        started = worker.entry.started
        if started is None or now - started >= self._s.ramp_time:
            return True
        warm = self._s.cold_from + (1 - self._s.cold_from) * max(0.0, now - started) / self._s.ramp_time
        self._fade(now)
        rate = self._done / RECENT / max(1, self.serving)
        cap = (self._s.overload_factor - 1) * warm * rate * self._s.fall_time
        alone = (self._s.overload_factor - 1) * warm * self._s.fall_time / self._brisk / self._s.gateways
        spare = max(SPARE * cap, TOGETHER / self._s.gateways, alone)
        if spare < 1:  # with many gateways even one each is too much: they take turns by chance
            pause = self._s.fall_time / spare
            if worker.turn is None:
                worker.turn = now + pause * self._random.random()
            elif worker.turn > now:  # what is left follows the pause: it shortens as the worker warms
                worker.turn = now + (worker.turn - now) * min(1.0, pause / worker.pause)
            worker.pause = pause
            if now < worker.turn:
                return False
        while worker.held and worker.held[0] <= now:
            worker.held.popleft()
        return len(worker.out) + len(worker.held) < max(1, int(cap))

    def _slow(self, now: float, worker: Worker) -> float:
        """A worker's answer time over the usual; an old judgement fades, so that it is tried again."""
        return 1.0 + (worker.slow - 1.0) * math.exp((worker.learned - now) / FORGET)

    def _fade(self, now: float) -> None:
        self._done *= math.exp((self._done_at - now) / RECENT)
        self._done_at = now

    def _pool(self, now: float) -> list[Worker]:
        """The workers to choose from; if most look bad it is overload, the throttle's job: then all."""
        usable = [w for w in self.workers.values() if w.usable]
        good = [w for w in usable if self._healthy(now, w)]
        return good if 2 * len(good) >= len(usable) else usable

    def overdue(self, now: float, room: float) -> bool:
        """Whether one more would likely miss its aim: then the gateway says the `full` that workers can't.

        Little's law: what is out over the pace of answers is the time a new one takes. The mean age of what
        is out must be up as well, since a burst on idle workers has much out and no pace yet. Stalled
        workers are left out, and one each (three for all gateways together) may always be out, so that the
        pace can't choke itself. The bar is one for all classes (the shortest aim): with its own, the longest
        aim takes all room.
        Guards against every overload that time-outs tell of too late: slowing everywhere, lost capacity,
        floods, retries. Harm: answers that are long by nature look like a backlog where aims are tight.
        """
        self._fade(now)
        if self.few():
            return self._slow_all_over(now) / (1 + room) > self._random.random()
        pool = self._pool(now)
        queued = [self._queued(now, w) for w in pool]
        out = sum(map(len, queued))
        if out <= len(pool) * min(1.0, TOGETHER / self._s.gateways):
            return False
        age = now - sum(map(sum, queued)) / out
        return age > OLD_SHARE * self._aim and out > LATE_SHARE * self._aim * self._done / RECENT

    def few(self) -> bool:
        """Whether too little is out and answered to measure a queue by."""
        return len(self._waiting) + self._done < ENOUGH

    def _slow_all_over(self, now: float) -> float:
        """The share to refuse, with too few out for Little's law: what the last answers say, pooled.

        All answers, whatever worker they came from, speak together by the share of their aims that they took,
        and those still out by their age; some usual ones are mixed in, so that one or two say little. A lost
        answer counts once, as one that took its aim, if others are slow. Harm: it hears seconds late.
        """
        fade = math.exp((self._told_at - now) / SPELL)
        answered, usual = self._took * fade, PRIOR * self._aim
        waiting = [(sent, aim) for sent, aim, worker in self._waiting.values()
                   if not self._gone(now, worker, sent)]
        ages = sum(now - sent for sent, _ in waiting)
        lost = 0.0 if self.lossy() else self._lost * fade
        out = sum(aim for _, aim in waiting)
        new = self._answers < ENOUGH  # no pace is known yet: what is out tells by its age alone
        share = (OLD_SHARE * usual + answered + lost + ages) / (
            usual + self._aims * fade + lost + (out if new else 0.0))
        crowd = (1 + len(waiting)) / (1 + max(1.0, answered / SPELL))
        if new or ages < YOUNG_SHARE * out:
            crowd = min(1.0, crowd)  # much out but all young: a burst on idle workers
        return (share * crowd - LOW_SHARE) / (HIGH_SHARE - LOW_SHARE)

    def pick(self, now: float, klass: i.RequestClass, tried: set[str], zone: str | None = None,
             cell: int | None = None) -> str | None:
        """The worker with the least expected wait, or None.

        A gateway among many meets each worker too seldom to know any, and all at once would agree on the
        same favourite: so it keeps to a few of its own, drawn by chance, which it meets often (subsetting).
        """
        if len(self._near) < self.serving and zone is None and cell is None:
            good = [w for w in self._near if self._healthy(now, w)]
            fit = [w for w in (good if 2 * len(good) >= len(self._near) else self._near)
                   if w.entry.worker not in tried and self._has_room(now, w)]
            if fit:
                return self._best(now, klass, fit)
        fit = [w for w in self._pool(now)
               if w.entry.worker not in tried and zone in (None, w.entry.zone)
               and cell in (None, w.entry.cell) and self._has_room(now, w)]
        return self._best(now, klass, fit) if fit else None

    def _best(self, now: float, klass: i.RequestClass, fit: list[Worker]) -> str:
        """The worker with the least expected wait.

        To a wait belongs what a lost answer would cost: until it is missed where the request may be repeated,
        the whole aim where it may not. Guards against ways and workers that lose requests or answers, of
        whatever cause: what may be repeated goes there first, and all of it where the others are busy. Harm:
        a few losses by chance make the load uneven for seconds.
        """
        once = klass.effect == i.SIDE_EFFECT
        lost = max(STALL, klass.aim / max(self.usual(klass), 1e-6)) if once else STALL
        return min(fit, key=lambda w: (self._wait(now, w) + lost * self._loss(now, w, klass)) * (
            1.0 + 0.1 * self._random.random())).entry.worker

    def _wait(self, now: float, worker: Worker) -> float:
        """The expected wait at a worker, over the usual answer time."""
        far = 1.0 if worker.entry.zone == self._s.zone else FAR
        return self._slow(now, worker) * (1 + len(self._queued(now, worker))) * far

    def _loss(self, now: float, worker: Worker, klass: i.RequestClass) -> float:
        """The share of a class that a worker leaves unanswered; it fades, so that it is tried again."""
        loss, at = worker.losses.get(klass.name, (0.0, now))
        return loss * math.exp((at - now) / FORGET)

    def silent(self, now: float, name: str, klass: i.RequestClass, lost: bool = True) -> None:
        """An attempt at a worker goes without an answer, or has one.

        Kept by class, since a worker may serve one well and lose another.
        """
        worker = self.workers.get(name)
        if worker is not None and (lost or klass.name in worker.losses):
            loss = self._loss(now, worker, klass)
            worker.losses[klass.name] = loss + LEARN * (lost - loss), now

    def sent(self, now: float, name: str, key: tuple[str, int], klass: i.RequestClass) -> None:
        """An attempt has gone to a worker."""
        worker = self.workers[name]
        worker.out[key] = now
        self._waiting[key] = (now, klass.aim, worker)
        if worker.turn is not None:
            worker.turn = now + worker.pause * (0.5 + self._random.random())

    def given_up(self, now: float, key: tuple[str, int]) -> None:
        """An attempt is past its aim: it has told of its lateness, and may be lost rather than waiting."""
        if (waited := self._waiting.pop(key, None)) is not None:
            self._tell(now, 0.0, 0.0, waited[1])

    def _tell(self, now: float, took: float, aim: float, lost: float = 0.0) -> None:
        fade, self._told_at = math.exp((self._told_at - now) / SPELL), now
        self._took, self._aims = self._took * fade + took, self._aims * fade + aim
        self._lost = self._lost * fade + lost

    def lossy(self) -> bool:
        """Whether silence tells of lost answers, not of load: those that come are brisk and no fewer.

        Guards against control over losses of the network, hung and dying workers. Harm: where part of the
        fleet is overloaded and the rest is not, silence starts control only by what comes late.
        """
        return self._took < LOW_SHARE * self._aims and self._lost <= self._aims

    def overtaken(self, name: str, sent: float) -> bool:
        """Whether the worker has answered something that was sent to it later."""
        return (worker := self.workers.get(name)) is not None and sent <= worker.latest

    def loses(self, now: float, name: str, klass: i.RequestClass) -> bool:
        """Whether a worker goes on losing much of a class where another loses little.

        Its silence then tells of lost answers, not of load. Guards against lossy ways and half-dead workers,
        whose silence pressed the whole fleet's rate down and took the second chance from what they lost.
        Harm: a worker that drowns alone is no longer heard by its silence, only by what it answers late or
        turns away.
        """
        if (worker := self.workers.get(name)) is None:
            return False
        least = min((self._loss(now, w, klass) for w in self.workers.values() if w.usable), default=0.0)
        return self._loss(now, worker, klass) > max(LOSSY, LOSSIER * least)

    def returned(self, now: float, name: str, key: tuple[str, int], klass: i.RequestClass,
                 status: str, took: float) -> None:
        """An attempt's outcome, whatever became of its request."""
        self._waiting.pop(key, None)
        worker = self.workers.get(name)
        sent = worker.out.pop(key, None) if worker is not None else None
        if worker is None or sent is None:
            return
        if status in (i.TIMED_OUT, i.FULL, i.UNREACHABLE):
            worker.held.append(now + self._s.fall_time)
        if status in (i.CANCELLED, i.VOID):
            return
        if status in (i.SUCCESS, i.FULL, i.FAILURE, i.SPOILT):
            worker.heard, worker.latest = now, max(worker.latest, sent)
            self.silent(now, name, klass, lost=False)
        elif status == i.BROKEN:
            self.silent(now, name, klass)
        if status == i.SUCCESS:
            self._fade(now)
            self._done += 1
            usual = self._usual.setdefault(klass.name, took)
            self._tell(now, took, klass.aim)
            worker.slow = self._slow(now, worker)
            worker.slow += LEARN * (min(10.0, took / max(usual, 1e-6)) - worker.slow)
            worker.learned, worker.fails = now, 0
            self._usual[klass.name] = usual + LEARN / 3 * (took - usual)
            self._answers += 1
            if self._answers >= ENOUGH:
                self._brisk = min(self._brisk, max(self._usual.values()))
        elif status not in (i.FULL, i.SPOILT):  # answers spoilt by chance tell nothing of a worker's health
            worker.fails += 1
            sudden = status in (i.UNREACHABLE, i.BROKEN)
            if sudden or worker.fails >= FAILS:
                doublings = worker.fails - (1 if sudden else FAILS)
                worker.until = now + min(LONGEST_BACKOFF, BACKOFF * 2 ** min(doublings, 10))


class Attempt:
    """An attempt until its outcome has come."""

    __slots__ = ("worker", "zone", "cell", "klass", "sent", "status", "signalled", "account", "timers")

    def __init__(self, entry: i.WorkerEntry, klass: i.RequestClass, sent: float, account: Account) -> None:
        self.worker, self.zone, self.cell = entry.worker, entry.zone, entry.cell
        self.klass, self.sent, self.account = klass, sent, account
        self.status, self.signalled = "", False
        self.timers: list[int] = []


class Pending:
    """A request that is owed its end."""

    __slots__ = ("request", "klass", "account", "deadline", "inside", "attempts", "streaming", "timer")

    def __init__(self, request: i.Request, klass: i.RequestClass, account: Account, deadline: float) -> None:
        self.request, self.klass, self.account, self.deadline = request, klass, account, deadline
        self.inside, self.streaming = True, False
        self.attempts: list[Attempt] = []
        self.timer = 0


class Gateway:
    """One gateway: `handle` turns an event into actions."""

    def __init__(self, settings: i.Settings, seed: int, now: float) -> None:
        self._s = settings
        self._classes = {c.name: c for c in settings.classes}
        self._plans = {p.name: p for p in settings.plans}
        self._random = Random(seed)
        self.throttle = Throttle(now, len(settings.plans))
        self.quotas = Quotas(now)
        self.fleet = Fleet(settings, self._random, now)
        self._pending: dict[str, Pending] = {}
        self._out: dict[tuple[str, int], Attempt] = {}
        self._timers: dict[int, tuple[str, str, int]] = {}
        self._refs = 0
        # How long clients wait for a first try, lately.
        self._waits = {c.name: deque[float](maxlen=WAITS) for c in settings.classes}
        self._budget = RETRY_DEPTH
        self._subscribed = not settings.must_subscribe
        self._actions: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """The actions that an event calls for."""
        self._actions = []
        match event:
            case i.Request():
                self._request(now, event)
            case i.Outcome():
                self._outcome(now, event)
            case i.TimerFired(ref):
                self._timer(now, *self._timers.pop(ref, ("", "", 0)))
            case i.WorkerList():
                self._list(now, event)
            case i.StreamStarted(request, number):
                self._started(now, request, number, event.took)
            case i.Abandoned(request):
                self._over(request)
        return self._actions

    def _list(self, now: float, event: i.WorkerList) -> None:
        if not event.failed:
            self.fleet.update(now, event)
            self.throttle.workers = self.fleet.serving
        if self._s.must_subscribe and (event.failed or not self._subscribed):
            self._subscribed = True
            if event.failed:  # ask again a little later: the list's service may be drowning
                self._set_timer(1.0 + self._random.random(), "subscribe", "", 0)
            else:
                self._actions.append(i.Subscribe())

    def _request(self, now: float, event: i.Request) -> None:
        klass, plan = self._classes.get(event.klass), self._plans.get(event.plan)
        if klass is None or plan is None or event.time_left <= self._s.tick:
            self._actions.append(i.Refuse(event.request, 0.0))
            return
        account = self.quotas.account(now, event.customer, plan, event.spread)
        account.asked += event.units
        pending = Pending(event, klass, account, now + event.time_left)
        pending.inside = self.quotas.inside(account, event.units, self.throttle.on)
        if not event.repeat:
            self._waits[klass.name].append(event.time_left)
        self._budget = min(RETRY_DEPTH, self._budget + RETRY_SHARE)
        # Beyond the quota only where that pays, and never while the back end is pressed.
        welcome = pending.inside or (plan.beyond_earns > plan.excess_cost and not self.throttle.on)
        welcome = welcome and not (event.repeat and self._too_late(klass, event.time_left))
        if not welcome or not self.quotas.allowed(account, event.units, not pending.inside):
            self._refuse(event.request, klass.aim)
            return
        worker = self.fleet.pick(now, klass, set())
        if worker is not None and not self.throttle.admit(now):
            worker = None
        if worker is not None and self.fleet.overdue(now, account.room()):
            self.throttle.signal(now, worker, plan.name, now)
            worker = None
        if worker is None:
            self._refuse(event.request, klass.aim)
            return
        self.quotas.take(account, event.units, pending.inside)
        self._pending[event.request] = pending
        self._send(now, pending, worker)
        pending.timer = self._set_timer(event.time_left - self._s.tick, "deadline", event.request, 0)

    def _too_late(self, klass: i.RequestClass, time_left: float) -> bool:
        """Whether a later try comes when its aim has surely passed, so that it would spend units for nothing.

        A client waits for each try as long as for its first, until the deadline cuts a try short or, at its
        last, all that is left: so a wait unlike those of first tries tells when the request began. Guards
        against taking a usual wait for one that was cut: clients differ, and so does their last try. Harm:
        none seen while clients of one kind wait alike.
        """
        begun = klass.deadline - time_left
        if klass.late_worth or begun <= klass.aim:
            return False
        return all(abs(wait - time_left) > ALIKE * klass.deadline for wait in self._waits[klass.name])

    def _refuse(self, request: str, aim: float) -> None:
        """Refuse with advice that leaves several tries before the aim: later ones spend units for nothing."""
        advice = min(self._s.max_retry_advice, ADVICE * aim) * (0.5 + 0.5 * self._random.random())
        self._actions.append(i.Refuse(request, advice))

    def _send(self, now: float, pending: Pending, worker: str) -> None:
        name, number, klass = pending.request.request, len(pending.attempts), pending.klass
        attempt = Attempt(self.fleet.workers[worker].entry, klass, now, pending.account)
        pending.attempts.append(attempt)
        pending.account.out += 1
        self._out[name, number] = attempt
        self.fleet.sent(now, worker, (name, number), klass)
        self._actions.append(i.Send(name, worker))
        attempt.timers.append(self._set_timer(klass.aim, "aim", name, number))
        hedge = min(STALL * self.fleet.usual(klass), klass.aim / 2)
        if number + 1 < self._s.max_attempts and klass.effect != i.SIDE_EFFECT:
            attempt.timers.append(self._set_timer(hedge, "hedge", name, number))

    def _over(self, name: str) -> Pending | None:
        """Forget a request that has ended, and its timer: callers may drop timers that nothing waits for."""
        pending = self._pending.pop(name, None)
        if pending is not None:
            self._timers.pop(pending.timer, None)
        return pending

    def _set_timer(self, delay: float, kind: str, name: str, number: int) -> int:
        self._refs += 1
        self._timers[self._refs] = (kind, name, number)
        self._actions.append(i.SetTimer(max(0.0, delay), self._refs))
        return self._refs

    def _timer(self, now: float, kind: str, name: str, number: int) -> None:
        attempt, pending = self._out.get((name, number)), self._pending.get(name)
        if kind == "subscribe":
            self._actions.append(i.Subscribe())
        elif kind == "aim" and attempt is not None and not attempt.signalled:
            attempt.signalled = True
            self.fleet.given_up(now, (name, number))
            if attempt.klass.effect == i.SIDE_EFFECT or self.fleet.overtaken(attempt.worker, attempt.sent):
                self.fleet.silent(now, attempt.worker, attempt.klass)
            lost = self.fleet.loses(now, attempt.worker, attempt.klass)
            if not lost and not self.fleet.lossy():
                self.throttle.signal(now, attempt.worker, attempt.account.plan.name, attempt.sent)
        elif kind == "deadline" and pending is not None and not pending.streaming:
            self._end(pending)
        elif kind == "hedge" and attempt is not None and pending is not None and not pending.streaming:
            if self.fleet.overtaken(attempt.worker, attempt.sent):  # else it may be a queue or a pause
                self.fleet.silent(now, attempt.worker, attempt.klass)
            self._hedge(now, pending, number)

    def _hedge(self, now: float, pending: Pending, number: int) -> None:
        """A second chance for an attempt that is out well beyond the usual, while the back end isn't pressed.

        Guards against hung, slow, cut off and lost workers, before any time-out tells of them. Harm: work
        done twice; the retry budget bounds it, and control switches it off but where a worker loses answers.
        """
        if self.throttle.on and not self.fleet.loses(now, pending.attempts[number].worker, pending.klass):
            return
        if pending.deadline - now < self.fleet.usual(pending.klass):
            return
        if self._s.second_copies:
            self._again(now, pending)
        elif pending.klass.effect == i.PURE and self._s.can_cancel and self._budget >= 1:
            self._actions.append(i.Cancel(pending.request.request, number))  # its outcome sends it again

    def _started(self, now: float, name: str, number: int, took: float) -> None:
        pending, attempt = self._pending.get(name), self._out.get((name, number))
        if attempt is not None:
            self._late(now, attempt, took)
            attempt.signalled = True  # what follows is the stream's length, no sign of load
        if pending is not None:
            pending.streaming = True

    def _late(self, now: float, attempt: Attempt, took: float) -> None:
        if took > attempt.klass.aim and not attempt.signalled:
            self.throttle.signal(now, attempt.worker, attempt.account.plan.name, attempt.sent)

    def _outcome(self, now: float, event: i.Outcome) -> None:
        key = (event.request, event.attempt)
        attempt, pending = self._out.pop(key, None), self._pending.get(event.request)
        if attempt is None:
            return  # late or repeated news
        for ref in attempt.timers:
            self._timers.pop(ref, None)
        attempt.status = event.status
        attempt.account.out -= 1
        if event.used is not None:
            attempt.account.metered(now, event.used, self._s.meter_period)
        self.fleet.returned(now, attempt.worker, key, attempt.klass, event.status, event.took)
        if event.status in (i.FULL, i.TIMED_OUT):
            if not attempt.signalled and (event.status == i.FULL or not self.fleet.lossy()):
                self.throttle.signal(now, attempt.worker, attempt.account.plan.name, attempt.sent)
        else:
            self._late(now, attempt, event.took)
        if pending is None:
            return
        if event.status == i.SUCCESS and event.final_units and pending.inside and pending.account.plan.rate:
            pending.account.store += pending.request.units - event.final_units
        if event.terminal or event.status == i.SUCCESS:
            self._over(event.request)
            if self._s.can_cancel:
                for number, other in enumerate(pending.attempts):
                    if not other.status:
                        self._actions.append(i.Cancel(event.request, number))
        elif any(not other.status for other in pending.attempts):
            pass  # another copy is still out
        elif now >= pending.deadline - self._s.tick or not self._again(now, pending):
            self._end(pending)

    def _again(self, now: float, pending: Pending) -> bool:
        """Send a further attempt if effect, group, window, budget and bucket allow."""
        klass, zone, cell = pending.klass, None, None
        anchor = next((a for a in pending.attempts if a.status not in i.NEVER_RAN), None)
        if anchor is not None:
            if klass.effect == i.SIDE_EFFECT:
                return False
            if klass.effect == i.TOKEN:
                if now > anchor.sent + klass.window - self._s.tick:
                    return False
                zone = anchor.zone if klass.group == "zone" else None
                cell = anchor.cell if klass.group == "cell" else None
        if len(pending.attempts) >= self._s.max_attempts or self._budget < 1:
            return False
        worker = self.fleet.pick(now, klass, {a.worker for a in pending.attempts}, zone, cell)
        if worker is None or self.fleet.overdue(now, pending.account.room()) or not self.throttle.admit(now):
            return False
        self._budget -= 1
        self._send(now, pending, worker)
        return True

    def _end(self, pending: Pending) -> None:
        """The request's own end: a refusal while nothing can have run, else a failure."""
        name = pending.request.request
        if self._over(name) is None:
            return
        if all(a.status in i.NEVER_RAN for a in pending.attempts):
            self._refuse(name, pending.klass.aim)
        else:
            self._actions.append(i.Fail(name))
