"""Placement requests that this instance has not had time to decide yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from borageworks.placement.shards import Shard
from borageworks.placement.work import Work, WorkKey
from borageworks.timers import Timers

# Requests that are decided before messages are read again. What endpoints have begun
# and ended, and what callers have withdrawn, is known first then.
DECISIONS_PER_TURN = 8
# Part of the time that a request may wait after which it is refused undecided, and the
# least wait: a burst that is decided within it is no overload.
MAX_WAIT_RATIO = 0.25
MIN_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class UndecidedRequest:
    """A request to place, as it was received at `arrived_at`.

    `sole_s` is the time for which its instance has asked only this one, 0 for requests
    of this instance itself.
    """

    shard: Shard
    work: Work
    arrived_at: float
    sole_s: float = 0.0

    @property
    def expires_at(self) -> float:
        """Time at which it is refused unless it has been decided."""
        patience_s = max(self.work.remaining_target_s, self.work.max_wait_s, 0.0)
        return self.arrived_at + max(MAX_WAIT_RATIO * patience_s, MIN_WAIT_S)


# Shard and organisation of requests that are decided in order of arrival.
_Group = tuple[Shard, str]


class PlacementInbox:
    """Placement requests that this instance has not had time to decide yet.

    A few requests are decided as they arrive. If more arrive in one iteration of the
    event loop, the rest is decided in turns between which messages are read, those of
    organisations that got least first. What an overloaded owner has no time
    for is refused undecided, which costs a fraction of a decision.

    Parameters
    ----------
    timers
        Timers of the process.
    decide
        Decides a request.
    refuse
        Refuses a request that was not decided in time.
    rank
        Returns the order of an organisation's requests of a shard, least first.
    """

    def __init__(
        self,
        timers: Timers,
        decide: Callable[[UndecidedRequest], None],
        refuse: Callable[[UndecidedRequest], None],
        rank: Callable[[float, Shard, str], tuple[bool, float]],
    ) -> None:
        self._timers = timers
        self._decide = decide
        self._refuse = refuse
        self._rank = rank
        self._groups: dict[_Group, dict[WorkKey, UndecidedRequest]] = {}
        self._group_of: dict[WorkKey, _Group] = {}
        self._turn_scheduled = False
        # Requests decided since messages were read.
        self._decided = 0
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._group_of)

    def add(self, request: UndecidedRequest) -> None:
        """Decide a request, now or in one of the next turns."""
        if self._group_of or self._decided >= DECISIONS_PER_TURN:
            key = request.work.key
            self.withdraw(key)
            group = self._group_of[key] = request.shard, request.work.organisation
            self._groups.setdefault(group, {})[key] = request
            self._counts["queued"] += 1
        else:
            self._decided += 1
            self._decide(request)
        self._schedule_turn()

    def withdraw(self, key: WorkKey) -> bool:
        """Drop a request; return whether it was undecided."""
        group = self._group_of.pop(key, None)
        if group is None:
            return False
        requests = self._groups[group]
        del requests[key]
        if not requests:
            del self._groups[group]
        return True

    def drop_instance(self, instance: str) -> None:
        """Drop the requests of an instance whose link was lost."""
        for key in [key for key in self._group_of if key[0] == instance]:
            self.withdraw(key)

    def take_counts(self) -> tuple[int, int]:
        """Return the requests queued and refused undecided since the last call."""
        counts, self._counts = self._counts, Counter()
        return counts["queued"], counts["refused"]

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._timers.after(0.0, self._take_turn)

    def _take_turn(self, now: float) -> None:
        self._turn_scheduled = False
        self._decided = 0
        self._refuse_expired(now)
        while self._groups and self._decided < DECISIONS_PER_TURN:
            group = min(self._groups, key=lambda group: self._rank(now, *group))
            request = next(iter(self._groups[group].values()))
            self.withdraw(request.work.key)
            self._decided += 1
            self._decide(request)
        if self._decided:
            self._schedule_turn()

    def _refuse_expired(self, now: float) -> None:
        expired = [
            request
            for requests in self._groups.values()
            for request in requests.values()
            if now >= request.expires_at
        ]
        for request in expired:
            self.withdraw(request.work.key)
            self._counts["refused"] += 1
            self._refuse(request)
