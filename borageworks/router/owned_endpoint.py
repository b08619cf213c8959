"""State of an endpoint at its owner."""

from __future__ import annotations

from dataclasses import dataclass, field

from borageworks.catalog.objects import Endpoint
from borageworks.fair.window import ConcurrencyWindow


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """Report of a request whose connection broke, and whether it ran in isolation."""

    isolated: bool
    reported_at: float


@dataclass(slots=True)
class OwnedEndpoint:
    """An endpoint and its slots at this owner.

    Parameters
    ----------
    endpoint
        Configuration of the endpoint.
    window
        Concurrency window that limits its slots.
    grants_from
        Loop time before which no grants are issued, so that entry instances can report
        the slots in use that a former owner granted.
    up
        Whether the endpoint responds; no grants are issued for one that is down.
    incarnation
        Incarnation in the last load report.
    missed_reports
        Number of consecutive load reports that failed.
    reserved
        Whether the endpoint is reserved for an isolated request.
    broken_requests
        Requests that were running when connections to this incarnation broke, by
        fingerprint; retained until a later load report shows whether it crashed.
    """

    endpoint: Endpoint
    window: ConcurrencyWindow
    grants_from: float
    up: bool = True
    incarnation: str = ""
    missed_reports: int = 0
    reserved: bool = False
    broken_requests: dict[bytes, BrokenRequest] = field(default_factory=dict)

    def free_slots(self, now: float) -> int:
        """Return the number of slots that can be granted."""
        if not self.up or self.reserved or now < self.grants_from:
            return 0
        return self.window.limit - self.window.in_use
