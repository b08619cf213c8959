"""Normalised service of the organisations that wait anywhere in the fleet."""

from __future__ import annotations

from collections.abc import Mapping, Set


class ServiceLevels:
    """Virtual time of each organisation over the whole fleet.

    A level grows by the units received divided by the share at that time. An
    organisation that starts to wait enters at the mean, or at its own level where that
    is higher: as in a single queue, idle time gives no credit and debt is kept.
    """

    def __init__(self) -> None:
        self._levels: dict[str, float] = {}
        self._counted: dict[str, float] = {}
        self._backlogged: frozenset[str] = frozenset()
        self._mean = 0.0

    def __len__(self) -> int:
        """Return the number of organisations with a level."""
        return len(self._levels)

    @property
    def mean(self) -> float:
        """Mean level of the backlogged organisations; kept while there are none."""
        return self._mean

    @property
    def backlogged(self) -> int:
        """Number of backlogged organisations, the weight of the mean."""
        return len(self._backlogged)

    def update(
        self,
        totals: Mapping[str, float],
        shares: Mapping[str, float],
        backlogged: Set[str],
    ) -> None:
        """Apply new totals; a total that fell (a new aggregator) counts as unchanged.

        The organisations that left the backlog are dropped once the mean has passed
        their level.
        """
        for organisation in self._levels.keys() | backlogged:
            total = totals.get(organisation, 0.0)
            grown = max(0.0, total - self._counted.get(organisation, total))
            self._counted[organisation] = total
            if organisation in self._levels:
                share = shares.get(organisation, 1.0)
                self._levels[organisation] += grown / share
        staying = [self._levels[name] for name in self._backlogged & backlogged]
        if staying:
            self._mean = sum(staying) / len(staying)
        for organisation in backlogged - self._backlogged:
            level = self._levels.get(organisation, self._mean)
            self._levels[organisation] = max(level, self._mean)
        self._backlogged = frozenset(backlogged)
        if backlogged:
            levels = [self._levels[name] for name in backlogged]
            self._mean = sum(levels) / len(levels)
        for organisation in self._levels.keys() - backlogged:
            if self._levels[organisation] <= self._mean:
                del self._levels[organisation]
                del self._counted[organisation]

    def errors(self, mean: float) -> dict[str, float]:
        """Return level less `mean` for each backlogged organisation."""
        return {name: self._levels[name] - mean for name in self._backlogged}
