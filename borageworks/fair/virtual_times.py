"""Fleet-wide virtual times of the organisations."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass

from borageworks.fair.virtual_time_record import VirtualTimeRecord


@dataclass(slots=True)
class _OrganisationState:
    virtual_time: float
    counted_units: float
    share: float


class FleetVirtualTimes:
    """Virtual time of each organisation over the whole fleet.

    A virtual time grows by the units received divided by the share at that time. An
    organisation that becomes backlogged enters at the later of the mean and its own
    virtual time: as in a single queue, an idle period gives no credit and debt is kept.

    Aggregators on both sides of a partition see different backlogged organisations.
    Virtual times are exchanged as offsets to the totals. Both only grow, and the larger
    offset is kept, so both sides agree after the partition and neither considers the
    other side's organisations idle.
    """

    def __init__(self) -> None:
        self._states: dict[str, _OrganisationState] = {}
        self._backlogged: frozenset[str] = frozenset()
        self._mean = 0.0

    def __len__(self) -> int:
        """Return the number of organisations with a virtual time."""
        return len(self._states)

    @property
    def mean(self) -> float:
        """Mean virtual time of the backlogged organisations; unchanged without any."""
        return self._mean

    @property
    def backlogged(self) -> int:
        """Number of backlogged organisations, the weight of the mean."""
        return len(self._backlogged)

    def records(self) -> Iterator[VirtualTimeRecord]:
        """Yield the records that other aggregators merge."""
        for organisation, state in self._states.items():
            yield VirtualTimeRecord(
                organisation,
                state.virtual_time - state.counted_units / state.share,
                state.share,
                organisation in self._backlogged,
            )

    def merge(
        self, records: Iterable[VirtualTimeRecord], totals: Mapping[str, float]
    ) -> None:
        """Merge the records of another aggregator, before the next `update`.

        Parameters
        ----------
        records
            `records()` of the other aggregator.
        totals
            Totals after the counters of the other aggregator were merged.
        """
        merged_backlog = set(self._backlogged)
        for other in records:
            state = self._states.get(other.organisation)
            if state is None:
                total = totals.get(other.organisation, 0.0)
                virtual_time = total / other.share + other.offset
                state = _OrganisationState(virtual_time, total, other.share)
                self._states[other.organisation] = state
            elif state.share == other.share:
                virtual_time = state.counted_units / state.share + other.offset
                state.virtual_time = max(state.virtual_time, virtual_time)
            if other.backlogged:
                merged_backlog.add(other.organisation)
        self._backlogged = frozenset(merged_backlog)

    def update(
        self,
        totals: Mapping[str, float],
        shares: Mapping[str, float],
        backlogged: Set[str],
    ) -> None:
        """Apply new totals and the set of backlogged organisations.

        An organisation no longer backlogged is dropped once the mean has reached its
        virtual time.
        """
        for organisation, state in self._states.items():
            total = totals.get(organisation, 0.0)
            state.share = shares.get(organisation, 1.0)
            state.virtual_time += max(0.0, total - state.counted_units) / state.share
            state.counted_units = total
        still_backlogged = [
            self._states[name].virtual_time for name in self._backlogged & backlogged
        ]
        if still_backlogged:
            self._mean = sum(still_backlogged) / len(still_backlogged)
        for organisation in backlogged - self._backlogged:
            entered = self._states.setdefault(
                organisation,
                _OrganisationState(
                    self._mean,
                    totals.get(organisation, 0.0),
                    shares.get(organisation, 1.0),
                ),
            )
            entered.virtual_time = max(entered.virtual_time, self._mean)
        self._backlogged = frozenset(backlogged)
        if backlogged:
            virtual_times = [self._states[name].virtual_time for name in backlogged]
            self._mean = sum(virtual_times) / len(virtual_times)
        for organisation in self._states.keys() - backlogged:
            if self._states[organisation].virtual_time <= self._mean:
                del self._states[organisation]

    def errors(self, mean: float) -> dict[str, float]:
        """Return virtual time less `mean` of each backlogged organisation."""
        return {
            name: self._states[name].virtual_time - mean for name in self._backlogged
        }
