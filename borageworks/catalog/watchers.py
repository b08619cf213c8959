"""Choice of the instances that watch the platform store; pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from borageworks.routing.rendezvous import ranked

# Two per domain: one can fail while the other keeps its domain current.
WATCHERS_PER_DOMAIN = 2
ROLE = "catalog-watcher"


class FleetMember(Protocol):
    """What the choice needs to know of a member."""

    @property
    def id(self) -> str:
        """Instance name."""

    @property
    def domain(self) -> str:
        """Failure domain."""


def watchers(domain: str, members: Iterable[FleetMember]) -> tuple[str, ...]:
    """Return the instances of a domain that watch, by rendezvous hash.

    A change of members moves the role only when it adds or removes a watcher.
    """
    names = {member.id for member in members if member.domain == domain}
    return tuple(ranked(ROLE, names)[:WATCHERS_PER_DOMAIN])
