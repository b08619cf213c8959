"""Mapping of keys to shards, and of shards to writers."""

from __future__ import annotations

from collections.abc import Iterable

from borageworks.routing.rendezvous import rendezvous


def shard_of(key_hash: bytes, shards: int) -> int:
    """Return the shard number of a key hash; hashes are uniformly distributed."""
    return int.from_bytes(key_hash[:8], "little") % shards


def shard_writer(shard: int, members: Iterable[str]) -> str:
    """Return the preferred writer by rendezvous hashing over the live members.

    Instances with different membership views may choose different writers;
    compare-and-swap in the store then prevents a key from being claimed twice.

    Raises
    ------
    ValueError
        If `members` is empty.
    """
    writer = rendezvous(f"claims/{shard}", members)
    if writer is None:
        raise ValueError("no live member to write the shard")
    return writer
