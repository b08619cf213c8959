"""Selection of the instances that watch the platform store; performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from borageworks.routing.rendezvous import ranked

# If one of the two fails, the other keeps its domain current.
WATCHERS_PER_DOMAIN = 2
WATCHER_ROLE = "catalog-watcher"


class FleetMember(Protocol):
    """Properties of a member that the selection uses."""

    @property
    def id(self) -> str:
        """Instance name."""

    @property
    def domain(self) -> str:
        """Failure domain."""


def select_watchers(domain: str, members: Iterable[FleetMember]) -> tuple[str, ...]:
    """Return the instances of a domain that watch the store, by rendezvous hash.

    A membership change moves the role only if it adds or removes a watcher.
    """
    names = {member.id for member in members if member.domain == domain}
    return tuple(ranked(WATCHER_ROLE, names)[:WATCHERS_PER_DOMAIN])
