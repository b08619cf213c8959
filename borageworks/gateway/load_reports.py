"""Loads that endpoints report in their responses to this instance."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from borageworks.events import Event, emit
from borageworks.gateway.endpoint import Endpoint
from borageworks.metrics import Metrics
from borageworks.placement.engine_load import EngineLoad
from borageworks.timers import Timers
from borageworks.wire.messages import EndpointLoad

# An endpoint whose reports cannot be read is logged once in this time.
LOG_INTERVAL_S = 60.0
# Reports that are older say nothing about the present load.
MAX_AGE_S = 5.0
# Figures of messages have 32 bits.
MAX_COUNT = 2**32 - 1


@dataclass(slots=True)
class _Report:
    """Last report of one incarnation, and the instances that have been told of it."""

    load: EngineLoad
    stated_at: float
    told: set[str]


class LoadReports:
    """Loads that endpoints report in their responses to this instance.

    Reports of a service are kept once one of its endpoints has stated a pace. They are
    told with messages that are sent anyway, each once to an instance.

    Parameters
    ----------
    timers, metrics
        Services of the process.
    """

    def __init__(self, timers: Timers, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._reports: dict[str, _Report] = {}
        self._paced_services: set[str] = set()
        self._logged_at: dict[str, float] = {}
        metrics.before_render(self._update_gauge)

    def observe(
        self, endpoint: Endpoint, load: EngineLoad | None, *, malformed: bool
    ) -> bool:
        """Record what a response reports; return whether the report is of use."""
        if malformed:
            self._count_malformed(endpoint.id)
        if load is None:
            return False
        if load.pace is not None:
            self._paced_services.add(endpoint.service)
        if endpoint.service not in self._paced_services:
            return False
        now = self._timers.now()
        self._reports[endpoint.incarnation] = _Report(load, now, set())
        return True

    def untold(self, instance: str, incarnation: str) -> tuple[EndpointLoad, ...]:
        """Return the last report of an endpoint unless the instance was told of it."""
        report = self._reports.get(incarnation)
        if report is None or instance in report.told:
            return ()
        report.told.add(instance)
        age_s = self._timers.now() - report.stated_at
        if age_s > MAX_AGE_S:
            return ()
        return (encode_load(incarnation, report.load, age_s),)

    def retain(self, incarnations: Collection[str]) -> None:
        """Forget endpoints that are no longer listed."""
        for incarnation in set(self._reports).difference(incarnations):
            del self._reports[incarnation]
        listed = {item.rpartition("/")[0] for item in incarnations}
        for name in set(self._logged_at) - listed:
            del self._logged_at[name]

    def _count_malformed(self, endpoint: str) -> None:
        self._metrics.count("endpoint_loads_malformed")
        now = self._timers.now()
        if now - self._logged_at.get(endpoint, -math.inf) >= LOG_INTERVAL_S:
            self._logged_at[endpoint] = now
            emit(Event.ENDPOINT_LOAD_MALFORMED, endpoint=endpoint)

    def _update_gauge(self) -> None:
        oldest = self._timers.now() - MAX_AGE_S
        recent = sum(item.stated_at >= oldest for item in self._reports.values())
        self._metrics.gauge("endpoints_reporting_load", recent)


def encode_load(
    incarnation: str, load: EngineLoad, age_s: float, speed: float = 0.0
) -> EndpointLoad:
    """Return the message that tells a report of an endpoint."""
    return EndpointLoad(
        incarnation,
        min(load.running, MAX_COUNT),
        min(load.waiting, MAX_COUNT),
        min(load.slots, MAX_COUNT),
        load.pace or 0.0,
        age_s,
        speed,
    )


def decode_load(message: EndpointLoad) -> EngineLoad:
    """Return the report that a message tells."""
    pace = message.pace if 0.0 < message.pace < math.inf else None
    return EngineLoad(message.running, message.waiting, message.slots, pace)
