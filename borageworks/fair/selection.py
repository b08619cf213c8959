"""Result of taking a request from a fair queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Selection:
    """Organisation to serve next and the entry instance at which its request waits."""

    entry: str
    organisation: str
