"""Tests of the emulated plain service."""

import asyncio

import aiohttp
import testtools

from borageworks.commands.loop import run_loop
from borageworks_emulator.analysis import count_repeated_keys
from borageworks_emulator.recording import RunOutcome
from borageworks_emulator.service import (
    EmulatedService,
    ServiceProfile,
    expected_response,
)
from borageworks_emulator.tests.waiting import wait_until


def _run_with_service(case, profile=None):
    async def main():
        service = EmulatedService("s1", "orders", profile or ServiceProfile())
        await service.start()
        try:
            async with aiohttp.ClientSession(
                f"http://127.0.0.1:{service.port}"
            ) as session:
                return await case(service, session)
        finally:
            await service.stop()

    # The commands run on uvloop, whose transports differ from those of asyncio.
    return run_loop(main())


class ServiceTest(testtools.TestCase):
    def test_response_and_record_match_the_request(self):
        """Guards against runs that cannot be matched with their request."""

        async def case(service, session):
            async with session.put(
                "/orders/7?x=1",
                data=b'{"trace":"9","duration_ms":5}',
                headers={
                    "X-Request-Id": "r",
                    "X-Organisation": "org-3",
                    "Idempotency-Key": "k",
                },
            ) as response:
                return await response.read(), response.headers, service.recording

        raw, headers, recording = _run_with_service(case)
        self.assertEqual(
            expected_response("PUT", "/orders/7?x=1", b'{"trace":"9","duration_ms":5}'),
            raw,
        )
        self.assertEqual("r", headers["X-Request-Id"])
        [run] = recording.runs
        self.assertEqual(
            ("org-3", "r", "k", "9", RunOutcome.COMPLETE),
            (run.organisation, run.request_id, run.key, run.tag, run.outcome),
        )
        self.assertAlmostEqual(run.units, sum(recording.units["org-3"].values()))

    def test_capacity_limits_concurrent_runs(self):
        """Guards against a service that exceeds its capacity."""

        async def case(service, session):
            max_running = 0

            async def send_request():
                nonlocal max_running
                async with session.post("/", json={"duration_ms": 5}) as response:
                    await response.read()
                    max_running = max(max_running, service.running)

            await asyncio.gather(*(send_request() for _ in range(12)))
            return max_running, len(service.recording.runs)

        max_running, runs = _run_with_service(case, ServiceProfile(capacity=3))
        self.assertEqual(12, runs)
        self.assertTrue(max_running <= 3)

    def test_run_outlives_its_caller(self):
        """Guards against unrecorded runs that take effect after a disconnect."""

        async def case(service, session):
            call = asyncio.create_task(
                session.post(
                    "/", json={"duration_ms": 50}, headers={"Idempotency-Key": "k"}
                )
            )
            await wait_until(lambda: service.running)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await wait_until(lambda: not service.running)
            async with session.post(
                "/", json={"duration_ms": 1}, headers={"Idempotency-Key": "k"}
            ) as response:
                await response.read()
            return service.recording.runs

        runs = _run_with_service(case)
        self.assertEqual(RunOutcome.COMPLETE, runs[0].outcome)
        self.assertEqual(1, count_repeated_keys(runs))

    def test_http_client_detects_broken_responses(self):
        """Guards against cut and garbage faults that have no effect."""

        async def case(service, session):
            outcomes = []
            for fault in ("cut_every", "garbage_every"):
                setattr(service.faults, fault, 1)
                try:
                    async with session.post("/", json={"duration_ms": 1}) as response:
                        outcomes.append(await response.read())
                except aiohttp.ClientError as error:
                    outcomes.append(type(error))
                setattr(service.faults, fault, 0)
            return outcomes

        for outcome in _run_with_service(case):
            self.assertTrue(issubclass(outcome, aiohttp.ClientError))

    def test_crash_breaks_running_requests(self):
        """Guards against a crash after which callers still receive a response."""

        async def case(service, session):
            service.faults.crash_marker = b"poison"
            service.faults.down_s = 0.05
            results = await asyncio.gather(
                session.post("/", json={"duration_ms": 5000}),
                session.post("/", json={"text": "poison"}),
                return_exceptions=True,
            )
            await wait_until(lambda: not service.down)
            async with session.post("/", json={"duration_ms": 1}) as response:
                return results, response.status

        results, status = _run_with_service(case)
        for result in results:
            self.assertIsInstance(result, aiohttp.ClientError)
        self.assertEqual(200, status)
