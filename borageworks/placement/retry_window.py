"""Limit on retries by which one instance respects the fleet's retry budget."""

from __future__ import annotations

from collections import Counter, deque

# Margin for instances that have just started or left and use their quota too.
SAFETY_RATIO = 0.6
# Fraction of the retries that one organisation among several may use, or its fraction
# of the requests if that is more, so that its failures leave retries to the others.
MAX_ORGANISATION_RATIO = 0.5


class RetryWindow:
    """Retries to one service in a sliding window.

    Each instance may retry in proportion to its own requests, plus an equal fraction of
    the fleet's extra retries. No organisation can use all of them while others send
    requests too.

    Parameters
    ----------
    window_s
        Length of the window in seconds.
    ratio
        Retries per request.
    extra
        Retries per window that the whole fleet has regardless of its requests.
    """

    def __init__(self, window_s: float, ratio: float, extra: float) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra
        self._requests: deque[tuple[float, str]] = deque()
        self._retries: deque[tuple[float, str]] = deque()
        self._requests_by_organisation: Counter[str] = Counter()
        self._retries_by_organisation: Counter[str] = Counter()

    def configure(self, window_s: float, ratio: float, extra: float) -> None:
        """Apply a changed budget."""
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra

    def record_request(self, now: float, organisation: str = "") -> None:
        """Count a request."""
        self._requests.append((now, organisation))
        self._requests_by_organisation[organisation] += 1
        self._expire(now)

    def take(self, now: float, instances: int, organisation: str = "") -> bool:
        """Count a retry if the budget of one of `instances` instances allows it."""
        self._expire(now)
        requests = len(self._requests)
        allowed = self._ratio * requests + self._extra / max(instances, 1)
        allowed *= SAFETY_RATIO
        if len(self._retries) + 1 > allowed:
            return False
        own_requests = self._requests_by_organisation[organisation]
        organisation_ratio = max(
            MAX_ORGANISATION_RATIO, own_requests / requests if requests else 1.0
        )
        has_others = own_requests < requests
        if (
            has_others
            and self._retries_by_organisation[organisation] + 1
            > organisation_ratio * allowed
        ):
            return False
        self._retries.append((now, organisation))
        self._retries_by_organisation[organisation] += 1
        return True

    def _expire(self, now: float) -> None:
        window_start = now - self._window_s
        for entries, counts in (
            (self._requests, self._requests_by_organisation),
            (self._retries, self._retries_by_organisation),
        ):
            while entries and entries[0][0] < window_start:
                _, organisation = entries.popleft()
                counts[organisation] -= 1
                if not counts[organisation]:
                    del counts[organisation]
