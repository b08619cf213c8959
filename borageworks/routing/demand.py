"""Decides which owners hear of which waiting requests, and when."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from borageworks.config.settings import QueueSettings
from borageworks.wire.messages import Demand

DemandKey = tuple[str, str]

WITHDRAW_S = 0.05
REFRESH_S = 1.0
GROWTH_FACTOR = 2


@dataclass(frozen=True, slots=True)
class TellOwner:
    """Send `demand` to `owner`."""

    owner: str
    demand: Demand


@dataclass(slots=True)
class _Entry:
    """What the owners were told about one (pool, organisation).

    `told` holds the count that each owner is believed to know, `reach` the number of
    owners that may be told, `widened` the time of the last change of `reach`.
    """

    waiting: int = 0
    reach: int = 1
    widened: float = 0.0
    emptied: float | None = None
    told: dict[str, int] = field(default_factory=dict)


class DemandPlan:
    """Demand that one entry instance advertises to the owners of endpoints.

    One owner hears of a new request at once. While no grant comes within
    `escalation_s`, the number of owners told doubles up to `owners_per_pool`. A count
    is sent again when it doubled, and at each refresh if it differs.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._owners: dict[str, Sequence[str]] = {}
        self._entries: dict[DemandKey, _Entry] = {}
        self._changed: set[DemandKey] = set()

    @property
    def active(self) -> bool:
        """Whether `tick` has anything to look after."""
        return bool(self._entries)

    def set_owners(self, owners: Mapping[str, Sequence[str]]) -> None:
        """Replace the owners by pool, nearest first."""
        self._owners = dict(owners)
        for (pool, _), entry in self._entries.items():
            known = set(self._owners.get(pool, ()))
            entry.told = {
                owner: count for owner, count in entry.told.items() if owner in known
            }
        self._changed.update(self._entries)

    def set_waiting(
        self, now: float, pool: str, organisation: str, waiting: int
    ) -> None:
        """Note the number of requests that wait now."""
        key = pool, organisation
        entry = self._entries.get(key)
        if entry is None:
            if waiting == 0:
                return
            entry = self._entries[key] = _Entry(widened=now)
        if entry.waiting == 0 and waiting > 0:
            entry.widened = now
            entry.emptied = None
            entry.reach = max(1, len(entry.told))
        elif entry.waiting > 0 and waiting == 0:
            entry.emptied = now
        entry.waiting = waiting
        self._changed.add(key)

    def granted(self, owner: str, pool: str, organisation: str) -> None:
        """Note a grant; its owner has reduced the count that it knows by one."""
        entry = self._entries.get((pool, organisation))
        if entry is not None and entry.told.get(owner, 0) > 0:
            entry.told[owner] -= 1

    def forget_owner(self, owner: str) -> None:
        """Forget what an owner was told, after its link was lost."""
        for key, entry in self._entries.items():
            if entry.told.pop(owner, None) is not None:
                self._changed.add(key)

    def flush(self, now: float) -> list[TellOwner]:
        """Return what to send for the changes since the last call."""
        changed, self._changed = self._changed, set()
        actions: list[TellOwner] = []
        for key in changed:
            entry = self._entries.get(key)
            if entry is not None and entry.waiting > 0:
                self._advertise(key, entry, actions)
        return actions

    def tick(self, now: float) -> list[TellOwner]:
        """Widen the reach of waiting demand and withdraw demand that is gone."""
        actions: list[TellOwner] = []
        for key, entry in list(self._entries.items()):
            if entry.waiting == 0:
                self._withdraw(now, key, entry, actions)
            elif now - entry.widened >= self._settings.escalation_s:
                self._widen(now, key, entry, actions)
        return actions

    def refresh(self, now: float) -> list[TellOwner]:
        """Correct every count that differs from what its owner was told."""
        actions: list[TellOwner] = []
        for (pool, organisation), entry in self._entries.items():
            for owner, count in entry.told.items():
                if count != entry.waiting:
                    entry.told[owner] = entry.waiting
                    actions.append(
                        TellOwner(owner, Demand(pool, organisation, entry.waiting))
                    )
        return actions

    def _reachable(self, pool: str) -> Sequence[str]:
        return self._owners.get(pool, ())[: self._settings.owners_per_pool]

    def _widen(
        self, now: float, key: DemandKey, entry: _Entry, actions: list[TellOwner]
    ) -> None:
        if entry.reach < len(self._reachable(key[0])):
            entry.reach *= 2
            entry.widened = now
            self._advertise(key, entry, actions)

    def _advertise(
        self, key: DemandKey, entry: _Entry, actions: list[TellOwner]
    ) -> None:
        pool, organisation = key
        for owner in self._reachable(pool)[: entry.reach]:
            told = entry.told.get(owner, 0)
            if told == 0 or entry.waiting >= GROWTH_FACTOR * told:
                entry.told[owner] = entry.waiting
                actions.append(
                    TellOwner(owner, Demand(pool, organisation, entry.waiting))
                )

    def _withdraw(
        self, now: float, key: DemandKey, entry: _Entry, actions: list[TellOwner]
    ) -> None:
        if entry.emptied is None or now - entry.emptied < WITHDRAW_S:
            return
        pool, organisation = key
        actions.extend(
            TellOwner(owner, Demand(pool, organisation, 0))
            for owner, told in entry.told.items()
            if told > 0
        )
        del self._entries[key]
