"""Routes: which service handles a request, and whether it may be retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetryPolicy(Enum):
    """What may be sent again after a failure that leaves the execution unknown.

    NEVER allows no retry, FULL allows a retry of the whole request, and RESUME a retry
    that continues the event stream after the last event received.
    """

    NEVER = "never"
    FULL = "whole"
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
    retry_policy
        What may be retried.
    stream
        Whether responses are event streams.
    timeout_s
        Maximum time from the request to the end of its response.
    target_latency_s
        Target latency of the response, or of the first event of a stream.
    max_attempts
        Maximum number of endpoints that one request is sent to.
    public
        Whether requests need no API key.
    prompt_affinity
        Whether requests describe a prompt whose parts endpoints cache.
    targets
        Services with their weights.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    stream: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    public: bool
    prompt_affinity: bool
    targets: tuple[Target, ...]
