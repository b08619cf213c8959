"""A request that waits at its entry instance to run in isolation."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from borageworks.router.granted_slot import GrantedSlot
from borageworks.routing.waiting import WaitingRequest


@dataclass(frozen=True, slots=True)
class IsolatedRequest:
    """The request, its fingerprint and the future that receives its slot."""

    request: WaitingRequest
    fingerprint: bytes
    future: asyncio.Future[GrantedSlot]
