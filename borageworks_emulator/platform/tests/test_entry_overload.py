"""Tests of one gateway process that gets more requests than it can handle."""

import asyncio
import tempfile
from pathlib import Path

import aiohttp
import orjson
from testtools import TestCase

from borageworks_emulator.platform.engine import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import DESK, HOST, configuration
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.process import Program
from borageworks_emulator.soak.gateway_process import GatewayProcess

READY_LIMIT_S = 20.0
POLL_S = 0.1
# Callers of the flood ask again at once; so many keep any instance busy.
FLOOD_CALLERS = 600
# The flood overloads the instance before anything is counted.
WARM_UP_S = 1.0
# Window of the users' rule about organisations that get too little, and the requests by
# which an organisation that asks for less than its share may miss in it.
WINDOW_S = 6
SPARE_REQUESTS = 3
SMALL_PER_S = 10
# Requests of which some are refused, at an instance that refuses most.
ASKED = 20
# The platform asks once a second whether an instance is ready, and sends new callers
# elsewhere after two misses.
CHECK_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2


class Site:
    """One gateway process in front of endpoints that always have room."""

    def __init__(self, directory):
        self.store = EmulatedPlatformStore()
        self.endpoints = [
            EmulatedEndpoint(f"desk-{number}", lambda _: Behaviour(plain=True))
            for number in range(2)
        ]
        self.gateway = GatewayProcess("edge-1", "zone-a", directory)
        self._number = 0

    async def __aenter__(self):
        await self.store.start()
        for endpoint in self.endpoints:
            await endpoint.start()
            entry = endpoint.entry(DESK, slots=1000)
            await self.store.put(f"servers/{endpoint.name}", entry)
        tenants = [{"name": name, "api_keys": [name]} for name in ("flood", "small")]
        await self.store.put("op/config", orjson.dumps(configuration(tenants=tenants)))
        self.gateway.write_settings(self.store.address)
        await self.gateway.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=3.0),
        )
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self.ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        return self

    async def __aexit__(self, *_):
        await self.session.close()
        await self.gateway.end()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()

    async def ready(self):
        """Return whether the gateway says that it is ready."""
        try:
            url = f"{self.gateway.status_url}/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def ask(self, organisation):
        """Send a request; return its status and headers, (0, {}) if there is none."""
        self._number += 1
        headers = {
            "Host": HOST,
            "Authorization": f"Token {organisation}",
            "X-Borageworks-Attempt-Id": f"r{self._number}",
            "X-Borageworks-Deadline-Remaining": "3000",
        }
        url = f"{self.gateway.url}/look/{self._number}"
        try:
            async with self.session.get(url, headers=headers) as response:
                await response.read()
                return response.status, response.headers
        except (aiohttp.ClientError, TimeoutError):
            return 0, {}


async def flooded(site, directory, during):
    """Run `during` while one organisation floods the gateway."""
    arguments = [site.gateway.ports[0], FLOOD_CALLERS, HOST, "/look/", "flood"]
    flood = Program(
        ["-m", "borageworks_emulator.platform.flood", *map(str, arguments)],
        directory / "flood.out",
    )
    await flood.start()
    try:
        await asyncio.sleep(WARM_UP_S)
        return await during
    finally:
        await flood.end()


class EntryOverloadTest(TestCase):
    def run_site(self, scenario):
        async def play():
            with tempfile.TemporaryDirectory() as directory:
                async with Site(Path(directory)) as site:
                    return await flooded(site, Path(directory), scenario(site))

        return asyncio.run(play())

    def test_small_organisation_beside_a_flood_at_one_instance(self):
        """Guards against refusals of an overloaded instance that hit everybody."""

        async def ask(site):
            calls = []
            for _ in range(WINDOW_S * SMALL_PER_S):
                calls.append(asyncio.ensure_future(site.ask("small")))
                await asyncio.sleep(1 / SMALL_PER_S)
            return [status for status, _ in await asyncio.gather(*calls)]

        statuses = self.run_site(ask)
        served = statuses.count(200)
        self.assertTrue(served >= len(statuses) - SPARE_REQUESTS, (served, statuses))

    def test_instance_that_keeps_refusing_sends_new_callers_elsewhere(self):
        """Guards against an overload that ends with each refusal and so never lasts."""

        async def watch(site):
            out = 0
            for _ in range(WINDOW_S):
                out = 0 if await site.ready() else out + 1
                if out >= MISSES_UNTIL_OUT:
                    return [await site.ask("flood") for _ in range(ASKED)]
                await asyncio.sleep(CHECK_INTERVAL_S)
            return []

        answers = self.run_site(watch)
        refused = [headers for status, headers in answers if status == 503]
        self.assertTrue(refused, "the instance stays in rotation")
        self.assertEqual({"close"}, {item.get("Connection") for item in refused})
