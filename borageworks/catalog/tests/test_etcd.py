"""Tests of tickets and synchronisation with the etcd adapter and an emulated store."""

import asyncio
from contextlib import asynccontextmanager

import testtools

from borageworks.catalog import sync as sync_module
from borageworks.catalog import tickets as tickets_module
from borageworks.catalog.keys import CATALOG_PREFIX, CatalogKeys
from borageworks.catalog.stored_state import read_state
from borageworks.catalog.tests.builders import organisation, ticket
from borageworks.catalog.tests.fleet import Fleet
from borageworks.catalog.tickets import apply_ticket
from borageworks.config.settings import StoreSettings
from borageworks.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from borageworks.metrics import Metrics
from borageworks.store.etcd import EtcdStore
from borageworks_emulator.store import EmulatedStore

TIMEOUT_S = 1.0


@asynccontextmanager
async def connected():
    """Start an emulated store and connect an adapter to it."""
    emulated = EmulatedStore()
    await emulated.start()
    store = EtcdStore(StoreSettings(url=emulated.url, timeout_s=TIMEOUT_S), Metrics())
    try:
        yield emulated, store
    finally:
        await store.close()
        await emulated.stop()


class EtcdCatalogTest(testtools.TestCase):
    def test_tickets_with_lost_replies_and_an_outage(self):
        """Guards against adapter errors that ticket application does not handle."""
        self.patch(tickets_module, "CONFLICT_BACKOFF_S", 0.0)

        async def scenario():
            async with connected() as (emulated, store):
                organisations = [organisation(f"o{n:04d}", n) for n in range(2000)]
                await apply_ticket(store, CATALOG_PREFIX, ticket(1, *organisations))
                emulated.faults.lost_replies = 1
                change = ticket(2, organisation("o0001", share=2.0))
                first = await apply_ticket(store, CATALOG_PREFIX, change)
                self.assertFalse(first.replayed)
                again = await apply_ticket(store, CATALOG_PREFIX, change)
                self.assertEqual(
                    (first.revision, True), (again.revision, again.replayed)
                )
                state = await read_state(store, CatalogKeys())
                self.assertEqual(
                    (2, 2000), (state.head.tickets, len([*state.objects()]))
                )
                emulated.unavailable = True
                with testtools.ExpectedException(StoreUnavailableError):
                    await apply_ticket(store, CATALOG_PREFIX, ticket(3, *organisations))
                emulated.unavailable = False
                emulated.faults.lost_requests = 1000
                with testtools.ExpectedException(StoreOutcomeUnknownError):
                    await apply_ticket(
                        store, CATALOG_PREFIX, ticket(3, *organisations[:1])
                    )

        asyncio.run(scenario())

    def test_watcher_recovers_from_broken_watches_and_compaction(self):
        """Guards against watch errors that the synchroniser does not handle."""
        self.patch(sync_module, "ROLE_INTERVAL_S", 0.05)
        self.patch(sync_module, "INITIAL_RETRY_S", 0.05)

        async def scenario():
            async with connected() as (emulated, store):
                fleet = Fleet()
                single = await fleet.add("lone", "d1", store)
                for number in range(1, 6):
                    change = ticket(number, organisation(f"o{number}"))
                    result = await apply_ticket(store, CATALOG_PREFIX, change)
                    await fleet.wait_until_equal(result.revision)
                    emulated.break_watches()
                    if number == 3:
                        emulated.compact(emulated.revision)
                self.assertEqual(5, len(single.replica.organisations))
                self.assertTrue(single.sync.watching)
                await fleet.stop()

        asyncio.run(scenario())
