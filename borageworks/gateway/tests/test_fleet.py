"""Tests of the ownership of keys among instances."""

from types import SimpleNamespace
from typing import Any, cast

from testtools import TestCase

from borageworks.gateway.fleet import (
    INITIAL_SUSPICION_S,
    MAX_SUSPICION_S,
    PROBATION_SILENCE_S,
    SILENCE_S,
    Fleet,
)
from borageworks.gateway.instances import InstanceRecord
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.routing.rendezvous import rendezvous


class FakeTimers:
    """Clock set by the test."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class FakeInstances:
    """Registered instances with the given capacities."""

    def __init__(self, capacities):
        self.others = {
            name: InstanceRecord(name, "d", "10.0.0.1", 1, 2, 3, capacity)
            for name, capacity in capacities.items()
        }
        self.count = len(capacities) + 1


def make_fleet(capacities, timers=None):
    """Return a fleet with open links to instances of the same failure domain."""
    arguments: Any = (
        GATEWAY,
        1,
        FakeInstances(capacities),
        "key",
        None,
        timers or FakeTimers(),
        Metrics(),
        None,
        None,
        None,
    )
    fleet = Fleet(*arguments)
    fleet._links = cast(Any, SimpleNamespace())
    return fleet


class SuccessorTest(TestCase):
    def test_one_successor_is_in_another_failure_domain(self):
        """Guards against facts that are lost with a failure domain."""
        fleet = make_fleet({f"near-{number}": 1.0 for number in range(6)})
        self.assertEqual(1, len(fleet.successors("s/0")))
        others = fleet._instances.others
        for number in range(6):
            name = f"far-{number}"
            others[name] = InstanceRecord(name, "e", "10.0.0.2", 1, 2, 3, 1.0)
        fleet._candidates = None
        for number in range(20):
            key = f"s/{number}"
            lost = fleet._domain_of(fleet.owner(key))
            left = {
                name for name in fleet.successors(key) if fleet._domain_of(name) != lost
            }
            expected = rendezvous(
                key,
                {
                    name: 1.0
                    for name in (*others, fleet.instance)
                    if fleet._domain_of(name) != lost
                },
            )
            self.assertEqual({expected}, left)

    def test_instance_without_others_has_no_successor(self):
        """Guards against an instance that tells itself."""
        self.assertEqual(set(), make_fleet({}).successors("s/0"))


class OwnerTest(TestCase):
    def fleet(self, **capacities):
        self.timers = FakeTimers()
        return make_fleet(capacities, self.timers)

    def owners(self, fleet):
        return {fleet.owner(f"shard/{number}") for number in range(60)}

    def test_low_capacity_instances_own_nothing_beside_larger_ones(self):
        """Guards against placement work on instances that callers already load."""
        fleet = self.fleet(strong=4.0, other=3.0, weak=1.0)
        self.assertEqual({"strong", "other"}, self.owners(fleet))
        self.assertEqual({"i", "a"}, self.owners(self.fleet(a=1.0)))

    def test_single_timeout_keeps_owners(self):
        """Guards against ownership that moves after each late reply."""
        fleet = self.fleet(a=1.0)
        fleet.record_message("a")
        self.timers.time += SILENCE_S / 2
        fleet.record_timeout("a")
        self.assertIn("a", self.owners(fleet))
        self.timers.time += SILENCE_S
        fleet.record_timeout("a")
        self.assertEqual({"i"}, self.owners(fleet))

    def test_silent_instance_is_retried_with_backoff(self):
        """Guards against requests that wait every second for an unreachable peer."""
        fleet = self.fleet(a=1.0)
        suspicion_s = INITIAL_SUSPICION_S
        while suspicion_s < MAX_SUSPICION_S:
            fleet.record_timeout("a")
            self.timers.time += suspicion_s - 0.01
            self.assertEqual({"i"}, self.owners(fleet))
            self.timers.time += 0.02
            self.assertIn("a", self.owners(fleet))
            suspicion_s *= 2

    def test_instance_that_owns_a_key_as_it_suspects_the_owner(self):
        """Guards against several instances that each place for the whole fleet."""
        fleet = self.fleet(a=1.0)
        keys = [f"shard/{number}" for number in range(60)]
        own = [key for key in keys if fleet.owner(key) == "i"]
        self.assertEqual([], [key for key in keys if fleet.is_standing_in(key)])
        fleet.record_timeout("a")
        self.assertEqual({"i"}, self.owners(fleet))
        standing_in = [key for key in keys if fleet.is_standing_in(key)]
        self.assertEqual(set(keys) - set(own), set(standing_in))
        fleet.record_message("a")
        self.assertEqual([], [key for key in keys if fleet.is_standing_in(key)])

    def test_silent_instance_that_is_retried_has_to_answer_soon(self):
        """Guards against requests that wait at each retry of an unreachable peer."""
        fleet = self.fleet(a=1.0)
        fleet.record_message("a")
        asked_at = self.timers.time
        self.assertEqual(SILENCE_S, fleet.silence_left_s("a", asked_at))
        self.timers.time += SILENCE_S
        self.assertEqual(0.0, fleet.silence_left_s("a", asked_at))
        fleet.record_timeout("a")
        self.timers.time += INITIAL_SUSPICION_S
        self.assertIn("a", self.owners(fleet))
        asked_at = self.timers.time
        left_s = fleet.silence_left_s("a", asked_at)
        self.assertAlmostEqual(PROBATION_SILENCE_S, left_s)
        # That it is heard does not show that it receives what is sent to it.
        fleet.record_message("a")
        left_s = fleet.silence_left_s("a", asked_at)
        self.assertAlmostEqual(PROBATION_SILENCE_S, left_s)
        fleet.record_reply("a")
        self.assertEqual(SILENCE_S, fleet.silence_left_s("a", asked_at))

    def test_reply_that_is_late_because_its_link_was_lost(self):
        """Guards against ownership that moves when links are reset."""
        fleet = self.fleet(a=1.0)
        fleet.record_message("a")
        self.timers.time += 10 * SILENCE_S
        fleet._on_interrupted = lambda _instance: None
        fleet._links.has_queued = lambda _instance: False
        fleet._disconnected("a")
        self.timers.time += SILENCE_S / 2
        fleet.record_timeout("a")
        self.assertIn("a", self.owners(fleet))
        fleet._connected("a")
        self.timers.time += SILENCE_S / 2
        fleet.record_timeout("a")
        self.assertIn("a", self.owners(fleet))
        self.timers.time += SILENCE_S
        fleet.record_timeout("a")
        self.assertEqual({"i"}, self.owners(fleet))

    def test_message_ends_a_suspicion(self):
        """Guards against two owners after a network partition has ended."""
        fleet = self.fleet(a=1.0)
        fleet.record_timeout("a")
        fleet.record_message("a")
        self.assertIn("a", self.owners(fleet))

    def test_leaving_instance_owns_nothing(self):
        """Guards against shards that remain with an instance during shutdown."""
        fleet = self.fleet(a=1.0)
        fleet.leave()
        self.assertEqual({"a"}, self.owners(fleet))

    def test_owners_follow_membership_and_suspicion(self):
        """Guards against a cached owner that is no longer available."""
        fleet = self.fleet(a=1.0)
        self.assertEqual({"i", "a"}, self.owners(fleet))
        fleet._instances.others = {"b": InstanceRecord("b", "d", "10.0.0.2", 1, 2, 3)}
        fleet._links.set_address = lambda *_: None
        fleet.update()
        self.assertEqual({"i", "b"}, self.owners(fleet))
        fleet.suspect("b")
        self.assertEqual({"i"}, self.owners(fleet))
        self.timers.time += INITIAL_SUSPICION_S + 0.01
        self.assertEqual({"i", "b"}, self.owners(fleet))

    def test_signs_of_one_failure_count_once(self):
        """Guards against an owner that is avoided for seconds after it is back."""
        fleet = self.fleet(a=1.0)
        for _ in range(4):
            fleet.suspect("a")
        self.assertEqual({"i"}, self.owners(fleet))
        self.timers.time += INITIAL_SUSPICION_S + 0.01
        self.assertIn("a", self.owners(fleet))

    def test_instance_that_only_others_reach_is_tried_once(self):
        """Guards against requests that each wait for an owner behind a partition."""
        fleet = self.fleet(a=1.0)
        fleet.suspect("a")
        fleet.vouch("a")
        self.assertIn("a", self.owners(fleet))
        fleet.suspect("a")
        fleet.vouch("a")
        self.assertEqual({"i"}, self.owners(fleet))
        fleet.record_message("a")
        fleet.suspect("a")
        fleet.vouch("a")
        self.assertIn("a", self.owners(fleet))
