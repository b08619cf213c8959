"""Tests of instances that receive store updates from readers, not from the store."""

import asyncio
from contextlib import AsyncExitStack
from unittest import mock

from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
    configuration,
)
from borageworks_emulator.platform.tests.test_faults import (
    configuration_without_route,
    wait_until,
)

INSTANCE_COUNT = 5
READER_COUNT = 2
OBSERVATION_S = 4.0
# `bounds.config_apply_ms` in the settings of the harness.
CONFIG_APPLY_LIMIT_S = 2.0


class FeedTest(TestCase):
    def run_scenario(self, scenario):
        async def main():
            endpoint = EmulatedEndpoint(
                "i-1", lambda _request: Behaviour(plain_body=True)
            )
            endpoints = {
                PLAIN_SERVICE: [endpoint],
                ENGINE_SERVICE: [EmulatedEndpoint("i-e")],
            }
            async with AsyncExitStack() as stack:
                first = await stack.enter_async_context(Harness(endpoints))
                fleet = [first]
                for number in range(2, INSTANCE_COUNT + 1):
                    harness = Harness({}, name=f"edge-{number}", store=first.store)
                    fleet.append(await stack.enter_async_context(harness))
                for harness in fleet:
                    await harness.wait_until_linked(INSTANCE_COUNT)

                async def all_updated():
                    return (
                        len(self.updated_by_readers(fleet))
                        == INSTANCE_COUNT - READER_COUNT
                    )

                await wait_until(all_updated, 10.0)
                return await scenario(fleet)

        # Lowers the threshold so that a failure domain of this size uses the feed.
        with mock.patch(
            "borageworks.gateway.fleet.MIN_DOMAIN_INSTANCES_FOR_READERS", INSTANCE_COUNT
        ):
            return asyncio.run(main())

    @staticmethod
    def updated_by_readers(fleet):
        return [harness for harness in fleet if harness.gateway.updated_by_readers]

    def test_only_readers_call_the_store(self):
        """Guards against store calls that grow with the number of instances."""

        async def scenario(fleet):
            await asyncio.sleep(OBSERVATION_S)
            calls_before = [
                harness.metrics.value("store_calls", "watch") for harness in fleet
            ]
            for version in range(2, 6):
                await fleet[0].configure(configuration_without_route(version, "book"))
                await asyncio.sleep(0.5)
            for harness in fleet:
                await harness.wait_until_current()
            calls_after = [
                harness.metrics.value("store_calls", "watch") for harness in fleet
            ]
            return [
                calls_after[number] - calls_before[number]
                for number, harness in enumerate(fleet)
                if harness.gateway.updated_by_readers
            ]

        self.assertEqual(
            [0] * (INSTANCE_COUNT - READER_COUNT), self.run_scenario(scenario)
        )

    def test_change_is_applied_in_time_when_the_readers_fail(self):
        """Guards against waiting for readers that cannot reach the store."""

        async def scenario(fleet):
            non_readers = self.updated_by_readers(fleet)
            readers = [harness for harness in fleet if harness not in non_readers]
            for harness in readers:
                # The readers reach neither the store nor their peers.
                harness.platform_store._base_url = "http://127.0.0.1:1"
                harness.gateway._follower._peers = list
            await asyncio.sleep(0.1)
            await fleet[0].configure(configuration_without_route(2, "book"))

            async def change_applied():
                return all(
                    [
                        (await harness.send_request("/book/"))[0] == 404
                        for harness in non_readers
                    ]
                )

            elapsed_s = await wait_until(change_applied)
            await fleet[0].configure(configuration(3))
            return elapsed_s

        self.assertTrue(self.run_scenario(scenario) < CONFIG_APPLY_LIMIT_S)
