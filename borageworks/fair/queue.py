"""Fair queue of one pool at one owner."""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass, field

from borageworks.fair.backlog import Backlog
from borageworks.fair.heap import IndexedHeap
from borageworks.fair.selection import Selection

# A running request is charged every second, so after a minute without a charge none of
# the organisation's requests is running.
IDLE_RETENTION_S = 60.0


@dataclass(slots=True)
class _Account:
    virtual_time: float
    refund_floor: float
    units: float = 0.0
    sequence: int = 0
    last_used_at: float = 0.0
    backlog: Backlog = field(default_factory=Backlog)


class FairQueue:
    """Start-time fair queueing over organisations, weighted by share.

    The caller charges the estimated cost right after `take`, and later the difference
    to the actual cost. An organisation that was idle re-enters at the later of its own
    and the pool's virtual time, so it keeps its debt but gains no credit. `take`,
    `charge` and `correct` are O(log n) amortised in the number of backlogged
    organisations.

    Parameters
    ----------
    correction_range
        Maximum distance in normalised units between the pool's virtual time and the
        one to which `correct` moves an organisation. It keeps corrections from
        accumulating while an organisation cannot be served by this owner.
    """

    def __init__(self, *, correction_range: float = math.inf) -> None:
        self._correction_range = correction_range
        self._shares: dict[str, float] = {}
        self._accounts: dict[str, _Account] = {}
        self._heap = IndexedHeap()
        self._idle: OrderedDict[str, None] = OrderedDict()
        self._entries: dict[str, set[str]] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._now = -math.inf

    @property
    def pool_virtual_time(self) -> float:
        """Virtual time of the pool: the maximum at which an organisation was picked."""
        return self._virtual_time

    @property
    def account_count(self) -> int:
        """Number of organisations with state."""
        return len(self._accounts)

    def set_share(self, organisation: str, share: float) -> None:
        """Set the share of an organisation; the default is 1."""
        if not (share > 0 and math.isfinite(share)):
            raise ValueError(
                f"share of organisation {organisation!r} must be positive and "
                f"finite, got {share}"
            )
        self._shares[organisation] = share

    def drop_share(self, organisation: str) -> None:
        """Remove the share of a deleted organisation."""
        self._shares.pop(organisation, None)

    def set_demand(
        self, now: float, entry: str, organisation: str, waiting: int
    ) -> None:
        """Set the number of the organisation's requests that wait at the entry."""
        self._advance_clock(now)
        if waiting <= 0:
            self._remove_demand(entry, organisation)
            return
        account = self._get_or_create_account(organisation)
        if not account.backlog:
            account.virtual_time = max(account.virtual_time, self._virtual_time)
            account.refund_floor = self._virtual_time
            self._idle.pop(organisation, None)
            self._requeue(organisation, account)
        account.backlog.set(now, entry, waiting)
        self._entries.setdefault(entry, set()).add(organisation)

    def take(self, now: float) -> Selection | None:
        """Remove and return the request to serve next, or None if none waits."""
        self._advance_clock(now)
        organisation = self._heap.peek()
        if organisation is None:
            return None
        account = self._accounts[organisation]
        self._virtual_time = max(self._virtual_time, account.virtual_time)
        entry = account.backlog.take()
        assert entry is not None
        if account.backlog:
            self._requeue(organisation, account)
        else:
            self._set_idle(organisation, account)
        return Selection(entry, organisation)

    def record_service(self, organisation: str) -> None:
        """Advance the pool's virtual time for a request served without `take`.

        For callers that choose by `virtual_time` because not every waiting request
        fits the free slot. The pool's virtual time does not pass that of a waiting
        organisation, so one that re-enters is not queued behind those waiting.
        """
        tag = self.virtual_time(organisation)
        next_organisation = self._heap.peek()
        if next_organisation is not None:
            tag = min(tag, self._accounts[next_organisation].virtual_time)
        self._virtual_time = max(self._virtual_time, tag)

    def charge(self, organisation: str, units: float) -> None:
        """Add service units to an organisation; a refund is negative.

        A refund cannot lower the virtual time below that of the last re-entry.
        Otherwise the refund for an overestimated request from before an idle period
        would become credit.
        """
        account = self._get_or_create_account(organisation)
        account.units += units
        charged_time = account.virtual_time + units / self._shares.get(
            organisation, 1.0
        )
        account.virtual_time = max(
            charged_time, min(account.refund_floor, account.virtual_time)
        )
        self._update_position(organisation, account)

    def correct(self, organisation: str, delta: float) -> None:
        """Shift the virtual time by `delta` normalised units, within the range."""
        account = self._get_or_create_account(organisation)
        before = account.virtual_time
        if delta > 0:
            limit = self._virtual_time + self._correction_range
            account.virtual_time = max(before, min(before + delta, limit))
        else:
            limit = self._virtual_time - self._correction_range
            account.virtual_time = min(before, max(before + delta, limit))
        account.refund_floor += account.virtual_time - before
        self._update_position(organisation, account)

    def remove_entry(self, entry: str) -> None:
        """Remove all demand of an entry instance."""
        for organisation in sorted(self._entries.get(entry, ())):
            self._remove_demand(entry, organisation)

    def backlogged(self) -> set[str]:
        """Return the organisations with waiting requests."""
        return {name for name, account in self._accounts.items() if account.backlog}

    def service(self, organisation: str) -> float:
        """Return the units charged since the organisation's state was created."""
        account = self._accounts.get(organisation)
        return account.units if account else 0.0

    def virtual_time(self, organisation: str) -> float:
        """Return the virtual time at which the organisation is or would be queued."""
        account = self._accounts.get(organisation)
        if account is None:
            return self._virtual_time
        if account.backlog:
            return account.virtual_time
        return max(account.virtual_time, self._virtual_time)

    def leads(self, count: int) -> dict[str, float]:
        """Return the largest virtual times beyond that of the pool, largest first.

        An organisation in debt is served after the others until they have caught up.
        """
        leads = {
            name: account.virtual_time - self._virtual_time
            for name, account in self._accounts.items()
            if account.virtual_time > self._virtual_time
        }
        largest = heapq.nlargest(count, leads, key=leads.__getitem__)
        return {name: leads[name] for name in largest}

    def _get_or_create_account(self, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = _Account(self._virtual_time, self._virtual_time)
            account.last_used_at = self._now
            self._accounts[organisation] = account
            self._idle[organisation] = None
        return account

    def _requeue(self, organisation: str, account: _Account) -> None:
        self._sequence += 1
        account.sequence = self._sequence
        self._heap.set(organisation, (account.virtual_time, account.sequence))

    def _update_position(self, organisation: str, account: _Account) -> None:
        if account.backlog:
            self._heap.set(organisation, (account.virtual_time, account.sequence))
        else:
            account.last_used_at = self._now
            self._idle.move_to_end(organisation)

    def _remove_demand(self, entry: str, organisation: str) -> None:
        organisations = self._entries.get(entry)
        if organisations is not None:
            organisations.discard(organisation)
            if not organisations:
                del self._entries[entry]
        account = self._accounts.get(organisation)
        if account is None or not account.backlog:
            return
        account.backlog.drop(entry)
        if not account.backlog:
            self._set_idle(organisation, account)

    def _set_idle(self, organisation: str, account: _Account) -> None:
        self._heap.remove(organisation)
        account.last_used_at = self._now
        account.backlog = Backlog()
        self._idle[organisation] = None

    def _advance_clock(self, now: float) -> None:
        if self._now == -math.inf:
            # Accounts created before the first known time are retained from then on.
            for account in self._accounts.values():
                account.last_used_at = now
        self._now = max(self._now, now)
        cutoff = self._now - IDLE_RETENTION_S
        while self._idle:
            organisation = next(iter(self._idle))
            account = self._accounts[organisation]
            if account.last_used_at > cutoff:
                return
            del self._idle[organisation]
            if account.virtual_time > self._virtual_time:
                account.last_used_at = self._now
                self._idle[organisation] = None
            else:
                del self._accounts[organisation]
