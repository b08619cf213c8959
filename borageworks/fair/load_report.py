"""Load report of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports about itself.

    Parameters
    ----------
    running
        Number of requests that the endpoint executes.
    waiting
        Number of requests in the endpoint's own queue.
    token_interval_s
        Recent mean seconds between generated tokens; 0.0 if not measured.
    incarnation
        Identifier that changes when the endpoint restarts.
    """

    running: int
    waiting: int
    token_interval_s: float
    incarnation: str
