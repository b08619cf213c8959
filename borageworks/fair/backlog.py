"""Waiting requests of one organisation, by entry instance."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.fair.heap import IndexedHeap


@dataclass(slots=True)
class _EntryDemand:
    waiting: int
    start_tag: float
    waiting_since: float
    sequence: int


class Backlog:
    """Round robin over entry instances, weighted by their waiting counts.

    Each entry has a start tag and is ordered by `start_tag + 1 / waiting`. That sum of
    the entry taken last is the start tag of new entries. Ties go to the entry that
    has waited longest.
    """

    __slots__ = ("_demands", "_heap", "_sequence", "_tag")

    def __init__(self) -> None:
        self._demands: dict[str, _EntryDemand] = {}
        self._heap = IndexedHeap()
        self._tag = 0.0
        self._sequence = 0

    def __bool__(self) -> bool:
        """Return whether any request is waiting."""
        return bool(self._demands)

    def set(self, now: float, entry: str, waiting: int) -> None:
        """Set the number of requests waiting at an entry instance."""
        if waiting <= 0:
            self.drop(entry)
            return
        demand = self._demands.get(entry)
        if demand is None:
            self._sequence += 1
            demand = _EntryDemand(waiting, self._tag, now, self._sequence)
            self._demands[entry] = demand
        demand.waiting = waiting
        self._push(entry, demand)

    def take(self) -> str | None:
        """Remove one waiting request; return its entry instance, or None if empty."""
        entry = self._heap.peek()
        if entry is None:
            return None
        demand = self._demands[entry]
        self._tag = demand.start_tag + 1 / demand.waiting
        demand.start_tag = self._tag
        demand.waiting -= 1
        if demand.waiting:
            self._push(entry, demand)
        else:
            self.drop(entry)
        return entry

    def drop(self, entry: str) -> None:
        """Remove the demand of an entry instance."""
        self._demands.pop(entry, None)
        self._heap.remove(entry)

    def _push(self, entry: str, demand: _EntryDemand) -> None:
        tag = demand.start_tag + 1 / demand.waiting
        self._heap.set(entry, (tag, demand.waiting_since, demand.sequence))
