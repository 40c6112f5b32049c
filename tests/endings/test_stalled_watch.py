"""Long polls that are not answered, and an agent that recovers: missed changes are fetched before the platform counts
them as notified."""

import asyncio

import pytest

from micagate.estimates.start_times import StartTimes
from oliveloft.discovery import policy
from oliveloft.discovery.watch import DiscoveryWatch
from rig.fake_servers import FakeDiscovery, run, until

# A change counts as notified this many seconds after a long poll stops being answered, or after its wait is over,
# whichever is later.
NOTIFIED_SECONDS = 6.0
NOTIFIED_AFTER_WAIT_SECONDS = 2.0
DRAIN_GRACE_SECONDS = 0.25  # the shortest grace period of a drain
LIST = [{"name": "w", "address": "h:1", "status": "up"}]


class UnansweredLongPoll(FakeDiscovery):
    """An agent that never answers the first long poll, and answers the calls after it."""

    @property
    def unresponsive(self):
        return len(self.requested_paths) == 2

    @unresponsive.setter
    def unresponsive(self, value):
        assert value is False  # set by the base class


@pytest.mark.parametrize("gatekeepers", [1, 4])
def test_a_change_missed_by_an_unanswered_long_poll_is_fetched_in_time(gatekeepers):
    updates = []

    async def scenario():
        loop, agent = asyncio.get_running_loop(), await UnansweredLongPoll(LIST).start()
        watch = DiscoveryWatch(loop, ("127.0.0.1", agent.port), StartTimes(0.0), updates.append, None, gatekeepers)
        watch.start()
        await until(lambda: len(agent.requested_paths) == 2)
        # The open long poll does not report changes from now on.
        stalled_at, asked = (loop.time(), len(agent.requested_paths))
        agent.index, agent.entries = 2, [{**LIST[0], "status": "draining"}]
        await until(lambda: len(agent.requested_paths) > asked)
        await until(lambda: updates[-1].endpoints and updates[-1].endpoints[0].entry.state == "draining")
        assert loop.time() - stalled_at < NOTIFIED_SECONDS - 0.4
        watch.stop()
        agent.stop()

    run(scenario())


def test_the_constants_leave_time_after_an_unanswered_call():
    """For a process's own agent, for a shared service, and for the first calls of a large fleet."""
    for wait in (policy.WAIT_SECONDS, policy.PROBE_WAIT_SECONDS):
        ends = wait + policy.ANSWER_TIMEOUT_SECONDS + policy.SHARED_UNANSWERED_BACKOFF_SECONDS
        assert ends < max(NOTIFIED_SECONDS, wait + NOTIFIED_AFTER_WAIT_SECONDS)
    longest_backoff = policy.OWN_AGENT_BACKOFF_SECONDS * 2**policy.OWN_AGENT_DOUBLINGS
    assert policy.PROBE_INTERVAL_SECONDS + longest_backoff < DRAIN_GRACE_SECONDS
    for gatekeepers in (2, 40, 200, 1000):
        last_policy = policy.watch_policy(gatekeepers, gatekeepers - 1, has_list=True)
        assert last_policy.first_call_seconds <= policy.MAX_SPREAD_SECONDS < NOTIFIED_SECONDS
        assert last_policy.max_backoff_seconds <= policy.MAX_SHARED_BACKOFF_SECONDS < NOTIFIED_SECONDS


def test_an_unresponsive_agent_is_called_so_often_that_its_recovery_is_noticed_at_once():
    updates = []

    async def scenario():
        loop, agent = asyncio.get_running_loop(), await FakeDiscovery(LIST).start()
        watch = DiscoveryWatch(loop, ("127.0.0.1", agent.port), StartTimes(0.0), updates.append)
        watch.start()
        await agent.wait_until_watched()
        agent.unresponsive = True  # a call made now is never answered
        for _, writer in agent._connections:
            writer.transport.abort()
        asked = len(agent.requested_paths)
        await until(lambda: len(agent.requested_paths) > asked)
        began = loop.time()
        await until(lambda: len(agent.requested_paths) > asked + 5)
        assert (loop.time() - began) / 5 < DRAIN_GRACE_SECONDS
        agent.unresponsive, agent.index, update_count = False, 2, len(updates)
        returned = loop.time()
        await until(lambda: len(updates) > update_count)
        assert loop.time() - returned < 0.5
        watch.stop()
        agent.stop()

    run(scenario())
