"""How a placed request ended at its endpoint."""

from __future__ import annotations

from enum import IntEnum


class WorkOutcome(IntEnum):
    """How a placed request ended at its endpoint.

    BROKEN means that the endpoint broke off, as one does that crashes; FAILED that it
    answered with a failure.
    """

    SERVED = 0
    LEFT = 1
    SHED = 2
    UNREACHABLE = 3
    FAILED = 4
    GONE = 5
    BROKEN = 6
