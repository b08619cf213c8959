"""Measurements of how the cost of the configuration grows with its size."""

from __future__ import annotations

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import AsyncIterator, Sequence
from dataclasses import asdict, dataclass

import orjson

from borageworks.catalog.bucket import Bucket
from borageworks.catalog.bucket_hash import BUCKET_COUNT, bucket_of
from borageworks.catalog.head import Head
from borageworks.catalog.keys import CATALOG_PREFIX, CatalogKeys
from borageworks.catalog.objects import Endpoint, Organisation, Pool, Service, Ticket
from borageworks.catalog.replica import Replica
from borageworks.catalog.tickets import apply_ticket
from borageworks.catalog.versioned_object import VersionedObject
from borageworks.store.values import (
    CommitResult,
    Lease,
    RangeResult,
    StoredValue,
    Transaction,
    WatchBatch,
)
from borageworks.wire.codec import encode
from borageworks.wire.messages import CatalogDigest, CatalogObjects

ORGANISATION_COUNTS = (1_000, 4_000, 12_000, 28_000)
MODEL_COUNT = 21
# This gives 4,200 endpoints at 28,000 organisations.
ENDPOINTS_PER_ORGANISATION = 0.15
TICKET_COUNT = 5
KEY_HEX_DIGITS = 64


@dataclass(frozen=True, slots=True)
class CatalogSlope:
    """Cost of the configuration at one size.

    Parameters
    ----------
    organisations, objects
        Size of the configuration.
    bucket_bytes_mean, bucket_bytes_max
        Size of the stored buckets.
    replica_bytes
        Memory of a replica with its objects and indexes, by `tracemalloc`.
    decode_s, merge_s
        CPU seconds to decode all buckets and to merge all objects.
    ticket_s
        CPU seconds to apply a ticket that changes one organisation, with the read and
        the decoding of the whole state; mean over `TICKET_COUNT`.
    ticket_bytes
        Bytes written to the store by this ticket.
    change_s
        CPU seconds for a watcher to decode and merge the changed bucket.
    push_bytes
        Size of the frame that sends one changed organisation to a peer.
    digest_bytes
        Size of the frame of a digest.
    full_bytes
        Size of all encoded objects, as sent to an instance with an empty replica.
    """

    organisations: int
    objects: int
    bucket_bytes_mean: float
    bucket_bytes_max: int
    replica_bytes: int
    decode_s: float
    merge_s: float
    ticket_s: float
    ticket_bytes: float
    change_s: float
    push_bytes: int
    digest_bytes: int
    full_bytes: int


def measure_catalog(
    sizes: Sequence[int] = ORGANISATION_COUNTS, seed: int = 1
) -> tuple[CatalogSlope, ...]:
    """Return the cost at each size; `seed` determines the generated objects."""
    return tuple(asyncio.run(_measure_size(size, seed)) for size in sizes)


def generate_configuration(organisations: int, seed: int) -> list[VersionedObject]:
    """Return a random configuration in which each organisation has one API key."""
    rng = random.Random(seed)
    values: list[Organisation | Pool | Service | Endpoint] = [
        Organisation(
            id=f"organisation-{number:05d}",
            share=float(rng.choice((1, 1, 1, 2, 5, 10))),
            keys=(f"{rng.getrandbits(4 * KEY_HEX_DIGITS):0{KEY_HEX_DIGITS}x}",),
        )
        for number in range(organisations)
    ]
    for number in range(MODEL_COUNT):
        name = f"model-{number:02d}"
        values.append(Pool.model_validate({"id": name, "endpoints": "engine"}))
        values.append(Service(id=name, pool=name))
    values.extend(
        Endpoint.model_validate(
            {
                "id": f"engine-{number:04d}",
                "pool": f"model-{rng.randrange(MODEL_COUNT):02d}",
                "domain": f"domain-{number % 9}",
                "host": f"10.0.{number // 256}.{number % 256}",
                "port": 8000,
            }
        )
        for number in range(int(organisations * ENDPOINTS_PER_ORGANISATION))
    )
    return [
        VersionedObject(value.kind, value.id, number, value)
        for number, value in enumerate(values, 1)
    ]


class _MemoryStore:
    """In-memory store without failures or delays, to measure only its client's work."""

    def __init__(self, values: dict[str, StoredValue]) -> None:
        self.values = values
        self.revision = 1
        self.bytes_written = 0

    async def get(self, key: str) -> StoredValue | None:
        return self.values.get(key)

    async def range(self, prefix: str) -> RangeResult:
        found = {k: v for k, v in self.values.items() if k.startswith(prefix)}
        return RangeResult(found, self.revision)

    async def commit(self, transaction: Transaction) -> CommitResult:
        self.revision += 1
        for key, value in transaction.puts.items():
            self.values[key] = StoredValue(value, self.revision)
            self.bytes_written += len(value)
        return CommitResult(True, self.revision)

    async def grant_lease(self, ttl_s: float) -> Lease:
        raise NotImplementedError

    async def keep_alive(self, lease: Lease) -> None:
        raise NotImplementedError

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        raise NotImplementedError


async def _measure_size(size: int, seed: int) -> CatalogSlope:
    objects = generate_configuration(size, seed)
    groups: list[list[VersionedObject]] = [[] for _ in range(BUCKET_COUNT)]
    for item in objects:
        groups[bucket_of(item.kind, item.id)].append(item)
    stored = [Bucket(1, tuple(group)).encode() for group in groups]
    replica_bytes = _replica_bytes(stored)
    started = time.process_time()
    decoded = [Bucket.decode(data, 1) for data in stored]
    decode_s = time.process_time() - started
    replica = Replica()
    started = time.process_time()
    for bucket in decoded:
        replica.merge(bucket.objects)
    merge_s = time.process_time() - started

    keys = CatalogKeys(CATALOG_PREFIX)
    head = Head(tickets=1, buckets=(1,) * BUCKET_COUNT)
    values = {keys.bucket(i): StoredValue(data, 1) for i, data in enumerate(stored)}
    store = _MemoryStore({keys.head: StoredValue(head.encode(), 1), **values})
    name = objects[0].id
    api_keys = replica.organisations[name].keys
    started = time.process_time()
    for number in range(TICKET_COUNT):
        ticket = Ticket(
            number=len(objects) + 1 + number,
            put=(Organisation(id=name, share=11.0 + number, keys=api_keys),),
        )
        await apply_ticket(store, CATALOG_PREFIX, ticket)
    ticket_s = (time.process_time() - started) / TICKET_COUNT

    changed_bucket = store.values[keys.bucket(bucket_of("organisation", name))]
    started = time.process_time()
    merged = replica.merge(Bucket.decode(changed_bucket.value, 2, replica.get).objects)
    change_s = time.process_time() - started
    digest = replica.digest()
    return CatalogSlope(
        organisations=size,
        objects=len(objects),
        bucket_bytes_mean=sum(map(len, stored)) / BUCKET_COUNT,
        bucket_bytes_max=max(map(len, stored)),
        replica_bytes=replica_bytes,
        decode_s=decode_s,
        merge_s=merge_s,
        ticket_s=ticket_s,
        ticket_bytes=store.bytes_written / TICKET_COUNT,
        change_s=change_s,
        push_bytes=len(
            encode([CatalogObjects(tuple(item.encode() for item in merged))])
        ),
        digest_bytes=len(encode([CatalogDigest(digest.revision, digest.hashes)])),
        full_bytes=sum(len(item.encode()) for item in objects),
    )


def _replica_bytes(stored: Sequence[bytes]) -> int:
    gc.collect()
    tracemalloc.start()
    replica = Replica()
    for data in stored:
        replica.merge(Bucket.decode(data, 1).objects)
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes


if __name__ == "__main__":
    import sys

    for slope in measure_catalog():
        sys.stdout.write(orjson.dumps(asdict(slope)).decode() + "\n")
