"""Tests that organisations below their share are not refused beside floods."""

import heapq
import math
import random
from collections import Counter

from testtools import TestCase

from borageworks.placement.decisions import Placed, Refused
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import (
    EngineSimulation,
    engine_dispatcher,
    engines,
    plain_dispatcher,
    prompt,
    work,
)
from borageworks.placement.tests.flood_load import FloodLoad, LoadedEngines
from borageworks.placement.work import WorkKey

SEEDS = (1, 2)
WARM_UP_S = 4.0
FLOODS = {"hot", "own"}
HEAVY = FloodLoad(flood_per_s=500.0)
SLOW = FloodLoad(flood_per_s=300.0, tokens_per_s=30_000.0, middling_per_s=5.0)
FEW = FloodLoad(engine_count=5, flood_per_s=100.0, middling_per_s=2.0, small_count=4)


class FairAdmissionTest(TestCase):
    """Load patterns in which all but the floods ask for less than their share."""

    def check(self, loaded):
        """Check that nothing was refused below a share, and that shares were kept."""
        refused = loaded.simulation.refused
        below_share = {
            name: count for name, count in refused.items() if name not in FLOODS
        }
        ratios = loaded.simulation.share_ratios()
        self.assertEqual({}, below_share, ratios)
        self.assertTrue(set(refused) >= FLOODS, "there is no overload")

    def start(self, load, seed):
        """Return engines after the first seconds of a load."""
        loaded = LoadedEngines(load, seed)
        loaded.run(WARM_UP_S)
        loaded.simulation.begin_measuring()
        return loaded

    def test_small_organisations_beside_floods_at_one_owner(self):
        """Guards against refusals by the wait of one request, whoever sent it."""
        for seed in SEEDS:
            for load in (FloodLoad(), HEAVY, FEW):
                loaded = self.start(load, seed)
                loaded.run(6.0)
                self.check(loaded)

    def test_small_organisations_while_engines_crash_and_return_empty(self):
        """Guards against a share lost with the caches of crashed engines."""
        for seed in SEEDS:
            for load in (FloodLoad(), HEAVY):
                loaded = self.start(load, seed)
                loaded.crash(load.engine_count // 4)
                loaded.run(2.0)
                loaded.restart_crashed()
                loaded.run(4.0)
                self.check(loaded)

    def test_small_organisations_whose_aim_is_out_of_reach(self):
        """Guards against refusing each request that is late on any engine."""
        for seed in SEEDS:
            loaded = self.start(SLOW, seed)
            loaded.run(6.0)
            self.check(loaded)

    def test_small_organisations_at_a_new_owner(self):
        """Guards against an owner that knows no cached parts and refuses them all."""
        for seed in SEEDS:
            loaded = self.start(FloodLoad(), seed)
            loaded.change_owner()
            loaded.run(6.0)
            self.check(loaded)

    def test_small_organisations_beside_a_flood_at_a_plain_service(self):
        """Guards against refusals of small organisations where slots are short."""
        slot_s, step_s = 0.045, 0.005
        dispatcher = plain_dispatcher(count=3, slots=6)
        rng = random.Random(3)
        running: list[tuple[float, WorkKey]] = []
        refused: Counter[str] = Counter()
        submitted = {}
        rates = {"flood": 800.0, "large": 100.0, "small-0": 4.0, "small-1": 4.0}
        for step in range(round(10.0 / step_s)):
            now = step * step_s
            decisions = []
            while running and running[0][0] <= now:
                _, key = heapq.heappop(running)
                decisions += dispatcher.end(now, key, WorkOutcome.SERVED)
            if step % 4 == 0:
                decisions += dispatcher.tick(now)
            for name, rate in rates.items():
                mean = rate * step_s
                for _ in range(int(mean) + (rng.random() < mean % 1.0)):
                    request = work(None, name, remaining_target_s=0.2)
                    submitted[request.key] = name
                    decisions += dispatcher.submit(now, request)
            for decision in decisions:
                match decision:
                    case Placed(key=key):
                        heapq.heappush(running, (now + slot_s, key))
                    case Refused(key=key):
                        refused[submitted[key]] += 1
        self.assertTrue(refused["flood"] > 1000, refused)
        self.assertEqual({"flood"}, set(refused), str(refused))

    def test_charge_does_not_depend_on_what_is_cached(self):
        """Guards against a share that grows with the parts that engines have cached."""
        dispatcher = engine_dispatcher(count=1)
        for now, organisation in ((0.0, "uncached"), (1.0, "cached")):
            request = prompt(own=100, shared=4000, shared_id="s")
            (decision,) = dispatcher.submit(now, work(request, organisation))
            dispatcher.start(now + 0.5, decision.key)
        leads = dispatcher.summarise(1.5).leads
        # The first charge is older by a second.
        faded = math.exp(-1.0 / PlacementSettings().fair_window_s)
        self.assertTrue(
            math.isclose(leads["uncached"], faded * leads["cached"]), str(leads)
        )

    def test_engine_with_the_part_is_lost_while_a_request_waits_for_it(self):
        """Guards against refusing a request early that can use any engine now."""
        simulation = EngineSimulation(engine_dispatcher(count=2))
        dispatcher = simulation.dispatcher
        cached = prompt(own=100, shared=8000, shared_id="s")
        for state in dispatcher.endpoints.values():
            state.cache.record_use(cached)
        for own in (7000, 16_000):
            simulation.submit(work(prompt(own=own), "flood"))
        for name in ("other", "small"):
            request = prompt(own=8000, shared=8000, shared_id="s")
            simulation.submit(work(request, name))
        (waiting,) = (item for item in dispatcher._waiting if item.has_priority)
        left = [item for item in engines(2, slots=24) if item.id != waiting.preferred]
        simulation.set_endpoints(left)
        simulation.advance(1.0)
        self.assertEqual({}, simulation.refused)
