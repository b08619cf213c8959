"""Requests that wait at an owner to run alone on an endpoint."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from borageworks.wire.messages import AloneDemand

# Entry instances repeat a demand each second while the request waits.
EXPIRY_S = 3.0

AloneKey = tuple[str, int]


@dataclass(slots=True)
class _Waiting:
    demand: AloneDemand
    heard_at: float


class IsolationQueue:
    """Demands for a whole endpoint, first come first served per pool."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[AloneKey, _Waiting] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting demands."""
        return len(self._waiting)

    def add(self, now: float, entry: str, demand: AloneDemand) -> None:
        """Add a demand or note that it still waits."""
        waiting = self._waiting.setdefault(
            (entry, demand.request_id), _Waiting(demand, now)
        )
        waiting.heard_at = now

    def waits(self, now: float, pool: str) -> bool:
        """Return whether a demand for the pool waits."""
        return self._first(now, pool) is not None

    def pop(self, now: float, pool: str) -> tuple[str, AloneDemand] | None:
        """Remove and return the oldest demand of the pool with its entry instance."""
        key = self._first(now, pool)
        if key is None:
            return None
        return key[0], self._waiting.pop(key).demand

    def drop_entry(self, entry: str) -> None:
        """Forget the demands of an entry instance."""
        for key in [key for key in self._waiting if key[0] == entry]:
            del self._waiting[key]

    def _first(self, now: float, pool: str) -> AloneKey | None:
        for key, waiting in list(self._waiting.items()):
            if now - waiting.heard_at > EXPIRY_S:
                del self._waiting[key]
            elif waiting.demand.pool == pool:
                return key
        return None
