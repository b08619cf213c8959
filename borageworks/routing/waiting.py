"""A request that waits at its entry instance for a grant."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """One waiting request.

    Parameters
    ----------
    request_id
        Unique in the instance.
    pool, organisation
        What it waits for and for whom.
    queued_at, deadline
        Loop time in seconds; after `deadline` the request is refused.
    """

    request_id: int
    pool: str
    organisation: str
    queued_at: float
    deadline: float
