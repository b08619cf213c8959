"""Tests of responses with statuses that HTTP does not have."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import orjson
from testtools import TestCase

from borageworks.config.settings import StoreSettings
from borageworks.exceptions import (
    EndpointDisconnectedError,
    EndpointReplyMalformedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from borageworks.gateway.settings import HostPort
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.platform.store import PlatformStore
from borageworks.store.etcd import EtcdStore
from borageworks.store.values import Lease, Transaction
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
)
from borageworks_emulator.platform.raw_endpoint import RawEndpoint

# The parser of the HTTP library takes them for statuses.
STATUSES = ("000", "099", "600", "999")
# It takes 150 for an interim response, and rejects the last ones.
OTHER_STATUSES = ("101", "150", "20", "2000", "-20", "2x0")
ROUTES = (
    ("/look/", PLAIN_SERVICE),
    ("/book/", PLAIN_SERVICE),
    ("/once/", ENGINE_SERVICE),
    ("/resume/", ENGINE_SERVICE),
)
# Routes whose requests use the connection of the one before.
KEEPING_ROUTES = ("/look/", "/resume/")
EMPTY = b"Content-Length: 0\r\n"
SHORT = b"Content-Length: 2\r\n"
NOT_EXECUTED = b"X-Borageworks-Not-Executed: 1\r\n"
STORE_ERA = b"Store-Era: 7\r\n"


def attempt_failures(harness):
    """Return how many attempts have counted against the endpoint."""
    codes = (EndpointReplyMalformedError.code, EndpointDisconnectedError.code)
    return sum(harness.metrics.value("attempt_failures", code) for code in codes)


@asynccontextmanager
async def reply_server(status, body):
    """Run a server that gives one reply, and return its address."""
    lines = STORE_ERA + b"Content-Length: %d\r\n" % len(body)

    async def respond(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.read(65_536 if b"POST" in head else 0)
        writer.write(b"HTTP/1.1 " + status.encode() + b" X\r\n" + lines)
        writer.write(b"\r\n" + body)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    yield HostPort(*server.sockets[0].getsockname()[:2])
    server.close()


class InvalidStatusTest(TestCase):
    def run_scenario(self, service, handle, scenario, handle_poll=None):
        endpoints: list[Any] = [RawEndpoint("raw", handle, handle_poll)]

        async def main():
            async with Harness({service: endpoints}) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    def check_routes(self, statuses, *, closes):
        """Check all routes, on new connections and after another request on them."""
        responses = [*itertools.product(statuses, (EMPTY, SHORT), (b"", NOT_EXECUTED))]
        connections = []

        async def handle(request):
            await request.read_body()
            connections.append(request.connection)
            if request.body_length == 1:
                request.respond("200", EMPTY, b"")
                return
            status, lines, refusal = responses[request.body_length - 2]
            request.respond(status, lines + refusal, b"no" if lines == SHORT else b"")
            if closes:
                request.writer.close()

        async def scenario(harness):
            seen = []
            for number, response in enumerate(responses):
                connections.clear()
                bodies = (b"x", b"x" * (number + 2), b"x")
                first, second, third = [
                    (await harness.send_request(path, body=body))[0] for body in bodies
                ]
                # The one of an invalid response is not used again.
                expected = 2 if path in KEEPING_ROUTES else 3
                observed = first, second, third, len(set(connections))
                if observed != (200, 502, 200, expected):
                    seen.append((path, *response, *observed))
            return seen, attempt_failures(harness)

        for route in ROUTES:
            path, service = route
            wrong, failures = self.run_scenario(service, handle, scenario)
            self.assertEqual(([], len(responses)), (wrong, failures))

    def test_invalid_statuses(self):
        """Guards against a status that is none at a caller, and against its promise."""
        self.check_routes(STATUSES, closes=False)

    def test_interim_and_malformed_statuses(self):
        """Guards against an interim response that is taken for the answer."""
        self.check_routes(OTHER_STATUSES, closes=True)

    def test_poll_with_an_invalid_status(self):
        """Guards against a report of cached parts from a broken response."""

        async def respond(request):
            body = b'{"epoch": "1", "next": 1, "held": [], "lost": false, "events": []}'
            request.respond(polled[-1], b"Content-Length: %d\r\n" % len(body), body)

        async def scenario(harness):
            await harness.wait_until(lambda: failures(harness) > 0)
            return failures(harness)

        def failures(harness):
            error = EndpointReplyMalformedError.__name__
            return harness.metrics.value("memory_news_failures", error)

        polled = []
        for status in (*STATUSES, "101"):
            polled.append(status)
            self.assertTrue(
                self.run_scenario(ENGINE_SERVICE, respond, scenario, respond)
            )

    def test_store_with_an_invalid_status(self):
        """Guards against a broken reply that confirms a write or begins an era."""
        body = b'{"revision": 1, "lease": 1, "ttl_ms": 1000}'

        async def scenario(status):
            async with reply_server(status, body) as address:
                settings = replace(GATEWAY, store_address=address)
                client = PlatformStore(settings, Metrics())
                with self.assertRaises(StoreUnavailableError):
                    await client.range("")
                for write in (
                    client.commit(Transaction(puts={"k": b""})),
                    client.grant_lease(1.0),
                    client.keep_alive(Lease(1, 1.0, 0)),
                ):
                    with self.assertRaises(StoreOutcomeUnknownError):
                        await write
                await client.close()
                return client.era, client.failing_since is None

        for status in (*STATUSES, "101"):
            self.assertEqual((0, False), asyncio.run(scenario(status)))

    def test_etcd_with_an_invalid_status(self):
        """Guards against a broken reply that confirms a write or a value."""
        body = b'{"header": {"revision": "1"}, "succeeded": true}'

        async def scenario(status):
            async with reply_server(status, body) as address:
                url = f"http://{address.host}:{address.port}"
                client = EtcdStore(StoreSettings(url=url), Metrics())
                with self.assertRaises(StoreUnavailableError):
                    await client.get("k")
                with self.assertRaises(StoreOutcomeUnknownError):
                    await client.commit(Transaction({"k": 0}, {"k": b""}))
                await client.close()

        for status in (*STATUSES, "101"):
            asyncio.run(scenario(status))

    def test_peer_with_an_invalid_status(self):
        """Guards against a configuration or replica from a broken reply."""

        async def scenario(status):
            async with Harness({}) as harness:
                for body in (
                    orjson.dumps(configuration(9)),
                    orjson.dumps({"era": 9, "revision": 9_000, "items": []}),
                ):
                    async with reply_server(status, body) as address:
                        follower: Any = harness.gateway._follower
                        follower._peers = [address].copy
                        await follower.fetch_configuration(address)
                        await follower._query_peer()
                deployment: Any = harness.gateway._directory.deployment
                return deployment.version, harness.gateway.revision < 9_000

        for status in (*STATUSES, "101"):
            self.assertEqual((1, True), asyncio.run(scenario(status)))
