"""Base of emulated endpoints: listening, crashes, load reports, crossed answers."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any, TypeVar

import orjson
from aiohttp import web

from borageworks_emulator.faults import Faults
from borageworks_emulator.ports import free_ports
from borageworks_emulator.recording import Recording

T = TypeVar("T")

REQUEST_ID = "X-Request-Id"
ORGANISATION = "X-Organisation"
IDEMPOTENCY_KEY = "Idempotency-Key"
RESUME_OFFSET = "Resume-Offset"
LOAD_LAG_S = 0.25
EXCHANGE_WAIT_S = 2.0
MAX_BODY_BYTES = 64 * 1_048_576


class EmulatedEndpoint(ABC):
    """An HTTP endpoint that records what it ran and applies faults."""

    def __init__(self, recording: Recording, faults: Faults | None = None) -> None:
        self.recording = recording
        self.faults = faults or Faults()
        self.host = ""
        self.port = 0
        self.incarnation = ""
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._background: list[asyncio.Task[None]] = []
        self._report: dict[str, object] = {}
        self._requests = 0
        self._down = False
        self._exchange_waiter: tuple[object, asyncio.Future[object]] | None = None

    @property
    def down(self) -> bool:
        """Whether the endpoint refuses connections after a crash."""
        return self._down

    @property
    @abstractmethod
    def running(self) -> int:
        """Number of requests that run now."""

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Number of requests that wait inside the endpoint."""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address; port 0 takes a free port, readable from `port`."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get("/load", self._get_load)
        application.router.add_get("/health", self._get_health)
        self._add_routes(application)
        self.incarnation = secrets.token_hex(8)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        self.host = host
        port = port or free_ports(1)[0]
        self._site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await self._site.start()
        self.port = port
        self._report = self._load_report()
        self._background.append(asyncio.create_task(self._refresh_load()))

    async def stop(self) -> None:
        """Stop listening and end every run."""
        for task in (*self._background, *self._tasks):
            task.cancel()
        await asyncio.gather(*self._background, *self._tasks, return_exceptions=True)
        self._background.clear()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def crash(self) -> None:
        """Break every connection, end every run and stay down for `down_s` seconds."""
        if self._down or self._runner is None:
            return
        self._down = True
        self.faults.note("crash")
        self.spawn(self._crash())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that `stop` ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @abstractmethod
    def _add_routes(self, application: web.Application) -> None:
        """Add the routes of the endpoint's own protocol."""

    @abstractmethod
    def _load_report(self) -> dict[str, object]:
        """Return the current content of `/load`."""

    @abstractmethod
    def _end_all_runs(self) -> None:
        """Forget all running and waiting requests after a crash."""

    def _next_request(self) -> int:
        self._requests += 1
        return self._requests

    def _hit(self, every: int, number: int, fault: str) -> bool:
        if every <= 0 or number % every:
            return False
        self.faults.note(fault)
        return True

    async def _exchange(self, answer: T) -> T:
        """Return the answer of another request while answers are to be crossed."""
        if self.faults.crossed <= 0:
            return answer
        if self._exchange_waiter is not None:
            other, future = self._exchange_waiter
            self._exchange_waiter = None
            if not future.done():
                self.faults.crossed -= 1
                self.faults.note("crossed")
                future.set_result(answer)
                return other  # type: ignore[return-value]
        future = asyncio.get_running_loop().create_future()
        self._exchange_waiter = (answer, future)
        try:
            async with asyncio.timeout(EXCHANGE_WAIT_S):
                return await future  # type: ignore[return-value]
        except TimeoutError:
            return answer
        finally:
            if self._exchange_waiter is not None and self._exchange_waiter[1] is future:
                self._exchange_waiter = None

    async def _crash(self) -> None:
        assert self._runner is not None
        if self._site is not None:
            # Stopping the site would wait for its connections, so they are broken
            # both before (no reply may leave) and after (accepted in the meantime).
            self._abort_connections()
            with contextlib.suppress(RuntimeError):
                await self._site.stop()
        self._abort_connections()
        self._end_all_runs()
        await asyncio.sleep(self.faults.down_s)
        self.incarnation = secrets.token_hex(8)
        self._site = web.TCPSite(self._runner, self.host, self.port, reuse_address=True)
        await self._site.start()
        self._report = self._load_report()
        self._down = False

    def _abort_connections(self) -> None:
        assert self._runner is not None
        server = self._runner.server
        if server is None:
            return
        for connection in list(server.connections):
            transport = connection.transport
            if transport is not None:
                # uvloop's transports are no subclass of `asyncio.Transport`.
                transport.abort()

    async def _refresh_load(self) -> None:
        while True:
            await asyncio.sleep(LOAD_LAG_S)
            if not self.faults.frozen_load and not self._down:
                self._report = self._load_report()

    async def _get_load(self, request: web.Request) -> web.Response:
        return web.Response(
            body=orjson.dumps(self._report), content_type="application/json"
        )

    async def _get_health(self, request: web.Request) -> web.Response:
        body = orjson.dumps({"status": "ok", "incarnation": self.incarnation})
        return web.Response(body=body, content_type="application/json")
