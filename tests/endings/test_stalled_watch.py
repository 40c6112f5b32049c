"""A watch that falls silent, and an agent that returns: what was missed is heard before it counts as told."""

import asyncio

import pytest

from micagate.estimates.start_times import StartTimes
from oliveloft.discovery import policy
from oliveloft.discovery.watch import DiscoveryWatch
from rig.fake_servers import Discovery, run, until

TOLD = 6.0  # seconds after a watch fell silent, or ...
AFTER_WAIT = 2.0  # ... after its wait was over, if that is later
GRACE = 0.25  # seconds that the shortest grace of a drain lasts
LIST = [{"name": "w", "address": "h:1", "status": "up"}]


class Mute(Discovery):
    """An agent whose first open watch falls silent: it is never answered, and what comes after it is."""

    @property
    def silent(self):
        return len(self.asked) == 2

    @silent.setter
    def silent(self, value):
        assert value is False  # as it begins


@pytest.mark.parametrize("gatekeepers", [1, 4])
def test_what_a_silent_watch_missed_is_asked_for_anew_in_time(gatekeepers):
    told = []

    async def scenario():
        loop, agent = asyncio.get_running_loop(), await Mute(LIST).start()
        watch = DiscoveryWatch(loop, ("127.0.0.1", agent.port), StartTimes(0.0), told.append, None, gatekeepers)
        watch.start()
        await until(lambda: len(agent.asked) == 2)
        silent, asked = loop.time(), len(agent.asked)  # the open watch never hears of what is told from now on
        agent.index, agent.entries = 2, [{**LIST[0], "status": "draining"}]
        await until(lambda: len(agent.asked) > asked)
        await until(lambda: told[-1].endpoints and told[-1].endpoints[0].entry.state == "draining")
        assert loop.time() - silent < TOLD - 0.4
        watch.stop()
        agent.stop()

    run(scenario())


def test_the_constants_leave_time_after_each_silence():
    """Of an agent alone, of one that many load, and of the first calls of a large fleet."""
    for wait in (policy.WAIT_SECONDS, policy.PROBE_WAIT_SECONDS):
        ends = wait + policy.ANSWER_TIMEOUT_SECONDS + policy.SHARED_UNANSWERED_BACKOFF_SECONDS
        assert ends < max(TOLD, wait + AFTER_WAIT)
    longest_backoff = policy.OWN_AGENT_BACKOFF_SECONDS * 2**policy.OWN_AGENT_DOUBLINGS
    assert policy.PROBE_INTERVAL_SECONDS + longest_backoff < GRACE
    for gatekeepers in (2, 40, 200, 1000):
        last = policy.watch_policy(gatekeepers, gatekeepers - 1, holds_list=True)
        assert last.first_call_seconds <= policy.SPREAD_SECONDS < TOLD
        assert last.longest_backoff_seconds <= policy.MOST_SECONDS < TOLD


def test_an_agent_that_is_silent_is_asked_so_often_that_its_return_is_noticed_at_once():
    told = []

    async def scenario():
        loop, agent = asyncio.get_running_loop(), await Discovery(LIST).start()
        watch = DiscoveryWatch(loop, ("127.0.0.1", agent.port), StartTimes(0.0), told.append)
        watch.start()
        await agent.watched()
        agent.silent = True  # a call that it lets go is never answered
        for _, writer in agent._ends:
            writer.transport.abort()
        asked = len(agent.asked)
        await until(lambda: len(agent.asked) > asked)
        began = loop.time()
        await until(lambda: len(agent.asked) > asked + 5)
        assert (loop.time() - began) / 5 < GRACE
        agent.silent, agent.index, heard = False, 2, len(told)
        returned = loop.time()
        await until(lambda: len(told) > heard)
        assert loop.time() - returned < 0.5
        watch.stop()
        agent.stop()

    run(scenario())
