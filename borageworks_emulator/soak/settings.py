"""Settings of a soak."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of a soak.

    Parameters
    ----------
    seed
        Seed of all random draws: faults, callers and requests.
    duration_s
        Duration of the phase with faults; recovery and a flood follow.
    directory
        Directory of the gateways' settings files and output.
    gateways, engines, plain_endpoints
        Number of gateway processes, model engines, and endpoints of the plain service.
    organisations, callers_per_organisation
        Number of organisations, and of callers of each.
    flood_callers
        Number of additional callers with which one organisation floods the engines.
    flood_duration_s
        Duration of the flood, which must exceed the window of the fairness check.
    """

    seed: int
    duration_s: float
    directory: Path
    gateways: int = 5
    engines: int = 3
    plain_endpoints: int = 2
    organisations: int = 5
    callers_per_organisation: int = 4
    flood_callers: int = 24
    flood_duration_s: float = 8.0
