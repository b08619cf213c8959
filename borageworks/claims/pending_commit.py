"""A commit of a claim shard whose result is pending."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.claims.actions import ClaimRequest
from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import Segment
from borageworks.wire.messages import ClaimState


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """Contents of a pending commit.

    Parameters
    ----------
    claims
        Claims that succeed with the commit, by holder and request id.
    changes
        State changes by key hash, each with the instance that sent it.
    records
        Records that the commit adds or changes.
    number, segment
        Number and content of the active segment after the commit.
    sealed
        The previously active segment, sealed if the commit creates a new segment;
        otherwise the active segment with changed but without new records.
    expired
        Numbers of the expired segments that the commit deletes.
    """

    claims: Mapping[tuple[str, int], ClaimRequest]
    changes: Mapping[bytes, tuple[str, ClaimState]]
    records: tuple[ClaimRecord, ...]
    number: int
    segment: Segment
    sealed: Segment
    expired: tuple[int, ...]
