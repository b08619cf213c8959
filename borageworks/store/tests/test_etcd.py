"""Tests of the etcd client against the emulated gateway and its faults."""

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
    """Run an emulated store and a client connected to it."""
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


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds."""
    while not condition():  # noqa: ASYNC110 - the emulated store has no events
        await asyncio.sleep(0.001)


async def collect(store: EtcdStore, start: int, count: int) -> list[WatchBatch]:
    """Return the first `count` batches of a watch."""
    batches: list[WatchBatch] = []
    async with aclosing(store.watch("", start)) as watch:
        async for batch in watch:
            batches.append(batch)
            if len(batches) == count:
                break
    return batches


class CommitTest(testtools.TestCase):
    """Guards against transactions that are lost, partial or applied twice."""

    def test_only_one_of_two_conflicting_writes_succeeds(self):
        async def run():
            async with connected() as (_, store, _metrics):
                first = await store.commit(put("a", b"1"))
                second = await store.commit(put("a", b"2"))
                stored = await store.get("a")
                assert stored is not None
                self.assertEqual((True, False), (first.succeeded, second.succeeded))
                self.assertEqual(b"1", stored.value)
                self.assertEqual(first.revision, stored.mod_revision)

        asyncio.run(run())

    def test_failed_compare_applies_no_operation(self):
        async def run():
            async with connected() as (_, store, _metrics):
                await store.commit(put("a", b"1"))
                result = await store.commit(
                    Transaction({"a": 99, "b": 0}, {"b": b"2"}, ("a",))
                )
                self.assertFalse(result.succeeded)
                self.assertEqual(["a"], list((await store.range("")).values))

        asyncio.run(run())

    def test_lost_reply_is_an_unknown_outcome(self):
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

    def test_timed_out_write_is_an_unknown_outcome_and_may_apply_later(self):
        async def run():
            async with connected() as (emulated, store, _metrics):
                before = emulated.revision
                emulated.faults.delay_s = TIMEOUT_S * 1.5
                with ExpectedException(StoreOutcomeUnknownError):
                    await store.commit(put("a", b"1"))
                with ExpectedException(StoreUnavailableError):
                    await store.get("a")
                emulated.faults.delay_s = 0.0
                await wait_until(lambda: emulated.revision > before)
                self.assertIsNotNone(await store.get("a"))

        asyncio.run(run())

    def test_server_error_on_a_write_is_an_unknown_outcome(self):
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

    def test_refused_connection_and_rate_limit_mean_nothing_was_written(self):
        async def run():
            async with connected() as (emulated, store, _metrics):
                emulated.faults.writes_per_second = 1e-9
                await store.commit(put("a", b"1"))
                with ExpectedException(StoreUnavailableError):
                    await store.commit(put("b", b"1"))
                await emulated.stop()
                # Discards the pooled connection; a write on it has an unknown outcome.
                with ExpectedException(StoreUnavailableError):
                    await store.get("a")
                with ExpectedException(StoreUnavailableError):
                    await store.commit(put("c", b"1"))

        asyncio.run(run())

    def test_outage_of_one_source_address_does_not_affect_others(self):
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
    """Guards against ranges that are truncated or mix revisions."""

    def test_pages_have_one_revision_and_only_the_prefix(self):
        async def run():
            async with connected(page_keys=3) as (emulated, store, metrics):
                for number in range(10):
                    await store.commit(put(f"a/{number}", b"1"))
                await store.commit(put("b/0", b"1"))
                emulated.faults.reply_delay_s = 0.05
                range_task = asyncio.create_task(store.range("a/"))
                await wait_until(lambda: emulated.calls["range"] > 0)
                await asyncio.sleep(0.01)
                await store.commit(Transaction({}, {"a/9": b"2"}, ("a/8",)))
                result = await range_task
                self.assertEqual({b"1"}, {v.value for v in result.values.values()})
                self.assertEqual(
                    [f"a/{number}" for number in range(10)], list(result.values)
                )
                self.assertEqual(4, metrics.value("store_calls", "range"))

        asyncio.run(run())


class WatchTest(testtools.TestCase):
    """Guards against missed, repeated or partial changes."""

    def test_batch_contains_the_whole_transaction(self):
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

    def test_broken_watch_resumes_without_gap_or_repetition(self):
        async def run():
            async with connected() as (emulated, store, _):
                start = (await store.commit(put("k/0", b""))).revision
                watch_task = asyncio.create_task(collect(store, start, 6))
                for number in range(1, 6):
                    await wait_until(lambda: emulated.watches > 0)
                    if number % 2:
                        emulated.break_watches()
                    await store.commit(put(f"k/{number}", b""))
                batches = await watch_task
                self.assertEqual(
                    [f"k/{number}" for number in range(6)],
                    [key for batch in batches for key in batch.puts],
                )

        asyncio.run(run())

    def test_watch_from_the_current_revision_survives_a_broken_connection(self):
        async def run():
            async with connected() as (emulated, store, _):
                await store.commit(put("old", b""))
                watch_task = asyncio.create_task(collect(store, 0, 1))
                await wait_until(lambda: emulated.watches > 0)
                await asyncio.sleep(0.05)
                emulated.break_watches()
                await store.commit(put("new", b""))
                self.assertEqual(["new"], list((await watch_task)[0].puts))

        asyncio.run(run())

    def test_compacted_start_revision_is_an_error(self):
        async def run():
            async with connected() as (emulated, store, _):
                for number in range(4):
                    await store.commit(put(f"k/{number}", b""))
                emulated.compact(4)
                with ExpectedException(StoreCompactedError):
                    await collect(store, 2, 1)

        asyncio.run(run())


class LeaseTest(testtools.TestCase):
    """Guards against keys that outlive their lease."""

    def test_expired_lease_deletes_its_keys_and_cannot_be_renewed(self):
        async def run():
            async with connected() as (_, store, _metrics):
                lease = await store.grant_lease(0.2)
                await store.commit(Transaction({}, {"a": b"1"}, (), lease))
                await store.keep_alive(lease)
                watch_task = asyncio.create_task(collect(store, 2, 2))
                with suppress(TimeoutError):
                    await asyncio.wait_for(watch_task, 10)
                self.assertEqual(("a",), watch_task.result()[1].deletes)
                with ExpectedException(StoreLeaseExpiredError):
                    await store.keep_alive(lease)

        asyncio.run(run())


class InterfaceTest(testtools.TestCase):
    """Makes mypy check that the client implements the store interface."""

    def test_client_implements_store(self):
        store: Store = EtcdStore(StoreSettings(url="http://127.0.0.1:1"), Metrics())
        self.assertIsNotNone(store)
