"""Records which participants were disturbed, and when."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

STORE = "store"


class Disturbances:
    """Records the intervals in which participants were disturbed.

    Parameters
    ----------
    clock
        Returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._intervals: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._ongoing: dict[str, list[float]] = defaultdict(list)

    def begin(self, subject: str) -> None:
        """Record the start of a disturbance."""
        self._ongoing[subject].append(self._clock())

    def end(self, subject: str) -> None:
        """Record the end of the subject's earliest ongoing disturbance."""
        self._intervals[subject].append((self._ongoing[subject].pop(0), self._clock()))

    def record_instant(self, subject: str) -> None:
        """Record a disturbance without duration."""
        self._intervals[subject].append((self._clock(), self._clock()))

    def undisturbed(self, subject: str, since: float, until: float) -> bool:
        """Return whether nothing disturbed the subject in an interval."""
        intervals = [
            *self._intervals[subject],
            *((at, math.inf) for at in self._ongoing[subject]),
        ]
        return all(end < since or start > until for start, end in intervals)
