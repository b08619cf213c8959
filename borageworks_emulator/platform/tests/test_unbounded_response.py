"""Tests of endpoints that send bytes that are no answer and never end."""

import asyncio
import time

import aiohttp
from testtools import TestCase

from borageworks_emulator.platform.unbounded_response import ENDLESS, EndlessEndpoint
from borageworks_emulator.platform.engine import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import DESK, ENGINES, Harness

# Callers of the tests wait for 3 s; an endless answer is given up long before that.
LIMIT_S = 1.0
# What the gateway may take of an endless answer, with what lies in the sockets between.
LIMIT_BYTES = 24 * 1_048_576
# Routes and their services.
PLAIN = ("look", DESK)
STREAM = ("resume", ENGINES)
SINGLE_STREAM = ("once", ENGINES)


def given_up(harness):
    """Return whether the news of an engine's memory were given up."""
    return harness.metrics.value("memory_news_failures", "EndpointReplyMalformedError")


class EndlessAnswerTest(TestCase):
    def play(self, kind, service, scenario, others=()):
        async def main():
            bad = EndlessEndpoint("bad", kind)
            await bad.start()
            try:
                async with Harness({service: list(others)}) as harness:
                    await harness.store.put("servers/bad", bad.entry(service))
                    await harness.current()
                    return await scenario(harness, bad)
            finally:
                await bad.stop()

        return asyncio.run(main())

    def check_each_kind(self, path, service):
        async def ask(harness, bad):
            began = time.monotonic()
            try:
                status, _, _ = await harness.ask(f"/{path}/1")
            except aiohttp.ClientPayloadError:
                status = None
            return status, time.monotonic() - began, bad.asked, bad.sent_bytes

        for kind in ENDLESS:
            status, taken_s, asked, sent = self.play(kind, service, ask)
            seen = kind, status, taken_s, asked, sent
            self.assertTrue(asked > 0 and taken_s < LIMIT_S, seen)
            self.assertTrue(sent < LIMIT_BYTES, seen)
            # A cut stream shows that it is not complete.
            expected = {503} if kind == "refusal_body" else {502, None}
            self.assertTrue(status in expected, seen)

    def test_plain_request_fails_at_once(self):
        """Guards against answers without end that take all memory or time."""
        self.check_each_kind(*PLAIN)

    def test_resumable_stream_fails_at_once(self):
        """Guards against streams without events that fill the memory."""
        self.check_each_kind(*STREAM)

    def test_stream_that_cannot_be_resumed_fails_at_once(self):
        """Guards against bytes that are no events being passed on without end."""
        self.check_each_kind(*SINGLE_STREAM)

    def test_request_goes_on_at_another_endpoint(self):
        """Guards against a request that is lost with a broken endpoint."""

        async def ask(harness, _bad):
            answers = [await harness.ask(f"/look/{number}") for number in range(6)]
            return [status for status, _, _ in answers]

        for kind in ENDLESS:
            good = EmulatedEndpoint("good", lambda _request: Behaviour(plain=True))
            statuses = self.play(kind, DESK, ask, [good])
            self.assertEqual({200}, set(statuses), kind)

    def test_engine_whose_news_of_memory_never_end(self):
        """Guards against a list of kept parts that fills the memory."""

        async def main():
            bad = EndlessEndpoint("bad", "stream_body", memory_news=False)
            await bad.start()
            try:
                async with Harness({}) as harness:
                    await harness.store.put("servers/bad", bad.entry(ENGINES))
                    await harness.current()
                    async with asyncio.timeout(LIMIT_S):
                        while not given_up(harness):  # noqa: ASYNC110
                            await asyncio.sleep(0.01)
                    return bad.sent_bytes
            finally:
                await bad.stop()

        self.assertTrue(asyncio.run(main()) < LIMIT_BYTES)
