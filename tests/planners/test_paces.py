"""Worker capacities, estimated by planners from the reports of all forwarders, guide the choice of a worker.

In simulated time against workers of different speed, then with real processes.
"""

import asyncio
import json
import math
import statistics

from micagate import interface
from micagate.planning.ledger import Ledger
from micagate.resource_keys import worker_key
from oliveloft.planners.status import query_planners, table
from rig.capacity import Capacity
from rig.cluster import TERMS, Cluster
from rig.fake_servers import run, until
from rig.installation import Installation
from rig.traffic import Customer, Traffic

FORWARDERS = 20
SPEEDS = (0.25, 0.25, 0.5, 0.5, 1.0, 1.0, 2.0, 2.0)
CAPACITIES = [4 * speed / 0.02 for speed in SPEEDS]  # requests per second


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
    rates = [load * sum(CAPACITIES) * share / sum(shares) for share in shares]
    return Cluster(
        seed,
        rates,
        {
            f"w{n}": Capacity(cores=4, queue_limit=64, speed=speed, queue_slowdown=0.05)
            for n, speed in enumerate(SPEEDS)
        },
        settings,
        planner,
        paces,
    )


def requests_sent(simulation, name, start, end):
    return sum(where == name and start <= when < end for when, where, _ in simulation.arrivals)


def forwarders_knowing_capacities(simulation):
    """Return how many forwarders know the capacity of all workers."""
    now, klass = simulation.clock.now, interface.RequestClass("fetch", aim=0.4, deadline=1.0)
    return sum(
        gate.fleet._waits_by_capacity(now, klass, list(gate.fleet.workers.values())) is not None
        for gate in simulation.gateways
    )


def test_uneven_workers_get_traffic_by_capacity_and_no_less_is_served():
    shares, gains = [], []
    for seed in (2,):
        with_, without = cluster(seed, True), cluster(seed, False)
        shares.append(with_.served_ratio(4.0, 10.0))
        gains.append(shares[-1] - without.served_ratio(4.0, 10.0))
        estimates = [with_.ledger.workers(10.0)[worker_key(f"w{n}")]["pace"] for n in range(8)]
        assert statistics.mean(estimates[6:]) > 3 * statistics.mean(estimates[:2]), estimates
        assert forwarders_knowing_capacities(with_) > FORWARDERS / 2 and forwarders_knowing_capacities(without) == 0
    # Both serve nearly all: 0.993 and 0.905 while attempts with long responses were cancelled needlessly.
    assert min(gains) >= 0.0 and min(shares) > 0.99, (gains, shares)


def test_a_worker_that_slows_to_a_tenth_gets_less_and_more_again_after_recovery():
    simulation = cluster(1, True, load=0.5)
    simulation.clock.run(6.0)
    before = requests_sent(simulation, "w7", 4.0, 6.0)
    simulation.set_capacity("w7", Capacity(cores=4, queue_limit=64, speed=0.2, queue_slowdown=0.05))
    simulation.clock.run(12.0)
    slow = requests_sent(simulation, "w7", 10.0, 12.0)
    simulation.set_capacity("w7", Capacity(cores=4, queue_limit=64, speed=2.0, queue_slowdown=0.05))
    simulation.clock.run(24.0)
    assert slow < 0.4 * before and requests_sent(simulation, "w7", 22.0, 24.0) > 2 * slow, (before, slow)


def test_shares_of_a_worker_never_exceed_the_whole_when_the_planner_changes():
    simulation = cluster(2, True, skewed=True)
    borrowed = 0.0
    for step in range(240):
        simulation.clock.run(step * 0.05)
        if step == 100:
            simulation.ledger = None  # the planner dies
        if step == 140:  # another planner starts, with an empty ledger and no estimates
            simulation.ledger = Ledger(TERMS, 0, 2, FORWARDERS, simulation.clock.now)
            for holder in simulation.share_holders:
                holder.planner_disconnected(simulation.clock.now, "p")
                holder.planner_elected(simulation.clock.now, "p", 0, 2)
        for n in range(8):
            shares = [
                holder.share(simulation.clock.now, worker_key(f"w{n}"), FORWARDERS)
                for holder in simulation.share_holders
            ]
            parts = [
                1.0 / gate.fleet._shares.divisors(simulation.clock.now, worker_key(f"w{n}"), FORWARDERS)[0]
                for gate in simulation.gateways
            ]
            borrowed = max(borrowed, max(parts) - 1 / FORWARDERS)
            assert sum(shares) <= 1 + 1e-6 and sum(parts) <= 1 + 1e-6, (step, n)
    assert borrowed > 0.05  # shares did move


def test_without_a_planner_capacities_expire_and_the_ordinary_choice_continues():
    simulation = cluster(3, True)
    simulation.clock.run(6.0)
    assert forwarders_knowing_capacities(simulation) > FORWARDERS / 2
    simulation.ledger = None
    assert simulation.served_ratio(6.0 + TERMS.life + 0.3, 12.0) > 0.8
    assert forwarders_knowing_capacities(simulation) == 0


def test_false_reports_about_a_worker_change_the_choice_and_fail_no_request():
    simulation = cluster(1, True)
    simulation.clock.run(5.0)
    for _ in range(20):
        simulation.share_holders[0].record_worker_loads(
            [interface.WorkerLoad(worker_key("w0"), 10**5, 1e5, 1.0, 0, 0, 0)]
        )
        simulation.clock.run(simulation.clock.now + 0.1)
    simulation.clock.run(simulation.clock.now + 6.0)  # the false reports have ended
    estimates = [simulation.ledger.workers(simulation.clock.now)[worker_key(f"w{n}")]["pace"] for n in (0, 7)]
    assert (
        all(map(math.isfinite, estimates))
        and simulation.served_ratio(simulation.clock.now, simulation.clock.now + 4.0) > 0.7
    ), estimates


def test_a_planner_without_worker_reports_changes_no_choice():
    unreported, plain = cluster(5, False), cluster(5, False, planner=False)
    for simulation in (unreported, plain):
        simulation.clock.run(6.0)
    assert unreported.results == plain.results and [s[:2] for s in unreported.arrivals] == [
        s[:2] for s in plain.arrivals
    ]
    assert [gate._random.getstate() for gate in unreported.gateways] == [
        gate._random.getstate() for gate in plain.gateways
    ]


def test_real_forwarders_report_and_status_shows_the_capacity_of_each_worker():
    async def scenario():
        speeds = (0.5, 1.0, 2.0)
        plans = [{"Name": "big", "Refill": 5000, "MostAtOnce": 5000}]
        async with Installation(
            3,
            2,
            paces=True,
            service_seconds=0.02,
            plans=plans,
            capacities=[Capacity(cores=2, queue_limit=64, speed=speed) for speed in speeds],
        ) as fleet:
            load = Traffic(
                fleet.ports,
                [
                    Customer(f"{n + 1:016x}", "big", lambda at: 25.0, lambda at, n=n: n, peak_rate=25.0)
                    for n in range(9)
                ],
                fleet.plans,
                1,
                timeout=1.0,
                latency_objective=0.4,
            )
            playing = asyncio.create_task(load.run(7.0))

            async def paces():
                states = await query_planners(fleet.config())
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
            assert json.dumps(states) and report.served_value_share > 0.7, report.outcomes
            await until(lambda: all(gate.process.returncode is None for gate in fleet.forwarders))

    run(scenario())
