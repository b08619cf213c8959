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
        Decides series of faults, callers and requests.
    duration_s
        Seconds in which faults happen; two calm phases follow.
    directory
        Where settings files and output of the gateways go.
    gateways, engines, desks
        Number of processes, and of endpoints of the two services.
    organisations, callers
        Number of organisations, and of callers of each.
    flooding
        Number of callers by which one organisation floods the engines at the end.
    calm_s
        Length of the flood, which has to exceed the window of the fairness check.
    """

    seed: int
    duration_s: float
    directory: Path
    gateways: int = 5
    engines: int = 3
    desks: int = 2
    organisations: int = 5
    callers: int = 4
    flooding: int = 24
    calm_s: float = 8.0
