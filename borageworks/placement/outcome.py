"""How a placed request ended at its endpoint."""

from __future__ import annotations

from enum import IntEnum


class WorkOutcome(IntEnum):
    """How a placed request ended at its endpoint.

    CALLER_DISCONNECTED means that the caller disconnected, REFUSED that the endpoint
    refused for lack of capacity, DISCONNECTED that its connection closed before the
    response was complete, as at a crash, FAILED that it responded with an error,
    UNLISTED that it is no longer listed, and RETURNED that it was not sent, since the
    endpoint wants no requests of the entry instance. MISDIRECTED means that another
    endpoint has taken over the address.
    """

    SERVED = 0
    CALLER_DISCONNECTED = 1
    REFUSED = 2
    UNREACHABLE = 3
    FAILED = 4
    UNLISTED = 5
    DISCONNECTED = 6
    RETURNED = 7
    MISDIRECTED = 8


# The endpoint did not run the request.
NOT_RUN = frozenset(
    (
        WorkOutcome.REFUSED,
        WorkOutcome.UNREACHABLE,
        WorkOutcome.UNLISTED,
        WorkOutcome.RETURNED,
        WorkOutcome.MISDIRECTED,
    )
)
