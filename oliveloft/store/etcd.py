"""A client of etcd v3 through its JSON gateway (etcd's documentation, "gRPC gateway"): each request is one POST."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

import aiohttp

from oliveloft.store.interface import Change, Compacted, Entry, Put, Snapshot, StoreError

MAX_RESPONSE_BYTES = 4 * 1024 * 1024  # also the limit of one line of a watch


def _decode(raw: str) -> str:
    return base64.b64decode(raw).decode()


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _prefix_end(prefix: str) -> str:
    """Return the first key after all keys with the prefix, encoded."""
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


class Etcd:
    """A client of one etcd cluster: each call goes to the endpoint that last answered, then to the others."""

    def __init__(self, endpoints: Sequence[str], timeout: float = 1.0) -> None:
        if not endpoints:
            raise ValueError("endpoints must not be empty")
        self._endpoints = list(endpoints)
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    def _http_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=32))
        return self._session

    async def _post(self, path: str, body: dict[str, Any], repeat: bool = False) -> dict[str, Any]:
        """Send a request and return the decoded answer.

        A request that may have taken effect is sent to another endpoint only with `repeat`.
        """
        reason = "no endpoint"
        for endpoint in list(self._endpoints):
            try:
                async with self._http_session().post(
                    endpoint + path, json=body, timeout=aiohttp.ClientTimeout(total=self._timeout)
                ) as answer:
                    raw = await answer.content.read(MAX_RESPONSE_BYTES)
                    decoded = json.loads(raw)
                    if answer.status != 200:
                        raise StoreError(f"{path}: {answer.status} {str(decoded)[:200]}")
                    if not isinstance(decoded, dict):
                        raise StoreError(f"{path}: the answer is not a JSON object")
                    if endpoint != self._endpoints[0]:
                        self._endpoints.remove(endpoint)
                        self._endpoints.insert(0, endpoint)
                    return decoded
            except aiohttp.ClientConnectorError as error:
                reason = str(error)  # nothing was sent
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                reason = f"{type(error).__name__} {error}".strip()
                if not repeat:
                    break
        raise StoreError(f"{path}: {reason}")

    async def lease(self, seconds: float) -> int:
        """Create a lease (etcd lengthens very short ones)."""
        answer = await self._post("/v3/lease/grant", {"TTL": str(max(1, round(seconds)))})
        try:
            return int(answer["ID"])
        except (KeyError, ValueError) as error:
            raise StoreError(f"lease: {answer}") from error

    async def renew(self, lease: int) -> float:
        """Renew a lease."""
        answer = await self._post("/v3/lease/keepalive", {"ID": str(lease)}, repeat=True)
        result = answer.get("result")
        if not isinstance(result, dict):
            raise StoreError(f"keepalive: {answer}")
        return float(result.get("TTL", 0))

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        await self._post("/v3/lease/revoke", {"ID": str(lease)}, repeat=True)

    async def read(self, prefix: str) -> Snapshot:
        """Return all keys that begin with the prefix."""
        body = {"key": _encode(prefix), "range_end": _prefix_end(prefix)}
        answer = await self._post("/v3/kv/range", body, repeat=True)
        try:
            entries = tuple(
                Entry(_decode(kv["key"]), _decode(kv.get("value", "")), int(kv["mod_revision"]))
                for kv in answer.get("kvs", ())
            )
            return Snapshot(int(answer["header"]["revision"]), entries)
        except (KeyError, ValueError, TypeError) as error:
            raise StoreError(f"range: {error!r}") from error

    async def commit(
        self, expect: Mapping[str, int], puts: Sequence[Put] = (), deletes: Sequence[str] = ()
    ) -> int | None:
        """Write all or nothing."""
        compare = [
            {"key": _encode(key), "target": "MOD", "result": "EQUAL", "mod_revision": str(modified)}
            for key, modified in expect.items()
        ]
        success: list[dict[str, Any]] = [
            {"request_put": {"key": _encode(put.key), "value": _encode(put.value), "lease": str(put.lease)}}
            for put in puts
        ]
        success += [{"request_delete_range": {"key": _encode(key)}} for key in deletes]
        answer = await self._post("/v3/kv/txn", {"compare": compare, "success": success})
        try:
            return int(answer["header"]["revision"]) if answer.get("succeeded") else None
        except (KeyError, ValueError, TypeError) as error:
            raise StoreError(f"txn: {error!r}") from error

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Change]]:
        """Yield the changes under a prefix after a revision."""
        body = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _prefix_end(prefix),
                "start_revision": str(after + 1),
                "progress_notify": True,
            }
        }
        reason = "no endpoint"
        for endpoint in list(self._endpoints):
            try:
                async with self._http_session().post(
                    endpoint + "/v3/watch",
                    json=body,
                    read_bufsize=MAX_RESPONSE_BYTES,
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=self._timeout),
                ) as answer:
                    if answer.status != 200:
                        raise StoreError(f"watch: {answer.status}")
                    async for line in answer.content:
                        changes = self._changes(line)
                        if changes:
                            yield changes
                raise StoreError("watch: ended")
            except aiohttp.ClientConnectorError as error:
                reason = str(error)
            except (aiohttp.ClientError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
                raise StoreError(f"watch: {error!r}") from error
        raise StoreError(f"watch: {reason}")

    @staticmethod
    def _changes(line: bytes) -> list[Change]:
        raw = json.loads(line)
        result = raw.get("result") if isinstance(raw, dict) else None
        if not isinstance(result, dict):
            raise StoreError(f"watch: {str(raw)[:200]}")
        if result.get("canceled"):
            if int(result.get("compact_revision", 0)):
                raise Compacted("watch: the revision is compacted")
            raise StoreError(f"watch: {result.get('cancel_reason', 'cancelled')}")
        changes = []
        for event in result.get("events", ()):
            kv = event["kv"]
            value = None if event.get("type") == "DELETE" else _decode(kv.get("value", ""))
            changes.append(Change(_decode(kv["key"]), value, int(kv["mod_revision"])))
        return changes

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
