"""Ledger of the service that organisations received, as grow-only counters."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass, field

from borageworks.fair.counter import ServiceCounter
from borageworks.fair.snapshot import LedgerSnapshot
from borageworks.fair.virtual_times import FleetVirtualTimes

# Number of retired owners whose late counters are still recognised and ignored.
MAX_RETIRED_OWNERS = 4096


@dataclass(slots=True)
class _OwnerState:
    # Incarnations up to this one are summed in `folded_units`.
    folded_incarnation: int = -1
    folded_units: dict[str, float] = field(default_factory=dict)
    units_by_incarnation: dict[int, dict[str, float]] = field(default_factory=dict)


class ServiceLedger:
    """Counters per owner, incarnation and organisation.

    Each counter is a lower bound of the units that the owner incarnation has served,
    and a merge keeps the larger one, so repeated and reordered merges have no effect.
    When an owner reports a newer incarnation, all but its latest two are folded into
    one sum per organisation. Later values of folded incarnations are ignored, so no
    service is counted twice. `snapshot` includes the service of retired owners,
    `counters` does not.
    """

    def __init__(self) -> None:
        self._owners: dict[str, _OwnerState] = {}
        self._totals: dict[str, float] = {}
        self._retired: OrderedDict[str, int] = OrderedDict()
        self._virtual_times = FleetVirtualTimes()

    @property
    def virtual_times(self) -> FleetVirtualTimes:
        """Virtual times behind `errors`, to be exchanged with other aggregators."""
        return self._virtual_times

    def __len__(self) -> int:
        """Return the number of stored counters."""
        return sum(
            len(state.folded_units)
            + sum(len(units) for units in state.units_by_incarnation.values())
            for state in self._owners.values()
        )

    def add(
        self, owner: str, incarnation: int, organisation: str, units: float
    ) -> float:
        """Add served units to a counter and return its new value.

        Only for counters that the calling process owns. Estimates must not be added,
        since a counter cannot be reduced.
        """
        if units < 0:
            raise ValueError(f"cannot add {units} units to a grow-only counter")
        state = self._owners.get(owner)
        counters = state.units_by_incarnation.get(incarnation, {}) if state else {}
        units += counters.get(organisation, 0.0)
        self.merge(ServiceCounter(owner, incarnation, organisation, units))
        return units

    def merge(self, counter: ServiceCounter) -> bool:
        """Merge a counter by maximum; return whether it increased."""
        state = self._owners.get(counter.owner)
        if state is None:
            if counter.incarnation <= self._retired.get(counter.owner, -1):
                return False
            state = _OwnerState(folded_incarnation=self._retired.pop(counter.owner, -1))
            self._owners[counter.owner] = state
        if counter.folded:
            self._fold(state, counter.incarnation)
            if counter.incarnation < state.folded_incarnation:
                return False
            units = state.folded_units
        elif counter.incarnation <= state.folded_incarnation:
            return False
        else:
            units = state.units_by_incarnation.setdefault(counter.incarnation, {})
        increase = counter.units - units.get(counter.organisation, 0.0)
        if increase <= 0:
            return False
        units[counter.organisation] = counter.units
        total = self._totals.get(counter.organisation, 0.0)
        self._totals[counter.organisation] = total + increase
        if len(state.units_by_incarnation) > 2:
            self._fold(state, sorted(state.units_by_incarnation)[-3])
        return True

    def retire(self, owner: str) -> None:
        """Remove the counters of an owner that left for good; the totals stay."""
        state = self._owners.pop(owner, None)
        if state is None:
            return
        self._record_retired(
            owner, max([state.folded_incarnation, *state.units_by_incarnation])
        )

    def counters(self) -> Iterator[ServiceCounter]:
        """Yield all counters, to be merged into another ledger."""
        for owner, state in self._owners.items():
            for organisation, units in state.folded_units.items():
                yield ServiceCounter(
                    owner, state.folded_incarnation, organisation, units, True
                )
            for incarnation, counters in state.units_by_incarnation.items():
                for organisation, units in counters.items():
                    yield ServiceCounter(owner, incarnation, organisation, units)

    def snapshot(self) -> LedgerSnapshot:
        """Return the complete state."""
        return LedgerSnapshot(
            dict(self._retired), tuple(self.counters()), dict(self._totals)
        )

    def merge_snapshot(self, snapshot: LedgerSnapshot) -> None:
        """Merge the state of another ledger by maximum.

        After the counters are merged, a larger total can only come from owners that
        the other ledger has retired, whose counters are ignored from then on.
        """
        for owner, incarnation in snapshot.retired.items():
            state = self._owners.get(owner)
            if state is None:
                self._record_retired(owner, incarnation)
            elif (
                max([state.folded_incarnation, *state.units_by_incarnation])
                <= incarnation
            ):
                self.retire(owner)
                self._record_retired(owner, incarnation)
        for counter in snapshot.counters:
            self.merge(counter)
        for organisation, total in snapshot.totals.items():
            if total > self._totals.get(organisation, 0.0):
                self._totals[organisation] = total

    def totals(self) -> dict[str, float]:
        """Return the service units of each organisation."""
        return dict(self._totals)

    def errors(
        self, shares: Mapping[str, float], backlogged: Set[str]
    ) -> dict[str, float]:
        """Return the error of each backlogged organisation.

        Parameters
        ----------
        shares
            Share of each organisation; 1 where absent.
        backlogged
            Organisations with waiting requests anywhere in the fleet.

        Returns
        -------
        dict
            Virtual time less the mean over the backlogged organisations, in normalised
            units.
        """
        self._virtual_times.update(self._totals, shares, backlogged)
        return self._virtual_times.errors(self._virtual_times.mean)

    def _fold(self, state: _OwnerState, incarnation: int) -> None:
        for oldest in sorted(
            known for known in state.units_by_incarnation if known <= incarnation
        ):
            for organisation, units in state.units_by_incarnation.pop(oldest).items():
                state.folded_units[organisation] = (
                    state.folded_units.get(organisation, 0.0) + units
                )
        state.folded_incarnation = max(state.folded_incarnation, incarnation)

    def _record_retired(self, owner: str, incarnation: int) -> None:
        self._retired[owner] = max(incarnation, self._retired.get(owner, -1))
        if len(self._retired) > MAX_RETIRED_OWNERS:
            self._retired.popitem(last=False)
