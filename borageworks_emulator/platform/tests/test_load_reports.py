"""Test of the load that endpoints report to linked instances."""

import asyncio

from testtools import TestCase

from borageworks.placement.engine_load import EngineLoad
from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    linked_fleet,
)

REQUESTS = 12


class LoadReportTest(TestCase):
    def test_owner_knows_what_other_instances_read(self):
        """Guards against reports that do not reach the instance that places."""
        listed = [
            EmulatedEndpoint(f"d-{number}", lambda _request: Behaviour(plain_body=True))
            for number in range(2)
        ]
        listed[0].stated_headers = {"X-Borageworks-Engine-Load": "1,0,4,250"}
        endpoints = {PLAIN_SERVICE: listed, ENGINE_SERVICE: [EmulatedEndpoint("e-1")]}
        shard = PLAIN_SERVICE, 0

        async def main():
            async with linked_fleet(endpoints, 2) as fleet:
                placers = [harness.gateway._placer for harness in fleet]
                # One that could not connect at the start suspects the other at first.
                await fleet[0].wait_until(
                    lambda: sum(placer.owns(shard) for placer in placers) == 1
                )
                (owner,) = [placer for placer in placers if placer.owns(shard)]
                entry = fleet[1 - placers.index(owner)]
                statuses = [
                    (await entry.send_request("/look/"))[0] for _ in range(REQUESTS)
                ]
                await fleet[0].wait_until(lambda: owner.dispatchers[shard].uses_loads)
                state = owner.dispatchers[shard].endpoints["d-0"]
                return statuses, state.load.load

        statuses, load = asyncio.run(main())
        self.assertEqual({200}, set(statuses))
        self.assertEqual(EngineLoad(1, 0, 4, 2.5), load)
