"""State of a placement request that this instance has made."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from borageworks.placement.decisions import Placed
from borageworks.placement.shards import Shard
from borageworks.placement.work import Work


@dataclass(slots=True)
class PendingPlacement:
    """A request received by this instance, from placement to completion.

    Parameters
    ----------
    shard
        Service and shard number that place the request.
    work
        Work to place.
    owner
        Instance that owns the shard and places the work.
    future
        Resolves to the placement decision.
    acknowledged
        Set when the owner has acknowledged the request.
    asked_at
        Time at which the owner was asked.
    placed_at
        Time at which the decision to place it was received.
    endpoint
        Endpoint that runs the request, None until it is placed.
    started
        Whether the response has started.
    """

    shard: Shard
    work: Work
    owner: str
    future: asyncio.Future[Placed]
    acknowledged: asyncio.Event
    asked_at: float = 0.0
    placed_at: float = 0.0
    endpoint: str | None = None
    started: bool = False
