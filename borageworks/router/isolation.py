"""Queue of the demands of isolated requests at an owner."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from borageworks.wire.messages import AloneDemand

# Entry instances repeat a demand every second while the request waits.
DEMAND_EXPIRY_S = 3.0

IsolationKey = tuple[str, int]


@dataclass(slots=True)
class _WaitingDemand:
    demand: AloneDemand
    refreshed_at: float


class IsolationQueue:
    """Demands of isolated requests, first come first served per pool."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[IsolationKey, _WaitingDemand] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting demands."""
        return len(self._waiting)

    def add(self, now: float, entry: str, demand: AloneDemand) -> None:
        """Add a demand, or refresh one that still waits."""
        waiting = self._waiting.setdefault(
            (entry, demand.request_id), _WaitingDemand(demand, now)
        )
        waiting.refreshed_at = now

    def has_waiting(self, now: float, pool: str) -> bool:
        """Return whether a demand waits for the pool."""
        return self._first(now, pool) is not None

    def pop(self, now: float, pool: str) -> tuple[str, AloneDemand] | None:
        """Remove and return the oldest demand of the pool with its entry instance."""
        key = self._first(now, pool)
        if key is None:
            return None
        return key[0], self._waiting.pop(key).demand

    def remove_entry(self, entry: str) -> None:
        """Remove the demands of an entry instance."""
        for key in [key for key in self._waiting if key[0] == entry]:
            del self._waiting[key]

    def _first(self, now: float, pool: str) -> IsolationKey | None:
        for key, waiting in list(self._waiting.items()):
            if now - waiting.refreshed_at > DEMAND_EXPIRY_S:
                del self._waiting[key]
            elif waiting.demand.pool == pool:
                return key
        return None
