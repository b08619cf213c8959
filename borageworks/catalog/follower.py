"""Reads the configuration from the store and follows its changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Iterable

from borageworks.catalog.bucket import Bucket
from borageworks.catalog.bucket_hash import BUCKET_COUNT
from borageworks.catalog.head import Head
from borageworks.catalog.keys import CATALOG_PREFIX, CatalogKeys
from borageworks.catalog.replica import Replica
from borageworks.catalog.stored_state import read_state
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.exceptions import StoreReplyMalformedError, StoreUnavailableError
from borageworks.store.store import Store

# Limits a watcher to 20 reads/s under a steady stream of tickets: 18 watchers then
# take 360 of the 2,000 reads/s that the store serves.
READ_INTERVAL_S = 0.05

# At or above this number of changed buckets, one range call replaces single reads.
RANGE_READ_MIN_BUCKETS = 8

# Revision of a store without a configuration; etcd starts at 1.
EMPTY_STORE_REVISION = 1


class StoreFollower:
    """Copies the stored configuration and its changes into the replica.

    Every method may raise `StoreUnavailableError` and `StoreReplyMalformedError`.

    Parameters
    ----------
    store
        Platform store.
    replica
        Copy of the configuration to keep current.
    merge
        Merges objects into the replica and returns those that took effect.
    push
        Sends changed objects to peers.
    """

    def __init__(
        self,
        store: Store,
        replica: Replica,
        merge: Callable[[Iterable[VersionedObject]], list[VersionedObject]],
        push: Callable[[list[VersionedObject]], None],
    ) -> None:
        self._store = store
        self._replica = replica
        self._merge = merge
        self._push = push
        self._keys = CatalogKeys(CATALOG_PREFIX)
        # Ticket count of each bucket as last read from the store.
        self._read_ticket_counts = [0] * BUCKET_COUNT

    async def follow(self, revision: int) -> None:
        """Watch the head after a store revision and read the buckets that changed."""
        batches = self._store.watch(self._keys.head, revision + 1)
        try:
            async for batch in batches:
                head = batch.puts.get(self._keys.head)
                if head is not None:
                    await self._read_changed(Head.decode(head.value), batch.revision)
        finally:
            if isinstance(batches, AsyncGenerator):
                await batches.aclose()
        raise StoreUnavailableError("the watch of the configuration head ended")

    async def catch_up(self) -> int:
        """Read the changes that the replica lacks; return the revision read."""
        if not self._replica.revision:
            return await self.load()
        head = await self._store.get(self._keys.head)
        if head is None:
            return await self.load()
        stored = Head.decode(head.value)
        if (
            not any(self._read_ticket_counts)
            and head.mod_revision <= self._replica.revision
        ):
            # The configuration came from peers and is complete up to this head.
            self._read_ticket_counts = list(stored.buckets)
        else:
            await self._read_changed(stored, head.mod_revision)
        return head.mod_revision

    async def load(self) -> int:
        """Read the configuration in one call; return the store's revision."""
        was_complete = bool(self._replica.revision)
        state = await read_state(self._store, self._keys, lookup=self._replica.get)
        changed: list[VersionedObject] = []
        for bucket in state.buckets:
            changed += self._merge(bucket.objects)
            # Merging 28,000 organisations in one step blocks the event loop for 0.15 s.
            await asyncio.sleep(0)
        self._read_ticket_counts = list(state.head.buckets)
        self._replica.advance_revision(state.head_revision or EMPTY_STORE_REVISION)
        if was_complete:
            self._push(changed)
        return state.read_revision

    async def _read_changed(self, head: Head, revision: int) -> None:
        changed = [
            index
            for index, count in enumerate(head.buckets)
            if count > self._read_ticket_counts[index]
        ]
        if len(changed) >= RANGE_READ_MIN_BUCKETS:
            await self.load()
            await asyncio.sleep(READ_INTERVAL_S)
            return
        # Merged in one call, so the objects of one ticket take effect together.
        buckets = [
            await self._read_bucket(index, head.buckets[index]) for index in changed
        ]
        merged = self._merge(item for bucket in buckets for item in bucket.objects)
        self._replica.advance_revision(revision)
        self._push(merged)
        for index, bucket in zip(changed, buckets, strict=True):
            self._read_ticket_counts[index] = bucket.tickets
        await asyncio.sleep(READ_INTERVAL_S * len(changed))

    async def _read_bucket(self, index: int, tickets: int) -> Bucket:
        key = self._keys.bucket(index)
        stored = await self._store.get(key)
        if stored is None:
            raise StoreReplyMalformedError(f"{key} is missing")
        bucket = Bucket.decode(stored.value, stored.mod_revision, self._replica.get)
        if bucket.tickets < tickets:
            raise StoreReplyMalformedError(f"{key} is older than the head")
        return bucket
