"""Tests of responses that faulty engines repeat, cut or replace by errors."""

import asyncio

import aiohttp
from testtools import TestCase

from borageworks.placement.endpoint_state import SHED_COOL_DOWN_S
from borageworks_emulator.platform.endpoint import (
    ATTEMPT_ID_HEADER,
    SEAL_HEADER,
    Behaviour,
    EmulatedEndpoint,
    endpoint_entry,
    event_bytes,
)
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
)

HEAD_END = b"\r\n\r\n"
# Heads that end within a field, after a field, and before the blank line.
CUT_HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\n{identity}",
    b"HTTP/1.1 200 OK\r\n{identity}Content-Length: 0\r\n",
    b"HTTP/1.1 200 OK\r\n{identity}Content-Type: text/event-stream\r\n",
    b"HTTP/1.1 503 Busy\r\n{identity}X-Borageworks-Not-Executed: 1\r\n",
)
REFUSAL = b"HTTP/1.1 503 Busy\r\n{identity}X-Borageworks-Not-Executed: 1\r\n"
REFUSAL_END = b"Content-Length: 0\r\n\r\n"
COPY_DELAY_S = 0.03
BROKEN_STREAM = b"".join(event_bytes(event) for event in range(2))


class RawEndpoint:
    """Endpoint that answers each request by a coroutine over its connection."""

    def __init__(self, name, respond):
        self.name = name
        self.address = ("127.0.0.1", 0)
        self.requests = 0
        self._respond = respond

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        self._server.close()

    def entry(self, service):
        return endpoint_entry(self.address, service)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                if head.startswith(b"GET /kv-"):
                    await asyncio.sleep(3600)
                self.requests += 1
                await self._respond(self.requests, identity(head), writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


def identity(head):
    """Return the response headers that identify the request and the engine."""
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(": ")
        if name == ATTEMPT_ID_HEADER:
            return f"{ATTEMPT_ID_HEADER}: {value}\r\n{SEAL_HEADER}: seal\r\n".encode()
    raise AssertionError(f"no request id in {head!r}")


class BrokenResponseTest(TestCase):
    def run_scenario(self, endpoints, scenario):
        async def main():
            async with Harness(endpoints) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    def test_head_that_ends_in_the_middle(self):
        """Guards against a success with an empty body, framed as complete."""
        for head in CUT_HEADS:

            async def respond(_number, identity_lines, writer, head=head):
                writer.write(head.replace(b"{identity}", identity_lines))
                writer.close()
                await writer.wait_closed()

            for path, service in (
                ("/book/", PLAIN_SERVICE),
                ("/look/", PLAIN_SERVICE),
                ("/once/", ENGINE_SERVICE),
                ("/resume/", ENGINE_SERVICE),
            ):

                async def scenario(harness, path=path):
                    return (await harness.send_request(path))[0]

                endpoint = RawEndpoint("raw", respond)
                status = self.run_scenario({service: [endpoint]}, scenario)
                self.assertEqual((head, path, 502), (head, path, status))

    def test_copy_of_a_refusal_while_the_next_request_runs(self):
        """Guards against "not run" for a request that the engine has begun to run."""
        for with_id in (True, False):

            async def respond(number, identity_lines, writer, with_id=with_id):
                if number == 1:
                    lines = identity_lines if with_id else b""
                    refusal = REFUSAL.replace(b"{identity}", lines) + REFUSAL_END
                    self.copy = refusal
                    writer.write(REFUSAL.replace(b"{identity}", identity_lines))
                    writer.write(REFUSAL_END)
                    return
                await asyncio.sleep(COPY_DELAY_S)
                writer.write(self.copy)

            async def scenario(harness):
                # A connection is kept only by the idempotent route.
                first, *_ = await harness.send_request("/look/")
                await asyncio.sleep(2 * SHED_COOL_DOWN_S)
                second, *_ = await harness.send_request("/look/")
                return [first, second]

            endpoint = RawEndpoint("raw", respond)
            statuses = self.run_scenario({PLAIN_SERVICE: [endpoint]}, scenario)
            self.assertEqual((2, [503, 502]), (endpoint.requests, statuses))

    def test_error_of_the_engine_that_resumes_a_stream(self):
        """Guards against an error's text within a stream that looks complete."""
        for later in (
            Behaviour(status=500),
            Behaviour(status=404),
            Behaviour(status=400),
            Behaviour(status=503),
            Behaviour(not_run=True),
            Behaviour(plain_body=True),
            Behaviour(stated_request_id="other"),
        ):
            behaviours = iter([Behaviour(reset_after_events=2)])

            def behaviour_of(_request, behaviours=behaviours, later=later):
                return next(behaviours, later)

            listed = [EmulatedEndpoint(name, behaviour_of) for name in ("i-1", "i-2")]

            async def scenario(harness):
                received = bytearray()
                async with harness.session.post(
                    "/resume/", headers=harness.request_headers()
                ) as response:
                    try:
                        async for data in response.content.iter_any():
                            received += data
                    except aiohttp.ClientPayloadError:
                        return bytes(received)
                return b"complete: " + bytes(received)

            received = self.run_scenario({ENGINE_SERVICE: listed}, scenario)
            self.assertEqual((later, BROKEN_STREAM), (later, received))
