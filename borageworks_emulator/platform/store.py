"""Stand-in of the platform's key-value store, with faults to switch on."""

from __future__ import annotations

import asyncio
import itertools
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson
from aiohttp import web

Translate = Callable[[str, bytes], bytes]

PAGE_ITEMS = 500
LEASE_POLL_S = 0.05
FOREVER_S = 3600.0


class StoreFault(Enum):
    """How the store treats calls."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSE_REPLIES = "lose_replies"


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float


class EmulatedPlatformStore:
    """Key-value store with conditions, leases and watches over HTTP.

    A reader may be given a view of its own, in which values are translated: it stands
    for a network in which addresses differ from place to place.
    """

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted = 0
        self._revision = 1
        self._leases: dict[int, _Lease] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._expiry: asyncio.Task[None] | None = None
        self._views: dict[int, Translate] = {}
        self.fault = StoreFault.NONE
        self.calls: Counter[str] = Counter()
        self.address = ("127.0.0.1", 0)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def keys(self) -> list[str]:
        """Keys that exist."""
        return list(self._items)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(middlewares=[self._faults])
        app.router.add_get("/kv-key", self._get)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._grant)
        app.router.add_post("/kv-keep/{id}", self._keep)
        app.router.add_delete("/kv-lease-end/{id}", self._end)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, *self.address)
        await site.start()
        self.address = self._runner.addresses[0][:2]
        self._expiry = asyncio.create_task(self._expire())

    async def open_view(self, translate: Translate) -> tuple[str, int]:
        """Listen on one more port, whose reads are translated; return its address."""
        assert self._runner is not None
        known = set(self._runner.addresses)
        await web.TCPSite(self._runner, self.address[0], 0).start()
        address: tuple[str, int] = (set(self._runner.addresses) - known).pop()[:2]
        self._views[address[1]] = translate
        return address

    async def stop(self) -> None:
        """Close all connections."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write as the operator or an endpoint does; return the revision."""
        async with self._changed:
            self._write(key, value, lease)
            self._changed.notify_all()
            return self._revision

    async def delete(self, key: str) -> None:
        """Remove a key as the operator or an endpoint does."""
        async with self._changed:
            self._remove(key)
            self._changed.notify_all()

    async def compact(self) -> None:
        """Forget the history."""
        async with self._changed:
            self._history.clear()
            self._compacted = self._revision
            self._changed.notify_all()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        known = self._items.get(key)
        created = known.created if known is not None else self._revision
        self._items[key] = _Item(value, self._revision, created, lease)
        self._history.append(self._row(key))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _row(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            late = [
                number
                for number, lease in self._leases.items()
                if lease.expires_at < loop.time()
            ]
            for number in late:
                await self._drop_lease(number)

    async def _drop_lease(self, number: int) -> bool:
        if self._leases.pop(number, None) is None:
            return False
        async with self._changed:
            for key in [k for k, item in self._items.items() if item.lease == number]:
                self._remove(key)
            self._changed.notify_all()
        return True

    @web.middleware
    async def _faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls[request.path.split("/")[1]] += 1
        refused = await self._fail(request)
        if refused is not None:
            return refused
        response: web.StreamResponse = await handler(request)
        if self.fault is StoreFault.LOSE_REPLIES:
            await asyncio.sleep(FOREVER_S)
        # A watch that waited when the fault began does not get through either.
        return await self._fail(request) or response

    async def _fail(self, request: web.Request) -> web.Response | None:
        match self.fault:
            case StoreFault.BUSY:
                return web.Response(status=503)
            case StoreFault.SILENT:
                await asyncio.sleep(FOREVER_S)
            case StoreFault.RESET:
                if request.transport is not None:
                    request.transport.abort()
        return None

    def _seen(self, request: web.Request, row: dict[str, Any]) -> dict[str, Any]:
        """Return a row as the reader of a request sees it."""
        if request.transport is None or "value" not in row:
            return row
        port = request.transport.get_extra_info("sockname")[1]
        translate = self._views.get(port)
        if translate is None:
            return row
        value = translate(row["key"], b64decode(row["value"]))
        return {**row, "value": b64encode(value).decode()}

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self._items:
            return _json({}, 404)
        row = self._seen(request, self._row(key))
        return _json({**row, "store_revision": self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return _json(
            {
                "items": [
                    self._seen(request, self._row(key)) for key in keys[:PAGE_ITEMS]
                ],
                "truncated": len(keys) > PAGE_ITEMS,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._compacted > after or self._since(prefix, after)
                )
        except TimeoutError:
            pass
        if self._compacted > after:
            return _json({}, 410)
        return _json(
            {
                "events": [
                    self._seen(request, row) for row in self._since(prefix, after)
                ],
                "store_revision": self._revision,
            }
        )

    def _since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            row
            for row in self._history
            if row["revision"] > after and row["key"].startswith(prefix)
        ]

    async def _txn(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        leases = {row.get("lease", 0) for row in body["writes"]} - {0}
        if not leases <= set(self._leases):
            return _json({}, 404)
        async with self._changed:
            for row in body["expect"]:
                item = self._items.get(row["key"])
                if (item.revision if item else 0) != row["revision"]:
                    return _json({"items": []}, 412)
            for row in body["writes"]:
                self._write(row["key"], b64decode(row["value"]), row.get("lease", 0))
            for key in body["remove"]:
                self._remove(key)
            self._changed.notify_all()
            return _json({"revision": self._revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = orjson.loads(await request.read())["ttl_ms"]
        number = next(self._lease_numbers)
        now = asyncio.get_running_loop().time()
        self._leases[number] = _Lease(ttl_ms / 1000, now + ttl_ms / 1000)
        return _json({"lease": number, "ttl_ms": ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = self._leases.get(int(request.match_info["id"]))
        if lease is None:
            return _json({}, 404)
        lease.expires_at = asyncio.get_running_loop().time() + lease.ttl_s
        return _json({"ttl_ms": int(lease.ttl_s * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        found = await self._drop_lease(int(request.match_info["id"]))
        return _json({}, 200 if found else 404)


def _json(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )
