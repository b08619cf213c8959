"""Tests of which instance owns what."""

from types import SimpleNamespace
from typing import Any, cast

from testtools import TestCase

from borageworks.gateway.fleet import SILENCE_S, SUSPICION_LIMIT_S, SUSPICION_S, Fleet
from borageworks.gateway.instances import InstanceRecord
from borageworks.gateway.tests.test_state import GATEWAY
from borageworks.metrics import Metrics


class FakeTimers:
    """Clock that the test sets."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class FakeInstances:
    """Registered instances."""

    def __init__(self, capacities):
        self.others = {
            name: InstanceRecord(name, "d", "10.0.0.1", 1, 2, 3, capacity)
            for name, capacity in capacities.items()
        }
        self.count = len(capacities) + 1


def fleet_of(capacities, timers=None):
    """Return a fleet with links, beside instances of the same failure domain."""
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
    )
    fleet = Fleet(*arguments)
    fleet._links = cast(Any, SimpleNamespace())
    return fleet


class OwnerTest(TestCase):
    def fleet(self, **capacities):
        self.timers = FakeTimers()
        return fleet_of(capacities, self.timers)

    def owners(self, fleet):
        return {fleet.owner(f"shard/{number}") for number in range(60)}

    def test_weak_instances_own_nothing_beside_strong_ones(self):
        """Guards against placing on instances that callers keep busy."""
        fleet = self.fleet(strong=4.0, other=3.0, weak=1.0)
        self.assertEqual({"strong", "other"}, self.owners(fleet))
        self.assertEqual({"i", "a"}, self.owners(self.fleet(a=1.0)))

    def test_one_late_reaction_moves_nothing(self):
        """Guards against owners that change with each late message."""
        fleet = self.fleet(a=1.0)
        fleet.note_message("a")
        self.timers.time += SILENCE_S / 2
        fleet.note_silence("a")
        self.assertIn("a", self.owners(fleet))
        self.timers.time += SILENCE_S
        fleet.note_silence("a")
        self.assertEqual({"i"}, self.owners(fleet))

    def test_silent_instance_is_tried_again_less_and_less_often(self):
        """Guards against requests that wait for a cut-off instance every second."""
        fleet = self.fleet(a=1.0)
        length = SUSPICION_S
        while length < SUSPICION_LIMIT_S:
            fleet.note_silence("a")
            self.timers.time += length - 0.01
            self.assertEqual({"i"}, self.owners(fleet))
            self.timers.time += 0.02
            self.assertIn("a", self.owners(fleet))
            length *= 2

    def test_sign_of_life_ends_a_suspicion(self):
        """Guards against two owners after a cut has healed."""
        fleet = self.fleet(a=1.0)
        fleet.note_silence("a")
        fleet.note_message("a")
        self.assertIn("a", self.owners(fleet))

    def test_leaving_instance_owns_nothing(self):
        """Guards against shards that end with their owner."""
        fleet = self.fleet(a=1.0)
        fleet.leave()
        self.assertEqual({"a"}, self.owners(fleet))

    def test_owners_follow_each_change(self):
        """Guards against an owner that is remembered although it is gone."""
        fleet = self.fleet(a=1.0)
        self.assertEqual({"i", "a"}, self.owners(fleet))
        fleet._instances.others = {"b": InstanceRecord("b", "d", "10.0.0.2", 1, 2, 3)}
        fleet._links.set_address = lambda *_: None
        fleet.update()
        self.assertEqual({"i", "b"}, self.owners(fleet))
        fleet.suspect("b")
        self.assertEqual({"i"}, self.owners(fleet))
        self.timers.time += SUSPICION_S + 0.01
        self.assertEqual({"i", "b"}, self.owners(fleet))
