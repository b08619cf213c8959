"""Tests of connections that are closed while their callers do not read."""

import asyncio
import contextlib

from aiohttp import web
from testtools import TestCase

from borageworks.api.connection import CallerConnection
from borageworks.api.sink import ResponseSink
from borageworks.metrics import Metrics
from borageworks.receiving.turns import ReceiveTurns

# More than the buffers of the system take.
RESPONSE_BYTES = 16 * 1_048_576
WAIT_S = 20.0


class UnreadResponsesTest(TestCase):
    def is_lost_after(self, close):
        """Close a connection with an unread response; return whether it ends."""

        async def main():
            lost = asyncio.Event()

            async def handle(request):
                sink = ResponseSink(request, "1")
                await sink.start(200, ())
                request.transport.write(b"x" * RESPONSE_BYTES)
                close(request, sink)
                return sink.response

            server = web.Server(handle)
            loop = asyncio.get_running_loop()
            listener = await loop.create_server(
                lambda: CallerConnection(
                    server,
                    loop,
                    lambda _refusal: None,
                    ReceiveTurns(Metrics()),
                    on_lost=lambda _connection: lost.set(),
                ),
                "127.0.0.1",
                0,
            )
            address = listener.sockets[0].getsockname()
            # The client's limit keeps its stream from reading on.
            _, writer = await asyncio.open_connection(*address, limit=1)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(lost.wait(), WAIT_S)
            writer.transport.abort()
            listener.close()
            return lost.is_set()

        return asyncio.run(main())

    def test_cut_response(self):
        """Guards against cut responses that keep memory and descriptor for good."""
        self.assertTrue(self.is_lost_after(lambda _request, sink: sink.abort()))

    def test_last_response(self):
        """Guards against closed connections whose last response nobody reads."""

        def close(request, sink):
            # Otherwise the handler itself waits for the caller.
            request.transport.set_write_buffer_limits(high=2 * RESPONSE_BYTES)
            request.protocol.resume_writing()
            sink.response.force_close()

        self.assertTrue(self.is_lost_after(close))

    def test_forced_close(self):
        """Guards against connections whose closing waits without limit."""
        self.assertTrue(
            self.is_lost_after(lambda request, _sink: request.protocol.force_close())
        )
