"""Baseline: one central queue in front of the same emulated endpoints.

It sees every request and every completion at once, and holds a fixed window per
endpoint. It serves the callers' HTTP interface, so that the load generator and the
endpoints do the same work as with routers.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

import aiohttp
import orjson
from aiohttp import web

from borageworks_emulator.engine import (
    GENERATED_TOKEN_UNITS,
    PROMPT_TOKEN_UNITS,
    EmulatedEngine,
    prompt_words,
)
from borageworks_emulator.load import api_key
from borageworks_emulator.service import EmulatedService

ESTIMATE_GAIN = 0.1
ENGINE_ESTIMATE = 10.0
PLAIN_ESTIMATE = 0.02
# More than the usage event and the end marker of a stream.
TAIL_BYTES = 2048
BACKLOG = 1024
COPIED_HEADERS = ("Content-Type", "X-Request-Id")


@dataclass(slots=True)
class Slot:
    """An endpoint with its window."""

    url: str
    window: int
    in_use: int = 0


@dataclass(slots=True)
class _Organisation:
    share: float
    estimate: float
    tag: float = 0.0
    waiting: deque[asyncio.Future[Slot]] = field(default_factory=deque)


class CentralPool:
    """Start-time fair queueing of one pool.

    Parameters
    ----------
    shares
        Share by organisation.
    slots
        Endpoints with their windows.
    estimate
        Service units that a request is expected to take before any was observed.
    """

    def __init__(
        self, shares: dict[str, float], slots: list[Slot], estimate: float
    ) -> None:
        self._slots = slots
        self._virtual_time = 0.0
        self._organisations = {
            name: _Organisation(share, estimate) for name, share in shares.items()
        }

    async def acquire(self, organisation: str) -> tuple[Slot, float]:
        """Wait for a slot; returns it with the units charged in advance."""
        state = self._organisations[organisation]
        if not state.waiting:
            state.tag = max(state.tag, self._virtual_time)
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        state.waiting.append(future)
        self._dispatch()
        try:
            slot = await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._free(future.result())
            elif future in state.waiting:
                state.waiting.remove(future)
            raise
        return slot, state.estimate

    def release(
        self, organisation: str, slot: Slot, charged: float, units: float
    ) -> None:
        """Return a slot and replace the charged estimate by the real units."""
        state = self._organisations[organisation]
        state.tag += (units - charged) / state.share
        state.estimate += ESTIMATE_GAIN * (units - state.estimate)
        self._free(slot)

    def charge(self, organisation: str, units: float) -> None:
        """Charge units at once."""
        state = self._organisations[organisation]
        state.tag += units / state.share

    def _free(self, slot: Slot) -> None:
        slot.in_use -= 1
        self._dispatch()

    def _dispatch(self) -> None:
        while True:
            free = [slot for slot in self._slots if slot.in_use < slot.window]
            waiting = [s for s in self._organisations.values() if s.waiting]
            if not free or not waiting:
                return
            state = min(waiting, key=lambda s: s.tag)
            slot = min(free, key=lambda s: s.in_use / s.window)
            self._virtual_time = max(self._virtual_time, state.tag)
            state.tag += state.estimate / state.share
            slot.in_use += 1
            future = state.waiting.popleft()
            if future.cancelled():
                slot.in_use -= 1
                state.tag -= state.estimate / state.share
            else:
                future.set_result(slot)


class CentralQueue:
    """HTTP server with one queue per pool.

    Parameters
    ----------
    shares
        Share by organisation.
    endpoints
        Emulated endpoints; the window is an engine's best batch or a service's
        capacity.
    pools
        Pool by service id.
    """

    def __init__(
        self,
        shares: dict[str, float],
        endpoints: list[EmulatedEngine | EmulatedService],
        pools: dict[str, str],
    ) -> None:
        self._pool_of = pools
        self._organisation_of = {api_key(name): name for name in shares}
        self._shares = shares
        self._endpoints = endpoints
        self._pools: dict[str, CentralPool] = {}
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._requests = 0
        self.url = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port, readable from `url`; endpoints must be started."""
        self._create_pools()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        application = web.Application(client_max_size=1 << 26)
        application.router.add_post("/v1/chat/completions", self._chat)
        application.router.add_route("*", "/services/{service}/{path:.*}", self._plain)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0, backlog=BACKLOG).start()
        self.url = f"http://{host}:{self._runner.addresses[0][1]}"

    def _create_pools(self) -> None:
        slots: dict[str, list[Slot]] = {}
        estimates: dict[str, float] = {}
        for endpoint in self._endpoints:
            if isinstance(endpoint, EmulatedEngine):
                window, estimate = endpoint.profile.best_batch, ENGINE_ESTIMATE
            else:
                window, estimate = endpoint.profile.capacity, PLAIN_ESTIMATE
            pool = endpoint.recording.pool
            url = f"http://{endpoint.host}:{endpoint.port}"
            slots.setdefault(pool, []).append(Slot(url, window))
            estimates[pool] = estimate
        self._pools = {
            pool: CentralPool(self._shares, found, estimates[pool])
            for pool, found in slots.items()
        }

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    def _organisation(self, request: web.Request) -> str:
        key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        organisation = self._organisation_of.get(key)
        if organisation is None:
            raise web.HTTPUnauthorized
        return organisation

    def _headers(self, request: web.Request, organisation: str) -> dict[str, str]:
        self._requests += 1
        headers = {
            "Content-Type": request.content_type,
            "X-Request-Id": f"central-{self._requests}",
            "X-Organisation": organisation,
        }
        if "Idempotency-Key" in request.headers:
            headers["Idempotency-Key"] = request.headers["Idempotency-Key"]
        return headers

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        organisation = self._organisation(request)
        raw = await request.read()
        body = orjson.loads(raw)
        if body.get("stream"):
            # The usage event tells how much of the prompt was cached.
            raw = orjson.dumps({**body, "stream_options": {"include_usage": True}})
        pool = self._pools[self._pool_of[body["model"]]]
        prompt = len(prompt_words(body)) * PROMPT_TOKEN_UNITS
        slot, charged = await pool.acquire(organisation)
        meter = _Meter(pool, organisation, charged)
        meter.add(prompt)
        try:
            return await self._forward(
                request, slot, "/v1/chat/completions", organisation, raw, meter
            )
        finally:
            pool.release(organisation, slot, meter.charged, meter.units)

    async def _plain(self, request: web.Request) -> web.StreamResponse:
        organisation = self._organisation(request)
        raw = await request.read()
        service = request.match_info["service"]
        pool = self._pools[self._pool_of[service]]
        path = request.raw_path.removeprefix(f"/services/{service}")
        slot, charged = await pool.acquire(organisation)
        meter = _Meter(pool, organisation, charged)
        began = asyncio.get_running_loop().time()
        try:
            return await self._forward(request, slot, path, organisation, raw, meter)
        finally:
            meter.units = asyncio.get_running_loop().time() - began
            pool.release(organisation, slot, meter.charged, meter.units)

    async def _forward(
        self,
        request: web.Request,
        slot: Slot,
        path: str,
        organisation: str,
        raw: bytes,
        meter: _Meter,
    ) -> web.StreamResponse:
        assert self._session is not None
        async with self._session.request(
            request.method,
            slot.url + path,
            data=raw,
            headers=self._headers(request, organisation),
        ) as upstream:
            headers = {
                name: upstream.headers[name]
                for name in COPIED_HEADERS
                if name in upstream.headers
            }
            if upstream.content_type != "text/event-stream":
                body = await upstream.read()
                meter.settle(body)
                return web.Response(status=upstream.status, body=body, headers=headers)
            response = web.StreamResponse(status=upstream.status, headers=headers)
            await response.prepare(request)
            tail = b""
            async for part in upstream.content.iter_any():
                meter.add(part.count(b'"content"') * GENERATED_TOKEN_UNITS)
                await response.write(part)
                tail = (tail + part)[-TAIL_BYTES:]
            for event in tail.split(b"\n\n"):
                meter.settle(event.removeprefix(b"data: "))
            await response.write_eof()
            return response


@dataclass(slots=True)
class _Meter:
    """Charges units beyond the estimate as soon as they are seen."""

    pool: CentralPool
    organisation: str
    charged: float
    units: float = 0.0

    def add(self, units: float) -> None:
        """Count units; those beyond what was charged are charged at once."""
        self.units += units
        if self.units > self.charged:
            self.pool.charge(self.organisation, self.units - self.charged)
            self.charged = self.units

    def settle(self, document: bytes) -> None:
        """Set the exact units if the document is JSON with a usage object."""
        if b'"usage"' not in document:
            return
        try:
            usage = orjson.loads(document)["usage"]
            cached = usage["prompt_tokens_details"]["cached_tokens"]
            prompt = usage["prompt_tokens"] - cached
            generated = usage["completion_tokens"]
        except (ValueError, KeyError, TypeError):
            return
        self.units = prompt * PROMPT_TOKEN_UNITS + generated * GENERATED_TOKEN_UNITS
