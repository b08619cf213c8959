"""Decides which owners are notified of waiting requests, and when."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from borageworks.config.settings import QueueSettings
from borageworks.wire.messages import Demand

DemandKey = tuple[str, str]

WITHDRAW_DELAY_S = 0.05
REFRESH_INTERVAL_S = 1.0
RESEND_GROWTH_FACTOR = 2


@dataclass(frozen=True, slots=True)
class SendDemand:
    """Send `demand` to `owner`."""

    owner: str
    demand: Demand


@dataclass(slots=True)
class _Advertisement:
    """Demand of one (pool, organisation) and what the owners know of it.

    `advertised` holds the count that each owner is believed to know, `max_owners` the
    number of owners that may be notified, `escalated_at` the time of its last change,
    `emptied_at` the time since which no request waits.
    """

    waiting: int = 0
    max_owners: int = 1
    escalated_at: float = 0.0
    emptied_at: float | None = None
    advertised: dict[str, int] = field(default_factory=dict)


class DemandPlan:
    """Demand that one entry instance advertises to the owners of endpoints.

    One owner is notified of a new request at once. Whenever requests have waited for
    another `escalation_s`, the number of notified owners doubles, up to
    `owners_per_pool`. A count is sent again once it has doubled, and at each refresh if
    it differs.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._owners: dict[str, Sequence[str]] = {}
        self._entries: dict[DemandKey, _Advertisement] = {}
        self._changed: set[DemandKey] = set()

    @property
    def active(self) -> bool:
        """Whether there is any demand that `tick` has to process."""
        return bool(self._entries)

    def set_owners(self, owners: Mapping[str, Sequence[str]]) -> None:
        """Replace the owners of each pool, nearest first."""
        self._owners = dict(owners)
        for (pool, _), entry in self._entries.items():
            known = set(self._owners.get(pool, ()))
            entry.advertised = {
                owner: count
                for owner, count in entry.advertised.items()
                if owner in known
            }
        self._changed.update(self._entries)

    def set_waiting(
        self, now: float, pool: str, organisation: str, waiting: int
    ) -> None:
        """Set the number of waiting requests."""
        key = pool, organisation
        entry = self._entries.get(key)
        if entry is None:
            if waiting == 0:
                return
            entry = self._entries[key] = _Advertisement(escalated_at=now)
        if entry.waiting == 0 and waiting > 0:
            entry.escalated_at = now
            entry.emptied_at = None
            entry.max_owners = max(1, len(entry.advertised))
        elif entry.waiting > 0 and waiting == 0:
            entry.emptied_at = now
        entry.waiting = waiting
        self._changed.add(key)

    def record_grant(self, owner: str, pool: str, organisation: str) -> None:
        """Record a grant, for which the owner has reduced its count by one."""
        entry = self._entries.get((pool, organisation))
        if entry is not None and entry.advertised.get(owner, 0) > 0:
            entry.advertised[owner] -= 1

    def remove_owner(self, owner: str) -> None:
        """Discard the counts sent to an owner, after its link was lost."""
        for key, entry in self._entries.items():
            if entry.advertised.pop(owner, None) is not None:
                self._changed.add(key)

    def flush(self, now: float) -> list[SendDemand]:
        """Return the messages for changes since the last call."""
        changed, self._changed = self._changed, set()
        actions: list[SendDemand] = []
        for key in changed:
            entry = self._entries.get(key)
            if entry is not None and entry.waiting > 0:
                self._advertise(key, entry, actions)
        return actions

    def tick(self, now: float) -> list[SendDemand]:
        """Escalate demand that still waits and withdraw demand that has ended."""
        actions: list[SendDemand] = []
        for key, entry in list(self._entries.items()):
            if entry.waiting == 0:
                self._withdraw(now, key, entry, actions)
            elif now - entry.escalated_at >= self._settings.escalation_s:
                self._escalate(now, key, entry, actions)
        return actions

    def refresh(self, now: float) -> list[SendDemand]:
        """Return a message for every count that differs from the one last sent."""
        actions: list[SendDemand] = []
        for (pool, organisation), entry in self._entries.items():
            for owner, count in entry.advertised.items():
                if count != entry.waiting:
                    entry.advertised[owner] = entry.waiting
                    actions.append(
                        SendDemand(owner, Demand(pool, organisation, entry.waiting))
                    )
        return actions

    def _candidates(self, pool: str) -> Sequence[str]:
        return self._owners.get(pool, ())[: self._settings.owners_per_pool]

    def _escalate(
        self,
        now: float,
        key: DemandKey,
        entry: _Advertisement,
        actions: list[SendDemand],
    ) -> None:
        if entry.max_owners < len(self._candidates(key[0])):
            entry.max_owners *= 2
            entry.escalated_at = now
            self._advertise(key, entry, actions)

    def _advertise(
        self, key: DemandKey, entry: _Advertisement, actions: list[SendDemand]
    ) -> None:
        pool, organisation = key
        for owner in self._candidates(pool)[: entry.max_owners]:
            advertised = entry.advertised.get(owner, 0)
            if advertised == 0 or entry.waiting >= RESEND_GROWTH_FACTOR * advertised:
                entry.advertised[owner] = entry.waiting
                actions.append(
                    SendDemand(owner, Demand(pool, organisation, entry.waiting))
                )

    def _withdraw(
        self,
        now: float,
        key: DemandKey,
        entry: _Advertisement,
        actions: list[SendDemand],
    ) -> None:
        if entry.emptied_at is None or now - entry.emptied_at < WITHDRAW_DELAY_S:
            return
        pool, organisation = key
        actions.extend(
            SendDemand(owner, Demand(pool, organisation, 0))
            for owner, advertised in entry.advertised.items()
            if advertised > 0
        )
        del self._entries[key]
