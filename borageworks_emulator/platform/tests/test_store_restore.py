"""Tests of a store that comes back from an older copy."""

import asyncio

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

# `bounds.contact_ms` and `bounds.config_apply_ms` in the settings of the harness.
CONFIG_APPLY_LIMIT_S = 3.0 + 2.0


def desk(name):
    """Return an endpoint of the plain service."""
    return EmulatedEndpoint(name, lambda _request: Behaviour(plain_body=True))


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
