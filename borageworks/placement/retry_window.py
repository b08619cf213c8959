"""Part of the fleet's retry budget that one instance may use."""

from __future__ import annotations

from collections import Counter, deque

# Instances that have just started or left may use their part too.
SAFETY = 0.6
# One organisation among several may use this part of the retries, or its part of the
# requests if that is more: its failures must not use up what the others need.
ORGANISATION_PART = 0.5


class RetryWindow:
    """Retries to one service in a sliding window.

    Every instance gets retries in proportion to its own requests, and an equal part of
    the retries that the fleet has in any case. No organisation can use all of them
    while others ask too.

    Parameters
    ----------
    window_s
        Length of the window in seconds.
    ratio
        Retries per request.
    extra
        Further retries of the whole fleet in a window.
    """

    def __init__(self, window_s: float, ratio: float, extra: float) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra
        self._requests: deque[tuple[float, str]] = deque()
        self._retries: deque[tuple[float, str]] = deque()
        self._requests_of: Counter[str] = Counter()
        self._retries_of: Counter[str] = Counter()

    def configure(self, window_s: float, ratio: float, extra: float) -> None:
        """Apply a changed budget."""
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra

    def record_request(self, now: float, organisation: str = "") -> None:
        """Count a request."""
        self._requests.append((now, organisation))
        self._requests_of[organisation] += 1
        self._forget(now)

    def take(self, now: float, instances: int, organisation: str = "") -> bool:
        """Count a retry if the budget allows it; `instances` share the extra ones."""
        self._forget(now)
        requests = len(self._requests)
        allowed = self._ratio * requests + self._extra / max(instances, 1)
        allowed *= SAFETY
        if len(self._retries) + 1 > allowed:
            return False
        own = self._requests_of[organisation]
        part = max(ORGANISATION_PART, own / requests if requests else 1.0)
        others = own < requests
        if others and self._retries_of[organisation] + 1 > part * allowed:
            return False
        self._retries.append((now, organisation))
        self._retries_of[organisation] += 1
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._window_s
        for entries, counts in (
            (self._requests, self._requests_of),
            (self._retries, self._retries_of),
        ):
            while entries and entries[0][0] < oldest:
                _, organisation = entries.popleft()
                counts[organisation] -= 1
                if not counts[organisation]:
                    del counts[organisation]
