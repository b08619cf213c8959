"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from typing import Any

import aiohttp
import orjson

from borageworks.endpoints.sockets import open_socket
from borageworks.events import Event, emit
from borageworks.exceptions import (
    StoreCompactedError,
    StoreLeaseExpiredError,
    StoreOutcomeUnknownError,
    StoreReplyMalformedError,
    StoreUnavailableError,
)
from borageworks.gateway.settings import GatewaySettings
from borageworks.metrics import Metrics
from borageworks.store.values import (
    CommitResult,
    Lease,
    RangeResult,
    StoredValue,
    Transaction,
    WatchBatch,
)

MILLISECONDS_PER_SECOND = 1000.0
# A call normally takes milliseconds; the limit lets a store that is fifty times slower
# answer, and leaves time for a second call within the shortest lease.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
# Time for the answer of a watch beyond its wait.
WATCH_MARGIN_S = 0.7
# A watch that hangs on a silent connection has ended this long before the bound for
# changes that are made once the store counts as stable again.
WATCH_RESERVE_S = 0.8
WATCH_WAIT_LEAST_S = 1.0
# Changes that come close together, as when a fleet starts, share one call.
WATCH_PAUSE_S = 0.5
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 0.8
OK = 200
NOT_FOUND = 404
COMPACTED = 410
CONDITION_FAILED = 412
# Refusals after which the platform states that nothing was done.
NOT_DONE = frozenset((403, 429, 503))


class PlatformStore:
    """Store over the platform's HTTP protocol; keys are passed as they are.

    Parameters
    ----------
    settings
        Address of the store, and the bounds for changes.
    metrics
        Receives the counter `store_calls` by kind of call, `store_failures` by error
        code, and the duration `store_call`.
    """

    def __init__(self, settings: GatewaySettings, metrics: Metrics) -> None:
        self._base = f"http://{settings.store.host}:{settings.store.port}"
        self._wait_s = max(
            settings.contact_s + settings.apply_s - WATCH_MARGIN_S - WATCH_RESERVE_S,
            WATCH_WAIT_LEAST_S,
        )
        self._regained = asyncio.Event()
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None
        self._failing_since: float | None = None
        self._regained_at: float | None = None

    @property
    def failing_since(self) -> float | None:
        """Loop time of the first failure since the last success, None after one."""
        return self._failing_since

    @property
    def regained_at(self) -> float | None:
        """Loop time of the first success after a failure, None without one."""
        return self._regained_at

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of `key`, or None if it is absent."""
        status, reply = await self._call("get", "GET", "/kv-key", query={"key": key})
        if status == NOT_FOUND:
            return None
        return _stored(_checked(status, reply))[1]

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys that start with `prefix`.

        Pages are read one after the other. The revision is that of the first page, so
        that a watch from there on reports what changed between the pages.
        """
        values: dict[str, StoredValue] = {}
        revision: int | None = None
        query = {"prefix": prefix}
        while True:
            status, answer = await self._call("range", "GET", "/kv-range", query=query)
            reply = _checked(status, answer)
            try:
                page = dict(_stored(item) for item in reply["items"])
                if revision is None:
                    revision = int(reply["store_revision"])
                truncated = bool(reply["truncated"])
            except (KeyError, TypeError, ValueError) as error:
                raise StoreReplyMalformedError(f"range reply: {error!r}") from error
            values.update(page)
            if not truncated or not page:
                return RangeResult(values, revision)
            query = {"prefix": prefix, "after": max(page)}

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply `transaction` if all its compares hold."""
        lease = 0 if transaction.lease is None else transaction.lease.id
        request = {
            "expect": [
                {"key": key, "revision": revision}
                for key, revision in transaction.compares.items()
            ],
            "writes": [
                {"key": key, "value": b64encode(value).decode(), "lease": lease}
                for key, value in transaction.puts.items()
            ],
            "remove": list(transaction.deletes),
        }
        status, reply = await self._call("txn", "POST", "/kv-txn", request, write=True)
        if status == NOT_FOUND:
            raise StoreLeaseExpiredError(f"lease {lease} has expired")
        if status == CONDITION_FAILED:
            return CommitResult(False, 0)
        try:
            return CommitResult(True, int(_checked(status, reply)["revision"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreOutcomeUnknownError(f"commit reply: {error!r}") from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease that expires `ttl_s` seconds after its last renewal."""
        request = {"ttl_ms": int(ttl_s * MILLISECONDS_PER_SECOND)}
        status, reply = await self._call(
            "lease_grant", "POST", "/kv-lease", request, write=True
        )
        body = _checked(status, reply)
        try:
            return Lease(int(body["lease"]), body["ttl_ms"] / MILLISECONDS_PER_SECOND)
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError(f"lease reply: {error!r}") from error

    async def keep_alive(self, lease: Lease) -> None:
        """Renew `lease`."""
        status, reply = await self._call(
            "lease_keepalive", "POST", f"/kv-keep/{lease.id}", {}, write=True
        )
        if status == NOT_FOUND:
            raise StoreLeaseExpiredError(f"lease {lease.id} has expired")
        _checked(status, reply)

    async def end_lease(self, lease: Lease) -> None:
        """Remove `lease` and the keys attached to it."""
        await self._call("lease_end", "DELETE", f"/kv-lease-end/{lease.id}", write=True)

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield each change under `prefix` from `start_revision` on."""
        async with aclosing(
            self.follow(prefix, start_revision, lambda: None)
        ) as batches:
            async for batch in batches:
                if batch.puts or batch.deletes:
                    yield batch

    async def follow(
        self,
        prefix: str,
        start_revision: int,
        wait_s: Callable[[], float | None],
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield each change under `prefix`, and a batch without changes now and then.

        A call that ends without changes yields a batch without changes. Calls wait for
        `wait_s` seconds; None stands for as long as the deployment's bounds allow.
        """
        after = start_revision - 1
        delay = RETRY_FIRST_S
        while True:
            asked_s = wait_s()
            waits_s = self._wait_s if asked_s is None else asked_s
            query = {
                "prefix": prefix,
                "after": str(after),
                "wait_ms": str(int(waits_s * MILLISECONDS_PER_SECOND)),
            }
            try:
                status, answer = await self._watch_once(query, waits_s)
                if status == COMPACTED:
                    raise StoreCompactedError(f"changes after {after} are compacted")
                reply = _checked(status, answer)
                batches = _batches(reply)
                reached = int(reply["store_revision"])
            except (StoreUnavailableError, StoreReplyMalformedError):
                await asyncio.sleep(delay)
                delay = min(delay * 2, RETRY_LIMIT_S)
                continue
            except (KeyError, TypeError, ValueError) as error:
                self._metrics.count("store_failures", "watch_malformed")
                emit(Event.STORE_REPLY_MALFORMED, call="watch", error=repr(error))
                await asyncio.sleep(delay)
                continue
            delay = RETRY_FIRST_S
            for batch in batches:
                yield batch
            after = max(after, reached)
            if batches:
                await asyncio.sleep(WATCH_PAUSE_S)
            else:
                yield WatchBatch(after, {}, ())

    async def _watch_once(
        self, query: Mapping[str, str], waits_s: float
    ) -> tuple[int, Any]:
        """Make one watch call, given up when the store answers again after a failure.

        A call that was waiting when the store went away may never be answered.
        """
        self._regained.clear()
        call = asyncio.ensure_future(
            self._call(
                "watch",
                "GET",
                "/kv-watch",
                query=query,
                timeout_s=waits_s + WATCH_MARGIN_S,
            )
        )
        regained = asyncio.ensure_future(self._regained.wait())
        try:
            await asyncio.wait((call, regained), return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                raise StoreUnavailableError("the watch may have been lost")
            return call.result()
        finally:
            call.cancel()
            regained.cancel()
            # A cancelled call may still end with an error of its own.
            await asyncio.gather(call, regained, return_exceptions=True)

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        *,
        query: Mapping[str, str] | None = None,
        write: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        self._metrics.count("store_calls", kind)
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self._send(method, path, body, query, write, timeout_s)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._metrics.count("store_failures", error.code)
            if self._failing_since is None:
                self._failing_since = started
                emit(Event.STORE_DOWN, url=self._base, call=kind, error=str(error))
            raise
        if self._failing_since is not None:
            away = loop.time() - self._failing_since
            self._failing_since = None
            self._regained_at = loop.time()
            self._regained.set()
            emit(Event.STORE_UP, url=self._base, away_s=round(away, 3))
        if kind != "watch":
            self._metrics.observe("store_call", loop.time() - started)
        return reply

    async def _send(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        query: Mapping[str, str] | None,
        write: bool,
        timeout_s: float,
    ) -> tuple[int, Any]:
        try:
            async with self._open().request(
                method,
                self._base + path,
                params=query,
                data=None if body is None else orjson.dumps(body),
                headers={"Content-Type": "application/json"} if body else None,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                data = await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(
                f"no connection to the store: {error!r}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if write:
                raise StoreOutcomeUnknownError(f"reply lost: {error!r}") from error
            raise StoreUnavailableError(f"read failed: {error!r}") from error
        if status in NOT_DONE:
            raise StoreUnavailableError(f"status {status}")
        try:
            return status, orjson.loads(data) if data else {}
        except orjson.JSONDecodeError as error:
            if write:
                raise StoreOutcomeUnknownError(f"reply: {error}") from error
            raise StoreUnavailableError(f"reply: {error}") from error

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, socket_factory=open_socket)
            )
        return self._session


def _checked(status: int, reply: Any) -> Mapping[str, Any]:
    if status != OK or not isinstance(reply, dict):
        raise StoreReplyMalformedError(f"status {status}, reply {reply!r:.200}")
    return reply


def _stored(item: Mapping[str, Any]) -> tuple[str, StoredValue]:
    try:
        value = b64decode(item["value"], validate=True)
        return str(item["key"]), StoredValue(value, int(item["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreReplyMalformedError(f"item: {error!r}") from error


def _batches(reply: Mapping[str, Any]) -> list[WatchBatch]:
    puts: dict[int, dict[str, StoredValue]] = {}
    deletes: dict[int, list[str]] = {}
    for event in reply["events"]:
        if event.get("deleted"):
            deletes.setdefault(int(event["revision"]), []).append(str(event["key"]))
        else:
            key, value = _stored(event)
            puts.setdefault(value.mod_revision, {})[key] = value
    return [
        WatchBatch(revision, puts.get(revision, {}), tuple(deletes.get(revision, ())))
        for revision in sorted(puts.keys() | deletes.keys())
    ]
