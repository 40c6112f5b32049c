"""HTTP/1.1 message forms that RFC 9110 and RFC 9112 allow, from clients and workers, and forms to refuse."""

import asyncio

import pytest

from rig.fake_servers import Client, FakeWorker, answer, run, running_gatekeeper

PLAIN = Client.request("write", id="form", body=b"abc")
HEAD = PLAIN.partition(b"\r\n\r\n")[0]
CHUNKED = HEAD.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked")


def head(old, new):
    """A request whose head has `new` in place of `old`."""
    assert old in HEAD
    return HEAD.replace(old, new) + b"\r\n\r\nabc"


ACCEPTED = {
    "plain": PLAIN,
    "no space after the colon": head(b": ", b":"),
    "spaces and tabs round values": head(b"\r\n", b" \t\r\n").replace(b"HTTP/1.1 \t", b"HTTP/1.1"),
    "names in upper case": head(b"X-Timeout", b"X-TIMEOUT").replace(b"Content-Length", b"CONTENT-LENGTH"),
    "names in lower case": head(b"X-Request-ID", b"x-request-id"),
    "an empty header": head(b"Host: origin.svc", b"Host: origin.svc\r\nX-Empty:\r\nX-Blank:  "),
    "a repeated header without a meaning here": head(b"Host: ", b"Accept: a\r\nAccept: b\r\nHost: "),
    "zeros before the length": head(b"Length: 3", b"Length: 0003"),
    "empty lines ahead": b"\r\n\r\n" + PLAIN,
    "the absolute form": head(b"POST /", b"POST http://origin.svc/"),
    "Connection with several words": head(b"Host: ", b"Connection: keep-alive, x-hop\r\nHost: "),
    "a chunk": CHUNKED + b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "chunks with extensions": CHUNKED + b'\r\n\r\n1;a\r\na\r\n2;b=c;d="e f"\r\nbc\r\n0;z\r\n\r\n',
    "sizes in either case with zeros": CHUNKED.replace(b"id: form", b"id: f") + b"\r\n\r\n0003\r\nabc\r\n000\r\n\r\n",
    "trailers": CHUNKED + b"\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\nX-Request-ID: other\r\n\r\n",
    "the coding in upper case": CHUNKED.replace(b"chunked", b"CHUNKED") + b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "a byte at a time": PLAIN,
}
REFUSED = {
    "two lengths": head(b"Length: 3", b"Length: 3\r\nContent-Length: 4"),
    "length with chunked": CHUNKED + b"\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "a space before the colon": head(b"Host:", b"Host :"),
    "a bare CR in a value": head(b"origin.svc", b"origin\r.svc"),
    "a line feed alone between headers": head(b"Host: origin.svc\r\n", b"Host: origin.svc\n\n"),
    "a length with a sign": head(b"Length: 3", b"Length: +3"),
    "a length that is no number": head(b"Length: 3", b"Length: 3, 3"),
    "a folded line": head(b"Host: origin.svc", b"Host: origin.svc\r\n X-Timeout: 9"),
    "chunked that is not last": CHUNKED.replace(b"chunked", b"chunked, gzip") + b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "a chunk size that is no number": CHUNKED + b"\r\n\r\nx3\r\nabc\r\n0\r\n\r\n",
    "a chunk longer than its size": CHUNKED + b"\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
    "a header without a name": head(b"Host: ", b": nothing\r\nHost: "),
    "a NUL in a header": head(b"origin.svc", b"origin\0.svc"),
}


@pytest.mark.parametrize("form", ACCEPTED)
def test_an_allowed_form_is_served_and_its_connection_stays_open(form):
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (_, _, client):
            data = ACCEPTED[form]
            for at in range(0, len(data), 1 if form == "a byte at a time" else len(data)):
                client.send(data[at : at + (1 if form == "a byte at a time" else len(data))])
                await asyncio.sleep(0)
            reply = await client.receive()
            assert reply is not None and reply.status == 200 and [seen.body for seen in worker.received] == [b"abc"]
            assert (await client.fetch("write")).status == 200

    run(scenario())


@pytest.mark.parametrize("form", REFUSED)
def test_a_form_that_allows_request_smuggling_is_refused_and_reaches_no_worker(form):
    async def scenario():
        worker = FakeWorker("w")
        async with running_gatekeeper(worker) as (gatekeeper, _, client):
            client.send(REFUSED[form])
            reply = await client.receive()
            assert reply is None or reply.status >= 400
            assert await client.is_closed_cleanly() and not worker.received
            assert (await (await gatekeeper.client()).fetch("write")).status == 200

    run(scenario())


@pytest.mark.parametrize(("line", "stays_open"), [("", False), ("Connection: keep-alive\r\n", True)])
def test_http_1_0_connections_stay_open_only_with_connection_keep_alive(line, stays_open):
    async def scenario():
        async with running_gatekeeper(FakeWorker("w")) as (_, _, client):
            client.send(Client.request("write", extra=line).replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert (await client.receive()).status == 200
            if stays_open:
                assert (await client.fetch("write")).status == 200
            else:
                assert await client.is_closed_cleanly()

    run(scenario())


RESPONSES = {
    "plain": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "spaces round values": b"HTTP/1.1 200 OK\r\nContent-Length: \t4 \r\nX-Allowance-Used:  50 \r\n\r\ndone",
    "no reason": b"HTTP/1.1 200 \r\ncontent-length:4\r\n\r\ndone",
    "zeros before the length": b"HTTP/1.1 200 OK\r\nContent-Length: 004\r\n\r\ndone",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\nd\r\n003\r\none\r\n0\r\nX-T: 1\r\n\r\n",
    "chunked in upper case": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED \r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "an interim response first": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "ended by the close, announced": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone",
    "ended by the close, announced among others": b"HTTP/1.1 200 OK\r\nConnection: x-hop, Close\r\n\r\ndone",
    "ended by the close of HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\ndone",
    "a length in HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "a repeated and an empty header": b"HTTP/1.1 200 OK\r\nX-A: 1\r\nX-A: 2\r\nX-B:\r\nContent-Length: 4\r\n\r\ndone",
}


@pytest.mark.parametrize("form", RESPONSES)
def test_an_allowed_form_of_a_response_is_forwarded(form):
    async def scenario():
        async with running_gatekeeper(FakeWorker("w", answer(raw=RESPONSES[form]))) as (_, _, client):
            for _ in range(2):
                reply = await client.fetch("write")
                assert reply.status == 200 and reply.body == b"done" and reply.headers["content-length"] == "4"

    run(scenario())
