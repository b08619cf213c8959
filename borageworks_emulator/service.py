"""Emulated plain HTTP service with limited concurrency."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

import orjson
import xxhash
from aiohttp import web

from borageworks_emulator.endpoint import (
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    EmulatedEndpoint,
)
from borageworks_emulator.faults import Faults
from borageworks_emulator.recording import Recording, Run, RunOutcome

DURATION_HEADER = "X-Duration-Ms"


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Concurrency and run durations of a plain service."""

    capacity: int = 8
    default_ms: float = 20.0
    min_ms: float = 1.0
    max_ms: float = 10_000.0
    time_scale: float = 1.0


def expected_response(method: str, path: str, body: bytes) -> bytes:
    """Return the only correct response body for a request."""
    digest = xxhash.xxh64(method.upper().encode())
    digest.update(path.encode())
    digest.update(body)
    return orjson.dumps({"path": path, "digest": digest.hexdigest()})


@dataclass(slots=True, eq=False)
class _Job:
    run: Run
    duration_s: float
    done: asyncio.Event = field(default_factory=asyncio.Event)
    crashed: bool = False


class EmulatedService(EmulatedEndpoint):
    """Plain service that runs every request and ignores idempotency keys.

    A run continues when its caller disconnects; a waiting request is cancelled.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        profile: ServiceProfile | None = None,
        faults: Faults | None = None,
    ) -> None:
        self.profile = profile or ServiceProfile()
        super().__init__(Recording(name, pool, float(self.profile.capacity)), faults)
        self._running: set[_Job] = set()
        self._waiting: deque[_Job] = deque()

    @property
    def running(self) -> int:
        """Number of requests that are running."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait inside the service."""
        return len(self._waiting)

    def _add_routes(self, application: web.Application) -> None:
        application.router.add_route("*", "/{path:.*}", self._handle)

    def _load_report(self) -> dict[str, object]:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "token_interval_ms": 0.0,
            "incarnation": self.incarnation,
        }

    def _drop_all_requests(self) -> None:
        for job in (*self._running, *self._waiting):
            job.crashed = True
            job.done.set()
            self.recording.record_end(job.run, RunOutcome.CRASHED)
        self._running.clear()
        self._waiting.clear()

    def _duration_s(self, request: web.Request, fields: dict[str, object]) -> float:
        profile = self.profile
        value = request.headers.get(DURATION_HEADER, fields.get("duration_ms"))
        try:
            duration_ms = float(str(value))
        except ValueError:
            duration_ms = profile.default_ms
        duration_ms = min(max(duration_ms, profile.min_ms), profile.max_ms)
        return duration_ms * profile.time_scale * self.faults.slowdown / 1000.0

    def _start_runs(self) -> None:
        while self._waiting and len(self._running) < self.profile.capacity:
            job = self._waiting.popleft()
            self._running.add(job)
            job.run.started = time.monotonic()
            self.spawn(self._run(job))

    async def _run(self, job: _Job) -> None:
        started = job.run.started or 0.0
        try:
            async with asyncio.timeout(job.duration_s):
                await job.done.wait()
        except TimeoutError:
            pass
        finally:
            self.recording.record_span(job.run, started, time.monotonic(), 1.0)
            if not job.crashed:
                self.recording.record_end(job.run, RunOutcome.COMPLETE)
            self._running.discard(job)
            job.done.set()
            self._start_runs()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_body = await request.read()
        number = self._next_request_number()
        request_id = request.headers.get(
            REQUEST_ID_HEADER, f"{self.recording.endpoint}-{number}"
        )
        headers = {REQUEST_ID_HEADER: request_id}
        if self._fault_due(self.faults.refuse_every, number, "refuse"):
            return web.Response(status=503, text="overloaded", headers=headers)
        fields = _json_object(request_body)
        run = self.recording.record_arrival(
            request.headers.get(
                ORGANISATION_HEADER, str(fields.get("organisation", ""))
            ),
            request_id,
            request.headers.get(IDEMPOTENCY_KEY_HEADER, str(fields.get("key", ""))),
            str(fields.get("trace", "")),
        )
        if self.faults.crash_marker and self.faults.crash_marker in request_body:
            run.started = time.monotonic()
            self.recording.record_end(run, RunOutcome.CRASHED)
            self.crash()
            await asyncio.sleep(self.faults.down_s)
            return web.Response(status=500, headers=headers)
        job = _Job(run, self._duration_s(request, fields))
        self._waiting.append(job)
        self._start_runs()
        try:
            await job.done.wait()
        finally:
            if job in self._waiting:
                self._waiting.remove(job)
                self.recording.record_end(run, RunOutcome.CANCELLED)
        if job.crashed:
            return _break_connection(request, b"")
        response_body = expected_response(request.method, request.path_qs, request_body)
        if self._fault_due(self.faults.delay_every, number, "late"):
            await asyncio.sleep(self.faults.delay_s)
        if self._fault_due(self.faults.garbage_every, number, "garbage"):
            return _break_connection(request, b"\x00\xff not HTTP\r\n\r\n")
        request_id, response_body = await self._exchange_response(
            (request_id, response_body)
        )
        headers = {REQUEST_ID_HEADER: request_id, "Content-Type": "application/json"}
        if self._fault_due(self.faults.cut_every, number, "cut"):
            response = web.StreamResponse(headers=headers)
            response.content_length = len(response_body)
            await response.prepare(request)
            await response.write(response_body[: len(response_body) // 2])
            return _break_connection(request, b"")
        return web.Response(body=response_body, headers=headers)


def _break_connection(request: web.Request, data: bytes) -> web.StreamResponse:
    """Write bytes to the connection and close it before a complete response."""
    if request.transport is not None:
        request.transport.write(data)
        request.transport.close()
    # The connection is closed, so this response is never written.
    return web.Response()


def _json_object(body: bytes) -> dict[str, object]:
    try:
        document = orjson.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
