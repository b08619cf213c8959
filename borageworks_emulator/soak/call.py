"""One request as its caller saw it."""

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
    """One request as its caller saw it.

    Parameters
    ----------
    id
        Id of the request.
    route
        Name of the route.
    organisation
        Organisation of the key, empty without a key.
    gateway
        Instance that it was sent to.
    tokens
        Prompt tokens.
    events
        Number of events of the answer, 0 for plain answers.
    sent_at
        Loop time.
    """

    id: str
    route: str
    organisation: str
    gateway: str
    tokens: int
    events: int
    sent_at: float
    ended_at: float | None = None
    first_part_at: float | None = None
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
