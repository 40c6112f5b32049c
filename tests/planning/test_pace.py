"""What planners learn of workers: under a queue, with none, hung, recovered, silent, and whatever is reported."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micagate.planning import pace
from micagate.planning.messages import WorkerLoad
from micagate.planning.pace import Estimate

EVERY = 0.1


class Worker:
    """A worker that can do `able` a second, of which each takes `least` alone; what is more waits."""

    def __init__(self, able=200.0, least=1.0):
        self.able, self.least, self.waiting, self.now = able, least, 0.0, 0.0
        self.estimate = Estimate(0.0)

    def ask(self, rate, seconds):
        """Ask so many a second; the estimate at the end."""
        for _ in range(round(seconds / EVERY)):
            self.now += EVERY
            self.waiting += rate * EVERY
            done = min(self.waiting, self.able * EVERY)
            self.waiting -= done
            slow = self.least * (1 + 10 * self.waiting / self.able) if self.able else 0.0
            self.estimate.report(
                self.now, WorkerLoad("w", round(done), round(done) * slow, self.waiting * EVERY, 0, 0, 0)
            )
            self.estimate.decide(self.now)
        return self.estimate.pace


def test_a_worker_with_a_queue_is_known_by_what_it_answers_less_what_drains_the_queue():
    worker = Worker(able=200.0)
    worker.ask(100.0, 2.0)
    assert 0.4 * 200 < worker.ask(260.0, 3.0) < 1.05 * 200
    assert worker.estimate.shown(worker.now)["answers"] == pytest.approx(200, rel=0.1)


def test_a_worker_with_none_is_thought_able_of_more_and_of_no_more_than_that():
    worker = Worker(able=1000.0)
    assert 100.0 < worker.ask(100.0, 20.0) <= 100.0 / pace.USED * math.exp(pace.FAST * EVERY) * 1.05


def test_a_worker_that_is_slow_by_nature_has_no_queue_for_that():
    assert Worker(able=1000.0, least=8.0).ask(100.0, 5.0) > 100.0


def test_a_worker_that_slows_is_held_to_less_at_once_and_comes_back():
    worker = Worker(able=400.0)
    before = worker.ask(300.0, 5.0)
    worker.able = 60.0
    worker.ask(300.0, 1.0)
    assert worker.ask(60.0, 1.0) < 0.35 * before
    worker.able, worker.waiting = 400.0, 0.0
    for _ in range(80):  # it is asked what it is thought to do
        worker.ask(0.9 * worker.estimate.pace, EVERY)
    assert worker.estimate.pace > 0.75 * before


def test_refusals_and_misses_tell_of_a_queue_whatever_the_answer_times():
    for what in ("refused", "missed"):
        estimate = Estimate(0.0)
        for n in range(60):
            seen = {"answered": 10, "load": 10.0, "busy": 1.0, "refused": 0, "missed": 0, "failed": 0}
            estimate.report(n * EVERY, WorkerLoad("w", **{**seen, what: 3 if n > 30 else 0}))
            estimate.decide(n * EVERY)
        assert estimate.pace < 1.1 * 100, what


def test_one_that_holds_much_and_answers_nothing_is_tried_with_little_but_tried():
    estimate = Estimate(0.0)
    for n in range(50):
        estimate.report(n * EVERY, WorkerLoad("w", 0, 0.0, 20 * EVERY, 0, 0, 0))
        estimate.decide(n * EVERY)
    assert 0 < estimate.pace <= 1.0
    worker = Worker(able=200.0)
    before = worker.ask(150.0, 5.0)
    for _ in range(80):
        worker.now += EVERY
        worker.estimate.report(worker.now, WorkerLoad("w", 0, 0.0, 20 * EVERY, 0, 0, 0))
        worker.estimate.decide(worker.now)
    assert 0.3 * pace.TRIED * before < worker.estimate.pace < 1.5 * pace.TRIED * before


def test_what_is_not_heard_of_for_long_is_not_known_and_too_little_tells_nothing():
    worker = Worker()
    assert worker.ask(100.0, 2.0) > 0
    assert worker.estimate.decide(worker.now + pace.SILENT + 0.1) == 0.0
    estimate = Estimate(0.0)
    for n in range(20):
        estimate.report(float(n), WorkerLoad("w", 1, 1.0, 0.1, 0, 0, 0))
        assert estimate.decide(float(n)) == 0.0


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
