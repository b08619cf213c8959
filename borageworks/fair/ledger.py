"""Service received, as grow-only counters."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass, field

from borageworks.fair.counter import ServiceCounter
from borageworks.fair.levels import ServiceLevels

# Owners whose late counters are recognised after they were retired.
RETIRED_OWNERS = 4096


@dataclass(slots=True)
class _Owner:
    # Incarnations up to `folded` are summed in `base` and no longer held one by one.
    folded: int = -1
    base: dict[str, float] = field(default_factory=dict)
    live: dict[int, dict[str, float]] = field(default_factory=dict)


class ServiceLedger:
    """Counters per owner, incarnation and organisation.

    Each counter is a lower bound of what the owner incarnation has served, and a merge
    keeps the larger one, so repeated and reordered merges are harmless. When an owner
    reports a newer incarnation, all but its latest two are folded into one base; later
    values for folded incarnations are ignored, which keeps totals from counting twice.
    `counters` leaves out what retired owners had served.
    """

    def __init__(self) -> None:
        self._owners: dict[str, _Owner] = {}
        self._totals: dict[str, float] = {}
        self._retired: OrderedDict[str, int] = OrderedDict()
        self._levels = ServiceLevels()

    @property
    def levels(self) -> ServiceLevels:
        """Levels behind `errors`, for a mean over several aggregators."""
        return self._levels

    def __len__(self) -> int:
        """Return the number of counters held."""
        return sum(
            len(owner.base) + sum(len(units) for units in owner.live.values())
            for owner in self._owners.values()
        )

    def add(
        self, owner: str, incarnation: int, organisation: str, units: float
    ) -> float:
        """Count service units of the caller's own incarnation; return its counter.

        Only units that were served belong here, never an estimate, since a counter
        cannot be reduced.
        """
        if units < 0:
            raise ValueError(f"{units} units would reduce a grow-only counter")
        held = self._owners.get(owner)
        counters = held.live.get(incarnation, {}) if held else {}
        units += counters.get(organisation, 0.0)
        self.merge(ServiceCounter(owner, incarnation, organisation, units))
        return units

    def merge(self, counter: ServiceCounter) -> bool:
        """Take over a counter where it is larger; return whether it was."""
        owner = self._owners.get(counter.owner)
        if owner is None:
            if counter.incarnation <= self._retired.get(counter.owner, -1):
                return False
            owner = _Owner(folded=self._retired.pop(counter.owner, -1))
            self._owners[counter.owner] = owner
        if counter.folded:
            self._fold(owner, counter.incarnation)
            if counter.incarnation < owner.folded:
                return False
            units = owner.base
        elif counter.incarnation <= owner.folded:
            return False
        else:
            units = owner.live.setdefault(counter.incarnation, {})
        grown = counter.units - units.get(counter.organisation, 0.0)
        if grown <= 0:
            return False
        units[counter.organisation] = counter.units
        total = self._totals.get(counter.organisation, 0.0)
        self._totals[counter.organisation] = total + grown
        if len(owner.live) > 2:
            self._fold(owner, sorted(owner.live)[-3])
        return True

    def retire(self, owner: str) -> None:
        """Drop the counters of an owner that has left for good, keeping the totals."""
        held = self._owners.pop(owner, None)
        if held is None:
            return
        self._retired[owner] = max([held.folded, *held.live])
        if len(self._retired) > RETIRED_OWNERS:
            self._retired.popitem(last=False)

    def counters(self) -> Iterator[ServiceCounter]:
        """Return all counters, to be merged into another ledger."""
        for name, owner in self._owners.items():
            for organisation, units in owner.base.items():
                yield ServiceCounter(name, owner.folded, organisation, units, True)
            for incarnation, live in owner.live.items():
                for organisation, units in live.items():
                    yield ServiceCounter(name, incarnation, organisation, units)

    def totals(self) -> dict[str, float]:
        """Return the service units of each organisation."""
        return dict(self._totals)

    def errors(
        self, shares: Mapping[str, float], backlogged: Set[str]
    ) -> dict[str, float]:
        """Return each backlogged organisation's distance from the mean.

        Parameters
        ----------
        shares
            Share of each organisation; 1 where absent.
        backlogged
            Organisations that wait anywhere in the fleet.

        Returns
        -------
        dict
            Normalised service less the mean over the backlogged organisations.
        """
        self._levels.update(self._totals, shares, backlogged)
        return self._levels.errors(self._levels.mean)

    def _fold(self, owner: _Owner, incarnation: int) -> None:
        for old in sorted(number for number in owner.live if number <= incarnation):
            for organisation, units in owner.live.pop(old).items():
                owner.base[organisation] = owner.base.get(organisation, 0.0) + units
        owner.folded = max(owner.folded, incarnation)
