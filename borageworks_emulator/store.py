"""In-memory store with the etcd v3 HTTP/JSON gateway API and fault injection."""

from __future__ import annotations

import asyncio
import operator
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

from borageworks.timers import Timers, TimerSubscription

MAX_VALUE_BYTES = 1_000_000
MAX_REQUEST_BYTES = 4 * MAX_VALUE_BYTES
MAX_TXN_OPERATIONS = 128
# Limits the memory of a long run: twice this number of 16 KB values is 64 MB.
DEFAULT_HISTORY_EVENTS = 2_000
SHUTDOWN_TIMEOUT_S = 0.1
# Maximum time until a watch notices that its client has disconnected.
WATCH_CHECK_INTERVAL_S = 0.5
GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_OUT_OF_RANGE = 11
GRPC_UNAVAILABLE = 14
HTTP_STATUS_BY_GRPC_CODE = {
    GRPC_INVALID_ARGUMENT: 400,
    GRPC_NOT_FOUND: 404,
    GRPC_RESOURCE_EXHAUSTED: 429,
    GRPC_OUT_OF_RANGE: 400,
    GRPC_UNAVAILABLE: 503,
}
COMPARISON_OPERATORS: Mapping[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
WRITE_KINDS = frozenset({"txn", "lease_grant", "lease_keepalive"})


class GatewayError(Exception):
    """An error reply of the gateway, with its gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(slots=True)
class StoreFaults:
    """Fault switches; all are off by default.

    Parameters
    ----------
    delay_s
        Seconds before a call takes effect.
    reply_delay_s
        Seconds between the effect of a call and its reply.
    lost_replies
        Number of upcoming writes that take effect but whose reply is lost.
    lost_requests
        Number of upcoming writes whose connection is aborted before they take effect.
    reads_per_second, writes_per_second
        Rate limits; calls above them are refused. None is unlimited.
    blocked_sources
        IP addresses whose calls are refused. Their open watches continue until
        `break_watches`.
    """

    delay_s: float = 0.0
    reply_delay_s: float = 0.0
    lost_replies: int = 0
    lost_requests: int = 0
    reads_per_second: float | None = None
    writes_per_second: float | None = None
    blocked_sources: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class KeyVersion:
    """One version of a key; `value` is None for a deletion."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def json(self) -> dict[str, str]:
        """Return the version in the JSON form of the gateway."""
        fields = {
            "key": b64encode(self.key).decode(),
            "mod_revision": str(self.mod_revision),
        }
        if self.value is not None:
            fields["value"] = b64encode(self.value).decode()
            fields["create_revision"] = str(self.create_revision)
            fields["version"] = str(self.version)
            if self.lease:
                fields["lease"] = str(self.lease)
        return fields


@dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it."""

    ttl_s: int
    timer: TimerSubscription
    keys: set[bytes] = field(default_factory=set)


class TokenBucket:
    """Token bucket with a capacity of 0.1 s of calls, but at least one call."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._updated = 0.0

    def take(self, now: float, rate: float | None) -> bool:
        """Return whether a call at `now` is within `rate` calls per second."""
        if rate is None:
            return True
        burst = max(1.0, rate / 10)
        if self._tokens is None:
            self._tokens = burst
        else:
            refill = (now - self._updated) * rate
            self._tokens = min(burst, self._tokens + refill)
        self._updated = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EmulatedStore:
    """Emulated etcd gateway as an HTTP server.

    Parameters
    ----------
    faults
        Fault switches.
    history_events
        Minimum number of changes in the history; older ones are compacted.

    Attributes
    ----------
    faults
        Fault switches.
    calls
        Calls received by kind, including refused ones: `range`, `txn`, `lease_grant`,
        `lease_keepalive` and `watch`.
    refused
        Calls refused because of a fault, by kind.
    bytes_written
        Total bytes of all values put.
    """

    def __init__(
        self,
        faults: StoreFaults | None = None,
        *,
        history_events: int = DEFAULT_HISTORY_EVENTS,
    ) -> None:
        self._history_events = history_events
        self.faults = faults or StoreFaults()
        self.calls: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.bytes_written = 0
        self._unavailable = False
        self._revision = 1
        self._compacted_revision = 0
        self._versions: dict[bytes, list[KeyVersion]] = {}
        self._events: list[KeyVersion] = []
        self._leases: dict[int, Lease] = {}
        self._last_lease_id = 0
        self._token_buckets = {True: TokenBucket(), False: TokenBucket()}
        self._watch_count = 0
        self._watch_epoch = 0
        self._changed = asyncio.Event()
        self._timers: Timers | None = None
        self._runner: web.AppRunner | None = None
        self._url = ""

    @property
    def url(self) -> str:
        """Base URL of the gateway."""
        return self._url

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    @property
    def watches(self) -> int:
        """Number of open watches."""
        return self._watch_count

    @property
    def unavailable(self) -> bool:
        """Whether every call is refused; setting it also ends open watches."""
        return self._unavailable

    @unavailable.setter
    def unavailable(self, value: bool) -> None:
        self._unavailable = value
        if value:
            self.break_watches()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address; port 0 selects a free port. Data survives a stop."""
        self._timers = Timers()
        for lease_id, lease in self._leases.items():
            lease.timer = self._start_expiry_timer(lease_id, lease.ttl_s)
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        for path, kind, handler in (
            ("/v3/kv/range", "range", self._range),
            ("/v3/kv/txn", "txn", self._txn),
            ("/v3/lease/grant", "lease_grant", self._lease_grant),
            ("/v3/lease/keepalive", "lease_keepalive", self._lease_keep_alive),
        ):
            application.router.add_post(path, self._unary(kind, handler))
        application.router.add_post("/v3/watch", self._watch)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handle_signals=False,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        bound = self._runner.addresses[0]
        self._url = f"http://{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections; the data is kept."""
        for lease in self._leases.values():
            lease.timer.cancel()
        self.break_watches()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def compact(self, revision: int) -> None:
        """Remove the history before `revision`."""
        self._compacted_revision = revision
        self._events = [e for e in self._events if e.mod_revision >= revision]
        for key, versions in list(self._versions.items()):
            older = [v for v in versions if v.mod_revision <= revision]
            retained = versions[max(0, len(older) - 1) :]
            if retained[-1].value is None and retained[-1].mod_revision <= revision:
                del self._versions[key]
            else:
                self._versions[key] = retained
        self._notify()

    def break_watches(self) -> None:
        """End the connections of all open watches."""
        self._watch_epoch += 1
        self._notify()

    def _unary(
        self, kind: str, handler: Callable[[Mapping[str, Any]], dict[str, Any]]
    ) -> Callable[[web.Request], Any]:
        async def handle(request: web.Request) -> web.StreamResponse:
            self.calls[kind] += 1
            write = kind in WRITE_KINDS
            try:
                self._admit(request, write=write)
                body = orjson.loads(await request.read())
                await asyncio.sleep(self.faults.delay_s)
                if write and self.faults.lost_requests > 0:
                    self.faults.lost_requests -= 1
                    return _abort(request)
                reply = handler(body)
            except GatewayError as error:
                if error.code in {GRPC_UNAVAILABLE, GRPC_RESOURCE_EXHAUSTED}:
                    self.refused[kind] += 1
                return _json_response(
                    {"code": error.code, "message": str(error)},
                    HTTP_STATUS_BY_GRPC_CODE[error.code],
                )
            if write and self.faults.lost_replies > 0:
                self.faults.lost_replies -= 1
                return _abort(request)
            await asyncio.sleep(self.faults.reply_delay_s)
            return _json_response(reply, 200)

        return handle

    def _admit(self, request: web.Request, *, write: bool) -> None:
        if self._unavailable or request.remote in self.faults.blocked_sources:
            raise GatewayError(GRPC_UNAVAILABLE, "etcdserver: no leader")
        now = asyncio.get_running_loop().time()
        faults = self.faults
        rate = faults.writes_per_second if write else faults.reads_per_second
        if not self._token_buckets[write].take(now, rate):
            raise GatewayError(GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests")

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}

    def _current(self, key: bytes) -> KeyVersion | None:
        versions = self._versions.get(key)
        if not versions or versions[-1].value is None:
            return None
        return versions[-1]

    def _range(self, body: Mapping[str, Any]) -> dict[str, Any]:
        key = b64decode(body["key"])
        end = b64decode(body.get("range_end", ""))
        revision = int(body.get("revision", 0)) or self._revision
        if revision < self._compacted_revision:
            raise GatewayError(
                GRPC_OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            )
        keys = sorted(k for k in self._versions if key <= k < end) if end else [key]
        matches = []
        for candidate in keys:
            versions = self._versions.get(candidate, ())
            visible = [v for v in versions if v.mod_revision <= revision]
            if visible and visible[-1].value is not None:
                matches.append(visible[-1])
        limit = int(body.get("limit", 0)) or len(matches)
        reply: dict[str, Any] = {"header": self._header(), "count": str(len(matches))}
        if matches:
            reply["kvs"] = [version.json() for version in matches[:limit]]
        if len(matches) > limit:
            reply["more"] = True
        return reply

    def _txn(self, body: Mapping[str, Any]) -> dict[str, Any]:
        compares = body.get("compare", [])
        operations = body.get("success", [])
        if max(len(compares), len(operations)) > MAX_TXN_OPERATIONS:
            raise GatewayError(
                GRPC_INVALID_ARGUMENT, "etcdserver: too many operations in txn request"
            )
        succeeded = all(self._compare_holds(compare) for compare in compares)
        if not succeeded:
            operations = body.get("failure", [])
        self._check_operations(operations)
        responses = self._apply(operations)
        reply: dict[str, Any] = {"header": self._header(), "responses": responses}
        if succeeded:
            reply["succeeded"] = True
        return reply

    def _compare_holds(self, compare: Mapping[str, Any]) -> bool:
        version = self._current(b64decode(compare["key"]))
        actual: object
        expected: object
        match compare.get("target", "VERSION"):
            case "MOD":
                actual = version.mod_revision if version else 0
                expected = int(compare.get("mod_revision", 0))
            case "CREATE":
                actual = version.create_revision if version else 0
                expected = int(compare.get("create_revision", 0))
            case "VERSION":
                actual = version.version if version else 0
                expected = int(compare.get("version", 0))
            case "VALUE":
                if version is None:
                    return False
                actual = version.value
                expected = b64decode(compare.get("value", ""))
            case other:
                raise GatewayError(GRPC_INVALID_ARGUMENT, f"unknown target {other}")
        return COMPARISON_OPERATORS[compare.get("result", "EQUAL")](actual, expected)

    def _check_operations(self, operations: list[Mapping[str, Any]]) -> None:
        written_keys: set[bytes] = set()
        for operation in operations:
            name, fields = next(iter(operation.items()))
            key = b64decode(fields["key"])
            match name:
                case "request_put":
                    if len(b64decode(fields.get("value", ""))) > MAX_VALUE_BYTES:
                        raise GatewayError(
                            GRPC_INVALID_ARGUMENT, "etcdserver: request is too large"
                        )
                    if key in written_keys:
                        raise GatewayError(
                            GRPC_INVALID_ARGUMENT,
                            "etcdserver: duplicate key given in txn request",
                        )
                    written_keys.add(key)
                    lease = int(fields.get("lease", 0))
                    if lease and lease not in self._leases:
                        raise GatewayError(
                            GRPC_NOT_FOUND, "etcdserver: requested lease not found"
                        )
                case "request_delete_range":
                    pass
                case other:
                    raise GatewayError(
                        GRPC_INVALID_ARGUMENT, f"unsupported operation {other}"
                    )

    def _apply(self, operations: list[Mapping[str, Any]]) -> list[dict[str, Any]]:
        revision = self._revision + 1
        responses: list[dict[str, Any]] = []
        for operation in operations:
            name, fields = next(iter(operation.items()))
            key = b64decode(fields["key"])
            header = {"header": {"revision": str(revision)}}
            if name == "request_put":
                value = b64decode(fields.get("value", ""))
                self._put(revision, key, value, int(fields.get("lease", 0)))
                responses.append({"response_put": header})
            else:
                deleted = self._delete(revision, key)
                responses.append(
                    {"response_delete_range": {**header, "deleted": str(deleted)}}
                )
        self._notify()
        return responses

    def _put(self, revision: int, key: bytes, value: bytes, lease: int) -> None:
        previous = self._current(key)
        self.bytes_written += len(value)
        if previous is not None and previous.lease:
            self._leases[previous.lease].keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        version = KeyVersion(
            key,
            value,
            previous.create_revision if previous else revision,
            revision,
            previous.version + 1 if previous else 1,
            lease,
        )
        self._append_version(version)

    def _delete(self, revision: int, key: bytes) -> int:
        previous = self._current(key)
        if previous is None:
            return 0
        if previous.lease in self._leases:
            self._leases[previous.lease].keys.discard(key)
        self._append_version(KeyVersion(key, None, 0, revision, 0, 0))
        return 1

    def _append_version(self, version: KeyVersion) -> None:
        self._revision = version.mod_revision
        self._versions.setdefault(version.key, []).append(version)
        self._events.append(version)
        if len(self._events) > 2 * self._history_events:
            self.compact(self._events[-self._history_events].mod_revision)

    def _lease_grant(self, body: Mapping[str, Any]) -> dict[str, Any]:
        ttl = int(body["TTL"])
        self._last_lease_id += 1
        lease_id = int(body.get("ID", 0)) or self._last_lease_id
        self._leases[lease_id] = Lease(ttl, self._start_expiry_timer(lease_id, ttl))
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}

    def _lease_keep_alive(self, body: Mapping[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        lease = self._leases.get(lease_id)
        result = {"header": self._header(), "ID": str(lease_id)}
        if lease is not None:
            lease.timer.cancel()
            lease.timer = self._start_expiry_timer(lease_id, lease.ttl_s)
            result["TTL"] = str(lease.ttl_s)
        return {"result": result}

    def _start_expiry_timer(self, lease_id: int, ttl_s: int) -> TimerSubscription:
        assert self._timers is not None

        def expire(_now: float) -> None:
            lease = self._leases.pop(lease_id)
            revision = self._revision + 1
            for key in sorted(lease.keys):
                self._delete(revision, key)
            self._notify()

        return self._timers.after(ttl_s, expire)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        try:
            self._admit(request, write=False)
        except GatewayError as error:
            self.refused["watch"] += 1
            return _json_response(
                {"code": error.code, "message": str(error)},
                HTTP_STATUS_BY_GRPC_CODE[error.code],
            )
        create_request = orjson.loads(await request.read())["create_request"]
        key = b64decode(create_request["key"])
        end = b64decode(create_request.get("range_end", "")) or key + b"\0"
        next_revision = (
            int(create_request.get("start_revision", 0)) or self._revision + 1
        )
        response = web.StreamResponse()
        await response.prepare(request)
        self._watch_count += 1
        epoch = self._watch_epoch
        try:
            await _send_result(response, {"header": self._header(), "created": True})
            while True:
                changed = self._changed
                if next_revision < self._compacted_revision:
                    await _send_result(
                        response,
                        {
                            "header": self._header(),
                            "canceled": True,
                            "compact_revision": str(self._compacted_revision),
                        },
                    )
                    return response
                events = self._events_from(next_revision, key, end)
                next_revision = self._revision + 1
                if events:
                    await _send_result(
                        response, {"header": self._header(), "events": events}
                    )
                    continue
                with suppress(TimeoutError):
                    async with asyncio.timeout(WATCH_CHECK_INTERVAL_S):
                        await changed.wait()
                closed = request.transport is None or request.transport.is_closing()
                if closed or epoch != self._watch_epoch:
                    return _abort(request)
        finally:
            self._watch_count -= 1

    def _events_from(
        self, revision: int, start: bytes, end: bytes
    ) -> list[dict[str, Any]]:
        events: list[dict[str, Any]] = []
        for version in reversed(self._events):
            if version.mod_revision < revision:
                break
            if start <= version.key < end:
                event: dict[str, Any] = {"kv": version.json()}
                if version.value is None:
                    event["type"] = "DELETE"
                events.append(event)
        events.reverse()
        return events


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _json_response(reply: Mapping[str, Any], status: int) -> web.Response:
    return web.Response(
        body=orjson.dumps(reply), status=status, content_type="application/json"
    )


async def _send_result(response: web.StreamResponse, result: Mapping[str, Any]) -> None:
    await response.write(orjson.dumps({"result": result}) + b"\n")
