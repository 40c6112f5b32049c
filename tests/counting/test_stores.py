"""A customer's token bucket as a single number on a counter that can only add."""

from random import Random

import pytest

from micagate import interface
from micagate.accounts import Account
from micagate.counting.counting import QuotaCounter
from micagate.counting.stores import COUNTER_TTL_SECONDS, EPOCH_SECONDS, epoch_at, evaluate_total
from rig import schedules
from rig.counting import CounterService
from rig.schedules import simulate_ceiling_overspend

PLAN = interface.Plan("team", rate=1.0, burst=4.0, excess_cost=1.0)
SETTINGS = interface.Settings((interface.RequestClass("read", aim=0.4, deadline=1.0),), (PLAN,), counter_timeout=0.03)


def make_counting(settings: interface.Settings) -> QuotaCounter:
    return QuotaCounter(settings, 0.0, 0.0, Random(1))


class Shared:
    """Some gateways and the counter that they share; calls stay unanswered until `answer_all`."""

    def __init__(self, gateways: int = 2, plan: interface.Plan = PLAN) -> None:
        self.service = CounterService()
        self.clients = [make_counting(SETTINGS) for _ in range(gateways)]
        self.accounts = [Account(plan, "c/team/x", 30, 0.0, 0.0) for _ in range(gateways)]
        self.unanswered: list[tuple[int, interface.CounterAdd]] = []

    def ask(self, number: int, now: float, units: float = 1.0) -> None:
        self.clients[number].count(now, self.accounts[number], units, "r")
        self.unanswered += [(number, call) for call in self.clients[number].actions]
        self.clients[number].actions.clear()

    def answer_all(self, now: float) -> list[bool | None]:
        """Answer all calls in order, including those that result from the answers."""
        verdicts = []
        while self.unanswered:
            number, call = self.unanswered.pop(0)
            total = self.service.add(now, str(call.name), call.amount, call.ttl)
            verdict = self.clients[number].record_result(
                now, interface.CounterResult(call.name, interface.SUCCESS, total)
            )
            self.unanswered += [(number, more) for more in self.clients[number].actions]
            self.clients[number].actions.clear()
            if verdict is not None:
                verdicts.append(verdict.within_quota)
        return verdicts

    def send(self, number: int, now: float, units: float = 1.0) -> bool:
        self.ask(number, now, units)
        return self.answer_all(now)[0] is True


def test_all_gateways_together_send_the_burst_and_then_the_rate():
    shared, sent = Shared(7), 0
    sent = sum(shared.send(n % 7, 10.0 + n * 0.1) for n in range(200))
    assert 22 <= sent <= 24  # a burst of 4 and 20 seconds at 1
    refused = [n for n in range(7) if shared.accounts[n].ceiling_full_until > 29.0]
    assert len(refused) == 7  # each knows until when the bucket is empty and makes no call


def test_excess_requests_are_refunded():
    shared = Shared()
    assert [shared.send(0, 10.0) for _ in range(30)].count(True) == 4
    assert shared.send(1, 11.01) and not shared.send(1, 11.02)


def test_an_idle_bucket_fills_up_to_its_capacity():
    shared = Shared()
    assert shared.send(0, 1.0)
    sent = sum(shared.send(n % 2, 20.0) for n in range(20))
    assert sent == 4


def test_concurrent_corrections_of_an_idle_number_apply_once():
    shared = Shared()
    shared.ask(0, 20.0)
    shared.ask(1, 20.0)  # both find the number behind before either correction is visible
    assert shared.answer_all(20.0) == [True, True]
    assert sum(shared.send(n % 2, 20.0) for n in range(20)) == 2  # the burst less the two requests above


def test_a_timeout_gives_no_verdict_and_results_match_calls_in_order():
    shared = Shared()
    shared.ask(0, 1.0)
    shared.ask(0, 1.0)
    (_, first), (_, second) = shared.unanswered
    assert first.name == second.name
    assert (
        shared.clients[0].record_result(1.0, interface.CounterResult(first.name, interface.TIMED_OUT)).within_quota
        is None
    )
    assert (
        shared.clients[0]
        .record_result(1.0, interface.CounterResult(second.name, interface.SUCCESS, second.amount * 2))
        .within_quota
        is True
    )
    assert (
        shared.clients[0].record_result(1.0, interface.CounterResult(second.name, interface.SUCCESS, 1.0)) is None
    )  # belongs to no call


def test_epochs_are_shorter_than_the_counter_ttl_and_start_at_different_times():
    assert EPOCH_SECONDS < COUNTER_TTL_SECONDS <= 60.0
    begins = {epoch_at(1000.0, 5.0, f"c/team/{n}").started_at for n in range(50)}
    assert len(begins) > 40 and all(1000.0 - EPOCH_SECONDS <= begin <= 1000.0 for begin in begins)
    one = epoch_at(1000.0, 5.0, "c/team/1")
    other = epoch_at(1000.0 + 7.0, 5.0 - 7.0, "c/team/1")  # another gateway's clock, the same instant
    assert other.name == one.name and other.started_at - one.started_at == pytest.approx(7.0)
    assert epoch_at(1000.0 + EPOCH_SECONDS, 5.0, "c/team/1").name != one.name


@pytest.mark.parametrize(
    ("total", "excess", "lag"), [(1.0, -3.0, 5.0), (6.0, -3.0, 0.0), (9.0, 0.0, -3.0), (9.5, 0.5, -3.5)]
)
def test_total_gives_the_excess_and_the_lag(total, excess, lag):
    assert evaluate_total(total - 1.0, 1.0, 5.0, 4.0) == pytest.approx((excess, lag), abs=0.01)


def test_counts_only_thin_shares_and_nothing_without_a_counter():
    thin, large = (Account(PLAN, "c/team/x", spread, 0.0, 0.0) for spread in (30, 2))
    counter = make_counting(SETTINGS)
    counter.budget.max_level = 1.0
    assert counter.should_count(0.0, thin) and not counter.should_count(0.0, large)
    without = interface.Settings(SETTINGS.classes, SETTINGS.plans)
    assert not make_counting(without).should_count(0.0, thin)


PLAN_WITH_CONCURRENCY_LIMIT = interface.Plan("team", rate=1.0, burst=50.0, concurrency_limit=2.0, excess_cost=1.0)


def test_enforces_the_concurrency_limit_and_frees_slots():
    shared = Shared(3, PLAN_WITH_CONCURRENCY_LIMIT)
    shared.ask(0, 1.0)
    call = shared.clients[0]._in_flight[shared.unanswered[0][1].name][0]
    assert shared.answer_all(1.0) == [True]
    assert [shared.send(n, 1.0) for n in (1, 2, 0)] == [True, False, False]
    shared.clients[0].release_slot(call)
    shared.unanswered += [(0, more) for more in shared.clients[0].actions]
    shared.clients[0].actions.clear()
    shared.answer_all(1.1)
    assert [shared.send(n, 1.2) for n in (2, 1)] == [True, False]


def test_slots_of_a_crashed_gateway_are_freed_after_the_longest_deadline():
    shared = Shared(2, PLAN_WITH_CONCURRENCY_LIMIT)
    assert [shared.send(0, 21.0 + n) for n in (0, 0, 0)] == [True, True, False]
    begin = epoch_at(21.0, 0.0, "c/team/x").started_at
    assert not shared.send(1, 22.0)
    # Only with a small burst does the number lag by more than half of the burst plus the longest deadline.
    epoch_end = begin + EPOCH_SECONDS - 0.1
    small_burst = Shared(2, interface.Plan("team", rate=1.0, burst=4.0, concurrency_limit=2.0, excess_cost=1.0))
    assert [small_burst.send(0, begin + 6.0) for _ in range(3)] == [True, True, False]
    assert small_burst.send(1, min(epoch_end, begin + 14.0))


def test_slots_released_on_a_reset_counter_do_not_raise_the_limit():
    shared = Shared(2, PLAN_WITH_CONCURRENCY_LIMIT)
    calls = []
    for n in range(2):
        shared.ask(n, 1.0)
        calls.append(shared.clients[n]._in_flight[shared.unanswered[0][1].name][0])
        assert shared.answer_all(1.0) == [True]
    shared.service.drop_keys()
    for n, call in enumerate(calls):
        shared.clients[n].release_slot(call)
        shared.unanswered += [(n, more) for more in shared.clients[n].actions]
        shared.clients[n].actions.clear()
    shared.answer_all(1.1)
    assert [shared.send(n % 2, 1.2) for n in range(4)].count(True) == 2


def test_refunds_a_late_count_unless_its_request_was_sent():
    for sent, back in ((False, 1), (True, 0)):
        shared = Shared(1)
        shared.ask(0, 1.0)
        (_, call), one = shared.unanswered.pop(), shared.clients[0]
        verdict = one.record_result(1.03, interface.CounterResult(call.name, interface.TIMED_OUT, 0.0, 0.03))
        assert verdict.within_quota is None
        verdict.call.sent = sent
        assert one.record_result(1.2, interface.CounterResult(call.name, interface.LATE_RESPONSE, 1.0, 0.2)) is None
        assert [more.amount for more in one.actions] == [-call.amount] * back


PLAN_WITH_CEILING = interface.Plan(
    "team", rate=2.0, burst=4.0, excess_cost=1.0, ceiling_rate=4.0, ceiling_capacity=8.0, ceiling_slack=0.8
)


def test_does_not_count_under_a_ceiling_without_room_for_a_counter_reset():
    for plan, counted in (
        (PLAN_WITH_CEILING, True),
        (interface.Plan("team", 2.0, 4.0, 0.0, 4.0, 7.0, 0.8, 0.0, 1.0), False),
        (interface.Plan("team", 2.0, 4.0, 0.0, 3.9, 8.0, 0.8, 0.0, 1.0), False),
    ):
        created = make_counting(interface.Settings(SETTINGS.classes, (plan,), counter_timeout=0.03))
        assert (plan.name in created.ranks) is counted


@pytest.mark.parametrize("gateways", [4, 7, 30])
def test_keeps_ceilings_despite_counter_resets_and_timeouts(gateways):
    assert max(simulate_ceiling_overspend(seed, gateways) for seed in range(60)) <= schedules.CEILING_PLAN.ceiling_slack


def test_exceeds_the_ceiling_if_requests_are_sent_before_they_are_counted():
    assert (
        min(simulate_ceiling_overspend(seed, 7, count_before_sending=False) for seed in range(5))
        > schedules.CEILING_PLAN.ceiling_slack
    )
