"""Whole state of a service ledger."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.fair.counter import ServiceCounter


@dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """State that a new aggregator starts from.

    Parameters
    ----------
    retired
        Last incarnation of each retired owner.
    counters
        Counters of the other owners.
    totals
        Service units per organisation, with those of retired owners.
    """

    retired: Mapping[str, int]
    counters: tuple[ServiceCounter, ...]
    totals: Mapping[str, float]
