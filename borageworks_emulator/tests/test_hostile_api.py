"""Tests of one router process under callers of its API that stop short of their end.

They check what does not depend on the speed of the machine: the process lives, its
memory stays under the limit of its settings, and an ordinary request is answered.
"""

import asyncio
import hashlib
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
from testtools import TestCase

from borageworks.catalog.objects import Organisation, Pool, PoolKind, Service, Ticket
from borageworks_emulator.fleet import Fleet, router_settings
from borageworks_emulator.platform.tests.test_hostile_callers import (
    BODY_BYTES,
    CALLERS,
    HANG_S,
    LARGE_CHUNK_BYTES,
    READY_S,
    SMALL_CHUNK_BODY_BYTES,
    STALLED_S,
    Crowd,
)
from borageworks_emulator.probe import wait_ready
from borageworks_emulator.service import EmulatedService, ServiceProfile
from borageworks_emulator.store import EmulatedStore
from borageworks_emulator.tests.test_router import endpoint_object
from borageworks_emulator.topology import PATITSA

MEMORY_MB = 100
KEY = "key-a"


def request_head(*extra):
    """Return the head of a request to the plain service."""
    lines = (
        "POST /services/desk/orders HTTP/1.1",
        "Host: api.example",
        f"Authorization: Bearer {KEY}",
        *extra,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def pieces_of_length(_number):
    """Return a body with a length, a byte short."""
    return [request_head(f"Content-Length: {BODY_BYTES}"), b"x" * (BODY_BYTES - 1)]


def large_chunks(_number):
    """Return a body in large chunks without its last one."""
    chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + b"x" * LARGE_CHUNK_BYTES + b"\r\n"
    count = BODY_BYTES // LARGE_CHUNK_BYTES - 1
    return [request_head("Transfer-Encoding: chunked"), *([chunk] * count)]


def small_chunks(_number):
    """Return a body in chunks of one byte without its last one."""
    count = SMALL_CHUNK_BODY_BYTES // 5_000
    return [
        request_head("Transfer-Encoding: chunked"),
        *([b"1\r\nx\r\n" * 5_000] * count),
    ]


class Scene:
    """A router process with its store and a plain service."""

    def __init__(self, router):
        self.router = router
        self.crowd = Crowd(self)

    @property
    def callers_address(self):
        """Address for callers."""
        return self.router.settings.listen.host_port

    async def ask(self, body=b"x"):
        """Return the status of an ordinary request, tried again when told to."""
        url = f"{self.router.url}/services/desk/orders"
        headers = {"Authorization": f"Bearer {KEY}"}
        async with asyncio.timeout(HANG_S):
            while True:
                try:
                    async with (
                        aiohttp.ClientSession() as session,
                        session.post(url, data=body, headers=headers) as response,
                    ):
                        await response.read()
                        if response.status != 503:
                            return response.status
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.2)


@asynccontextmanager
async def scene(**overrides):
    """Run a router process."""
    store = EmulatedStore()
    await store.start()
    service = EmulatedService("desk-0", "desks", ServiceProfile())
    await service.start()
    overrides = {"shutdown": {"balancer_lag_s": 0.2}, **overrides}
    (settings,) = router_settings(PATITSA, 1, store.url, overrides)
    ticket = Ticket(
        number=1,
        put=(
            Organisation(
                id="a", share=1.0, keys=(hashlib.sha256(KEY.encode()).hexdigest(),)
            ),
            Pool(id="desks", endpoints=PoolKind.PLAIN),
            Service(id="desk", pool="desks", max_body_bytes=BODY_BYTES),
            endpoint_object(service, "desks"),
        ),
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet([settings], Path(directory))
        await fleet.start()
        try:
            await fleet.apply(ticket)
            await wait_ready(fleet.session, fleet.urls[0], READY_S)
            current = Scene(fleet.routers[0])
            yield current
            current.crowd.leave()
        finally:
            await fleet.stop()
            await service.stop()
            await store.stop()


class HostileApiCallersTest(TestCase):
    def check(self, pieces_of):
        """Check a process while many bodies stop short of their end, and after."""

        async def main():
            async with scene(limits={"memory_mb": MEMORY_MB}) as current:
                at_rest = await current.ask()
                await current.crowd.send(CALLERS, pieces_of)
                beside = await current.ask()
                await asyncio.sleep(STALLED_S)
                current.crowd.leave()
                after = await current.ask()
                large = await current.ask(b"x" * BODY_BYTES)
                statuses = at_rest, beside, after, large
                router = current.router
                return router.alive, statuses, router.memory_mb

        alive, statuses, memory_mb = asyncio.run(main())
        self.assertEqual((True, (200,) * 4), (alive, statuses))
        self.assertTrue(memory_mb <= MEMORY_MB, f"{memory_mb:.1f} MB")

    def test_bodies_with_a_length_that_stop_short(self):
        """Guards against bodies of legal size that together exceed the memory."""
        self.check(pieces_of_length)

    def test_bodies_in_large_chunks_that_stop_short(self):
        """Guards against chunked bodies, whose length shows only as they arrive."""
        self.check(large_chunks)

    def test_bodies_in_small_chunks_that_stop_short(self):
        """Guards against chunks of one byte, which cost more memory than bytes."""
        self.check(small_chunks)
