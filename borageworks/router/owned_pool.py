"""State of a pool at one owner."""

from __future__ import annotations

from collections.abc import Mapping

from borageworks.fair.cost import CostEstimator
from borageworks.fair.queue import FairQueue


class OwnedPool:
    """Queue, cost estimates and service counters of one pool at one owner."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.costs = CostEstimator()
        self._served: dict[str, float] = {}
        self._served_total = 0.0
        self._changed: set[str] = set()
        self._owner_counts: dict[str, int] = {}

    @property
    def served(self) -> Mapping[str, float]:
        """Service units by organisation since this instance started."""
        return self._served

    @property
    def served_total(self) -> float:
        """Service units of all organisations."""
        return self._served_total

    def clear_demand(self) -> None:
        """Remove all demand when no endpoint of the pool is owned any more.

        The service counters remain: they belong to this incarnation of the instance,
        and other instances ignore a counter that decreases.
        """
        self.queue = FairQueue()

    def set_share(self, organisation: str, share: float) -> None:
        """Set an organisation's share in this owner's queue.

        The share is divided by the number of owners with demand of the organisation,
        so that it does not get its full share from each of them.
        """
        self.queue.set_share(
            organisation, share / self._owner_counts.get(organisation, 1)
        )

    def set_owner_counts(self, owner_counts: Mapping[str, int]) -> None:
        """Replace the number of owners with demand of each organisation."""
        self._owner_counts = dict(owner_counts)

    def count_service(self, organisation: str, units: float) -> None:
        """Add service units; counters never decrease, so a refund is ignored."""
        if units <= 0:
            return
        self._served[organisation] = self._served.get(organisation, 0.0) + units
        self._served_total += units
        self._changed.add(organisation)

    def take_changed(self) -> set[str]:
        """Return the organisations whose counters increased since the last call."""
        changed, self._changed = self._changed, set()
        return changed
