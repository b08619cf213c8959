"""Grow-only counter of a service ledger."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceCounter:
    """Service units that an organisation received from one owner incarnation.

    If `folded`, the units are the sum over all incarnations up to this one.
    """

    owner: str
    incarnation: int
    organisation: str
    units: float
    folded: bool = False
