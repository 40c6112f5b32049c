"""Workers' paces, learned by planners from all forwarders' reports, in the choice of a worker.

In simulated time against uneven workers, then with real processes.
"""

import asyncio
import json
import math
import statistics

from micagate import interface
from micagate.planning.ledger import Ledger
from micagate.resource_keys import worker_key
from oliveloft.planners.status import gather, table
from rig.capacity import Capacity
from rig.cluster import TERMS, Cluster
from rig.fake_servers import run, until
from rig.installation import Installation
from rig.traffic import Customer, Traffic

FORWARDERS = 20
SPEEDS = (0.25, 0.25, 0.5, 0.5, 1.0, 1.0, 2.0, 2.0)
CAN_DO = [4 * speed / 0.02 for speed in SPEEDS]  # requests a second


def cluster(seed, paces, load=0.7, planner=True, skewed=False):
    settings = interface.Settings(
        (interface.RequestClass("fetch", aim=0.4, deadline=1.0),),
        (interface.Plan("free"),),
        gateways=FORWARDERS,
        zone="a",
        max_attempts=3,
        can_cancel=True,
    )
    shares = [1.0 / (1 + n) if skewed else 1.0 for n in range(FORWARDERS)]
    rates = [load * sum(CAN_DO) * share / sum(shares) for share in shares]
    return Cluster(
        seed,
        rates,
        {f"w{n}": Capacity(cores=4, queue=64, speed=speed, thrash=0.05) for n, speed in enumerate(SPEEDS)},
        settings,
        planner,
        paces,
    )


def sent(made, name, start, end):
    return sum(where == name and start <= when < end for when, where, _ in made.sent)


def paces_known(made):
    """At how many forwarders the paces of all workers stand."""
    now, klass = made.clock.now, interface.RequestClass("fetch", aim=0.4, deadline=1.0)
    return sum(gate.fleet._paced(now, klass, list(gate.fleet.workers.values())) is not None for gate in made.gates)


def test_uneven_workers_get_what_they_can_do_and_no_less_is_served():
    shares, gains = [], []
    for seed in (2,):
        with_, without = cluster(seed, True), cluster(seed, False)
        shares.append(with_.served(4.0, 10.0))
        gains.append(shares[-1] - without.served(4.0, 10.0))
        told = [with_.ledger.workers(10.0)[worker_key(f"w{n}")]["pace"] for n in range(8)]
        assert statistics.mean(told[6:]) > 3 * statistics.mean(told[:2]), told
        assert paces_known(with_) > FORWARDERS / 2 and paces_known(without) == 0
    # Both serve all, since long answers are no more called off for nothing: 0.993 and 0.905 before.
    assert min(gains) >= 0.0 and min(shares) > 0.99, (gains, shares)


def test_a_worker_that_slows_to_a_tenth_is_asked_less_and_more_again_when_it_is_back():
    made = cluster(1, True, load=0.5)
    made.clock.run(6.0)
    before = sent(made, "w7", 4.0, 6.0)
    made.become("w7", Capacity(cores=4, queue=64, speed=0.2, thrash=0.05))
    made.clock.run(12.0)
    slow = sent(made, "w7", 10.0, 12.0)
    made.become("w7", Capacity(cores=4, queue=64, speed=2.0, thrash=0.05))
    made.clock.run(24.0)
    assert slow < 0.4 * before and sent(made, "w7", 22.0, 24.0) > 2 * slow, (before, slow)


def test_parts_of_a_worker_never_add_up_to_more_than_it_whatever_the_planner_does():
    made = cluster(2, True, skewed=True)
    borrowed = 0.0
    for step in range(240):
        made.clock.run(step * 0.05)
        if step == 100:
            made.ledger = None  # it dies
        if step == 140:  # another begins, with no book and no estimate
            made.ledger = Ledger(TERMS, 0, 2, FORWARDERS, made.clock.now)
            for holder in made.holders:
                holder.planner_disconnected(made.clock.now, "p")
                holder.planner_elected(made.clock.now, "p", 0, 2)
        for n in range(8):
            shares = [holder.share(made.clock.now, worker_key(f"w{n}"), FORWARDERS) for holder in made.holders]
            parts = [
                1.0 / gate.fleet._shares.divisors(made.clock.now, worker_key(f"w{n}"), FORWARDERS)[0]
                for gate in made.gates
            ]
            borrowed = max(borrowed, max(parts) - 1 / FORWARDERS)
            assert sum(shares) <= 1 + 1e-6 and sum(parts) <= 1 + 1e-6, (step, n)
    assert borrowed > 0.05  # they did move


def test_with_the_planner_gone_paces_lapse_within_a_life_and_the_ordinary_choice_goes_on():
    made = cluster(3, True)
    made.clock.run(6.0)
    assert paces_known(made) > FORWARDERS / 2
    made.ledger = None
    assert made.served(6.0 + TERMS.life + 0.3, 12.0) > 0.8
    assert paces_known(made) == 0


def test_a_forwarder_that_lies_about_a_worker_moves_the_choice_and_fails_nothing():
    made = cluster(1, True)
    made.clock.run(5.0)
    for _ in range(20):
        made.holders[0].record_worker_loads([interface.WorkerLoad(worker_key("w0"), 10**5, 1e5, 1.0, 0, 0, 0)])
        made.clock.run(made.clock.now + 0.1)
    made.clock.run(made.clock.now + 6.0)  # it lies no more
    told = [made.ledger.workers(made.clock.now)[worker_key(f"w{n}")]["pace"] for n in (0, 7)]
    assert all(map(math.isfinite, told)) and made.served(made.clock.now, made.clock.now + 4.0) > 0.7, told


def test_planners_that_are_not_told_of_workers_change_no_choice():
    told, plain = cluster(5, False), cluster(5, False, planner=False)
    for made in (told, plain):
        made.clock.run(6.0)
    assert told.ends == plain.ends and [s[:2] for s in told.sent] == [s[:2] for s in plain.sent]
    assert [gate._random.getstate() for gate in told.gates] == [gate._random.getstate() for gate in plain.gates]


def test_real_forwarders_report_and_status_shows_what_each_worker_can_do():
    async def scenario():
        speeds = (0.5, 1.0, 2.0)
        plans = [{"Name": "big", "Refill": 5000, "MostAtOnce": 5000}]
        async with Installation(
            3,
            2,
            paces=True,
            service=0.02,
            plans=plans,
            capacities=[Capacity(cores=2, queue=64, speed=speed) for speed in speeds],
        ) as fleet:
            load = Traffic(
                fleet.ports,
                [Customer(f"{n + 1:016x}", "big", lambda at: 25.0, lambda at, n=n: n, top=25.0) for n in range(9)],
                fleet.plans,
                1,
                timeout=1.0,
                aim=0.4,
            )
            playing = asyncio.create_task(load.run(7.0))

            async def paces():
                states = await gather(fleet.config())
                return {
                    name: shown["pace"]
                    for state in states.values()
                    for name, shown in state.get("workers", {}).items()
                    if shown["pace"]
                }, states

            learned, states = await paces()
            while len(learned) < 3 or learned["worker-3"] <= learned["worker-1"]:
                assert not playing.done(), learned
                await asyncio.sleep(0.05)
                learned, states = await paces()
            shown = table(states, fleet.terms.shards)
            report = await playing
            assert "can do /s" in shown and "worker-3" in shown
            assert json.dumps(states) and report.share > 0.7, report.ends
            await until(lambda: all(gate.process.returncode is None for gate in fleet.forwarders))

    run(scenario())
