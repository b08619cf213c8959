"""Emulated key-value store of the platform, with faults to inject."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import orjson
from aiohttp import web

TranslateValue = Callable[[str, bytes], bytes]

MAX_PAGE_ITEMS = 500
LEASE_CHECK_INTERVAL_S = 0.05
HANG_S = 3600.0


class StoreFault(Enum):
    """How the store handles calls."""

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


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of a store at one revision."""

    items: dict[str, _Item]
    leases: dict[int, _Lease]
    revision: int
    next_lease: int


class EmulatedPlatformStore:
    """Key-value store with conditions, leases and watches over HTTP.

    Readers can be given a view in which values are translated. It emulates a network in
    which the same endpoint has different addresses in different places.
    """

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._era = 1
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None
        self._views: dict[int, TranslateValue] = {}
        self.fault = StoreFault.NONE
        # Whether watch calls that begin get no reply.
        self.watches_hang = False
        # Seconds by which each call is delayed.
        self.delay_s = 0.0
        self.calls: Counter[str] = Counter()
        self.address = ("127.0.0.1", 0)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def era(self) -> int:
        """Number of times that the store has come back from a copy, from 1 on."""
        return self._era

    @property
    def keys(self) -> list[str]:
        """Keys that exist."""
        return list(self._items)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(middlewares=[self._inject_faults])
        app.router.add_get("/kv-key", self._get)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._commit)
        app.router.add_post("/kv-lease", self._grant_lease)
        app.router.add_post("/kv-keep/{id}", self._keep_lease_alive)
        app.router.add_delete("/kv-lease-end/{id}", self._revoke_lease)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, *self.address)
        await site.start()
        self.address = self._runner.addresses[0][:2]
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def open_view(self, translate: TranslateValue) -> tuple[str, int]:
        """Listen on another port, whose reads are translated; return its address."""
        assert self._runner is not None
        previous = set(self._runner.addresses)
        await web.TCPSite(self._runner, self.address[0], 0).start()
        address: tuple[str, int] = (set(self._runner.addresses) - previous).pop()[:2]
        self._views[address[1]] = translate
        return address

    async def stop(self) -> None:
        """Stop the server and close all connections."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or an endpoint does; return the revision."""
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
        """Drop the history of changes, as a compaction does."""
        async with self._changed:
            self._history.clear()
            self._compacted_revision = self._revision
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy to restore later."""
        return StoreCopy(
            {key: replace(item) for key, item in self._items.items()},
            {number: replace(lease) for number, lease in self._leases.items()},
            self._revision,
            self._next_lease,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later changes, revisions and leases are gone."""
        async with self._changed:
            self._items = {key: replace(item) for key, item in copy.items.items()}
            now = asyncio.get_running_loop().time()
            self._leases = {
                number: _Lease(lease.ttl_s, now + lease.ttl_s)
                for number, lease in copy.leases.items()
            }
            self._revision = copy.revision
            self._next_lease = copy.next_lease
            self._history = [
                entry for entry in self._history if entry["revision"] <= copy.revision
            ]
            self._era += 1
            self._changed.notify_all()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        previous = self._items.get(key)
        created = previous.created if previous is not None else self._revision
        self._items[key] = _Item(value, self._revision, created, lease)
        self._history.append(self._entry(key))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _entry(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            expired = [
                lease_id
                for lease_id, lease in self._leases.items()
                if lease.expires_at < loop.time()
            ]
            for lease_id in expired:
                await self._remove_lease(lease_id)

    async def _remove_lease(self, lease_id: int) -> bool:
        if self._leases.pop(lease_id, None) is None:
            return False
        async with self._changed:
            for key in [k for k, item in self._items.items() if item.lease == lease_id]:
                self._remove(key)
            self._changed.notify_all()
        return True

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self.calls[request.path.split("/")[1]] += 1
        await asyncio.sleep(self.delay_s)
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        response: web.StreamResponse = await handler(request)
        response.headers["Store-Era"] = str(self._era)
        if self.fault is StoreFault.LOSE_REPLIES:
            await asyncio.sleep(HANG_S)
        # A watch that was waiting when the fault began must fail too.
        return await self._apply_fault(request) or response

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        match self.fault:
            case StoreFault.BUSY:
                return web.Response(status=503, headers={"Store-Era": str(self._era)})
            case StoreFault.SILENT:
                await asyncio.sleep(HANG_S)
            case StoreFault.RESET:
                if request.transport is not None:
                    request.transport.abort()
        return None

    def _translate(self, request: web.Request, entry: dict[str, Any]) -> dict[str, Any]:
        """Return an entry with its value translated for the view of the request."""
        if request.transport is None or "value" not in entry:
            return entry
        port = request.transport.get_extra_info("sockname")[1]
        translate = self._views.get(port)
        if translate is None:
            return entry
        value = translate(entry["key"], b64decode(entry["value"]))
        return {**entry, "value": b64encode(value).decode()}

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self._items:
            return _json_response({}, 404)
        entry = self._translate(request, self._entry(key))
        return _json_response({**entry, "store_revision": self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return _json_response(
            {
                "items": [
                    self._translate(request, self._entry(key))
                    for key in keys[:MAX_PAGE_ITEMS]
                ],
                "truncated": len(keys) > MAX_PAGE_ITEMS,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        if self.watches_hang:
            await asyncio.sleep(HANG_S)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        not self._has_history(after)
                        or self._changes_since(prefix, after)
                    )
                )
        except TimeoutError:
            pass
        if not self._has_history(after):
            return _json_response({}, 410)
        return _json_response(
            {
                "events": [
                    self._translate(request, entry)
                    for entry in self._changes_since(prefix, after)
                ],
                "store_revision": self._revision,
            }
        )

    def _has_history(self, after: int) -> bool:
        return self._compacted_revision <= after <= self._revision

    def _changes_since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            entry
            for entry in self._history
            if entry["revision"] > after and entry["key"].startswith(prefix)
        ]

    async def _commit(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        leases = {entry.get("lease", 0) for entry in body["writes"]} - {0}
        if not leases <= set(self._leases):
            return _json_response({}, 404)
        async with self._changed:
            for entry in body["expect"]:
                item = self._items.get(entry["key"])
                if (item.revision if item else 0) != entry["revision"]:
                    return _json_response({"items": []}, 412)
            for entry in body["writes"]:
                self._write(
                    entry["key"], b64decode(entry["value"]), entry.get("lease", 0)
                )
            for key in body["remove"]:
                self._remove(key)
            self._changed.notify_all()
            return _json_response({"revision": self._revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = orjson.loads(await request.read())["ttl_ms"]
        lease_id = self._next_lease
        self._next_lease += 1
        now = asyncio.get_running_loop().time()
        self._leases[lease_id] = _Lease(ttl_ms / 1000, now + ttl_ms / 1000)
        return _json_response({"lease": lease_id, "ttl_ms": ttl_ms})

    async def _keep_lease_alive(self, request: web.Request) -> web.Response:
        lease = self._leases.get(int(request.match_info["id"]))
        if lease is None:
            return _json_response({}, 404)
        lease.expires_at = asyncio.get_running_loop().time() + lease.ttl_s
        return _json_response({"ttl_ms": int(lease.ttl_s * 1000)})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        found = await self._remove_lease(int(request.match_info["id"]))
        return _json_response({}, 200 if found else 404)


def _json_response(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(body), content_type="application/json"
    )
