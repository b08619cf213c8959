"""Emulated operator, which writes configurations and probes their application."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any

import aiohttp
import orjson

from borageworks_emulator.platform.endpoint import ATTEMPT_ID_HEADER
from borageworks_emulator.platform.harness import API_KEY, HOST, configuration
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.soak.bounds import COLD_PER_S, COLD_S
from borageworks_emulator.soak.configuration_checker import (
    MARKER_ROUTE_COUNT,
    ConfigurationChecker,
)
from borageworks_emulator.soak.gateway_process import GatewayProcess
from borageworks_emulator.soak.guarantee_checker import PROBE_PREFIX

PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 2.0


class Operator:
    """Writes configurations, each with a marker route, and probes gateways for these.

    Parameters
    ----------
    store, checker, rng
        Components of the soak.
    keys
        API key by organisation.
    """

    def __init__(
        self,
        store: EmulatedPlatformStore,
        checker: ConfigurationChecker,
        keys: Mapping[str, str],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._checker = checker
        self._keys = keys
        self._rng = rng
        self._version = 0

    async def write_next_version(self) -> None:
        """Write a configuration with a higher version."""
        self._version += self._rng.randint(1, 2)
        version = self._version
        loop = asyncio.get_running_loop()
        self._checker.version_sent(version, loop.time())
        await self._store.put("op/config", orjson.dumps(self._configuration(version)))
        self._checker.version_accepted(version, loop.time())

    def _configuration(self, version: int) -> dict[str, Any]:
        tenants = [
            {"name": name, "api_keys": [key]} for name, key in self._keys.items()
        ]
        tenants.append({"name": "operator", "api_keys": [API_KEY]})
        document = configuration(version, tenants=tenants)
        document["services"][0].update(cold_s=COLD_S, cold_per_s=COLD_PER_S)
        template = next(item for item in document["routes"] if item["name"] == "look")
        marker = self._checker.marker_route(version)
        document["routes"].append({**template, "name": marker, "prefix": f"/{marker}/"})
        return document

    async def probe(self, gateway: GatewayProcess) -> None:
        """Request marker routes from a gateway until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        probe_count = 0
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                probe_count += 1
                marker = self._checker.marker_route(
                    self._rng.randrange(MARKER_ROUTE_COUNT)
                )
                incarnation, sent_at = gateway.starts, loop.time()
                request_id = f"{PROBE_PREFIX}{gateway.name}-{incarnation}-{probe_count}"
                headers = {
                    "Host": HOST,
                    "Authorization": f"Token {API_KEY}",
                    ATTEMPT_ID_HEADER: request_id,
                }
                try:
                    # Only 200 and 404 show whether the route exists: without a
                    # response of the service, other statuses do not.
                    async with session.get(
                        f"{gateway.url}/{marker}/", headers=headers
                    ) as response:
                        status = response.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                if status in (200, 404) and incarnation == gateway.starts:
                    self._checker.observe(
                        gateway.name,
                        incarnation,
                        marker,
                        status == 200,
                        sent_at,
                        loop.time(),
                    )
