"""A slot granted to an entry instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from borageworks.endpoints.progress import Progress
from borageworks.wire.messages import Grant


@dataclass(slots=True)
class GrantedSlot:
    """A slot granted to this entry instance, in use or retained.

    Parameters
    ----------
    grant
        Grant as sent by the owner that issued it.
    owner
        Current owner of the endpoint, to which the slot is released.
    progress
        Progress of the call that uses the slot.
    reported_units
        Service units of the running request reported to the owner so far.
    organisation
        Organisation whose request uses the slot.
    standing
        Whether the slot may be retained after the request.
    reused
        Whether the slot was retained after an earlier request.
    timeout
        Timeout of the running attempt; rescheduling it to the current time ends the
        attempt.
    isolated
        Whether the request runs in isolation.
    """

    grant: Grant
    owner: str
    progress: Progress
    reported_units: float = 0.0
    organisation: str = ""
    standing: bool = False
    reused: bool = False
    timeout: asyncio.Timeout | None = None
    isolated: bool = False
