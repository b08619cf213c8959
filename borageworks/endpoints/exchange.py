"""Result of a completed exchange with an endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Exchange:
    """Measurements of an exchange whose complete response was forwarded.

    Parameters
    ----------
    units
        Service units; `FairSettings` has their weights.
    first_token_s, token_interval_s
        Seconds until the first token and mean seconds between tokens; 0.0 if the
        response was not streamed.
    """

    units: float
    first_token_s: float = 0.0
    token_interval_s: float = 0.0
