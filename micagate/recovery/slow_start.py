"""Slow start after a restart of the fleet: limits requests to the capacity of workers that still warm up.

A restarted gateway starts its overload control at that rate, before failures would show it.
"""

from __future__ import annotations

from micagate.gateway import Gateway

MIN_LOAD = 0.3  # the least assumed utilisation of workers, for latencies that show none


def mean_warm_up_factor(gateway: Gateway, now: float) -> float:
    """Return the mean warm-up factor of the usable workers: their present capacity over that when warm; 1 if none."""
    fleet = gateway.fleet
    known = [
        1.0 if (warm := fleet.warm_up_factor(now, worker)) is None else warm
        for worker in fleet.workers.values()
        if worker.usable
    ]
    return sum(known) / len(known) if known else 1.0


def estimate_load(gateway: Gateway) -> float:
    """Estimate the utilisation of the workers: the mean of 1 and what latencies show.

    If the latency is S without a queue and T with it, the utilisation of one server is about 1 - S/T. This is coarse
    for servers with several cores, so it counts for half.
    """
    fleet = gateway.fleet
    usual = max(fleet._usual_latencies.values(), default=0.0)
    if not usual or fleet.shortest_usual_latency > usual:
        return 1.0
    return (1 + max(MIN_LOAD, 1 - fleet.shortest_usual_latency / usual)) / 2


def start_throttled(gateway: Gateway, now: float, served_rate: float, load: float) -> bool:
    """Start overload control if the workers are in slow start together; return whether it was started.

    `served_rate` is what workers served this gateway in a second while they were warm, `load` their utilisation at
    that rate (`estimate_load`). Trade-off: if there are far fewer requests than before the restart, overload control
    is active without need, but refuses nothing; if the rate is far too low, the control loop takes seconds to raise it.
    """
    warm_up = mean_warm_up_factor(gateway, now)
    if served_rate <= 0 or warm_up >= 1 or load > 0 and warm_up >= load:
        return False
    gateway.throttle.activate_at(now, served_rate / max(load, MIN_LOAD), warm_up)
    return True


def update_warm_up(gateway: Gateway, now: float) -> None:
    """Adjust the rate of overload control to the workers' warm-up factor; call it regularly while serving."""
    gateway.throttle.update_warm_up_factor(now, mean_warm_up_factor(gateway, now))
