"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import re
from base64 import b64decode, b64encode
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson
from multidict import CIMultiDictProxy

from borageworks.endpoints.response_status import FINAL_STATUSES
from borageworks.endpoints.sockets import open_socket
from borageworks.events import Event, emit
from borageworks.exceptions import (
    StoreCompactedError,
    StoreLeaseExpiredError,
    StoreOutcomeUnknownError,
    StoreReplyMalformedError,
    StoreRestoredError,
    StoreUnavailableError,
)
from borageworks.gateway.settings import GatewaySettings
from borageworks.metrics import Metrics
from borageworks.platform import protocol_names
from borageworks.store.values import (
    CommitResult,
    Lease,
    RangeResult,
    StoredValue,
    Transaction,
    WatchBatch,
)

MILLISECONDS_PER_SECOND = 1000.0
# A call normally takes milliseconds. The limit allows for a store that is fifty times
# slower, and leaves time for a second call within the shortest lease.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
# Time allowed for the reply to a watch call after its wait has ended.
WATCH_REPLY_MARGIN_S = 0.7
# A watch call that began while the store was disturbed, and hears nothing, times out
# this long before the store counts as stable again: changes have to be in force then.
WATCH_TIMEOUT_RESERVE_S = 0.8
MIN_WATCH_WAIT_S = 1.0
# Changes in quick succession, for example when a fleet starts, are read in one call.
WATCH_INTERVAL_S = 0.5
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
_ERA = re.compile(r"[0-9]{1,18}", re.ASCII)
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_COMPACTED = 410
STATUS_CONDITION_FAILED = 412
# The platform guarantees that a refused call with such a status had no effect.
NOT_APPLIED_STATUSES = frozenset((403, 429, 503))


@dataclass(frozen=True, slots=True)
class _Reply:
    """Status and decoded body of a reply, and the era in which it was given."""

    status: int
    body: Any
    era: int


class PlatformStore:
    """Store client for the platform's HTTP protocol; keys are sent unchanged.

    Parameters
    ----------
    settings
        Address of the store, and time limits for applying changes.
    metrics
        Receives the counters `store_calls` by type of call and `store_failures` by
        error code, and the duration `store_call`.
    """

    def __init__(self, settings: GatewaySettings, metrics: Metrics) -> None:
        self._base_url = (
            f"http://{settings.store_address.host}:{settings.store_address.port}"
        )
        self._max_wait_s = max(
            settings.recovery_grace_s - WATCH_REPLY_MARGIN_S - WATCH_TIMEOUT_RESERVE_S,
            MIN_WATCH_WAIT_S,
        )
        self._recovered = asyncio.Event()
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None
        self._failing_since: float | None = None
        self._recovered_at: float | None = None
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Latest era that the store has stated, 0 if none."""
        return self._era or 0

    @property
    def failing_since(self) -> float | None:
        """Loop time of the first failure since the last success, or None."""
        return self._failing_since

    @property
    def recovered_at(self) -> float | None:
        """Loop time of the first success after the last failure or restore, or None."""
        return self._recovered_at

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of `key`, or None if it is absent."""
        reply = await self._call("get", "GET", "/kv-key", query={"key": key})
        if reply.status == STATUS_NOT_FOUND:
            return None
        return _decode_item(_check_reply(reply))[1]

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys that start with `prefix`.

        Pages are read one after the other. The revision is that of the first page, so
        that a watch from this revision reports changes made between the pages.

        Raises
        ------
        StoreRestoredError
            If the store came back from an older copy between two pages.
        """
        values: dict[str, StoredValue] = {}
        revision: int | None = None
        era = 0
        query = {"prefix": prefix}
        while True:
            reply = await self._call("range", "GET", "/kv-range", query=query)
            body = _check_reply(reply)
            try:
                page = dict(_decode_item(item) for item in body["items"])
                if revision is None:
                    revision = int(body["store_revision"])
                    era = reply.era
                truncated = bool(body["truncated"])
            except (KeyError, TypeError, ValueError) as error:
                raise StoreReplyMalformedError(
                    f"malformed range reply: {error!r}"
                ) from error
            if reply.era != era:
                raise StoreRestoredError(f"era {reply.era} began while reading {era}")
            values.update(page)
            if not truncated or not page:
                return RangeResult(values, revision, era)
            query = {"prefix": prefix, "after": max(page)}

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply `transaction` if all of its compares succeed."""
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
        reply = await self._call("txn", "POST", "/kv-txn", request, write=True)
        if reply.status == STATUS_NOT_FOUND:
            raise StoreLeaseExpiredError(f"lease {lease} has expired")
        if reply.status == STATUS_CONDITION_FAILED:
            return CommitResult(False, 0)
        if transaction.lease is not None and transaction.lease.era != reply.era:
            raise StoreLeaseExpiredError(f"lease {lease} is of an earlier era")
        try:
            return CommitResult(True, int(_check_reply(reply)["revision"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreOutcomeUnknownError(
                f"malformed commit reply: {error!r}"
            ) from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease that expires `ttl_s` seconds after its last renewal."""
        request = {"ttl_ms": int(ttl_s * MILLISECONDS_PER_SECOND)}
        reply = await self._call(
            "lease_grant", "POST", "/kv-lease", request, write=True
        )
        body = _check_reply(reply)
        try:
            ttl_s = body["ttl_ms"] / MILLISECONDS_PER_SECOND
            return Lease(int(body["lease"]), ttl_s, reply.era)
        except (KeyError, TypeError, ValueError) as error:
            raise StoreReplyMalformedError(
                f"malformed lease reply: {error!r}"
            ) from error

    async def keep_alive(self, lease: Lease) -> None:
        """Renew `lease`."""
        if lease.era == self.era:
            reply = await self._call(
                "lease_keepalive", "POST", f"/kv-keep/{lease.id}", {}, write=True
            )
            if reply.status != STATUS_NOT_FOUND and reply.era == lease.era:
                _check_reply(reply)
                return
        raise StoreLeaseExpiredError(f"lease {lease.id} has expired")

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under `prefix` from `start_revision` on."""
        async with aclosing(
            self.watch_with_progress(prefix, self.era, start_revision, lambda: None)
        ) as batches:
            async for batch in batches:
                if batch.puts or batch.deletes:
                    yield batch

    async def watch_with_progress(
        self,
        prefix: str,
        era: int,
        start_revision: int,
        wait_s: Callable[[], float | None],
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under `prefix`, and an empty batch after idle calls.

        `start_revision` is one of `era`. In another one it may be missing, or belong to
        another change.

        A watch call that ends without changes yields an empty batch. Each call waits
        for up to `wait_s()` seconds, or for as long as the limits for applying changes
        allow if it returns None.
        """
        after = start_revision - 1
        backoff_s = INITIAL_BACKOFF_S
        while True:
            requested_wait_s = wait_s()
            call_wait_s = (
                self._max_wait_s if requested_wait_s is None else requested_wait_s
            )
            query = {
                "prefix": prefix,
                "after": str(after),
                "wait_ms": str(int(call_wait_s * MILLISECONDS_PER_SECOND)),
            }
            try:
                reply = await self._call_watch(query, call_wait_s)
                if reply.era != era:
                    raise StoreRestoredError(f"watch of era {era} in era {reply.era}")
                if reply.status == STATUS_COMPACTED:
                    raise StoreCompactedError(
                        f"changes after revision {after} are compacted"
                    )
                body = _check_reply(reply)
                batches = _decode_batches(body, era)
                reached_revision = int(body["store_revision"])
            except (StoreUnavailableError, StoreReplyMalformedError):
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            except (KeyError, TypeError, ValueError) as error:
                self._metrics.count("store_failures", "watch_malformed")
                emit(Event.STORE_REPLY_MALFORMED, call="watch", error=repr(error))
                await asyncio.sleep(backoff_s)
                continue
            backoff_s = INITIAL_BACKOFF_S
            for batch in batches:
                yield batch
            after = max(after, reached_revision)
            if batches:
                await asyncio.sleep(WATCH_INTERVAL_S)
            else:
                yield WatchBatch(after, {}, (), era)

    async def _call_watch(self, query: Mapping[str, str], call_wait_s: float) -> _Reply:
        """Make one watch call, cancelled when the store recovers from a failure.

        A call that was waiting when the store became unavailable may get no reply.
        """
        self._recovered.clear()
        call = asyncio.ensure_future(
            self._call(
                "watch",
                "GET",
                "/kv-watch",
                query=query,
                timeout_s=call_wait_s + WATCH_REPLY_MARGIN_S,
            )
        )
        recovered = asyncio.ensure_future(self._recovered.wait())
        try:
            await asyncio.wait((call, recovered), return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                raise StoreUnavailableError(
                    "watch cancelled: the store recovered from a failure"
                )
            return call.result()
        finally:
            call.cancel()
            recovered.cancel()
            # A cancelled call may still raise its own error.
            await asyncio.gather(call, recovered, return_exceptions=True)

    async def _call(
        self,
        call_type: str,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        *,
        query: Mapping[str, str] | None = None,
        write: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Reply:
        self._metrics.count("store_calls", call_type)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            reply = await self._send(method, path, body, query, write, timeout_s)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._metrics.count("store_failures", error.code)
            if self._failing_since is None:
                self._failing_since = started_at
                emit(
                    Event.STORE_DOWN,
                    url=self._base_url,
                    call=call_type,
                    error=str(error),
                )
            raise
        if self._failing_since is not None:
            outage_s = loop.time() - self._failing_since
            self._failing_since = None
            self._recovered_at = loop.time()
            self._recovered.set()
            emit(Event.STORE_UP, url=self._base_url, away_s=round(outage_s, 3))
        if call_type != "watch":
            self._metrics.observe("store_call", loop.time() - started_at)
        return reply

    async def _send(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        query: Mapping[str, str] | None,
        write: bool,
        timeout_s: float,
    ) -> _Reply:
        try:
            async with self._open_session().request(
                method,
                self._base_url + path,
                params=query,
                data=None if body is None else orjson.dumps(body),
                headers={"Content-Type": "application/json"} if body else None,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                status = response.status
                if status not in FINAL_STATUSES:
                    # Nothing that such a reply says is true for certain, nor its era.
                    response.close()
                    raise aiohttp.ClientPayloadError(f"invalid status {status}")
                data = await response.read()
                era = self._observe_era(response.headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(
                f"cannot connect to the store: {error!r}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if write:
                raise StoreOutcomeUnknownError(f"reply lost: {error!r}") from error
            raise StoreUnavailableError(f"read failed: {error!r}") from error
        if era < self.era:
            # What it confirms is gone, and what it reads may never come back.
            detail = f"reply of era {era}, the store is in {self.era}"
            if write:
                raise StoreOutcomeUnknownError(detail)
            raise StoreUnavailableError(detail)
        if status in NOT_APPLIED_STATUSES:
            raise StoreUnavailableError(f"store refused the call with status {status}")
        try:
            return _Reply(status, orjson.loads(data) if data else {}, era)
        except orjson.JSONDecodeError as error:
            if write:
                raise StoreOutcomeUnknownError(f"reply is not JSON: {error}") from error
            raise StoreUnavailableError(f"reply is not JSON: {error}") from error

    def _observe_era(self, headers: CIMultiDictProxy[str]) -> int:
        """Return the era that a reply states, and remember the latest one."""
        text = headers.get(protocol_names.STORE_ERA, "")
        if not _ERA.fullmatch(text):
            # Without a statement nothing shows that the store was restored.
            return self.era
        era, previous = int(text), self._era
        if previous is None or era > previous:
            self._era = era
            if previous is not None:
                self._recovered_at = asyncio.get_running_loop().time()
                self._recovered.set()
                emit(Event.STORE_RESTORED, era=era, previous=previous)
        return era

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, socket_factory=open_socket)
            )
        return self._session


def _check_reply(reply: _Reply) -> Mapping[str, Any]:
    if reply.status != STATUS_OK or not isinstance(reply.body, dict):
        raise StoreReplyMalformedError(
            f"unexpected reply with status {reply.status}: {reply.body!r:.200}"
        )
    return reply.body


def _decode_item(item: Mapping[str, Any]) -> tuple[str, StoredValue]:
    try:
        value = b64decode(item["value"], validate=True)
        return str(item["key"]), StoredValue(value, int(item["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreReplyMalformedError(f"malformed item: {error!r}") from error


def _decode_batches(reply: Mapping[str, Any], era: int) -> list[WatchBatch]:
    puts: dict[int, dict[str, StoredValue]] = {}
    deletes: dict[int, list[str]] = {}
    for event in reply["events"]:
        if event.get("deleted"):
            deletes.setdefault(int(event["revision"]), []).append(str(event["key"]))
        else:
            key, value = _decode_item(event)
            puts.setdefault(value.mod_revision, {})[key] = value
    return [
        WatchBatch(
            revision, puts.get(revision, {}), tuple(deletes.get(revision, ())), era
        )
        for revision in sorted(puts.keys() | deletes.keys())
    ]
