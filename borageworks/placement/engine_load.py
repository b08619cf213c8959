"""What an endpoint last reported about its load."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

# Age at which a reported pace has no weight any more. Machines that other work slows
# down change several times a second.
PACE_LIFETIME_S = 0.8
# Age at which reported requests have no weight any more that placement does not know
# of: about the time that a request runs.
UNKNOWN_LIFETIME_S = 2.0
# Ends of requests are kept for this long; an older report is not compared with them.
MAX_REPORT_AGE_S = 2.0
# Bounds of a pace, so that a single report does not exclude an endpoint.
MIN_PACE = 0.25
MAX_PACE = 16.0


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load that an endpoint reports about itself.

    Parameters
    ----------
    running, waiting
        Requests that run, and that wait at the endpoint.
    slots
        Requests that it runs at most.
    pace
        How long work takes on its machine now, relative to the usual time; None if not
        stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """What an instance knows of the load of an incarnation of an endpoint.

    Parameters
    ----------
    incarnation
        The incarnation.
    load, stated_at
        Last report, with no figures if there is none, and its time.
    speed
        Lasting prefill time relative to the service's engines, 0 if unknown.
    """

    incarnation: str
    load: EngineLoad
    stated_at: float
    speed: float


@dataclass(slots=True)
class LoadRecord:
    """Last report of one incarnation of an endpoint, and what has ended since.

    Parameters
    ----------
    load, stated_at
        Last report, and the time at which the endpoint stated it.
    unknown
        Requests that the report counts and that placement did not know of then.
    """

    load: EngineLoad | None = None
    stated_at: float = -math.inf
    unknown: float = 0.0
    _ended_at: deque[float] = field(default_factory=deque)

    def record(self, load: EngineLoad, stated_at: float, known: int) -> None:
        """Take in a report unless a later one is known.

        Parameters
        ----------
        load, stated_at
            Report, and the time at which the endpoint stated it.
        known
            Requests placed before that time that still run.
        """
        if stated_at < self.stated_at:
            return
        self.load = load
        self.stated_at = stated_at
        known += sum(ended >= stated_at for ended in self._ended_at)
        self.unknown = float(max(load.running + load.waiting - known, 0))

    def record_adoption(self) -> None:
        """Count a request as known that another instance placed."""
        self.unknown = max(self.unknown - 1.0, 0.0)

    def record_end(self, now: float) -> None:
        """Record that a placed request has ended."""
        ended_at = self._ended_at
        ended_at.append(now)
        while ended_at[0] < now - MAX_REPORT_AGE_S:
            ended_at.popleft()

    def pace(self, now: float) -> float:
        """Return the expected pace, 1 without a recent report."""
        load = self.load
        if load is None or load.pace is None:
            return 1.0
        weight = 1.0 - (now - self.stated_at) / PACE_LIFETIME_S
        if weight <= 0.0:
            return 1.0
        pace = min(max(load.pace, MIN_PACE), MAX_PACE)
        return 1.0 + weight * (pace - 1.0)

    def unknown_requests(self, now: float) -> float:
        """Return the requests that run there and that placement does not know of."""
        if not self.unknown:
            return 0.0
        weight = 1.0 - (now - self.stated_at) / UNKNOWN_LIFETIME_S
        return self.unknown * max(weight, 0.0)
