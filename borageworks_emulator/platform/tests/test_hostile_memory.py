"""Tests of one gateway process under hostile callers, with limits of real deployments.

As `test_hostile_callers`, with larger crowds: the process lives, its memory and sockets
stay under the limits of its settings, and an ordinary request is answered.
"""

import asyncio
import contextlib
import resource

from testtools import TestCase

from borageworks_emulator.platform.tests.test_hostile_callers import (
    ANSWER_BYTES,
    BODY_BYTES,
    CALLERS,
    MEMORY_MB,
    RESERVED_FDS,
    STALLED_S,
    large_chunks,
    pieces_of_length,
    request_head,
    scene,
    small_chunks,
)

MEBIBYTE = 1_048_576
LARGE_CROWD = 200
# The smallest and largest instances of the deployments, and one between them.
SMALL_MB = 160
MEDIUM_MB = 200
LARGE_MB = 552
ORDINARY_CALLERS = 400
ORDINARY_BODY_BYTES = 100_000
SMALL_BODY_BYTES = 15_000
# The rate of a reader that is not quite stalled.
READ_BYTES = 16
READ_INTERVAL_S = 0.25
MAX_FDS = 4_100
CONNECTIONS = 4_000


def whole_bodies(path, size):
    """Return what sends complete bodies of a size."""

    def pieces(number):
        return [request_head(path, number, f"Content-Length: {size}"), b"x" * size]

    return pieces


def unfinished_body(size):
    """Return what sends bodies with a length, a byte short."""

    def pieces(number):
        head = request_head("/book/1", number, f"Content-Length: {size}")
        return [head, b"x" * (size - 1)]

    return pieces


def unfinished_chunk(size):
    """Return what sends bodies of one chunk without the last one."""

    def pieces(number):
        head = request_head("/book/1", number, "Transfer-Encoding: chunked")
        return [head, b"%x\r\n" % size + b"x" * size + b"\r\n"]

    return pieces


def large_answer(number):
    """Return a request for a large response."""
    return [request_head("/look/large", number, method="GET")]


class HostileMemoryTest(TestCase):
    def check(self, memory_mb, callers, pieces_of, meanwhile=None, **limits):
        """Check a process beside a crowd, and after it has left."""

        async def main():
            async with scene(memory_mb=memory_mb, **limits) as current:
                current.endpoint.body_bytes = ANSWER_BYTES
                await current.crowd.send(callers, pieces_of)
                if meanwhile is not None:
                    await meanwhile(current.crowd)
                beside = await current.ask("/look/1")
                current.crowd.leave()
                after = await current.ask("/look/2")
                large = await current.ask("/book/3", b"x" * BODY_BYTES)
                gateway = current.gateway
                statuses = beside, after, large
                return gateway.alive, statuses, gateway.peak_bytes, gateway.peak_sockets

        alive, statuses, peak, sockets = asyncio.run(main())
        self.assertEqual((True, (200,) * 3), (alive, statuses))
        self.assertTrue(peak <= memory_mb * MEBIBYTE, f"{peak / MEBIBYTE:.1f} MB")
        if "max_fds" in limits:
            self.assertTrue(sockets <= limits["max_fds"] - RESERVED_FDS, sockets)

    def test_bodies_with_a_length_at_a_small_instance(self):
        """Guards against unfinished bodies that exceed the memory of 160 MB."""
        self.check(SMALL_MB, LARGE_CROWD, pieces_of_length)

    def test_large_chunks_at_a_small_instance(self):
        """Guards against unfinished chunked bodies that exceed 160 MB."""
        self.check(SMALL_MB, LARGE_CROWD, large_chunks)

    def test_small_chunks_at_a_small_instance(self):
        """Guards against chunks of one byte that exceed 160 MB."""
        self.check(SMALL_MB, LARGE_CROWD, small_chunks)

    def test_bodies_with_a_length_at_a_medium_instance(self):
        """Guards against unfinished bodies that exceed 200 MB."""
        self.check(MEDIUM_MB, LARGE_CROWD, pieces_of_length)

    def test_large_chunks_at_a_medium_instance(self):
        """Guards against unfinished chunked bodies that exceed 200 MB."""
        self.check(MEDIUM_MB, LARGE_CROWD, large_chunks)

    def test_bodies_with_a_length_at_a_large_instance(self):
        """Guards against unfinished bodies that exceed 552 MB."""
        self.check(LARGE_MB, LARGE_CROWD, pieces_of_length)

    def test_large_chunks_at_a_large_instance(self):
        """Guards against unfinished chunked bodies that exceed 552 MB."""
        self.check(LARGE_MB, LARGE_CROWD, large_chunks)

    def test_many_ordinary_bodies_at_once(self):
        """Guards against memory that requests take beside their bodies."""
        pieces_of = whole_bodies("/book/1", ORDINARY_BODY_BYTES)
        self.check(SMALL_MB, ORDINARY_CALLERS, pieces_of)

    def test_many_ordinary_bodies_at_once_with_the_least_memory(self):
        """Guards against the same with little more memory than at rest."""
        pieces_of = whole_bodies("/book/1", ORDINARY_BODY_BYTES)
        self.check(MEMORY_MB, ORDINARY_CALLERS, pieces_of)

    def test_many_ordinary_bodies_that_stop_short(self):
        """Guards against many unfinished bodies, each of an ordinary size."""
        self.check(SMALL_MB, 1_500, unfinished_body(ORDINARY_BODY_BYTES))

    def test_many_ordinary_bodies_that_stop_short_with_the_least_memory(self):
        """Guards against the same with little more memory than at rest."""
        self.check(MEMORY_MB, 1_000, unfinished_body(ORDINARY_BODY_BYTES))

    def test_many_chunked_bodies_of_ordinary_size_that_stop_short(self):
        """Guards against the same in a chunk each."""
        self.check(SMALL_MB, 1_500, unfinished_chunk(ORDINARY_BODY_BYTES))

    def test_many_small_chunked_bodies_that_stop_short(self):
        """Guards against requests that take more memory than their bodies."""
        self.check(MEMORY_MB, 3_000, unfinished_chunk(SMALL_BODY_BYTES))

    def test_responses_that_callers_do_not_read(self):
        """Guards against unread responses that exceed the memory of an instance."""
        for memory_mb, callers in ((SMALL_MB, 200), (MEDIUM_MB, 300), (LARGE_MB, 500)):
            self.check(memory_mb, callers, large_answer)

    def test_callers_that_read_a_few_bytes_a_second(self):
        """Guards against responses that wait for callers which never quite stall."""

        async def read_slowly(crowd):
            async def read(reader):
                with contextlib.suppress(OSError):
                    for _ in range(round(2 * STALLED_S / READ_INTERVAL_S)):
                        await reader.read(READ_BYTES)
                        await asyncio.sleep(READ_INTERVAL_S)

            tasks = [asyncio.create_task(read(item)) for item in crowd.readers]
            await asyncio.wait(tasks, timeout=4 * STALLED_S)
            for task in tasks:
                task.cancel()

        self.check(MEMORY_MB, 2 * CALLERS, large_answer, read_slowly)

    def test_endpoint_that_does_not_read(self):
        """Guards against bodies that wait for an endpoint until their deadline."""
        self.check(MEMORY_MB, CALLERS, whole_bodies("/book/unread", BODY_BYTES))

    def test_half_heads_that_hold_the_descriptors_of_a_real_deployment(self):
        """Guards against connections without a request that use up descriptors."""
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

        def half_head(number):
            return [request_head("/look/1", number)[:-2]]

        self.check(MEDIUM_MB, CONNECTIONS, half_head, max_fds=MAX_FDS)
