"""What endpoints have stated about themselves in their responses."""

from __future__ import annotations

import math
from dataclasses import dataclass

from borageworks.events import Event, emit
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.metrics import Metrics
from borageworks.timers import Timers


@dataclass(slots=True)
class _Statement:
    """What one incarnation of an endpoint states.

    `confirmed_at` is the time at which the last response that states it arrived.
    """

    limit_per_s: float | None = None
    confirmed_at: float = -math.inf


class EndpointNotices:
    """What endpoints have stated about themselves in their responses.

    A statement belongs to one incarnation of an endpoint. Responses arrive out of
    order, so that to a request which was sent before the last response with a limit
    cannot withdraw it.

    Parameters
    ----------
    timers, metrics
        Services of the process.
    """

    def __init__(self, timers: Timers, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._statements: dict[str, _Statement] = {}
        metrics.before_render(self._update_gauges)

    def limit_per_s(self, endpoint: Endpoint) -> float | None:
        """Return the requests a second that an endpoint takes, None if not limited."""
        statement = self._statements.get(endpoint.incarnation)
        return None if statement is None else statement.limit_per_s

    def observe(
        self, endpoint: Endpoint, notice: EndpointNotice, sent_at: float
    ) -> None:
        """Record the notice in the response to a request that was sent at `sent_at`."""
        if notice.limit_malformed:
            self._metrics.count("endpoint_notices_malformed", "limit")
            return
        self._merge(endpoint.incarnation, notice.limit_per_s, sent_at)

    def _merge(
        self, incarnation: str, limit_per_s: float | None, sent_at: float
    ) -> bool:
        """Apply a statement unless it is out of date; return whether it is news."""
        statement = self._statements.get(incarnation)
        if statement is None:
            if limit_per_s is None:
                return False
            statement = self._statements[incarnation] = _Statement()
        now = self._timers.now()
        if limit_per_s == statement.limit_per_s:
            statement.confirmed_at = now
            return False
        if sent_at < statement.confirmed_at and not _is_stricter(
            limit_per_s, statement.limit_per_s
        ):
            return False
        statement.limit_per_s = limit_per_s
        statement.confirmed_at = now
        emit(
            Event.ENDPOINT_NOTICE,
            endpoint=incarnation.partition("/")[0],
            limit_per_s=limit_per_s,
            source="",
            age_s=round(now - sent_at, 4),
        )
        return True

    def _update_gauges(self) -> None:
        limited = sum(
            statement.limit_per_s is not None for statement in self._statements.values()
        )
        self._metrics.gauge("endpoints_limited", limited)


def _is_stricter(limit_per_s: float | None, than_per_s: float | None) -> bool:
    if limit_per_s is None:
        return False
    return than_per_s is None or limit_per_s < than_per_s
