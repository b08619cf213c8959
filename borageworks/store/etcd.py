"""Store adapter for the etcd v3 HTTP/JSON gateway."""

from __future__ import annotations

import asyncio
import math
from base64 import b64decode, b64encode
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from typing import Any

import aiohttp
import orjson

from borageworks.config.settings import StoreSettings
from borageworks.events import Event, emit
from borageworks.exceptions import (
    StoreCompactedError,
    StoreLeaseExpiredError,
    StoreOutcomeUnknownError,
    StoreReplyMalformedError,
    StoreUnavailableError,
)
from borageworks.metrics import Metrics
from borageworks.store.values import (
    CommitResult,
    Lease,
    RangeResult,
    StoredValue,
    Transaction,
    WatchBatch,
)

# At 16 to 44 KB a value, a page stays under 6 MB.
PAGE_KEYS = 128
# A silent watch is renewed, so a connection that broke unnoticed is replaced.
WATCH_RENEWAL_S = 60.0
WATCH_RETRY_S = 0.2
WATCH_RETRY_MAX_S = 5.0
GRPC_OUT_OF_RANGE = 11
HTTP_REQUEST_TIMEOUT = 408
HTTP_CLIENT_CLOSED = 499


class EtcdStore:
    """Store over the etcd v3 HTTP/JSON gateway.

    Parameters
    ----------
    settings
        Address, key prefix and time limit of a call.
    metrics
        Receives the counter `store_calls` by kind of call (a watch counts when it is
        opened), `store_failures` by error code, and the duration `store_call`.
    local_host
        Local IP address of the connections.
    page_keys
        Largest number of keys in one range reply.
    """

    def __init__(
        self,
        settings: StoreSettings,
        metrics: Metrics,
        *,
        local_host: str | None = None,
        page_keys: int = PAGE_KEYS,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._local_host = local_host
        self._page_keys = page_keys
        self._session: aiohttp.ClientSession | None = None
        self._down = False

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of `key`, or None if it is absent."""
        reply = await self._call("range", "/v3/kv/range", {"key": self._encode(key)})
        values = self._values(reply)
        return values.get(key)

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys that start with `prefix`, all at one revision."""
        start = self._full(prefix)
        end = _prefix_end(start)
        values: dict[str, StoredValue] = {}
        revision = 0
        while True:
            request: dict[str, object] = {
                "key": _text(start),
                "range_end": _text(end),
                "limit": str(self._page_keys),
            }
            if revision:
                request["revision"] = str(revision)
            try:
                reply = await self._call("range", "/v3/kv/range", request)
            except StoreCompactedError as error:
                raise StoreUnavailableError(
                    f"range of {prefix!r} was compacted between two pages"
                ) from error
            page = self._values(reply)
            values.update(page)
            revision = revision or _revision(reply)
            if not reply.get("more") or not page:
                return RangeResult(values, revision)
            start = self._full(max(page)) + b"\0"

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply `transaction` if all its compares hold."""
        lease = (
            {} if transaction.lease is None else {"lease": str(transaction.lease.id)}
        )
        operations: list[dict[str, object]] = [
            {
                "request_put": {
                    "key": self._encode(key),
                    "value": _text(value),
                    **lease,
                }
            }
            for key, value in transaction.puts.items()
        ]
        operations.extend(
            {"request_delete_range": {"key": self._encode(key)}}
            for key in transaction.deletes
        )
        request = {
            "compare": [
                {
                    "key": self._encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision),
                }
                for key, revision in transaction.compares.items()
            ],
            "success": operations,
            "failure": [],
        }
        reply = await self._call("txn", "/v3/kv/txn", request, write=True)
        try:
            return CommitResult(bool(reply.get("succeeded", False)), _revision(reply))
        except StoreReplyMalformedError as error:
            raise StoreOutcomeUnknownError(str(error)) from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease; the store counts whole seconds, so `ttl_s` is rounded up."""
        request = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        reply = await self._call("lease_grant", "/v3/lease/grant", request, write=True)
        try:
            return Lease(int(reply["ID"]), float(reply["TTL"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError("lease reply without ID or TTL") from error

    async def keep_alive(self, lease: Lease) -> None:
        """Renew `lease`."""
        request = {"ID": str(lease.id)}
        reply = await self._call(
            "lease_keepalive", "/v3/lease/keepalive", request, write=True
        )
        result = reply.get("result")
        if not isinstance(result, dict):
            raise StoreReplyMalformedError("keep-alive reply without result")
        if int(result.get("TTL", 0)) <= 0:
            raise StoreLeaseExpiredError(f"lease {lease.id} has expired")

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield each change under `prefix` from `start_revision` on."""
        start = self._full(prefix)
        following = start_revision
        delay = WATCH_RETRY_S
        while True:
            request = {
                "create_request": {
                    "key": _text(start),
                    "range_end": _text(_prefix_end(start)),
                    "start_revision": str(following),
                    "progress_notify": True,
                }
            }
            try:
                async with aclosing(self._stream(request)) as results:
                    async for result in results:
                        delay = WATCH_RETRY_S
                        if result.get("canceled"):
                            raise self._cancelled(prefix, following, result)
                        events = result.get("events") or ()
                        for batch in self._batches(events):
                            if batch.revision >= following:
                                following = batch.revision + 1
                                yield batch
                        # The reply that opens a watch does not acknowledge the past;
                        # only later replies without events report progress.
                        opening = bool(result.get("created")) and following > 0
                        if not events and not opening:
                            following = max(following, _revision(result) + 1)
            except (StoreUnavailableError, StoreReplyMalformedError):
                await asyncio.sleep(delay)
                delay = min(delay * 2, WATCH_RETRY_MAX_S)

    @staticmethod
    def _cancelled(prefix: str, revision: int, result: Mapping[str, Any]) -> Exception:
        if int(result.get("compact_revision", 0)):
            return StoreCompactedError(
                f"changes of {prefix!r} from revision {revision} on are compacted"
            )
        return StoreUnavailableError("watch was cancelled by the store")

    async def _stream(
        self, request: Mapping[str, object]
    ) -> AsyncGenerator[dict[str, Any], None]:
        self._metrics.count("store_calls", "watch")
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.timeout_s,
            sock_read=WATCH_RENEWAL_S,
        )
        try:
            async with self._open().post(
                self._settings.url + "/v3/watch",
                data=orjson.dumps(request),
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    raise self._failure(
                        response.status, await response.read(), write=False
                    )
                self._report(down=False)
                buffer = b""
                async for chunk in response.content.iter_any():
                    *lines, buffer = (buffer + chunk).split(b"\n")
                    for line in lines:
                        if line.strip():
                            yield _stream_result(line)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._report(down=not isinstance(error, aiohttp.SocketTimeoutError))
            raise StoreUnavailableError(f"watch ended: {error!r}") from error
        raise StoreUnavailableError("watch was closed by the store")

    async def _call(
        self,
        kind: str,
        path: str,
        request: Mapping[str, object],
        *,
        write: bool = False,
    ) -> dict[str, Any]:
        self._metrics.count("store_calls", kind)
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self._post(path, request, write=write)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._metrics.count("store_failures", error.code)
            self._report(down=True)
            raise
        finally:
            self._metrics.observe("store_call", loop.time() - started)
        self._report(down=False)
        return reply

    async def _post(
        self, path: str, request: Mapping[str, object], *, write: bool
    ) -> dict[str, Any]:
        try:
            async with self._open().post(
                self._settings.url + path,
                data=orjson.dumps(request),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(
                f"no connection to the store: {error}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if write:
                raise StoreOutcomeUnknownError(f"reply lost: {error!r}") from error
            raise StoreUnavailableError(f"read failed: {error!r}") from error
        if response.status != 200:
            raise self._failure(response.status, body, write=write)
        try:
            reply = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            reply = None
            cause: Exception | None = error
        else:
            cause = None
        if not isinstance(reply, dict):
            if write:
                raise StoreOutcomeUnknownError("reply is no JSON object") from cause
            raise StoreUnavailableError("reply is no JSON object") from cause
        return reply

    @staticmethod
    def _failure(status: int, body: bytes, *, write: bool) -> Exception:
        try:
            reply = orjson.loads(body)
        except orjson.JSONDecodeError:
            reply = {}
        if not isinstance(reply, dict):
            reply = {}
        text = str(reply.get("message", ""))
        if reply.get("code") == GRPC_OUT_OF_RANGE and "compacted" in text:
            return StoreCompactedError(text)
        detail = f"status {status}: {text}"
        # A server error may follow a write that the store's leader already accepted,
        # e.g. "etcdserver: request timed out" is sent as 503.
        refused = 400 <= status < 500
        uncertain = not refused or status in {HTTP_REQUEST_TIMEOUT, HTTP_CLIENT_CLOSED}
        if write and uncertain:
            return StoreOutcomeUnknownError(detail)
        return StoreUnavailableError(detail)

    def _report(self, *, down: bool) -> None:
        if down != self._down:
            self._down = down
            emit(Event.STORE_DOWN if down else Event.STORE_UP, url=self._settings.url)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            local = None if self._local_host is None else (self._local_host, 0)
            timeout = self._settings.timeout_s
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, local_addr=local),
                timeout=aiohttp.ClientTimeout(total=timeout, sock_connect=timeout / 2),
                headers={"Content-Type": "application/json"},
            )
        return self._session

    def _full(self, key: str) -> bytes:
        return f"{self._settings.prefix}/{key}".encode()

    def _encode(self, key: str) -> str:
        return _text(self._full(key))

    def _relative(self, encoded: str) -> str:
        return b64decode(encoded).decode()[len(self._settings.prefix) + 1 :]

    def _values(self, reply: Mapping[str, Any]) -> dict[str, StoredValue]:
        try:
            return dict(self._item(item) for item in reply.get("kvs") or ())
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError("range reply has invalid items") from error

    def _item(self, item: Mapping[str, Any]) -> tuple[str, StoredValue]:
        value = StoredValue(b64decode(item.get("value", "")), int(item["mod_revision"]))
        return self._relative(item["key"]), value

    def _batches(self, events: Any) -> list[WatchBatch]:
        puts: dict[int, dict[str, StoredValue]] = {}
        deletes: dict[int, list[str]] = {}
        try:
            for event in events:
                key, value = self._item(event["kv"])
                if event.get("type") == "DELETE":
                    deletes.setdefault(value.mod_revision, []).append(key)
                else:
                    puts.setdefault(value.mod_revision, {})[key] = value
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError("watch reply has invalid events") from error
        return [
            WatchBatch(
                revision, puts.get(revision, {}), tuple(deletes.get(revision, ()))
            )
            for revision in sorted(puts.keys() | deletes.keys())
        ]


def _text(value: bytes) -> str:
    return b64encode(value).decode()


def _prefix_end(prefix: bytes) -> bytes:
    # Keys are UTF-8, so the last byte is always below 255.
    return prefix[:-1] + bytes((prefix[-1] + 1,))


def _revision(reply: Mapping[str, Any]) -> int:
    try:
        return int(reply["header"]["revision"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreReplyMalformedError("reply without revision") from error


def _stream_result(line: bytes) -> dict[str, Any]:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise StoreReplyMalformedError("stream message is no JSON") from error
    if not isinstance(message, dict):
        raise StoreReplyMalformedError("stream message is no JSON object")
    result = message.get("result")
    if not isinstance(result, dict):
        raise StoreUnavailableError(f"stream error: {message.get('error')}")
    return result
