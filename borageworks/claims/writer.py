"""Placement of claims: shard of a key, writer of a shard."""

from __future__ import annotations

from collections.abc import Iterable

from borageworks.routing.rendezvous import rendezvous


def shard_of(key_hash: bytes, shards: int) -> int:
    """Return the shard number of a key hash, which is uniform."""
    return int.from_bytes(key_hash[:8], "little") % shards


def shard_writer(shard: int, members: Iterable[str]) -> str:
    """Return the preferred writer by rendezvous hash over live members.

    Members that differ in their view may name two writers; compare-and-swap keeps
    claims safe then.

    Raises
    ------
    ValueError
        Without members.
    """
    writer = rendezvous(f"claims/{shard}", members)
    if writer is None:
        raise ValueError("there is no live member")
    return writer
