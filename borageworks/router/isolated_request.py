"""A request that waits at its entry instance to run alone on an endpoint."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from borageworks.router.granted_slot import HeldGrant
from borageworks.routing.waiting import WaitingRequest


@dataclass(frozen=True, slots=True)
class WaitingAlone:
    """One such request, its fingerprint, and where its grant goes."""

    request: WaitingRequest
    fingerprint: bytes
    future: asyncio.Future[HeldGrant]
