"""Fair queue of one pool at one owner."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from borageworks.fair.backlog import Backlog
from borageworks.fair.heap import IndexedHeap
from borageworks.fair.pick import Pick

# A running request is charged each second; after a minute without a charge none runs.
IDLE_RETENTION_S = 60.0


@dataclass(slots=True)
class _Account:
    virtual_time: float
    floor: float
    units: float = 0.0
    order: int = 0
    touched: float = 0.0
    backlog: Backlog = field(default_factory=Backlog)


class FairQueue:
    """Start-time fair queueing over organisations, weighted by share.

    The caller charges the estimated cost right after `take`, and later the difference
    to the real cost. An organisation that was idle re-enters at the pool's virtual time
    or at its own where that is later, so it keeps debt but no credit. `take`, `charge`
    and `correct` are O(log n) amortised in the number of backlogged organisations.

    Parameters
    ----------
    correction_range
        Normalised units by which `correct` may move an organisation away from the
        pool's virtual time; it keeps corrections from accumulating while an
        organisation cannot be served here.
    """

    def __init__(self, *, correction_range: float = math.inf) -> None:
        self._correction_range = correction_range
        self._shares: dict[str, float] = {}
        self._accounts: dict[str, _Account] = {}
        self._heap = IndexedHeap()
        self._idle: OrderedDict[str, None] = OrderedDict()
        self._entries: dict[str, set[str]] = {}
        self._virtual_time = 0.0
        self._order = 0
        self._now = -math.inf

    @property
    def pool_virtual_time(self) -> float:
        """Largest virtual time at which an organisation was picked."""
        return self._virtual_time

    @property
    def accounts(self) -> int:
        """Number of organisations with state."""
        return len(self._accounts)

    def set_share(self, organisation: str, share: float) -> None:
        """Set the share; organisations without one have a share of 1."""
        if not (share > 0 and math.isfinite(share)):
            raise ValueError(f"share of organisation {organisation!r} is {share}")
        self._shares[organisation] = share

    def drop_share(self, organisation: str) -> None:
        """Forget the share of an organisation that was deleted."""
        self._shares.pop(organisation, None)

    def set_demand(
        self, now: float, entry: str, organisation: str, waiting: int
    ) -> None:
        """Replace the number of requests of the organisation that wait at the entry."""
        self._advance(now)
        if waiting <= 0:
            self._withdraw(entry, organisation)
            return
        account = self._account(organisation)
        if not account.backlog:
            account.virtual_time = max(account.virtual_time, self._virtual_time)
            account.floor = self._virtual_time
            self._idle.pop(organisation, None)
            self._requeue(organisation, account)
        account.backlog.set(now, entry, waiting)
        self._entries.setdefault(entry, set()).add(organisation)

    def take(self, now: float) -> Pick | None:
        """Remove the request to serve next, or return None when none waits."""
        self._advance(now)
        organisation = self._heap.least()
        if organisation is None:
            return None
        account = self._accounts[organisation]
        self._virtual_time = max(self._virtual_time, account.virtual_time)
        entry = account.backlog.take()
        assert entry is not None
        if account.backlog:
            self._requeue(organisation, account)
        else:
            self._retire(organisation, account)
        return Pick(entry, organisation)

    def serve(self, organisation: str) -> None:
        """Note that a request of the organisation is served without `take`.

        For callers that pick by `virtual_time`, since not every waiting request fits
        the place that is free. The pool's virtual time stays behind organisations that
        still wait: one that comes back must not queue behind them.
        """
        tag = self.virtual_time(organisation)
        behind = self._heap.least()
        if behind is not None:
            tag = min(tag, self._accounts[behind].virtual_time)
        self._virtual_time = max(self._virtual_time, tag)

    def charge(self, organisation: str, units: float) -> None:
        """Add service units to an organisation; a refund is negative.

        A refund cannot take the virtual time below that of the last re-entry:
        otherwise an overestimated request from before an idle time would return as
        credit.
        """
        account = self._account(organisation)
        account.units += units
        moved = account.virtual_time + units / self._shares.get(organisation, 1.0)
        account.virtual_time = max(moved, min(account.floor, account.virtual_time))
        self._moved(organisation, account)

    def correct(self, organisation: str, delta: float) -> None:
        """Move the virtual time by normalised units, within the correction range."""
        account = self._account(organisation)
        before = account.virtual_time
        if delta > 0:
            limit = self._virtual_time + self._correction_range
            account.virtual_time = max(before, min(before + delta, limit))
        else:
            limit = self._virtual_time - self._correction_range
            account.virtual_time = min(before, max(before + delta, limit))
        account.floor += account.virtual_time - before
        self._moved(organisation, account)

    def drop_entry(self, entry: str) -> None:
        """Forget all demand of an entry instance."""
        for organisation in sorted(self._entries.get(entry, ())):
            self._withdraw(entry, organisation)

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

    def _account(self, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = _Account(self._virtual_time, self._virtual_time)
            account.touched = self._now
            self._accounts[organisation] = account
            self._idle[organisation] = None
        return account

    def _requeue(self, organisation: str, account: _Account) -> None:
        self._order += 1
        account.order = self._order
        self._heap.set(organisation, (account.virtual_time, account.order))

    def _moved(self, organisation: str, account: _Account) -> None:
        if account.backlog:
            self._heap.set(organisation, (account.virtual_time, account.order))
        else:
            account.touched = self._now
            self._idle.move_to_end(organisation)

    def _withdraw(self, entry: str, organisation: str) -> None:
        held = self._entries.get(entry)
        if held is not None:
            held.discard(organisation)
            if not held:
                del self._entries[entry]
        account = self._accounts.get(organisation)
        if account is None or not account.backlog:
            return
        account.backlog.drop(entry)
        if not account.backlog:
            self._retire(organisation, account)

    def _retire(self, organisation: str, account: _Account) -> None:
        self._heap.remove(organisation)
        account.touched = self._now
        account.backlog = Backlog()
        self._idle[organisation] = None

    def _advance(self, now: float) -> None:
        if self._now == -math.inf:
            # State made before the first known time is retained from then on.
            for account in self._accounts.values():
                account.touched = now
        self._now = max(self._now, now)
        oldest = self._now - IDLE_RETENTION_S
        while self._idle:
            organisation = next(iter(self._idle))
            account = self._accounts[organisation]
            if account.touched > oldest:
                return
            del self._idle[organisation]
            if account.virtual_time > self._virtual_time:
                account.touched = self._now
                self._idle[organisation] = None
            else:
                del self._accounts[organisation]
