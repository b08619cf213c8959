"""Normalised service of the organisations that wait anywhere in the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass

from borageworks.fair.level import Level


@dataclass(slots=True)
class _State:
    level: float
    counted: float
    share: float


class ServiceLevels:
    """Virtual time of each organisation over the whole fleet.

    A level grows by the units received divided by the share at that time. An
    organisation that starts to wait enters at the mean, or at its own level where that
    is higher: as in a single queue, idle time gives no credit and debt is kept.

    Aggregators on both sides of a partition see different organisations waiting. Levels
    are exchanged as offsets to the totals, which only grow, and the larger one is kept,
    so both sides agree after the partition and none takes the other side's
    organisations for idle ones.
    """

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        self._backlogged: frozenset[str] = frozenset()
        self._mean = 0.0

    def __len__(self) -> int:
        """Return the number of organisations with a level."""
        return len(self._states)

    @property
    def mean(self) -> float:
        """Mean level of the backlogged organisations; kept while there are none."""
        return self._mean

    @property
    def backlogged(self) -> int:
        """Number of backlogged organisations, the weight of the mean."""
        return len(self._backlogged)

    def levels(self) -> Iterator[Level]:
        """Return the state that other aggregators merge."""
        for organisation, state in self._states.items():
            yield Level(
                organisation,
                state.level - state.counted / state.share,
                state.share,
                organisation in self._backlogged,
            )

    def merge(self, levels: Iterable[Level], totals: Mapping[str, float]) -> None:
        """Take over the levels of another aggregator, before the next `update`.

        Parameters
        ----------
        levels
            The other aggregator's `levels`.
        totals
            Totals after the counters of the other aggregator were merged.
        """
        joined = set(self._backlogged)
        for other in levels:
            state = self._states.get(other.organisation)
            if state is None:
                total = totals.get(other.organisation, 0.0)
                level = total / other.share + other.offset
                state = _State(level, total, other.share)
                self._states[other.organisation] = state
            elif state.share == other.share:
                level = state.counted / state.share + other.offset
                state.level = max(state.level, level)
            if other.backlogged:
                joined.add(other.organisation)
        self._backlogged = frozenset(joined)

    def update(
        self,
        totals: Mapping[str, float],
        shares: Mapping[str, float],
        backlogged: Set[str],
    ) -> None:
        """Apply new totals and the organisations that wait now.

        Those that left the backlog are dropped once the mean has passed their level.
        """
        for organisation, state in self._states.items():
            total = totals.get(organisation, 0.0)
            state.share = shares.get(organisation, 1.0)
            state.level += max(0.0, total - state.counted) / state.share
            state.counted = total
        staying = [self._states[name].level for name in self._backlogged & backlogged]
        if staying:
            self._mean = sum(staying) / len(staying)
        for organisation in backlogged - self._backlogged:
            entered = self._states.setdefault(
                organisation,
                _State(
                    self._mean,
                    totals.get(organisation, 0.0),
                    shares.get(organisation, 1.0),
                ),
            )
            entered.level = max(entered.level, self._mean)
        self._backlogged = frozenset(backlogged)
        if backlogged:
            levels = [self._states[name].level for name in backlogged]
            self._mean = sum(levels) / len(levels)
        for organisation in self._states.keys() - backlogged:
            if self._states[organisation].level <= self._mean:
                del self._states[organisation]

    def errors(self, mean: float) -> dict[str, float]:
        """Return level less `mean` for each backlogged organisation."""
        return {name: self._states[name].level - mean for name in self._backlogged}
