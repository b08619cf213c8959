"""State of an endpoint at its owner."""

from __future__ import annotations

from dataclasses import dataclass, field

from borageworks.catalog.objects import Endpoint
from borageworks.fair.window import ConcurrencyWindow


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A request whose connection broke: whether it ran alone, and when it was told."""

    alone: bool
    told_at: float


@dataclass(slots=True)
class OwnedEndpoint:
    """One owned endpoint.

    Parameters
    ----------
    endpoint
        Its configuration.
    window
        Its slots.
    grants_from
        Loop time from which grants are given; until then entry instances report the
        slots that they use from a former owner's grants.
    up
        Whether it answers; a down endpoint gets no grants.
    incarnation
        As it last reported.
    missed_reports
        Load reports in a row that did not arrive.
    reserved
        Whether the endpoint is kept free for a request that runs alone.
    crashed
        Requests that were running when connections to this incarnation broke, by
        fingerprint; kept until a later report tells whether it crashed.
    """

    endpoint: Endpoint
    window: ConcurrencyWindow
    grants_from: float
    up: bool = True
    incarnation: str = ""
    missed_reports: int = 0
    reserved: bool = False
    crashed: dict[bytes, BrokenRun] = field(default_factory=dict)

    def free(self, now: float) -> int:
        """Return the number of slots that can be granted now."""
        if not self.up or self.reserved or now < self.grants_from:
            return 0
        return self.window.limit - self.window.in_use
