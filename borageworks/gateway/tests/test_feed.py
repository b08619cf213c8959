"""Tests of the distribution of store changes within a failure domain."""

from typing import Any, cast

from testtools import TestCase

from borageworks.gateway.feed import Feed
from borageworks.gateway.fleet import (
    MIN_DOMAIN_INSTANCES_FOR_READERS,
    READERS_PER_DOMAIN,
)
from borageworks.gateway.replica import ReplicaChange, StoreReplica
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.gateway.tests.test_fleet import FakeTimers, make_fleet
from borageworks.metrics import Metrics
from borageworks.store.values import RangeResult, StoredValue
from borageworks.wire.messages import ReplicaNews


class FakeFleet:
    """Fleet of one failure domain with a fixed list of readers."""

    def __init__(self, instance, readers):
        self.instance = instance
        self.reader_names = readers
        self.domain_peers = [name for name in "abc" if name != instance]
        self.sent = []

    def readers(self):
        return self.reader_names

    def send(self, instance, message):
        self.sent.append((instance, message))


class FeedTest(TestCase):
    def feed(self, instance, readers=("a", "b")):
        self.timers = FakeTimers()
        self.fleet = FakeFleet(instance, list(readers))
        return Feed(GATEWAY, cast(Any, self.fleet), cast(Any, self.timers), Metrics())

    def test_reader_sends_changes_to_all_peers_and_polls_often(self):
        """Guards against readers that confirm their revision too rarely."""
        feed = self.feed("a")
        change = ReplicaChange({"k": StoredValue(b"v", 7)}, ("gone",))
        feed.publish(0, 6, 7, change, 1.5)
        self.assertEqual(["b", "c"], [name for name, _ in self.fleet.sent])
        update = self.fleet.sent[0][1]
        self.assertEqual(
            (6, 7, 1.5), (update.after, update.revision, update.lapse_grace_s)
        )
        self.assertTrue(cast(float, feed.watch_wait_s()) < feed.timeout_s)
        self.assertTrue(feed.timeout_s < GATEWAY.config_apply_s)

    def test_non_reader_sends_nothing_and_uses_the_default_wait(self):
        """Guards against store calls that grow with the number of instances."""
        feed = self.feed("c")
        feed.publish(0, 6, 7, ReplicaChange(), 0.0)
        self.assertEqual([], self.fleet.sent)
        self.assertIsNone(feed.watch_wait_s())

    def test_feed_times_out_without_updates(self):
        """Guards against missed changes when a reader has lost its connection."""
        feed = self.feed("c")
        self.assertFalse(feed.updated_by_readers)
        feed.receive(ReplicaNews(7, 7, 0.0), 0, 7)
        self.assertTrue(feed.updated_by_readers)
        self.timers.time += feed.timeout_s + 0.01
        self.assertFalse(feed.updated_by_readers)

    def test_stale_update_does_not_count_as_current(self):
        """Guards against updates that were delayed in transit."""
        feed = self.feed("c")
        feed.receive(ReplicaNews(7, 7, feed.timeout_s + 0.01), 0, 7)
        self.assertFalse(feed.updated_by_readers)

    def test_reader_is_not_updated_by_readers(self):
        """Guards against readers that rely on each other instead of the store."""
        feed = self.feed("a")
        feed.receive(ReplicaNews(7, 7, 0.0), 0, 7)
        self.assertFalse(feed.updated_by_readers)

    def test_update_after_a_gap_is_ignored(self):
        """Guards against a replica that lacks a change permanently."""
        feed = self.feed("c")
        self.assertIsNone(feed.receive(ReplicaNews(8, 9, 0.0), 0, 7))
        self.assertFalse(feed.updated_by_readers)

    def test_update_of_another_era_is_ignored(self):
        """Guards against revisions that a restored store has given out again."""
        feed = self.feed("c")
        for era in (1, 3):
            self.assertIsNone(feed.receive(ReplicaNews(7, 8, 0.0, era=era), 2, 7))
        self.assertFalse(feed.updated_by_readers)
        self.assertIsNotNone(feed.receive(ReplicaNews(7, 8, 0.0, era=2), 2, 7))

    def test_update_changes_a_replica_as_the_store_does(self):
        """Guards against items that an update loses or restores."""
        reader, follower = StoreReplica(), StoreReplica()
        first = RangeResult({"a": StoredValue(b"1", 1), "b": StoredValue(b"1", 2)}, 2)
        reader.replace(first)
        follower.replace(first)
        feed = self.feed("a")
        change = reader.replace(RangeResult({"a": StoredValue(b"2", 5)}, 5))
        feed.publish(0, 2, 5, change, 0.0)
        batch = self.feed("c").receive(feed._fleet.sent[0][1], 0, follower.revision)
        assert batch is not None
        follower.apply(batch)
        self.assertEqual((reader.items, 5), (follower.items, follower.revision))


class ReadersTest(TestCase):
    def names(self, count):
        return {f"i-{number}": 1.0 for number in range(count)}

    def test_small_failure_domain_has_no_readers(self):
        """Guards against more store calls than without readers."""
        self.assertEqual(
            [], make_fleet(self.names(MIN_DOMAIN_INSTANCES_FOR_READERS - 2)).readers()
        )

    def test_suspected_reader_is_replaced(self):
        """Guards against a failure domain left without readers."""
        fleet = make_fleet(self.names(MIN_DOMAIN_INSTANCES_FOR_READERS))
        readers = fleet.readers()
        self.assertEqual(READERS_PER_DOMAIN, len(readers))
        other = next(name for name in readers if name != fleet.instance)
        fleet.suspect(other)
        self.assertNotIn(other, fleet.readers())
        self.assertEqual(READERS_PER_DOMAIN, len(fleet.readers()))
