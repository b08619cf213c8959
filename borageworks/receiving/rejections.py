"""Records callers that were rejected to keep the process within its limits."""

from __future__ import annotations

import time

from borageworks.events import Event, emit
from borageworks.metrics import Metrics

# Log lines a second; the counter has the rest.
MAX_LINES_PER_S = 5


class Rejections:
    """Counts rejected callers, and logs some of them.

    Parameters
    ----------
    metrics
        Counts `callers_rejected` by reason.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._second = 0
        self._lines = 0
        self._unlogged = 0

    def record(
        self, reason: str, peer: str, organisation: str, **fields: object
    ) -> None:
        """Record one rejection.

        Parameters
        ----------
        reason
            Limit that was reached.
        peer
            Address of the caller.
        organisation
            Organisation of its request, empty if it is not known.
        fields
            Further fields of the log line, such as what the request was waiting for.
        """
        self._metrics.count("callers_rejected", reason)
        now = int(time.monotonic())
        if now != self._second:
            self._second, self._lines = now, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._unlogged += 1
            return
        emit(
            Event.CALLER_REJECTED,
            reason=reason,
            peer=peer,
            organisation=organisation,
            unlogged=self._unlogged,
            **fields,
        )
        self._unlogged = 0
