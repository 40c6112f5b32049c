"""Tracks the workers of a gateway and chooses one for each attempt.

`Fleet` follows the list of workers, judges their health from responses and timeouts, limits the attempts at workers
in slow start, and detects overload of the whole fleet. It does no I/O; the time is an argument of its methods, in
seconds on the caller's clock. `micagate/gateway.py` calls it, and `micagate/throttle.py` limits the request rate.

A worker is in slow start, with less than its full capacity, for some time after its start, and warm from then on. The
usual latency of a class is the moving average of its latency at all workers. One of many gateways sends to only a
subset of the workers (`micagate/worker_subset.py`).
"""

from __future__ import annotations

import math
from random import Random

from micagate import interface
from micagate.estimates.recent import USUAL_LATENCY_RATIO, RecentLatencies
from micagate.estimates.tails import LateAttempts
from micagate.resource_keys import worker_key
from micagate.shares import Shares
from micagate.worker import MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS, Worker
from micagate.worker_subset import MIN_FLEET_ATTEMPTS_PER_WORKER, WorkerSubset
from micagate.workload import Workload

LEARNING_RATE = 0.15  # weight of a new sample in the moving averages of latency and of lost responses
# A worker in another zone is chosen only if its expected wait is shorter than a local one's by this factor.
REMOTE_ZONE_PENALTY = 1.1
# In a fleet of more workers than SAMPLE_SIZE, a choice compares a sample of that size. If none of it can take the
# request, up to MAX_SAMPLES samples are drawn in all.
SAMPLE_SIZE, MAX_SAMPLES = 16, 3
LATENCY_RESOLUTION_SECONDS = 0.001  # of the event loop's clock: a shorter latency can be measured as 0
STALL_FACTOR = 4.0  # multiple of the usual latency after which an unanswered attempt counts as stalled
THROUGHPUT_WINDOW_SECONDS = 2.0  # time constant of the exponential average of the fleet's throughput
# Share of the latency objective: a request whose expected latency is above it is rejected as likely to be late, if
# the mean age of the attempts in flight is above `USUAL_LATENCY_RATIO` of the objective too.
MAX_EXPECTED_LATENCY_SHARE = 0.5
MIN_SAMPLES = 10.0  # attempts in flight or recently answered that Little's law needs for a usable estimate
# The same for a gateway that uses only a subset of the workers: there, several can be in flight by chance.
MIN_SAMPLES_IN_SUBSET = 30.0
# With many gateways, a worker in slow start may get this multiple of its estimated limit before the gateways take
# turns. It allows for what a warm worker can serve beyond the traffic that it gets now.
SLOW_START_HEADROOM = 1.5
# A worker put back in service gets its first request after this long even if its slow-start limit allows none.
RESTORED_WORKER_MAX_WAIT_SECONDS = 2.0
# A worker loses a class of requests if the share of its lost responses is above MIN_LOSS_RATE, and above
# MIN_LOSS_RATIO times the lowest such share of another worker.
MIN_LOSS_RATE, MIN_LOSS_RATIO = 0.3, 4.0


class Fleet:
    """The known workers: their health, limits during slow start, overload detection and selection."""

    def __init__(self, settings: interface.Settings, random: Random, now: float, shares: Shares) -> None:
        self._settings, self._random, self._shares = settings, random, shares
        self.workers: dict[str, Worker] = {}
        self.gateway_count = settings.gateways  # gateways that share the limit of a worker in slow start
        self.restored_at: dict[str, float] = {}  # by worker: when an operator put it back in service; until it responds
        self._usual_latencies: dict[str, float] = {}  # by class: moving average of the latency, in seconds
        # Decaying count of successful responses, and the time it is valid for.
        self._decayed_response_count, self._decayed_at = (0.0, now)
        # Attempts without a response that are within their latency objective: send time, objective and worker.
        self._awaiting_response: dict[tuple[str, int], tuple[float, float, Worker]] = {}
        self.usable_count, self.tails, self.recent = 0, LateAttempts(now), RecentLatencies(now)
        self.shortest_usual_latency = math.inf  # lowest value so far of the usual latency of the slowest class
        self._response_count = 0  # successful responses since the start
        self.reported_at = now  # time of the last demand report
        self.workload: Workload | None = None  # counted from the first demand query on
        self.subset = WorkerSubset(settings.number, settings.gateways)
        self._cached_candidates: tuple[float, list[Worker]] | None = None  # the last result and its time
        self._shortest_latency_objective = min(klass.aim for klass in settings.classes)

    def update(self, now: float, update: interface.WorkerList) -> None:
        """Apply a list of workers, whole or changes only.

        A draining or removed worker gets no further attempts. A worker with another start time has restarted: its
        health is reset, and its attempts in flight are kept.
        """
        if update.whole:
            listed_names = {entry.worker for entry in update.entries}
            for worker in [worker for name, worker in self.workers.items() if name not in listed_names]:
                self._stop_sending_to(worker)
        sizes = [listed.size for listed in update.entries if listed.size > 0] or [1.0]
        mean_size = sum(sizes) / len(sizes)
        for entry in update.entries:
            known = self.workers.get(entry.worker)
            if known is None or known.entry.started != entry.started:
                rank_source = self._random if self._settings.number is None else Random(entry.worker)
                new_worker = Worker(
                    entry,
                    mean_size / entry.size if update.whole and entry.size > 0 else 1.0,
                    now,
                    known.rank if known else rank_source.random(),
                )
                if known is not None:
                    new_worker.in_flight = known.in_flight
                    self._mark_unusable(known)
                self.workers[entry.worker] = known = new_worker
            known.entry = entry
            if entry.state != interface.HEALTHY:
                self._stop_sending_to(known)
            elif not known.usable:
                known.usable = True
                self.subset.add(known)
        self.usable_count = len(self.subset.ring)
        self._cached_candidates = None

    def _mark_unusable(self, worker: Worker) -> None:
        """Remove a worker from the ring of usable ones."""
        if worker.usable:
            worker.usable = False
            self.subset.remove(worker)

    def _stop_sending_to(self, worker: Worker) -> None:
        """Stop sending to a worker, and forget it unless it has attempts in flight."""
        self._mark_unusable(worker)
        if not worker.in_flight:
            del self.workers[worker.entry.worker]

    def usual_latency(self, klass: interface.RequestClass) -> float:
        """Return the average latency of a class in seconds; a tenth of its objective before the first response."""
        return self._usual_latencies.get(klass.name, klass.aim / 10)

    def _is_stalled(self, now: float, worker: Worker) -> bool:
        """Return whether a worker leaves its latest attempts unanswered for much longer than usual.

        It protects against workers that hang, pause, are partitioned or disappear without notice: each holds a
        bounded number of attempts, and any response ends the stall. Attempts sent before one that was answered
        don't count: the worker responds, and a single lost response would exclude it until the client's deadline.
        A stalled worker is probed now and then, with a backoff that doubles with each unanswered attempt.
        Trade-off: one unusually long request keeps other requests away from its worker for a while.
        """
        unanswered = [sent_at for sent_at in worker.in_flight.values() if sent_at > worker.latest_answered_sent_at]
        if not unanswered or now - max(unanswered[0], worker.last_response_at) <= self._stall_timeout(worker):
            return False
        backoff: float = MIN_BACKOFF_SECONDS * 2 ** min(len(unanswered) - 1, 10)
        return now - unanswered[-1] < min(MAX_BACKOFF_SECONDS, backoff)

    def _stall_timeout(self, worker: Worker) -> float:
        """Return how long a worker may leave an attempt unanswered before it counts as stalled, in seconds."""
        return (
            STALL_FACTOR
            * max(self._usual_latencies.values(), default=1.0)
            * max(1.0, min(2.0, worker.relative_latency))
        )

    def _outstanding_send_times(self, now: float, worker: Worker) -> list[float]:
        """Return the send times of the attempts that a worker still has to answer, without those probably lost.

        An attempt counts as lost once it is past its latency objective, or unanswered for unusually long although
        later ones were answered. Otherwise a lost response would count as load until its client's deadline.
        Trade-off: unusually long requests among short ones no longer count as load after a while.
        """
        if not worker.in_flight:
            return []
        return [
            sent_at
            for key, sent_at in worker.in_flight.items()
            if key in self._awaiting_response and not self._is_probably_lost(now, worker, sent_at)
        ]

    def _is_probably_lost(self, now: float, worker: Worker, sent_at: float) -> bool:
        """Return whether an attempt is unanswered for unusually long although later ones were answered."""
        return sent_at <= worker.latest_answered_sent_at and now - sent_at > self._stall_timeout(worker)

    def _is_healthy(self, now: float, worker: Worker) -> bool:
        """Return whether a worker is not stalled and not in backoff; after a backoff it gets one probe at a time."""
        if not worker.in_flight:
            return not worker.is_suspect() or now >= worker.backoff_until
        if worker.is_suspect() and (now < worker.backoff_until or self._outstanding_send_times(now, worker)):
            return False
        return not self._is_stalled(now, worker)

    def single_core_rate(self) -> float:
        """Return how many requests a second one core serves at the shortest latency known; 0 while none is known."""
        return 1.0 / max(self.shortest_usual_latency, LATENCY_RESOLUTION_SECONDS)

    def _is_within_slow_start_limit(self, now: float, worker: Worker) -> bool:
        """Return whether this gateway may send one more attempt to a worker, given the limit of its slow start.

        Within `fall_time` a worker completes capacity x fall_time attempts, so at most
        (overload_factor - 1) x capacity x fall_time may be in flight. A gateway estimates its share of the capacity
        from the rate at which a warm worker serves it, or from one core at the shortest latency known: under
        congestion the rate served says nothing about the capacity.
        """
        if (warm_up_factor := self.warm_up_factor(now, worker)) is None:
            return True
        divisor, _ = self._shares.divisors(now, worker_key(worker.entry.worker), self.gateway_count)
        if self.subset.is_partial and divisor == self.gateway_count:  # only gateways of its subsets send to it
            divisor = max(1.0, divisor * self.subset.overlap())
        cap = (
            (self._settings.overload_factor - 1)
            * warm_up_factor
            * self.warm_worker_rate(now)
            * self._settings.fall_time
        )
        single_core_cap = (
            (self._settings.overload_factor - 1)
            * warm_up_factor
            * self._settings.fall_time
            * self.single_core_rate()
            / divisor
        )
        if divisor > self.gateway_count:
            cap *= self.gateway_count / divisor  # part of the share is lent; a borrowed share only shortens the turns
        headroom = max(SLOW_START_HEADROOM * cap, MIN_FLEET_ATTEMPTS_PER_WORKER / divisor, single_core_cap)
        if headroom <= 0:
            return False  # the whole share is lent
        if headroom < 1:  # one attempt from each gateway is too much: they take turns at random
            turn_interval = self._settings.fall_time / headroom
            if worker.next_turn_at is None:
                worker.next_turn_at = now + turn_interval * self._random.random()
            elif worker.next_turn_at > now:  # the rest of the wait shortens as the worker warms up
                worker.next_turn_at = now + (worker.next_turn_at - now) * min(1.0, turn_interval / worker.turn_interval)
            worker.turn_interval = turn_interval
            if now < worker.next_turn_at:
                return False
        while worker.held_slots_until and worker.held_slots_until[0] <= now:
            worker.held_slots_until.popleft()
        return len(worker.in_flight) + len(worker.held_slots_until) < max(1, int(cap))

    def warm_worker_rate(self, now: float) -> float:
        """Return the rate at which one warm worker serves this gateway, in responses a second."""
        self._decay_throughput(now)
        return (
            self._decayed_response_count
            / THROUGHPUT_WINDOW_SECONDS
            / max(1, self.subset.eligible_count if self.subset.is_partial else self.usable_count)
        )

    def warm_up_factor(self, now: float, worker: Worker) -> float | None:
        """Return the share of its full capacity that a worker in slow start has; None for a warm worker."""
        started = worker.entry.started
        if started is None or now - started >= self._settings.slow_start_duration:
            return None
        return (
            self._settings.slow_start_min_factor
            + (1 - self._settings.slow_start_min_factor) * max(0.0, now - started) / self._settings.slow_start_duration
        )

    def _latency_factor(self, now: float, worker: Worker) -> float:
        """Return a worker's latency over the usual one, which scales its expected wait.

        In a subset each worker gets few requests, so two earlier signs count too: the age of its oldest attempt in
        flight, and the reduced capacity of slow start.
        """
        latency = worker.slowness(now)
        if self.subset.is_partial and (send_times := self._outstanding_send_times(now, worker)):
            latency = max(latency, (now - send_times[0]) / max(self._usual_latencies.values(), default=math.inf))
        return latency / (self.warm_up_factor(now, worker) or 1.0) if self.subset.is_partial else latency

    def _decay_throughput(self, now: float) -> None:
        """Decay the count of responses to the present."""
        self._decayed_response_count *= math.exp((self._decayed_at - now) / THROUGHPUT_WINDOW_SECONDS)
        self._decayed_at = now

    def _candidates(self, now: float) -> list[Worker]:
        """Return the workers to choose from, cached until the time or the state changes."""
        if self._cached_candidates is None or self._cached_candidates[0] != now:
            healthy_at = now if self.subset.is_partial else None
            self._cached_candidates = now, self._prefer_healthy(now, self._sample(self.subset.size, now=healthy_at))
        return self._cached_candidates[1]

    def _prefer_healthy(self, now: float, sampled: list[Worker]) -> list[Worker]:
        """Return the healthy workers, or all if fewer than half are healthy.

        If most look unhealthy the cause is overload, which the throttle handles.
        """
        healthy = [worker for worker in sampled if self._is_healthy(now, worker)]
        return healthy if 2 * len(healthy) >= len(sampled) else sampled

    def _sample(
        self, count: int, zone: str | None = None, cell: int | None = None, now: float | None = None
    ) -> list[Worker]:
        """Return usable workers to compare: all of a small fleet, a random sample of a large one.

        The sample is drawn from the first `count` workers of the subset; with `now`, from as many warm and healthy
        ones. `zone` and `cell` restrict it. It keeps the cost of a request independent of the size of the fleet.
        Its workers stand at a random distance on the ring: neighbours would always be compared with the same
        others, which favours those with slow neighbours. Trade-off: the best worker of all is often missed.
        """
        sample = self.subset.members(
            count,
            None
            if now is None
            else lambda worker: (self.warm_up_factor(now, worker) is None and self._is_healthy(now, worker)),
        )
        if zone is not None or cell is not None:
            sample = [
                worker for worker in sample if zone in (None, worker.entry.zone) and cell in (None, worker.entry.cell)
            ]
        elif count == self.usable_count <= SAMPLE_SIZE:
            sample = [worker for worker in self.workers.values() if worker.usable]
        if (available := len(sample)) > SAMPLE_SIZE:
            start, step = int(self._random.random() * available), 1 + int(self._random.random() * (available - 1))
            sample = list(dict.fromkeys(sample[(start + n * step) % available] for n in range(SAMPLE_SIZE)))
        return sample

    def is_overloaded(self, now: float, headroom: float, threshold_factor: float = 1.0) -> bool:
        """Return whether one more request would likely miss its latency objective; the gateway then rejects it.

        `headroom` lowers the probability of a rejection while there are few samples. `threshold_factor`, from 0 to
        1, lowers the threshold, so that low-value classes are rejected earlier.

        By Little's law, the attempts in flight over the rate of responses give the latency to expect. The mean age
        of the attempts must be high as well, since a burst on idle workers has many in flight before the first
        response. Attempts at stalled workers don't count, and one attempt at each worker (three of all gateways
        together) is always allowed, since otherwise rejections would lower the measured rate and so cause further
        rejections. All classes have one threshold, by the shortest objective: with thresholds of their own, the
        class with the longest objective would take all capacity.

        It detects overload that timeouts report too late: slowdowns of all workers, lost capacity, floods and
        retries. Trade-off: requests that take long by nature look like a backlog where objectives are tight.
        """
        self._decay_throughput(now)
        if self.has_few_samples():
            return self._rejection_probability(now) / (1 + headroom) > self._random.random()
        candidates = self._candidates(now)
        send_times = [self._outstanding_send_times(now, worker) for worker in candidates]
        in_flight = sum(map(len, send_times))
        # Responses of the sampled workers.
        responses = self._decayed_response_count * min(1.0, SAMPLE_SIZE / max(1, self.subset.size))
        if in_flight <= len(candidates) * min(1.0, MIN_FLEET_ATTEMPTS_PER_WORKER / self._settings.gateways):
            return False
        mean_age = now - sum(map(sum, send_times)) / in_flight
        return (
            mean_age > USUAL_LATENCY_RATIO * self._shortest_latency_objective
            and in_flight
            > threshold_factor
            * MAX_EXPECTED_LATENCY_SHARE
            * self._shortest_latency_objective
            * responses
            / THROUGHPUT_WINDOW_SECONDS
        )

    def has_few_samples(self) -> bool:
        """Return whether too few attempts are in flight or were answered lately to estimate a queue."""
        return len(self._awaiting_response) + self._decayed_response_count < (
            MIN_SAMPLES_IN_SUBSET if self.subset.is_partial else MIN_SAMPLES
        )

    def _rejection_probability(self, now: float) -> float:
        """Return the share of requests to reject by the recent latencies of all workers together.

        It replaces Little's law while there are few samples. 0 or less rejects none, 1 or more rejects all.
        """
        waiting = [
            (sent_at, aim)
            for sent_at, aim, worker in self._awaiting_response.values()
            if not self._is_probably_lost(now, worker, sent_at)
        ]
        return self.recent.refusal_share(
            now, waiting, self._shortest_latency_objective, self._response_count < MIN_SAMPLES, self.subset.is_partial
        )

    def pick(
        self,
        now: float,
        klass: interface.RequestClass,
        tried_workers: set[str],
        zone: str | None = None,
        cell: int | None = None,
    ) -> str | None:
        """Return the name of the worker with the shortest expected wait, or None if none may be sent to.

        `zone` and `cell` restrict the choice. With many gateways, one that used all workers would send to each too
        seldom to learn its latency, and all would prefer the same worker at once. So each gateway uses a subset of
        its own.
        """
        if self.restored_at and zone is None and cell is None and (name := self._pick_restored(now, tried_workers)):
            return name
        for sample_number in range(MAX_SAMPLES):
            if sample_number or zone is not None or cell is not None:
                candidates = self._prefer_healthy(now, self._sample(self.usable_count, zone, cell))
                if self.subset.is_partial:  # limits in slow start hold within subsets only
                    candidates = [worker for worker in candidates if self.warm_up_factor(now, worker) is None]
            else:
                candidates = self._candidates(now)
            eligible = [
                worker
                for worker in candidates
                if worker.entry.worker not in tried_workers and self._is_within_slow_start_limit(now, worker)
            ]
            if eligible:
                return self._pick_best(now, klass, eligible)
        return None

    def _pick_restored(self, now: float, tried_workers: set[str]) -> str | None:
        """Return the name of a worker put back in service that has not responded since; None if there is none to use.

        Such a worker could stay unused in a large fleet or during overload, since others look better. It gets one
        request at a time, within its slow-start limit, and after `RESTORED_WORKER_MAX_WAIT_SECONDS` beyond it.
        """
        for name, restored_at in list(self.restored_at.items()):
            worker = self.workers.get(name)
            if worker is None or not worker.usable or now - restored_at > 10 * RESTORED_WORKER_MAX_WAIT_SECONDS:
                del self.restored_at[name]
            elif (
                name not in tried_workers
                and not self._outstanding_send_times(now, worker)
                and self._is_healthy(now, worker)
                and (
                    self._is_within_slow_start_limit(now, worker)
                    or now - restored_at > RESTORED_WORKER_MAX_WAIT_SECONDS
                )
            ):
                return name
        return None

    def _pick_best(self, now: float, klass: interface.RequestClass, eligible: list[Worker]) -> str:
        """Return the name of the worker with the shortest expected wait.

        The wait includes the cost of a lost response: the time until it is noticed if the request may be sent
        again, the whole latency objective if not. So a worker or network path that loses requests or responses gets
        mainly requests that may be sent again, and all kinds only while the other workers are busy. Trade-off: a
        few random losses make the load uneven for seconds.
        """
        must_run_once = klass.effect == interface.SIDE_EFFECT
        loss_cost = (
            max(STALL_FACTOR, klass.aim / max(self.usual_latency(klass), 1e-6)) if must_run_once else STALL_FACTOR
        )
        waits = self._waits_by_capacity(now, klass, eligible) if self._shares.worker_capacities else None
        waits = waits or [
            self._latency_factor(now, worker)
            * (1 + len(self._outstanding_send_times(now, worker)))
            * self._zone_factor(worker)
            for worker in eligible
        ]
        return min(
            zip(waits, eligible, strict=True),
            key=lambda choice: (choice[0] + loss_cost * choice[1].loss_rate(now, klass.name))
            * (1.0 + 0.1 * self._random.random()),
        )[1].entry.worker

    def _zone_factor(self, worker: Worker) -> float:
        """Return the factor of a worker's expected wait: above 1 in another zone."""
        return 1.0 if worker.entry.zone == self._settings.zone else REMOTE_ZONE_PENALTY

    def _waits_by_capacity(
        self, now: float, klass: interface.RequestClass, eligible: list[Worker]
    ) -> list[float] | None:
        """Return the expected wait at each worker, over the usual latency, by its capacity as planners report it.

        None unless the capacity of every worker is known. By Little's law, the attempts in flight over this
        gateway's share of the capacity give the wait, and the shares of all gateways add up to the capacity. So
        each gateway sends in proportion to the capacities, and its share accounts for the use by others. Without
        it, each of many gateways learns late which workers are slow or small. Trade-off: differences of latency
        that no queue causes have no influence.
        """
        waits = []
        for worker in eligible:
            key = worker_key(worker.entry.worker)
            if not (capacity := self._shares.worker_capacity(now, key)):
                return None
            divisor, _ = self._shares.divisors(now, key, self._settings.gateways)
            in_flight = 1.0 / self._settings.gateways + len(self._outstanding_send_times(now, worker))
            waits.append(
                self._zone_factor(worker) * in_flight * divisor / capacity / max(self.usual_latency(klass), 1e-6)
            )
        return waits

    def record_no_response(self, now: float, name: str, klass: interface.RequestClass, lost: bool = True) -> None:
        """Record that a worker did not answer an attempt, or, with `lost` false, that it did.

        Loss is tracked by class, since a worker may serve one class well and lose another.
        """
        worker = self.workers.get(name)
        if worker is not None and (lost or klass.name in worker.loss_rates):
            worker.record_loss(now, klass.name, lost, LEARNING_RATE)

    def record_sent(self, now: float, name: str, key: tuple[str, int], klass: interface.RequestClass) -> None:
        """Record that an attempt was sent to a worker."""
        worker, self._cached_candidates = self.workers[name], None
        if self.workload is not None:
            self.workload.record_sent(now, name, len(worker.in_flight))
        worker.in_flight[key] = now
        self._awaiting_response[key] = (now, klass.aim, worker)
        if worker.next_turn_at is not None:
            worker.next_turn_at = now + worker.turn_interval * (0.5 + self._random.random())

    def record_overdue(self, now: float, key: tuple[str, int]) -> None:
        """Record that an attempt is past its latency objective: it may be lost and no longer counts as load."""
        self._cached_candidates = None
        if (waiting := self._awaiting_response.pop(key, None)) is not None:
            self.recent.record_missed(now, waiting[1])

    def record_response_start(self, now: float, name: str, key: tuple[str, int]) -> None:
        """Record that a response has begun: the worker is alive, and the attempt waits in its queue no longer."""
        self._cached_candidates = None
        waiting = self._awaiting_response.pop(key, None)
        if waiting is not None and key in waiting[2].in_flight:
            waiting[2].last_response_at, waiting[2].latest_answered_sent_at = (
                now,
                max(waiting[2].latest_answered_sent_at, waiting[0]),
            )

    def has_answered_later(self, name: str, sent_at: float) -> bool:
        """Return whether a worker has answered an attempt that was sent at `sent_at` or later."""
        return (worker := self.workers.get(name)) is not None and sent_at <= worker.latest_answered_sent_at

    def loses_class(self, now: float, name: str, klass: interface.RequestClass) -> bool:
        """Return whether a worker loses much of a class while another loses little.

        Its timeouts then indicate lost responses, not load. Otherwise a lossy network path or a failing worker
        would lower the rate of the whole fleet, and the throttle would reject the retries of the lost requests.
        Trade-off: a single overloaded worker is no longer detected by timeouts, only by late responses and by
        rejections.
        """
        if (worker := self.workers.get(name)) is None:
            return False
        lowest_loss_rate = min(
            (other.loss_rate(now, klass.name) for other in self._sample(self.usable_count)), default=0.0
        )
        return worker.loss_rate(now, klass.name) > max(MIN_LOSS_RATE, MIN_LOSS_RATIO * lowest_loss_rate)

    def record_outcome(
        self, now: float, name: str, key: tuple[str, int], klass: interface.RequestClass, status: str, latency: float
    ) -> None:
        """Record the outcome of an attempt; `latency` in seconds. Also called for attempts whose request has ended."""
        self._awaiting_response.pop(key, None)
        self._cached_candidates = None
        worker = self.workers.get(name)
        sent_at = worker.in_flight.pop(key, None) if worker is not None else None
        if worker is None or sent_at is None:
            return
        if not worker.usable:
            self._stop_sending_to(worker)
        if self.workload is not None:
            self.workload.record_ended(
                now, name, len(worker.in_flight) + 1, klass.name, self.usual_latency(klass), status, latency
            )
        if status == interface.OVERLOADED and self.subset.is_partial:
            worker.record_overload(now)
        if status in (interface.TIMED_OUT, interface.OVERLOADED, interface.UNREACHABLE):
            worker.held_slots_until.append(now + self._settings.fall_time)
        if status in (interface.CANCELLED, interface.NOT_SENT):
            return
        if status != interface.UNREACHABLE:
            self.restored_at.pop(name, None)
        if status in (interface.SUCCESS, interface.OVERLOADED, interface.FAILURE, interface.MALFORMED_RESPONSE):
            worker.last_response_at, worker.latest_answered_sent_at = now, max(worker.latest_answered_sent_at, sent_at)
            self.record_no_response(now, name, klass, lost=False)
        elif status == interface.CONNECTION_RESET:
            self.record_no_response(now, name, klass)
        if status == interface.SUCCESS:
            self._decay_throughput(now)
            self._decayed_response_count += 1
            usual_latency = self._usual_latencies.setdefault(klass.name, latency)
            self.recent.record_response(now, latency, klass.aim)
            worker.relative_latency = worker.slowness(now)
            worker.response_count += 1
            # In a subset the first few responses weigh more, since each worker gets few requests.
            learning_rate = (
                max(LEARNING_RATE, 1 / (1 + worker.response_count)) if self.subset.is_partial else LEARNING_RATE
            )
            worker.relative_latency += learning_rate * (
                min(10.0, latency / max(usual_latency, 1e-6)) - worker.relative_latency
            )
            worker.latency_updated_at, worker.consecutive_failures, worker.consecutive_overloads = now, 0, 0
            self._usual_latencies[klass.name] = usual_latency + LEARNING_RATE / 3 * (latency - usual_latency)
            self._response_count += 1
            if self._response_count >= MIN_SAMPLES:
                self.shortest_usual_latency = min(self.shortest_usual_latency, max(self._usual_latencies.values()))
        elif status not in (interface.OVERLOADED, interface.MALFORMED_RESPONSE):  # neither says that it is unhealthy
            # A worker that fails fast looks idle and attracts more requests, so it backs off at once. A gateway with
            # a subset sends to each worker too seldom to wait for several failures in a row.
            immediate = (
                status in (interface.UNREACHABLE, interface.CONNECTION_RESET)
                or self.subset.is_partial
                and status == interface.FAILURE
            )
            worker.record_failure(now, immediate, self.subset.is_partial)
