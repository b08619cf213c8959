"""Tests of the gateway with endpoints whose responses never end."""

import asyncio
import time

import aiohttp
from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import ENGINE_SERVICE, PLAIN_SERVICE, Harness
from borageworks_emulator.platform.unbounded_response import (
    UNBOUNDED_RESPONSES,
    UnboundedResponseEndpoint,
)

# The callers' timeout is 3 s; the gateway must abort an unbounded response well before.
ABORT_LIMIT_S = 1.0
# Limit of bytes sent before the abort, including those in socket buffers.
SENT_LIMIT_BYTES = 24 * 1_048_576
# Route names and their services.
PLAIN_ROUTE = ("look", PLAIN_SERVICE)
RESUMABLE_ROUTE = ("resume", ENGINE_SERVICE)
NON_RESUMABLE_ROUTE = ("once", ENGINE_SERVICE)


def kv_events_failed(harness):
    """Return whether the gateway gave up reading an engine's KV cache events."""
    return harness.metrics.value("memory_news_failures", "EndpointReplyMalformedError")


class UnboundedResponseTest(TestCase):
    def run_scenario(self, kind, service, scenario, others=()):
        async def main():
            unbounded_endpoint = UnboundedResponseEndpoint("bad", kind)
            await unbounded_endpoint.start()
            try:
                async with Harness({service: list(others)}) as harness:
                    await harness.store.put(
                        "servers/bad", unbounded_endpoint.entry(service)
                    )
                    await harness.wait_until_current()
                    return await scenario(harness, unbounded_endpoint)
            finally:
                await unbounded_endpoint.stop()

        return asyncio.run(main())

    def check_all_kinds(self, path, service):
        async def measure(harness, unbounded_endpoint):
            started = time.monotonic()
            try:
                status, _, _ = await harness.send_request(f"/{path}/1")
            except aiohttp.ClientPayloadError:
                status = None
            return (
                status,
                time.monotonic() - started,
                unbounded_endpoint.request_count,
                unbounded_endpoint.sent_bytes,
            )

        for kind in UNBOUNDED_RESPONSES:
            status, elapsed_s, request_count, sent_bytes = self.run_scenario(
                kind, service, measure
            )
            observed = kind, status, elapsed_s, request_count, sent_bytes
            self.assertTrue(request_count > 0 and elapsed_s < ABORT_LIMIT_S, observed)
            self.assertTrue(sent_bytes < SENT_LIMIT_BYTES, observed)
            # A stream that has started is cut, which shows that it is incomplete.
            expected = {503} if kind == "refusal_body" else {502, None}
            self.assertTrue(status in expected, observed)

    def test_plain_request_fails_early(self):
        """Guards against unbounded responses that exhaust memory or time."""
        self.check_all_kinds(*PLAIN_ROUTE)

    def test_resumable_stream_fails_early(self):
        """Guards against streams without events that exhaust memory."""
        self.check_all_kinds(*RESUMABLE_ROUTE)

    def test_non_resumable_stream_fails_early(self):
        """Guards against forwarding an unbounded stream that contains no events."""
        self.check_all_kinds(*NON_RESUMABLE_ROUTE)

    def test_request_is_retried_at_another_endpoint(self):
        """Guards against a request that fails with a broken endpoint."""

        async def send_requests(harness, _unbounded_endpoint):
            responses = [
                await harness.send_request(f"/look/{number}") for number in range(6)
            ]
            return [status for status, _, _ in responses]

        for kind in UNBOUNDED_RESPONSES:
            regular_endpoint = EmulatedEndpoint(
                "good", lambda _request: Behaviour(plain_body=True)
            )
            statuses = self.run_scenario(
                kind, PLAIN_SERVICE, send_requests, [regular_endpoint]
            )
            self.assertEqual({200}, set(statuses), kind)

    def test_unbounded_kv_cache_list_is_aborted(self):
        """Guards against a list of cached prompt parts that exhausts memory."""

        async def main():
            unbounded_endpoint = UnboundedResponseEndpoint(
                "bad", "stream_body", serves_kv_events=False
            )
            await unbounded_endpoint.start()
            try:
                async with Harness({}) as harness:
                    await harness.store.put(
                        "servers/bad", unbounded_endpoint.entry(ENGINE_SERVICE)
                    )
                    await harness.wait_until_current()
                    async with asyncio.timeout(ABORT_LIMIT_S):
                        while not kv_events_failed(harness):  # noqa: ASYNC110
                            await asyncio.sleep(0.01)
                    return unbounded_endpoint.sent_bytes
            finally:
                await unbounded_endpoint.stop()

        self.assertTrue(asyncio.run(main()) < SENT_LIMIT_BYTES)
