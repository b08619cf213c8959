"""Level of one organisation as one aggregator tells another."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Level:
    """What the level holds beyond the organisation's total divided by its share.

    Parameters
    ----------
    organisation
        Its id.
    offset
        Normalised units that idle times have added; it only grows at one share.
    share
        Share that the offset belongs to.
    backlogged
        Whether the organisation waited at the last update.
    """

    organisation: str
    offset: float
    share: float
    backlogged: bool
