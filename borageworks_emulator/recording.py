"""Records of the requests that an emulated endpoint ran."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

BIN_WIDTH_S = 0.05


class RunOutcome(StrEnum):
    """How a run ended at the endpoint."""

    OPEN = "open"
    COMPLETE = "complete"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    CUT = "cut"


@dataclass(slots=True)
class Run:
    """One request that arrived at an endpoint.

    `started` is None while the request waits inside the endpoint; a request that ends
    with `started` None did not run. Times are seconds of the monotonic clock. `tag` is
    the load generator's identifier of the request, taken from the body.
    """

    endpoint: str
    pool: str
    organisation: str
    request_id: str
    key: str
    tag: str
    arrived: float
    started: float | None = None
    ended: float | None = None
    units: float = 0.0
    resumed: bool = False
    outcome: RunOutcome = RunOutcome.OPEN

    @property
    def ran(self) -> bool:
        """Whether the endpoint started to run the request."""
        return self.started is not None


@dataclass(slots=True)
class Recording:
    """Runs and service units of one endpoint.

    Attributes
    ----------
    capacity : float
        Service units per second of the endpoint at its best concurrency.
    units : dict
        Service units by organisation and time bin of `BIN_WIDTH_S` seconds.
    """

    endpoint: str
    pool: str
    capacity: float
    runs: list[Run] = field(default_factory=list)
    units: defaultdict[str, defaultdict[int, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )

    def record_arrival(
        self, organisation: str, request_id: str, key: str, tag: str
    ) -> Run:
        """Record the arrival of a request."""
        run = Run(
            self.endpoint,
            self.pool,
            organisation,
            request_id,
            key,
            tag,
            time.monotonic(),
        )
        self.runs.append(run)
        return run

    def record_units(self, run: Run, now: float, units: float) -> None:
        """Record service units that a run received at time `now`."""
        run.units += units
        self.units[run.organisation][int(now / BIN_WIDTH_S)] += units

    def record_span(self, run: Run, since: float, until: float, rate: float) -> None:
        """Record service units at `rate` per second over a time span."""
        bins = self.units[run.organisation]
        first, last = int(since / BIN_WIDTH_S), int(until / BIN_WIDTH_S)
        for index in range(first, last + 1):
            overlap = min(until, (index + 1) * BIN_WIDTH_S) - max(
                since, index * BIN_WIDTH_S
            )
            if overlap > 0:
                bins[index] += overlap * rate
        run.units += (until - since) * rate

    def record_end(self, run: Run, outcome: RunOutcome) -> None:
        """Record the end of a run; only the first end counts."""
        if run.outcome is RunOutcome.OPEN:
            run.outcome = outcome
            run.ended = time.monotonic()
