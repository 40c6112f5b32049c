"""Bodies in chunks with a trailer field, and a worker that reads and writes them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

from kit2.stand_ins import CUSTOMER, Record, Worker, read_head

CHUNK_BYTES = 16 * 1024
TRAILER = b"Digest: sha-256=47DEQpj8HBSa\r\n"


def in_chunks(body: bytes, trailer: bytes) -> bytes:
    """A body in chunks, with trailer fields if there are any."""
    chunks = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n" + trailer + b"\r\n"


def body_for(request_id: str, size: int) -> bytes:
    """The body made for a request."""
    return hashlib.sha256(request_id.encode()).digest() * (size // 32)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length, or in chunks with or without trailer fields."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return b"".join(parts)


class ChunkedWorker(Worker):
    """A worker whose answers come in chunks."""

    answer_bytes, trailer = 2 * 1024, b""

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._answer, "127.0.0.1", self.port, limit=1 << 20)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request_id = headers["x-request-id"]
                self.runs.append((self.record.now(), request_id))
                self.record.write(f"worker {self.name} has {request_id} whole, {len(body)} bytes of body, and runs it")
                await asyncio.sleep(self.work)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(in_chunks(body_for(request_id, self.answer_bytes), self.trailer))
                await writer.drain()
                self.record.write(f"worker {self.name} has given its answer to {request_id} whole")
        writer.close()


async def file_message(
    request_id: str, port: int, record: Record, size: int, trailer: bytes, answer_bytes: int
) -> bool:
    """Send a filing in chunks and read the answer; return whether a whole final answer came."""
    first, reason, whole = "NONE", "", False
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    try:
        writer.write(
            f"POST /file-message?customer={CUSTOMER} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {request_id}\r\n"
            "X-Priority-Class: file-message\r\nX-Tariff: open\r\nX-Timeout: 4.000\r\nTransfer-Encoding: chunked\r\n"
            "X-Weight: units=1,spread=1,first=0\r\n\r\n".encode()
        )
        writer.write(in_chunks(body_for(request_id, size), trailer))
        await writer.drain()
        record.write(f"client has sent {request_id} whole, {size} bytes of body")
        first, headers = await read_head(reader)
        body = await asyncio.wait_for(read_body(reader, headers), 8)
        whole = not first.startswith("HTTP/1.1 200") or body == body_for(request_id, answer_bytes)
    except asyncio.IncompleteReadError as error:
        reason = f"the connection ended, {len(error.partial)} bytes of the next part had come"
    except (ConnectionError, TimeoutError) as error:
        reason = repr(error)
    writer.close()
    record.write(f"answer to {request_id}: {first}, {'whole' if whole else 'NOT WHOLE: ' + reason}")
    return whole
