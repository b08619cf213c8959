"""Failure domains that the operator has evacuated."""

from __future__ import annotations

from collections.abc import Set

from borageworks.events import Event, emit
from borageworks.gateway.replica import ReplicaChange


class Evacuations:
    """Failure domains that the operator has evacuated.

    The replica applies changes by revision. After a restore of the store, an evacuation
    stays in force although the copy lacks its key, and one that only the copy has is in
    force: the key has to be changed again.

    Parameters
    ----------
    prefix
        Prefix of the keys in the store, which a failure domain follows.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._domains: frozenset[str] = frozenset()

    @property
    def domains(self) -> Set[str]:
        """Evacuated failure domains."""
        return self._domains

    def apply(self, change: ReplicaChange) -> bool:
        """Apply changed store items; return whether evacuations began or ended."""
        begun = self._named(change.puts.keys()) - self._domains
        ended: frozenset[str] = frozenset()
        if not change.restored:
            ended = self._named(change.deletes) & self._domains
        if not begun and not ended:
            return False
        self._domains = (self._domains | begun) - ended
        for domain in sorted(begun | ended):
            emit(Event.EVACUATION, domain=domain, evacuated=domain in self._domains)
        return True

    def _named(self, keys: Set[str] | tuple[str, ...]) -> frozenset[str]:
        names = (
            key.removeprefix(self._prefix)
            for key in keys
            if key.startswith(self._prefix)
        )
        return frozenset(name for name in names if name)
