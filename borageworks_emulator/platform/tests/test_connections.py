"""Tests of a gateway with more callers' connections than file descriptors allow."""

import asyncio

import aiohttp
from testtools import TestCase

from borageworks.gateway.connection_limit import MIN_IDLE_S, max_caller_connections
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import PLAIN_SERVICE, Harness

MAX_DESCRIPTORS = 300
CONNECTIONS = 120


class ManyConnectionsTest(TestCase):
    def test_idle_connections_are_closed_before_descriptors_run_out(self):
        """Guards against callers that get no connection since idle ones hold all."""

        async def main():
            endpoint = EmulatedEndpoint("d", lambda _: Behaviour(plain_body=True))
            async with Harness(
                {PLAIN_SERVICE: [endpoint]}, max_descriptors=MAX_DESCRIPTORS
            ) as harness:
                url = f"http://127.0.0.1:{harness.ports[0]}"
                idle = [
                    await asyncio.open_connection("127.0.0.1", harness.ports[0])
                    for _ in range(CONNECTIONS)
                ]
                await asyncio.sleep(MIN_IDLE_S)
                async with (
                    aiohttp.ClientSession(url) as session,
                    session.get("/look/1", headers=harness.request_headers()) as reply,
                ):
                    status = reply.status
                    connection = reply.headers.get("Connection")
                closed = 0
                for reader, writer in idle:
                    try:
                        async with asyncio.timeout(0.02):
                            closed += await reader.read() == b""
                    except TimeoutError:
                        pass
                    writer.close()
                return status, connection, closed

        status, connection, closed = asyncio.run(main())
        self.assertEqual(200, status)
        self.assertEqual("close", connection)
        limit = max_caller_connections(MAX_DESCRIPTORS, instances=1)
        self.assertTrue(closed >= CONNECTIONS - limit, closed)
