"""Interface of the platform's key-value store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from borageworks.store.values import (
    CommitResult,
    Lease,
    RangeResult,
    StoredValue,
    Transaction,
    WatchBatch,
)


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    Keys are relative to the configured prefix. Every method may raise
    `StoreUnavailableError`, which means that nothing was written.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of `key`, or None if it is absent."""
        ...

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys that start with `prefix`."""
        ...

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply `transaction` if all of its compares succeed.

        Raises
        ------
        StoreOutcomeUnknownError
            The transaction was sent but its reply was lost. It may have been applied,
            or may be applied later.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease that expires `ttl_s` seconds after its last renewal."""
        ...

    async def keep_alive(self, lease: Lease) -> None:
        """Renew `lease`.

        Raises
        ------
        StoreLeaseExpiredError
            The lease has expired.
        """
        ...

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield each change under `prefix` from `start_revision` on, once and in order.

        A `start_revision` of 0 starts at the current revision. Lost connections are
        reopened.

        Raises
        ------
        StoreCompactedError
            Changes since `start_revision` have been compacted.
        """
        ...
