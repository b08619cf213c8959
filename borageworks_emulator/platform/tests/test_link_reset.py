"""Tests of gateways whose links are reset while requests run and wait."""

import asyncio

from testtools import TestCase

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint
from borageworks_emulator.platform.harness import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Harness,
)
from borageworks_emulator.platform.tests.test_faults import wait_until

SLOTS = 4
RESPONSE_DELAY_S = 0.8


def reset_links(harness):
    """Abort all connections of a gateway to other instances."""
    links = harness.gateway._fleet._links
    for peer in links._peers.values():
        if peer.link is not None:
            peer.link._transport.abort()


def running(harness):
    """Return the requests that a gateway believes to run in all shards."""
    return sum(
        len(state.running)
        for dispatcher in harness.gateway._placer.dispatchers.values()
        for state in dispatcher.endpoints.values()
    )


class LinkResetTest(TestCase):
    def run_scenario(self, scenario):
        async def main():
            desk = EmulatedEndpoint(
                "d", lambda _: Behaviour(response_delay_s=RESPONSE_DELAY_S)
            )
            endpoints = {
                PLAIN_SERVICE: [desk],
                ENGINE_SERVICE: [EmulatedEndpoint("e")],
            }
            async with (
                Harness(endpoints) as first,
                Harness({}, name="edge-2", store=first.store) as second,
            ):
                await first.wait_until_linked(2)
                await second.wait_until_linked(2)
                await first.register(desk, PLAIN_SERVICE, slots=SLOTS)
                await first.wait_until_current()
                await second.wait_until_current()
                fleet = (first, second)
                shard = PLAIN_SERVICE, 0
                owner = next(h for h in fleet if h.gateway._placer.owns(shard))
                entry = next(harness for harness in fleet if harness is not owner)
                return await scenario(owner, entry)

        return asyncio.run(main())

    def test_owner_keeps_the_running_requests_of_an_instance(self):
        """Guards against an owner that forgets them and moves ownership for nothing."""

        async def scenario(owner, entry):
            tasks = [
                asyncio.ensure_future(entry.send_request("/look/", "GET"))
                for _ in range(SLOTS)
            ]

            async def all_placed():
                return running(owner) == SLOTS

            await wait_until(all_placed)
            reset_links(entry)
            counts = set()
            for _ in range(40):
                await asyncio.sleep(0.01)
                counts.add(running(owner))
            statuses = [(await task)[0] for task in tasks]

            async def all_ended():
                return running(owner) == 0

            await wait_until(all_ended, 1.0)
            alone = entry.metrics.value("placements_alone")
            return counts, statuses, alone

        counts, statuses, alone = self.run_scenario(scenario)
        self.assertEqual({SLOTS}, counts)
        self.assertEqual([200] * SLOTS, statuses)
        self.assertEqual(0, alone)

    def test_request_whose_placement_is_lost_with_the_link(self):
        """Guards against requests placed alone though their owner is reachable."""

        async def scenario(owner, entry):
            await entry.send_request("/look/", "GET")
            tasks = []
            for _ in range(SLOTS):
                tasks.append(asyncio.ensure_future(entry.send_request("/look/", "GET")))
                await asyncio.sleep(0.002)
                reset_links(entry)
                await asyncio.sleep(0.05)
            statuses = [(await task)[0] for task in tasks]
            return statuses, entry.metrics.value("placements_alone")

        statuses, alone = self.run_scenario(scenario)
        self.assertEqual([200] * SLOTS, statuses)
        self.assertEqual(0, alone)
