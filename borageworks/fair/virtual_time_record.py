"""Fleet-wide virtual time of an organisation as exchanged by aggregators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VirtualTimeRecord:
    """Offset of a virtual time to the organisation's total divided by its share.

    Parameters
    ----------
    organisation
        Id of the organisation.
    offset
        Normalised units added by idle periods; only grows while the share is the same.
    share
        Share to which the offset applies.
    backlogged
        Whether the organisation was backlogged at the last update.
    """

    organisation: str
    offset: float
    share: float
    backlogged: bool
