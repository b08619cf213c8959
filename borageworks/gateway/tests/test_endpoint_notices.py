"""Tests of what instances learn from endpoints' responses and tell each other."""

import asyncio
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.gateway.endpoint_notices import (
    MAX_UNLISTED,
    SHARE_INTERVAL_S,
    EndpointNotices,
)
from borageworks.metrics import Metrics
from borageworks.placement.tests.builders import endpoint

INSTANCES = ("a", "b", "c")
E1 = endpoint("e1", started_ms=5)
LIMITED = EndpointNotice(2.5)
UNLIMITED = EndpointNotice()


class Clock:
    """Timers whose time passes only when a test says so."""

    def __init__(self):
        self.time = 100.0
        self.pending = []

    def now(self):
        return self.time

    def after(self, delay, callback):
        self.pending.append((self.time + delay, callback))

    def advance(self, seconds=2 * SHARE_INTERVAL_S):
        self.time += seconds
        due, self.pending = self.pending, []
        for _, callback in due:
            callback(self.time)


class Network:
    """Notices of several instances, of which one owns all endpoints."""

    def __init__(self, owner="a"):
        self.owner = owner
        self.clock: Any = Clock()
        self.sent = []
        self.pauses = []
        self.metrics = Metrics()
        self.notices = {}
        for name in INSTANCES:
            self.start(name)

    def start(self, name):
        fleet: Any = SimpleNamespace(
            instance=name,
            send=lambda to, message: self.send(name, to, message),
            broadcast=lambda message: [
                self.send(name, to, message) for to in INSTANCES if to != name
            ],
        )
        self.notices[name] = EndpointNotices(fleet, self.clock, self.metrics)
        self.notices[name].attach(
            lambda _incarnation: self.owner,
            lambda _incarnation: None,
            lambda *pause: self.pauses.append((name, *pause)),
        )

    def send(self, sender, receiver, message):
        self.sent.append((sender, receiver))
        self.notices[receiver].receive(sender, message)

    def observe(self, name, notice, sent_ago_s=0.1, incarnation=E1):
        sent_at = self.clock.now() - sent_ago_s
        self.notices[name].observe(incarnation, notice, sent_at)

    def limits(self, incarnation=E1):
        return [
            self.notices[name].limit_per_s(incarnation.incarnation)
            for name in INSTANCES
        ]


class EndpointNoticesTest(TestCase):
    def network(self):
        async def main():
            return Network()

        return asyncio.run(main())

    def test_owner_and_all_others_learn_a_limit_and_its_end(self):
        """Guards against limits that only instances with a response know."""
        network = self.network()
        network.observe("b", LIMITED)
        network.clock.advance()
        self.assertEqual([2.5, 2.5, None], network.limits())
        network.clock.advance()
        self.assertEqual([2.5, 2.5, 2.5], network.limits())
        network.observe("c", UNLIMITED, 0.01)
        network.clock.advance()
        network.clock.advance()
        self.assertEqual([None, None, None], network.limits())

    def test_response_that_was_overtaken_does_not_end_a_limit(self):
        """Guards against responses out of order that withdraw a limit in force."""
        network = self.network()
        network.observe("b", LIMITED)
        network.observe("b", UNLIMITED, 0.5)
        self.assertEqual(2.5, network.limits()[1])
        network.clock.advance(1.0)
        network.observe("b", EndpointNotice(4.0), 2.0)
        self.assertEqual(2.5, network.limits()[1])
        network.observe("b", EndpointNotice(1.0), 2.0)
        self.assertEqual(1.0, network.limits()[1])

    def test_end_that_arrives_late_from_another_instance(self):
        """Guards against old news of a peer that withdraws a limit named since."""
        network = self.network()
        network.observe("b", LIMITED)
        network.clock.advance()
        network.clock.advance()
        network.observe("b", UNLIMITED, 0.01)
        late = network.notices["b"]._message(
            E1.incarnation, network.notices["b"]._statements[E1.incarnation]
        )
        network.clock.advance(1.0)
        network.observe("a", EndpointNotice(1.5), 0.0)
        late = type(late)(late.incarnation, late.limit_per_s, late.age_s + 1.0)
        network.notices["a"].receive("b", late)
        self.assertEqual(1.5, network.limits()[0])

    def test_limit_ends_with_the_incarnation(self):
        """Guards against limits that outlive the endpoint that stated them."""
        network = self.network()
        network.observe("a", LIMITED)
        restarted = endpoint("e1", started_ms=6)
        self.assertEqual([None] * 3, network.limits(restarted))
        network.clock.advance(60.0)
        network.notices["a"].retain([restarted.incarnation])
        self.assertIsNone(network.limits()[0])

    def test_instance_that_starts_or_owns_anew_is_told(self):
        """Guards against a restarted owner that has forgotten the limits."""
        network = self.network()
        network.observe("b", LIMITED)
        network.clock.advance()
        network.clock.advance()
        network.start("a")
        self.assertEqual(None, network.limits()[0])
        network.notices["b"].tell("a")
        self.assertEqual(2.5, network.limits()[0])
        network.start("c")
        network.notices["b"].tell("c", [E1.incarnation, "unknown/1"])
        self.assertEqual(2.5, network.limits()[2])

    def test_limits_that_change_with_each_response_are_told_at_intervals(self):
        """Guards against messages for each response of an endpoint."""
        network = self.network()
        for number in range(100):
            network.observe("a", EndpointNotice(5.0 + number / 10), 0.0)
        network.clock.advance()
        self.assertEqual([("a", "b"), ("a", "c")], network.sent)
        self.assertEqual([14.9] * 3, network.limits())

    def test_unusable_response_without_a_limit_ends_none(self):
        """Guards against a limit that ends with a response that breaks the protocol."""
        network = self.network()
        network.observe("a", LIMITED)
        network.clock.advance()
        now = network.clock.now()
        network.notices["a"].observe(E1, UNLIMITED, now, usable=False)
        self.assertEqual(2.5, network.limits()[0])
        leaving = EndpointNotice(1.5, leaving=True)
        network.notices["a"].observe(E1, leaving, now, usable=False)
        self.assertEqual(1.5, network.limits()[0])
        self.assertTrue(network.notices["a"].is_leaving(E1.incarnation))

    def test_statements_hold_while_an_entry_is_missing(self):
        """Guards against an endpoint that leaves, used when its entry comes back."""
        network = self.network()
        network.observe("a", EndpointNotice(leaving=True))
        network.observe("b", EndpointNotice(pause_s=58.0))
        for _ in range(5):
            network.clock.advance(10.0)
            for notices in network.notices.values():
                notices.retain(())
        for name in ("a", "b"):
            self.assertFalse(network.notices[name].accepts(E1.incarnation))

    def test_statements_of_endpoints_that_have_gone_are_bounded(self):
        """Guards against memory that grows with each endpoint that has ever left."""
        network = self.network()
        for number in range(MAX_UNLISTED + 10):
            gone = endpoint(f"gone{number}", started_ms=5)
            network.notices["a"].observe(gone, EndpointNotice(leaving=True), 0.0)
        network.clock.advance(60.0)
        network.notices["a"].retain(())
        self.assertEqual(MAX_UNLISTED, len(network.notices["a"]._statements))
        self.assertFalse(network.notices["a"].accepts(gone.incarnation))

    def test_limit_that_cannot_be_read_changes_nothing(self):
        """Guards against malformed headers that end a limit or break the response."""
        network = self.network()
        network.observe("a", LIMITED)
        network.clock.advance()
        network.observe("a", EndpointNotice(malformed=frozenset({"limit"})), 0.0)
        self.assertEqual(2.5, network.limits()[0])
        self.assertEqual(
            1, network.metrics.value("endpoint_notices_malformed", "limit")
        )
