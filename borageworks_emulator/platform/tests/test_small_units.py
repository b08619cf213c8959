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


def sound_endpoint():
    """Return an endpoint that answers at once."""
    return EmulatedEndpoint("good", lambda _request: Behaviour(plain_body=True))


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


def head_of(headers, path="/look/x", method="POST"):
    """Return the head of a request."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


def caller_floods(harness):
    """Return what a caller sends by name: bytes once, and bytes without end."""
    headers = harness.request_headers()
    chunked = {**headers, "Transfer-Encoding": "chunked"}
    pipelined = head_of(headers, method="GET")
    return {
        "chunks": (head_of(chunked), b"1\r\nx\r\n" * 4096),
        "chunk_sizes": (head_of(chunked), b"0" * 65_536),
        "pipelined": (b"", pipelined * 100),
        "blank_lines": (b"", b"\r\n" * 32_768),
        "fields": (b"GET / HTTP/1.1\r\n", b"a:b\r\n" * 8192),
    }


async def send_without_end(port, once, repeated):
    """Send bytes to the gateway until it closes the connection, again and again."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(once)
            while not reader.at_eof():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            continue
        finally:
            writer.close()


class SmallUnitsTest(TestCase):
    def measure(self, kind, route, streams):
        async def main():
            sound = sound_endpoint()
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

    def test_callers_beside_others_that_send_small_units(self):
        """Guards against one caller's bytes that stop an instance for all others."""

        async def main():
            sound = sound_endpoint()
            async with Harness({PLAIN_SERVICE: [sound]}) as harness:
                slowest_s = {}
                for kind, (once, repeated) in caller_floods(harness).items():
                    flood = asyncio.create_task(
                        send_without_end(harness.ports[0], once, repeated)
                    )
                    await asyncio.sleep(PAUSE_S)
                    slowest_s[kind] = await slowest_request(harness)
                    flood.cancel()
                    await asyncio.gather(flood, return_exceptions=True)
                return slowest_s

        for kind, slowest_s in asyncio.run(main()).items():
            self.assertTrue(slowest_s < TARGET_LATENCY_S, (kind, slowest_s))
