"""Tests of requests that come late in a planned stop of the real program."""

import asyncio
import signal
import tempfile
from pathlib import Path

import aiohttp
import orjson
from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    API_KEY,
    ENGINE_SERVICE,
    HOST,
    PLAIN_SERVICE,
    configuration,
    settings_text,
)
from borageworks_emulator.platform.store import EmulatedPlatformStore
from borageworks_emulator.platform.tests.test_faults import wait_until
from borageworks_emulator.ports import free_ports
from borageworks_emulator.process import Program

GRACE_S = 4.0
# Requests come so long after the signal, while the balancer still sends connections.
LATE_S = 1.0
# Beyond the end of the grace for a late request, within it for one before the signal.
RUN_S = 3.3
ROUTE_TIMEOUT_MS = 10_000
START_TIMEOUT_S = 10.0


def slow(_request):
    """Return the behaviour of an endpoint that takes most of the grace."""
    return Behaviour(plain_body=True, response_delay_s=RUN_S)


def slow_stream(_request):
    """Return the behaviour of an engine whose stream takes most of the grace."""
    return Behaviour(events=12, event_interval_s=RUN_S / 12)


class StoppingGateway:
    """The gateway program with a store and endpoints of this process."""

    def __init__(self, directory, slots):
        self.store = EmulatedPlatformStore()
        self.desk = EmulatedEndpoint("d-1", slow)
        self.engine = EmulatedEndpoint("e-1", slow_stream)
        self._slots = slots
        self._ports = free_ports(4)
        self._settings_file = Path(directory) / "settings.conf"
        self.program = Program(
            ["-m", "borageworks.platform.start"],
            Path(directory) / "output",
            {"BORAGEWORKS_CONFIG": str(self._settings_file)},
        )
        self._numbers = iter(range(1, 1000))

    async def __aenter__(self):
        await self.store.start()
        services = {PLAIN_SERVICE: self.desk, ENGINE_SERVICE: self.engine}
        for service, endpoint in services.items():
            await endpoint.start()
            entry = endpoint.entry(service, slots=self._slots)
            await self.store.put(f"servers/{endpoint.name}", entry)
        body = configuration()
        for route in body["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
            route["target_latency_ms"] = ROUTE_TIMEOUT_MS
        await self.store.put("op/config", orjson.dumps(body))
        self._settings_file.write_text(
            settings_text(self.store.address, self._ports, grace_s=GRACE_S)
        )
        await self.program.start()
        self._session = aiohttp.ClientSession()
        await wait_until(self._ready, START_TIMEOUT_S)
        return self

    async def __aexit__(self, *_):
        await self._session.close()
        await self.program.kill()
        for endpoint in (self.desk, self.engine):
            await endpoint.stop()
        await self.store.stop()

    async def _ready(self):
        url = f"http://127.0.0.1:{self._ports[1]}/ready"
        try:
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def send(self, path):
        """Send a request; return its id, and the status or 0 without an answer."""
        request_id = f"r-{next(self._numbers)}"
        headers = {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            "X-Borageworks-Attempt-Id": request_id,
            "X-Borageworks-Deadline-Remaining": "20000",
            "X-Borageworks-Model": "m",
            "X-Borageworks-Token-Count": "30,20",
            "X-Borageworks-Prompt-Prefix": "aa:20,bb:10",
        }
        url = f"http://127.0.0.1:{self._ports[0]}{path}"
        try:
            async with self._session.post(url, headers=headers, data=b"x") as response:
                await response.read()
                return request_id, response.status
        except aiohttp.ClientError:
            return request_id, 0

    def runs(self, request_id):
        """Return how often a request has run."""
        runs = (*self.desk.runs, *self.engine.runs)
        return sum(run.id == request_id for run in runs)


class LateRequestTest(TestCase):
    def run_stop(self, paths, slots=8):
        """Stop the program; return status and runs of requests before and late."""

        async def main():
            with tempfile.TemporaryDirectory() as directory:
                async with StoppingGateway(directory, slots) as gateway:
                    early = [asyncio.ensure_future(gateway.send(p)) for p in paths]
                    await asyncio.sleep(0.1)
                    gateway.program.send_signal(signal.SIGTERM)
                    await asyncio.sleep(LATE_S)
                    late = [asyncio.ensure_future(gateway.send(p)) for p in paths]
                    await asyncio.sleep(GRACE_S - LATE_S)
                    await gateway.program.kill()
                    ended = [await asyncio.gather(*calls) for calls in (early, late)]
                    code = await gateway.program.wait_exit()
                    results = [
                        {
                            path: (status, gateway.runs(request_id))
                            for path, (request_id, status) in zip(
                                paths, answers, strict=True
                            )
                        }
                        for answers in ended
                    ]
                    return code, *results

        return asyncio.run(main())

    def test_requests_that_come_too_late_to_end_within_the_grace(self):
        """Guards against requests that are taken and then cut without an answer."""
        code, early, late = self.run_stop(["/book/", "/look/", "/once/", "/resume/"])
        self.assertEqual(0, code)
        self.assertEqual({(200, 1)}, set(early.values()))
        # What may not be repeated is left to another instance before it runs.
        self.assertEqual((503, 0), late["/book/"])
        self.assertEqual((503, 0), late["/once/"])
        # What may be repeated gets an answer, and a stream breaks off visibly.
        self.assertEqual((504, 1), late["/look/"])
        self.assertEqual((0, 1), late["/resume/"])

    def test_requests_that_wait_for_a_place_at_the_end_of_the_grace(self):
        """Guards against held requests that get no answer although they never ran."""
        code, early, late = self.run_stop(["/look/"], slots=1)
        self.assertEqual(0, code)
        self.assertEqual((200, 1), early["/look/"])
        status, runs = late["/look/"]
        self.assertTrue((status, runs) in ((503, 0), (504, 1)), (status, runs))
