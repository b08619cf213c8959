"""Usage of retained standing slots, reported in batches."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.wire.messages import Used

UsageKey = tuple[str, str, str]


@dataclass(slots=True)
class _Total:
    units: float = 0.0
    requests: int = 0


class Usage:
    """Units and ended requests by (owner, pool, organisation) since the last report."""

    def __init__(self) -> None:
        self._totals: dict[UsageKey, _Total] = {}

    def add(
        self, owner: str, pool: str, organisation: str, units: float, requests: int
    ) -> None:
        """Add service units and ended requests."""
        if units <= 0 and not requests:
            return
        total = self._totals.setdefault((owner, pool, organisation), _Total())
        total.units += units
        total.requests += requests

    def take(self) -> list[tuple[str, Used]]:
        """Return the usage to report to each owner, and reset it."""
        totals, self._totals = self._totals, {}
        return [
            (owner, Used(pool, organisation, total.units, total.requests))
            for (owner, pool, organisation), total in totals.items()
        ]
