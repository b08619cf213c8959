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
    first_event
        Event at which the response begins, not 0 if the caller resumes a stream.
    origin
        Id of the request that brought the first event, empty for this one.
    software_version
        Version of the engine that wrote the events received, empty before the first.
    received
        Number of complete events received.
    """

    id: str
    route: str
    organisation: str
    gateway: str
    tokens: int
    events: int
    sent_at: float
    first_event: int = 0
    origin: str = ""
    software_version: str = ""
    received: int = 0
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
