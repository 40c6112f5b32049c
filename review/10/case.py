"""Discovery's answers have no length: the connection says `Connection: close`, and its end is the end of the answer."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from kit2.stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Discovery,
    Gatekeeper,
    Record,
    Worker,
    head,
    read_message,
    run_case,
    settings,
)

GRACE_SECONDS = 0.5 + 0.05  # Rules.DrainGraceUs, and "each time limit is 50 ms longer"
LATEST_TOLD_SECONDS = 6.0  # "counts as told 6 s later at the latest, whether or not it arrived"
WATCHED_SECONDS = 12.0


class DiscoveryWithoutLengths(Discovery):
    """Answers whole, without a length once `without_length` is set."""

    without_length = False
    told_at = 0.0  # when the change was first written whole to the gatekeeper

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader, self.record.now)
                query = dict(p.partition("=")[::2] for p in message.first.split()[1].partition("?")[2].split("&") if p)
                since = int(query.get("index", -1))
                if since >= self.index:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(query.get("wait", 0)) / 1000)
                whole = since < 0
                if whole:
                    endpoints = [worker.entry() for worker in self.workers]
                else:
                    endpoints = list({e["name"]: e for number, e in self._log if number > since}.values())
                body = json.dumps({"index": self.index, "snapshot": whole, "endpoints": endpoints}).encode()
                framing = b"Connection: close" if self.without_length else b"Content-Length: %d" % len(body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%b\r\n\r\n%b" % (framing, body))
                await writer.drain()
                if self.index > 1 and not self.told_at:
                    self.told_at = self.record.now()
                    self.record.write(f"discovery has written the change whole: {body.decode()}")
                if self.without_length:
                    break
        writer.close()  # no unread input: the end of the answer is an orderly one, not a reset


async def ask(request_id: str, port: int, record: Record) -> None:
    """Send a request and read its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head(request_id))
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        record.write(f"answer to {request_id}: {(await read_message(reader, record.now)).first}")
    writer.close()


async def case(record: Record) -> int:
    """Run the case."""
    workers = [Worker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        await worker.start()
    discovery = DiscoveryWithoutLengths(workers, record)
    await discovery.start()
    gatekeeper = Gatekeeper(record, discovery.port, settings())
    try:
        await gatekeeper.start()
        await asyncio.sleep(0.5)
        discovery.without_length = TROUBLE
        drained = workers[0]
        drained.status = "draining"
        discovery.tell(drained)
        clients = []
        while record.now() < 2.0 + WATCHED_SECONDS:
            clients.append(asyncio.create_task(ask(f"r-{len(clients)}", gatekeeper.port, record)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*clients)
    finally:
        gatekeeper.end()
    if not discovery.told_at:
        record.write("the gatekeeper never asked")
        return BROKEN
    late = [at - discovery.told_at for at, _ in drained.runs if at - discovery.told_at > GRACE_SECONDS]
    record.write(f"{len(late)} requests to the draining worker more than {GRACE_SECONDS} s after it was told")
    later = [age for age in late if age > LATEST_TOLD_SECONDS + GRACE_SECONDS]
    record.write(f"{len(later)} of them more than {LATEST_TOLD_SECONDS} s and the grace after, the last {late[-1:]} s")
    return BROKEN if late else HELD


run_case(str(pathlib.Path(__file__).parent), case)
