"""Standing slots that an entry instance retains between requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from borageworks.router.granted_slot import GrantedSlot

# Idle slots are returned after this time, so that idle entry instances occupy no
# capacity.
MAX_IDLE_S = 1.0


@dataclass(frozen=True, slots=True)
class _IdleSlot:
    slot: GrantedSlot
    idle_since: float


class StandingSlots:
    """Idle standing slots by pool, reused in last-in, first-out order.

    This order lets surplus slots reach the idle limit and be returned.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleSlot]] = {}

    def __len__(self) -> int:
        """Return the number of idle slots."""
        return sum(len(idle) for idle in self._idle.values())

    def add(self, now: float, slot: GrantedSlot) -> None:
        """Retain a slot whose request has ended."""
        self._idle.setdefault(slot.grant.pool, []).append(_IdleSlot(slot, now))

    def take(self, pool: str) -> GrantedSlot | None:
        """Remove and return a slot of the pool, or None if there is none."""
        idle = self._idle.get(pool)
        return idle.pop().slot if idle else None

    def recall(self, owner: str, pool: str, endpoint: str) -> list[GrantedSlot]:
        """Remove and return the slots that an owner recalls."""
        return self._remove(
            lambda idle: (
                idle.slot.owner == owner
                and idle.slot.grant.pool == pool
                and endpoint in ("", idle.slot.grant.endpoint)
            )
        )

    def expire(self, now: float) -> list[GrantedSlot]:
        """Remove and return the slots that have reached the idle limit."""
        return self._remove(lambda idle: now - idle.idle_since >= MAX_IDLE_S)

    def remove_owner(self, owner: str) -> list[GrantedSlot]:
        """Remove and return the slots of an owner."""
        return self._remove(lambda idle: idle.slot.owner == owner)

    def idle_slots(self) -> list[GrantedSlot]:
        """Return all idle slots."""
        return [idle.slot for slots in self._idle.values() for idle in slots]

    def _remove(self, matches: Callable[[_IdleSlot], bool]) -> list[GrantedSlot]:
        removed = []
        for pool, slots in list(self._idle.items()):
            removed += [idle.slot for idle in slots if matches(idle)]
            remaining = [idle for idle in slots if not matches(idle)]
            if remaining:
                self._idle[pool] = remaining
            else:
                del self._idle[pool]
        return removed
