"""A discovery agent that answers late: its changes count as notified, so a draining worker must get no request."""

import asyncio
import contextlib

import pytest

from rig.agent import FakeAgent
from rig.fake_servers import FakeWorker, config, launch, run, until


class TimedWorker(FakeWorker):
    """A worker that records the time of each request."""

    def __init__(self, name):
        super().__init__(name, self._answer)
        self.times = []

    async def _answer(self, request, writer):
        self.times.append(asyncio.get_running_loop().time())
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone")


@contextlib.asynccontextmanager
async def gatekeeper_with(agent, known=None):
    """A gatekeeper in a process of its own that uses this agent."""
    gatekeeper = await launch(config(agent.port, known=known))
    try:
        yield gatekeeper
        assert gatekeeper.process.returncode is None, gatekeeper.log
    finally:
        if gatekeeper.process.returncode is None:
            gatekeeper.process.kill()
        await gatekeeper.process.wait()


async def ask_until(gatekeeper, done):
    """Send requests over one connection until `done`; return how many were served."""
    client, served = await gatekeeper.client(), 0
    while not done():
        served += (await client.fetch("write")).status == 200
        await asyncio.sleep(0.005)
    client.writer.close()
    return served


@pytest.mark.parametrize("delay", [0.8, 2.0])
def test_a_new_process_sends_no_request_by_its_known_list_while_the_agent_is_slow_to_answer(delay):
    async def scenario():
        draining, healthy = await TimedWorker("draining").start(), await TimedWorker("healthy").start()
        known = [draining.entry(), healthy.entry()]  # as its predecessor had it
        agent = FakeAgent([draining.entry(status="draining"), healthy.entry()], index=2)
        agent.faults.delay_seconds = lambda: delay
        await agent.start()
        async with gatekeeper_with(agent, known) as gatekeeper:
            assert await ask_until(gatekeeper, lambda: len(draining.received) + len(healthy.received) >= 60) > 0
            assert not draining.received

    run(scenario())


@pytest.mark.parametrize("delay", [0.4, 0.8, 1.8])
def test_after_a_connection_reset_late_answers_of_the_agent_are_still_applied(delay):
    async def scenario():
        worker, healthy = await TimedWorker("draining").start(), await TimedWorker("healthy").start()
        agent = await FakeAgent([worker.entry(), healthy.entry()]).start()
        async with gatekeeper_with(agent) as gatekeeper:
            await until(lambda: len(agent.calls) > 1)
            agent.faults.delay_seconds = lambda: delay
            agent.reset_connections()
            await asyncio.sleep(1.0)
            await agent.change(worker.entry(status="draining"))
            loop = asyncio.get_running_loop()
            changed, ends = loop.time(), loop.time() + delay + 2.0
            assert await ask_until(gatekeeper, lambda: loop.time() > ends) > 0
            last = max((at for at in worker.times if at > changed), default=changed)
            assert last - changed < delay + 0.6  # the delay of the answer, and one probe interval
            assert healthy.times[-1] > ends - 0.5

    run(scenario())


def test_a_new_process_starts_to_listen_although_its_agent_never_answers():
    async def scenario():
        worker = await FakeWorker("known").start()
        agent = FakeAgent([worker.entry()])
        agent.faults.unresponsive = True
        await agent.start()
        async with gatekeeper_with(agent, [worker.entry()]) as gatekeeper:
            assert (await (await gatekeeper.client()).fetch("write")).status == 200
            assert await gatekeeper.health() == 200

    run(scenario())


def test_an_agent_that_answers_long_polls_at_once_with_no_change_gets_a_bounded_number_of_calls():
    async def scenario():
        worker = await FakeWorker("w").start()
        agent = FakeAgent([worker.entry()])
        agent._compose_watch = agent._compose
        body = b'{"index": 1, "snapshot": false, "endpoints": []}'

        async def at_once(path):
            return body if "index=" in path else await agent._compose_watch(path)

        agent._compose = at_once
        await agent.start()
        async with gatekeeper_with(agent) as gatekeeper:
            await until(lambda: len(agent.calls) > 1)
            before = len(agent.calls)
            await asyncio.sleep(1.0)
            assert len(agent.calls) - before < 60
            assert (await (await gatekeeper.client()).fetch("write")).status == 200

    run(scenario())
