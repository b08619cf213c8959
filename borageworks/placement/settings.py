"""Settings of placement."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of placement.

    Parameters
    ----------
    prefill_ahead_s
        Prefill time that may be queued at an engine beyond the measured round trip to
        other instances, so that it does not idle until its progress is reported and
        the next request arrives.
    recompute_weight
        Cost of prefilling a shared part again, per second of prefill. It exceeds 1
        since the part also evicts another one from memory.
    failure_penalty_s
        Cost of an endpoint at which every request fails.
    domain_penalty_s
        Cost of an endpoint in another failure domain.
    memory_ratio
        Fraction of an engine's memory that running requests may take; the rest is for
        cached shared parts and for responses as they grow.
    overdue_ratio, overdue_margin_s
        The output of a request is overdue after its expected time to the first token,
        multiplied by the ratio and extended by the margin: it may have been lost.
    min_retry_after_s, max_retry_after_s
        Bounds of the Retry-After of refused requests.
    share_window_s
        Time constant over which organisations are owed an even share.
    fair_window_s
        Time constant over which organisations are compared with each other. What one
        got before, while others wanted less, does not count against it.
    cold_over, cold_slack
        A cold endpoint must not get more requests in any second than the number that it
        takes, multiplied by `cold_over` and extended by `cold_slack`.
    recompute_ratio
        Fraction of the prefill that requests below their share may spend on parts that
        another engine has cached.
    """

    prefill_ahead_s: float = 0.08
    recompute_weight: float = 4.0
    failure_penalty_s: float = 1.0
    domain_penalty_s: float = 0.002
    memory_ratio: float = 0.6
    overdue_ratio: float = 2.0
    overdue_margin_s: float = 0.25
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 3.0
    share_window_s: float = 4.0
    fair_window_s: float = 1.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    recompute_ratio: float = 0.2
