"""Tests of reading bodies of many small chunks."""

import asyncio

from aiohttp import web
from testtools import TestCase

from borageworks.api.connection import READ_BUFFER_BYTES, CallerConnection
from borageworks.metrics import Metrics
from borageworks.receiving.body_reader import read_available
from borageworks.receiving.tests.test_turns import FakeTransport
from borageworks.receiving.turns import ReceiveTurns

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = 20_000


class CallerTransport(FakeTransport):
    """A transport that drops what is written."""

    def write(self, data):
        pass

    def close(self):
        pass

    def is_closing(self):
        return False


class BodyReaderTest(TestCase):
    def test_chunks_of_one_byte_are_read_completely(self):
        """Guards against lost bytes, and against ends of chunks that pile up."""
        read, ends = [], []

        async def handle(request):
            while data := await read_available(request.content, request.protocol):
                read.append(data)
                ends.append(len(request.content._http_chunk_splits))
            return web.Response()

        async def main():
            connection = CallerConnection(
                web.Server(handle),
                asyncio.get_running_loop(),
                lambda _refusal: None,
                ReceiveTurns(Metrics()),
            )
            connection.connection_made(CallerTransport())
            connection.data_received(HEAD + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
            for _ in range(CHUNKS):
                await asyncio.sleep(0)

        asyncio.run(main())
        self.assertEqual(b"x" * CHUNKS, b"".join(read))
        # The library pauses at one end for each 16 bytes of its buffer.
        self.assertTrue(max(ends) <= READ_BUFFER_BYTES // 16 + 1, max(ends))
