"""The demo: simulated workers and discovery in this process, gatekeepers in their own, and real requests over HTTP."""

from __future__ import annotations

import asyncio
import signal
import statistics
import sys
from collections.abc import Callable
from random import Random

from micagate.planning.terms import Terms
from rig.installation import Installation
from rig.traffic import Customer, PlanShape, Traffic

SERVICE_SECONDS = 0.02  # core seconds that a unit of work takes


def make_customers(rate: float, plans: dict[str, PlanShape], gatekeepers: int, seed: int) -> list[Customer]:
    """Return thirty customers with this rate in all; one in six has four times the weight, far above its quota."""
    random = Random(seed)
    count = 30
    weights = [random.uniform(0.3, 1.0) * (4.0 if n % 6 == 0 else 1.0) for n in range(count)]
    customers = []
    for n, weight in enumerate(weights):
        mean = rate * weight / sum(weights)
        name = list(plans)[n % len(plans)]
        picks = Random(seed * 1000 + n)

        def route(at: float, picks: Random = picks) -> int:
            return picks.randrange(gatekeepers)

        def steady(at: float, mean: float = mean) -> float:
            return mean

        customers.append(
            Customer(
                f"{n + 1:016x}",
                name,
                steady,
                route,
                peak_rate=mean,
                spread=gatekeepers,
                klass="write" if n % 3 == 2 else "read",
            )
        )
    return customers


async def run_demo(
    workers: int,
    gatekeepers: int,
    rate: float,
    seconds: float | None,
    seed: int,
    planners: int,
    write_line: Callable[[str], None],
) -> dict[str, int]:
    """Run the demo until SIGINT, SIGTERM or the end of the seconds; return the number of requests by outcome."""
    installation = Installation(
        gatekeepers, planners, workers, service_seconds=SERVICE_SECONDS, seed=seed, terms=Terms()
    )
    if planners:
        write_line(f"starting; gatekeepers with planners wait {installation.terms.term:g} s before they serve")
    async with installation:
        write_line(
            f"{workers} workers at {', '.join(str(w.port) for w in installation.workers)}; discovery at "
            f"{installation.discovery.port}; gatekeepers at {', '.join(f'127.0.0.1:{p}' for p in installation.ports)}"
        )
        if planners:
            endpoint = installation.store.endpoint if installation.store else ""
            file = installation.write_planners_config(installation.planner_ports, endpoint, "demo")
            write_line(
                f"planners at {', '.join(map(str, installation.planner_ports.values()))}; show their status with: "
                f"python -m oliveloft planners status --config {file}"
            )
        write_line(
            "send a request: curl -i -H 'X-Request-ID: me1' -H 'X-Priority-Class: read' -H 'X-Tariff: solo' "
            "-H 'X-Timeout: 1.0' -H 'X-Weight: units=1,spread=1,first=0' "
            f"'http://127.0.0.1:{installation.ports[0]}/read?customer=00000000000000ff'"
        )
        traffic = Traffic(
            installation.ports,
            make_customers(rate, installation.plans, gatekeepers, seed),
            installation.plans,
            seed,
            timeout=1.5,
            latency_objective=0.4,
        )
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, stop.set)
        totals = dict.fromkeys(("served", "late", "refused", "failed"), 0)
        write_line(f"{'second':>7} {'served':>7} {'late':>6} {'refused':>8} {'failed':>7} {'median':>9}   in all")
        started_at, number = loop.time(), 0
        while not stop.is_set() and (seconds is None or loop.time() - started_at < seconds):
            left = 1.0 if seconds is None else min(1.0, seconds - (loop.time() - started_at))
            traffic.report.latencies.clear()
            # In steps of a second: no arrival is drawn that is never sent, and Ctrl-C takes effect within a second.
            await traffic.run(max(0.05, left), wait_for_in_flight=False)
            number += 1
            outcomes, traffic.recent_outcomes = traffic.recent_outcomes, type(traffic.recent_outcomes)()
            for outcome in totals:
                totals[outcome] += outcomes[outcome]
            median = f"{1000 * statistics.median(traffic.report.latencies):.0f} ms" if traffic.report.latencies else "-"
            write_line(
                f"{number:7} {outcomes['served']:7} {outcomes['late']:6} {outcomes['refused']:8} "
                f"{outcomes['failed']:7} "
                f"{median:>9}   {sum(totals.values())} ended; twice begun "
                f"{sum(n > 1 for n in installation.record.start_counts.values())}"
            )
        await traffic.wait_for_in_flight()
        for outcome in totals:
            totals[outcome] += traffic.recent_outcomes[outcome]
        write_line("in all: " + ", ".join(f"{count} {outcome}" for outcome, count in totals.items()))
        return totals


def main(workers: int, gatekeepers: int, rate: float, seconds: float | None, seed: int, planners: int) -> int:
    """Run the demo; return the exit status, 1 if a part of it did not start."""
    try:
        asyncio.run(run_demo(workers, gatekeepers, rate, seconds, seed, planners, lambda line: print(line, flush=True)))
    except (OSError, RuntimeError) as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    return 0
