"""Load report of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says about its load.

    Parameters
    ----------
    running, waiting
        Requests that the endpoint runs, and those it holds back itself.
    token_interval_s
        Recent seconds between generated tokens; 0.0 when there is none.
    incarnation
        Changes when the endpoint restarts.
    """

    running: int
    waiting: int
    token_interval_s: float
    incarnation: str
