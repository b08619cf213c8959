"""Summary of what placement of one shard believes, for its periodic log line."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementSummary:
    """What a dispatcher believes of its endpoints and its waiting requests.

    Parameters
    ----------
    endpoints, usable
        Endpoints, and those of them that may get a request now.
    limited, limit_per_s
        Endpoints that limit the requests a second that they take, and the sum of their
        limits.
    running, slots
        Requests placed on the endpoints, and the slots that usable ones have.
    prefill_full
        Usable engines whose prefill backlog admits no further request.
    waiting, waiting_max
        Requests that wait for an endpoint, and the most of one organisation.
    backlog_s
        Mean prefill backlog of a usable engine in seconds.
    seconds_per_token, start_s
        Expected prefill time of a token, and time to the first token of a request
        whose prompt is cached, in seconds.
    round_trip_s
        Mean time that decisions and reports spend between instances, in seconds.
    leads
        Virtual time by organisation beyond that of the pool, in tokens, largest first.
    """

    endpoints: int
    usable: int
    limited: int
    limit_per_s: float
    running: int
    slots: int
    prefill_full: int
    waiting: int
    waiting_max: int
    backlog_s: float
    seconds_per_token: float
    start_s: float
    round_trip_s: float
    leads: dict[str, float]
