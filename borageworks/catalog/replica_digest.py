"""Summary of a replica, small enough to send whenever replicas differ."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaDigest:
    """Revision and content hashes of a replica.

    Parameters
    ----------
    revision
        Store revision up to which the replica is known to be complete, 0 if unknown.
    hashes
        One order-independent 64-bit hash per bucket, shape (BUCKET_COUNT,).
    """

    revision: int
    hashes: tuple[int, ...]
