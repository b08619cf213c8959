"""Tests of endpoints that say that they leave, or that they want a pause."""

import asyncio

from testtools import TestCase

from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    linked_fleet,
)
from borageworks_emulator.platform.store import StoreFault

# Time in which what an endpoint states is known to all instances.
LEARNING_S = 0.3
PAUSE_S = 1.5
# Time in which each engine reports what it has cached.
REPORT_INTERVAL_S = 2.0
# The most requests of one instance that may reach an endpoint during a pause.
MAX_IN_PAUSE = 2


def desks(count):
    """Return endpoints of the plain service."""
    return [
        EmulatedEndpoint(f"d-{number}", lambda _request: Behaviour(plain_body=True))
        for number in range(count)
    ]


class NoticeTest(TestCase):
    def run_fleet(self, listed, scenario, instances=2):
        endpoints = {PLAIN_SERVICE: listed, ENGINE_SERVICE: [EmulatedEndpoint("e-1")]}

        async def main():
            async with linked_fleet(endpoints, instances) as fleet:
                return await scenario(fleet)

        return asyncio.run(main())

    async def send(self, harness, count, path="/look/"):
        """Send requests at the same time; return the statuses."""
        calls = [harness.send_request(path) for _ in range(count)]
        return [status for status, *_ in await asyncio.gather(*calls)]

    def test_endpoint_that_leaves_while_the_store_says_that_it_serves(self):
        """Guards against requests to an endpoint that has said that it leaves."""
        listed = desks(2)

        async def scenario(fleet):
            await self.send(fleet[0], 8)
            listed[0].stated_headers = {"Server-Leaving": "1"}
            fleet[0].store.fault = StoreFault.SILENT
            await self.send(fleet[0], 12)
            await asyncio.sleep(LEARNING_S)
            before = len(listed[0].runs)
            statuses = [await self.send(harness, 8) for harness in fleet]
            return before, statuses, len(listed[0].runs)

        before, statuses, after = self.run_fleet(listed, scenario)
        self.assertEqual([[200] * 8] * 2, statuses)
        self.assertEqual(before, after)

    def test_owner_that_does_not_know_that_an_endpoint_leaves(self):
        """Guards against an instance that sends what an owner has placed too late."""
        listed = desks(2)

        async def scenario(fleet):
            # No message about endpoints reaches another instance.
            for harness in fleet:
                harness.gateway._notices._share = lambda _now: None
            listed[0].stated_headers = {"Server-Leaving": "1"}
            for harness in fleet:
                await self.send(harness, 12)
            before = len(listed[0].runs)
            statuses = [await self.send(harness, 8) for harness in fleet]
            retries = sum(
                harness.metrics.value("retries_denied", "budget") for harness in fleet
            )
            return before, statuses, len(listed[0].runs), retries

        before, statuses, after, retries = self.run_fleet(listed, scenario)
        self.assertEqual([[200] * 8] * 2, statuses)
        self.assertEqual((before, 0), (after, retries))

    def test_endpoint_that_starts_again_is_not_leaving(self):
        """Guards against an endpoint that is left out since a former one had left."""
        listed = desks(1)

        async def scenario(fleet):
            listed[0].stated_headers = {"Server-Leaving": "1"}
            await self.send(fleet[0], 2)
            refused = await self.send(fleet[0], 2)
            listed[0].stated_headers = {}
            await fleet[0].store.put(
                "servers/d-0",
                listed[0].entry(PLAIN_SERVICE).replace(b'"seq":1', b'"seq":1,"born":7'),
            )
            for harness in fleet:
                await harness.wait_until_current()
            return refused, await self.send(fleet[1], 2)

        refused, served = self.run_fleet(listed, scenario)
        self.assertEqual(([503, 503], [200, 200]), (refused, served))

    def test_endpoint_that_wants_a_pause_of_one_instance(self):
        """Guards against requests to an endpoint that has asked for a pause."""
        listed = desks(2)
        pausing: dict[str, bool] = {}

        def behave(request):
            attempt = request.headers["X-Borageworks-Attempt-Id"]
            refuses = attempt.startswith("edge-1-") and pausing.get("on", False)
            return Behaviour(plain_body=True, not_run=refuses)

        listed[0].behaviour_of = behave

        async def scenario(fleet):
            pausing["on"] = True
            listed[0].stated_headers = {"Retry-After": str(PAUSE_S)}
            while not listed[0].refused:
                await self.send(fleet[0], 2)
            await asyncio.sleep(LEARNING_S)
            before = listed[0].refused
            statuses = await self.send(fleet[0], 16)
            during = listed[0].refused - before
            others = len(listed[0].runs)
            statuses += await self.send(fleet[1], 16)
            others = len(listed[0].runs) - others
            pausing["on"] = False
            await asyncio.sleep(PAUSE_S)
            after = len(listed[0].runs)
            statuses += await self.send(fleet[0], 16)
            return statuses, during, others, len(listed[0].runs) - after

        statuses, during, others, after = self.run_fleet(listed, scenario)
        self.assertEqual({200}, set(statuses))
        self.assertTrue(during <= MAX_IN_PAUSE, during)
        # Other instances use it, and this one does again after the pause.
        self.assertTrue(others > 0 and after > 0, (others, after))

    def test_endpoint_that_leaves_in_a_response_that_breaks_the_protocol(self):
        """Guards against a statement that is lost with an unusable response."""
        listed = desks(2)
        listed[0].behaviour_of = lambda _request: Behaviour(status=503)
        listed[0].stated_headers = {"Server-Leaving": "1"}

        async def scenario(fleet):
            while not listed[0].runs:
                await self.send(fleet[0], 2)
            await asyncio.sleep(LEARNING_S)
            before = len(listed[0].runs)
            await self.send(fleet[0], 16)
            return before, len(listed[0].runs)

        before, after = self.run_fleet(listed, scenario, instances=1)
        self.assertEqual(before, after)

    def test_engine_that_says_that_it_leaves_in_a_report_of_its_cache(self):
        """Guards against requests to an engine whose report says that it leaves."""
        engines = [EmulatedEndpoint(f"e-{number}") for number in range(2)]

        async def main():
            async with linked_fleet({ENGINE_SERVICE: engines}, 1) as fleet:
                engines[0].stated_headers = {"Server-Leaving": "1"}
                await asyncio.sleep(REPORT_INTERVAL_S)
                statuses = await self.send(fleet[0], 4, "/resume/")
                return statuses, len(engines[0].runs)

        statuses, runs = asyncio.run(main())
        self.assertEqual(([200] * 4, 0), (statuses, runs))

    def test_pause_that_begins_while_connections_are_opened(self):
        """Guards against requests that are sent long after a pause has begun."""
        listed = desks(2)
        opening = asyncio.Event()

        async def scenario(fleet):
            await self.send(fleet[0], 8)
            connector = fleet[0].gateway._upstream._unpooled.connector
            create = connector.connect

            async def connect(*arguments, **options):
                await opening.wait()
                return await create(*arguments, **options)

            connector.connect = connect
            sent = asyncio.create_task(self.send(fleet[0], 8, "/book/"))
            await asyncio.sleep(LEARNING_S)
            before = len(listed[0].runs)
            notices = fleet[0].gateway._notices
            endpoint = fleet[0].gateway._directory.endpoints["d-0"]
            notices.observe(endpoint, EndpointNotice(pause_s=5.0), 0.0)
            opening.set()
            return await sent, len(listed[0].runs) - before, len(listed[1].runs)

        statuses, paused, others = self.run_fleet(listed, scenario, instances=1)
        self.assertEqual(([200] * 8, 0), (statuses, paused))
        self.assertTrue(others >= 8, others)

    def test_all_endpoints_want_a_pause(self):
        """Guards against callers that come back before any endpoint takes them."""
        listed = desks(2)
        for endpoint in listed:
            endpoint.behaviour_of = lambda _request: Behaviour(not_run=True)
            endpoint.stated_headers = {"Retry-After": "5"}

        async def scenario(fleet):
            for _ in range(4):
                await self.send(fleet[0], 4)
            status, headers, _ = await fleet[0].send_request("/look/")
            return status, float(headers["Retry-After"])

        status, retry_after_s = self.run_fleet(listed, scenario, instances=1)
        self.assertEqual(503, status)
        self.assertTrue(3.0 < retry_after_s <= 5.0, retry_after_s)
