"""Demand reports about workers for the planners."""

from __future__ import annotations

import math

from micagate import interface
from micagate.fleet import Fleet
from micagate.resource_keys import worker_key
from micagate.shares import Shares
from micagate.workload import Workload, sent_to


def worker_demand(now: float, fleet: Fleet, shares: Shares, gateways: int) -> list[interface.ResourceDemand]:
    """Return the demand for each worker since the last query, sent and unsent, and its capacity."""
    passed, fleet.reported_at = now - fleet.reported_at, now
    if fleet.shortest_usual_latency == math.inf or passed <= 0:
        return []
    standing = {
        name: (fleet.warm_up_factor(now, w), shares.worker_capacity(now, worker_key(name)))
        for name, w in fleet.workers.items()
        if w.usable
    }
    return sent_to(standing, fleet.workload, fleet.rate(now) * passed, 1.0 / fleet.shortest_usual_latency, gateways)


def worker_loads(now: float, fleet: Fleet) -> list[interface.WorkerLoad]:
    """What became of the attempts at each worker since the last call; the first one begins the count."""
    fleet.workload = fleet.workload or Workload()
    return fleet.workload.take(now, {name: len(worker.in_flight) for name, worker in fleet.workers.items()})
