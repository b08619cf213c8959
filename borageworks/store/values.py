"""Arguments and results of store calls."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the revision of its last modification."""

    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Values of all keys with a prefix at one store revision.

    `era` counts how often the store has come back from an older copy, 0 if it does not
    tell. Revisions of different eras cannot be compared.
    """

    values: Mapping[str, StoredValue]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store; the keys attached to it are deleted when it expires.

    `ttl_s` is the time to live that the store granted, `era` the era in which it did:
    later the id may be that of another lease.
    """

    id: int
    ttl_s: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Atomic compare-and-swap of several keys.

    Parameters
    ----------
    compares
        Expected `mod_revision` by key; 0 if the key must be absent.
    puts
        New value by key.
    deletes
        Keys to delete; disjoint from the keys of `puts`.
    lease
        Lease to which all keys of `puts` are attached.
    """

    compares: Mapping[str, int] = field(default_factory=dict)
    puts: Mapping[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    lease: Lease | None = None


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Outcome of a transaction.

    `revision` is the revision that the transaction created if it succeeded, else the
    store's current revision.
    """

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """All changes of keys with a prefix in one store revision of an era."""

    revision: int
    puts: Mapping[str, StoredValue]
    deletes: tuple[str, ...]
    era: int = 0
