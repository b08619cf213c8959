"""Tests of the memory that the bodies of all requests take together."""

import asyncio

import aiohttp
from testtools import TestCase

from borageworks.receiving.memory_account import (
    LARGE_REQUEST_RATIO,
    MARGIN_RATIO,
    RESPONSE_RATIO,
)
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    PLAIN_SERVICE,
    Harness,
    configuration,
)
from borageworks_emulator.platform.unbounded_response import UnboundedResponseEndpoint

BODY_LIMIT_BYTES = 4_000_000
MEMORY_BYTES = BODY_LIMIT_BYTES / LARGE_REQUEST_RATIO / (1.0 - MARGIN_RATIO)
RESPONSE_LIMIT_BYTES = 300_000
RESPONSE_MEMORY_BYTES = RESPONSE_LIMIT_BYTES / RESPONSE_RATIO / (1.0 - MARGIN_RATIO)
UPLOAD_BYTES = 900_000
UPLOADS = 8
# Uploads of this size that the limit has room for.
ROOM = BODY_LIMIT_BYTES // UPLOAD_BYTES
CONFIGURATION = configuration(
    2, limits={"tokens_per_s": 20_000, "max_body_bytes": 1_000_000}
)
SOUND_REQUESTS = 10
STREAMS = 8


async def start_upload(harness, number):
    """Send a head that announces a body, and a part of it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.ports[0])
    headers = harness.request_headers(Content_Length=str(UPLOAD_BYTES))
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST /book/{number} HTTP/1.1\r\n{head}\r\n".encode() + b"x" * 1000)
    return reader, writer


async def status_of(reader):
    """Return the status of a response."""
    return int((await reader.readline()).split(b" ")[1])


class BodyMemoryTest(TestCase):
    def test_uploads_beyond_the_memory_are_refused_at_once(self):
        """Guards against uploads within the limits that end the process together."""

        async def main():
            endpoint = EmulatedEndpoint("d", lambda _run: Behaviour(plain_body=True))
            async with Harness(
                {PLAIN_SERVICE: [endpoint]}, memory_bytes=MEMORY_BYTES
            ) as harness:
                await harness.configure(CONFIGURATION)
                await harness.wait_until_current()
                uploads = [
                    await start_upload(harness, number) for number in range(UPLOADS)
                ]
                refused = [await status_of(reader) for reader, _ in uploads[ROOM:]]
                for _, writer in uploads[:ROOM]:
                    writer.write(b"x" * (UPLOAD_BYTES - 1000))
                served = [await status_of(reader) for reader, _ in uploads[:ROOM]]
                for _, writer in uploads:
                    writer.close()
                # The memory of those that were served is free again.
                later, _, _ = await harness.send_request(
                    "/book/later", body=b"x" * UPLOAD_BYTES
                )
                return refused, served, later, len(endpoint.runs)

        refused, served, later, runs = asyncio.run(main())
        self.assertEqual([503] * (UPLOADS - ROOM), refused)
        self.assertEqual(([200] * ROOM, 200, ROOM + 1), (served, later, runs))

    def test_responses_without_end_give_way_to_sound_ones(self):
        """Guards against many responses without end that fill the memory."""

        async def main():
            sound = EmulatedEndpoint("d", lambda _run: Behaviour(plain_body=True))
            flood = UnboundedResponseEndpoint("bad", "failure_body")
            await flood.start()
            try:
                async with Harness(
                    {PLAIN_SERVICE: [sound]}, memory_bytes=RESPONSE_MEMORY_BYTES
                ) as harness:
                    await harness.store.put("servers/bad", flood.entry("bad"))
                    body = configuration(2)
                    route = {**body["routes"][3], "name": "flood", "service": "bad"}
                    route["prefix"] = "/flood/"
                    body["routes"].append(route)
                    body["services"].append({"name": "bad", "max_conns": 100})
                    await harness.configure(body)
                    await harness.wait_until_current()
                    budget = harness.gateway._frontend._body_budget
                    floods = [
                        asyncio.create_task(read_to_end(harness, f"/flood/{number}"))
                        for number in range(STREAMS)
                    ]
                    statuses, used = [], []
                    for number in range(SOUND_REQUESTS):
                        status, _, _ = await harness.send_request(f"/look/{number}")
                        statuses.append(status)
                        used.append(budget.used_bytes)
                    flooded = await asyncio.gather(*floods)
                    return statuses, max(used), flooded, budget.used_bytes
            finally:
                await flood.stop()

        statuses, most, flooded, left = asyncio.run(main())
        self.assertEqual([200] * SOUND_REQUESTS, statuses)
        self.assertEqual({502}, set(flooded))
        # What gives way is gone with its next read.
        self.assertTrue(most <= 300_000 + STREAMS * 131_072, most)
        self.assertEqual(0, left)


async def read_to_end(harness, path):
    """Send a request; return its status, None if there was none."""
    try:
        status, _, _ = await harness.send_request(path)
    except aiohttp.ClientError:
        return None
    return status
