"""Tests of one gateway process that receives more requests than it can handle."""

import asyncio
import tempfile
from pathlib import Path

import aiohttp
import orjson
from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import HOST, PLAIN_SERVICE, configuration
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.process import Program
from borageworks_emulator.soak.gateway_process import GatewayProcess

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
# Each caller sends its next request at once; this many overload any instance.
FLOOD_CALLERS = 600
# The instance is overloaded by the flood before the measurement starts.
WARM_UP_S = 1.0
# An organisation that sends less than its share may lose at most `MAX_LOST_REQUESTS`
# requests in any window of this length.
WINDOW_S = 6
MAX_LOST_REQUESTS = 3
SMALL_RATE_PER_S = 10
# Requests sent to an instance that refuses most; at least one must be refused.
PROBE_REQUESTS = 20
# The platform checks once a second whether an instance is ready, and sends new callers
# to others after two failed checks.
CHECK_INTERVAL_S = 1.0
FAILED_CHECKS_UNTIL_REMOVAL = 2


class GatewayFixture:
    """One gateway process with endpoints that always have free slots."""

    def __init__(self, directory):
        self.store = EmulatedPlatformStore()
        self.endpoints = [
            EmulatedEndpoint(f"desk-{number}", lambda _: Behaviour(plain_body=True))
            for number in range(2)
        ]
        self.gateway = GatewayProcess("edge-1", "zone-a", directory)
        self._request_number = 0

    async def __aenter__(self):
        await self.store.start()
        for endpoint in self.endpoints:
            await endpoint.start()
            entry = endpoint.entry(PLAIN_SERVICE, slots=1000)
            await self.store.put(f"servers/{endpoint.name}", entry)
        tenants = [{"name": name, "api_keys": [name]} for name in ("flood", "small")]
        await self.store.put("op/config", orjson.dumps(configuration(tenants=tenants)))
        self.gateway.write_settings(self.store.address)
        await self.gateway.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=3.0),
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)
        return self

    async def __aexit__(self, *_):
        await self.session.close()
        await self.gateway.kill()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()

    async def is_ready(self):
        """Return whether the gateway reports that it is ready."""
        try:
            url = f"{self.gateway.status_url}/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def send_request(self, organisation):
        """Send a request; return status and headers of its response, else (0, {})."""
        self._request_number += 1
        headers = {
            "Host": HOST,
            "Authorization": f"Token {organisation}",
            "X-Borageworks-Attempt-Id": f"r{self._request_number}",
            "X-Borageworks-Deadline-Remaining": "3000",
        }
        url = f"{self.gateway.url}/look/{self._request_number}"
        try:
            async with self.session.get(url, headers=headers) as response:
                await response.read()
                return response.status, response.headers
        except (aiohttp.ClientError, TimeoutError):
            return 0, {}


async def await_during_flood(fixture, directory, measurement):
    """Await `measurement` while one organisation floods the gateway."""
    arguments = [fixture.gateway.ports[0], FLOOD_CALLERS, HOST, "/look/", "flood"]
    flood = Program(
        ["-m", "borageworks_emulator.platform.flood", *map(str, arguments)],
        directory / "flood.out",
    )
    await flood.start()
    try:
        await asyncio.sleep(WARM_UP_S)
        return await measurement
    finally:
        await flood.kill()


class EntryOverloadTest(TestCase):
    def run_during_flood(self, scenario):
        async def main():
            with tempfile.TemporaryDirectory() as directory:
                async with GatewayFixture(Path(directory)) as fixture:
                    return await await_during_flood(
                        fixture, Path(directory), scenario(fixture)
                    )

        return asyncio.run(main())

    def test_small_organisation_beside_a_flood_at_one_instance(self):
        """Guards against an overloaded instance that refuses all organisations."""

        async def send_requests(fixture):
            calls = []
            for _ in range(WINDOW_S * SMALL_RATE_PER_S):
                calls.append(asyncio.ensure_future(fixture.send_request("small")))
                await asyncio.sleep(1 / SMALL_RATE_PER_S)
            return [status for status, _ in await asyncio.gather(*calls)]

        statuses = self.run_during_flood(send_requests)
        served = statuses.count(200)
        self.assertTrue(served >= len(statuses) - MAX_LOST_REQUESTS, (served, statuses))

    def test_instance_that_keeps_refusing_is_taken_out_of_rotation(self):
        """Guards against refusals that end the overload state each time."""

        async def wait_until_removed(fixture):
            failed_checks = 0
            for _ in range(WINDOW_S):
                failed_checks = 0 if await fixture.is_ready() else failed_checks + 1
                if failed_checks >= FAILED_CHECKS_UNTIL_REMOVAL:
                    return [
                        await fixture.send_request("flood")
                        for _ in range(PROBE_REQUESTS)
                    ]
                await asyncio.sleep(CHECK_INTERVAL_S)
            return []

        responses = self.run_during_flood(wait_until_removed)
        refused = [headers for status, headers in responses if status == 503]
        self.assertTrue(refused, "the instance stays in rotation")
        self.assertEqual({"close"}, {headers.get("Connection") for headers in refused})
