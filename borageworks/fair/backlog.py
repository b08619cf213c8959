"""Waiting requests of one organisation, by entry instance."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.fair.heap import IndexedHeap


@dataclass(slots=True)
class _EntryDemand:
    waiting: int
    start: float
    since: float
    sequence: int


class Backlog:
    """Round robin over entry instances, weighted by their waiting counts.

    Each entry has a start tag and is ordered by `start + 1 / waiting`; the tag of the
    entry that is taken becomes the organisation's tag, at which new entries start.
    Between equal tags the demand that has waited longest goes first.
    """

    __slots__ = ("_demands", "_heap", "_sequence", "_tag")

    def __init__(self) -> None:
        self._demands: dict[str, _EntryDemand] = {}
        self._heap = IndexedHeap()
        self._tag = 0.0
        self._sequence = 0

    def __bool__(self) -> bool:
        """Return whether any request waits."""
        return bool(self._demands)

    def set(self, now: float, entry: str, waiting: int) -> None:
        """Replace the number of requests that wait at an entry."""
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
        """Remove one waiting request and return its entry."""
        entry = self._heap.least()
        if entry is None:
            return None
        demand = self._demands[entry]
        self._tag = demand.start + 1 / demand.waiting
        demand.start = self._tag
        demand.waiting -= 1
        if demand.waiting:
            self._push(entry, demand)
        else:
            self.drop(entry)
        return entry

    def drop(self, entry: str) -> None:
        """Forget the demand of an entry."""
        self._demands.pop(entry, None)
        self._heap.remove(entry)

    def _push(self, entry: str, demand: _EntryDemand) -> None:
        tag = demand.start + 1 / demand.waiting
        self._heap.set(entry, (tag, demand.since, demand.sequence))
