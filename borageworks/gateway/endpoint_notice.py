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
    limit_malformed
        Whether it states a limit that cannot be read.
    """

    limit_per_s: float | None = None
    limit_malformed: bool = False
