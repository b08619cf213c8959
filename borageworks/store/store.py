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

    Keys are relative to the prefix that the implementation was set up with. Every
    method may raise `StoreUnavailableError`, which means that nothing was written.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of `key`, or None if it is absent."""
        ...

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys that start with `prefix`."""
        ...

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply `transaction` if all its compares hold.

        Raises
        ------
        StoreOutcomeUnknownError
            The transaction was sent and its reply was lost. It may also be applied
            after this error.
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
            The lease no longer exists.
        """
        ...

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield each change under `prefix` from `start_revision` on, once and in order.

        A start revision of 0 means the current one. Connection failures are retried.

        Raises
        ------
        StoreCompactedError
            The store no longer holds the changes from the start revision on.
        """
        ...
