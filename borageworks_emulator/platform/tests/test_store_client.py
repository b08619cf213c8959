"""Tests of the store's client against a store that comes back from an older copy."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from borageworks.exceptions import (
    StoreLeaseExpiredError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
    StoreUnavailableError,
)
from borageworks.gateway.settings import HostPort
from borageworks.gateway.tests.test_components import GATEWAY
from borageworks.metrics import Metrics
from borageworks.platform.store import PlatformStore
from borageworks.store.values import Transaction
from borageworks_emulator.platform.store import EmulatedPlatformStore


def settings_for(store):
    """Return settings that name an emulated store."""
    return replace(GATEWAY, store_address=HostPort(*store.address))


class RestoredStoreTest(TestCase):
    def run_scenario(self, scenario):
        async def main():
            store = EmulatedPlatformStore()
            await store.start()
            client = PlatformStore(settings_for(store), Metrics())
            try:
                return await scenario(store, client)
            finally:
                await client.close()
                await store.stop()

        return asyncio.run(main())

    def test_watch_from_a_revision_that_was_given_out_again(self):
        """Guards against a watch that skips what was written before its revision."""

        async def scenario(store, client):
            copy = store.copy()
            for number in range(5):
                await store.put(f"k{number}", b"old")
            known = await client.range("")
            await store.restore(copy)
            for number in range(8):
                await store.put(f"k{number}", b"new")
            with self.assertRaises(StoreRestoredError):
                async for _ in client.watch_with_progress(
                    "", known.era, known.revision + 1, lambda: 0.1
                ):
                    pass
            read = await client.range("")
            return known.era, read.era, {item.value for item in read.values.values()}

        self.assertEqual((1, 2, {b"new"}), self.run_scenario(scenario))

    def test_reply_of_an_earlier_era_that_arrives_late(self):
        """Guards against late replies that confirm what the store has lost."""

        async def scenario(store, client):
            await store.restore(store.copy())
            await client.range("")
            store._era = 1
            with self.assertRaises(StoreUnavailableError):
                await client.range("")
            with self.assertRaises(StoreOutcomeUnknownError):
                await client.commit(Transaction(puts={"k": b""}))
            return client.era

        self.assertEqual(2, self.run_scenario(scenario))

    def test_lease_of_an_earlier_era(self):
        """Guards against renewing or using the lease that got the same id."""

        async def scenario(store, client):
            copy = store.copy()
            lease = await client.grant_lease(5.0)
            await store.restore(copy)
            other = PlatformStore(settings_for(store), Metrics())
            self.assertEqual(lease.id, (await other.grant_lease(5.0)).id)
            await other.close()
            with self.assertRaises(StoreLeaseExpiredError):
                await client.commit(Transaction(puts={"k": b""}, lease=lease))
            with self.assertRaises(StoreLeaseExpiredError):
                await client.keep_alive(lease)

        self.run_scenario(scenario)
