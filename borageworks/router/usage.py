"""Service received on kept standing slots, reported in batches."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.wire.messages import Used

UsageKey = tuple[str, str, str]


@dataclass(slots=True)
class _Sum:
    units: float = 0.0
    requests: int = 0


class Usage:
    """Units and ended requests by (owner, pool, organisation) since the last report."""

    def __init__(self) -> None:
        self._sums: dict[UsageKey, _Sum] = {}

    def add(
        self, owner: str, pool: str, organisation: str, units: float, requests: int
    ) -> None:
        """Add service units and ended requests."""
        if units <= 0 and not requests:
            return
        total = self._sums.setdefault((owner, pool, organisation), _Sum())
        total.units += units
        total.requests += requests

    def take(self) -> list[tuple[str, Used]]:
        """Return and forget what is to be reported to each owner."""
        sums, self._sums = self._sums, {}
        return [
            (owner, Used(pool, organisation, total.units, total.requests))
            for (owner, pool, organisation), total in sums.items()
        ]
