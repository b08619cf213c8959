"""In-memory fake of the platform store."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

from borageworks.exceptions import (
    StoreCompactedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from borageworks.store.values import (
    CommitResult,
    Lease,
    RangeResult,
    StoredValue,
    Transaction,
    WatchBatch,
)


class FakeStore:
    """In-memory store with failures that the test sets.

    Parameters
    ----------
    commit_faults
        Fault of each of the next commits: None replies, "before" loses the request,
        "after" loses the reply, "late" applies the transaction at the next commit.
    """

    def __init__(self, commit_faults: list[str | None] | None = None) -> None:
        self.values: dict[str, StoredValue] = {}
        self.revision = 1
        self.compacted = 0
        self.down = False
        # While set, watches get no changes, as over a broken connection.
        self.watches_silent = False
        self.range_delay_s = 0.0
        self.calls: Counter[str] = Counter()
        self.keys_read: Counter[str] = Counter()
        self.history: list[WatchBatch] = []
        self.commit_faults = commit_faults or []
        self._delayed: list[Transaction] = []
        self._changed = asyncio.Event()

    def _call(self, name: str) -> None:
        self.calls[name] += 1
        if self.down:
            raise StoreUnavailableError("the store is down")

    async def get(self, key: str) -> StoredValue | None:
        self._call("get")
        self.keys_read[key] += 1
        await asyncio.sleep(0)
        return self.values.get(key)

    async def range(self, prefix: str) -> RangeResult:
        self._call("range")
        await asyncio.sleep(self.range_delay_s)
        found = {
            key: value for key, value in self.values.items() if key.startswith(prefix)
        }
        return RangeResult(found, self.revision)

    async def commit(self, transaction: Transaction) -> CommitResult:
        self._call("commit")
        await asyncio.sleep(0)
        fault = self.commit_faults.pop(0) if self.commit_faults else None
        for delayed in self._delayed:
            self._apply(delayed)
        self._delayed.clear()
        if fault == "late":
            self._delayed.append(transaction)
        elif fault != "before":
            succeeded = self._apply(transaction)
        if fault is not None:
            raise StoreOutcomeUnknownError("the reply was lost")
        return CommitResult(succeeded, self.revision)

    def _apply(self, transaction: Transaction) -> bool:
        for key, expected in transaction.compares.items():
            stored = self.values.get(key)
            if (0 if stored is None else stored.mod_revision) != expected:
                return False
        self.revision += 1
        puts = {
            key: StoredValue(value, self.revision)
            for key, value in transaction.puts.items()
        }
        self.values.update(puts)
        for key in transaction.deletes:
            self.values.pop(key, None)
        self.history.append(WatchBatch(self.revision, puts, transaction.deletes))
        if not self.watches_silent:
            self.notify_watches()
        return True

    def notify_watches(self) -> None:
        """Make every open watch check for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[WatchBatch]:
        self._call("watch")
        next_revision = start_revision or self.revision + 1
        while True:
            if next_revision <= self.compacted:
                raise StoreCompactedError(f"revision {next_revision} is compacted")
            if self.down:
                raise StoreUnavailableError("the store is down")
            changed = self._changed
            for batch in list(self.history):
                puts = {k: v for k, v in batch.puts.items() if k.startswith(prefix)}
                if batch.revision >= next_revision and puts:
                    next_revision = batch.revision + 1
                    yield WatchBatch(batch.revision, puts, ())
            await changed.wait()

    async def grant_lease(self, ttl_s: float) -> Lease:
        raise NotImplementedError

    async def keep_alive(self, lease: Lease) -> None:
        raise NotImplementedError
