"""Tests of requests that end because memory is short."""

import asyncio
from unittest import mock

from testtools import TestCase

from borageworks.api import request_body
from borageworks.receiving.body_budget import BodyAllowance
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import PLAIN_SERVICE, Harness

BODY_BYTES = 300_000
receive_body = request_body._receive


async def receive_and_end(http_request, max_bytes, allowance, on_progress):
    """Receive a body that is chosen to be ended when it has just become complete."""
    body = await receive_body(http_request, max_bytes, allowance, on_progress)
    allowance._budget._end(allowance._holding)
    return body


async def end_response(self, _size):
    """Deny memory for a response that gives way to others."""
    self._holding.ended = True
    return False


class EndedRequestsTest(TestCase):
    def send(self, path, size):
        """Send a request; return its status, runs and failures of the endpoint."""

        async def main():
            endpoint = EmulatedEndpoint("d", lambda _run: Behaviour(plain_body=True))
            async with Harness({PLAIN_SERVICE: [endpoint]}) as harness:
                status, _, _ = await harness.send_request(path, body=b"x" * size)
                failures = [
                    key
                    for key in harness.metrics.counters
                    if key[0] == "attempt_failures"
                ]
                return status, len(endpoint.runs), failures

        return asyncio.run(main())

    def test_body_that_is_complete_when_it_is_chosen(self):
        """Guards against a request that runs and whose response is thrown away."""
        with mock.patch.object(request_body, "_receive", receive_and_end):
            self.assertEqual((503, 0, []), self.send("/book/1", BODY_BYTES))

    def test_response_that_gives_way(self):
        """Guards against a shortage of memory that counts against an endpoint."""
        with mock.patch.object(BodyAllowance, "take_response", end_response):
            self.assertEqual((502, 1, []), self.send("/look/1", 1))
