"""Knows which participants were disturbed, and when."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

STORE = "store"


class Disturbances:
    """Spans in which participants were disturbed.

    Parameters
    ----------
    clock
        Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._open: dict[str, list[float]] = defaultdict(list)

    def begin(self, subject: str) -> None:
        """Note the begin of a disturbance."""
        self._open[subject].append(self._clock())

    def end(self, subject: str) -> None:
        """Note the end of a disturbance of the subject."""
        self._spans[subject].append((self._open[subject].pop(0), self._clock()))

    def note(self, subject: str) -> None:
        """Note a disturbance without length."""
        self._spans[subject].append((self._clock(), self._clock()))

    def calm(self, subject: str, since: float, until: float) -> bool:
        """Return whether nothing disturbed the subject in a span."""
        spans = [*self._spans[subject], *((at, math.inf) for at in self._open[subject])]
        return all(end < since or begin > until for begin, end in spans)
