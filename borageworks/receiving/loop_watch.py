"""Names what has held the event loop."""

from __future__ import annotations

import time

from borageworks.events import Event, emit
from borageworks.metrics import Metrics

# A tenth of the shortest target latency that operators configure.
HOLD_LIMIT_S = 0.02
# Log lines a second; the counter has the rest.
MAX_LINES_PER_S = 5


class LoopWatch:
    """Logs and counts work that kept the loop from everything else.

    Parameters
    ----------
    metrics
        Counts `loop_held` by the kind of work.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._second = 0
        self._lines = 0

    def report(self, held_s: float, work: str, **fields: object) -> None:
        """Record work that took longer than `HOLD_LIMIT_S`.

        Parameters
        ----------
        held_s
            Duration in seconds.
        work
            Kind of work.
        fields
            What it was done for.
        """
        now = time.monotonic()
        self._metrics.count("loop_held", work)
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_S:
            emit(Event.LOOP_HELD, work=work, held_s=round(held_s, 4), **fields)
