"""Tests of the limit on prompt parts that are prefilled again."""

from testtools import TestCase

from borageworks.gateway.deployment import EngineProfile, ServiceProfile
from borageworks.placement.decisions import Placed
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.recompute_budget import RecomputeBudget
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import engines, prompt, work

SHARED = prompt(own=100, shared=8000, shared_id="s")


def recomputing(**cold):
    """Return whether a small organisation leaves a busy engine that has its part."""
    profile = ServiceProfile("engines", EngineProfile(8, 100_000), **cold)
    dispatcher = Dispatcher(profile, PlacementSettings(), "a")
    dispatcher.set_throughput(20_000)
    dispatcher.set_endpoints(0.0, engines(2, slots=24))
    dispatcher.endpoints["e0"].cache.record_use(SHARED)
    dispatcher._recompute_budget.record(0.0, 10_000, 9_000)
    busy = work(prompt(own=30_000), "flood", excluded=frozenset(("e1",)))
    dispatcher.submit(0.0, busy)
    request = work(prompt(own=100, shared=8000, shared_id="s"), "small")
    decisions = dispatcher.submit(0.0, request)
    return any(isinstance(item, Placed) for item in decisions)


class RecomputeBudgetTest(TestCase):
    def test_fraction_of_the_recent_prefill(self):
        """Guards against engines that prefill little but parts that others have."""
        budget = RecomputeBudget(4.0, 0.2)
        self.assertTrue(budget.allows(0.0))
        budget.record(0.0, 10_000, 9_000)
        self.assertFalse(budget.allows(1.0))
        budget.record(2.0, 60_000, 0)
        self.assertTrue(budget.allows(2.0))

    def test_request_below_its_share_after_a_crash(self):
        """Guards against a loss of capacity to parts that all engines prefill again."""
        self.assertTrue(recomputing())
        self.assertFalse(recomputing(cold_s=3.0, cold_per_s=6.7))
