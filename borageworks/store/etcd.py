"""Client of the etcd v3 HTTP/JSON gateway."""

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

# With values of 16 to 44 KB, a page stays below 6 MB.
MAX_PAGE_KEYS = 128
# A watch without data for this long is reopened, since its connection may be broken.
WATCH_IDLE_TIMEOUT_S = 60.0
INITIAL_WATCH_BACKOFF_S = 0.2
MAX_WATCH_BACKOFF_S = 5.0
GRPC_OUT_OF_RANGE = 11
HTTP_REQUEST_TIMEOUT = 408
HTTP_CLIENT_CLOSED_REQUEST = 499


class EtcdStore:
    """Store over the etcd v3 HTTP/JSON gateway.

    Parameters
    ----------
    settings
        Address, key prefix and timeout of a call.
    metrics
        Receives the counters `store_calls` by kind of call (a watch counts each time it
        is opened) and `store_failures` by error code, and the duration `store_call`.
    local_host
        Local IP address to connect from.
    page_keys
        Maximum number of keys in one range reply.
    """

    def __init__(
        self,
        settings: StoreSettings,
        metrics: Metrics,
        *,
        local_host: str | None = None,
        page_keys: int = MAX_PAGE_KEYS,
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
        reply = await self._call(
            "range", "/v3/kv/range", {"key": self._encode_key(key)}
        )
        values = self._parse_values(reply)
        return values.get(key)

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys that start with `prefix`, read at one revision."""
        start = self._full_key(prefix)
        end = _prefix_end(start)
        values: dict[str, StoredValue] = {}
        revision = 0
        while True:
            request: dict[str, object] = {
                "key": _encode_base64(start),
                "range_end": _encode_base64(end),
                "limit": str(self._page_keys),
            }
            if revision:
                request["revision"] = str(revision)
            try:
                reply = await self._call("range", "/v3/kv/range", request)
            except StoreCompactedError as error:
                raise StoreUnavailableError(
                    f"revision of the range {prefix!r} was compacted between two pages"
                ) from error
            page = self._parse_values(reply)
            values.update(page)
            revision = revision or _parse_revision(reply)
            if not reply.get("more") or not page:
                return RangeResult(values, revision)
            start = self._full_key(max(page)) + b"\0"

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply `transaction` if all of its compares succeed."""
        lease = (
            {} if transaction.lease is None else {"lease": str(transaction.lease.id)}
        )
        operations: list[dict[str, object]] = [
            {
                "request_put": {
                    "key": self._encode_key(key),
                    "value": _encode_base64(value),
                    **lease,
                }
            }
            for key, value in transaction.puts.items()
        ]
        operations.extend(
            {"request_delete_range": {"key": self._encode_key(key)}}
            for key in transaction.deletes
        )
        request = {
            "compare": [
                {
                    "key": self._encode_key(key),
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
            return CommitResult(
                bool(reply.get("succeeded", False)), _parse_revision(reply)
            )
        except StoreReplyMalformedError as error:
            raise StoreOutcomeUnknownError(str(error)) from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease; `ttl_s` is rounded up to whole seconds, as etcd requires."""
        request = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        reply = await self._call("lease_grant", "/v3/lease/grant", request, write=True)
        try:
            return Lease(int(reply["ID"]), float(reply["TTL"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError(
                "lease reply has no valid ID and TTL"
            ) from error

    async def keep_alive(self, lease: Lease) -> None:
        """Renew `lease`."""
        request = {"ID": str(lease.id)}
        reply = await self._call(
            "lease_keepalive", "/v3/lease/keepalive", request, write=True
        )
        result = reply.get("result")
        if not isinstance(result, dict):
            raise StoreReplyMalformedError("keep-alive reply has no result")
        if int(result.get("TTL", 0)) <= 0:
            raise StoreLeaseExpiredError(f"lease {lease.id} has expired")

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield each change under `prefix` from `start_revision` on."""
        start = self._full_key(prefix)
        next_revision = start_revision
        backoff_s = INITIAL_WATCH_BACKOFF_S
        while True:
            request = {
                "create_request": {
                    "key": _encode_base64(start),
                    "range_end": _encode_base64(_prefix_end(start)),
                    "start_revision": str(next_revision),
                    "progress_notify": True,
                }
            }
            try:
                async with aclosing(self._open_watch(request)) as replies:
                    async for result in replies:
                        backoff_s = INITIAL_WATCH_BACKOFF_S
                        if result.get("canceled"):
                            raise self._cancellation_error(
                                prefix, next_revision, result
                            )
                        events = result.get("events") or ()
                        for batch in self._parse_batches(events):
                            if batch.revision >= next_revision:
                                next_revision = batch.revision + 1
                                yield batch
                        # The reply that confirms a new watch says nothing about past
                        # revisions; only later replies without events report
                        # progress.
                        is_initial = bool(result.get("created")) and next_revision > 0
                        if not events and not is_initial:
                            next_revision = max(
                                next_revision, _parse_revision(result) + 1
                            )
            except (StoreUnavailableError, StoreReplyMalformedError):
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_WATCH_BACKOFF_S)

    @staticmethod
    def _cancellation_error(
        prefix: str, revision: int, result: Mapping[str, Any]
    ) -> Exception:
        if int(result.get("compact_revision", 0)):
            return StoreCompactedError(
                f"changes of {prefix!r} since revision {revision} are compacted"
            )
        return StoreUnavailableError("the store cancelled the watch")

    async def _open_watch(
        self, request: Mapping[str, object]
    ) -> AsyncGenerator[dict[str, Any], None]:
        self._metrics.count("store_calls", "watch")
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.timeout_s,
            sock_read=WATCH_IDLE_TIMEOUT_S,
        )
        try:
            async with self._client_session().post(
                self._settings.url + "/v3/watch",
                data=orjson.dumps(request),
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    raise self._response_error(
                        response.status, await response.read(), write=False
                    )
                self._report_state(down=False)
                buffer = b""
                async for chunk in response.content.iter_any():
                    *lines, buffer = (buffer + chunk).split(b"\n")
                    for line in lines:
                        if line.strip():
                            yield _parse_stream_message(line)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._report_state(down=not isinstance(error, aiohttp.SocketTimeoutError))
            raise StoreUnavailableError(
                f"watch connection failed: {error!r}"
            ) from error
        raise StoreUnavailableError("the store closed the watch")

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
            self._report_state(down=True)
            raise
        finally:
            self._metrics.observe("store_call", loop.time() - started)
        self._report_state(down=False)
        return reply

    async def _post(
        self, path: str, request: Mapping[str, object], *, write: bool
    ) -> dict[str, Any]:
        try:
            async with self._client_session().post(
                self._settings.url + path,
                data=orjson.dumps(request),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(
                f"cannot connect to the store: {error}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if write:
                raise StoreOutcomeUnknownError(
                    f"no reply to a write: {error!r}"
                ) from error
            raise StoreUnavailableError(
                f"read from the store failed: {error!r}"
            ) from error
        if response.status != 200:
            raise self._response_error(response.status, body, write=write)
        try:
            reply = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            reply = None
            cause: Exception | None = error
        else:
            cause = None
        if not isinstance(reply, dict):
            if write:
                raise StoreOutcomeUnknownError(
                    "the store's reply is not a JSON object"
                ) from cause
            raise StoreUnavailableError(
                "the store's reply is not a JSON object"
            ) from cause
        return reply

    @staticmethod
    def _response_error(status: int, body: bytes, *, write: bool) -> Exception:
        try:
            reply = orjson.loads(body)
        except orjson.JSONDecodeError:
            reply = {}
        if not isinstance(reply, dict):
            reply = {}
        message = str(reply.get("message", ""))
        if reply.get("code") == GRPC_OUT_OF_RANGE and "compacted" in message:
            return StoreCompactedError(message)
        detail = f"the store replied with status {status}: {message}"
        # A write may still be applied after a server error: etcd sends "etcdserver:
        # request timed out" as 503 although the leader may have accepted the write.
        is_client_error = 400 <= status < 500
        may_be_applied = not is_client_error or status in {
            HTTP_REQUEST_TIMEOUT,
            HTTP_CLIENT_CLOSED_REQUEST,
        }
        if write and may_be_applied:
            return StoreOutcomeUnknownError(detail)
        return StoreUnavailableError(detail)

    def _report_state(self, *, down: bool) -> None:
        if down != self._down:
            self._down = down
            emit(Event.STORE_DOWN if down else Event.STORE_UP, url=self._settings.url)

    def _client_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            local = None if self._local_host is None else (self._local_host, 0)
            timeout = self._settings.timeout_s
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, local_addr=local),
                timeout=aiohttp.ClientTimeout(total=timeout, sock_connect=timeout / 2),
                headers={"Content-Type": "application/json"},
            )
        return self._session

    def _full_key(self, key: str) -> bytes:
        return f"{self._settings.prefix}/{key}".encode()

    def _encode_key(self, key: str) -> str:
        return _encode_base64(self._full_key(key))

    def _decode_key(self, encoded: str) -> str:
        return b64decode(encoded).decode()[len(self._settings.prefix) + 1 :]

    def _parse_values(self, reply: Mapping[str, Any]) -> dict[str, StoredValue]:
        try:
            return dict(self._parse_item(item) for item in reply.get("kvs") or ())
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError("range reply has invalid items") from error

    def _parse_item(self, item: Mapping[str, Any]) -> tuple[str, StoredValue]:
        value = StoredValue(b64decode(item.get("value", "")), int(item["mod_revision"]))
        return self._decode_key(item["key"]), value

    def _parse_batches(self, events: Any) -> list[WatchBatch]:
        puts: dict[int, dict[str, StoredValue]] = {}
        deletes: dict[int, list[str]] = {}
        try:
            for event in events:
                key, value = self._parse_item(event["kv"])
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


def _encode_base64(value: bytes) -> str:
    return b64encode(value).decode()


def _prefix_end(prefix: bytes) -> bytes:
    # Keys are UTF-8, so the last byte is always below 255.
    return prefix[:-1] + bytes((prefix[-1] + 1,))


def _parse_revision(reply: Mapping[str, Any]) -> int:
    try:
        return int(reply["header"]["revision"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreReplyMalformedError("the store's reply has no revision") from error


def _parse_stream_message(line: bytes) -> dict[str, Any]:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise StoreReplyMalformedError("watch message is not JSON") from error
    if not isinstance(message, dict):
        raise StoreReplyMalformedError("watch message is not a JSON object")
    result = message.get("result")
    if not isinstance(result, dict):
        raise StoreUnavailableError(
            f"the store ended the watch: {message.get('error')}"
        )
    return result
