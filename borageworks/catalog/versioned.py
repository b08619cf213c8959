"""A configuration object, or its deletion, with the version that set it."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.catalog.objects import Endpoint, Organisation, Pool, Service


@dataclass(frozen=True, slots=True)
class Versioned:
    """State of one object.

    Parameters
    ----------
    kind, id
        Identity of the object.
    ticket
        Number of the ticket that set this state; it only grows for one object.
    value
        The object, or None after its deletion.
    """

    kind: str
    id: str
    ticket: int
    value: Organisation | Pool | Service | Endpoint | None
