"""One gatekeeper as the platform runs it, from its start to its end on a signal."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import resource
import signal
import socket
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uvloop

from micagate.estimates.start_times import StartTimes
from micagate.gateway import Gateway
from micagate.operating.presence import Presence
from oliveloft.backend.pool import ConnectionPool
from oliveloft.config.loading import Config, ConfigError, load
from oliveloft.counter.client import Counter
from oliveloft.discovery.policy import FIRST_ANSWER_SECONDS
from oliveloft.discovery.watch import DiscoveryWatch, WatchState
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.front.http import Client, Server
from oliveloft.front.listener import ClientListener, listening_socket
from oliveloft.manage.operations import Operations
from oliveloft.manage.server import MOST as CALLERS
from oliveloft.manage.server import Management
from oliveloft.shared_types import DiscoveryUpdate

if TYPE_CHECKING:  # the platform's gatekeeper has no planners, knows no others, and loads nothing of them
    from oliveloft.fleet.config import FleetConfig
    from oliveloft.fleet.member import Member
    from oliveloft.planners.config import PlannersConfig
    from oliveloft.takeover.handoff import Handoff

log = logging.getLogger("oliveloft")

STILL_COMING = 0.5  # seconds after SIGTERM in which connections are still taken (the front needs up to 0.4)
# SIGKILL comes no sooner than the longest deadline, counted up to so many seconds, and so much more after SIGTERM.
# All is answered a little before: what it finds is lost.
LONGEST, KILL_AFTER, BEFORE = 3.0, 0.7, 0.12
SWEEP = 0.25  # seconds between looks at idle connections, or this share of the workers' idle time-out
SWEEP_SHARE = 0.1
RESERVE = 48  # descriptors for all but clients and workers, and for connections on their way out
CLIENT_SHARE = 0.6  # of the rest; the others are for workers
KEPT_SHARE = 0.2  # of the descriptors, for clients' connections that may rest: clients hold a third at most
# A process that takes over from one that serves knows the list as that one had it, and must not keep clients waiting.
SUCCESSOR_ANSWER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Planning:
    """What makes a gatekeeper a forwarder: its number among them, the planners, and when it started."""

    index: int
    config: PlannersConfig
    born: float


async def serve(config: Config, planning: Planning | None = None, fleet: FleetConfig | None = None) -> int:
    """Run until a signal; the exit status."""
    loop = asyncio.get_running_loop()
    room = max(16, config.sockets - RESERVE - (CALLERS if config.management is not None else 0))
    clients = int(room * CLIENT_SHARE)
    workers = ConnectionPool(loop, room - clients, config.connect_timeout, config.idle_close, longest=config.longest)
    offset = time.time() - loop.time()  # read once: the wall clock may be stepped
    start_times = StartTimes(offset)
    counter = None
    if config.counter is not None and config.settings.counter_timeout:
        counter = Counter(loop, config.counter, config.settings.counter_timeout, config.seed)
    gateway = Gateway(config.settings, config.seed, loop.time(), offset)
    dispatcher = RequestDispatcher(loop, config.settings, gateway, workers, counter)
    kept = int(config.sockets * KEPT_SHARE)
    presence = Presence()
    server = Server(
        loop, config.settings, config.units_top, clients, kept, dispatcher, presence, config.longest, config.held
    )
    place: Handoff | None = None
    shared = os.environ.get("TMPDIR") if config.accept_fd is not None else None
    if shared:  # another process may take this one's place, or this one another's; else nothing of it is loaded
        from oliveloft.takeover.handoff import Handoff

        place = Handoff(loop, gateway, dispatcher, server, workers, presence, offset, start_times)
    member: Member | None = None
    if fleet is not None:
        from oliveloft.fleet.member import Member

        member = Member(loop, config.name, fleet, gateway, dispatcher, presence, offset, config.settings)
    operations = Operations(loop, dispatcher, server, presence, place.passed_on if place is not None else None, member)
    management = None
    if config.management is not None:  # first: operators are answered whatever becomes of the rest
        management = Management(loop, operations.carry)
        try:
            where = await management.start(*config.management)
        except OSError as error:
            raise ConfigError(f"management: {error.strerror or error}") from error
        log.info("management at %s:%d", *where)

    def tell(news: DiscoveryUpdate) -> None:
        dispatcher.update_workers(news)
        if len(workers):
            server.able()
        if member is not None:
            member.listed()

    index = None
    followed = False  # this process follows another one, and knows what that knew
    if place is not None and shared:
        place.carry = operations.apply
        if followed := await place.take(config.name, shared):
            index = place.index if place.told_by == config.discovery else None
    if member is not None:
        try:
            await member.remember()
        except OSError as error:
            raise ConfigError(f"members.{config.name}: {error.strerror or error}") from error
    if config.known is not None and not followed:
        try:
            known = DiscoveryUpdate({"index": 0, **config.known})
            known.whole = True
            known.date(start_times, loop.time())
            tell(known)
            if "index" in config.known and known.endpoints and not known.skipped:
                index = known.index  # only what came since is asked for: whole lists are dear at a mass restart
        except ValueError as error:
            log.warning("known: %s; starting without", error)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    links = None
    if planning is not None:
        from oliveloft.planners.link import Links

        links = Links(config.name, planning.index, planning.config, dispatcher, planning.born)
        if member is not None:
            member.follows(links)
        links.start()
    loading = config.settings.gateways if config.settings.requires_subscription else 1
    discovery = DiscoveryWatch(
        loop, config.discovery, start_times, tell, index, loading, config.settings.number or 0, config.seed
    )

    def reload() -> None:
        """Read the file again: discovery may have moved; the rest is read at the start only."""
        try:
            again = load(os.environ)
        except ConfigError as error:
            log.warning("reload: %s; all stays as it was", error)
            return
        log.info("reloaded: discovery at %s:%d", *again.discovery)
        discovery.move(again.discovery)
        if counter is not None and again.counter is not None:
            counter.move(again.counter)

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    if member is not None or discovery.own_agent:
        discovery.start()
    if discovery.own_agent:
        patience = SUCCESSOR_ANSWER_SECONDS if followed else FIRST_ANSWER_SECONDS
        answered = await _first_answer(loop, discovery, stop, patience)
        if not answered:
            log.warning("discovery: no answer in %.1f s; serving by the last known list", patience)
    if member is not None:
        await member.opens(stop, lambda: len(workers) > 0)
    if links is not None:
        waiting = {loop.create_task(links.ready()), loop.create_task(stop.wait())}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
    try:
        listener = _listen(loop, config, server)
    except OSError as error:
        raise ConfigError(f"listen: {error.strerror or error}") from error
    if discovery.state is WatchState.STOPPED:
        discovery.start()  # a service that all gatekeepers load is asked in this one's place of time

    server.accepts = True
    if place is not None and shared:
        place.serves(config.name, shared, listener, lambda: _listen(loop, config, server), discovery)

    gc.collect()
    gc.freeze()
    log.info("%s listens at %s:%d", config.name, *listener.address)

    def sweep() -> None:
        workers.sweep()
        server.sweep()
        loop.call_later(pause, sweep)

    pause = max(0.02, min(SWEEP, SWEEP_SHARE * config.idle_close))
    loop.call_later(pause, sweep)
    await stop.wait()
    if dispatcher.guard.refused:
        log.error("steps refused: %s", dispatcher.guard.summary())
    until = loop.time() + min(LONGEST, max(c.deadline for c in config.settings.classes)) + KILL_AFTER - BEFORE
    log.info("stopping")
    server.retire()
    if place is None or not place.superseded:
        await asyncio.sleep(STILL_COMING)
    await server.finish(until)
    listener.close()  # only here: a request that crossed the close of its connection comes once more
    discovery.stop()
    if counter is not None:
        counter.stop()
    if links is not None:
        links.stop()
    if member is not None:
        await member.stop()
    if management is not None:
        management.stop()
    return 0


async def _first_answer(
    loop: asyncio.AbstractEventLoop, discovery: DiscoveryWatch, stop: asyncio.Event, timeout_seconds: float
) -> bool:
    """Wait for the agent's first answer, for a bounded time, or until a signal to stop; whether it came.

    What the agent has counts as notified from the process's first moment, so a request that was sent by an older list
    could go to a server that is draining, or gone.
    """
    answered = loop.create_task(discovery.first_answer(timeout_seconds))
    stopped = loop.create_task(stop.wait())
    await asyncio.wait({answered, stopped}, return_when=asyncio.FIRST_COMPLETED)
    came = answered.done() and answered.result() or stopped.done()
    for task in (answered, stopped):
        task.cancel()
    return came


def _listen(loop: asyncio.AbstractEventLoop, config: Config, server: Server) -> ClientListener:
    """The clients' listener: on the socket that was inherited, where one is, else on an own one."""
    if config.accept_fd is None:
        sock = listening_socket(config.listen)
    else:
        sock = socket.socket(fileno=os.dup(config.accept_fd))  # the one that was inherited stays, to accept anew
    return ClientListener(loop, sock, lambda: Client(server), server.make_room)


def _planning(config: Config, index: int, file: str, born: float) -> Planning:
    from oliveloft.planners.config import load as load_planners

    planners = load_planners(file)
    if planners.forwarders != config.settings.gateways:
        raise ConfigError(
            f"forwarders.count: {planners.forwarders} in {file}, but settings.NInstances is "
            f"{config.settings.gateways}"
        )
    if not 0 <= index < planners.forwarders:
        raise ConfigError(f"--number: must be from 0 to {planners.forwarders - 1}, not {index}")
    return Planning(index, planners, born)


def _fleet(config: Config, file: str) -> FleetConfig:
    from oliveloft.fleet.config import load as load_fleet

    fleet = load_fleet(file)
    if config.name not in fleet.members:
        raise ConfigError(f"members: {config.name!r}, this gatekeeper's name, is none of those in {file}")
    return fleet


def main(index: int | None = None, planners: str = "", fleet: str = "") -> int:
    """Read the configuration and serve.

    With the planners' file as the forwarder of this number, with the fleet's as one of its members.
    """
    born = time.monotonic()
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    # Guards against a reload that comes before it can be carried out: it waits, and neither ends the process
    # nor is forgotten.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load(os.environ)
        planning = None
        if index is not None:
            planning = _planning(config, index, planners, born)
        known = _fleet(config, fleet) if fleet else None
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, hard))  # never more than was granted
        return uvloop.run(serve(config, planning, known))
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
