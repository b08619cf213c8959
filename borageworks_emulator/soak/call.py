"""Record of one request as its caller saw it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ending(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    CLOSED = "closed"
    UNCONNECTED = "unconnected"
    LEFT = "left"
    WAITED = "waited"


@dataclass(slots=True)
class Call:
    """Record of one request as its caller saw it.

    Parameters
    ----------
    id
        Id of the request.
    route
        Name of its route.
    organisation
        Organisation of the API key, empty without a key.
    gateway
        Gateway that it was sent to.
    tokens
        Prompt tokens plus twice the generated tokens, 0 for plain requests.
    events
        Number of events of the response, 0 for plain responses.
    sent_at
        Event loop time of sending.
    """

    id: str
    route: str
    organisation: str
    gateway: str
    tokens: int
    events: int
    sent_at: float
    ended_at: float | None = None
    first_bytes_at: float | None = None
    ending: Ending | None = None
    status: int | None = None
    detail: str = ""

    @property
    def body(self) -> bytes:
        """Body of the request."""
        return f"request {self.id}".encode()

    @property
    def target(self) -> str:
        """Path and query of the request."""
        return f"/{self.route}/item?of={self.id}"
