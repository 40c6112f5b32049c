"""What cold workers can do, and what a gateway that comes back lets through before it could learn it from failures."""

from __future__ import annotations

from micagate.gateway import Gateway

LEAST_LOAD = 0.3  # share of what workers can do that was surely asked before, where answers say nothing (ours)


def warmth(gateway: Gateway, now: float) -> float:
    """The share of what the usable workers do once all are warm that they can do now; 1 where there are none."""
    fleet = gateway.fleet
    known = [
        1.0 if (warm := fleet.warm_up_factor(now, worker)) is None else warm
        for worker in fleet.workers.values()
        if worker.usable
    ]
    return sum(known) / len(known) if known else 1.0


def load(gateway: Gateway) -> float:
    """How much of what workers can do was asked, roughly: the mean of 1 and what their answer times say.

    Where answers take S alone and T by queues, about 1 - S/T of one server is in use. That is coarse with several
    cores, so it counts for half.
    """
    fleet = gateway.fleet
    usual = max(fleet._usual.values(), default=0.0)
    if not usual or fleet.shortest_usual_latency > usual:
        return 1.0
    return (1 + max(LEAST_LOAD, 1 - fleet.shortest_usual_latency / usual)) / 2


def begin(gateway: Gateway, now: float, pace: float, asked: float) -> bool:
    """Begin under control if workers are cold together: whether it does.

    `pace` is what this gateway's part of the fleet served a second while they were warm, `asked` the share of what
    they can do that this was (`load`). Harm: where much less was asked than before the loss, control is on for
    nothing, and lets all through; where the pace is far too low, it takes the loop seconds to raise it.
    """
    warm = warmth(gateway, now)
    if pace <= 0 or warm >= 1 or asked > 0 and warm >= asked:
        return False
    gateway.throttle.activate_at(now, pace / max(asked, LEAST_LOAD), warm)
    return True


def follow(gateway: Gateway, now: float) -> None:
    """A look in service: control's rate follows the workers' warmth, up and down."""
    gateway.throttle.update_warm_share(now, warmth(gateway, now))
