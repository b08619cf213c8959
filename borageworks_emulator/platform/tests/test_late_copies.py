"""Tests of endpoints that send a second copy of a response, late."""

import asyncio

from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
)

REQUESTS = 6


class LateCopyTest(TestCase):
    def send_requests(self, behaviour, interval_s):
        """Return ids, statuses and bodies of successive requests to one endpoint."""

        async def main():
            endpoints = {
                PLAIN_SERVICE: [EmulatedEndpoint("d", lambda _: behaviour)],
                ENGINE_SERVICE: [EmulatedEndpoint("e")],
            }
            async with Harness(endpoints) as harness:
                results = []
                for _ in range(REQUESTS):
                    headers = harness.request_headers()
                    async with harness.session.get("/look/", headers=headers) as reply:
                        request_id = headers["X-Borageworks-Attempt-Id"]
                        results.append((request_id, reply.status, await reply.text()))
                    await asyncio.sleep(interval_s)
                return results

        return asyncio.run(main())

    def test_copy_on_an_idle_connection(self):
        """Guards against passing the copy on, and against failing the next request."""
        for copy_delay_s in (0.0, 0.02):
            behaviour = Behaviour(
                plain_body=True, with_request_id=True, copy_delay_s=copy_delay_s
            )
            for request_id, status, body in self.send_requests(behaviour, 0.1):
                self.assertEqual((200, f"by d{request_id}"), (status, body))

    def test_copy_on_a_connection_that_is_in_use_again(self):
        """Guards against passing the copy on as the response to the next request."""
        behaviour = Behaviour(
            plain_body=True,
            with_request_id=True,
            copy_delay_s=0.03,
            response_delay_s=0.05,
        )
        for request_id, status, body in self.send_requests(behaviour, 0.0):
            if status == 200:
                self.assertEqual(f"by d{request_id}", body)
            else:
                self.assertEqual(502, status)
