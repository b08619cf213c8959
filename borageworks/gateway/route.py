"""Routes: which service handles a request, and whether it may be retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What may be sent again after a failure that leaves the execution unknown.

    NEVER allows no retry, WHOLE allows a retry of the whole request, and RESUME a retry
    that continues the event stream after the last event received.
    """

    NEVER = "never"
    WHOLE = "whole"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Target:
    """A service of a route, with its relative weight for random selection."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the deployment.

    Parameters
    ----------
    name, host, prefix
        Name, and the host and path prefix that it matches; the prefix starts and ends
        with a slash.
    repeat
        What may be retried.
    stream
        Whether responses are event streams.
    timeout_s
        Maximum time from the request to the end of its response.
    aim_s
        Target latency of the response, or of the first event of a stream.
    max_attempts
        Maximum number of endpoints that one request is sent to.
    public
        Whether requests need no API key.
    prompts
        Whether requests describe a prompt whose parts endpoints cache.
    targets
        Services with their weights.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    stream: bool
    timeout_s: float
    aim_s: float
    max_attempts: int
    public: bool
    prompts: bool
    targets: tuple[Target, ...]
