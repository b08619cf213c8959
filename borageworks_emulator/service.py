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
    IDEMPOTENCY_KEY,
    ORGANISATION,
    REQUEST_ID,
    EmulatedEndpoint,
)
from borageworks_emulator.faults import Faults
from borageworks_emulator.recording import Recording, Run, RunOutcome

DURATION = "X-Duration-Ms"


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Concurrency and limits of a run's duration of a plain service."""

    capacity: int = 8
    default_ms: float = 20.0
    min_ms: float = 1.0
    max_ms: float = 10_000.0
    time_scale: float = 1.0


def expected_answer(method: str, path: str, body: bytes) -> bytes:
    """Return the only right answer to a request."""
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
    """A plain service; it does nothing about idempotency and runs what it gets.

    A run that started goes on when its caller disconnects; a waiting one is dropped.
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
        """Number of requests that run now."""
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

    def _end_all_runs(self) -> None:
        for job in (*self._running, *self._waiting):
            job.crashed = True
            job.done.set()
            self.recording.finish(job.run, RunOutcome.CRASHED)
        self._running.clear()
        self._waiting.clear()

    def _duration_s(self, request: web.Request, body: dict[str, object]) -> float:
        profile = self.profile
        value = request.headers.get(DURATION, body.get("duration_ms"))
        try:
            milliseconds = float(str(value))
        except ValueError:
            milliseconds = profile.default_ms
        milliseconds = min(max(milliseconds, profile.min_ms), profile.max_ms)
        return milliseconds * profile.time_scale * self.faults.slowdown / 1000.0

    def _start_runs(self) -> None:
        while self._waiting and len(self._running) < self.profile.capacity:
            job = self._waiting.popleft()
            self._running.add(job)
            job.run.started = time.monotonic()
            self.spawn(self._run(job))

    async def _run(self, job: _Job) -> None:
        since = job.run.started or 0.0
        try:
            async with asyncio.timeout(job.duration_s):
                await job.done.wait()
        except TimeoutError:
            pass
        finally:
            self.recording.serve_span(job.run, since, time.monotonic(), 1.0)
            if not job.crashed:
                self.recording.finish(job.run, RunOutcome.COMPLETE)
            self._running.discard(job)
            job.done.set()
            self._start_runs()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        number = self._next_request()
        request_id = request.headers.get(
            REQUEST_ID, f"{self.recording.endpoint}-{number}"
        )
        headers = {REQUEST_ID: request_id}
        if self._hit(self.faults.refuse_every, number, "refuse"):
            return web.Response(status=503, text="overloaded", headers=headers)
        body = _fields(raw)
        run = self.recording.arrive(
            request.headers.get(ORGANISATION, str(body.get("organisation", ""))),
            request_id,
            request.headers.get(IDEMPOTENCY_KEY, str(body.get("key", ""))),
            str(body.get("trace", "")),
        )
        if self.faults.crash_marker and self.faults.crash_marker in raw:
            run.started = time.monotonic()
            self.recording.finish(run, RunOutcome.CRASHED)
            self.crash()
            await asyncio.sleep(self.faults.down_s)
            return web.Response(status=500, headers=headers)
        job = _Job(run, self._duration_s(request, body))
        self._waiting.append(job)
        self._start_runs()
        try:
            await job.done.wait()
        finally:
            if job in self._waiting:
                self._waiting.remove(job)
                self.recording.finish(run, RunOutcome.CANCELLED)
        if job.crashed:
            return _break(request, b"")
        answer = expected_answer(request.method, request.path_qs, raw)
        if self._hit(self.faults.late_every, number, "late"):
            await asyncio.sleep(self.faults.late_s)
        if self._hit(self.faults.garbage_every, number, "garbage"):
            return _break(request, b"\x00\xff not HTTP\r\n\r\n")
        request_id, answer = await self._exchange((request_id, answer))
        headers = {REQUEST_ID: request_id, "Content-Type": "application/json"}
        if self._hit(self.faults.cut_every, number, "cut"):
            response = web.StreamResponse(headers=headers)
            response.content_length = len(answer)
            await response.prepare(request)
            await response.write(answer[: len(answer) // 2])
            return _break(request, b"")
        return web.Response(body=answer, headers=headers)


def _break(request: web.Request, data: bytes) -> web.StreamResponse:
    """Write bytes to the connection and close it without a complete answer."""
    if request.transport is not None:
        request.transport.write(data)
        request.transport.close()
    # The connection is closed, so this answer is never written.
    return web.Response()


def _fields(raw: bytes) -> dict[str, object]:
    try:
        body = orjson.loads(raw)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
