"""Limits how many things of one kind each holder may have."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class TallyLimit:
    """Counts what each holder has, up to a limit that is the same for all.

    Parameters
    ----------
    limit
        Returns the number that each holder may have.
    """

    def __init__(self, limit: Callable[[], int]) -> None:
        self._limit = limit
        self._counts: Counter[str] = Counter()

    def take(self, holder: str) -> bool:
        """Count one more for a holder unless that exceeds the limit."""
        if self._counts[holder] >= self._limit():
            return False
        self._counts[holder] += 1
        return True

    def release(self, holder: str) -> None:
        """Count one less for a holder."""
        self._counts[holder] -= 1
        if self._counts[holder] <= 0:
            del self._counts[holder]
