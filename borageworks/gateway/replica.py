"""Copy of the platform store's items, moved forward only."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from borageworks.store.values import RangeResult, StoredValue, WatchBatch


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """Keys that a step changed: new values, and keys that are gone."""

    puts: Mapping[str, StoredValue] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether nothing changed."""
        return not self.puts and not self.deletes


class StoreReplica:
    """Items of the store as of one revision.

    Items reach an instance from the store and from other instances, in any order. An
    item is only replaced by a later revision of itself, and a whole range only replaces
    a range of an earlier revision.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredValue] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision that all items have reached; 0 before the first range."""
        return self._revision

    @property
    def items(self) -> Mapping[str, StoredValue]:
        """Items by key."""
        return self._items

    def replace(self, result: RangeResult) -> ReplicaChange:
        """Take a whole range; an older one than the current revision is ignored."""
        if result.revision < self._revision:
            return ReplicaChange()
        puts = {
            key: value
            for key, value in result.values.items()
            if self._is_later(key, value.mod_revision)
        }
        # A key that was written after the first page of the range was read is absent
        # from it, though it exists.
        deletes = tuple(
            key
            for key, value in self._items.items()
            if key not in result.values and value.mod_revision <= result.revision
        )
        self._take(puts, deletes)
        self._revision = result.revision
        return ReplicaChange(puts, deletes)

    def apply(self, batch: WatchBatch) -> ReplicaChange:
        """Take the changes of one revision, unless they are already included."""
        if batch.revision <= self._revision:
            return ReplicaChange()
        puts = {
            key: value
            for key, value in batch.puts.items()
            if self._is_later(key, value.mod_revision)
        }
        deletes = tuple(
            key
            for key in batch.deletes
            if key in self._items and self._items[key].mod_revision < batch.revision
        )
        self._take(puts, deletes)
        self._revision = max(self._revision, batch.revision)
        return ReplicaChange(puts, deletes)

    def _is_later(self, key: str, revision: int) -> bool:
        current = self._items.get(key)
        return current is None or current.mod_revision < revision

    def _take(self, puts: Mapping[str, StoredValue], deletes: tuple[str, ...]) -> None:
        self._items.update(puts)
        for key in deletes:
            del self._items[key]
