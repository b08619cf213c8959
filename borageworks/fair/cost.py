"""Estimate of the service units of a request before it runs."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# The mean follows a workload change within a few tens of requests.
MOVING_AVERAGE_WEIGHT = 0.05
# The pool-wide prior weighs as much as this number of observations.
PRIOR_OBSERVATIONS = 4.0
# A hint replaces this fraction of the prior and is limited to this factor above or
# below it, which bounds how far a caller can move the estimate of its first requests.
HINT_WEIGHT = 0.25
HINT_LIMIT_RATIO = 4.0


@dataclass(slots=True)
class _Average:
    mean: float
    observations: int

    def add(self, units: float) -> None:
        self.observations += 1
        weight = max(1 / self.observations, MOVING_AVERAGE_WEIGHT)
        self.mean += weight * (units - self.mean)


class CostEstimator:
    """Exponential moving average per organisation and service of one pool.

    Parameters
    ----------
    initial_units
        Estimate before the first observation, in service units.
    capacity
        Maximum number of (organisation, service) averages. The least recently used are
        evicted, and their estimates fall back to the pool-wide average.
    """

    def __init__(self, initial_units: float = 100.0, capacity: int = 10_000) -> None:
        if initial_units <= 0 or capacity < 1:
            raise ValueError("initial_units and capacity must be positive")
        self._capacity = capacity
        self._pool = _Average(initial_units, 0)
        self._averages: OrderedDict[tuple[str, str], _Average] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of stored averages."""
        return len(self._averages)

    def estimate(self, organisation: str, service: str, hint: float | None) -> float:
        """Return the expected service units; a hint counts only as a weak prior."""
        prior = self._pool.mean
        if hint is not None:
            clamped = min(max(hint, prior / HINT_LIMIT_RATIO), prior * HINT_LIMIT_RATIO)
            prior += HINT_WEIGHT * (clamped - prior)
        key = (organisation, service)
        average = self._averages.get(key)
        if average is None:
            return prior
        self._averages.move_to_end(key)
        weight = average.observations / (average.observations + PRIOR_OBSERVATIONS)
        return prior + weight * (average.mean - prior)

    def observe(self, organisation: str, service: str, units: float) -> None:
        """Record the actual cost of a completed request."""
        units = max(units, 0.0)
        self._pool.add(units)
        key = (organisation, service)
        average = self._averages.get(key)
        if average is None:
            average = self._averages[key] = _Average(units, 0)
            if len(self._averages) > self._capacity:
                self._averages.popitem(last=False)
        self._averages.move_to_end(key)
        average.add(units)
