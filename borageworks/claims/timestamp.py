"""Time of an event by both clocks of an instance."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timestamp:
    """Time of an event.

    Parameters
    ----------
    monotonic
        Monotonic time in seconds, for intervals.
    unix_time
        Unix time in seconds, for ages of keys and segments. Clocks of two instances
        may differ by the configured clock difference.
    """

    monotonic: float
    unix_time: float
