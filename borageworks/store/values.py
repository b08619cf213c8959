"""Values that calls of the store take and return."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the store revision that wrote it."""

    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class RangeResult:
    """All keys under a prefix, as they were at one store revision."""

    values: Mapping[str, StoredValue]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store; its keys vanish when it expires.

    `ttl_s` is the time to live in seconds that the store granted.
    """

    id: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class Transaction:
    """One compare-and-swap over several keys.

    Parameters
    ----------
    compares
        Expected `mod_revision` by key; 0 expects the key to be absent.
    puts
        New value by key.
    deletes
        Keys to delete; a key must not be both put and deleted.
    lease
        Lease that every put is attached to.
    """

    compares: Mapping[str, int] = field(default_factory=dict)
    puts: Mapping[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    lease: Lease | None = None


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Outcome of a transaction.

    `revision` is the revision of the transaction when it succeeded, else the store's
    current one.
    """

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Every change under a prefix made by one store revision."""

    revision: int
    puts: Mapping[str, StoredValue]
    deletes: tuple[str, ...]
