"""Tests of connections whose requests have incomplete heads."""

import asyncio

from aiohttp import web
from testtools import TestCase

from borageworks.api.connection import CallerConnection
from borageworks.metrics import Metrics
from borageworks.receiving.tests.test_body_reader import CallerTransport
from borageworks.receiving.turns import ReceiveTurns

MAX_HEAD_BYTES = 16_384
LINE = b"A: " + b"x" * 1000 + b"\r\n"
# Lines of several times the limit; the library allows 128.
LINES = 100


class Transport(CallerTransport):
    """Transport that records whether it was aborted."""

    aborted = False

    def abort(self):
        """Record the reset."""
        self.aborted = True

    def get_write_buffer_size(self):
        """Return that all has been sent."""
        return 0

    def pause_reading(self):
        """Go on, as the test decides what is received."""

    def resume_reading(self):
        """Go on, as the test decides what is received."""


class IncompleteHeadsTest(TestCase):
    def receive(self, pieces, handle):
        """Receive pieces; return whether it was aborted and the most bytes of heads."""

        async def main():
            turns = ReceiveTurns(Metrics())
            connection = CallerConnection(
                web.Server(handle),
                asyncio.get_running_loop(),
                lambda _refusal: None,
                turns,
                max_line_bytes=MAX_HEAD_BYTES,
                max_head_bytes=MAX_HEAD_BYTES,
            )
            transport = Transport()
            connection.connection_made(transport)
            most = 0
            for piece in pieces:
                await asyncio.sleep(0)
                if not transport.aborted:
                    connection.data_received(piece)
                most = max(most, turns.review_paused())
            aborted = transport.aborted
            connection.connection_lost(None)
            return aborted, most, turns.review_paused()

        return asyncio.run(main())

    def test_head_of_many_lines(self):
        """Guards against heads that take megabytes and that no account counts."""

        async def handle(_request):
            return web.Response()

        pieces = [b"GET / HTTP/1.1\r\n", *[LINE] * LINES]
        aborted, most, left = self.receive(pieces, handle)
        self.assertEqual((True, 0), (aborted, left))
        self.assertTrue(most > MAX_HEAD_BYTES, most)

    def test_pipelined_requests(self):
        """Guards against closing connections whose requests are pipelined."""

        async def handle(_request):
            await asyncio.sleep(0.01)
            return web.Response()

        request = b"GET / HTTP/1.1\r\nHost: a\r\n" + LINE + b"\r\n"
        aborted, _, left = self.receive([request] * LINES, handle)
        self.assertEqual((False, 0), (aborted, left))
