"""Tests of how the version of a resumed stream is found, and told to others."""

import asyncio
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from borageworks.exceptions import StoreUnavailableError
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.stream_store import (
    KEYS_PER_SHARD,
    RETRY_DELAY_S,
    SHARE_INTERVAL_S,
    STORE_INTERVAL_S,
    StreamStore,
)
from borageworks.gateway.stream_versions import StreamVersions
from borageworks.metrics import Metrics
from borageworks.placement.stream_origins import stream_id
from borageworks.store.values import StoredValue

STREAMS = [stream_id("o", "engines", f"a{number}") for number in range(200)]


class FakeStore:
    """Store that keeps what is committed, or fails."""

    def __init__(self):
        self.items: dict[str, StoredValue] = {}
        self.available = True
        self.revision = 0

    async def commit(self, transaction):
        if not self.available:
            raise StoreUnavailableError("silent")
        self.revision += 1
        for key, value in transaction.puts.items():
            self.items[key] = StoredValue(value, self.revision)
        for key in transaction.deletes:
            self.items.pop(key, None)


class Instance:
    """Knowledge of one instance, with time that passes only when a test says so."""

    def __init__(self, store, *, complete=True, instances=8):
        self.store = store
        self.time = 100.0
        self.confirmed = True
        self.pending: list[Any] = []
        self.sent: list[Any] = []
        self.versions = StreamVersions(self.time, complete=complete)
        timers: Any = SimpleNamespace(now=lambda: self.time, after=self._after)
        fleet: Any = SimpleNamespace(
            instance="a",
            linked=True,
            owner=lambda _key: "a",
            count=instances,
            successors=lambda _key: {"b"},
            broadcast=lambda message: self.sent.append(("all", message)),
            send=lambda to, message: self.sent.append((to, message)),
        )
        self.streams = StreamStore(
            "own/", self.versions, fleet, store, timers, Metrics(), asyncio.run
        )
        self.streams.apply(ReplicaChange(store.items))

    def _after(self, delay, callback):
        self.pending.append((self.time + delay, callback))
        return self.pending[-1]

    def advance(self, seconds):
        self.time += seconds
        due = [item for item in self.pending if item[0] <= self.time]
        self.pending = [item for item in self.pending if item[0] > self.time]
        for _, callback in due:
            callback(self.time)
        self.streams.review()

    def list(self, *versions):
        self.versions.history(self.time, "engines").record_listed(self.time, versions)
        self.streams.review()

    def begin(self, stream, version):
        self.versions.origins.record(self.time, stream, version, 10.0, "engines/0")

    def resolve(self, stream):
        resolved = self.versions.resolve(
            self.time, "engines", stream, confirmed=self.confirmed
        )
        return None if resolved is None else resolved.version

    def keys(self, kind):
        return [key for key in self.store.items if key.startswith(f"own/{kind}/")]


class StreamStoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store: Any = FakeStore()
        self.instance = Instance(self.store)

    def test_nothing_is_told_while_there_is_one_version(self):
        """Guards against calls to the store for each stream on ordinary days."""
        self.instance.list("v1")
        for stream in STREAMS:
            self.instance.begin(stream, "v1")
            self.instance.advance(STORE_INTERVAL_S)
        self.assertEqual((1, []), (self.store.revision, self.instance.sent))
        restarted = Instance(self.store, complete=False)
        restarted.list("v1")
        self.assertEqual("v1", restarted.resolve(STREAMS[0]))

    def test_streams_of_several_versions_survive_all_instances(self):
        """Guards against streams that are unknown after a kill of all instances."""
        self.instance.list("v1")
        self.instance.begin(STREAMS[0], "v1")
        self.instance.list("v1", "v2")
        self.instance.begin(STREAMS[1], "v2")
        self.instance.advance(STORE_INTERVAL_S)
        restarted = Instance(self.store, complete=False)
        restarted.list("v2")
        found = [restarted.resolve(stream) for stream in STREAMS[:3]]
        self.assertEqual(["v1", "v2", None], found)

    def test_all_instances_of_a_small_fleet_know_each_stream(self):
        """Guards against a last instance that refuses the streams of all others."""
        for instances, told in ((8, {"all"}), (195, {"b"})):
            instance = Instance(self.store, instances=instances)
            instance.list("v1", "v2")
            instance.begin(STREAMS[0], "v1")
            instance.advance(SHARE_INTERVAL_S)
            self.assertEqual(told, {to for to, _ in instance.sent})

    def test_writes_are_batched_and_keys_are_used_again(self):
        """Guards against writes for each stream, and keys without end."""
        self.instance.list("v1", "v2")
        for number in range(2 * KEYS_PER_SHARD):
            for stream in STREAMS[:3]:
                self.instance.begin(stream + bytes([number]), "v1")
            self.instance.advance(STORE_INTERVAL_S)
        self.assertEqual(KEYS_PER_SHARD, len(self.instance.keys("streams")))
        self.assertTrue(self.store.revision <= 2 * KEYS_PER_SHARD + 2)

    def test_streams_are_stored_when_the_store_is_back(self):
        """Guards against streams that are lost with one failed write."""
        self.instance.list("v1", "v2")
        self.store.available = False
        self.instance.begin(STREAMS[0], "v1")
        self.instance.advance(STORE_INTERVAL_S)
        self.assertEqual([], self.instance.keys("streams"))
        self.store.available = True
        self.instance.advance(RETRY_DELAY_S)
        restarted = Instance(self.store, complete=False)
        self.assertEqual("v1", restarted.resolve(STREAMS[0]))

    def test_streams_are_removed_when_one_version_is_left(self):
        """Guards against keys that each start of an instance reads for nothing."""
        self.instance.list("v1", "v2")
        self.instance.begin(STREAMS[0], "v1")
        self.instance.advance(STORE_INTERVAL_S)
        self.instance.streams.apply(ReplicaChange(self.store.items))
        self.instance.list("v2")
        for _ in range(3):
            self.instance.advance(40.0)
        self.assertEqual([], self.instance.keys("streams"))
        restarted = Instance(self.store, complete=False)
        restarted.list("v2")
        self.assertEqual("v2", restarted.resolve(STREAMS[0]))

    def test_keys_that_were_never_written_are_removed_once(self):
        """Guards against endless calls to remove keys that the store does not hold."""
        self.instance.list("v1", "v2")
        self.store.available = False
        self.instance.begin(STREAMS[0], "v1")
        self.instance.advance(STORE_INTERVAL_S)
        self.store.available = True
        self.instance.list("v2")
        for _ in range(4):
            self.instance.advance(40.0)
        calls = self.store.revision
        for _ in range(10):
            self.instance.advance(STORE_INTERVAL_S)
        self.assertEqual(calls, self.store.revision)

    def test_instance_without_confirmation_infers_nothing(self):
        """Guards against a guess of an instance that learns of no new version."""
        self.instance.list("v1")
        self.instance.begin(STREAMS[0], "v1")
        self.instance.confirmed = False
        self.assertEqual("v1", self.instance.resolve(STREAMS[0]))
        self.assertIsNone(self.instance.resolve(STREAMS[1]))

    def test_odd_items_of_the_store_are_ignored(self):
        """Guards against items of another writer that end the process."""
        self.instance.list("v1")
        for value in (b"", b"[]", b'{"v1":"zz"}', b'{"v1":3}', b'{"versions":3}'):
            change = {
                f"own/{kind}/x": StoredValue(value, 1)
                for kind in ("streams", "software")
            }
            self.instance.streams.apply(ReplicaChange(change))
        self.assertEqual("v1", self.instance.resolve(STREAMS[0]))
