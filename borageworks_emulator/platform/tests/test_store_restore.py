"""Tests of a store that comes back from an older copy."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from borageworks.gateway.fleet import LINK_KEY
from borageworks.wire.messages import CrashTrait
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

# `bounds.contact_ms` and `bounds.config_apply_ms` in the settings of the harness.
CONFIG_APPLY_LIMIT_S = 3.0 + 2.0
# Time in which two instances that know each other open a link.
LINK_OPENING_S = 2.0
MESSAGES = 10
# Longer than the watch call that an instance may have open when it is cut off.
CUT_OFF_S = 4.5


def desk(name):
    """Return an endpoint of the plain service."""
    return EmulatedEndpoint(name, lambda _request: Behaviour(plain_body=True))


async def link_secret(store):
    """Wait for the secret of the links and return its key in the store."""
    async with asyncio.timeout(LINK_OPENING_S):
        while True:
            for key in store.keys:
                if key.endswith(LINK_KEY):
                    return key
            await asyncio.sleep(0.02)


async def connected_instances(harness):
    """Send messages to all other instances; return those that a link reaches."""
    fleet = harness.gateway._fleet
    for _ in range(MESSAGES):
        fleet.broadcast(CrashTrait(b"", 0))
        await asyncio.sleep(LINK_OPENING_S / MESSAGES)
    return set(fleet._links.connected)


class StoreRestoreTest(TestCase):
    def run_scenario(self, scenario):
        endpoints = {
            PLAIN_SERVICE: [desk("d-1")],
            ENGINE_SERVICE: [EmulatedEndpoint("e-1")],
        }

        async def main():
            async with Harness(endpoints) as harness:
                return await scenario(harness)

        return asyncio.run(main())

    def test_configuration_written_after_a_restore(self):
        """Guards against changes that are dropped since their revisions are lower."""

        async def scenario(harness):
            copy = harness.store.copy()
            for version in range(2, 8):
                await harness.configure(configuration(version))
            await harness.wait_until_current()
            await harness.store.restore(copy)
            await harness.configure(configuration_without_route(8, "book"))

            async def applied():
                return (await harness.send_request("/book/"))[0] == 404

            return await wait_until(applied)

        self.assertTrue(self.run_scenario(scenario) < CONFIG_APPLY_LIMIT_S)

    def test_link_secret_that_the_copy_lacks(self):
        """Guards against a fleet whose halves cannot authenticate each other."""

        async def scenario(harness):
            store = harness.store
            secret = await link_secret(store)
            copy = store.copy()
            without = replace(
                copy, items={k: v for k, v in copy.items.items() if k != secret}
            )
            await store.restore(without)
            async with Harness({}, name="edge-2", store=store) as second:
                await harness.wait_until_linked(2)
                await second.wait_until_linked(2)
                # One of them may have written another secret than the one in use.
                await asyncio.sleep(LINK_OPENING_S)
                return [
                    await connected_instances(harness),
                    await connected_instances(second),
                ]

        self.assertEqual([{"edge-2"}, {"edge-1"}], self.run_scenario(scenario))

    def test_another_link_secret_that_was_written_after_a_restore(self):
        """Guards against instances that keep to a secret which newer ones lack."""

        async def scenario(harness):
            async with Harness({}, name="edge-2", store=harness.store) as second:
                for item in (harness, second):
                    await item.wait_until_linked(2)
                await harness.store.put(await link_secret(harness.store), b"ab" * 32)
                async with Harness({}, name="edge-3", store=harness.store) as third:
                    await third.wait_until_linked(3)
                    return await connected_instances(third)

        self.assertEqual({"edge-1", "edge-2"}, self.run_scenario(scenario))

    def test_instance_that_starts_after_a_restore(self):
        """Guards against keys and routes of the copy at an instance without memory."""

        async def scenario(harness):
            copy = harness.store.copy()
            await harness.configure(configuration_without_route(2, "book"))
            await harness.wait_until_current()
            await harness.store.restore(copy)
            async with Harness({}, name="edge-2", store=harness.store) as second:
                await second.wait_until_linked(2)

                async def applied():
                    return (await second.send_request("/book/"))[0] == 404

                # Opens the link over which the instances compare their versions.
                second.gateway._fleet.broadcast(CrashTrait(b"", 0))
                return await wait_until(applied)

        self.assertTrue(self.run_scenario(scenario) < CONFIG_APPLY_LIMIT_S)

    def test_instance_that_missed_a_change_before_a_restore(self):
        """Guards against instances with different configurations after a restore."""

        async def scenario(harness):
            async with Harness({}, name="edge-2", store=harness.store) as second:
                for item in (harness, second):
                    await item.wait_until_linked(2)
                copy = harness.store.copy()
                url = second.platform_store._base_url
                second.platform_store._base_url = "http://127.0.0.1:1"
                second.gateway._follower._peers = list
                await asyncio.sleep(CUT_OFF_S)
                await harness.configure(configuration_without_route(2, "book"))
                await harness.wait_until_current()
                await harness.store.restore(copy)
                second.platform_store._base_url = url

                async def applied():
                    return (await second.send_request("/book/"))[0] == 404

                return await wait_until(applied)

        self.assertTrue(self.run_scenario(scenario) < CONFIG_APPLY_LIMIT_S)
