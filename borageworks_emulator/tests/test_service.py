"""Tests of the emulated plain service."""

import asyncio

import aiohttp
import testtools

from borageworks.commands.loop import run_loop
from borageworks_emulator.analysis import doubled
from borageworks_emulator.recording import RunOutcome
from borageworks_emulator.service import (
    EmulatedService,
    ServiceProfile,
    expected_answer,
)
from borageworks_emulator.tests.waiting import until


def _run_with_service(body, profile=None):
    async def main():
        service = EmulatedService("s1", "orders", profile or ServiceProfile())
        await service.start()
        try:
            async with aiohttp.ClientSession(
                f"http://127.0.0.1:{service.port}"
            ) as session:
                return await body(service, session)
        finally:
            await service.stop()

    # The loop of the commands: its transports differ from those of asyncio.
    return run_loop(main())


class ServiceTest(testtools.TestCase):
    def test_answer_and_record_match_the_request(self):
        """Guards against runs that cannot be traced to their caller."""

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
            expected_answer("PUT", "/orders/7?x=1", b'{"trace":"9","duration_ms":5}'),
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
        """Guards against a service that runs more than its capacity."""

        async def case(service, session):
            largest = 0

            async def one():
                nonlocal largest
                async with session.post("/", json={"duration_ms": 5}) as response:
                    await response.read()
                    largest = max(largest, service.running)

            await asyncio.gather(*(one() for _ in range(12)))
            return largest, len(service.recording.runs)

        largest, runs = _run_with_service(case, ServiceProfile(capacity=3))
        self.assertEqual(12, runs)
        self.assertTrue(largest <= 3)

    def test_run_outlives_its_caller(self):
        """Guards against a lost caller that hides a run that took effect."""

        async def case(service, session):
            call = asyncio.create_task(
                session.post(
                    "/", json={"duration_ms": 50}, headers={"Idempotency-Key": "k"}
                )
            )
            await until(lambda: service.running)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await until(lambda: not service.running)
            async with session.post(
                "/", json={"duration_ms": 1}, headers={"Idempotency-Key": "k"}
            ) as response:
                await response.read()
            return service.recording.runs

        runs = _run_with_service(case)
        self.assertEqual(RunOutcome.COMPLETE, runs[0].outcome)
        self.assertEqual(1, doubled(runs))

    def test_broken_answers_are_noticed_by_an_http_client(self):
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
        """Guards against a crash that answers its callers."""

        async def case(service, session):
            service.faults.crash_marker = b"poison"
            service.faults.down_s = 0.05
            results = await asyncio.gather(
                session.post("/", json={"duration_ms": 5000}),
                session.post("/", json={"text": "poison"}),
                return_exceptions=True,
            )
            await until(lambda: not service.down)
            async with session.post("/", json={"duration_ms": 1}) as response:
                return results, response.status

        results, status = _run_with_service(case)
        for result in results:
            self.assertIsInstance(result, aiohttp.ClientError)
        self.assertEqual(200, status)
