"""Rate at which queued requests are served, for Retry-After values."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

HALF_LIFE_S = 10.0
MAX_ORGANISATIONS = 4096
MIN_DRAIN_S = 1.0
MAX_DRAIN_S = 300.0


@dataclass(slots=True)
class _Rate:
    weight: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        self.weight *= 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now


class DrainRate:
    """Exponentially decaying counts of served requests, per organisation and total."""

    def __init__(self) -> None:
        self._total = _Rate()
        self._rates: OrderedDict[str, _Rate] = OrderedDict()

    def record(self, now: float, organisation: str) -> None:
        """Count one request that left the queue to be served."""
        rate = self._rates.setdefault(organisation, _Rate(updated_at=now))
        self._rates.move_to_end(organisation)
        if len(self._rates) > MAX_ORGANISATIONS:
            self._rates.popitem(last=False)
        for each in (rate, self._total):
            each.decay(now)
            each.weight += 1.0

    def drain_time_s(
        self, now: float, organisation: str | None, requests: float
    ) -> float:
        """Return the seconds in which `requests` requests drain at the recent rate."""
        rate = self._total if organisation is None else self._rates.get(organisation)
        if rate is None:
            return MAX_DRAIN_S
        rate.decay(now)
        # A steady rate r converges to a count of r x half-life / ln 2.
        per_second = rate.weight * 0.693 / HALF_LIFE_S
        if per_second <= 0:
            return MAX_DRAIN_S
        return min(max(requests / per_second, MIN_DRAIN_S), MAX_DRAIN_S)
