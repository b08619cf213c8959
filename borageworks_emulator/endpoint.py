"""Base of emulated endpoints: listening, crashes, load reports, crossed responses."""

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

REQUEST_ID_HEADER = "X-Request-Id"
ORGANISATION_HEADER = "X-Organisation"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RESUME_OFFSET_HEADER = "Resume-Offset"
LOAD_REFRESH_INTERVAL_S = 0.25
EXCHANGE_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 64 * 1_048_576


class EmulatedEndpoint(ABC):
    """HTTP endpoint that records the requests it runs and injects faults."""

    def __init__(self, recording: Recording, faults: Faults | None = None) -> None:
        self.recording = recording
        self.faults = faults or Faults()
        self.host = ""
        self.port = 0
        self.incarnation = ""
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._background_tasks: list[asyncio.Task[None]] = []
        self._published_load: dict[str, object] = {}
        self._request_count = 0
        self._down = False
        self._pending_exchange: tuple[object, asyncio.Future[object]] | None = None

    @property
    def down(self) -> bool:
        """Whether the endpoint refuses connections after a crash."""
        return self._down

    @property
    @abstractmethod
    def running(self) -> int:
        """Number of requests that are running."""

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Number of requests that wait inside the endpoint."""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address; port 0 selects a free port and sets `port`."""
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
        self._published_load = self._load_report()
        self._background_tasks.append(asyncio.create_task(self._refresh_load()))

    async def stop(self) -> None:
        """Stop listening and cancel all tasks."""
        for task in (*self._background_tasks, *self._tasks):
            task.cancel()
        await asyncio.gather(
            *self._background_tasks, *self._tasks, return_exceptions=True
        )
        self._background_tasks.clear()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def crash(self) -> None:
        """Abort all connections, drop all requests and stay down for `down_s`."""
        if self._down or self._runner is None:
            return
        self._down = True
        self.faults.count_applied("crash")
        self.spawn(self._crash_and_restart())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that `stop` cancels."""
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
    def _drop_all_requests(self) -> None:
        """Drop all running and waiting requests after a crash."""

    def _next_request_number(self) -> int:
        self._request_count += 1
        return self._request_count

    def _fault_due(self, interval: int, number: int, fault: str) -> bool:
        if interval <= 0 or number % interval:
            return False
        self.faults.count_applied(fault)
        return True

    async def _exchange_response(self, response: T) -> T:
        """Return the response of another request while the crossed fault is active."""
        if self.faults.crossed <= 0:
            return response
        if self._pending_exchange is not None:
            other, future = self._pending_exchange
            self._pending_exchange = None
            if not future.done():
                self.faults.crossed -= 1
                self.faults.count_applied("crossed")
                future.set_result(response)
                return other  # type: ignore[return-value]
        future = asyncio.get_running_loop().create_future()
        self._pending_exchange = (response, future)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                return await future  # type: ignore[return-value]
        except TimeoutError:
            return response
        finally:
            if (
                self._pending_exchange is not None
                and self._pending_exchange[1] is future
            ):
                self._pending_exchange = None

    async def _crash_and_restart(self) -> None:
        assert self._runner is not None
        if self._site is not None:
            # Stopping the site waits for its connections. They are aborted before, so
            # that no response is sent, and after, for those accepted meanwhile.
            self._abort_connections()
            with contextlib.suppress(RuntimeError):
                await self._site.stop()
        self._abort_connections()
        self._drop_all_requests()
        await asyncio.sleep(self.faults.down_s)
        self.incarnation = secrets.token_hex(8)
        self._site = web.TCPSite(self._runner, self.host, self.port, reuse_address=True)
        await self._site.start()
        self._published_load = self._load_report()
        self._down = False

    def _abort_connections(self) -> None:
        assert self._runner is not None
        server = self._runner.server
        if server is None:
            return
        for connection in list(server.connections):
            transport = connection.transport
            if transport is not None:
                # uvloop's transports are not subclasses of `asyncio.Transport`.
                transport.abort()

    async def _refresh_load(self) -> None:
        while True:
            await asyncio.sleep(LOAD_REFRESH_INTERVAL_S)
            if not self.faults.frozen_load and not self._down:
                self._published_load = self._load_report()

    async def _get_load(self, request: web.Request) -> web.Response:
        return web.Response(
            body=orjson.dumps(self._published_load), content_type="application/json"
        )

    async def _get_health(self, request: web.Request) -> web.Response:
        body = orjson.dumps({"status": "ok", "incarnation": self.incarnation})
        return web.Response(body=body, content_type="application/json")
