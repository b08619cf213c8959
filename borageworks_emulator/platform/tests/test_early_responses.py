"""Tests of responses that endpoints send before they have read a long body."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from testtools import TestCase

from borageworks.commands.loop import run_loop
from borageworks_emulator.platform.endpoint import event_bytes
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
)
from borageworks_emulator.platform.raw_endpoint import RawEndpoint, RawRequest

SIZES = (3_000_000, 4_194_304)
# More than an endpoint's system takes before it is read, less than the own system does.
SMALL_SIZE = 1_000_000
END_DELAY_S = 0.03
# After a failure, an endpoint gets no request for a moment.
COOL_DOWN_S = 0.06
EVENTS = b"".join(event_bytes(event) for event in range(3))
ROUTES = (
    ("/look/", PLAIN_SERVICE),
    ("/book/", PLAIN_SERVICE),
    ("/once/", ENGINE_SERVICE),
    ("/resume/", ENGINE_SERVICE),
)
# Routes whose requests use the connection of the one before.
KEEPING_ROUTES = ("/look/", "/resume/")
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
# Header lines, and what precedes the part of a body that is sent.
CUT_FRAMINGS = {
    "none": (b"", b""),
    "coding": (b"Transfer-Encoding: identity\r\n", b""),
    "length": (b"Content-Length: %d\r\n" % (len(EVENTS) + 9), b""),
    "chunks": (b"Transfer-Encoding: chunked\r\n", b"%x\r\n" % len(EVENTS)),
}
COMPLETE_FRAMINGS = {
    "length": (b"Content-Length: %d\r\n" % len(EVENTS), EVENTS),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
    ),
}
# The product runs on uvloop, whose transports differ from those of asyncio.
LOOPS = (asyncio.run, run_loop)


async def reset(request):
    request.reset()


async def close(request):
    request.writer.close()


async def end_and_reset(request):
    request.writer.write_eof()
    await asyncio.sleep(0.03)
    request.reset()


ENDS = (reset, close, end_and_reset)


async def receive(harness, path, body):
    """Return the status and body of a complete response, else "cut"."""
    try:
        status, _, data = await harness.send_request(path, body=body)
    except aiohttp.ClientPayloadError:
        return "cut", b""
    return status, data


class EarlyResponseTest(TestCase):
    def run_scenario(self, loop, service, handle, scenario):
        endpoints: list[Any] = [RawEndpoint("raw", handle)]

        async def main():
            async with Harness({service: endpoints}) as harness:
                return await scenario(harness)

        return loop(main())

    def check_cut(self, loop, framing):
        """Check that no part of a response is taken for all of it."""
        lines, before = CUT_FRAMINGS[framing]
        ends: list[Callable[[RawRequest], Awaitable[None]]] = []
        sent: list[int] = []
        connections: set[int] = set()

        async def handle(request):
            connections.add(request.connection)
            if request.body_length < min(SIZES):
                await request.read_body()
                length, body = COMPLETE_FRAMINGS["length"]
                request.respond("200", STREAM_TYPE + length, body)
                return
            request.respond("200", STREAM_TYPE + lines, before + EVENTS)
            await asyncio.sleep(END_DELAY_S)
            sent.append(request.number)
            await ends[-1](request)
            await asyncio.sleep(3600)

        for path, service in ROUTES:

            async def scenario(harness, path=path):
                seen = []
                for size, end in itertools.product(SIZES, ENDS):
                    ends.append(end)
                    first, _ = await receive(harness, path, b"x")
                    second, _ = await receive(harness, path, b"x" * size)
                    seen.append((path, size, end.__name__, first, second))
                    await asyncio.sleep(COOL_DOWN_S)
                return seen

            connections.clear()
            seen = self.run_scenario(loop, service, handle, scenario)
            kept = len(seen) if path in KEEPING_ROUTES else 0
            self.assertEqual(2 * len(seen) - kept, len(connections))
            failed = 502 if service == PLAIN_SERVICE else "cut"
            wrong = [case for case in seen if case[3:] != (200, failed)]
            self.assertEqual([], wrong, framing)
        self.assertEqual(len(ends), len(sent))

    def test_response_without_a_length(self):
        """Guards against part of a body that looks complete as its connection ended."""
        for loop in LOOPS:
            self.check_cut(loop, "none")

    def test_response_with_a_coding_but_without_a_length(self):
        """Guards against a header that looks like a length and hides a reset."""
        self.check_cut(run_loop, "coding")

    def test_response_with_a_length(self):
        """Guards against a cut body that is passed on as complete."""
        self.check_cut(run_loop, "length")
        self.check_cut(run_loop, "chunks")

    def test_response_without_a_length_after_the_whole_body(self):
        """Guards against rejecting a response that ends by an orderly close."""

        async def handle(request):
            await request.read_body()
            request.respond("200", STREAM_TYPE, EVENTS)
            request.writer.close()

        async def scenario(harness, path):
            return [await receive(harness, path, b"x" * size) for size in (1, *SIZES)]

        for path, service in ROUTES:
            responses = self.run_scenario(
                run_loop,
                service,
                handle,
                lambda harness, path=path: scenario(harness, path),
            )
            self.assertEqual([(200, EVENTS)] * 3, responses, path)

    def test_complete_response_before_the_body_was_read(self):
        """Guards against other bytes where an endpoint expects the rest of a body."""
        rests: list[int] = []
        connections: set[int] = set()

        async def handle(request):
            connections.add(request.connection)
            lines, body = COMPLETE_FRAMINGS[framing]
            request.respond("200", STREAM_TYPE + lines, body)
            await asyncio.sleep(END_DELAY_S)
            received = await request.read_body()
            rests.append(received.count(b"x") - request.body_length)

        async def scenario(harness, path):
            bodies = [b"x" * size for size in (*SIZES, SMALL_SIZE, 1)]
            responses = [await receive(harness, path, body) for body in bodies]
            await harness.wait_until(lambda: len(rests) >= len(bodies))
            return responses

        for framing, (path, service) in itertools.product(COMPLETE_FRAMINGS, ROUTES):
            rests.clear()
            connections.clear()
            responses = self.run_scenario(
                run_loop,
                service,
                handle,
                lambda harness, path=path: scenario(harness, path),
            )
            self.assertEqual([(200, EVENTS)] * 4, responses, framing + path)
            self.assertEqual(([0] * 4, 4), (rests, len(connections)))
