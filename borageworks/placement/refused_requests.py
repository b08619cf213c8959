"""Requests that were refused lately, and may come back."""

from __future__ import annotations

from collections import deque

# Requests remembered at most, so that a flood of refusals cannot fill the memory.
MAX_REMEMBERED = 32_768


class RefusedRequests:
    """Recognises callers that come back with a request that was refused.

    Parameters
    ----------
    lifetime_s
        Seconds for which a refusal is remembered.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._refusals: deque[tuple[float, bytes]] = deque()
        # Ends of what is remembered, by fingerprint.
        self._ends: dict[bytes, deque[float]] = {}

    def record(self, now: float, fingerprint: bytes) -> None:
        """Remember a refusal; requests without a fingerprint are not recognised."""
        if not fingerprint:
            return
        end = now + self._lifetime_s
        self._refusals.append((end, fingerprint))
        self._ends.setdefault(fingerprint, deque()).append(end)
        if len(self._refusals) > MAX_REMEMBERED:
            self._forget_oldest()

    def take(self, now: float, fingerprint: bytes) -> bool:
        """Return whether a request comes back; each refusal counts for one return."""
        while self._refusals and self._refusals[0][0] <= now:
            self._forget_oldest()
        ends = self._ends.get(fingerprint)
        if ends is None:
            return False
        ends.pop()
        if not ends:
            del self._ends[fingerprint]
        return True

    def _forget_oldest(self) -> None:
        end, fingerprint = self._refusals.popleft()
        ends = self._ends.get(fingerprint)
        # A return may have taken it already.
        if ends is not None and ends[0] <= end:
            ends.popleft()
            if not ends:
                del self._ends[fingerprint]
