"""Tests of the store adapter against the emulated gateway, with each fault."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager, suppress

import testtools
from testtools import ExpectedException

from borageworks.config.settings import StoreSettings
from borageworks.exceptions import (
    StoreCompactedError,
    StoreLeaseExpiredError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from borageworks.metrics import Metrics
from borageworks.store.etcd import EtcdStore
from borageworks.store.store import Store
from borageworks.store.values import Transaction, WatchBatch
from borageworks_emulator.store import EmulatedStore

TIMEOUT_S = 1.0


@asynccontextmanager
async def connected(
    **options,
) -> AsyncIterator[tuple[EmulatedStore, EtcdStore, Metrics]]:
    """Start an emulated store and connect an adapter to it."""
    emulated = EmulatedStore()
    await emulated.start()
    metrics = Metrics()
    settings = StoreSettings(url=emulated.url, timeout_s=TIMEOUT_S)
    store = EtcdStore(settings, metrics, **options)
    try:
        yield emulated, store, metrics
    finally:
        await store.close()
        await emulated.stop()


def put(key: str, value: bytes, expected: int = 0) -> Transaction:
    """Return a transaction that writes one key."""
    return Transaction({key: expected}, {key: value})


async def until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds."""
    while not condition():  # noqa: ASYNC110 - the emulated store has no events
        await asyncio.sleep(0.001)


async def collect(store: EtcdStore, start: int, count: int) -> list[WatchBatch]:
    """Return the first `count` batches of a watch."""
    found: list[WatchBatch] = []
    async with aclosing(store.watch("", start)) as batches:
        async for batch in batches:
            found.append(batch)
            if len(found) == count:
                break
    return found


class CommitTest(testtools.TestCase):
    """Guards against a lost or doubled effect of a transaction."""

    def test_only_one_of_two_writers_with_the_same_expectation_succeeds(self):
        async def run():
            async with connected() as (_, store, _metrics):
                first = await store.commit(put("a", b"1"))
                second = await store.commit(put("a", b"2"))
                found = await store.get("a")
                assert found is not None
                self.assertEqual((True, False), (first.succeeded, second.succeeded))
                self.assertEqual(b"1", found.value)
                self.assertEqual(first.revision, found.mod_revision)

        asyncio.run(run())

    def test_a_failed_compare_applies_nothing_of_a_transaction(self):
        async def run():
            async with connected() as (_, store, _metrics):
                await store.commit(put("a", b"1"))
                result = await store.commit(
                    Transaction({"a": 99, "b": 0}, {"b": b"2"}, ("a",))
                )
                self.assertFalse(result.succeeded)
                self.assertEqual(["a"], list((await store.range("")).values))

        asyncio.run(run())

    def test_a_lost_reply_is_an_unknown_outcome_and_not_a_failure(self):
        async def run():
            async with connected() as (emulated, store, _metrics):
                emulated.faults.lost_replies = 1
                with ExpectedException(StoreOutcomeUnknownError):
                    await store.commit(put("a", b"1"))
                self.assertIsNotNone(await store.get("a"))
                emulated.faults.lost_requests = 1
                with ExpectedException(StoreOutcomeUnknownError):
                    await store.commit(put("b", b"1"))
                self.assertIsNone(await store.get("b"))

        asyncio.run(run())

    def test_a_write_that_times_out_is_unknown_and_may_apply_later(self):
        async def run():
            async with connected() as (emulated, store, _metrics):
                before = emulated.revision
                emulated.faults.delay_s = TIMEOUT_S * 1.5
                with ExpectedException(StoreOutcomeUnknownError):
                    await store.commit(put("a", b"1"))
                with ExpectedException(StoreUnavailableError):
                    await store.get("a")
                emulated.faults.delay_s = 0.0
                await until(lambda: emulated.revision > before)
                self.assertIsNotNone(await store.get("a"))

        asyncio.run(run())

    def test_a_server_error_to_a_write_is_not_taken_for_a_refusal(self):
        async def run():
            async with connected() as (emulated, store, metrics):
                emulated.unavailable = True
                with ExpectedException(StoreOutcomeUnknownError):
                    await store.commit(put("a", b"1"))
                with ExpectedException(StoreUnavailableError):
                    await store.get("a")
                self.assertEqual(
                    1, metrics.value("store_failures", "store_outcome_unknown")
                )

        asyncio.run(run())

    def test_a_refused_connection_and_a_rate_limit_leave_no_doubt(self):
        async def run():
            async with connected() as (emulated, store, _metrics):
                emulated.faults.writes_per_second = 1e-9
                await store.commit(put("a", b"1"))
                with ExpectedException(StoreUnavailableError):
                    await store.commit(put("b", b"1"))
                await emulated.stop()
                # The pooled connection closes; a write on it would be in doubt.
                with ExpectedException(StoreUnavailableError):
                    await store.get("a")
                with ExpectedException(StoreUnavailableError):
                    await store.commit(put("c", b"1"))

        asyncio.run(run())

    def test_an_outage_of_one_source_leaves_the_others_served(self):
        async def run():
            async with connected(local_host="127.0.0.2") as (emulated, store, _):
                other = EtcdStore(StoreSettings(url=emulated.url), Metrics())
                emulated.faults.blocked_sources.add("127.0.0.2")
                with ExpectedException(StoreUnavailableError):
                    await store.get("a")
                self.assertIsNone(await other.get("a"))
                await other.close()

        asyncio.run(run())


class RangeTest(testtools.TestCase):
    """Guards against a truncated or mixed view of many keys."""

    def test_pages_show_one_revision_and_only_the_prefix(self):
        async def run():
            async with connected(page_keys=3) as (emulated, store, metrics):
                for number in range(10):
                    await store.commit(put(f"a/{number}", b"1"))
                await store.commit(put("b/0", b"1"))
                emulated.faults.reply_delay_s = 0.05
                reading = asyncio.create_task(store.range("a/"))
                await until(lambda: emulated.calls["range"] > 0)
                await asyncio.sleep(0.01)
                await store.commit(Transaction({}, {"a/9": b"2"}, ("a/8",)))
                result = await reading
                self.assertEqual({b"1"}, {v.value for v in result.values.values()})
                self.assertEqual(
                    [f"a/{number}" for number in range(10)], list(result.values)
                )
                self.assertEqual(4, metrics.value("store_calls", "range"))

        asyncio.run(run())


class WatchTest(testtools.TestCase):
    """Guards against missed, repeated or torn changes."""

    def test_a_batch_holds_the_whole_transaction(self):
        async def run():
            async with connected() as (_, store, metrics):
                first = await store.commit(Transaction({}, {"a": b"1", "b": b"2"}))
                second = await store.commit(Transaction({}, {"c": b"3"}, ("a",)))
                batches = await collect(store, first.revision, 2)
                self.assertEqual({"a", "b"}, set(batches[0].puts))
                self.assertEqual(("a",), batches[1].deletes)
                self.assertEqual(second.revision, batches[1].revision)
                self.assertEqual(1, metrics.value("store_calls", "watch"))

        asyncio.run(run())

    def test_a_broken_stream_resumes_without_gap_or_repeat(self):
        async def run():
            async with connected() as (emulated, store, _):
                start = (await store.commit(put("k/0", b""))).revision
                watching = asyncio.create_task(collect(store, start, 6))
                for number in range(1, 6):
                    await until(lambda: emulated.watches > 0)
                    if number % 2:
                        emulated.break_watches()
                    await store.commit(put(f"k/{number}", b""))
                batches = await watching
                self.assertEqual(
                    [f"k/{number}" for number in range(6)],
                    [key for batch in batches for key in batch.puts],
                )

        asyncio.run(run())

    def test_a_watch_from_now_misses_nothing_when_its_first_stream_breaks(self):
        async def run():
            async with connected() as (emulated, store, _):
                await store.commit(put("old", b""))
                watching = asyncio.create_task(collect(store, 0, 1))
                await until(lambda: emulated.watches > 0)
                await asyncio.sleep(0.05)
                emulated.break_watches()
                await store.commit(put("new", b""))
                self.assertEqual(["new"], list((await watching)[0].puts))

        asyncio.run(run())

    def test_a_compacted_start_is_an_error_and_not_a_silent_gap(self):
        async def run():
            async with connected() as (emulated, store, _):
                for number in range(4):
                    await store.commit(put(f"k/{number}", b""))
                emulated.compact(4)
                with ExpectedException(StoreCompactedError):
                    await collect(store, 2, 1)

        asyncio.run(run())


class LeaseTest(testtools.TestCase):
    """Guards against keys that outlast their holder."""

    def test_keys_vanish_with_an_expired_lease_and_renewal_fails(self):
        async def run():
            async with connected() as (_, store, _metrics):
                lease = await store.grant_lease(0.2)
                await store.commit(Transaction({}, {"a": b"1"}, (), lease))
                await store.keep_alive(lease)
                watching = asyncio.create_task(collect(store, 2, 2))
                with suppress(TimeoutError):
                    await asyncio.wait_for(watching, 10)
                self.assertEqual(("a",), watching.result()[1].deletes)
                with ExpectedException(StoreLeaseExpiredError):
                    await store.keep_alive(lease)

        asyncio.run(run())


class InterfaceTest(testtools.TestCase):
    """Guards against an adapter that mypy does not accept as a store."""

    def test_the_adapter_is_a_store(self):
        store: Store = EtcdStore(StoreSettings(url="http://127.0.0.1:1"), Metrics())
        self.assertIsNotNone(store)
