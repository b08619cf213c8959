"""Compares the selection among many endpoints with one that compares all of them."""

import random
from unittest import mock

from testtools import TestCase

from borageworks.placement import selection
from borageworks.placement.decisions import Placed
from borageworks.placement.tests.builders import (
    EngineSimulation,
    engine_dispatcher,
    prompt,
    work,
)

REQUESTS_PER_S = 500


def run_load(dispatcher, seconds, check):
    """Submit prompts with shared parts of uneven popularity; check before each."""
    rng = random.Random(5)
    simulation = EngineSimulation(dispatcher)
    for _ in range(int(seconds * REQUESTS_PER_S)):
        part = int(rng.paretovariate(0.7)) % 400
        request = work(
            prompt(rng.randrange(200, 4000), 6000, f"part-{part}"),
            f"o{rng.randrange(9)}",
        )
        check(simulation.now, request)
        simulation.submit(request)
        simulation.advance(1 / REQUESTS_PER_S)
    return simulation


class SelectionTest(TestCase):
    def test_selected_endpoint_is_as_cheap_as_the_cheapest_of_all(self):
        """Guards against candidates that leave out the best endpoint."""
        dispatcher = engine_dispatcher(60, memory_tokens=200_000)
        selector = dispatcher._selector
        differences = []

        def check(now, request):
            speed = dispatcher.prefill_speed.seconds_per_token
            selected = selector.select(now, request, speed)
            costs = {
                name: selector.cost_s(now, state, request, speed)
                for name, state in dispatcher.endpoints.items()
                if state.usable(now)
            }
            differences.append(costs[selected] - min(costs.values()))

        run_load(dispatcher, 2, check)
        exact = sum(difference < 1e-9 for difference in differences)
        self.assertTrue(exact > 0.98 * len(differences), (exact, len(differences)))
        self.assertTrue(max(differences) < 0.05, max(differences))

    def test_number_of_compared_endpoints_is_bounded(self):
        """Guards against a selection whose time grows with the endpoints."""
        dispatcher = engine_dispatcher(600)
        selector = dispatcher._selector
        request = work(prompt(shared=6000, own=100))
        for name in list(dispatcher.endpoints)[:100]:
            dispatcher.adopt(0.0, work(request.prompt), name, started=True)
        with mock.patch.object(
            selector, "cost_s", side_effect=selector.cost_s
        ) as cost_s:
            self.assertIsNotNone(selector.select(0.0, request, 1e-5))
        self.assertTrue(
            cost_s.call_count <= 3 * selection.CANDIDATES, cost_s.call_count
        )

    def test_evicted_and_removed_endpoints_leave_the_index(self):
        """Guards against an index that grows, or that names endpoints that are gone."""
        dispatcher = engine_dispatcher(20, memory_tokens=20_000)
        for number in range(200):
            request = work(prompt(own=500, shared=5000, shared_id=f"p{number}"))
            for decision in dispatcher.submit(number * 1.0, request):
                self.assertIsInstance(decision, Placed)
            dispatcher.start(number + 0.5, request.key)
        holders = dispatcher._part_index._holders
        cached = sum(len(names) for names in holders.values())
        self.assertTrue(cached <= 20 * 8, cached)
        dispatcher.set_endpoints(300.0, [])
        self.assertEqual({}, holders)
