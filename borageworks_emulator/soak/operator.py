"""The operator of a soak's deployment, and probes of what is in force."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any

import aiohttp
import orjson

from borageworks_emulator.platform.engine import REQUEST_ID
from borageworks_emulator.platform.harness import HOST, KEY, configuration
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.soak.gateway_process import GatewayProcess
from borageworks_emulator.soak.promises import PROBE_PREFIX
from borageworks_emulator.soak.versions import MARKERS, Versions

PROBE_INTERVAL_S = 0.2
PROBE_LIMIT_S = 2.0


class Operator:
    """Writes configurations, each with a marker route, and probes for them.

    Parameters
    ----------
    store, versions, rng
        Parts of the soak.
    keys
        API key by organisation.
    """

    def __init__(
        self,
        store: EmulatedPlatformStore,
        versions: Versions,
        keys: Mapping[str, str],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._versions = versions
        self._keys = keys
        self._rng = rng
        self._version = 0

    async def change(self) -> None:
        """Write the next version."""
        self._version += self._rng.randint(1, 2)
        version = self._version
        loop = asyncio.get_running_loop()
        self._versions.sending(version, loop.time())
        await self._store.put("op/config", orjson.dumps(self._body(version)))
        self._versions.accepted(version, loop.time())

    def _body(self, version: int) -> dict[str, Any]:
        tenants = [
            {"name": name, "api_keys": [key]} for name, key in self._keys.items()
        ]
        tenants.append({"name": "operator", "api_keys": [KEY]})
        body = configuration(version, tenants=tenants)
        template = next(item for item in body["routes"] if item["name"] == "look")
        marker = self._versions.marker(version)
        body["routes"].append({**template, "name": marker, "prefix": f"/{marker}/"})
        return body

    async def probe(self, gateway: GatewayProcess) -> None:
        """Ask a gateway for marker routes until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_S)
        loop = asyncio.get_running_loop()
        number = 0
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                number += 1
                marker = self._versions.marker(self._rng.randrange(MARKERS))
                incarnation, sent_at = gateway.starts, loop.time()
                identity = f"{PROBE_PREFIX}{gateway.name}-{incarnation}-{number}"
                headers = {
                    "Host": HOST,
                    "Authorization": f"Token {KEY}",
                    REQUEST_ID: identity,
                }
                try:
                    # Without a service's answer, the status tells only the route.
                    async with session.get(
                        f"{gateway.url}/{marker}/", headers=headers
                    ) as response:
                        status = response.status
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                if status in (200, 404) and incarnation == gateway.starts:
                    self._versions.observe(
                        gateway.name,
                        incarnation,
                        marker,
                        status == 200,
                        sent_at,
                        loop.time(),
                    )
