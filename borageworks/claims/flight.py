"""A commit of a claim shard whose result is awaited."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.claims.actions import ClaimRequest
from borageworks.claims.record import ClaimRecord
from borageworks.claims.segment import Segment
from borageworks.wire.messages import ClaimState


@dataclass(frozen=True, slots=True)
class Flight:
    """Content of a commit.

    Parameters
    ----------
    claims
        Claims to answer when it succeeds, by holder and request id.
    changes
        State changes by key hash, with the instance that sent each.
    records
        Records as they are after it.
    number, segment
        Active segment after it.
    sealed
        The former active segment if the commit seals it, else the same content as
        before the new records.
    expired
        Numbers of the segments that it deletes.
    """

    claims: Mapping[tuple[str, int], ClaimRequest]
    changes: Mapping[bytes, tuple[str, ClaimState]]
    records: tuple[ClaimRecord, ...]
    number: int
    segment: Segment
    sealed: Segment
    expired: tuple[int, ...]
