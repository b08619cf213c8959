"""Tests of endpoints that limit the requests a second that they take."""

import asyncio

from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    linked_fleet,
)

LIMIT_PER_S = 0.5
# The most that an endpoint may get in a window, as stated by the users.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * WINDOW_S * LIMIT_PER_S + 5
# Time in which all instances know of a limit.
LEARNING_S = 0.5
REQUEST_INTERVAL_S = 0.04


def limited(endpoint, limit_per_s=LIMIT_PER_S):
    """Return an endpoint that states a limit in its responses."""
    endpoint.stated_headers = {"Server-Limit": str(limit_per_s)}
    return endpoint


def engines(count):
    """Return engines that respond at once."""
    return [
        EmulatedEndpoint(f"e-{number}", lambda _request: Behaviour(events=2))
        for number in range(count)
    ]


class RateLimitTest(TestCase):
    def run_fleet(self, endpoints, scenario, instances=2):
        async def main():
            async with linked_fleet(endpoints, instances) as fleet:
                return await scenario(fleet)

        return asyncio.run(main())

    async def send(self, fleet, count, path="/resume/"):
        """Send requests at all instances in turn; return the statuses."""
        pending = []
        for number in range(count):
            harness = fleet[number % len(fleet)]
            pending.append(asyncio.create_task(harness.send_request(path)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return [status for status, *_ in await asyncio.gather(*pending)]

    def test_requests_beyond_the_limit_of_one_engine_go_to_others(self):
        """Guards against engines that get more requests than they say they take."""
        listed = engines(3)
        limited(listed[0])

        async def scenario(fleet):
            await self.send(fleet, 12)
            await asyncio.sleep(LEARNING_S)
            before = len(listed[0].runs)
            statuses = await self.send(fleet, 80)
            return statuses, len(listed[0].runs) - before

        statuses, runs = self.run_fleet({ENGINE_SERVICE: listed}, scenario)
        self.assertEqual({200}, set(statuses))
        self.assertTrue(runs <= MAX_IN_WINDOW, runs)

    def test_requests_beyond_the_limit_of_a_plain_service(self):
        """Guards against plain endpoints that get more than they say they take."""
        listed = [
            EmulatedEndpoint(f"d-{number}", lambda _request: Behaviour(plain_body=True))
            for number in range(3)
        ]
        limited(listed[0])

        async def scenario(fleet):
            await self.send(fleet, 12, "/look/")
            await asyncio.sleep(LEARNING_S)
            before = len(listed[0].runs)
            statuses = await self.send(fleet, 80, "/look/")
            return statuses, len(listed[0].runs) - before

        statuses, runs = self.run_fleet(
            {PLAIN_SERVICE: listed, ENGINE_SERVICE: engines(1)}, scenario
        )
        self.assertEqual({200}, set(statuses))
        self.assertTrue(runs <= MAX_IN_WINDOW, runs)

    def test_owner_that_is_lost_while_all_engines_state_limits(self):
        """Guards against a new owner, or instances without one, that begin anew."""
        listed = [limited(engine, 1.0) for engine in engines(2)]

        async def scenario(fleet):
            await self.send(fleet, 12)
            await asyncio.sleep(LEARNING_S)
            started_at = asyncio.get_running_loop().time()
            await self.send(fleet, 25)
            owners = [h for h in fleet if h.gateway._placer.owns(("engines", 0))]
            await owners[0].gateway.close()
            rest = [harness for harness in fleet if harness is not owners[0]]
            statuses = await self.send(rest, 40)
            return started_at, statuses

        started_at, statuses = self.run_fleet(
            {ENGINE_SERVICE: listed}, scenario, instances=3
        )
        self.assertTrue({200, 503} >= set(statuses), set(statuses))
        self.assertTrue(200 in statuses, statuses)
        for engine in listed:
            runs = sum(run.started_at > started_at for run in engine.runs)
            self.assertTrue(runs <= 1.5 * WINDOW_S * 1.0 + 5, runs)

    def test_caller_is_told_when_all_engines_state_limits(self):
        """Guards against callers that wait for what surely comes too late."""
        listed = [limited(engine, 0.2) for engine in engines(2)]

        async def scenario(fleet):
            await self.send(fleet, 12)
            await asyncio.sleep(LEARNING_S)
            started_at = asyncio.get_running_loop().time()
            status, headers, _ = await fleet[0].send_request("/resume/")
            elapsed_s = asyncio.get_running_loop().time() - started_at
            return status, float(headers["Retry-After"]), elapsed_s

        status, retry_after_s, elapsed_s = self.run_fleet(
            {ENGINE_SERVICE: listed}, scenario
        )
        self.assertEqual(503, status)
        self.assertTrue(0.5 < retry_after_s <= 2.5, retry_after_s)
        self.assertTrue(elapsed_s < 0.1, elapsed_s)
