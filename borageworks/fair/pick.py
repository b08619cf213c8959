"""Choice of a fair queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pick:
    """The organisation to serve next and the entry instance that holds its request."""

    entry: str
    organisation: str
