"""Tests of the turns in which connections process what they have received."""

import asyncio
import itertools
from unittest import mock

from testtools import TestCase

from borageworks.endpoints.bounded_connector import BoundedResponseHandler
from borageworks.metrics import Metrics
from borageworks.receiving.turns import (
    MAX_PIECE_BYTES,
    MAX_TURN_S,
    ReceiveTurns,
)

READ_BYTES = 1 << 18
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class QueuedConnection:
    """A connection with a number of bytes to process."""

    def __init__(self, size, on_piece):
        self._size = size
        self._on_piece = on_piece

    @property
    def has_piece(self):
        return self._size > 0

    def process_piece(self):
        processed = min(self._size, MAX_PIECE_BYTES)
        self._size -= processed
        self._on_piece(self, processed)
        return processed


class FakeTransport(asyncio.Transport):
    """A transport that records whether it may read."""

    def __init__(self):
        super().__init__()
        self.reading = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


def slow_clock():
    """Return a clock on which each reading takes a quarter of the longest turn."""
    readings = itertools.count()
    return lambda: next(readings) * MAX_TURN_S / 4


async def iterate(count):
    """Let the loop run some iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


class ReceiveTurnsTest(TestCase):
    def test_work_of_an_iteration_is_bounded(self):
        """Guards against many connections that hold the loop together."""

        async def main():
            turns = ReceiveTurns(Metrics())
            processed = []
            connections = [
                QueuedConnection(
                    READ_BYTES, lambda item, size: processed.append((item, size))
                )
                for _ in range(8)
            ]
            for connection in connections:
                turns.wait(connection)
            per_iteration = [sum(size for _, size in processed)]
            begun = len(processed)
            while any(connection.has_piece for connection in connections):
                before = len(processed)
                await asyncio.sleep(0)
                per_iteration.append(sum(size for _, size in processed[before:]))
            return (
                per_iteration,
                [item for item, _ in processed[begun:][:16]],
                connections,
            )

        with mock.patch("time.perf_counter", slow_clock()):
            per_iteration, first, connections = asyncio.run(main())
        self.assertTrue(max(per_iteration) <= 4 * MAX_PIECE_BYTES, per_iteration)
        self.assertEqual(8 * READ_BYTES, sum(per_iteration))
        self.assertEqual(set(connections), set(first[:8]))
        self.assertEqual(first[:8], first[8:])

    def test_connection_whose_processing_fails(self):
        """Guards against an unexpected error that ends the turns of all others."""

        async def main():
            turns = ReceiveTurns(Metrics())
            processed = []

            def fail(_connection, _size):
                raise ValueError("unexpected")

            errors = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _loop, context: errors.append(context))
            # Others have used up the time, so that the rest waits.
            turns.wait(QueuedConnection(READ_BYTES, lambda _connection, _size: None))
            turns.wait(QueuedConnection(READ_BYTES, fail))
            turns.wait(
                QueuedConnection(1, lambda _connection, size: processed.append(size))
            )
            await iterate(READ_BYTES // MAX_PIECE_BYTES)
            return len(errors), processed

        with mock.patch("time.perf_counter", slow_clock()):
            self.assertEqual((1, [1]), asyncio.run(main()))

    def test_bytes_before_the_end_of_a_connection(self):
        """Guards against a ready answer that ends with its connection and is lost."""

        async def main():
            handler = BoundedResponseHandler(
                ReceiveTurns(Metrics()), asyncio.get_running_loop()
            )
            transport = FakeTransport()
            handler.connection_made(transport)
            handler.set_response_params(read_until_eof=True)
            handler.data_received(HEAD + b"x" * READ_BYTES)
            held = handler.has_unprocessed, transport.reading
            handler.connection_lost(None)
            _, content = await handler.read()
            return held, await content.read()

        with mock.patch("time.perf_counter", slow_clock()):
            held, body = asyncio.run(main())
        self.assertEqual((True, False), held)
        self.assertEqual(READ_BYTES, len(body))

    def test_reading_goes_on_when_all_has_been_processed(self):
        """Guards against a connection that stays paused after its turns."""

        async def main():
            handler = BoundedResponseHandler(
                ReceiveTurns(Metrics()), asyncio.get_running_loop()
            )
            transport = FakeTransport()
            handler.connection_made(transport)
            handler.set_response_params(read_until_eof=True, read_bufsize=READ_BYTES)
            handler.data_received(HEAD + b"x" * READ_BYTES)
            await iterate(2 * READ_BYTES // MAX_PIECE_BYTES)
            return handler.has_unprocessed, transport.reading

        self.assertEqual((False, True), asyncio.run(main()))

    def test_rest_of_a_response_ends_the_use_of_its_connection(self):
        """Guards against a late copy that is read as the next response."""

        async def main():
            handler = BoundedResponseHandler(
                ReceiveTurns(Metrics()), asyncio.get_running_loop()
            )
            handler.connection_made(FakeTransport())
            handler.set_response_params()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 8000\r\n\r\n" + b"x" * 8000
            handler.data_received(answer + answer)
            await iterate(1)
            return handler.should_close

        self.assertTrue(asyncio.run(main()))
