"""Test harness: a gateway in this process with emulated endpoints and store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from typing import Any

import aiohttp
import orjson

from borageworks.gateway.gateway import Gateway
from borageworks.metrics import Metrics
from borageworks.platform.codec import PlatformCodec
from borageworks.platform.settings import parse_settings
from borageworks.platform.store import PlatformStore
from borageworks_emulator.platform.endpoint import EmulatedEndpoint
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.ports import free_ports

HOST = "api.example"
API_KEY = "key-1"
ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "desk"
READY_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01


def settings_text(
    store: tuple[str, int],
    ports: list[int],
    name: str = "edge-1",
    grace_s: float = 8,
    domain: str = "zone-a",
    bootstrap: bool = False,
) -> str:
    """Return the text of a gateway's settings file."""
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
            "bounds.quota_window_s=4",
            "bounds.budget_extra=50",
            f"platform.address={store[0]}:{store[1]}",
            "some_new_field=1",
            f"bootstrap={str(bootstrap).lower()}",
        )
    )


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return an operator's configuration with one route of each type."""

    def route(
        name: str, route_type: str, service: str, **fields: Any
    ) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": HOST,
            "prefix": f"/{name}/",
            "route_type": route_type,
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "max_attempts": 2,
            "service": service,
            **fields,
        }

    return {
        "version": version,
        "routes": [
            route("resume", "streaming", ENGINE_SERVICE, resumable=True, sticky=True),
            route("once", "streaming", ENGINE_SERVICE, sticky=True),
            route("book", "non_idempotent", PLAIN_SERVICE),
            route("look", "idempotent", PLAIN_SERVICE),
            route("open", "idempotent", PLAIN_SERVICE, public=True),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "max_conns": 100,
                "engine": {"slots": 8, "kv_capacity": 100_000},
            },
            {"name": PLAIN_SERVICE, "max_conns": 100},
        ],
        "limits": {"tokens_per_s": 20_000},
        "tenants": [{"name": "workshop", "api_keys": [API_KEY]}],
        **changes,
    }


class Harness:
    """A gateway with a store and endpoints.

    Parameters
    ----------
    endpoints
        Endpoints by service.
    name
        Instance name of the gateway.
    store
        Store of another harness, which also runs the endpoints; None starts a new one.
    grace_s
        Seconds between the stop request and the kill.
    max_descriptors
        Open files that the gateway may have.
    memory_bytes
        Memory that the gateway may use.
    lag_limit_s
        Lag above which the gateway counts as overloaded, negative to be always so.
    """

    def __init__(
        self,
        endpoints: Mapping[str, list[EmulatedEndpoint]],
        *,
        name: str = "edge-1",
        store: EmulatedPlatformStore | None = None,
        grace_s: float = 8,
        max_descriptors: int = 1024,
        memory_bytes: float = math.inf,
        lag_limit_s: float = math.inf,
    ) -> None:
        self.endpoints = endpoints
        self.store = store or EmulatedPlatformStore()
        self._owns_store = store is None
        self._name = name
        self._grace_s = grace_s
        self._max_descriptors = max_descriptors
        self._memory_bytes = memory_bytes
        # All components share one event loop, so its lag does not show how loaded the
        # gateway is.
        self._lag_limit_s = lag_limit_s
        self.metrics = Metrics()
        self.ports: list[int] = []
        self._request_number = 0

    async def __aenter__(self) -> Harness:
        """Start all components and wait until the gateway is ready."""
        if self._owns_store:
            await self.store.start()
            for service, service_endpoints in self.endpoints.items():
                for endpoint in service_endpoints:
                    await endpoint.start()
                    await self.register(endpoint, service)
            await self.configure(configuration())
        self.ports = free_ports(4)
        settings = parse_settings(
            settings_text(
                self.store.address,
                self.ports,
                self._name,
                self._grace_s,
                bootstrap=self._owns_store,
            )
        )
        settings = replace(
            settings,
            lag_limit_s=self._lag_limit_s,
            max_descriptors=self._max_descriptors,
            memory_bytes=self._memory_bytes,
            memory_at_rest_bytes=0.0,
        )
        self.platform_store = PlatformStore(settings, self.metrics)
        self.gateway = Gateway(
            settings, PlatformCodec(), self.platform_store, self.metrics
        )
        await self.gateway.start()
        self.session = aiohttp.ClientSession(
            base_url=f"http://127.0.0.1:{self.ports[0]}"
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all components without a grace period."""
        await self.session.close()
        await self.gateway.close()
        if self._owns_store:
            for service_endpoints in self.endpoints.values():
                for endpoint in service_endpoints:
                    await endpoint.stop()
            await self.store.stop()

    async def wait_until_current(self) -> None:
        """Wait until the gateway has applied all changes of the store."""
        await self.wait_until(lambda: self.gateway.revision >= self.store.revision)

    async def wait_until_linked(self, count: int) -> None:
        """Wait until the gateway knows and can reach `count` instances."""
        await self.wait_until(lambda: self.gateway.linked_instances >= count)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    async def register(
        self, endpoint: EmulatedEndpoint, service: str, **entry: Any
    ) -> None:
        """Write the entry of an endpoint to the store."""
        await self.store.put(
            f"servers/{endpoint.name}", endpoint.entry(service, **entry)
        )

    async def configure(self, body: Mapping[str, Any]) -> None:
        """Write the operator's configuration to the store."""
        await self.store.put("op/config", orjson.dumps(body))

    async def evacuate(self, domain: str) -> None:
        """Request the evacuation of a failure domain as the operator does."""
        await self.store.put(f"op/evacuate/{domain}", b"{}")

    async def withdraw_evacuation(self, domain: str) -> None:
        """Withdraw the evacuation of a failure domain as the operator does."""
        await self.store.delete(f"op/evacuate/{domain}")

    async def ready(self) -> bool:
        """Return whether the gateway reports that it is ready."""
        async with self.session.get(
            f"http://127.0.0.1:{self.ports[1]}/ready"
        ) as response:
            return response.status == 200

    def request_headers(self, **extra: str) -> dict[str, str]:
        """Return the headers of a new request."""
        self._request_number += 1
        return {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            "X-Borageworks-Attempt-Id": f"{self._name}-{self._request_number}",
            "X-Borageworks-Deadline-Remaining": "3000",
            "X-Borageworks-Model": "m",
            "X-Borageworks-Token-Count": "300,20",
            "X-Borageworks-Prompt-Prefix": "aa:200,bb:100",
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }

    async def send_request(
        self, path: str, method: str = "POST", body: bytes = b"x", **headers: str
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Send a request; return status, headers and body of the response."""
        async with self.session.request(
            method, path, data=body, headers=self.request_headers(**headers)
        ) as response:
            return response.status, response.headers, await response.read()


@asynccontextmanager
async def linked_fleet(
    endpoints: Mapping[str, list[EmulatedEndpoint]], instances: int
) -> AsyncIterator[list[Harness]]:
    """Run several gateways that know each other, on one store with its endpoints."""
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(Harness(endpoints))
        fleet = [first]
        for number in range(2, instances + 1):
            harness = Harness({}, name=f"edge-{number}", store=first.store)
            fleet.append(await stack.enter_async_context(harness))
        for harness in fleet:
            await harness.wait_until_linked(instances)
        yield fleet
