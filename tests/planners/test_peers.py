"""Peers that send malformed or false messages or are not authorized get nothing, and it is logged once."""

import asyncio
import contextlib
import itertools
import logging
import math
import subprocess

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from micagate import interface
from micagate.planning.messages import Amount, BucketLevels, Malformed, Need, PlannerUpdate, Report, WorkerLoad, check
from oliveloft.planners import wire
from oliveloft.planners.config import load
from oliveloft.planners.link import Links
from oliveloft.planners.planner import Planner
from oliveloft.planners.status import query_planner
from oliveloft.store.etcd import Etcd
from rig.etcd import FakeEtcd
from rig.fake_servers import run, until
from rig.installation import free_port

SECRET = "sixteen bytes or more"


def settings(folder, port, store, access=None, secret=SECRET, planner="p1"):
    (folder / "secret").write_text(secret)
    path = folder / f"{planner}-{hash(secret) & 0xffff}.toml"
    path.write_text(f"""[forwarders]
count = 3
[planners]
{planner} = "127.0.0.1:{port}"
[store]
engine = "etcd"
endpoints = ["{store}"]
session = 1.0
[access]
{access or 'secret_file = "secret"'}
[terms]
life = 0.6
term = 1.4
interval = 0.1
""")
    return load(str(path))


class NoDemand:
    """A share consumer without demand."""

    def __init__(self):
        self.seen = []

    def apply_shares(self, event):
        self.seen.append(event)
        return ()

    def demand_report(self, works):
        return interface.DemandReport(())


@contextlib.asynccontextmanager
async def planner(tmp_path, **how):
    """Run a planner in this process that owns all shards."""
    store = await FakeEtcd().start()
    config = settings(tmp_path, free_port(), store.endpoint, **how)
    client = Etcd(config.endpoints)
    running = Planner("p1", config, client)
    await running.start()
    try:
        await until(lambda: len(running._ledgers) == config.terms.shards)
        yield running, config
    finally:
        await running.stop()
        await client.close()
        await store.stop()


async def connect_peer(
    config, secret=SECRET, version=wire.VERSION, role="forwarder", index=0, count=3, name="f0", terms=None
):
    """Open a connection and send a Hello; return the writer and a function that reads the planner's messages."""
    reader, writer = await asyncio.open_connection(*config.planners["p1"])
    framer = wire.Framer()
    framer.max_frame_bytes = wire.MAX_FRAME_BYTES

    async def read():
        while True:
            data = await reader.read(65536)
            if not data:
                return None
            if messages := framer.feed(data):
                return messages

    (challenge,) = await read()
    nonce = wire.nonce()
    proof = wire.proof(secret.encode(), "peer", challenge.nonce, nonce, name)
    terms = wire.agreed_terms(config.terms) if terms is None else terms
    writer.write(wire.encode(wire.Hello(version, role, name, index, count, nonce, proof, (), terms)))
    return writer, read


def warnings(caplog):
    return [record.getMessage() for record in caplog.records if record.levelno >= logging.WARNING]


@pytest.mark.parametrize(
    ("how", "why"),
    [
        ({"secret": "quite another secret"}, "the secret is wrong"),
        ({"version": 99}, "version 99"),
        ({"role": "king"}, "role"),
        ({"index": 7}, "number 7"),
        ({"count": 5}, "5 forwarders"),
        ({"name": ""}, "no forwarder"),
        ({"terms": (9.0, 20.0, 0.01, 16.0)}, "life, term, drift and shards"),
    ],
)
def test_an_unauthorized_peer_is_refused_and_logged_once(tmp_path, caplog, how, why):
    async def scenario():
        async with planner(tmp_path) as (_, config):
            for _ in range(3):
                writer, read = await connect_peer(config, **how)
                (refused,) = await read()
                assert isinstance(refused, wire.Refused) and why in refused.why
                assert await read() is None
                writer.close()
            assert sum(why in line for line in warnings(caplog)) == 1

    run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff",
        b"\0\0\0\5hello",
        b"\0\0\0\1\xc0",
        b"\0\0\x0f\xff" + b"\x91" * 4095,
        wire.encode(wire.Owned(())),
        wire.encode(wire.Pulse()),
    ],
)
def test_garbage_before_the_handshake_ends_the_connection(tmp_path, data):
    async def scenario():
        async with planner(tmp_path) as (running, config):
            reader, writer = await asyncio.open_connection(*config.planners["p1"])
            writer.write(data)
            answer = await reader.read()  # to its end
            assert b"p1" not in answer and len(answer) < 400
            assert not running._forwarders
            writer.close()

    run(scenario())


def lie(**changes):
    fields = {"shard": 0, "epoch": 1, "session": 1, "number": 1, "ack": 0, "echo": 0.0, **changes}
    return wire.encode(Report(**fields))


@pytest.mark.parametrize(
    "data",
    [
        lie(needs=(Need("c/p/x", 0, 3, -1.0),)),
        lie(needs=(Need("c/p/x", 0, 3, math.nan),)),
        lie(needs=(Need("c/p/x", 0, 3, 1e300),)),
        lie(needs=(Need("c/p/x", 9, 3, 0.5),)),
        lie(needs=(Need("c/p/x", 0, 0, 0.5),)),
        lie(needs=(Need("x" * 300, 0, 3, 0.5),)),
        lie(needs=tuple(Need(f"c/p/{n}", 0, 3, 0.5) for n in range(600))),
        lie(echo=math.inf),
        lie(lent=(Amount("c/p/x", 2.0),)),
        lie(released_levels=(BucketLevels("c/p/x", math.nan, 0.0),)),
        lie(number=-1),
        lie(worker_loads=(WorkerLoad("w/x", -1, 0.0, 0.0, 0, 0, 0),)),
        lie(worker_loads=(WorkerLoad("w/x", 1, math.nan, 0.0, 0, 0, 0),)),
        lie(worker_loads=(WorkerLoad("w/x", 1, 1.0, 1e9, 0, 0, 0),)),
        lie(worker_loads=(WorkerLoad("", 1, 1.0, 1.0, 0, 0, 0),)),
        lie(worker_loads=tuple(WorkerLoad(f"w/{n}", 1, 1.0, 1.0, 0, 0, 0) for n in range(600))),
        wire.encode(PlannerUpdate(0, 1, 1, 1, 0, 0.0)),
        b"\0\x10\0\0" + b"x" * 100,
    ],
    ids=itertools.count(),
)
def test_invalid_messages_end_only_the_connection_of_their_sender(tmp_path, caplog, data):
    async def scenario():
        async with planner(tmp_path) as (running, config):
            honest = Links("f1", 1, config, NoDemand(), -100.0)
            honest.start()
            await until(lambda: honest.open == 1)
            writer, read = await connect_peer(config)
            await until(lambda: "f0" in running._forwarders)
            writer.write(data)
            while (messages := await read()) is not None:
                assert all(isinstance(m, wire.Welcome | wire.Owned | wire.Refused) for m in messages)
            assert "f0" not in running._forwarders and honest.open == 1
            assert len([line for line in warnings(caplog) if line.startswith("f0")]) == 1
            assert sum(ledger.resource_count for ledger in running._ledgers.values()) == 0
            honest.stop()

    run(scenario())


def test_a_forwarder_cannot_lend_without_a_request_nor_get_more_than_the_whole(tmp_path):
    async def scenario():
        async with planner(tmp_path) as (running, config):
            ledger = running._ledgers[0]
            for number in range(1, 4):
                ledger.report(
                    running.now(),
                    "f0",
                    0,
                    Report(0, ledger.epoch, 1, number, 0, 1e18, (Need("k", 0, 3, 1.0),), (Amount("k", 1.0),)),
                )
                ledger.report(
                    running.now(),
                    "f1",
                    1,
                    Report(0, ledger.epoch, 2, number, 0, 1e18, (Need("k", 0, 3, 1.0),), (Amount("k", 1.0),)),
                )
                ledger.pending_updates(running.now())
            assert sum(total for _, total in ledger.granted(running.now()).values()) == 0.0

    run(scenario())


def test_a_forwarder_with_a_wrong_secret_logs_it_once_and_follows_no_planner(tmp_path, caplog):
    async def scenario():
        async with planner(tmp_path) as (running, config):
            wrong = settings(tmp_path, config.planners["p1"][1], config.endpoints[0], secret="not that secret at all")
            links = Links("f2", 2, wrong, NoDemand(), -100.0)
            links.start()
            await until(
                lambda: sum(connection.bytes_received > 0 for connection in running._connections) or warnings(caplog)
            )
            await asyncio.sleep(0.5)  # some more attempts
            assert links.open == 0 and "f2" not in running._forwarders
            assert len([line for line in warnings(caplog) if line.startswith("planner p1")]) <= 2
            links.stop()

    run(scenario())


def test_a_planner_that_does_not_know_the_secret_is_not_followed(tmp_path, caplog):
    async def scenario():
        async def impostor(reader, writer):
            writer.write(wire.encode(wire.Challenge(wire.VERSION, wire.nonce())))
            await reader.read(4096)
            writer.write(wire.encode(wire.Welcome("p1", b"x" * 32)))
            writer.write(wire.encode(wire.Owned(((0, 99),))))

        server = await asyncio.start_server(impostor, "127.0.0.1", 0)
        config = settings(tmp_path, server.sockets[0].getsockname()[1], "http://127.0.0.1:1")
        links = Links("f0", 0, config, NoDemand(), -100.0)
        links.start()
        await until(lambda: any("the secret is wrong" in line for line in warnings(caplog)))
        assert links.open == 0 and not links.holder.epochs()
        links.stop()
        server.close()

    run(scenario())


def test_messages_for_a_peer_that_does_not_read_are_not_queued(tmp_path):
    async def scenario():
        async with planner(tmp_path) as (running, config):
            writer, read = await connect_peer(config)
            await until(lambda: "f0" in running._forwarders)
            connection = running._forwarders["f0"]
            connection.pause_writing()  # as the transport does at its buffer limit
            ledger = running._ledgers[0]
            ledger.report(running.now(), "f0", 0, Report(0, ledger.epoch, 1, 1, 0, 0.0, (Need("k", 0, 3, 0.1),)))
            ledger.report(running.now(), "f1", 1, Report(0, ledger.epoch, 2, 1, 0, 0.0, (Need("k", 0, 3, 1.0),)))
            sent = connection.bytes_sent
            for _ in range(20):
                running._decide()
                running._send_ownership_to_all()
            assert connection.bytes_sent == sent
            connection.resume_writing()
            running._decide()
            assert connection.bytes_sent > sent  # accumulated updates are sent at once, and once
            writer.close()

    run(scenario())


def test_mutual_tls_accepts_only_certificates_of_the_authority(tmp_path):
    def openssl(*words):
        subprocess.run(["openssl", *words], check=True, cwd=tmp_path, capture_output=True)

    for name in ("ca", "other"):
        openssl(
            "req",
            "-x509",
            "-newkey",
            "rsa:2048",
            "-nodes",
            "-keyout",
            f"{name}.key",
            "-out",
            f"{name}.crt",
            "-days",
            "2",
            "-subj",
            f"/CN={name}",
            "-addext",
            "basicConstraints=critical,CA:TRUE",
        )
    openssl("req", "-newkey", "rsa:2048", "-nodes", "-keyout", "peer.key", "-out", "peer.csr", "-subj", "/CN=peer")
    openssl(
        "x509",
        "-req",
        "-in",
        "peer.csr",
        "-CA",
        "ca.crt",
        "-CAkey",
        "ca.key",
        "-CAcreateserial",
        "-out",
        "peer.crt",
        "-days",
        "2",
    )
    good = 'certificate = "peer.crt"\nkey = "peer.key"\nauthority = "ca.crt"'
    bad = 'certificate = "other.crt"\nkey = "other.key"\nauthority = "ca.crt"'

    async def scenario():
        async with planner(tmp_path, access=good) as (running, config):
            assert (await query_planner("p1", config))["planner"] == "p1"
            links = Links("f0", 0, config, NoDemand(), -100.0)
            links.start()
            await until(lambda: links.open == 1)
            links.stop()
            wrong = settings(tmp_path, config.planners["p1"][1], config.endpoints[0], access=bad)
            with pytest.raises((OSError, wire.WireError)):
                await query_planner("p1", wrong)
            reader, writer = await asyncio.open_connection(*config.planners["p1"])
            writer.write(wire.encode(wire.Hello(1, "status", "s", 0, 3, b"", b"")))
            with contextlib.suppress(ConnectionError):
                assert b"p1" not in await reader.read()
            writer.close()

    run(scenario())


@given(st.lists(st.binary(max_size=200), max_size=8))
def test_a_framer_takes_any_bytes_in_any_pieces_and_says_what_is_wrong(pieces):
    framer = wire.Framer()
    with contextlib.suppress(wire.WireError):
        for piece in pieces:
            framer.feed(piece)
    assert len(framer._held) <= wire.OPENING_FRAME + 4 + 200


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30), st.integers(0, 3))
def test_frames_come_whole_whatever_the_pieces(cuts, many):
    messages = [Report(1, 2, 3, n, 0, 1.5, (Need("k", 0, 2, 0.5),), (Amount("k", 0.1),)) for n in range(many + 1)]
    data = b"".join(map(wire.encode, messages))
    framer, got = wire.Framer(), []
    for cut in cuts:
        got += framer.feed(data[:cut])
        data = data[cut:]
    got += framer.feed(data)
    assert got == messages


def test_a_malformed_message_is_reported_by_field():
    good = PlannerUpdate(0, 1, 1, 1, 0, 0.0, (), (Amount("k", 0.5),))
    check(good, 3, 10)
    with pytest.raises(Malformed, match="amount.amount"):
        check(msgspec.structs.replace(good, grants=(Amount("k", -0.5),)), 3, 10)
    with pytest.raises(Malformed, match="entries"):
        check(msgspec.structs.replace(good, grants=(Amount("k", 0.5),) * 11), 3, 10)
