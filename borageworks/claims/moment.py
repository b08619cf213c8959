"""Time of an event by both clocks of an instance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Moment:
    """Time of an event.

    Parameters
    ----------
    now
        Monotonic seconds, for intervals.
    wall
        Unix time in seconds, for ages of keys and segments. Clocks of two instances
        may differ by the configured clock difference.
    """

    now: float
    wall: float
