"""Standing slots that an entry instance keeps between requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from borageworks.router.granted_slot import HeldGrant

# An idle slot goes back after this time, so that quiet entries strand no capacity.
IDLE_S = 1.0


@dataclass(frozen=True, slots=True)
class _Idle:
    held: HeldGrant
    since: float


class StandingSlots:
    """Idle standing slots by pool; the most recently used is used next.

    Using the latest first lets the others reach the idle limit and go back.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = {}

    def __len__(self) -> int:
        """Return the number of idle slots."""
        return sum(len(idle) for idle in self._idle.values())

    def add(self, now: float, held: HeldGrant) -> None:
        """Keep a slot whose request has ended."""
        self._idle.setdefault(held.grant.pool, []).append(_Idle(held, now))

    def take(self, pool: str) -> HeldGrant | None:
        """Remove and return a slot of the pool, None if there is none."""
        idle = self._idle.get(pool)
        return idle.pop().held if idle else None

    def recall(self, owner: str, pool: str, endpoint: str) -> list[HeldGrant]:
        """Remove and return the slots that an owner wants back."""
        return self._remove(
            lambda idle: (
                idle.held.owner == owner
                and idle.held.grant.pool == pool
                and endpoint in ("", idle.held.grant.endpoint)
            )
        )

    def expire(self, now: float) -> list[HeldGrant]:
        """Remove and return the slots that were idle for too long."""
        return self._remove(lambda idle: now - idle.since >= IDLE_S)

    def drop_owner(self, owner: str) -> list[HeldGrant]:
        """Remove and return the slots of an owner."""
        return self._remove(lambda idle: idle.held.owner == owner)

    def all(self) -> list[HeldGrant]:
        """Return all idle slots."""
        return [idle.held for slots in self._idle.values() for idle in slots]

    def _remove(self, wanted: Callable[[_Idle], bool]) -> list[HeldGrant]:
        removed = []
        for pool, slots in list(self._idle.items()):
            removed += [idle.held for idle in slots if wanted(idle)]
            kept = [idle for idle in slots if not wanted(idle)]
            if kept:
                self._idle[pool] = kept
            else:
                del self._idle[pool]
        return removed
