"""Tests of the capacity estimate of a worker: with and without a queue, hung, recovered, without reports, and for
random reports."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micagate.planning import pace
from micagate.planning.messages import WorkerLoad
from micagate.planning.pace import Estimate

REPORT_INTERVAL = 0.1


class Worker:
    """A worker that serves `capacity` requests a second with latency `base_latency`; further requests queue."""

    def __init__(self, capacity=200.0, base_latency=1.0):
        self.capacity, self.base_latency, self.queued, self.now = capacity, base_latency, 0.0, 0.0
        self.estimate = Estimate(0.0)

    def send(self, rate, seconds):
        """Send `rate` requests a second for some seconds; return the estimate at the end."""
        for _ in range(round(seconds / REPORT_INTERVAL)):
            self.now += REPORT_INTERVAL
            self.queued += rate * REPORT_INTERVAL
            done = min(self.queued, self.capacity * REPORT_INTERVAL)
            self.queued -= done
            latency = self.base_latency * (1 + 10 * self.queued / self.capacity) if self.capacity else 0.0
            self.estimate.report(
                self.now, WorkerLoad("w", round(done), round(done) * latency, self.queued * REPORT_INTERVAL, 0, 0, 0)
            )
            self.estimate.decide(self.now)
        return self.estimate.capacity


def test_with_a_queue_the_estimate_follows_the_response_rate_less_the_drain():
    worker = Worker(capacity=200.0)
    worker.send(100.0, 2.0)
    assert 0.4 * 200 < worker.send(260.0, 3.0) < 1.05 * 200
    assert worker.estimate.shown(worker.now)["answers"] == pytest.approx(200, rel=0.1)


def test_without_a_queue_the_estimate_rises_to_a_bound_above_the_load():
    worker = Worker(capacity=1000.0)
    assert (
        100.0 < worker.send(100.0, 20.0) <= 100.0 / pace.MIN_UTILIZATION * math.exp(pace.FAST * REPORT_INTERVAL) * 1.05
    )


def test_constant_high_latency_is_not_taken_for_a_queue():
    assert Worker(capacity=1000.0, base_latency=8.0).send(100.0, 5.0) > 100.0


def test_the_estimate_falls_when_a_worker_slows_down_and_recovers_with_it():
    worker = Worker(capacity=400.0)
    before = worker.send(300.0, 5.0)
    worker.capacity = 60.0
    worker.send(300.0, 1.0)
    assert worker.send(60.0, 1.0) < 0.35 * before
    worker.capacity, worker.queued = 400.0, 0.0
    for _ in range(80):  # at 0.9 of the estimate
        worker.send(0.9 * worker.estimate.capacity, REPORT_INTERVAL)
    assert worker.estimate.capacity > 0.75 * before


def test_refused_and_missed_requests_show_a_queue_at_any_latency():
    for outcome in ("refused", "missed"):
        estimate = Estimate(0.0)
        for n in range(60):
            seen = {"answered": 10, "load": 10.0, "busy": 1.0, "refused": 0, "missed": 0, "failed": 0}
            estimate.report(n * REPORT_INTERVAL, WorkerLoad("w", **{**seen, outcome: 3 if n > 30 else 0}))
            estimate.decide(n * REPORT_INTERVAL)
        assert estimate.capacity < 1.1 * 100, outcome


def test_a_worker_that_never_responds_still_gets_a_few_requests():
    estimate = Estimate(0.0)
    for n in range(50):
        estimate.report(n * REPORT_INTERVAL, WorkerLoad("w", 0, 0.0, 20 * REPORT_INTERVAL, 0, 0, 0))
        estimate.decide(n * REPORT_INTERVAL)
    assert 0 < estimate.capacity <= 1.0
    worker = Worker(capacity=200.0)
    before = worker.send(150.0, 5.0)
    for _ in range(80):
        worker.now += REPORT_INTERVAL
        worker.estimate.report(worker.now, WorkerLoad("w", 0, 0.0, 20 * REPORT_INTERVAL, 0, 0, 0))
        worker.estimate.decide(worker.now)
    assert (
        0.3 * pace.MIN_FRACTION_OF_BEST * before < worker.estimate.capacity < 1.5 * pace.MIN_FRACTION_OF_BEST * before
    )


def test_capacity_is_unknown_without_recent_reports_or_with_too_few_responses():
    worker = Worker()
    assert worker.send(100.0, 2.0) > 0
    assert worker.estimate.decide(worker.now + pace.REPORT_TIMEOUT_SECONDS + 0.1) == 0.0
    estimate = Estimate(0.0)
    for n in range(20):
        estimate.report(float(n), WorkerLoad("w", 1, 1.0, 0.1, 0, 0, 0))
        assert estimate.decide(float(n)) == 0.0


def test_capacity_is_finite_after_responses_with_a_total_latency_of_zero_and_a_missed_request():
    """Guards against a division by zero in the drain fraction: one forwarder's report could make a planner raise."""
    estimate = Estimate(0.0)
    estimate.report(0.0, WorkerLoad("w", 8, 0.0, 0.0, 0, 1, 0))
    first = estimate.decide(0.0)
    estimate.report(0.0, WorkerLoad("w", 0, 0.0, 0.0, 0, 0, 0))
    for capacity in (first, estimate.decide(0.0), estimate.shown(0.0)["pace"]):
        assert math.isfinite(capacity) and capacity >= 0.0


COUNT = st.integers(0, 10**6)
AMOUNT = st.floats(0.0, 1e6)


SEEN = st.builds(WorkerLoad, st.just("w"), COUNT, AMOUNT, AMOUNT, COUNT, COUNT, COUNT)


@given(st.lists(st.tuples(st.floats(0.0, 5.0), SEEN), max_size=30))
def test_whatever_is_reported_the_pace_is_a_number_that_was_seen_or_little_more(reports):
    estimate, now, most = Estimate(0.0), 0.0, pace.LOWEST
    for passed, seen in reports:
        now += passed
        estimate.report(now, seen)
        told = estimate.decide(now)
        # Answers count over a tenth of a second at the least, and all reports so far may stand.
        most = max(most, sum(each.answered for _, each in reports) / 0.1) * math.exp(pace.FAST * passed)
        assert 0.0 <= told <= most and math.isfinite(told)
        assert all(math.isfinite(value) for value in estimate.shown(now).values())
