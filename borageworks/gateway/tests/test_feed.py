"""Tests of the feed from readers of the store to the others."""

from typing import Any, cast

from testtools import TestCase

from borageworks.gateway.feed import Feed
from borageworks.gateway.fleet import FED_DOMAIN_INSTANCES, READERS
from borageworks.gateway.replica import ReplicaChange, StoreReplica
from borageworks.gateway.tests.test_fleet import FakeTimers, fleet_of
from borageworks.gateway.tests.test_state import GATEWAY
from borageworks.metrics import Metrics
from borageworks.store.values import RangeResult, StoredValue
from borageworks.wire.messages import ReplicaNews


class FakeFleet:
    """Fleet of one failure domain, with the readers that the test sets."""

    def __init__(self, instance, readers):
        self.instance = instance
        self.chosen = readers
        self.neighbours = [name for name in "abc" if name != instance]
        self.sent = []

    def readers(self):
        return self.chosen

    def send(self, instance, message):
        self.sent.append((instance, message))


class FeedTest(TestCase):
    def feed(self, instance, readers=("a", "b")):
        self.timers = FakeTimers()
        self.fleet = FakeFleet(instance, list(readers))
        return Feed(GATEWAY, cast(Any, self.fleet), cast(Any, self.timers), Metrics())

    def test_reader_tells_all_others_and_asks_often(self):
        """Guards against readers that vouch too seldom for what they tell."""
        feed = self.feed("a")
        change = ReplicaChange({"k": StoredValue(b"v", 7)}, ("gone",))
        feed.publish(6, 7, change, 1.5)
        self.assertEqual(["b", "c"], [name for name, _ in self.fleet.sent])
        news = self.fleet.sent[0][1]
        self.assertEqual((6, 7, 1.5), (news.after, news.revision, news.lapse_grace_s))
        self.assertTrue(cast(float, feed.watch_wait_s()) < feed.silence_s)
        self.assertTrue(feed.silence_s < GATEWAY.apply_s)

    def test_others_tell_nothing_and_keep_their_pace(self):
        """Guards against store calls that grow with the number of instances."""
        feed = self.feed("c")
        feed.publish(6, 7, ReplicaChange(), 0.0)
        self.assertEqual([], self.fleet.sent)
        self.assertIsNone(feed.watch_wait_s())

    def test_silence_ends_the_feed_in_time(self):
        """Guards against changes that are missed behind a reader that was cut off."""
        feed = self.feed("c")
        self.assertFalse(feed.fed)
        feed.take(ReplicaNews(7, 7, 0.0), 7)
        self.assertTrue(feed.fed)
        self.timers.time += feed.silence_s + 0.01
        self.assertFalse(feed.fed)

    def test_age_of_news_counts(self):
        """Guards against news that waited on their way."""
        feed = self.feed("c")
        feed.take(ReplicaNews(7, 7, feed.silence_s + 0.01), 7)
        self.assertFalse(feed.fed)

    def test_reader_is_not_fed(self):
        """Guards against readers that wait for each other."""
        feed = self.feed("a")
        feed.take(ReplicaNews(7, 7, 0.0), 7)
        self.assertFalse(feed.fed)

    def test_gap_is_no_sign_that_the_copy_is_current(self):
        """Guards against a copy that lacks a change for ever."""
        feed = self.feed("c")
        self.assertIsNone(feed.take(ReplicaNews(8, 9, 0.0), 7))
        self.assertFalse(feed.fed)

    def test_news_change_a_copy_as_the_store_would(self):
        """Guards against items that are lost or come back on the way."""
        reader, other = StoreReplica(), StoreReplica()
        first = RangeResult({"a": StoredValue(b"1", 1), "b": StoredValue(b"1", 2)}, 2)
        reader.replace(first)
        other.replace(first)
        feed = self.feed("a")
        change = reader.replace(RangeResult({"a": StoredValue(b"2", 5)}, 5))
        feed.publish(2, 5, change, 0.0)
        batch = self.feed("c").take(feed._fleet.sent[0][1], other.revision)
        assert batch is not None
        other.apply(batch)
        self.assertEqual((reader.items, 5), (other.items, other.revision))


class ReadersTest(TestCase):
    def names(self, count):
        return {f"i-{number}": 1.0 for number in range(count)}

    def test_small_failure_domain_has_no_readers(self):
        """Guards against more calls than without readers."""
        self.assertEqual([], fleet_of(self.names(FED_DOMAIN_INSTANCES - 2)).readers())

    def test_silent_reader_is_replaced(self):
        """Guards against a failure domain without readers."""
        fleet = fleet_of(self.names(FED_DOMAIN_INSTANCES))
        readers = fleet.readers()
        self.assertEqual(READERS, len(readers))
        other = next(name for name in readers if name != fleet.instance)
        fleet.suspect(other)
        self.assertNotIn(other, fleet.readers())
        self.assertEqual(READERS, len(fleet.readers()))
