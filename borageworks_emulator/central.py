"""Baseline for comparison: one central queue in front of the emulated endpoints.

The queue sees every request and every completion immediately and keeps a fixed window
per endpoint. It serves the same HTTP interface as the routers, so that the load
generator and the endpoints do the same work in both cases.
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

ESTIMATE_SMOOTHING_FACTOR = 0.1
ENGINE_INITIAL_ESTIMATE_UNITS = 10.0
PLAIN_INITIAL_ESTIMATE_UNITS = 0.02
# Large enough for the usage event and the end marker of a stream.
STREAM_TAIL_BYTES = 2048
LISTEN_BACKLOG = 1024
FORWARDED_HEADERS = ("Content-Type", "X-Request-Id")


@dataclass(slots=True)
class Slot:
    """An endpoint and its window, the limit of concurrent requests."""

    url: str
    window: int
    in_use: int = 0


@dataclass(slots=True)
class _Organisation:
    share: float
    estimated_units: float
    start_tag: float = 0.0
    waiting: deque[asyncio.Future[Slot]] = field(default_factory=deque)


class CentralPool:
    """Start-time fair queueing for the endpoints of one pool.

    Parameters
    ----------
    shares
        Share by organisation.
    slots
        Endpoints with their windows.
    estimated_units
        Initial estimate of the service units of a request.
    """

    def __init__(
        self, shares: dict[str, float], slots: list[Slot], estimated_units: float
    ) -> None:
        self._slots = slots
        self._virtual_time = 0.0
        self._organisations = {
            name: _Organisation(share, estimated_units)
            for name, share in shares.items()
        }

    async def acquire(self, organisation: str) -> tuple[Slot, float]:
        """Wait for a slot and return it with the units charged in advance."""
        state = self._organisations[organisation]
        if not state.waiting:
            state.start_tag = max(state.start_tag, self._virtual_time)
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
        return slot, state.estimated_units

    def release(
        self, organisation: str, slot: Slot, charged_units: float, units: float
    ) -> None:
        """Free a slot and replace the charged units by the units of the request."""
        state = self._organisations[organisation]
        state.start_tag += (units - charged_units) / state.share
        state.estimated_units += ESTIMATE_SMOOTHING_FACTOR * (
            units - state.estimated_units
        )
        self._free(slot)

    def charge(self, organisation: str, units: float) -> None:
        """Charge units to an organisation immediately."""
        state = self._organisations[organisation]
        state.start_tag += units / state.share

    def _free(self, slot: Slot) -> None:
        slot.in_use -= 1
        self._dispatch()

    def _dispatch(self) -> None:
        while True:
            free_slots = [slot for slot in self._slots if slot.in_use < slot.window]
            waiting = [s for s in self._organisations.values() if s.waiting]
            if not free_slots or not waiting:
                return
            state = min(waiting, key=lambda s: s.start_tag)
            slot = min(free_slots, key=lambda s: s.in_use / s.window)
            self._virtual_time = max(self._virtual_time, state.start_tag)
            state.start_tag += state.estimated_units / state.share
            slot.in_use += 1
            future = state.waiting.popleft()
            if future.cancelled():
                slot.in_use -= 1
                state.start_tag -= state.estimated_units / state.share
            else:
                future.set_result(slot)


class CentralQueue:
    """HTTP server with one queue per pool.

    Parameters
    ----------
    shares
        Share by organisation.
    endpoints
        Emulated endpoints; the window is the best batch size of an engine or the
        capacity of a service.
    pools
        Pool by service id.
    """

    def __init__(
        self,
        shares: dict[str, float],
        endpoints: list[EmulatedEngine | EmulatedService],
        pools: dict[str, str],
    ) -> None:
        self._pool_by_service = pools
        self._organisation_by_key = {api_key(name): name for name in shares}
        self._shares = shares
        self._endpoints = endpoints
        self._pools: dict[str, CentralPool] = {}
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._request_count = 0
        self.url = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port and set `url`; the endpoints must have been started."""
        self._create_pools()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        application = web.Application(client_max_size=1 << 26)
        application.router.add_post("/v1/chat/completions", self._chat_completion)
        application.router.add_route(
            "*", "/services/{service}/{path:.*}", self._plain_request
        )
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0, backlog=LISTEN_BACKLOG).start()
        self.url = f"http://{host}:{self._runner.addresses[0][1]}"

    def _create_pools(self) -> None:
        slots: dict[str, list[Slot]] = {}
        estimates: dict[str, float] = {}
        for endpoint in self._endpoints:
            if isinstance(endpoint, EmulatedEngine):
                window, estimated_units = (
                    endpoint.profile.best_batch,
                    ENGINE_INITIAL_ESTIMATE_UNITS,
                )
            else:
                window, estimated_units = (
                    endpoint.profile.capacity,
                    PLAIN_INITIAL_ESTIMATE_UNITS,
                )
            pool = endpoint.recording.pool
            url = f"http://{endpoint.host}:{endpoint.port}"
            slots.setdefault(pool, []).append(Slot(url, window))
            estimates[pool] = estimated_units
        self._pools = {
            pool: CentralPool(self._shares, pool_slots, estimates[pool])
            for pool, pool_slots in slots.items()
        }

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    def _organisation(self, request: web.Request) -> str:
        key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        organisation = self._organisation_by_key.get(key)
        if organisation is None:
            raise web.HTTPUnauthorized
        return organisation

    def _headers(self, request: web.Request, organisation: str) -> dict[str, str]:
        self._request_count += 1
        headers = {
            "Content-Type": request.content_type,
            "X-Request-Id": f"central-{self._request_count}",
            "X-Organisation": organisation,
        }
        if "Idempotency-Key" in request.headers:
            headers["Idempotency-Key"] = request.headers["Idempotency-Key"]
        return headers

    async def _chat_completion(self, request: web.Request) -> web.StreamResponse:
        organisation = self._organisation(request)
        raw = await request.read()
        body = orjson.loads(raw)
        if body.get("stream"):
            # The usage event reports how much of the prompt was cached.
            raw = orjson.dumps({**body, "stream_options": {"include_usage": True}})
        pool = self._pools[self._pool_by_service[body["model"]]]
        prompt_units = len(prompt_words(body)) * PROMPT_TOKEN_UNITS
        slot, charged_units = await pool.acquire(organisation)
        meter = _Meter(pool, organisation, charged_units)
        meter.add(prompt_units)
        try:
            return await self._forward(
                request, slot, "/v1/chat/completions", organisation, raw, meter
            )
        finally:
            pool.release(organisation, slot, meter.charged_units, meter.units)

    async def _plain_request(self, request: web.Request) -> web.StreamResponse:
        organisation = self._organisation(request)
        raw = await request.read()
        service = request.match_info["service"]
        pool = self._pools[self._pool_by_service[service]]
        path = request.raw_path.removeprefix(f"/services/{service}")
        slot, charged_units = await pool.acquire(organisation)
        meter = _Meter(pool, organisation, charged_units)
        started_at = asyncio.get_running_loop().time()
        try:
            return await self._forward(request, slot, path, organisation, raw, meter)
        finally:
            meter.units = asyncio.get_running_loop().time() - started_at
            pool.release(organisation, slot, meter.charged_units, meter.units)

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
                for name in FORWARDED_HEADERS
                if name in upstream.headers
            }
            if upstream.content_type != "text/event-stream":
                body = await upstream.read()
                meter.settle(body)
                return web.Response(status=upstream.status, body=body, headers=headers)
            response = web.StreamResponse(status=upstream.status, headers=headers)
            await response.prepare(request)
            tail = b""
            async for chunk in upstream.content.iter_any():
                meter.add(chunk.count(b'"content"') * GENERATED_TOKEN_UNITS)
                await response.write(chunk)
                tail = (tail + chunk)[-STREAM_TAIL_BYTES:]
            for event in tail.split(b"\n\n"):
                meter.settle(event.removeprefix(b"data: "))
            await response.write_eof()
            return response


@dataclass(slots=True)
class _Meter:
    """Charges units beyond the estimate as soon as they are observed."""

    pool: CentralPool
    organisation: str
    charged_units: float
    units: float = 0.0

    def add(self, units: float) -> None:
        """Count units and immediately charge those beyond the charged units."""
        self.units += units
        if self.units > self.charged_units:
            self.pool.charge(self.organisation, self.units - self.charged_units)
            self.charged_units = self.units

    def settle(self, document: bytes) -> None:
        """Set the exact units if the document is JSON with a usage object."""
        if b'"usage"' not in document:
            return
        try:
            usage = orjson.loads(document)["usage"]
            cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
            uncached_tokens = usage["prompt_tokens"] - cached_tokens
            generated_tokens = usage["completion_tokens"]
        except (ValueError, KeyError, TypeError):
            return
        self.units = (
            uncached_tokens * PROMPT_TOKEN_UNITS
            + generated_tokens * GENERATED_TOKEN_UNITS
        )
