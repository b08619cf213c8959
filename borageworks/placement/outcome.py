"""How a placed request ended at its endpoint."""

from __future__ import annotations

from enum import IntEnum


class WorkOutcome(IntEnum):
    """How a placed request ended at its endpoint.

    LEFT means that the caller disconnected, SHED that the endpoint refused for lack of
    capacity, BROKEN that its connection closed before the response was complete, as at
    a crash, FAILED that it responded with an error, and GONE that it is no longer
    listed.
    """

    SERVED = 0
    LEFT = 1
    SHED = 2
    UNREACHABLE = 3
    FAILED = 4
    GONE = 5
    BROKEN = 6
