"""Tests of instances that are told what the store holds by others."""

import asyncio
from contextlib import AsyncExitStack
from unittest import mock

from testtools import TestCase

from borageworks_emulator.platform.engine import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    DESK,
    ENGINES,
    Harness,
    configuration,
)
from borageworks_emulator.platform.tests.test_faults import until, without_route

INSTANCES = 5
READERS = 2
WATCHED_S = 4.0
# The configuration's delay in the stand-in's settings.
APPLY_S = 2.0


class FeedTest(TestCase):
    def play(self, scenario):
        async def main():
            desk = EmulatedEndpoint("i-1", lambda _request: Behaviour(plain=True))
            endpoints = {DESK: [desk], ENGINES: [EmulatedEndpoint("i-e")]}
            async with AsyncExitStack() as stack:
                first = await stack.enter_async_context(Harness(endpoints))
                fleet = [first]
                for number in range(2, INSTANCES + 1):
                    other = Harness({}, name=f"edge-{number}", store=first.store)
                    fleet.append(await stack.enter_async_context(other))
                for harness in fleet:
                    await harness.linked(INSTANCES)

                async def updated():
                    return len(self.updated_by_readers(fleet)) == INSTANCES - READERS

                await until(updated, 10.0)
                return await scenario(fleet)

        # A failure domain of the test's size is updated by readers.
        with mock.patch(
            "borageworks.gateway.fleet.MIN_DOMAIN_INSTANCES_FOR_READERS", INSTANCES
        ):
            return asyncio.run(main())

    @staticmethod
    def updated_by_readers(fleet):
        return [one for one in fleet if one.gateway.updated_by_readers]

    def test_only_readers_call_the_store(self):
        """Guards against store calls that grow with the number of instances."""

        async def scenario(fleet):
            await asyncio.sleep(WATCHED_S)
            calls = [one.metrics.value("store_calls", "watch") for one in fleet]
            for version in range(2, 6):
                await fleet[0].configure(without_route(version, "book"))
                await asyncio.sleep(0.5)
            for one in fleet:
                await one.current()
            after = [one.metrics.value("store_calls", "watch") for one in fleet]
            return [
                after[number] - calls[number]
                for number, one in enumerate(fleet)
                if one.gateway.updated_by_readers
            ]

        self.assertEqual([0] * (INSTANCES - READERS), self.play(scenario))

    def test_change_is_in_force_in_time_when_the_readers_are_lost(self):
        """Guards against instances that wait for readers that cannot read."""

        async def scenario(fleet):
            updated = self.updated_by_readers(fleet)
            readers = [one for one in fleet if one not in updated]
            for one in readers:
                # The store turns these away, and nobody tells the others.
                one.platform_store._base_url = "http://127.0.0.1:1"
                one.gateway._follower._peers = list
            await asyncio.sleep(0.1)
            await fleet[0].configure(without_route(2, "book"))

            async def in_force():
                return all([(await one.ask("/book/"))[0] == 404 for one in updated])

            taken = await until(in_force)
            await fleet[0].configure(configuration(3))
            return taken

        self.assertTrue(self.play(scenario) < APPLY_S)
