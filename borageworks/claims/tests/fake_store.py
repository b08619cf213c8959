"""In-memory store for tests of the claim shard."""

from __future__ import annotations

from borageworks.store.values import StoredValue, Transaction


class FakeStore:
    """Key-value store with modification revisions and compare-and-swap."""

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.revision = 1

    def range(self, prefix: str) -> dict[str, StoredValue]:
        """Return the keys and values under `prefix`."""
        return {k: v for k, v in self.values.items() if k.startswith(prefix)}

    def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction if its compares match; return whether it was applied."""
        for key, revision in transaction.compares.items():
            stored = self.values.get(key)
            if (stored.mod_revision if stored else 0) != revision:
                return False
        self.revision += 1
        for key, value in transaction.puts.items():
            self.values[key] = StoredValue(value, self.revision)
        for key in transaction.deletes:
            self.values.pop(key, None)
        return True
