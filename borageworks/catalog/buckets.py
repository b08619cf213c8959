"""Division of configuration objects into buckets by hash."""

from __future__ import annotations

import xxhash

# 28,000 organisations make about 440 objects a bucket, far under the store's value
# limit, and a ticket that touches one object rewrites one sixty-fourth of the state.
BUCKETS = 64


def bucket_of(kind: str, object_id: str) -> int:
    """Return the index of the bucket that holds an object."""
    return xxhash.xxh3_64_intdigest(f"{kind}\0{object_id}".encode()) % BUCKETS


def version_hash(kind: str, object_id: str, ticket: int) -> int:
    """Return a 64-bit hash of an object's identity and ticket number.

    The number determines the value, since an accepted ticket always carries a number
    above the last one of each object that it touches.
    """
    return xxhash.xxh3_64_intdigest(f"{kind}\0{object_id}\0{ticket}".encode())
