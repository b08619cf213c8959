"""Local replica of the store's items; within an era its revision never decreases."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from borageworks.store.values import RangeResult, StoredValue, WatchBatch


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """Items that an update of the replica has set or deleted.

    `restored` tells that the store came back from an older copy: what is set may be
    older than what was known, what is deleted may only be missing from the copy.
    """

    puts: Mapping[str, StoredValue] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    restored: bool = False

    @property
    def empty(self) -> bool:
        """Whether nothing changed."""
        return not self.puts and not self.deletes


class StoreReplica:
    """Items of the store as of one revision of an era.

    Updates arrive from the store and from other instances in any order. An item is only
    replaced by a later revision of itself, and a complete range is ignored if it is
    older than the replica. When the store comes back from an older copy, a new era
    begins: its revisions start at that of the copy, so a complete range of it replaces
    all items.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredValue] = {}
        self._era = 0
        self._revision = 0

    @property
    def era(self) -> int:
        """Era of the store that the replica belongs to; 0 before the first range."""
        return self._era

    @property
    def revision(self) -> int:
        """Store revision of the replica; 0 before the first range."""
        return self._revision

    @property
    def items(self) -> Mapping[str, StoredValue]:
        """Items by key."""
        return self._items

    def replace(self, result: RangeResult) -> ReplicaChange:
        """Apply a complete range, unless it is older than the replica."""
        if (result.era, result.revision) < (self._era, self._revision):
            return ReplicaChange()
        restored = result.era > self._era and self._revision > 0
        self._era = result.era
        if restored:
            missing = tuple(key for key in self._items if key not in result.values)
            self._items = dict(result.values)
            self._revision = result.revision
            return ReplicaChange(dict(result.values), missing, restored=True)
        puts = {
            key: value
            for key, value in result.values.items()
            if self._is_newer(key, value.mod_revision)
        }
        # A range is read in pages: a key written after the first page was read may be
        # missing from the range although it exists in the store.
        deletes = tuple(
            key
            for key, value in self._items.items()
            if key not in result.values and value.mod_revision <= result.revision
        )
        self._update_items(puts, deletes)
        self._revision = result.revision
        return ReplicaChange(puts, deletes)

    def apply(self, batch: WatchBatch) -> ReplicaChange:
        """Apply the changes up to one revision, unless they are already included.

        Changes of another era do not apply to these items.
        """
        if batch.era != self._era or batch.revision <= self._revision:
            return ReplicaChange()
        puts = {
            key: value
            for key, value in batch.puts.items()
            if self._is_newer(key, value.mod_revision)
        }
        deletes = tuple(
            key
            for key in batch.deletes
            if key in self._items and self._items[key].mod_revision < batch.revision
        )
        self._update_items(puts, deletes)
        self._revision = max(self._revision, batch.revision)
        return ReplicaChange(puts, deletes)

    def _is_newer(self, key: str, revision: int) -> bool:
        current = self._items.get(key)
        return current is None or current.mod_revision < revision

    def _update_items(
        self, puts: Mapping[str, StoredValue], deletes: tuple[str, ...]
    ) -> None:
        self._items.update(puts)
        for key in deletes:
            del self._items[key]
