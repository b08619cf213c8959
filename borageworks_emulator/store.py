"""In-memory store behind the etcd v3 HTTP/JSON gateway form, with faults."""

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

from borageworks.timers import Subscription, Timers

VALUE_BYTES_MAX = 1_000_000
REQUEST_BYTES_MAX = 4 * VALUE_BYTES_MAX
TXN_OPERATIONS_MAX = 128
# Bounds the memory of a long run: twice this many values of 16 KB are 64 MB.
HISTORY_EVENTS = 2_000
SHUTDOWN_TIMEOUT_S = 0.1
# A watch whose client has gone is noticed after at most this time.
WATCH_CHECK_S = 0.5
GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_OUT_OF_RANGE = 11
GRPC_UNAVAILABLE = 14
HTTP_STATUS = {
    GRPC_INVALID_ARGUMENT: 400,
    GRPC_NOT_FOUND: 404,
    GRPC_RESOURCE_EXHAUSTED: 429,
    GRPC_OUT_OF_RANGE: 400,
    GRPC_UNAVAILABLE: 503,
}
COMPARISONS: Mapping[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
WRITE_KINDS = frozenset({"txn", "lease_grant", "lease_keepalive"})


class GatewayError(Exception):
    """An error answer of the gateway, with its gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(slots=True)
class StoreFaults:
    """Switches for faults; all are off at the start.

    Parameters
    ----------
    delay_s
        Seconds before a call takes effect.
    reply_delay_s
        Seconds between the effect of a call and its reply.
    lost_replies
        Number of next writes that take effect and lose their reply.
    lost_requests
        Number of next writes whose connection closes before they take effect.
    reads_per_second, writes_per_second
        Rate limits; calls above them are refused.
    blocked_sources
        IP addresses whose calls are refused; open watches end with `break_watches`.
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
    """One version of a key; `value` is None for its deletion."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def json(self) -> dict[str, str]:
        """Return the version in the form of the gateway."""
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
class HeldLease:
    """A lease and the keys attached to it."""

    ttl_s: int
    timer: Subscription
    keys: set[bytes] = field(default_factory=set)


class RateLimit:
    """Token bucket that holds a tenth of a second's calls, at least one."""

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
            passed = (now - self._updated) * rate
            self._tokens = min(burst, self._tokens + passed)
        self._updated = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EmulatedStore:
    """The store's gateway as an HTTP server.

    Parameters
    ----------
    faults
        Switches for faults.
    history_events
        Number of changes that are kept at least; older ones are compacted.

    Attributes
    ----------
    faults
        Switches for faults.
    calls
        Calls received by kind, including refused ones: `range`, `txn`, `lease_grant`,
        `lease_keepalive` and `watch`.
    refused
        Calls refused by a fault, by kind.
    bytes_written
        Bytes of all values put.
    """

    def __init__(
        self,
        faults: StoreFaults | None = None,
        *,
        history_events: int = HISTORY_EVENTS,
    ) -> None:
        self._history_events = history_events
        self.faults = faults or StoreFaults()
        self.calls: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.bytes_written = 0
        self._unavailable = False
        self._revision = 1
        self._compacted = 0
        self._versions: dict[bytes, list[KeyVersion]] = {}
        self._events: list[KeyVersion] = []
        self._leases: dict[int, HeldLease] = {}
        self._lease_ids = 0
        self._limits = {True: RateLimit(), False: RateLimit()}
        self._watches = 0
        self._watch_epoch = 0
        self._changed = asyncio.Event()
        self._timers: Timers | None = None
        self._runner: web.AppRunner | None = None
        self._url = ""

    @property
    def url(self) -> str:
        """Base address of the gateway."""
        return self._url

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    @property
    def watches(self) -> int:
        """Number of watches that are open."""
        return self._watches

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
        """Listen at an address; port 0 takes a free one. Data outlasts a stop."""
        self._timers = Timers()
        for lease_id, lease in self._leases.items():
            lease.timer = self._expiry(lease_id, lease.ttl_s)
        application = web.Application(client_max_size=REQUEST_BYTES_MAX)
        for path, kind, handler in (
            ("/v3/kv/range", "range", self._range),
            ("/v3/kv/txn", "txn", self._txn),
            ("/v3/lease/grant", "lease_grant", self._grant),
            ("/v3/lease/keepalive", "lease_keepalive", self._keep_alive),
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
        """Forget the history before `revision`."""
        self._compacted = revision
        self._events = [e for e in self._events if e.mod_revision >= revision]
        for key, versions in list(self._versions.items()):
            older = [v for v in versions if v.mod_revision <= revision]
            kept = versions[max(0, len(older) - 1) :]
            if kept[-1].value is None and kept[-1].mod_revision <= revision:
                del self._versions[key]
            else:
                self._versions[key] = kept
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
                return _json(
                    {"code": error.code, "message": str(error)},
                    HTTP_STATUS[error.code],
                )
            if write and self.faults.lost_replies > 0:
                self.faults.lost_replies -= 1
                return _abort(request)
            await asyncio.sleep(self.faults.reply_delay_s)
            return _json(reply, 200)

        return handle

    def _admit(self, request: web.Request, *, write: bool) -> None:
        if self._unavailable or request.remote in self.faults.blocked_sources:
            raise GatewayError(GRPC_UNAVAILABLE, "etcdserver: no leader")
        now = asyncio.get_running_loop().time()
        faults = self.faults
        rate = faults.writes_per_second if write else faults.reads_per_second
        if not self._limits[write].take(now, rate):
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
        if revision < self._compacted:
            raise GatewayError(
                GRPC_OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            )
        keys = sorted(k for k in self._versions if key <= k < end) if end else [key]
        found = []
        for candidate in keys:
            versions = self._versions.get(candidate, ())
            seen = [v for v in versions if v.mod_revision <= revision]
            if seen and seen[-1].value is not None:
                found.append(seen[-1])
        limit = int(body.get("limit", 0)) or len(found)
        reply: dict[str, Any] = {"header": self._header(), "count": str(len(found))}
        if found:
            reply["kvs"] = [version.json() for version in found[:limit]]
        if len(found) > limit:
            reply["more"] = True
        return reply

    def _txn(self, body: Mapping[str, Any]) -> dict[str, Any]:
        compares = body.get("compare", [])
        operations = body.get("success", [])
        if max(len(compares), len(operations)) > TXN_OPERATIONS_MAX:
            raise GatewayError(
                GRPC_INVALID_ARGUMENT, "etcdserver: too many operations in txn request"
            )
        succeeded = all(self._holds(compare) for compare in compares)
        if not succeeded:
            operations = body.get("failure", [])
        self._check_operations(operations)
        responses = self._apply(operations)
        reply: dict[str, Any] = {"header": self._header(), "responses": responses}
        if succeeded:
            reply["succeeded"] = True
        return reply

    def _holds(self, compare: Mapping[str, Any]) -> bool:
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
        return COMPARISONS[compare.get("result", "EQUAL")](actual, expected)

    def _check_operations(self, operations: list[Mapping[str, Any]]) -> None:
        written: set[bytes] = set()
        for operation in operations:
            name, fields = next(iter(operation.items()))
            key = b64decode(fields["key"])
            match name:
                case "request_put":
                    if len(b64decode(fields.get("value", ""))) > VALUE_BYTES_MAX:
                        raise GatewayError(
                            GRPC_INVALID_ARGUMENT, "etcdserver: request is too large"
                        )
                    if key in written:
                        raise GatewayError(
                            GRPC_INVALID_ARGUMENT,
                            "etcdserver: duplicate key given in txn request",
                        )
                    written.add(key)
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
        before = self._current(key)
        self.bytes_written += len(value)
        if before is not None and before.lease:
            self._leases[before.lease].keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        version = KeyVersion(
            key,
            value,
            before.create_revision if before else revision,
            revision,
            before.version + 1 if before else 1,
            lease,
        )
        self._append(version)

    def _delete(self, revision: int, key: bytes) -> int:
        before = self._current(key)
        if before is None:
            return 0
        if before.lease in self._leases:
            self._leases[before.lease].keys.discard(key)
        self._append(KeyVersion(key, None, 0, revision, 0, 0))
        return 1

    def _append(self, version: KeyVersion) -> None:
        self._revision = version.mod_revision
        self._versions.setdefault(version.key, []).append(version)
        self._events.append(version)
        if len(self._events) > 2 * self._history_events:
            self.compact(self._events[-self._history_events].mod_revision)

    def _grant(self, body: Mapping[str, Any]) -> dict[str, Any]:
        ttl = int(body["TTL"])
        self._lease_ids += 1
        lease_id = int(body.get("ID", 0)) or self._lease_ids
        self._leases[lease_id] = HeldLease(ttl, self._expiry(lease_id, ttl))
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}

    def _keep_alive(self, body: Mapping[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        lease = self._leases.get(lease_id)
        result = {"header": self._header(), "ID": str(lease_id)}
        if lease is not None:
            lease.timer.cancel()
            lease.timer = self._expiry(lease_id, lease.ttl_s)
            result["TTL"] = str(lease.ttl_s)
        return {"result": result}

    def _expiry(self, lease_id: int, ttl_s: int) -> Subscription:
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
            return _json(
                {"code": error.code, "message": str(error)}, HTTP_STATUS[error.code]
            )
        create = orjson.loads(await request.read())["create_request"]
        key = b64decode(create["key"])
        end = b64decode(create.get("range_end", "")) or key + b"\0"
        following = int(create.get("start_revision", 0)) or self._revision + 1
        response = web.StreamResponse()
        await response.prepare(request)
        self._watches += 1
        epoch = self._watch_epoch
        try:
            await _send(response, {"header": self._header(), "created": True})
            while True:
                changed = self._changed
                if following < self._compacted:
                    await _send(
                        response,
                        {
                            "header": self._header(),
                            "canceled": True,
                            "compact_revision": str(self._compacted),
                        },
                    )
                    return response
                events = self._events_from(following, key, end)
                following = self._revision + 1
                if events:
                    await _send(response, {"header": self._header(), "events": events})
                    continue
                with suppress(TimeoutError):
                    async with asyncio.timeout(WATCH_CHECK_S):
                        await changed.wait()
                closed = request.transport is None or request.transport.is_closing()
                if closed or epoch != self._watch_epoch:
                    return _abort(request)
        finally:
            self._watches -= 1

    def _events_from(
        self, revision: int, start: bytes, end: bytes
    ) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        for version in reversed(self._events):
            if version.mod_revision < revision:
                break
            if start <= version.key < end:
                event: dict[str, Any] = {"kv": version.json()}
                if version.value is None:
                    event["type"] = "DELETE"
                found.append(event)
        found.reverse()
        return found


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _json(reply: Mapping[str, Any], status: int) -> web.Response:
    return web.Response(
        body=orjson.dumps(reply), status=status, content_type="application/json"
    )


async def _send(response: web.StreamResponse, result: Mapping[str, Any]) -> None:
    await response.write(orjson.dumps({"result": result}) + b"\n")
