"""Tests of one gateway process under callers that keep within no limits.

They check what does not depend on the speed of the machine: the process lives, its
memory and sockets stay under the limits of its settings, and an ordinary request is
answered while the others stay open and after they have left.
"""

import asyncio
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web
from testtools import TestCase

from borageworks_emulator.platform.endpoint import (
    ATTEMPT_ID_HEADER,
    Behaviour,
    EmulatedEndpoint,
)
from borageworks_emulator.platform.harness import (
    API_KEY,
    HOST,
    PLAIN_SERVICE,
    configuration,
)
from borageworks_emulator.platform.process_limits import LimitedGateway
from borageworks_emulator.platform.store import EmulatedPlatformStore

MEMORY_MB = 100
MEMORY_BYTES = MEMORY_MB * 1024 * 1024
MAX_FDS = 360
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
CALLERS = 48
BODY_BYTES = 4_194_304
# Bodies in chunks of one byte take six bytes each on the wire.
SMALL_CHUNK_BODY_BYTES = 200_000
LARGE_CHUNK_BYTES = 65_536
ANSWER_BYTES = 1_000_000
IDLE_CALLERS = 260
# The process may stop reading, close or refuse; a caller that is not read for this long
# has sent all that it can.
STALLED_S = 2.0
# Only tells a process that hangs from one that is slow.
HANG_S = 90.0
READY_S = 30.0


class BodyServer(EmulatedEndpoint):
    """Endpoint that responds with a body of a given size, or without end.

    It does not read bodies of requests whose path says so.
    """

    body_bytes = 0
    endless = False

    async def _handle(self, request):
        if "unread" in request.path:
            # Until the caller has left.
            await asyncio.sleep(HANG_S)
        return await super()._handle(request)

    async def _run(self, request, behaviour, headers):
        if self.endless and "endless" in request.path:
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            while True:
                await response.write(b"x" * LARGE_CHUNK_BYTES)
        if self.body_bytes and "large" in request.path:
            return web.Response(headers=headers, body=b"x" * self.body_bytes)
        return await super()._run(request, behaviour, headers)


def request_head(path, number, *extra, method="POST"):
    """Return the head of a request on a raw connection."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {API_KEY}",
        f"{ATTEMPT_ID_HEADER}: raw-{number}",
        *extra,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def pieces_of_length(number):
    """Return a body with a length, sent in one piece and a byte short."""
    length = f"Content-Length: {BODY_BYTES}"
    return [request_head("/book/1", number, length), b"x" * (BODY_BYTES - 1)]


def small_pieces_of_length(number):
    """Return the same body in small pieces."""
    head, body = pieces_of_length(number)
    size = 1_000
    return [head, *(body[start : start + size] for start in range(0, len(body), size))]


def large_chunks(number):
    """Return a body in large chunks without its last one."""
    head = request_head("/book/1", number, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + b"x" * LARGE_CHUNK_BYTES + b"\r\n"
    return [head, *([chunk] * (BODY_BYTES // LARGE_CHUNK_BYTES - 1))]


def small_chunks(number):
    """Return a body in chunks of one byte without its last one."""
    head = request_head("/book/1", number, "Transfer-Encoding: chunked")
    return [head, *([b"1\r\nx\r\n" * 5_000] * (SMALL_CHUNK_BODY_BYTES // 5_000))]


class Crowd:
    """Connections that send and stay open."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._writers = []
        self._readers = []

    async def send(self, count, pieces_of):
        """Open connections and send on each what the process takes."""
        await asyncio.gather(*(self._send(pieces_of(n)) for n in range(count)))

    async def _send(self, pieces):
        try:
            reader, writer = await asyncio.open_connection(
                *self._gateway.callers_address
            )
        except OSError:
            return
        self._readers.append(reader)
        self._writers.append(writer)
        try:
            for piece in pieces:
                writer.write(piece)
                async with asyncio.timeout(STALLED_S):
                    await writer.drain()
        except (OSError, TimeoutError):
            # Closed or no longer read by the process, both of which are allowed.
            return

    @property
    def readers(self):
        """Streams from which responses are read."""
        return self._readers

    async def read_all(self, seconds):
        """Read and discard what arrives."""

        async def read(reader):
            try:
                while await reader.read(LARGE_CHUNK_BYTES):
                    pass
            except OSError:
                return

        await asyncio.wait(
            [asyncio.create_task(read(item)) for item in self._readers],
            timeout=seconds,
        )

    def leave(self):
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()


class Scene:
    """A gateway process with its store and endpoint."""

    def __init__(self, gateway, endpoint):
        self.gateway = gateway
        self.endpoint = endpoint
        self.crowd = Crowd(gateway)
        self._number = 0

    async def ask(self, path, body=b"x", method="POST"):
        """Return the status of an ordinary request, tried again when told to."""
        async with asyncio.timeout(HANG_S):
            while True:
                status, retry_after = await self._try(path, body, method)
                if retry_after is None:
                    return status
                await asyncio.sleep(retry_after)

    async def _try(self, path, body, method):
        self._number += 1
        host, port = self.gateway.callers_address
        headers = {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            ATTEMPT_ID_HEADER: f"ordinary-{self._number}",
        }
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method, f"http://{host}:{port}{path}", data=body, headers=headers
                ) as response,
            ):
                await response.read()
                if response.status == 503:
                    return 503, float(response.headers.get("Retry-After", "0.2"))
                return response.status, None
        except aiohttp.ClientError:
            return None, 0.2


@asynccontextmanager
async def scene(**limits):
    """Run a gateway process with limits."""
    endpoint = BodyServer("d", lambda _run: Behaviour(plain_body=True))
    store = EmulatedPlatformStore()
    await store.start()
    await endpoint.start()
    await store.put("servers/d", endpoint.entry(PLAIN_SERVICE, slots=64))
    body = configuration(limits={"max_body_bytes": BODY_BYTES, "tokens_per_s": 1})
    for route in body["routes"]:
        route["timeout_ms"] = 60_000
    await store.put("op/config", orjson.dumps(body))
    with tempfile.TemporaryDirectory() as directory:
        gateway = LimitedGateway(store.address, Path(directory), limits)
        await gateway.start()
        watch = None
        current = Scene(gateway, endpoint)
        try:
            await wait_ready(gateway)
            watch = asyncio.create_task(gateway.watch())
            yield current
            gateway.sample()
        finally:
            current.crowd.leave()
            if watch is not None:
                watch.cancel()
            await gateway.stop()
            await endpoint.stop()
            await store.stop()


async def wait_ready(gateway):
    """Wait until the process is ready."""
    async with asyncio.timeout(READY_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"{gateway.status_url}/ready") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)


class HostileCallersTest(TestCase):
    def check_bodies(self, pieces_of):
        """Check a process while many bodies stop short of their end, and after."""

        async def main():
            async with scene(memory_mb=MEMORY_MB) as current:
                await current.crowd.send(CALLERS, pieces_of)
                beside = await current.ask("/look/1")
                current.crowd.leave()
                after = await current.ask("/look/2")
                large = await current.ask("/book/3", b"x" * BODY_BYTES)
                gateway = current.gateway
                return gateway.alive, beside, after, large, gateway.peak_bytes

        alive, beside, after, large, peak = asyncio.run(main())
        self.assertEqual((True, 200, 200, 200), (alive, beside, after, large))
        self.assertTrue(peak <= MEMORY_BYTES, f"{peak / 2**20:.1f} MB")

    def test_bodies_with_a_length_that_stop_short(self):
        """Guards against bodies of legal size that together exceed the memory."""
        self.check_bodies(pieces_of_length)

    def test_bodies_in_small_pieces_that_stop_short(self):
        """Guards against the same bodies when they arrive piece by piece."""
        self.check_bodies(small_pieces_of_length)

    def test_bodies_in_large_chunks_that_stop_short(self):
        """Guards against chunked bodies, whose length shows only as they arrive."""
        self.check_bodies(large_chunks)

    def test_bodies_in_small_chunks_that_stop_short(self):
        """Guards against chunks of one byte, which cost more memory than bytes."""
        self.check_bodies(small_chunks)

    def check_responses(self, path, endpoint_fields, meanwhile):
        """Check a process while callers ask for large responses, and after."""

        async def main():
            async with scene(memory_mb=MEMORY_MB) as current:
                for name, value in endpoint_fields.items():
                    setattr(current.endpoint, name, value)
                await current.crowd.send(
                    2 * CALLERS, lambda n: [request_head(path, n, method="GET")]
                )
                await meanwhile(current)
                beside = await current.ask("/look/1")
                await asyncio.sleep(STALLED_S)
                current.crowd.leave()
                after = await current.ask("/look/2")
                return current.gateway.alive, beside, after, current.gateway.peak_bytes

        alive, beside, after, peak = asyncio.run(main())
        self.assertEqual((True, 200, 200), (alive, beside, after))
        self.assertTrue(peak <= MEMORY_BYTES, f"{peak / 2**20:.1f} MB")

    def test_responses_that_callers_do_not_read(self):
        """Guards against complete responses that pile up for slow callers."""

        async def meanwhile(_current):
            return None

        self.check_responses("/look/large", {"body_bytes": ANSWER_BYTES}, meanwhile)

    def test_responses_without_end_that_callers_read(self):
        """Guards against plain responses without end at one process."""

        async def meanwhile(current):
            await current.crowd.read_all(3 * STALLED_S)

        self.check_responses("/look/endless", {"endless": True}, meanwhile)

    def test_unfinished_requests_that_hold_descriptors(self):
        """Guards against unfinished requests that use up the descriptors."""

        async def main():
            async with scene(memory_mb=4 * MEMORY_MB, max_fds=MAX_FDS) as current:
                await current.crowd.send(
                    IDLE_CALLERS,
                    lambda n: [request_head("/book/1", n, "Content-Length: 9"), b"x"],
                )
                beside = await current.ask("/look/1")
                current.crowd.leave()
                after = await current.ask("/look/2")
                gateway = current.gateway
                return gateway.alive, beside, after, gateway.peak_sockets

        alive, beside, after, sockets = asyncio.run(main())
        self.assertEqual((True, 200, 200), (alive, beside, after))
        self.assertTrue(sockets <= MAX_FDS - RESERVED_FDS, sockets)
