"""Result of a complete exchange with an endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Exchange:
    """A complete answer was passed on.

    Parameters
    ----------
    units
        Service units, see `FairSettings` for the weights.
    first_token, token_interval
        Seconds; 0.0 when the answer was not streamed.
    """

    units: float
    first_token: float = 0.0
    token_interval: float = 0.0
