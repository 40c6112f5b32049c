"""Cluster members with planners after a power loss of all, with an empty, unchanged or late store, in every order."""

import asyncio
import itertools
import time

import pytest

from rig.limited_worker import max_overspending
from rig.members import MemberInstallation
from rig.power import spread_customers
from rig.traffic import Traffic

PLAN = {"Name": "team", "Refill": 40, "MostAtOnce": 40, "HardRate": 24, "CapDepth": 24, "CapSlack": 3}
SLACK = 3 + 24 * 0.15
SCENARIO_TIMEOUT_SECONDS = 80.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, SCENARIO_TIMEOUT_SECONDS))


def ceiling_traffic(fleet, seed=1):
    fleet.record.records_units = True
    return Traffic(
        fleet.ports,
        spread_customers(1, 50.0, "team", fleet.forwarder_count, "write"),
        fleet.plans,
        seed,
        timeout=1.0,
        latency_objective=0.5,
    )


def assert_rules_hold(fleet):
    assert fleet.record.units and max(fleet.record.start_counts.values()) == 1
    for units in fleet.record.units.values():
        assert max_overspending(units, PLAN["HardRate"], PLAN["CapDepth"]) <= SLACK
    for gate in [*fleet.forwarders, *fleet.planners.values()]:
        assert not any("Traceback" in line for line in gate.log), gate.log


async def kill_all(fleet):
    """Kill all planners and gatekeepers."""
    for planner in fleet.planners.values():
        planner.process.kill()
    fleet.kill()
    await fleet.wait_until_exited()
    for planner in fleet.planners.values():
        await planner.process.wait()


@pytest.mark.parametrize("order", list(itertools.permutations(("store", "planners", "gatekeepers"))))
@pytest.mark.parametrize("empty", [False, True])
def test_store_planners_and_gatekeepers_restart_in_every_order_with_the_last_late(order, empty):
    async def scenario():
        async with MemberInstallation(3, planners=2, plans=[PLAN]) as fleet:
            load = ceiling_traffic(fleet)
            await load.run(3.0, wait_for_in_flight=False)
            await kill_all(fleet)
            fleet.store.unreachable = True
            if empty:
                fleet.store.wipe()
            listened = []

            async def kind(name, wait):
                await asyncio.sleep(wait)
                if name == "store":
                    fleet.store.unreachable = False
                elif name == "planners":
                    await asyncio.gather(*(fleet.start_planner(name) for name in fleet.planner_names))
                else:
                    began = time.monotonic()
                    for number, gate in enumerate(await asyncio.gather(*(fleet.start_forwarder(n) for n in range(3)))):
                        load.ports[number] = gate.port
                    listened.append(time.monotonic() - began)

            waits = {name: wait for name, wait in zip(order, (0.0, 0.4, 2.0), strict=True)}
            playing = asyncio.create_task(load.run(5.0))
            await asyncio.gather(*(kind(name, wait) for name, wait in waits.items()))
            report = await playing
            assert_rules_hold(fleet)
            # No start waits for leases that have surely ended: all processes are new, or a lease term has passed.
            assert listened[0] < 2.6, listened
            assert sum(second["served"] for second in report.outcomes_by_second.values()) > 60

    run(scenario())


def test_a_gatekeeper_that_restarts_alone_waits_for_its_leases_to_expire():
    """Its peers may spend the shares it lent until these leases expire; the expiry is recorded on its disk."""

    async def scenario():
        async with MemberInstallation(3, planners=2, plans=[PLAN]) as fleet:
            load = ceiling_traffic(fleet)
            playing = asyncio.create_task(load.run(9.0))
            await asyncio.sleep(3.0)
            fleet.kill(0)
            await fleet.wait_until_exited(0)
            began = time.monotonic()
            gate = await fleet.start_forwarder(0)
            load.ports[0] = gate.port
            assert time.monotonic() - began > 0.9
            await playing
            assert_rules_hold(fleet)

    run(scenario())
