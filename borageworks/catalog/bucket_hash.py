"""Division of configuration objects into buckets by hash."""

from __future__ import annotations

import xxhash

# 28,000 organisations give about 440 objects per bucket, far below the store's value
# size limit. A ticket that changes one object rewrites 1/64 of the configuration.
BUCKET_COUNT = 64


def bucket_of(kind: str, object_id: str) -> int:
    """Return the index of the bucket that holds an object."""
    return xxhash.xxh3_64_intdigest(f"{kind}\0{object_id}".encode()) % BUCKET_COUNT


def version_hash(kind: str, object_id: str, ticket: int) -> int:
    """Return a 64-bit hash of an object's identity and ticket number.

    The ticket number determines the object's value, since an accepted ticket has a
    higher number than each object that it changes had before.
    """
    return xxhash.xxh3_64_intdigest(f"{kind}\0{object_id}\0{ticket}".encode())
