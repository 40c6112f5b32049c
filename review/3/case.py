"""An operator's OFFLINE is answered ok while the process is replaced, and the worker gets new work all the same."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    TROUBLE,
    Agent,
    CannotRun,
    Message,
    Platform,
    Record,
    Worker,
    exchange,
    http_answer,
    plan,
    play,
    request,
    request_class,
    small_settings,
)

GRACE_SECONDS = 0.5  # of a drain
SLACK_SECONDS = 0.05  # "every time limit is 50 ms longer"
CALL_AFTER_SECONDS = 0.5  # from the first answer at the new process's operators' address to the call
REQUESTS_PER_SECOND = 40
SECONDS_AFTER_CALL = 6.0


async def case(record: Record, platform: Platform) -> bool:
    """Replace the process under load and take one worker out of service meanwhile."""
    arrivals: list[tuple[float, str]] = []  # when a request had come whole, and at which worker

    async def handle(worker: Worker, message: Message, writer: asyncio.StreamWriter) -> None:
        arrivals.append((time.monotonic(), worker.name))
        await asyncio.sleep(0.05)
        writer.write(http_answer(200, message.id.encode()))

    workers = [Worker(f"w{n}", record, handle) for n in range(4)]
    for worker in workers:
        await worker.start()
    agent = Agent(record)
    await agent.start([worker.entry() for worker in workers])
    settings = small_settings(
        [request_class("fetch-text", "pure", 1.0, 4.0), request_class("file-message", "side_effect", 1.0, 4.0)],
        [plan("basic", 0.9, 4.0)],
    )
    gatekeeper = platform.gatekeeper("n1")
    old = gatekeeper.start(agent, settings)
    await old.until_healthy()
    running = True

    async def clients() -> None:
        """Requests of many customers, each on a new connection."""
        number, tasks = 0, set[asyncio.Task[None]]()

        async def ask(number: int) -> None:
            data = request("fetch-text", f"r{number}", number, "basic", 4.0)
            answer = await exchange(gatekeeper.port, data, 6.0)
            record.add(f"client has {answer.status if answer else 'no answer'} to r{number}")

        while running:
            number += 1
            tasks.add(task := asyncio.create_task(ask(number)))
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)

    load = asyncio.create_task(clients())
    await asyncio.sleep(2.0)
    if TROUBLE:
        agent.silent = True
        record.add("discovery is silent from here on")
    started = time.monotonic()
    new = gatekeeper.start(agent, settings)
    ready = asyncio.create_task(new.until_healthy())
    while not ready.done() and not await new.call("HEALTH", quiet=True):
        await asyncio.sleep(0.01)
    await asyncio.sleep(CALL_AFTER_SECONDS)
    called = time.monotonic()
    answer = await old.call("OFFLINE w0")
    if not answer.startswith("ok"):
        raise CannotRun(f"the call was not answered ok: {answer}")
    said = time.monotonic()
    await ready
    record.add(f"the new process says yes {time.monotonic() - started:.3f} s after its start")
    old.signal(signal.SIGTERM)
    await asyncio.sleep(2.0)
    agent.silent = False
    if TROUBLE:
        record.add("discovery answers again")
    await asyncio.sleep(max(0.0, called + SECONDS_AFTER_CALL - time.monotonic()))
    await new.call("HEALTH")
    running = False
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(load, 8)
    late = [at - said for at, name in arrivals if name == "w0" and at > said + GRACE_SECONDS + SLACK_SECONDS]
    others = sum(at > said + GRACE_SECONDS for at, name in arrivals if name != "w0")
    if "takeover: the new process serves" not in old.log():
        raise CannotRun("the old process did not give its state to the new one")
    record.add(
        f"requests that came more than {GRACE_SECONDS + SLACK_SECONDS} s after the ok: {len(late)} at w0, {others} at "
        f"the other workers; the last at w0 after {max(late, default=0.0):.3f} s"
    )
    if not others:
        raise CannotRun("no worker got anything after the call")
    return not late


if __name__ == "__main__":
    play(__file__, case)
