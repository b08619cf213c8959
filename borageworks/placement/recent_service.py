"""What organisations got of a shard lately."""

from __future__ import annotations

import heapq
import math

# Amounts below this are dropped.
MIN_AMOUNT = 1e-3
# Number of time constants after which all amounts are aged at once.
MAX_AGE_WINDOWS = 16.0


class RecentService:
    """What organisations got, weighted by its age.

    Amounts fade exponentially, so that service which nobody else wanted at its time
    does not count against an organisation for longer than a few windows.

    Parameters
    ----------
    window_s
        Time constant of the amounts in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # Amounts as of `_weighted_at`: later ones weigh more, so that only a new amount
        # changes them.
        self._amounts: dict[str, float] = {}
        self._weighted_at = 0.0

    def add(self, now: float, organisation: str, amount: float) -> None:
        """Add an amount that an organisation got."""
        if now - self._weighted_at > MAX_AGE_WINDOWS * self._window_s:
            self._age(now)
        weighted = self._amounts.get(organisation, 0.0) + amount / self._decay(now)
        self._amounts[organisation] = weighted

    def take_back(self, organisation: str, amount: float, added_at: float) -> None:
        """Remove what is left of an amount that was added at `added_at`."""
        if organisation in self._amounts:
            left = self._amounts[organisation] - amount / self._decay(added_at)
            self._amounts[organisation] = max(left, 0.0)

    def amount(self, now: float, organisation: str) -> float:
        """Return what an organisation got lately."""
        return self._amounts.get(organisation, 0.0) * self._decay(now)

    def largest(self, now: float, count: int) -> dict[str, float]:
        """Return the organisations that got most lately, with amounts."""
        names = heapq.nlargest(count, self._amounts, key=self._amounts.__getitem__)
        decay = self._decay(now)
        return {name: self._amounts[name] * decay for name in names}

    def _decay(self, now: float) -> float:
        return math.exp((self._weighted_at - now) / self._window_s)

    def _age(self, now: float) -> None:
        decay = self._decay(now)
        self._weighted_at = now
        self._amounts = {
            name: amount * decay
            for name, amount in self._amounts.items()
            if amount * decay >= MIN_AMOUNT
        }
