"""Builds the part of a demand report that tells planners the demand for each worker and its load."""

from __future__ import annotations

import math

from micagate import interface
from micagate.fleet import Fleet
from micagate.resource_keys import worker_key
from micagate.shares import Shares
from micagate.workload import Workload, resource_demands


def worker_demand(now: float, fleet: Fleet, shares: Shares, gateway_count: int) -> list[interface.ResourceDemand]:
    """Return the demand for each worker since the last query, and its capacity.

    For a worker in slow start it is the demand of a warm one. Empty while no latency is known.
    """
    elapsed, fleet.reported_at = now - fleet.reported_at, now
    if fleet.shortest_usual_latency == math.inf or elapsed <= 0:
        return []
    workers = {
        name: (fleet.warm_up_factor(now, worker), shares.worker_capacity(now, worker_key(name)))
        for name, worker in fleet.workers.items()
        if worker.usable
    }
    return resource_demands(
        workers,
        fleet.workload,
        fleet.warm_worker_rate(now) * elapsed,
        fleet.single_core_rate(),
        gateway_count,
    )


def worker_loads(now: float, fleet: Fleet) -> list[interface.WorkerLoad]:
    """Return the outcomes of the attempts at each worker since the last call; the first call starts the count."""
    fleet.workload = fleet.workload or Workload()
    return fleet.workload.take_loads(now, {name: len(worker.in_flight) for name, worker in fleet.workers.items()})
