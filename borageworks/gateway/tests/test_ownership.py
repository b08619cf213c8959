"""Tests of the agreement of instances on the owner of a shard."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from borageworks.exceptions import RefusalError
from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.fleet import PEER_TIMEOUT_S, Fleet
from borageworks.gateway.placer import Placer
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.gateway.tests.test_fleet import FakeInstances
from borageworks.metrics import Metrics
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines, prompt, work
from borageworks.timers import Timers

INSTANCES = ("a", "b", "c", "d")
SHARD = ("engines", 0)
REQUEST_INTERVAL_S = 0.005
# An instance whose owner has stopped finds out three times: by the link that ended, by
# the link that cannot be opened, and by a reply that is missing.
SIGNS_OF_A_FAILURE = 3


class Network:
    """Instances that deliver messages to each other in the next loop iteration."""

    def __init__(self):
        self.fleets: dict[str, Fleet] = {}
        self.placers: dict[str, Placer] = {}
        # Instances that receive no messages.
        self.silent: set[str] = set()
        profile = ServiceProfile(SHARD[0], EngineProfile(8, 400_000))
        self.directory: Any = SimpleNamespace(
            deployment=SimpleNamespace(
                services={profile.name: profile}, tokens_per_s=1e6
            ),
            endpoints_of=lambda _service: engines(3),
        )
        for name in INSTANCES:
            self.start(name)

    def start(self, name):
        """Start an instance that knows all others and suspects none."""
        timers = Timers()
        instances: Any = FakeInstances({n: 1.0 for n in INSTANCES if n != name})
        store: Any = None
        fleet = Fleet(
            replace(GATEWAY, instance=name),
            1,
            instances,
            "key",
            store,
            timers,
            Metrics(),
            lambda _sender, _message: None,
            lambda _instance: None,
            lambda instance: self.placers[name].instance_lost(instance),
        )
        links: Any = SimpleNamespace(
            send=lambda receiver, message: self.send(name, receiver, message)
        )
        fleet._links = links
        self.fleets[name] = fleet
        notices = EndpointNotices(fleet, timers, Metrics())
        self.placers[name] = Placer(
            fleet, self.directory, notices, timers, Metrics(), PlacementSettings()
        )
        self.placers[name].update()

    def stop(self, name):
        """Stop an instance; all others find out."""
        del self.fleets[name], self.placers[name]
        for fleet in self.fleets.values():
            for _ in range(SIGNS_OF_A_FAILURE):
                fleet._lost(name)

    def send(self, sender, receiver, message):
        if receiver not in self.placers:
            return False
        loop = asyncio.get_running_loop()
        loop.call_soon(self._deliver, sender, receiver, message)
        return True

    def _deliver(self, sender, receiver, message):
        if receiver in self.placers and receiver not in self.silent:
            self.fleets[receiver].record_message(sender)
            self.placers[receiver].receive(sender, message)

    async def send_requests(self, seconds):
        """Place requests of all instances in turn."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            for placer in list(self.placers.values()):
                request = replace(work(prompt(own=100)), key=placer.new_key())
                try:
                    await placer.place(SHARD[0], "r", request)
                except RefusalError:
                    continue
                placer.record_end(request.key, WorkOutcome.SERVED)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def owners(self):
        """Return the owner that each instance places requests at."""
        return {
            name: fleet.owner(f"{SHARD[0]}/{SHARD[1]}")
            for name, fleet in self.fleets.items()
        }


class OwnerAgreementTest(TestCase):
    def test_owner_that_has_restarted(self):
        """Guards against two owners of a shard while instances avoid a restarted one.

        Each owner knows a part of the demand and of the running requests only, so that
        engines are overloaded and organisations do not get their share.
        """

        async def main():
            network = Network()
            (owner,) = set(network.owners().values())
            network.stop(owner)
            await network.send_requests(0.1)
            network.start(owner)
            await network.send_requests(PEER_TIMEOUT_S)
            return network.owners()

        owners = asyncio.run(main())
        self.assertEqual(1, len(set(owners.values())), owners)

    def test_requests_that_wait_for_an_owner_that_is_lost(self):
        """Guards against instances that all choose the same engines on their own."""

        async def main():
            network = Network()
            (owner,) = set(network.owners().values())
            requests = []
            network.silent.add(owner)
            for name, placer in network.placers.items():
                if name != owner:
                    request = replace(work(prompt(own=100)), key=placer.new_key())
                    requests.append(placer.place(SHARD[0], "r", request))
            calls = asyncio.gather(*requests)
            await asyncio.sleep(0)
            network.stop(owner)
            await calls
            return {
                name: sum(len(state.running) for state in dispatcher.endpoints.values())
                for name, placer in network.placers.items()
                for dispatcher in placer.dispatchers.values()
            }

        placed = asyncio.run(main())
        self.assertEqual([0, 0, 3], sorted(placed.values()), placed)
