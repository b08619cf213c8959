"""What a response of an endpoint states about the endpoint itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What a response of an endpoint states about the endpoint itself.

    Parameters
    ----------
    limit_per_s
        Requests a second that it takes from all instances together, None if it states
        no limit.
    leaving
        Whether it is shutting down and accepts no new requests.
    pause_s
        Seconds for which it wants no request from this instance, None if it states
        none.
    malformed
        What it states in a form that cannot be read: `limit` or `pause`.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    malformed: frozenset[str] = frozenset()
