"""Tests of what an overloaded gateway spends on the requests that it refuses."""

import asyncio
import gc
import socket
import time
from collections import Counter

from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    API_KEY,
    HOST,
    PLAIN_SERVICE,
    Harness,
)

REQUESTS = 400
CALLER_TIMEOUT_S = 5.0
UNKNOWN_ROUTE = "/unknown/1"
# A refusal before the parser may cost this part of opening a connection and parsing its
# request, which is the least that any other response costs.
MAX_COST_RATIO = 0.5
# The limit of an organisation falls gradually.
MIN_REFUSED_RATIO = 0.9


def send_one_by_one(port, count):
    """Send requests on a connection each; return how often each status came."""
    head = (
        f"GET {UNKNOWN_ROUTE} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Token {API_KEY}\r\nX-Borageworks-Attempt-Id: a\r\n\r\n"
    ).encode()
    statuses: Counter[bytes] = Counter()
    for _ in range(count):
        with socket.create_connection(("127.0.0.1", port), CALLER_TIMEOUT_S) as caller:
            caller.sendall(head)
            statuses[caller.recv(65_536)[9:12]] += 1
    return statuses


class RefusalCostTest(TestCase):
    def setUp(self):
        """Keep objects of former tests out of collections that are measured."""
        super().setUp()
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)

    def measure(self, lag_limit_s):
        """Return the processor seconds of a request and the statuses received."""

        async def main():
            endpoint = EmulatedEndpoint("d", lambda _run: Behaviour(plain_body=True))
            async with Harness(
                {PLAIN_SERVICE: [endpoint]}, lag_limit_s=lag_limit_s
            ) as harness:
                port = harness.ports[0]
                await asyncio.to_thread(send_one_by_one, port, REQUESTS)
                # The gateway runs in this thread, the caller in another one.
                started = time.thread_time()
                statuses = await asyncio.to_thread(send_one_by_one, port, REQUESTS)
                return (time.thread_time() - started) / REQUESTS, statuses

        return asyncio.run(main())

    def test_refusals_cost_less_than_parsing_requests(self):
        """Guards against overloaded instances that are kept busy by their refusals."""
        parsed_s, parsed = self.measure(float("inf"))
        refused_s, refused = self.measure(-1.0)
        self.assertEqual({b"404": REQUESTS}, parsed)
        self.assertTrue(refused[b"503"] >= MIN_REFUSED_RATIO * REQUESTS, refused)
        ratio = refused_s / parsed_s
        self.assertTrue(ratio <= MAX_COST_RATIO, (ratio, refused_s, parsed_s))
