"""Tests of the bound on requests to a cold endpoint, over all instances."""

import random
from dataclasses import replace

from testtools import TestCase

from borageworks.gateway.deployment import ServiceProfile
from borageworks.placement.cold_limit import (
    ColdDelegation,
    ColdLimit,
    ColdParts,
    ColdRule,
    cold_rule,
)
from borageworks.placement.decisions import Placed, Refused
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.tests.builders import endpoint, work

PER_S = 6.7
COLD_S = 30.0
BOUND = PER_S * 1.5 + 5
STEP_S = 0.01
JITTER_S = 0.3
SERVICE = ServiceProfile("desk", None, cold_s=COLD_S, cold_per_s=PER_S)
WARM = endpoint("d0", "desk", 64, sequence=1)
COLD = endpoint("d0", "desk", 64, sequence=2, cold_s=COLD_S)


def most_in_a_second(times):
    """Return the most of some times that lie within a second."""
    return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


class Instance:
    """An instance that asks for placements and places for others."""

    def __init__(self, now, listed=COLD):
        self.dispatcher = Dispatcher(SERVICE, PlacementSettings(), "a")
        self.dispatcher.set_endpoints(now, [listed])
        self.delegation = ColdDelegation(now)
        self.parts = ColdParts()
        self.registered = True


class Simulation:
    """Instances that place on one endpoint, with requests that arrive late.

    `owner_of` returns the owner in the view of an instance; each sends
    `requests_per_s`.
    """

    def __init__(self, count, requests_per_s, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.count = count
        self.requests_per_s = requests_per_s
        self.instances = {n: Instance(0.0) for n in range(count)}
        self.owner_of = lambda _instance: 0
        self.down = False
        self.arrivals = []
        self._number = 0

    def restart(self, names):
        for name in names:
            self.instances[name] = Instance(self.now)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, instance in list(self.instances.items()):
                if self.rng.random() < self.requests_per_s * STEP_S:
                    self.request(name, instance)
            for instance in self.instances.values():
                self.apply(instance, instance.dispatcher.tick(self.now))

    def request(self, name, instance):
        owner = self.owner_of(name)
        sole_s = instance.delegation.delegate(self.now, str(owner))
        placer = self.instances[owner]
        if owner != name:
            sole_s = sole_s if instance.registered else 0.0
            placer.parts.receive(self.now, str(name), sole_s)
        own_s = 0.0
        if placer.registered:
            own_s = placer.delegation.held_s(self.now, str(owner))
        budget = placer.dispatcher.cold_budget
        placer.dispatcher.set_cold_allowed(
            placer.parts.allowed(self.now, budget, own_s, self.count)
        )
        self._number += 1
        request = work(instance=str(name))
        self.apply(placer, placer.dispatcher.submit(self.now, request))

    def apply(self, placer, decisions):
        for decision in decisions:
            match decision:
                case Placed(key=key) if self.down:
                    outcome = WorkOutcome.UNREACHABLE
                    self.apply(placer, placer.dispatcher.end(self.now, key, outcome))
                case Placed(key=key):
                    self.arrivals.append(self.now + self.rng.uniform(0.0, JITTER_S))
                    outcome = WorkOutcome.SERVED
                    self.apply(placer, placer.dispatcher.end(self.now, key, outcome))
                case Refused():
                    pass


class ColdBoundTest(TestCase):
    def check(self, simulation, since=0.0):
        times = sorted(t for t in simulation.arrivals if t >= since)
        self.assertTrue(most_in_a_second(times) <= BOUND, most_in_a_second(times))

    def test_burst_at_one_owner(self):
        """Guards against a limit that lets a burst through, or next to nothing."""
        simulation = Simulation(65, 2.0)
        simulation.run(6.0)
        before = len(simulation.arrivals)
        simulation.requests_per_s = 20.0
        simulation.run(10.0)
        self.check(simulation)
        rate_per_s = (len(simulation.arrivals) - before) / 10.0
        self.assertTrue(0.9 * PER_S < rate_per_s <= PER_S, rate_per_s)

    def test_owner_that_changes_while_instances_disagree(self):
        """Guards against a former and a new owner that use the limit twice."""
        for seed in range(4):
            simulation = Simulation(65, 3.0, seed)
            simulation.run(6.0)
            for owner in (1, 2, 0):
                previous = simulation.owner_of(0)
                views = [previous] * 65

                def owner_of(name, views=views):
                    return views[name]

                simulation.owner_of = owner_of
                for name in simulation.rng.sample(range(65), 65):
                    views[name] = owner
                    simulation.run(0.03)
                simulation.run(5.0)
            self.check(simulation)
            self.assertTrue(max(simulation.arrivals) > simulation.now - 2.0)

    def test_kill_of_the_owner_and_of_all_instances(self):
        """Guards against successors and restarted processes that begin with a burst."""
        for seed in range(4):
            simulation = Simulation(65, 3.0, seed)
            simulation.run(6.0)
            simulation.restart([0])
            simulation.owner_of = lambda _name: 1
            simulation.run(1.0)
            simulation.owner_of = lambda _name: 0
            simulation.run(6.0)
            simulation.restart(range(65))
            simulation.run(6.0)
            simulation.restart(range(65))
            # Each one places alone until it knows the others.
            simulation.owner_of = lambda name: name
            simulation.run(10.0)
            self.check(simulation)

    def test_partition_and_the_end_of_the_registrations(self):
        """Guards against sides of a partition that each use the whole limit."""
        simulation = Simulation(65, 3.0)
        simulation.run(6.0)
        simulation.owner_of = lambda name: name % 3
        simulation.run(8.0)
        for name, instance in simulation.instances.items():
            instance.registered = name % 3 == 0
        simulation.run(4.0)
        # The record of the other two sides are gone from the store.
        simulation.count = 22
        simulation.run(4.0)
        self.check(simulation)
        simulation.count = 65
        simulation.owner_of = lambda _name: 0
        for instance in simulation.instances.values():
            instance.registered = True
        simulation.run(6.0)
        self.check(simulation)

    def test_endpoint_that_crashes_and_returns_before_its_entry(self):
        """Guards against requests placed before the limit was known."""
        simulation = Simulation(65, 2.0)
        for instance in simulation.instances.values():
            warm = endpoint("d0", "desk", 64, sequence=3)
            instance.dispatcher.set_endpoints(0.0, [warm])
        simulation.run(5.0)
        self.assertTrue(most_in_a_second(simulation.arrivals) > BOUND)
        simulation.down = True
        simulation.run(1.0)
        simulation.down = False
        returned_at = simulation.now
        simulation.run(1.0)
        for instance in simulation.instances.values():
            returned = endpoint("d0", "desk", 64, started_ms=9, sequence=1)
            instance.dispatcher.set_endpoints(simulation.now, [returned])
        simulation.run(8.0)
        self.check(simulation, since=returned_at)
        self.assertTrue(max(simulation.arrivals) > simulation.now - 2.0)


class ColdPeriodTest(TestCase):
    def dispatcher(self, listed=WARM):
        dispatcher = Dispatcher(SERVICE, PlacementSettings(), "a")
        dispatcher.set_cold_allowed(2)
        dispatcher.set_endpoints(0.0, [listed])
        return dispatcher

    def placed(self, dispatcher, now, count=5):
        """Return how many requests are placed at once."""
        decisions = [d for _ in range(count) for d in dispatcher.submit(now, work())]
        return sum(isinstance(decision, Placed) for decision in decisions)

    def test_returned_endpoint_does_not_get_all_waiting_requests(self):
        """Guards against a burst of waiting requests at an entry that is back."""
        dispatcher = self.dispatcher(endpoint("d0", "desk", 2))
        self.assertEqual(2, self.placed(dispatcher, 0.0, 12))
        returned = endpoint("d0", "desk", 8, started_ms=7)
        decisions = dispatcher.set_endpoints(0.01, [returned])
        self.assertEqual(0, sum(isinstance(item, Placed) for item in decisions))

    def test_entries_before_and_after_a_sign_of_a_crash(self):
        """Guards against an old entry that ends a cold period, and one without end."""
        dispatcher = self.dispatcher()
        dispatcher.note_outcome(1.0, "d0/0", WorkOutcome.UNREACHABLE)
        for sequence, cold in ((2, True), (3, False)):
            later = endpoint("d0", "desk", 64, sequence=sequence)
            dispatcher.set_endpoints(2.0, [later])
            self.assertEqual(cold, "d0/0" in dispatcher.cold_endpoints(2.0))
        for outcome in (WorkOutcome.DISCONNECTED, WorkOutcome.DISCONNECTED):
            self.assertEqual({}, dispatcher.cold_endpoints(3.0))
            dispatcher.note_outcome(3.0, "d0/0", outcome)
        self.assertIn("d0/0", dispatcher.cold_endpoints(3.0 + COLD_S - 0.1))
        self.assertEqual({}, dispatcher.cold_endpoints(3.0 + COLD_S))

    def test_request_that_a_crash_would_have_ended(self):
        """Guards against engines that are limited since one instance is cut off."""
        dispatcher = self.dispatcher()
        first, second = (dispatcher.submit(0.0, work())[0] for _ in range(2))
        dispatcher.end(0.2, second.key, WorkOutcome.UNREACHABLE)
        self.assertIn("d0/0", dispatcher.cold_endpoints(0.2))
        dispatcher.start(0.25, first.key)
        dispatcher.end(0.3, first.key, WorkOutcome.SERVED)
        self.assertEqual({}, dispatcher.cold_endpoints(0.3))

    def test_response_that_its_caller_reads_slowly(self):
        """Guards against a response from before a crash that shows no crash."""
        dispatcher = self.dispatcher()
        first, second = (dispatcher.submit(0.0, work())[0] for _ in range(2))
        dispatcher.start(0.1, first.key)
        dispatcher.end(0.2, second.key, WorkOutcome.UNREACHABLE)
        dispatcher.end(0.3, first.key, WorkOutcome.SERVED)
        self.assertIn("d0/0", dispatcher.cold_endpoints(0.3))

    def test_told_period_is_not_ended_by_an_earlier_entry(self):
        """Guards against an entry from before a cold period that ends it."""
        limit = ColdLimit(ColdRule(PER_S, 15.0, COLD_S))
        first = replace(WARM, sequence=5)
        limit.list_endpoint(0.0, first, in_traffic=False)
        limit.begin(1.0, first)
        limit.learn(1.2 + COLD_S, first)
        limit.read_entry(1.3, replace(first, sequence=6))
        self.assertTrue(limit.is_cold(1.3))
        limit.read_entry(2.5, replace(first, sequence=7))
        self.assertFalse(limit.is_cold(2.5))

    def test_tiny_limit_keeps_a_bounded_history(self):
        """Guards against placements that are kept for as long as 1 / `cold_per_s`."""
        service = ServiceProfile("desk", None, cold_s=COLD_S, cold_per_s=1e-6)
        rule = cold_rule(service, PlacementSettings())
        self.assertTrue(rule is not None and rule.window_s <= 10.0)

    def test_changed_limit_of_the_service(self):
        """Guards against a new configuration that ends cold periods, or is ignored."""
        dispatcher = self.dispatcher(COLD)
        self.assertEqual(2, self.placed(dispatcher, 0.0))
        changed = ServiceProfile("desk", None, cold_s=COLD_S, cold_per_s=2.0 * PER_S)
        dispatcher.configure_service(0.1, changed)
        self.assertEqual(0, self.placed(dispatcher, 0.1))
        self.assertEqual(20, dispatcher.cold_budget)
        dispatcher.configure_service(0.2, ServiceProfile("desk", None))
        self.assertEqual({}, dispatcher.cold_endpoints(0.2))
        dispatcher.configure_service(0.3, changed)
        self.assertIn("d0/0", dispatcher.cold_endpoints(0.3))

    def test_start_without_traffic_and_of_the_instance(self):
        """Guards against engines that are limited although they are not cold."""
        dispatcher = self.dispatcher()
        dispatcher.set_endpoints(1.0, [WARM, endpoint("d1", "desk", 64)])
        self.assertEqual({}, dispatcher.cold_endpoints(1.0))
        self.placed(dispatcher, 1.0)
        dispatcher.set_endpoints(2.0, [WARM, endpoint("d2", "desk", 64)])
        self.assertEqual({"d2/0"}, set(dispatcher.cold_endpoints(2.0)))

    def test_request_that_did_not_reach_the_endpoint(self):
        """Guards against returned requests that use the limit."""
        dispatcher = self.dispatcher(COLD)
        for outcome in (WorkOutcome.MISDIRECTED, WorkOutcome.RETURNED):
            (placed,) = dispatcher.submit(0.0, work())
            dispatcher.end(0.0, placed.key, outcome)
        # A refusal suspends the endpoint for a moment.
        self.assertEqual(2, self.placed(dispatcher, 0.1))

    def test_withdrawn_evacuation(self):
        """Guards against engines that get the whole load when a domain returns."""
        dispatcher = self.dispatcher()
        dispatcher.set_evacuated(1.0, {"a"})
        (refused,) = dispatcher.submit(1.0, work())
        self.assertIsInstance(refused, Refused)
        self.assertTrue(refused.retry_after_s > 0.0)
        dispatcher.set_evacuated(2.0, frozenset())
        self.assertEqual(2, self.placed(dispatcher, 2.0))

    def test_small_limits(self):
        """Guards against limits under one request a second that allow none, or many."""
        for per_s, slack, budget in ((0.2, 1.0, 1), (0.2, 0.0, 0), (100.0, 0.0, 120)):
            profile = ServiceProfile("desk", None, cold_s=1.0, cold_per_s=per_s)
            settings = PlacementSettings(cold_slack=slack, cold_over=1.5)
            dispatcher = Dispatcher(profile, settings, "a")
            self.assertEqual(budget, dispatcher.cold_budget)
