"""Lost responses of healthy workers: the request may fail, but other requests must not be delayed."""

import asyncio
from collections import Counter

from micagate import interface
from rig.driver import Driver, record_missed_objectives, send_and_answer, sends
from rig.fake_servers import FakeWorker, Message, answer, hang, run, running_gatekeeper, until


async def lose_write_responses(request: Message, writer: asyncio.StreamWriter) -> None:
    """A script that serves reads and never answers a write."""
    await (hang if request.first.startswith("POST") else answer())(request, writer)


def test_lost_responses_delay_no_other_request():
    async def scenario():
        workers = [FakeWorker(name, lose_write_responses) for name in "uvw"]
        async with running_gatekeeper(*workers) as (gatekeeper, _, client):
            for _ in range(30):
                assert (await client.fetch("read")).status == 200
            lost = [await gatekeeper.client() for _ in range(10)]
            for n, other in enumerate(lost, 1):
                other.send(other.request("write", timeout="3.9"))
                seen = lambda: sum(m.first.startswith("POST") for w in workers for m in w.received)  # noqa: E731
                await until(lambda: seen() >= n)  # noqa: B023
                for _ in range(3):
                    assert (await client.fetch("read")).status == 200
                    await asyncio.sleep(0.02)
            for _ in range(30):
                assert (await client.fetch("read")).status == 200
                await asyncio.sleep(0.06)

    run(scenario())


def test_a_worker_that_lost_a_response_is_used_again_long_before_the_deadline():
    d = Driver(1, hedging=False)
    d.give(interface.WorkerList((interface.WorkerEntry("far", zone="b"),)))
    send_and_answer(d, 30)
    d.send_request("write")  # its response is lost
    (near,) = {"w0", "far"} - set(send_and_answer(d, 40)[25:])  # not used while it counts as stalled
    seen = []
    for _ in range(40):  # the other is busy
        d.pass_time(0.01)
        asked = [(name, sends(actions)[0]) for name, actions in (d.send_request(after=0.002) for _ in range(4))]
        for name, worker in asked:
            seen.append(worker)
            d.answer(name, worker, after=0.002, took=0.02)
    assert d.now < 4.0 and seen.count(near) > 3


def test_requests_that_must_not_run_twice_avoid_workers_that_lose_responses():
    sent: dict[str, Counter[str]] = {"read": Counter(), "write": Counter()}
    d = Driver()
    for n in range(600):
        klass = ("read", "write")[n % 2]
        name, actions = d.send_request(klass, after=0.02)
        (worker,) = sends(actions)
        if n > 300:
            sent[klass][worker] += 1
        lost = worker in ("w0", "w3") and n % 3 == 0
        d.answer(
            name,
            worker,
            interface.CONNECTION_RESET if lost else interface.SUCCESS,
            after=0.01,
            took=0.02,
            terminal=True,
        )
    bad = {klass: (seen["w0"] + seen["w3"]) / seen.total() for klass, seen in sent.items()}
    assert bad["write"] < 0.06  # those workers lose a third of the responses


def test_a_worker_that_loses_the_responses_of_one_class_gets_less_of_it_and_as_much_of_the_other():
    sent: dict[str, Counter[str]] = {"read": Counter(), "write": Counter()}
    d = Driver(hedging=False)
    send_and_answer(d, 30)
    record_missed_objectives(d)
    for n in range(60):
        name, actions = d.send_request(after=0.02)
        (worker,) = sends(actions)
        asked = [(other, sends(actions)[0]) for other, actions in (d.send_request("write") for _ in range(8))]
        for other, place in asked:
            d.answer(other, place, after=0.002, took=0.02)
        if n > 30:
            sent["read"][worker] += 1
            sent["write"].update(place for _, place in asked)
        while worker in ("w0", "w3"):
            actions = d.pass_time(0.01)
            if actions:  # the attempt is cancelled, and retried at another worker
                (worker,) = sends(d.answer(name, worker, interface.CANCELLED))
        d.answer(name, worker, after=0.01, took=0.02)
    shares = {klass: (seen["w0"] + seen["w3"]) / seen.total() for klass, seen in sent.items()}
    assert shares["read"] < 0.25 < shares["write"]


def test_during_overload_control_a_response_lost_by_a_lossy_worker_is_retried_and_is_no_overload_signal():
    for losses, expected in ((4, 1), (0, 0)):
        d = Driver(1, hedging=False)
        send_and_answer(d, 60)
        record_missed_objectives(d)
        d.gateway.fleet.workers["w0"].loss_rates.clear()
        for _ in range(losses):
            d.gateway.fleet.record_no_response(d.now, "w0", d.gateway.classes["read"])
        d.give(interface.WorkerList((interface.WorkerEntry("far", zone="b", state=interface.DRAINING),)))
        d.gateway.throttle.active, d.gateway.throttle.rate, d.gateway.throttle.base_rate = True, 100.0, 50.0
        d.gateway.throttle._period_end = d.now + 9.0
        name, actions = d.send_request()
        d.give(interface.WorkerList((interface.WorkerEntry("far", zone="b"),)))
        d.gateway.fleet.recent._missed_aim_sum = 900.0  # a missing response would count as a sign of overload
        assert d.pass_time(0.9).count(interface.Cancel(name, 0)) == expected
        d.pass_time(0.2)
        assert len(d.gateway.throttle._signals) == 1 - expected
