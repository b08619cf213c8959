"""Tests of request bodies that an endpoint does not read."""

import asyncio
import contextlib
import hashlib
import tracemalloc

from testtools import TestCase

from borageworks.commands.loop import run_loop
from borageworks.endpoints.body_payload import MAX_JOINED_BYTES
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.upstream import Upstream
from borageworks.metrics import Metrics
from borageworks.receiving.turns import ReceiveTurns

BODY_BYTES = 8 * 1_048_576
# Far more than a connection keeps, far less than a copy of the body.
MAX_COPIED_BYTES = BODY_BYTES // 8
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class UnreadBodyTest(TestCase):
    def send(self, body, handle, meanwhile):
        """Send a body to an endpoint while something else happens."""

        async def main():
            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            endpoint = Endpoint("e", "s", host, port, "", slots=1, leaving=False)
            upstream = Upstream(ReceiveTurns(Metrics()), limits_memory=True)
            upstream.start()

            async def request():
                async with upstream.open(
                    endpoint, "POST", "/", [], body, fresh=True
                ) as response:
                    return response.status

            task = asyncio.ensure_future(request())
            try:
                return await meanwhile(task)
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                await upstream.stop()
                server.close()

        # The product runs on uvloop, whose transports differ from those of asyncio.
        return run_loop(main())

    def test_body_that_an_endpoint_does_not_read_is_not_copied(self):
        """Guards against copies of a body that no account of memory counts."""

        async def ignore(reader, _writer):
            reader._transport.pause_reading()
            await asyncio.sleep(10.0)

        async def peak(_task):
            tracemalloc.start()
            try:
                await asyncio.sleep(0.5)
                return tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

        for kind in (bytes, bytearray):
            copied = self.send(kind(BODY_BYTES), ignore, peak)
            self.assertTrue(copied < MAX_COPIED_BYTES, (kind, copied))

    def test_large_body_arrives_whole(self):
        """Guards against another length, or bytes that are lost behind the head."""
        body = bytes(range(251)) * (3 * MAX_JOINED_BYTES // 251 + 1)
        digests: list[bytes] = []

        async def read(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"Content-Length: %d\r\n" % len(body), head)
            self.assertNotIn(b"Content-Type", head)
            digests.append(hashlib.sha256(await reader.readexactly(len(body))).digest())
            writer.write(RESPONSE)
            await writer.drain()
            writer.close()

        async def finish(task):
            return await task

        statuses = [self.send(sent, read, finish) for sent in (body, bytearray(body))]
        self.assertEqual([200, 200], statuses)
        self.assertEqual([hashlib.sha256(body).digest()] * 2, digests)
