"""Tests of the synchroniser on simulated time, with message loss and store faults."""

import asyncio
from collections import Counter

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from borageworks.catalog import follower
from borageworks.catalog import sync as sync_module
from borageworks.catalog.bucket_hash import bucket_of
from borageworks.catalog.keys import CATALOG_PREFIX
from borageworks.catalog.tests.builders import organisation, ticket
from borageworks.catalog.tests.fake_store import FakeStore
from borageworks.catalog.tests.fleet import FRAME_LIMIT_BYTES, Fleet, run, simulated
from borageworks.catalog.tickets import apply_ticket
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.catalog.watchers import WATCHERS_PER_DOMAIN
from borageworks.wire.messages import (
    CatalogDigest,
    CatalogObjects,
    CatalogPull,
    Suspect,
)

DOMAINS = ("d1", "d2")


async def apply(store, number, *values):
    """Apply a ticket that puts some objects; return its store revision."""
    change = ticket(number, *values)
    return (await apply_ticket(store, CATALOG_PREFIX, change)).revision


async def start(fleet, store, count):
    """Start instances in alternating domains."""
    for index in range(count):
        await fleet.add(f"i{index}", DOMAINS[index % len(DOMAINS)], store)


class CatalogSyncTest(testtools.TestCase):
    def assert_tickets_increase(self, fleet):
        """Fail unless the ticket of each object increased with every change."""
        for instance in fleet.instances.values():
            last: Counter[tuple[str, str]] = Counter()
            for item in instance.changes:
                self.assertGreater(item.ticket, last[item.key])
                last[item.key] = item.ticket

    def test_tickets_reach_all_and_only_watchers_call_the_store(self):
        """Guards against store load that grows with the fleet."""

        async def scenario(count):
            store, fleet = FakeStore(), Fleet()
            await apply(store, 1, organisation("a"))
            await start(fleet, store, count)
            await asyncio.sleep(5)
            await fleet.wait_until_equal()
            self.assertEqual(
                WATCHERS_PER_DOMAIN * len(DOMAINS),
                sum(i.sync.watching for i in fleet.instances.values()),
            )
            store.calls.clear()
            for number in range(2, 12):
                changed = organisation(f"o{number}")
                await fleet.wait_until_equal(await apply(store, number, changed))
                for instance in fleet.instances.values():
                    self.assertIn(f"o{number}", instance.replica.organisations)
            calls.append(store.calls.copy())
            self.assert_tickets_increase(fleet)
            await fleet.stop()

        calls: list[Counter[str]] = []
        run(scenario(6))
        run(scenario(30))
        self.assertEqual(calls[0], calls[1])

    @simulated
    async def test_empty_store_is_a_complete_configuration(self, store, fleet):
        """Guards against a new fleet that never becomes ready for its first ticket."""
        await start(fleet, store, 5)
        await fleet.wait_until_equal()
        self.assertEqual((), fleet.instances["i0"].sync.readiness_blockers)
        await fleet.wait_until_equal(await apply(store, 1, organisation("a")))
        self.assertIn("a", fleet.instances["i4"].replica.organisations)

    @simulated
    async def test_store_down_at_start_loads_from_peers(self, store, fleet):
        """Guards against an instance that never becomes ready during a store outage."""
        many = [organisation(f"o{n:03d}", n) for n in range(300)]
        await apply(store, 1, *many)
        await start(fleet, store, 4)
        await fleet.wait_until_equal()
        store.down = True
        store.notify_watches()
        late = await fleet.add("late", "d1", store)
        await asyncio.sleep(0.1)
        self.assertNotEqual((), late.sync.readiness_blockers)
        await fleet.wait_until_equal()
        self.assertEqual((), late.sync.readiness_blockers)
        self.assertEqual(300, len(late.replica.organisations))
        sent = late.metrics.value("catalog_objects_sent")
        self.assertEqual(0, sent, "the initial load is not forwarded")

    @simulated
    async def test_initial_load_does_not_also_pull(self, store, fleet):
        """Guards against a starting instance that also pulls what it is loading."""
        await apply(store, 1, organisation("a"))
        await start(fleet, store, 4)
        await fleet.wait_until_equal()
        store.range_delay_s = 5.0
        late = await fleet.add("late", "d1", store)
        await fleet.wait_until_equal()
        self.assertEqual(0, late.metrics.value("catalog_pulls"))

    @simulated
    async def test_replies_to_digests_and_pulls_each_bucket_once(self, store, fleet):
        """Guards against a peer that stays out of date, and duplicate replies."""
        await apply(store, 1, organisation("a"))
        single = await fleet.add("lone", "d1", store)
        await fleet.wait_until_equal()
        ours = single.replica.digest()
        empty = CatalogDigest(0, (0,) * len(ours.hashes))
        newer = CatalogDigest(ours.revision + 1, (7, *ours.hashes[1:]))
        self.assertNotEqual(0, bucket_of("organisation", "a"))
        for _ in range(2):
            single.sync.receive("behind", empty)
            single.sync.receive("ahead", newer)
            single.sync.receive("also-ahead", newer)
        reply = CatalogDigest(ours.revision, ours.hashes)
        recent = VersionedObject("organisation", "a", 1, organisation("a"))
        objects = CatalogObjects((recent.encode(),))
        self.assertEqual(
            [
                ("behind", objects),
                ("behind", reply),
                ("ahead", reply),
                ("also-ahead", reply),
                ("behind", objects),
                ("ahead", CatalogPull((0,))),
            ],
            [(receiver, message) for _, receiver, message in fleet.sent],
        )

    @simulated
    async def test_new_objects_are_forwarded_once(self, store, fleet):
        """Guards against changes that wait for heartbeats or return to their sender."""
        await start(fleet, store, 4)
        await fleet.wait_until_equal()
        await asyncio.sleep(5)
        item = VersionedObject("organisation", "a", 9, organisation("a"))
        message = CatalogObjects((item.encode(),))
        fleet.sent.clear()
        for _ in range(2):
            fleet.instances["i0"].sync.receive("i1", message)
        self.assertEqual(
            {("i0", "i2", message), ("i0", "i3", message)}, set(fleet.sent)
        )
        self.assertEqual(2, len(fleet.sent))
        fleet.sent.clear()
        await apply(store, 1, organisation("b"))
        await asyncio.sleep(0.01)
        pushed = VersionedObject("organisation", "b", 1, organisation("b"))
        expected = CatalogObjects((pushed.encode(),))
        self.assertIn(expected, [message for _, _, message in fleet.sent])

    @simulated
    async def test_single_instance_waits_for_the_store(self, store, fleet):
        """Guards against readiness without configuration, and a stuck initial load."""
        await apply(store, 1, organisation("a"))
        store.down = True
        single = await fleet.add("lone", "d1", store)
        await asyncio.sleep(600)
        self.assertIn("does not answer", single.sync.readiness_blockers[0])
        self.assertLess(sum(store.calls.values()), 60, "retries are rate-limited")
        store.down = False
        await fleet.wait_until_equal()
        self.assertIn("a", single.replica.organisations)

    @simulated
    async def test_object_that_only_an_incomplete_instance_has_spreads(
        self, store, fleet
    ):
        """Guards against an instance that a newer object keeps from becoming ready."""
        await apply(store, 1, organisation("a"))
        await start(fleet, store, 4)
        await fleet.wait_until_equal()
        store.down = True
        store.notify_watches()
        late = await fleet.add("late", "d1", store)
        newer = VersionedObject("organisation", "b", 9, organisation("b"))
        late.sync.receive("gone", CatalogObjects((newer.encode(),)))
        await fleet.wait_until_equal()
        self.assertEqual((), late.sync.readiness_blockers)
        self.assertIn("b", fleet.instances["i0"].replica.organisations)

    @simulated
    async def test_compacted_watch_reloads(self, store, fleet):
        """Guards against a watcher that misses changes after a compaction."""
        single = await fleet.add("lone", "d1", store)
        await asyncio.sleep(5)
        store.watches_silent = True
        for number in range(1, 15):
            await apply(store, number, organisation(f"o{number}"))
        store.compacted = store.revision
        store.history.clear()
        store.watches_silent = False
        store.notify_watches()
        await fleet.wait_until_equal(store.revision)
        self.assertEqual(14, len(single.replica.organisations))
        failures = single.metrics.value("catalog_store_failures", "store_compacted")
        self.assertEqual(1, failures)
        await fleet.wait_until_equal(await apply(store, 15, organisation("next")))
        self.assertIn("next", single.replica.organisations)

    def test_bucket_older_than_the_head_is_read_again(self):
        """Guards against a revision that is reported without its changes."""

        class StaleStore(FakeStore):
            async def get(self, key):
                self.stale = getattr(self, "stale", {})
                current = await super().get(key)
                return self.stale.pop(key, current) if "bucket" in key else current

        async def scenario():
            store, fleet = StaleStore(), Fleet()
            await apply(store, 1, organisation("a"))
            single = await fleet.add("lone", "d1", store)
            await asyncio.sleep(5)
            store.stale = {k: v for k, v in store.values.items() if "bucket" in k}
            revision = await apply(store, 2, organisation("a", share=2.0))
            await fleet.wait_until_equal(revision)
            self.assertEqual(2.0, single.replica.organisations["a"].share)
            await fleet.stop()

        run(scenario())

    @simulated
    async def test_another_instance_takes_over_from_a_watcher(self, store, fleet):
        """Guards against a domain that stops following the store."""
        await start(fleet, store, 8)
        await asyncio.sleep(5)
        watching = [n for n, i in fleet.instances.items() if i.sync.watching]
        for name in watching:
            await fleet.remove(name)
        await fleet.wait_until_equal(await apply(store, 1, organisation("a")))
        for instance in fleet.instances.values():
            self.assertIn("a", instance.replica.organisations)

    @simulated
    async def test_store_reads_are_rate_limited(self, store, fleet):
        """Guards against watchers that read the store on each of many tickets."""
        single = await fleet.add("lone", "d1", store)
        await asyncio.sleep(5)
        started = fleet.timers.now()
        for number in range(1, 301):
            changed = organisation(f"o{number}")
            revision = await apply(store, number, changed)
            await asyncio.sleep(0.001)
        await fleet.wait_until_equal(revision)
        self.assertEqual(300, len(single.replica.organisations))
        elapsed = fleet.timers.now() - started
        reads = sum(n for key, n in store.keys_read.items() if "bucket" in key)
        self.assertLessEqual(reads, 2 + elapsed / follower.READ_INTERVAL_S)

    @simulated
    async def test_large_replies_fit_a_frame(self, store, fleet):
        """Guards against a reply that exceeds the frame limit."""
        names = tuple(f"organisation-with-a-long-name-{n:05d}" for n in range(3000))
        await apply(store, 1, *(organisation(name) for name in names))
        await start(fleet, store, 2)
        await fleet.wait_until_equal()
        store.down = True
        store.notify_watches()
        late = await fleet.add("late", "d1", store)
        sent = [i.metrics for i in fleet.instances.values()]
        await fleet.wait_until_equal()
        self.assertEqual(3000, len(late.replica.organisations))
        total = sum(metrics.value("catalog_bytes_sent") for metrics in sent)
        self.assertGreater(total, fleet.max_frame_bytes * 20)
        self.assertLess(fleet.max_frame_bytes, FRAME_LIMIT_BYTES)
        messages = list(sync_module._split_messages([b"x" * 100_000] * 30))
        self.assertEqual(30, len(messages))

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        seed=st.integers(0, 1 << 16),
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        duplication=st.sampled_from([0.0, 0.5]),
        delay_s=st.sampled_from([0.01, 1.0, 8.0]),
        changes=st.lists(
            st.tuples(
                st.integers(0, 3), st.integers(0, 4), st.integers(1, 9), st.booleans()
            ),
            max_size=25,
        ),
    )
    def test_replicas_converge_after_message_loss(
        self, seed, loss, duplication, delay_s, changes
    ):
        """Guards against replicas that stay different, and objects that revert."""

        async def scenario():
            store = FakeStore()
            fleet = Fleet(seed, loss, duplication, delay_s)
            await start(fleet, store, 4)
            await fleet.wait_until_equal()
            store.down = True
            store.notify_watches()
            expected: dict[str, int] = {}
            # One ticket number gives one state of an object, as with accepted tickets.
            distinct = {change[1:3]: change for change in changes}
            for receiver_index, name, number, deleted in distinct.values():
                key = f"o{name}"
                value = None if deleted else organisation(key)
                item = VersionedObject("organisation", key, number, value)
                expected[key] = max(number, expected.get(key, 0))
                receiver = fleet.instances[f"i{receiver_index}"]
                receiver.sync.receive("gone", CatalogObjects((item.encode(),)))
                await asyncio.sleep(0.2)
            await asyncio.sleep(5)
            fleet.loss, fleet.delay_s = 0.0, 0.01
            await asyncio.sleep(10)
            await fleet.wait_until_equal(limit_s=600.0)
            for instance in fleet.instances.values():
                found = {
                    item.id: item.ticket
                    for index in range(64)
                    for item in instance.replica.bucket(index)
                }
                self.assertEqual(expected, found)
            self.assert_tickets_increase(fleet)
            await fleet.stop()

        run(scenario())

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        st.builds(CatalogObjects, st.lists(st.binary(max_size=40)).map(tuple))
        | st.builds(
            CatalogDigest,
            st.integers(0, 3),
            st.lists(st.integers(0, 1 << 63), min_size=0, max_size=66).map(tuple),
        )
        | st.builds(CatalogPull, st.lists(st.integers(0, 70), max_size=5).map(tuple))
        | st.builds(Suspect, st.just(b""), st.just(""), st.just(""), st.booleans())
    )
    def test_generated_messages_change_nothing(self, message):
        """Guards against peer messages that stop the instance or its readiness."""

        async def scenario():
            store, fleet = FakeStore(), Fleet()
            await apply(store, 1, organisation("a"))
            single = await fleet.add("lone", "d1", store)
            await fleet.wait_until_equal()
            version = single.replica.version()
            single.sync.receive("peer", message)
            await asyncio.sleep(1)
            self.assertEqual(version, single.replica.version())
            await fleet.stop()

        run(scenario())
