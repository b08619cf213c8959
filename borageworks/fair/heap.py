"""Binary heap whose priorities can change."""

from __future__ import annotations

import heapq

Priority = tuple[float, ...]

# Avoids frequent rebuilds of small heaps.
_REBUILD_SLACK_ITEMS = 64


class IndexedHeap:
    """Min-heap of items ordered by a priority tuple.

    A changed priority is pushed as a new entry, and outdated entries are skipped when
    they reach the top, so each operation is O(log n) amortised. The heap is rebuilt
    once outdated entries outnumber the current ones, which bounds its memory.
    """

    __slots__ = ("_heap", "_priorities")

    def __init__(self) -> None:
        self._heap: list[tuple[Priority, str]] = []
        self._priorities: dict[str, Priority] = {}

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._priorities)

    def __contains__(self, item: str) -> bool:
        """Return whether the item is present."""
        return item in self._priorities

    def set(self, item: str, priority: Priority) -> None:
        """Insert the item or change its priority."""
        if self._priorities.get(item) == priority:
            return
        self._priorities[item] = priority
        heapq.heappush(self._heap, (priority, item))
        if len(self._heap) > 2 * len(self._priorities) + _REBUILD_SLACK_ITEMS:
            self._heap = [(current, name) for name, current in self._priorities.items()]
            heapq.heapify(self._heap)

    def remove(self, item: str) -> None:
        """Remove the item if present."""
        self._priorities.pop(item, None)
        if not self._priorities:
            self._heap.clear()

    def peek(self) -> str | None:
        """Return the item with the minimum priority, or None if empty."""
        while self._heap:
            priority, item = self._heap[0]
            if self._priorities.get(item) == priority:
                return item
            heapq.heappop(self._heap)
        return None
