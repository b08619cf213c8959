"""Tests of limits on what one peer address or organisation may have open."""

import asyncio
import math
from unittest import mock

import aiohttp
from testtools import TestCase

from borageworks.platform.settings import parse_settings
from borageworks_emulator.platform import harness as harness_module
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import PLAIN_SERVICE, Harness
from borageworks_emulator.platform.tests.test_body_memory import (
    start_upload,
    status_of,
)

LIMIT = 3


class CallerLimitsTest(TestCase):
    def run_with(self, setting, scenario):
        """Run a scenario at a gateway with one setting."""

        async def main():
            endpoint = EmulatedEndpoint("d", lambda _run: Behaviour(plain_body=True))
            async with Harness({PLAIN_SERVICE: [endpoint]}) as harness:
                return await scenario(harness)

        def parse(text):
            return parse_settings(f"{text}\n{setting}={LIMIT}")

        with mock.patch.object(harness_module, "parse_settings", parse):
            return asyncio.run(main())

    def test_unfinished_bodies_of_an_organisation(self):
        """Guards against one organisation whose bodies keep all others out."""

        async def scenario(harness):
            uploads = [await start_upload(harness, n) for n in range(LIMIT + 1)]
            refused = await status_of(uploads[LIMIT][0])
            for _, writer in uploads:
                writer.close()
            # Its ordinary requests, and later large ones, are served.
            return refused, [
                (await harness.send_request("/look/1", body=b"x" * size))[0]
                for size in (1, 500_000)
            ]

        refused, served = self.run_with("limits.organisation_bodies", scenario)
        self.assertEqual((503, [200, 200]), (refused, served))

    def test_refused_small_bodies_of_unknown_length(self):
        """Guards against closing connections whose refused bodies are small."""

        async def main(memory_bytes):
            endpoint = EmulatedEndpoint("d", lambda _run: Behaviour(plain_body=True))
            async with Harness(
                {PLAIN_SERVICE: [endpoint]}, memory_bytes=memory_bytes
            ) as harness:
                port = harness.ports[0]
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                headers = harness.request_headers(Transfer_Encoding="chunked")
                head = "".join(
                    f"{name}: {value}\r\n" for name, value in headers.items()
                )
                refused = []
                for _ in range(2):
                    writer.write(
                        f"POST /none HTTP/1.1\r\n{head}\r\n1\r\nx\r\n".encode()
                    )
                    response = await reader.readuntil(b"\r\n\r\n")
                    refused.append(int(response.split(b" ")[1]))
                    length = response.lower().split(b"content-length: ")[1]
                    await reader.readexactly(int(length.split(b"\r\n")[0]))
                    writer.write(b"0\r\n\r\n")
                writer.close()
                return refused

        for memory_bytes in (math.inf, 1e9):
            self.assertEqual([404, 404], asyncio.run(main(memory_bytes)))

    def test_connections_of_a_peer(self):
        """Guards against one peer that takes all connections."""

        async def scenario(harness):
            # The harness holds one connection to the status port only.
            port = harness.ports[0]
            opened = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(LIMIT)
            ]
            try:
                await harness.send_request("/look/1")
            except aiohttp.ClientError:
                refused = True
            else:
                refused = False
            for _, writer in opened:
                writer.close()
            await asyncio.sleep(0.1)
            return refused, (await harness.send_request("/look/2"))[0]

        self.assertEqual(
            (True, 200), self.run_with("limits.peer_connections", scenario)
        )
