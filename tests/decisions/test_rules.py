"""The five rules, each on the module alone."""

from micagate import interface
from rig.driver import Driver, sends, workers


def test_nothing_lost_at_the_deadline():
    d = Driver()
    name, actions = d.ask()
    assert len(sends(actions)) == 1
    ends = [a for a in d.pass_time(5) if isinstance(a, interface.Fail | interface.Refuse)]
    assert ends == [interface.Fail(name)]
    assert d.answer(name, "w0", interface.TIMED_OUT, attempt=0) == []  # late news does no harm


def test_the_deadlines_own_time_out_is_answered():
    d = Driver(max_attempts=1)
    name, actions = d.ask()
    assert d.answer(name, sends(actions)[0], interface.TIMED_OUT, after=4.0, took=4.0) == [interface.Fail(name)]


def test_abandoned_requests_get_nothing_more():
    d = Driver()
    name, actions = d.ask()
    d.give(interface.ClientDisconnected(name))
    assert d.answer(name, sends(actions)[0], interface.UNREACHABLE) == []
    assert d.pass_time(5) == []


def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated():
    for status in (interface.FAILURE, interface.CONNECTION_RESET, interface.TIMED_OUT, interface.CANCELLED):
        d = Driver()
        name, actions = d.ask("write")
        assert d.answer(name, sends(actions)[0], status) == [interface.Fail(name)]


def test_an_unsafe_request_that_never_ran_goes_elsewhere():
    for status in (interface.OVERLOADED, interface.UNREACHABLE):
        d = Driver()
        name, actions = d.ask("write")
        first = sends(actions)[0]
        again = sends(d.answer(name, first, status))
        assert len(again) == 1 and again[0] != first


def test_an_unsafe_request_has_no_second_copy():
    d = Driver()
    d.ask("write")
    assert sends(d.pass_time(3.9)) == []


def test_a_keyed_request_stays_with_its_group_and_window():
    d = Driver()
    name, actions = d.ask("keyed")
    first = sends(actions)[0]
    zone = {w: "abc"[int(w[1]) % 3] for w in (f"w{n}" for n in range(6))}
    again = sends(d.answer(name, first, interface.FAILURE, after=1.0))
    assert len(again) == 1 and zone[again[0]] == zone[first]
    late = Driver()
    name, actions = late.ask("keyed")
    assert late.answer(name, sends(actions)[0], interface.FAILURE, after=2.0) == [interface.Fail(name)]


def test_drains_are_kept_at_once_for_first_and_further_attempts():
    d = Driver(2)
    d.give(interface.WorkerList((interface.WorkerEntry("w0", zone="a", state=interface.DRAINING),)))
    for _ in range(6):
        name, actions = d.ask()
        assert sends(actions) == ["w1"]
        assert sends(d.answer(name, "w1", interface.UNREACHABLE)) == []
    d = Driver(2)
    d.give(interface.WorkerList((interface.WorkerEntry("w1", zone="b"),), whole=True))  # w0 is gone
    assert {w for _ in range(3) for w in sends(d.ask()[1])} == {"w1"}


def test_no_worker_at_all_is_a_refusal():
    d = Driver(1)
    d.give(interface.WorkerList((interface.WorkerEntry("w0", state=interface.REMOVED),)))
    name, actions = d.ask()
    assert len(actions) == 1 and isinstance(actions[0], interface.Refuse)


def test_a_cold_worker_gets_one_at_a_time_and_more_as_it_warms():
    d = Driver(0)
    d.give(workers(1, started=0.0))
    name, actions = d.ask(after=0.1)
    assert sends(actions) == ["w0"]
    assert sends(d.ask()[1]) == []
    d.answer(name, "w0")
    d.now = 10.1  # warm
    assert sum(len(sends(d.ask()[1])) for _ in range(5)) == 5


def test_a_time_out_keeps_its_place_at_a_cold_worker_for_a_while():
    d = Driver(0, max_attempts=1)
    d.give(workers(1, started=0.0))
    name, _ = d.ask(after=0.1)
    d.answer(name, "w0", interface.TIMED_OUT, after=0.1)
    assert sends(d.ask()[1]) == []
    assert sends(d.ask(after=1.1)[1]) == ["w0"]


def test_the_ceiling_holds_each_gateways_share_and_starts_empty():
    d = Driver()
    sent, end = 0.0, 20.0
    while d.now < end:
        name, actions = d.ask(plan="capped", units=2.0, after=0.05)
        if sends(actions):
            sent += 2.0
            d.answer(name, sends(actions)[0])
        assert sent <= 6.0 / 3 * d.now + 1e-6  # a third of the ceiling's rate, nothing at birth
    assert sent > 20  # and it is used


def test_refused_customers_are_told_that_a_retry_is_harmless_only_while_nothing_ran():
    d = Driver(1, max_attempts=1)
    name, _ = d.ask("write")
    (end,) = d.answer(name, "w0", interface.UNREACHABLE)
    assert isinstance(end, interface.Refuse) and 0 < end.retry_after <= 0.2


def test_advice_leaves_room_for_tries_before_the_aim():
    d = Driver(0)
    waits = [action.retry_after for _ in range(50) for action in d.ask()[1] if isinstance(action, interface.Refuse)]
    assert len(waits) == 50 and min(waits) >= 0.1 and max(waits) <= 0.2  # the aim is 1 s


def test_gateways_take_turns_at_a_cold_worker_where_one_each_would_be_too_much():
    sent = []
    for seed in range(11):
        d = Driver(0, gateways=11)
        d.gateway.fleet._random.seed(seed)
        d.give(workers(1, started=0.0))
        for _ in range(60):
            name, actions = d.ask(after=0.1)
            if sends(actions):
                sent.append(d.now)
                d.answer(name, "w0", after=0.001)
    for start in range(6):  # answers take 0.1 s: a core does ten a second when warm, a fifth of that at first
        could = 10 * (0.2 + 0.08 * (start + 1))
        assert 0 < sum(start <= at < start + 1 for at in sent) <= 2 * could
