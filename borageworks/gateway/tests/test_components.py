"""Tests of gateway components without I/O: routes, replica, directory, shutdown."""

import time
from dataclasses import replace
from typing import cast

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from borageworks.exceptions import (
    DeploymentMalformedError,
    EndpointReplyMalformedError,
)
from borageworks.gateway.codec import Codec
from borageworks.gateway.deployment import CallerLimits, Deployment
from borageworks.gateway.directory import Directory
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.event_stream import EventSplitter
from borageworks.gateway.replica import ReplicaChange, StoreReplica
from borageworks.gateway.route import RetryPolicy, Route, Target
from borageworks.gateway.route_table import RouteTable
from borageworks.gateway.settings import GatewaySettings, HostPort
from borageworks.gateway.shutdown import Shutdown
from borageworks.metrics import Metrics
from borageworks.store.values import RangeResult, StoredValue, WatchBatch

HYPOTHESIS_SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)
PREFIXES = st.lists(st.sampled_from("abc"), max_size=4).map(
    lambda names: "/" + "".join(f"{name}/" for name in names)
)
HOST = HostPort("127.0.0.1", 1)
GATEWAY = GatewaySettings(
    instance="i",
    domain="d",
    host="127.0.0.1",
    callers_address=HOST,
    status_address=HOST,
    relay_address=HOST,
    peer_port=1,
    seeds=(),
    store_address=HOST,
    capacity=1.0,
    max_descriptors=1024,
    config_apply_s=2.0,
    recovery_grace_s=3.0,
    shutdown_timeout_s=8.0,
    lag_limit_s=0.03,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_allowance=50.0,
    balancer_lag_s=2.8,
    share_window_s=4.0,
)


def route(prefix, host="h"):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        retry_policy=RetryPolicy.NEVER,
        stream=False,
        timeout_s=1.0,
        target_latency_s=0.2,
        max_attempts=1,
        public=False,
        prompt_affinity=False,
        targets=(Target("s", 1.0),),
    )


class RouteTableTest(TestCase):
    def test_finds_the_longest_matching_prefix(self):
        """Guards against a match that is too short or ends inside a path segment."""

        @HYPOTHESIS_SETTINGS
        @given(
            st.lists(PREFIXES, max_size=8), PREFIXES, st.sampled_from(["", "a", "ab"])
        )
        def check(prefixes, start, end):
            path = start + end
            table = RouteTable(route(prefix) for prefix in prefixes)
            matching = [item for item in prefixes if path.startswith(item)]
            expected = max(matching, key=len, default=None)
            found = table.find("h", path)
            self.assertEqual(expected, found.prefix if found else None)

        check()

    def test_other_hosts_and_unusual_paths_match_nothing(self):
        """Guards against routes that match requests for other hosts."""
        table = RouteTable([route("/a/")])
        for host, path in (("x", "/a/"), ("h", "*"), ("h", ""), ("h", "/a")):
            self.assertIsNone(table.find(host, path))


class StoreReplicaTest(TestCase):
    def test_updates_in_any_order_never_revert_an_item(self):
        """Guards against reverting to an older configuration that arrives late."""

        @HYPOTHESIS_SETTINGS
        @given(st.data())
        def check(data):
            history = [
                WatchBatch(revision, {"k": StoredValue(b"%d" % revision, revision)}, ())
                if data.draw(st.booleans())
                else WatchBatch(revision, {}, ("k",))
                for revision in range(1, 8)
            ]
            replica = StoreReplica()
            newest = 0
            for _ in range(12):
                batch = data.draw(st.sampled_from(history))
                if data.draw(st.booleans()):
                    replica.apply(batch)
                else:
                    replica.replace(RangeResult(batch.puts, batch.revision))
                item = replica.items.get("k")
                if item is not None:
                    self.assertTrue(item.mod_revision >= newest)
                    newest = item.mod_revision

        check()

    def test_key_written_between_two_pages_is_kept(self):
        """Guards against deleting a key that is newer than the range."""
        replica = StoreReplica()
        replica.apply(WatchBatch(9, {"new": StoredValue(b"", 9)}, ()))
        replica = StoreReplica()
        replica.replace(
            RangeResult({"a": StoredValue(b"", 2), "z": StoredValue(b"", 9)}, 5)
        )
        change = replica.replace(RangeResult({"a": StoredValue(b"", 2)}, 6))
        self.assertEqual((), change.deletes)

    def test_range_of_a_restored_store_replaces_all_items(self):
        """Guards against items and revisions of an era that the store has left."""
        replica = StoreReplica()
        first = {"old": StoredValue(b"1", 7), "both": StoredValue(b"1", 8)}
        replica.replace(RangeResult(first, 9, 1))
        copied = {"both": StoredValue(b"0", 3)}
        change = replica.replace(RangeResult(copied, 5, 2))
        self.assertEqual(ReplicaChange(copied, ("old",), restored=True), change)
        self.assertEqual((2, 5, copied), (replica.era, replica.revision, replica.items))
        batch = WatchBatch(6, {"new": StoredValue(b"2", 6)}, (), 2)
        self.assertFalse(replica.apply(batch).empty)

    def test_updates_of_another_era_change_nothing(self):
        """Guards against replies of before a restore that arrive after it."""
        replica = StoreReplica()
        replica.replace(RangeResult({"k": StoredValue(b"2", 4)}, 4, 3))
        late = {"k": StoredValue(b"1", 90)}
        self.assertTrue(replica.replace(RangeResult(late, 90, 2)).empty)
        self.assertTrue(replica.apply(WatchBatch(90, late, (), 2)).empty)
        self.assertTrue(replica.apply(WatchBatch(90, late, (), 4)).empty)
        self.assertEqual((3, 4), (replica.era, replica.revision))

    def test_first_range_is_no_restore(self):
        """Guards against an instance that takes its start for a restore."""
        change = StoreReplica().replace(RangeResult({"k": StoredValue(b"", 1)}, 1, 6))
        self.assertFalse(change.restored)


class FakeCodec:
    """Codec whose configuration is a version number."""

    configuration_key = "config"
    endpoint_prefix = "endpoints/"
    own_prefix = "own/"

    def decode_configuration(self, data):
        if not data.isdigit():
            raise DeploymentMalformedError("not a number")
        limits = CallerLimits(1, 1, 1.0)
        return Deployment(int(data), (), {}, None, limits, None)

    def decode_endpoint(self, key, data):
        name = key.removeprefix(self.endpoint_prefix)
        state, _, numbers = data.partition(b" ")
        started_ms, sequence = (
            int(number) for number in (numbers or b"0,0").split(b",")
        )
        leaving = state == b"leaving"
        return Endpoint(
            name, "s", "10.0.0.1", 80, "d", 4, leaving, started_ms, sequence
        )


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory(cast(Codec, FakeCodec()), Metrics())

    def put(self, key, value, revision=1, now=0.0):
        change = ReplicaChange({key: StoredValue(value, revision)})
        self.directory.apply(change, now, now)

    def test_unreadable_or_older_configuration_changes_nothing(self):
        """Guards against a configuration that is reverted or lost."""
        for value in (b"5", b"broken", b"4"):
            self.put("config", value)
            deployment = self.directory.deployment
            self.assertEqual(5, deployment and deployment.version)

    def test_endpoint_is_removed_with_its_entry(self):
        """Guards against new requests to an endpoint that has deregistered."""
        self.put("endpoints/e", b"")
        self.directory.apply(ReplicaChange({}, ("endpoints/e",)), 1.0, 1.0)
        self.assertEqual({}, dict(self.directory.endpoints))

    def test_entries_expired_during_an_outage_have_a_grace_period(self):
        """Guards against losing all endpoints in an outage, or keeping dead ones."""
        for name in ("back", "gone"):
            self.put(f"endpoints/{name}", b"")
        deletes = ("endpoints/back", "endpoints/gone")
        self.directory.apply(ReplicaChange({}, deletes), 1.0, 3.0)
        self.assertEqual(2, len(self.directory.endpoints))
        self.put("endpoints/back", b"", now=2.0)
        self.assertTrue(self.directory.expire(3.0))
        self.assertEqual(["back"], list(self.directory.endpoints))

    def restore(self, **entries):
        """Apply a copy of the store with the entries of some endpoints."""
        puts = {
            f"endpoints/{name}": StoredValue(value, 1)
            for name, value in entries.items()
        }
        missing = {f"endpoints/{name}" for name in self.directory.endpoints} - set(puts)
        change = ReplicaChange(puts, tuple(missing), restored=True)
        self.directory.apply(change, 10.0, 12.0)

    def usable(self):
        endpoints = self.directory.endpoints.values()
        return {item.id for item in endpoints if not item.leaving}

    def test_restored_entry_of_an_endpoint_that_leaves(self):
        """Guards against an endpoint that was leaving and is used again."""
        self.put("endpoints/e", b"ready 5,7")
        self.put("endpoints/e", b"leaving 5,8")
        self.restore(e=b"ready 5,7")
        self.assertEqual(set(), self.usable())
        self.put("endpoints/e", b"leaving 5,9")
        self.assertEqual(set(), self.usable())

    def test_restored_entry_of_an_endpoint_that_has_left(self):
        """Guards against an endpoint that was gone and is used again."""
        self.put("endpoints/e", b"ready 5,7")
        self.directory.apply(ReplicaChange({}, ("endpoints/e",)), 1.0, 1.0)
        self.restore(e=b"ready 5,7")
        self.assertEqual(set(), self.usable())
        self.put("endpoints/e", b"ready 5,8")
        self.assertEqual({"e"}, self.usable())

    def test_restored_entry_of_an_earlier_incarnation(self):
        """Guards against requests that expect an incarnation of before a restart."""
        self.put("endpoints/e", b"ready 5,7")
        self.put("endpoints/e", b"ready 6,1")
        self.restore(e=b"ready 5,7")
        self.assertEqual(6, self.directory.endpoints["e"].started_ms)

    def test_entry_that_was_written_again_before_the_copy_was_read(self):
        """Guards against a later entry that is taken for an old one."""
        self.put("endpoints/e", b"ready 5,7")
        self.put("endpoints/f", b"ready 5,7")
        self.restore(e=b"leaving 5,8", f=b"ready 9,1")
        self.assertEqual({"f"}, self.usable())
        self.assertEqual(9, self.directory.endpoints["f"].started_ms)

    def test_entry_that_the_copy_lacks(self):
        """Guards against dropping endpoints that will register again in a moment."""
        self.put("endpoints/back", b"ready 5,1")
        self.put("endpoints/gone", b"ready 5,1")
        self.restore()
        self.assertEqual({"back", "gone"}, self.usable())
        self.put("endpoints/back", b"ready 5,2", now=11.0)
        self.directory.expire(12.0)
        self.assertEqual({"back"}, self.usable())

    def test_restored_configuration_that_is_older(self):
        """Guards against keys and routes that had been withdrawn."""
        self.put("config", b"5")
        change = ReplicaChange({"config": StoredValue(b"3", 1)}, restored=True)
        self.directory.apply(change, 1.0, 1.0)
        self.directory.apply(ReplicaChange({}, ("config",), restored=True), 2.0, 2.0)
        deployment = self.directory.deployment
        self.assertEqual(5, deployment and deployment.version)


SMALL_READ_BYTES = 4096


class EventSplitterTest(TestCase):
    def test_events_do_not_depend_on_chunk_boundaries(self):
        """Guards against events that are lost or joined at a chunk boundary."""
        data = b"id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\ndata: c\n\nid: 2\nda"

        @HYPOTHESIS_SETTINGS
        @given(st.lists(st.integers(0, len(data)), max_size=6).map(sorted))
        def check(boundaries):
            splitter = EventSplitter()
            events = []
            for start, end in zip(
                [0, *boundaries], [*boundaries, len(data)], strict=True
            ):
                events.extend(splitter.feed(data[start:end]))
            self.assertEqual([0, 1, None], [event.id for event in events])
            joined = b"".join(event.data for event in events)
            self.assertEqual(data, joined + splitter.incomplete)
            self.assertEqual(b"id: 2\nda", splitter.incomplete)

        check()

    def test_time_grows_with_the_bytes(self):
        """Guards against a read of small units that holds the loop for seconds."""

        def seconds(unit, size):
            data = unit * (size // len(unit))
            started = time.process_time()
            EventSplitter().feed(data)
            return time.process_time() - started

        growth = 8
        for unit in (b"\n", b"\r\n", b":\n\n", b"data: x\n\n", b"id: 1\ndata\n\n"):
            small_s = min(seconds(unit, SMALL_READ_BYTES) for _ in range(5))
            large_s = min(seconds(unit, growth * SMALL_READ_BYTES) for _ in range(5))
            # A quadratic splitter takes 64 times as long.
            self.assertTrue(large_s < 3 * growth * small_s, (unit, small_s, large_s))

    def test_comments_that_keep_a_connection_alive(self):
        """Guards against a sound stream that is cut, as it was silent for hours."""
        splitter = EventSplitter(max_filler_bytes=100)
        for _ in range(20):
            for _ in range(10):
                splitter.feed(b": alive\n\n")
            splitter.feed(b"\n\ndata: x\n\n")
        self.assertRaises(
            EndpointReplyMalformedError,
            lambda: [splitter.feed(b": alive\n\n") for _ in range(12)],
        )

    def test_event_number_of_more_digits_than_a_number_has(self):
        """Guards against an unexpected error at a number of thousands of digits."""
        (event,) = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\ndata: x\n\n")
        self.assertIsNone(event.id)


class ShutdownTest(TestCase):
    def test_late_requests_are_accepted_only_if_they_finish_in_time(self):
        """Guards against requests that are accepted and then cut off at shutdown."""
        shutdown = Shutdown(
            replace(GATEWAY, shutdown_timeout_s=8.0, balancer_lag_s=2.8)
        )
        for repeatable in (True, False):
            self.assertTrue(shutdown.accepts(0.0, 100.0, repeatable=repeatable))
        shutdown.begin(10.0)
        shutdown.begin(50.0)
        self.assertTrue(shutdown.accepts(12.0, 100.0, repeatable=True))
        self.assertFalse(shutdown.accepts(12.0, 100.0, repeatable=False))
        for repeatable in (True, False):
            self.assertTrue(shutdown.accepts(13.0, 1.0, repeatable=repeatable))
            self.assertFalse(shutdown.accepts(13.0, 5.0, repeatable=repeatable))
        self.assertTrue(17.0 < shutdown.response_deadline < shutdown.drain_deadline)
        self.assertTrue(17.0 < shutdown.drain_deadline < 18.0)
