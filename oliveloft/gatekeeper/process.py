"""Runs one gatekeeper process, from its configuration to its shutdown on a signal.

The start has a fixed order: the operators' address first, so that operators are answered whatever happens to the rest;
then the state of a predecessor or of the disk; then the waits for a discovery agent of this process's own, the fleet
and the planners, as far as there are any; and the clients' listener last.
"""

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
from oliveloft.connection_memory import ConnectionMemory
from oliveloft.discovery.policy import FIRST_ANSWER_SECONDS
from oliveloft.discovery.watch import DiscoveryWatch, WatchState
from oliveloft.dispatch.dispatcher import RequestDispatcher
from oliveloft.front.connection import ClientConnection
from oliveloft.front.listener import ClientListener, listening_socket
from oliveloft.front.server import Server
from oliveloft.manage.operations import Operations
from oliveloft.manage.server import MAX_CALLERS, ManagementServer
from oliveloft.shared_types import DiscoveryUpdate

if TYPE_CHECKING:  # a gatekeeper without planners, fleet and shared counter does not load these modules
    from oliveloft.counter.client import CounterClient
    from oliveloft.fleet.config import FleetConfig
    from oliveloft.fleet.member import Member
    from oliveloft.planners.config import PlannersConfig
    from oliveloft.takeover.handoff import Handoff

log = logging.getLogger("oliveloft")

ACCEPT_AFTER_SIGTERM_SECONDS = 0.5  # whoever sends clients here takes up to 0.4 s to notice the shutdown
# SIGKILL follows SIGTERM no sooner than the longest deadline (counted up to MAX_DEADLINE_SECONDS) plus
# KILL_DELAY_SECONDS. All requests are answered KILL_MARGIN_SECONDS earlier: what SIGKILL interrupts is lost.
MAX_DEADLINE_SECONDS, KILL_DELAY_SECONDS, KILL_MARGIN_SECONDS = 3.0, 0.7, 0.12
# Idle connections are checked at this interval, or at this share of the workers' idle timeout if that is shorter.
SWEEP_INTERVAL_SECONDS = 0.25
SWEEP_IDLE_TIMEOUT_SHARE = 0.1
RESERVED_DESCRIPTORS = 48  # for all but clients and workers, and for connections that are being closed
CLIENT_SHARE = 0.6  # of the other descriptors, for client connections; the rest is for connections to workers
IDLE_CLIENT_SHARE = 0.2  # of all descriptors, for idle client connections: clients hold a third of them at most
# A successor already has its predecessor's worker list, and must not keep clients waiting.
SUCCESSOR_ANSWER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ForwarderConfig:
    """What a gatekeeper that takes its shares from planners needs: its number, the planners and its start time."""

    index: int
    config: PlannersConfig
    started_at: float  # on the monotonic clock


async def serve(config: Config, forwarder: ForwarderConfig | None = None, fleet: FleetConfig | None = None) -> int:
    """Run the gatekeeper until SIGTERM or SIGINT; return the exit status."""
    loop = asyncio.get_running_loop()
    descriptors = max(
        16, config.max_descriptors - RESERVED_DESCRIPTORS - (MAX_CALLERS if config.management is not None else 0)
    )
    descriptors = min(descriptors, config.max_connections)
    max_clients = int(descriptors * CLIENT_SHARE)
    memory = ConnectionMemory(config.max_buffered_bytes)
    workers = ConnectionPool(
        loop,
        descriptors - max_clients,
        config.connect_timeout,
        config.idle_timeout,
        max_streamed_body=config.max_body_bytes,
        memory=memory,
    )
    clock_offset = time.time() - loop.time()  # read once, since the wall clock may be stepped
    start_times = StartTimes(clock_offset)
    counter: CounterClient | None = None
    if config.counter is not None and config.settings.counter_timeout:
        from oliveloft.counter.client import CounterClient

        counter = CounterClient(loop, config.counter, config.settings.counter_timeout, config.seed)
    gateway = Gateway(config.settings, config.seed, loop.time(), clock_offset)
    dispatcher = RequestDispatcher(loop, config.settings, gateway, workers, counter)
    max_idle_clients = int(config.max_descriptors * IDLE_CLIENT_SHARE)
    presence = Presence()
    server = Server(
        loop,
        config.settings,
        config.max_units,
        max_clients,
        max_idle_clients,
        dispatcher,
        presence,
        config.max_body_bytes,
        memory,
    )
    handoff: Handoff | None = None
    handoff_folder = os.environ.get("TMPDIR") if config.accept_fd is not None else None
    if handoff_folder:  # hot restarts are possible; otherwise their modules are not loaded
        from oliveloft.takeover.handoff import Handoff

        handoff = Handoff(loop, gateway, dispatcher, server, workers, presence, clock_offset, start_times)
    member: Member | None = None
    if fleet is not None:
        from oliveloft.fleet.member import Member

        member = Member(loop, config.name, fleet, gateway, dispatcher, presence, clock_offset, config.settings)
    operations = Operations(
        loop, dispatcher, server, presence, handoff.forward_call if handoff is not None else None, member
    )
    management = None
    if config.management is not None:  # first, so that operators are answered whatever happens to the rest
        management = ManagementServer(loop, operations.execute)
        try:
            management_address = await management.start(*config.management)
        except OSError as error:
            raise ConfigError(f"management: {error.strerror or error}") from error
        log.info("management at %s:%d", *management_address)

    def on_discovery_update(update: DiscoveryUpdate) -> None:
        dispatcher.update_workers(update)
        if len(workers):
            server.workers_available()
        if member is not None:
            member.worker_list_changed()
        if handoff is not None:
            handoff.forward_list(update)

    index = None
    took_over = False  # whether this process has the state of a predecessor
    if handoff is not None and handoff_folder:
        handoff.apply_call = operations.apply_forwarded
        if took_over := await handoff.take_over(config.name, handoff_folder):
            index = handoff.index if handoff.discovery_address == config.discovery else None
    if member is not None:
        try:
            await member.start()
        except OSError as error:
            raise ConfigError(f"members.{config.name}: {error.strerror or error}") from error
    if config.known is not None and not took_over:
        try:
            known = DiscoveryUpdate({"index": 0, **config.known})
            known.is_snapshot = True
            known.set_start_times(start_times, loop.time())
            on_discovery_update(known)
            if "index" in config.known and known.endpoints and not known.skipped:
                index = known.index  # ask only for later changes: snapshots are expensive when many processes restart
        except ValueError as error:
            log.warning("known: %s; starting without it", error)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    links = None
    if forwarder is not None:
        from oliveloft.planners.link import Links

        links = Links(config.name, forwarder.index, forwarder.config, dispatcher, forwarder.started_at)
        if member is not None:
            member.use_planner_links(links)
        links.start()
    gatekeeper_count = config.settings.gateways if config.settings.requires_subscription else 1
    discovery = DiscoveryWatch(
        loop,
        config.discovery,
        start_times,
        on_discovery_update,
        index,
        gatekeeper_count,
        config.settings.number or 0,
        config.seed,
    )

    if handoff is not None:
        handoff.discovery = discovery

    def reload() -> None:
        """Read the configuration again and apply its addresses; all other settings are read only at the start."""
        try:
            reloaded = load(os.environ)
        except ConfigError as error:
            log.warning("reload: %s; keeping the current configuration", error)
            return
        log.info("reloaded: discovery at %s:%d", *reloaded.discovery)
        discovery.change_address(reloaded.discovery)
        if counter is not None and reloaded.counter is not None:
            counter.change_address(reloaded.counter)

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    if member is not None or discovery.has_own_agent:
        discovery.start()
    if discovery.has_own_agent:
        timeout_seconds = SUCCESSOR_ANSWER_SECONDS if took_over else FIRST_ANSWER_SECONDS
        answered = await _first_answer(loop, discovery, stop, timeout_seconds)
        if not answered:
            log.warning("discovery: no answer in %.1f s; serving by the last known list", timeout_seconds)
    if member is not None:
        await member.wait_until_open(stop, lambda: len(workers) > 0)
    if links is not None:
        waiting = {loop.create_task(links.ready()), loop.create_task(stop.wait())}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
    try:
        listener = _open_listener(loop, config, server)
    except OSError as error:
        raise ConfigError(f"listen: {error.strerror or error}") from error
    if discovery.state is WatchState.STOPPED:
        discovery.start()  # a service that all gatekeepers share is first called in this gatekeeper's own time slot

    server.accepting = True
    if handoff is not None and handoff_folder:
        handoff.on_accepting(config.name, handoff_folder, listener, lambda: _open_listener(loop, config, server))

    gc.collect()
    gc.freeze()
    log.info("%s listens at %s:%d", config.name, *listener.address)

    def sweep() -> None:
        workers.sweep()
        server.sweep()
        loop.call_later(sweep_interval, sweep)

    sweep_interval = max(0.02, min(SWEEP_INTERVAL_SECONDS, SWEEP_IDLE_TIMEOUT_SHARE * config.idle_timeout))
    loop.call_later(sweep_interval, sweep)
    await stop.wait()
    if dispatcher.guard.refused:
        log.error("steps refused: %s", dispatcher.guard.summary())
    drain_until = (
        loop.time()
        + min(MAX_DEADLINE_SECONDS, max(klass.deadline for klass in config.settings.classes))
        + KILL_DELAY_SECONDS
        - KILL_MARGIN_SECONDS
    )
    log.info("stopping")
    server.begin_shutdown()
    if handoff is None or not handoff.superseded:
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
    await server.drain(drain_until)
    listener.close()  # only now: a client whose request crossed the close of its connection connects again
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
    """Wait for the agent's first answer; return False if it did not come within the timeout.

    A signal to stop ends the wait as well. The platform counts the agent's list as notified from the first moment of
    the process, so a request that is routed by an older list could go to a worker that is draining or removed.
    """
    answer = loop.create_task(discovery.first_answer(timeout_seconds))
    stopping = loop.create_task(stop.wait())
    await asyncio.wait({answer, stopping}, return_when=asyncio.FIRST_COMPLETED)
    finished = answer.done() and answer.result() or stopping.done()
    for task in (answer, stopping):
        task.cancel()
    return finished


def _open_listener(loop: asyncio.AbstractEventLoop, config: Config, server: Server) -> ClientListener:
    """Open the clients' listener, on the inherited socket if there is one, otherwise on a new one."""
    if config.accept_fd is None:
        sock = listening_socket(config.listen)
    else:
        sock = socket.socket(fileno=os.dup(config.accept_fd))  # a copy: the inherited one stays open to resume from
    return ClientListener(loop, sock, lambda: ClientConnection(server), server.make_room)


def _forwarder_config(config: Config, index: int, file: str, started_at: float) -> ForwarderConfig:
    """Load the planners' configuration and check that it fits this gatekeeper's settings."""
    from oliveloft.planners.config import load as load_planners

    planners = load_planners(file)
    if planners.forwarders != config.settings.gateways:
        raise ConfigError(
            f"forwarders.count: {planners.forwarders} in {file}, but settings.NInstances is "
            f"{config.settings.gateways}"
        )
    if not 0 <= index < planners.forwarders:
        raise ConfigError(f"--number: must be from 0 to {planners.forwarders - 1}, not {index}")
    return ForwarderConfig(index, planners, started_at)


def _fleet_config(config: Config, file: str) -> FleetConfig:
    """Load the fleet's configuration and check that this gatekeeper is one of its members."""
    from oliveloft.fleet.config import load as load_fleet

    fleet = load_fleet(file)
    if config.name not in fleet.members:
        raise ConfigError(f"members: {config.name!r}, this gatekeeper's name, is none of those in {file}")
    return fleet


def main(index: int | None = None, planners: str = "", fleet: str = "") -> int:
    """Load the configuration and serve; return the exit status.

    `index` is the number of this forwarder if it takes its shares from planners, and `planners` their configuration
    file; `fleet` is the configuration file of the fleet that this gatekeeper is a member of, if any.
    """
    started_at = time.monotonic()
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    # Holds back a SIGHUP that arrives before its handler is installed: it stays pending, and neither terminates the
    # process nor is lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load(os.environ)
        forwarder = None
        if index is not None:
            forwarder = _forwarder_config(config, index, planners, started_at)
        fleet_config = _fleet_config(config, fleet) if fleet else None
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.max_descriptors, hard))  # never more than configured
        return uvloop.run(serve(config, forwarder, fleet_config))
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2
