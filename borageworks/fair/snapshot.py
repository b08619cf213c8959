"""Complete state of a service ledger."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.fair.counter import ServiceCounter


@dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """Ledger state from which a new aggregator starts.

    Parameters
    ----------
    retired
        Last incarnation of each retired owner.
    counters
        Counters of the other owners.
    totals
        Service units per organisation, including those of retired owners.
    """

    retired: Mapping[str, int]
    counters: tuple[ServiceCounter, ...]
    totals: Mapping[str, float]
