"""The contract of a store, checked over etcd's published protocol against a fake etcd server."""

import asyncio
import contextlib

import pytest

from oliveloft.store.etcd import Etcd
from oliveloft.store.interface import Change, Put, StoreError
from rig.etcd import FakeEtcd
from rig.fake_servers import run, until
from rig.installation import free_port


@contextlib.asynccontextmanager
async def fake_etcd():
    server = await FakeEtcd().start()
    try:
        yield server.endpoint
    finally:
        await server.stop()


@pytest.fixture
def run_with_clients():
    """Return a function that runs a scenario with two clients of one store."""

    def play(scenario):
        async def whole():
            async with fake_etcd() as endpoint:
                store, other = Etcd([endpoint]), Etcd([endpoint])
                try:
                    await scenario(store, other)
                finally:
                    await store.close()
                    await other.close()

        run(whole())

    return play


def test_a_commit_writes_all_or_nothing_and_only_as_expected(run_with_clients):
    async def scenario(store, other):
        first = await store.commit({"/a": 0, "/b": 0}, [Put("/a", "1"), Put("/b", "ü")])
        assert first
        assert await other.commit({"/a": 0}, [Put("/a", "2")]) is None
        assert await other.commit({"/a": first, "/c": 1}, [Put("/a", "2")]) is None
        second = await other.commit({"/a": first}, [Put("/a", "2")], deletes=["/b"])
        assert second > first
        found = await store.read("/")
        assert [(e.key, e.value, e.modified) for e in found.entries] == [("/a", "2", second)]
        assert found.revision >= second

    run_with_clients(scenario)


def test_of_many_concurrent_claims_of_a_key_one_succeeds(run_with_clients):
    async def scenario(store, other):
        won = await asyncio.gather(
            *(s.commit({"/owner": 0}, [Put("/owner", str(n))]) for n, s in enumerate([store, other] * 10))
        )
        assert sum(revision is not None for revision in won) == 1
        (entry,) = (await store.read("/owner")).entries
        assert won[int(entry.value)] == entry.modified

    run_with_clients(scenario)


def test_a_prefix_is_read_without_keys_outside_it(run_with_clients):
    async def scenario(store, other):
        await store.commit({}, [Put(key, key) for key in ("/x/1", "/x/2", "/xy", "/w", "/y")])
        assert [e.key for e in (await other.read("/x/")).entries] == ["/x/1", "/x/2"]
        assert (await other.read("/none/")).entries == ()

    run_with_clients(scenario)


def test_an_expired_lease_deletes_its_keys_and_a_renewed_one_keeps_them(run_with_clients):
    async def scenario(store, other):
        kept, left = await store.lease(2), await store.lease(2)
        await store.commit({}, [Put("/kept", "", kept), Put("/left", "", left), Put("/stays", "")])
        for _ in range(100):
            assert await store.renew(kept) > 0
            if [e.key for e in (await other.read("/")).entries] == ["/kept", "/stays"]:
                break
            await asyncio.sleep(0.1)
        else:
            pytest.fail("the lease did not end")
        assert await store.renew(left) == 0
        with pytest.raises(StoreError):
            await store.commit({}, [Put("/late", "", left)])
        await store.revoke(kept)
        assert [e.key for e in (await other.read("/")).entries] == ["/stays"]

    run_with_clients(scenario)


def test_a_watch_yields_each_change_once_in_order_from_its_revision(run_with_clients):
    async def scenario(store, other):
        before = await store.commit({}, [Put("/w/0", "old")])
        await store.commit({}, [Put("/w/1", "a")])
        seen = []

        async def follow():
            async for changes in store.watch("/w/", before):
                seen.extend(changes)

        task = asyncio.create_task(follow())
        await until(lambda: seen)
        lease = await other.lease(2)
        await other.commit({}, [Put("/w/2", "b", lease), Put("/elsewhere", "")])
        await other.commit({}, [], deletes=["/w/1"])
        await other.revoke(lease)
        await until(lambda: len(seen) >= 4)
        task.cancel()
        assert [(c.key, c.value) for c in seen] == [("/w/1", "a"), ("/w/2", "b"), ("/w/1", None), ("/w/2", None)]
        assert [c.modified for c in seen] == sorted(c.modified for c in seen)
        assert isinstance(seen[0], Change)

    run_with_clients(scenario)


def test_an_unreachable_or_unresponsive_store_raises_an_error_in_time():
    async def scenario():
        unreachable = Etcd([f"http://127.0.0.1:{free_port()}"])
        with pytest.raises(StoreError, match="range"):
            await unreachable.read("/")
        await unreachable.close()
        server = await FakeEtcd().start()
        store = Etcd([f"http://127.0.0.1:{free_port()}", server.endpoint], timeout=0.2)
        assert (await store.read("/")).entries == ()  # the second endpoint answers
        server.delay_seconds = 5.0
        with pytest.raises(StoreError):
            await store.commit({}, [Put("/a", "")])
        server.delay_seconds, server.unreachable = 0.0, True
        with pytest.raises(StoreError):
            await store.read("/")
        await store.close()
        await server.stop()

    run(scenario())


def test_a_wiped_store_ends_watches_and_leases():
    async def scenario():
        server = await FakeEtcd().start()
        store = Etcd([server.endpoint])
        lease = await store.lease(5)
        await store.commit({}, [Put("/a", "", lease)])

        async def follow():
            async for _ in store.watch("/", 1):
                seen.set()

        seen = asyncio.Event()
        task = asyncio.create_task(follow())
        await seen.wait()
        server.wipe()
        with pytest.raises(StoreError):
            await task
        assert await store.renew(lease) == 0 and (await store.read("/")).entries == ()
        await store.close()
        await server.stop()

    run(scenario())
