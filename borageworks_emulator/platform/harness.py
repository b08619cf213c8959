"""A gateway in this process, in front of emulated endpoints and store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import aiohttp
import orjson

from borageworks.gateway.gateway import Gateway
from borageworks.metrics import Metrics
from borageworks.platform.codec import PlatformCodec
from borageworks.platform.settings import parse_settings
from borageworks.platform.store import PlatformStore
from borageworks_emulator.platform.engine import EmulatedEndpoint
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.ports import free_ports

HOST = "api.example"
KEY = "key-1"
ENGINES = "engines"
DESK = "desk"
READY_LIMIT_S = 10.0
READY_POLL_S = 0.01


def settings_text(
    store: tuple[str, int],
    ports: list[int],
    name: str = "edge-1",
    grace_s: float = 8,
    domain: str = "zone-a",
) -> str:
    """Return a settings file of the platform."""
    front, ready, control, peer = ports
    return "\n".join(
        (
            f"node_name={name}",
            "ip=127.0.0.1",
            f"zone={domain}",
            f"listen.front=127.0.0.1:{front}",
            f"listen.ready=127.0.0.1:{ready}",
            f"listen.control=127.0.0.1:{control}",
            f"port_range={peer},{peer}",
            f"seeds=127.0.0.1:{control}",
            "bounds.contact_ms=3000",
            "bounds.config_apply_ms=2000",
            "bounds.drain_ms=2000",
            f"bounds.grace_s={grace_s}",
            "bounds.retry_budget_ratio=0.2",
            "bounds.budget_window_s=10",
            "bounds.budget_extra=50",
            f"platform.address={store[0]}:{store[1]}",
            "some_new_field=1",
        )
    )


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return an operator's configuration with one route of each kind."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": HOST,
            "prefix": f"/{name}/",
            "route_type": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "max_attempts": 2,
            "service": service,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("resume", "streaming", ENGINES, resumable=True, sticky=True),
            route("once", "streaming", ENGINES, sticky=True),
            route("book", "non_idempotent", DESK),
            route("look", "idempotent", DESK),
            route("open", "idempotent", DESK, public=True),
        ],
        "services": [
            {
                "name": ENGINES,
                "max_conns": 100,
                "engine": {"slots": 8, "kv_capacity": 100_000},
            },
            {"name": DESK, "max_conns": 100},
        ],
        "limits": {"tokens_per_s": 20_000},
        "tenants": [{"name": "workshop", "api_keys": [KEY]}],
        **changes,
    }


class Harness:
    """A gateway, a store, and endpoints by service.

    Parameters
    ----------
    endpoints
        Endpoints by service.
    grace_s
        Time between the request to stop and the kill.
    """

    def __init__(
        self,
        endpoints: Mapping[str, list[EmulatedEndpoint]],
        *,
        name: str = "edge-1",
        store: EmulatedPlatformStore | None = None,
        grace_s: float = 8,
    ) -> None:
        self.endpoints = endpoints
        self.store = store or EmulatedPlatformStore()
        self._own_store = store is None
        self._name = name
        self._grace_s = grace_s
        self.metrics = Metrics()
        self.ports: list[int] = []
        self._number = 0

    async def __aenter__(self) -> Harness:
        """Start all parts and wait until the gateway is ready."""
        if self._own_store:
            await self.store.start()
            for service, members in self.endpoints.items():
                for endpoint in members:
                    await endpoint.start()
                    await self.register(endpoint, service)
            await self.configure(configuration())
        self.ports = free_ports(4)
        settings = parse_settings(
            settings_text(self.store.address, self.ports, self._name, self._grace_s)
        )
        # All parts share one loop here, so its lag says nothing about the gateway.
        settings = replace(settings, lag_limit_s=math.inf)
        self.platform_store = PlatformStore(settings, self.metrics)
        self.gateway = Gateway(
            settings, PlatformCodec(), self.platform_store, self.metrics
        )
        await self.gateway.start()
        self.session = aiohttp.ClientSession(
            base_url=f"http://127.0.0.1:{self.ports[0]}"
        )
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self.ready():  # noqa: ASYNC110
                await asyncio.sleep(READY_POLL_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all parts at once."""
        await self.session.close()
        await self.gateway.close()
        if self._own_store:
            for members in self.endpoints.values():
                for endpoint in members:
                    await endpoint.stop()
            await self.store.stop()

    async def current(self) -> None:
        """Wait until the gateway has all changes of the store."""
        await self._until(lambda: self.gateway.revision >= self.store.revision)

    async def linked(self, count: int) -> None:
        """Wait until the gateway knows and can reach so many instances."""
        await self._until(lambda: self.gateway.linked_instances >= count)

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(READY_POLL_S)

    async def register(
        self, endpoint: EmulatedEndpoint, service: str, **entry: Any
    ) -> None:
        """Write the entry of an endpoint."""
        await self.store.put(
            f"servers/{endpoint.name}", endpoint.entry(service, **entry)
        )

    async def configure(self, body: Mapping[str, Any]) -> None:
        """Write the operator's configuration."""
        await self.store.put("op/config", orjson.dumps(body))

    async def ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        async with self.session.get(
            f"http://127.0.0.1:{self.ports[1]}/ready"
        ) as response:
            return response.status == 200

    def headers(self, **more: str) -> dict[str, str]:
        """Return headers of a new request."""
        self._number += 1
        return {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Borageworks-Attempt-Id": f"{self._name}-{self._number}",
            "X-Borageworks-Deadline-Remaining": "3000",
            "X-Borageworks-Model": "m",
            "X-Borageworks-Token-Count": "300,20",
            "X-Borageworks-Prompt-Prefix": "aa:200,bb:100",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    async def ask(
        self, path: str, method: str = "POST", body: bytes = b"x", **headers: str
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Send a request and return status, headers and whole body."""
        async with self.session.request(
            method, path, data=body, headers=self.headers(**headers)
        ) as response:
            return response.status, response.headers, await response.read()
