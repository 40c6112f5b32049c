"""Requests that wait for the shared counter, through the whole gateway."""

from micagate import Gateway, interface

READ = interface.RequestClass("read", aim=0.4, deadline=1.0)
TEAM = interface.Plan("team", rate=1.0, burst=4.0, excess_cost=1.0)
SETTINGS = interface.Settings((READ,), (TEAM,), counter_timeout=0.03, max_attempts=2)


def make_gateway(settings: interface.Settings = SETTINGS) -> Gateway:
    gateway = Gateway(settings, 1, 0.0, 0.0)
    gateway.handle(0.0, interface.WorkerList((interface.WorkerEntry("w"), interface.WorkerEntry("v")), whole=True))
    return gateway


def send_request(gateway: Gateway, now: float, name: str = "r") -> list[interface.Action]:
    return gateway.handle(now, interface.Request(name, "read", "team", "c", 1.0, gateway_count=30))


def of_type(kind, actions):
    return [a for a in actions if isinstance(a, kind)]


def test_a_request_waits_for_its_count_and_is_then_sent_or_refused():
    gateway = make_gateway()
    actions = send_request(gateway, 1.0)
    (call,) = of_type(interface.CounterAdd, actions)
    assert not of_type(interface.Send, actions) and not of_type(interface.Refuse, actions)
    assert (
        of_type(
            interface.Send,
            gateway.handle(1.01, interface.CounterResult(call.name, interface.SUCCESS, call.amount + 40.0, 0.01)),
        )
        == []
    )
    (call,) = of_type(interface.CounterAdd, send_request(make_gateway(), 1.0))
    gateway = make_gateway()
    send_request(gateway, 1.0)
    assert (
        len(
            of_type(
                interface.Send,
                gateway.handle(1.01, interface.CounterResult(call.name, interface.SUCCESS, call.amount, 0.01)),
            )
        )
        == 1
    )


def test_a_refused_customer_is_refused_without_a_call_until_units_can_be_available():
    gateway = make_gateway()
    (call,) = of_type(interface.CounterAdd, send_request(gateway, 1.0))
    begin = gateway.counting._in_flight[call.name][0].epoch.started_at
    elapsed = 1.0 - begin
    # The request exceeds the quota by 2.5 s.
    actions = gateway.handle(1.0, interface.CounterResult(call.name, interface.SUCCESS, elapsed + 4.0 + 2.5, 0.01))
    assert (
        len(of_type(interface.Refuse, actions)) == 1
        and of_type(interface.CounterAdd, actions)[0].amount == -call.amount
    )
    actions = send_request(gateway, 3.4, "s")
    assert len(of_type(interface.Refuse, actions)) == 1 and not of_type(interface.CounterAdd, actions)
    assert len(of_type(interface.CounterAdd, send_request(gateway, 3.6, "t"))) == 1


def test_a_disconnect_during_the_wait_refunds_the_count_and_sends_nothing():
    gateway = make_gateway()
    (call,) = of_type(interface.CounterAdd, send_request(gateway, 1.0))
    gateway.handle(1.005, interface.ClientDisconnected("r"))
    actions = gateway.handle(1.01, interface.CounterResult(call.name, interface.SUCCESS, call.amount, 0.01))
    assert not of_type(interface.Send, actions) and not of_type(interface.Refuse, actions)
    assert sum(back.amount for back in of_type(interface.CounterAdd, actions) if back.amount < 0) == -call.amount


def test_the_estimate_decides_without_an_answer():
    for status in (interface.TIMED_OUT, interface.OVERLOADED, interface.UNREACHABLE):
        gateway, plain = make_gateway(), make_gateway(interface.Settings((READ,), (TEAM,), max_attempts=2))
        (call,) = of_type(interface.CounterAdd, send_request(gateway, 1.0))
        before = of_type(interface.Send, send_request(plain, 1.0))
        assert [
            a.worker for a in of_type(interface.Send, gateway.handle(1.0, interface.CounterResult(call.name, status)))
        ] != [] or not before


def test_a_customer_of_few_gateways_is_not_counted():
    gateway = make_gateway()
    actions = gateway.handle(1.0, interface.Request("r", "read", "team", "c", 1.0, gateway_count=2))
    assert len(of_type(interface.Send, actions)) == 1 and not of_type(interface.CounterAdd, actions)
