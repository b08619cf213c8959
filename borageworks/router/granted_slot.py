"""A grant that an entry instance uses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from borageworks.endpoints.progress import Progress
from borageworks.wire.messages import Grant


@dataclass(slots=True)
class HeldGrant:
    """One slot in use.

    Parameters
    ----------
    grant
        The grant as its owner sent it.
    owner
        Instance that is told of its end; changes when the endpoint's owner changes.
    progress
        Progress of the call that uses it.
    reported
        Service units of the running request that the owner was told.
    organisation
        Whose request uses the slot.
    standing
        Whether the slot may be kept after the request.
    reused
        Whether the slot was kept and is used again.
    scope
        Ends the running attempt when it is rescheduled to the present.
    alone
        Whether the request runs with no other beside it.
    """

    grant: Grant
    owner: str
    progress: Progress
    reported: float = 0.0
    organisation: str = ""
    standing: bool = False
    reused: bool = False
    scope: asyncio.Timeout | None = None
    alone: bool = False
