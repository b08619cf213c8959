"""Random runs of placers whose links are lost and whose owner changes."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from borageworks.exceptions import RefusalError
from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.placer import CONFIRMATION_TIMEOUT_S, Placer
from borageworks.metrics import Metrics
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines, prompt, work
from borageworks.timers import Timers

INSTANCES = ("a", "b", "c", "d")
SERVICE = "engines"
RUN_S = 1.2
MAX_DELAY_S = 0.01
MIN_INTERVAL_S = 1e-6
SEEDS = range(4)
# Less than the run, so that owners change in it.
SILENCE_S = 0.1


class SimulatedFleet:
    """Fleet of one instance in a simulated network."""

    domain = "a"
    count = len(INSTANCES)
    reachable_ratio = 1.0

    def __init__(self, network, instance):
        self._network = network
        self.instance = instance
        self.suspected = set()

    def send(self, instance, message):
        self._network.send(self.instance, instance, message)
        return True

    def owner(self, _key):
        candidates = [name for name in INSTANCES if name not in self.suspected]
        return (candidates or [self.instance])[0]

    def stand_in(self, _key):
        candidates = [name for name in INSTANCES if name not in self.suspected]
        return candidates[1] if len(candidates) > 1 else None

    def is_standing_in(self, _key):
        return False

    def vouch(self, instance):
        self.suspected.discard(instance)

    def record_timeout(self, instance):
        self.suspected.add(instance)

    def silence_left_s(self, _instance, asked_at):
        return asked_at + SILENCE_S - asyncio.get_running_loop().time()

    def record_reply(self, _instance):
        pass

    def silent_s(self, _instance):
        return SILENCE_S


class SimulatedNetwork:
    """Links that keep the order of messages until they are reset."""

    def __init__(self, rng):
        self._rng = rng
        self._epochs: dict[frozenset[str], int] = {}
        self._seen: dict[tuple[str, str], int] = {}
        self._due: dict[tuple[str, str], float] = {}
        self.placers: dict[str, Placer] = {}
        self.fleets: dict[str, SimulatedFleet] = {}

    def send(self, sender, receiver, message):
        loop = asyncio.get_running_loop()
        epoch = self._epochs.get(frozenset((sender, receiver)), 0)
        due = loop.time() + self._rng.uniform(0.0, MAX_DELAY_S)
        # Timers of the same time fire in any order.
        earliest = self._due.get((sender, receiver), 0.0) + MIN_INTERVAL_S
        due = self._due[sender, receiver] = max(due, earliest)
        loop.call_at(due, self._deliver, sender, receiver, epoch, message)

    def reset(self, first, second):
        pair = frozenset((first, second))
        self._epochs[pair] = self._epochs.get(pair, 0) + 1
        loop = asyncio.get_running_loop()
        for at, other in ((first, second), (second, first)):
            delay_s = self._rng.uniform(0.0, MAX_DELAY_S)
            loop.call_later(delay_s, self._interrupt, at, other, self._epochs[pair])

    def _interrupt(self, instance, other, epoch):
        if self._seen.get((instance, other), 0) < epoch:
            self._seen[instance, other] = epoch
            self.placers[instance].link_interrupted(other)

    def _deliver(self, sender, receiver, epoch, message):
        if self._epochs.get(frozenset((sender, receiver)), 0) != epoch:
            return
        # A new link is used only after the end of the old one has been handled.
        self._interrupt(receiver, sender, epoch)
        self.placers[receiver].receive(sender, message)


class PlacementAccountingTest(TestCase):
    async def run_seed(self, seed):
        """Return the requests that are counted after all of them have ended."""
        rng = random.Random(seed)
        network = SimulatedNetwork(rng)
        profile = ServiceProfile(SERVICE, EngineProfile(8, 400_000))
        deployment = SimpleNamespace(services={SERVICE: profile}, tokens_per_s=1e6)
        listed = engines(3)
        directory: Any = SimpleNamespace(
            deployment=deployment, endpoints_of=lambda _service: listed
        )
        for name in INSTANCES:
            fleet: Any = SimulatedFleet(network, name)
            network.fleets[name] = fleet
            notices = EndpointNotices(fleet, Timers(), Metrics())
            network.placers[name] = Placer(
                fleet, directory, notices, Timers(), Metrics(), PlacementSettings()
            )
            network.placers[name].update()

        async def call(placer):
            request = work(prompt(own=500), f"o{rng.randrange(3)}")
            request = replace(request, key=placer.new_key())
            try:
                await placer.place(SERVICE, "r", request)
            except RefusalError:
                return
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            placer.record_start(request.key)
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            placer.record_end(request.key, WorkOutcome.SERVED)

        loop = asyncio.get_running_loop()
        calls = []
        end = loop.time() + RUN_S
        while loop.time() < end:
            name = rng.choice(INSTANCES)
            match rng.randrange(8):
                case 0:
                    network.reset(name, rng.choice([n for n in INSTANCES if n != name]))
                case 1:
                    network.fleets[name].suspected = set(
                        rng.sample(INSTANCES, rng.randrange(3))
                    )
                    network.placers[name].review_owners()
                case _:
                    calls.append(loop.create_task(call(network.placers[name])))
            await asyncio.sleep(rng.uniform(0.0, 0.01))
        for fleet in network.fleets.values():
            fleet.suspected.clear()
        await asyncio.gather(*calls)
        await asyncio.sleep(2 * CONFIRMATION_TIMEOUT_S)
        return {
            name: [list(state.running) for state in dispatcher.endpoints.values()]
            for name, placer in network.placers.items()
            for dispatcher in placer.dispatchers.values()
            if dispatcher.waiting
            or any(s.running for s in dispatcher.endpoints.values())
        }, len(calls)

    def test_no_request_is_counted_after_it_has_ended(self):
        """Guards against owners that count ended requests until nothing is free."""
        for seed in SEEDS:
            counted, calls = asyncio.run(self.run_seed(seed))
            self.assertTrue(calls > 50, calls)
            self.assertEqual({}, counted, f"seed {seed}")
