"""Rate at which waiting requests are served, for truthful Retry-After values."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

HALF_LIFE_S = 10.0
MAX_ORGANISATIONS = 4096
SHORTEST_S = 1.0
LONGEST_S = 300.0


@dataclass(slots=True)
class _Rate:
    weight: float = 0.0
    updated: float = 0.0

    def decay(self, now: float) -> None:
        self.weight *= 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE_S)
        self.updated = now


class DrainRate:
    """Exponentially decaying count of served requests, per organisation and in all."""

    def __init__(self) -> None:
        self._total = _Rate()
        self._rates: OrderedDict[str, _Rate] = OrderedDict()

    def record(self, now: float, organisation: str) -> None:
        """Count one request that left the queue for an endpoint."""
        rate = self._rates.setdefault(organisation, _Rate(updated=now))
        self._rates.move_to_end(organisation)
        if len(self._rates) > MAX_ORGANISATIONS:
            self._rates.popitem(last=False)
        for each in (rate, self._total):
            each.decay(now)
            each.weight += 1.0

    def time_for(self, now: float, organisation: str | None, requests: float) -> float:
        """Return the seconds in which `requests` leave at the recent rate."""
        rate = self._total if organisation is None else self._rates.get(organisation)
        if rate is None:
            return LONGEST_S
        rate.decay(now)
        # A steady rate r accumulates to r x half-life / ln 2.
        per_second = rate.weight * 0.693 / HALF_LIFE_S
        if per_second <= 0:
            return LONGEST_S
        return min(max(requests / per_second, SHORTEST_S), LONGEST_S)
