"""Complete configuration as stored in the platform store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from borageworks.catalog.bucket import Bucket, VersionedLookup
from borageworks.catalog.bucket_hash import BUCKET_COUNT
from borageworks.catalog.head import Head
from borageworks.catalog.keys import CatalogKeys
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.store.store import Store


@dataclass(frozen=True, slots=True)
class StoredState:
    """Head and buckets at one store revision.

    `head_revision` is the revision that wrote the head, 0 if there is none;
    `read_revision` is the store's revision when it was read.
    """

    head: Head = field(default_factory=Head)
    head_revision: int = 0
    buckets: tuple[Bucket, ...] = (Bucket(),) * BUCKET_COUNT
    read_revision: int = 0

    def objects(self) -> Iterator[VersionedObject]:
        """Yield the objects and tombstones of all buckets."""
        for bucket in self.buckets:
            yield from bucket.objects


async def read_state(
    store: Store,
    keys: CatalogKeys,
    previous: StoredState | None = None,
    lookup: VersionedLookup | None = None,
) -> StoredState:
    """Read head and buckets at one revision, in one call.

    Parameters
    ----------
    store, keys
        Platform store and the keys to read.
    previous
        Result of an earlier read, from which unchanged buckets are reused.
    lookup
        See `Bucket.decode`.

    Raises
    ------
    StoreUnavailableError
        If the store does not reply.
    StoreReplyMalformedError
        If a stored value is malformed.
    """
    result = await store.range(keys.state)
    values = result.values
    previous = previous or StoredState()
    buckets = []
    for index, old in enumerate(previous.buckets):
        stored = values.get(keys.bucket(index))
        if stored is None:
            buckets.append(Bucket())
        elif stored.mod_revision == old.mod_revision:
            buckets.append(old)
        else:
            # With 28,000 organisations, decoding one bucket takes milliseconds; lets
            # the other tasks of the event loop run in between.
            await asyncio.sleep(0)
            buckets.append(Bucket.decode(stored.value, stored.mod_revision, lookup))
    stored_head = values.get(keys.head)
    head, head_revision = Head(), 0
    if stored_head is not None:
        head = Head.decode(stored_head.value)
        head_revision = stored_head.mod_revision
    return StoredState(head, head_revision, tuple(buckets), result.revision)
