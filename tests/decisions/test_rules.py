"""Rules that the gateway's decisions must keep: final responses, retries, drains, slow start and ceilings."""

from micagate import interface
from rig.driver import Driver, sends, workers


def test_a_request_ends_at_its_deadline():
    driver = Driver()
    name, actions = driver.send_request()
    assert len(sends(actions)) == 1
    ends = [action for action in driver.pass_time(5) if isinstance(action, interface.Fail | interface.Refuse)]
    assert ends == [interface.Fail(name)]
    assert driver.answer(name, "w0", interface.TIMED_OUT, attempt=0) == []  # a late outcome is ignored


def test_a_timeout_at_the_deadline_fails_the_request():
    driver = Driver(max_attempts=1)
    name, actions = driver.send_request()
    assert driver.answer(name, sends(actions)[0], interface.TIMED_OUT, after=4.0, took=4.0) == [interface.Fail(name)]


def test_nothing_is_sent_for_a_request_whose_client_disconnected():
    driver = Driver()
    name, actions = driver.send_request()
    driver.give(interface.ClientDisconnected(name))
    assert driver.answer(name, sends(actions)[0], interface.UNREACHABLE) == []
    assert driver.pass_time(5) == []


def test_a_request_with_side_effects_that_may_have_executed_fails_without_a_retry():
    for status in (interface.FAILURE, interface.CONNECTION_RESET, interface.TIMED_OUT, interface.CANCELLED):
        driver = Driver()
        name, actions = driver.send_request("write")
        assert driver.answer(name, sends(actions)[0], status) == [interface.Fail(name)]


def test_a_request_with_side_effects_that_did_not_execute_is_retried_elsewhere():
    for status in (interface.OVERLOADED, interface.UNREACHABLE):
        driver = Driver()
        name, actions = driver.send_request("write")
        first = sends(actions)[0]
        again = sends(driver.answer(name, first, status))
        assert len(again) == 1 and again[0] != first


def test_a_request_with_side_effects_is_not_hedged():
    driver = Driver()
    driver.send_request("write")
    assert sends(driver.pass_time(3.9)) == []


def test_retries_of_a_request_with_a_token_stay_within_group_and_window():
    driver = Driver()
    name, actions = driver.send_request("keyed")
    first = sends(actions)[0]
    zone = {w: "abc"[int(w[1]) % 3] for w in (f"w{n}" for n in range(6))}
    again = sends(driver.answer(name, first, interface.FAILURE, after=1.0))
    assert len(again) == 1 and zone[again[0]] == zone[first]
    late_driver = Driver()
    name, actions = late_driver.send_request("keyed")
    assert late_driver.answer(name, sends(actions)[0], interface.FAILURE, after=2.0) == [interface.Fail(name)]


def test_a_drain_applies_at_once_to_first_and_further_attempts():
    driver = Driver(2)
    driver.give(interface.WorkerList((interface.WorkerEntry("w0", zone="a", state=interface.DRAINING),)))
    for _ in range(6):
        name, actions = driver.send_request()
        assert sends(actions) == ["w1"]
        assert sends(driver.answer(name, "w1", interface.UNREACHABLE)) == []
    driver = Driver(2)
    driver.give(interface.WorkerList((interface.WorkerEntry("w1", zone="b"),), whole=True))  # w0 is removed
    assert {w for _ in range(3) for w in sends(driver.send_request()[1])} == {"w1"}


def test_a_request_is_refused_without_any_worker():
    driver = Driver(1)
    driver.give(interface.WorkerList((interface.WorkerEntry("w0", state=interface.REMOVED),)))
    name, actions = driver.send_request()
    assert len(actions) == 1 and isinstance(actions[0], interface.Refuse)


def test_a_worker_in_slow_start_gets_one_attempt_at_a_time_and_more_later():
    driver = Driver(0)
    driver.give(workers(1, started=0.0))
    name, actions = driver.send_request(after=0.1)
    assert sends(actions) == ["w0"]
    assert sends(driver.send_request()[1]) == []
    driver.answer(name, "w0")
    driver.now = 10.1  # warm
    assert sum(len(sends(driver.send_request()[1])) for _ in range(5)) == 5


def test_a_timeout_still_occupies_a_worker_in_slow_start_for_a_while():
    driver = Driver(0, max_attempts=1)
    driver.give(workers(1, started=0.0))
    name, _ = driver.send_request(after=0.1)
    driver.answer(name, "w0", interface.TIMED_OUT, after=0.1)
    assert sends(driver.send_request()[1]) == []
    assert sends(driver.send_request(after=1.1)[1]) == ["w0"]


def test_each_gateway_keeps_its_share_of_the_ceiling_which_starts_empty():
    driver = Driver()
    sent, end = 0.0, 20.0
    while driver.now < end:
        name, actions = driver.send_request(plan="capped", units=2.0, after=0.05)
        if sends(actions):
            sent += 2.0
            driver.answer(name, sends(actions)[0])
        assert sent <= 6.0 / 3 * driver.now + 1e-6  # a third of the ceiling's rate, nothing at the start
    assert sent > 20  # and the share is used


def test_a_request_is_refused_with_a_retry_after_if_nothing_executed():
    driver = Driver(1, max_attempts=1)
    name, _ = driver.send_request("write")
    (end,) = driver.answer(name, "w0", interface.UNREACHABLE)
    assert isinstance(end, interface.Refuse) and 0 < end.retry_after <= 0.2


def test_retry_after_leaves_time_for_client_retries_within_the_latency_objective():
    driver = Driver(0)
    waits = [
        action.retry_after
        for _ in range(50)
        for action in driver.send_request()[1]
        if isinstance(action, interface.Refuse)
    ]
    assert len(waits) == 50 and min(waits) >= 0.1 and max(waits) <= 0.2  # the objective is 1 s


def test_gateways_take_turns_at_a_worker_in_slow_start_that_cannot_take_one_attempt_of_each():
    sent = []
    for seed in range(11):
        driver = Driver(0, gateways=11)
        driver.gateway.fleet._random.seed(seed)
        driver.give(workers(1, started=0.0))
        for _ in range(60):
            name, actions = driver.send_request(after=0.1)
            if sends(actions):
                sent.append(driver.now)
                driver.answer(name, "w0", after=0.001)
    for start in range(6):  # a response takes 0.1 s: a core does 10/s when warm, a fifth of that at first
        capacity = 10 * (0.2 + 0.08 * (start + 1))
        assert 0 < sum(start <= at < start + 1 for at in sent) <= 2 * capacity
