"""A request that waits at its entry instance for a grant."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """One waiting request.

    Parameters
    ----------
    request_id
        Number that is unique within the instance.
    pool, organisation
        Pool that it waits for, and organisation that sent it.
    queued_at, deadline
        Event loop times in seconds; after `deadline` the request is refused.
    """

    request_id: int
    pool: str
    organisation: str
    queued_at: float
    deadline: float
