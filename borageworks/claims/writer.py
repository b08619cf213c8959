"""Placement of claims: shard of a key, writer of a shard."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def shard_of(key_hash: bytes, shards: int) -> int:
    """Return the shard number of a key hash, which is uniform."""
    return int.from_bytes(key_hash[:8], "little") % shards


def shard_writer(shard: int, members: Iterable[str]) -> str:
    """Return the preferred writer by rendezvous hash over live members.

    Members that differ in their view may name two writers; compare-and-swap keeps
    claims safe then.
    """
    return max(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f"{shard}:{member}".encode()),
            member,
        ),
    )
