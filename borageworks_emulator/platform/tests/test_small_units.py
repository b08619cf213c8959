"""Tests of other callers' requests beside responses of many small units."""

import asyncio
import time

import aiohttp
from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
)
from borageworks_emulator.platform.unbounded_response import (
    SMALL_UNITS,
    UnboundedResponseEndpoint,
)

# Target latency of the route that the other callers use.
TARGET_LATENCY_S = 0.5
REQUESTS = 12
PAUSE_S = 0.02
RESUMABLE_ROUTE = "resume"
NON_RESUMABLE_ROUTE = "once"


async def read_until_cut(harness, path):
    """Send a request and read its response, which ends early or never."""
    headers = harness.request_headers()
    try:
        async with harness.session.post(path, headers=headers) as response:
            async for _ in response.content.iter_any():
                pass
    except aiohttp.ClientError:
        return


async def slowest_request(harness):
    """Return the longest time in which a request to sound endpoints is answered."""
    taken_s = []
    for number in range(REQUESTS):
        started = time.monotonic()
        status, _, _ = await harness.send_request(f"/look/{number}")
        assert status == 200
        taken_s.append(time.monotonic() - started)
        await asyncio.sleep(PAUSE_S)
    return max(taken_s)


class SmallUnitsTest(TestCase):
    def measure(self, kind, route, streams):
        async def main():
            sound = EmulatedEndpoint(
                "good", lambda _request: Behaviour(plain_body=True)
            )
            flood = UnboundedResponseEndpoint("bad", kind)
            await flood.start()
            try:
                async with Harness({PLAIN_SERVICE: [sound]}) as harness:
                    await harness.configure(configuration(2))
                    await harness.store.put("servers/bad", flood.entry(ENGINE_SERVICE))
                    await harness.wait_until_current()
                    callers = [
                        asyncio.create_task(read_until_cut(harness, f"/{route}/{n}"))
                        for n in range(streams)
                    ]
                    async with asyncio.timeout(TARGET_LATENCY_S):
                        while not flood.sent_bytes:  # noqa: ASYNC110
                            await asyncio.sleep(0.01)
                    slowest_s = await slowest_request(harness)
                    for caller in callers:
                        caller.cancel()
                    await asyncio.gather(*callers, return_exceptions=True)
                    return slowest_s
            finally:
                await flood.stop()

        return asyncio.run(main())

    def check_all_kinds(self, route, streams=1):
        for kind in (*SMALL_UNITS, "line_feeds", "comments"):
            slowest_s = self.measure(kind, route, streams)
            self.assertTrue(slowest_s < TARGET_LATENCY_S, (kind, slowest_s))

    def test_callers_beside_a_resumable_stream(self):
        """Guards against one engine's small units that stop a whole instance."""
        self.check_all_kinds(RESUMABLE_ROUTE)

    def test_callers_beside_a_non_resumable_stream(self):
        """Guards against the same where the bytes are forwarded as they are."""
        self.check_all_kinds(NON_RESUMABLE_ROUTE)
