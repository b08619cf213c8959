"""Limit on the requests a second that an endpoint takes."""

from __future__ import annotations

# Tokens that accumulate while an endpoint gets fewer requests than it takes: seconds at
# its limit, and the least number.
BURST_S = 0.5
MIN_BURST = 2.0
# Requests a second to an endpoint that takes fewer: without any response it could not
# withdraw its limit.
MIN_PER_S = 0.1


class RateLimit:
    """Token bucket for the requests to an endpoint that limits their rate.

    It is empty at first, since the endpoint may just have got requests that were placed
    before the limit was known or by another instance.

    Parameters
    ----------
    now
        Time in seconds.
    limit_per_s
        Requests a second that the endpoint takes from all instances together.
    ratio
        Fraction of it that this instance may use.
    """

    def __init__(self, now: float, limit_per_s: float, ratio: float) -> None:
        self._limit_per_s = limit_per_s
        self._ratio = ratio
        self._tokens = 0.0
        self._updated_at = now

    @property
    def limit_per_s(self) -> float:
        """Requests a second that the endpoint takes from all instances together."""
        return self._limit_per_s

    @property
    def rate_per_s(self) -> float:
        """Requests a second that this instance may place."""
        return max(self._limit_per_s, MIN_PER_S) * self._ratio

    @property
    def burst(self) -> float:
        """Requests that may be placed at once."""
        return max(self.rate_per_s * BURST_S, MIN_BURST)

    def configure(self, now: float, limit_per_s: float, ratio: float) -> None:
        """Apply another limit or fraction from now on."""
        self.tokens(now)
        self._limit_per_s = limit_per_s
        self._ratio = ratio

    def restart(self, now: float) -> None:
        """Forget unused tokens: others have placed requests meanwhile."""
        self._tokens = 0.0
        self._updated_at = now

    def tokens(self, now: float) -> float:
        """Return the requests that may be placed now; a part of one counts too."""
        refill = (now - self._updated_at) * self.rate_per_s
        self._tokens = min(self._tokens + max(refill, 0.0), self.burst)
        self._updated_at = now
        return self._tokens

    def take(self, now: float) -> None:
        """Count a request."""
        self._tokens = self.tokens(now) - 1.0

    def wait_s(self, now: float, ahead: int) -> float:
        """Return the seconds until a request behind `ahead` others may be placed."""
        return max(ahead + 1.0 - self.tokens(now), 0.0) / self.rate_per_s
