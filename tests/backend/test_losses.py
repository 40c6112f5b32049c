"""Answers that get lost on the way from workers that live: what they may cost, and what not."""

import asyncio
from collections import Counter

from micagate import interface
from rig.driver import Driver, answered, losing, sends
from rig.fake_servers import Message, Worker, answer, hang, run, scene, until


async def loses_writes(request: Message, writer: asyncio.StreamWriter) -> None:
    """A script that serves reads and never answers a write."""
    await (hang if request.first.startswith("POST") else answer())(request, writer)


def test_lost_answers_hold_nothing_else_up():
    async def scenario():
        workers = [Worker(name, loses_writes) for name in "uvw"]
        async with scene(*workers) as (gatekeeper, _, client):
            for _ in range(30):
                assert (await client.ask("read")).status == 200
            lost = [await gatekeeper.client() for _ in range(10)]
            for n, other in enumerate(lost, 1):
                other.send(other.request("write", timeout="3.9"))
                seen = lambda: sum(m.first.startswith("POST") for w in workers for m in w.seen)  # noqa: E731
                await until(lambda: seen() >= n)  # noqa: B023
                for _ in range(3):
                    assert (await client.ask("read")).status == 200
                    await asyncio.sleep(0.02)
            for _ in range(30):
                assert (await client.ask("read")).status == 200
                await asyncio.sleep(0.06)

    run(scenario())


def test_a_worker_that_lost_an_answer_is_tried_again_long_before_the_deadline():
    d = Driver(1, hedging=False)
    d.give(interface.WorkerList((interface.WorkerEntry("far", zone="b"),)))
    answered(d, 30)
    d.ask("write")  # lost: nothing ever comes of it
    (near,) = {"w0", "far"} - set(answered(d, 40)[25:])  # left alone, as stalled
    seen = []
    for _ in range(40):  # the other is busy
        d.pass_time(0.01)
        asked = [(name, sends(actions)[0]) for name, actions in (d.ask(after=0.002) for _ in range(4))]
        for name, worker in asked:
            seen.append(worker)
            d.answer(name, worker, after=0.002, took=0.02)
    assert d.now < 4.0 and seen.count(near) > 3


def test_what_may_not_be_repeated_keeps_away_from_where_answers_get_lost():
    met: dict[str, Counter[str]] = {"read": Counter(), "write": Counter()}
    d = Driver()
    for n in range(600):
        klass = ("read", "write")[n % 2]
        name, actions = d.ask(klass, after=0.02)
        (worker,) = sends(actions)
        if n > 300:
            met[klass][worker] += 1
        lost = worker in ("w0", "w3") and n % 3 == 0
        d.answer(
            name,
            worker,
            interface.CONNECTION_RESET if lost else interface.SUCCESS,
            after=0.01,
            took=0.02,
            terminal=True,
        )
    bad = {klass: (seen["w0"] + seen["w3"]) / seen.total() for klass, seen in met.items()}
    assert bad["write"] < 0.06  # a third loses them


def test_a_worker_that_loses_one_class_is_spared_it_and_keeps_the_other():
    met: dict[str, Counter[str]] = {"read": Counter(), "write": Counter()}
    d = Driver(hedging=False)
    answered(d, 30)
    losing(d)
    for n in range(60):
        name, actions = d.ask(after=0.02)
        (worker,) = sends(actions)
        asked = [(other, sends(actions)[0]) for other, actions in (d.ask("write") for _ in range(8))]
        for other, place in asked:
            d.answer(other, place, after=0.002, took=0.02)
        if n > 30:
            met["read"][worker] += 1
            met["write"].update(place for _, place in asked)
        while worker in ("w0", "w3"):
            actions = d.pass_time(0.01)
            if actions:  # it is given up, and sent again
                (worker,) = sends(d.answer(name, worker, interface.CANCELLED))
        d.answer(name, worker, after=0.01, took=0.02)
    shares = {klass: (seen["w0"] + seen["w3"]) / seen.total() for klass, seen in met.items()}
    assert shares["read"] < 0.25 < shares["write"]


def test_under_control_what_a_lossy_worker_swallows_has_its_second_chance_and_signals_nothing():
    for losses, expected in ((4, 1), (0, 0)):
        d = Driver(1, hedging=False)
        answered(d, 60)
        losing(d)
        d.gateway.fleet.workers["w0"].loss_rates.clear()
        for _ in range(losses):
            d.gateway.fleet.record_no_response(d.now, "w0", d.gateway.classes["read"])
        d.give(interface.WorkerList((interface.WorkerEntry("far", zone="b", state=interface.DRAINING),)))
        d.gateway.throttle.active, d.gateway.throttle.rate, d.gateway.throttle.base_rate = True, 100.0, 50.0
        d.gateway.throttle._due = d.now + 9.0
        name, actions = d.ask()
        d.give(interface.WorkerList((interface.WorkerEntry("far", zone="b"),)))
        d.gateway.fleet.recent._missed = 900.0  # silence would be taken for load
        assert d.pass_time(0.9).count(interface.Cancel(name, 0)) == expected
        d.pass_time(0.2)
        assert len(d.gateway.throttle._signals) == 1 - expected
