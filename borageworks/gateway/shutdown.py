"""Decides which requests are accepted during a graceful shutdown."""

from __future__ import annotations

from borageworks.gateway.settings import GatewaySettings

# Fraction of the time until SIGKILL that running requests may use.
DRAIN_RATIO = 0.93
# Fraction that is kept for the last responses to reach their callers.
RESPONSE_RATIO = 0.03


class Shutdown:
    """Decides which requests an instance accepts during a graceful shutdown.

    The load balancer sends new connections until it detects the shutdown, and callers
    use their open connections until these are closed. Both are served, but for requests
    that might not complete in time: those that must not be repeated are refused, and
    once the load balancer is expected to send no more, all of them, so that callers
    send them to another instance at once.

    Parameters
    ----------
    settings
        Provide the time until SIGKILL and the delay of the load balancer.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._begun_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._begun_at is not None

    @property
    def drain_deadline(self) -> float:
        """Time at which running requests are aborted; infinite before `begin`."""
        if self._begun_at is None:
            return float("inf")
        return self._begun_at + DRAIN_RATIO * self._settings.shutdown_timeout_s

    @property
    def response_deadline(self) -> float:
        """Time at which all running requests get their final response."""
        if self._begun_at is None:
            return float("inf")
        ratio = DRAIN_RATIO - RESPONSE_RATIO
        return self._begun_at + ratio * self._settings.shutdown_timeout_s

    @property
    def balancer_updated_at(self) -> float:
        """Time at which the load balancer sends no more new connections."""
        if self._begun_at is None:
            return float("inf")
        return self._begun_at + self._settings.balancer_lag_s

    def configure(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def begin(self, now: float) -> None:
        """Begin the shutdown; later calls have no effect."""
        if self._begun_at is None:
            self._begun_at = now

    def accepts(self, now: float, max_duration_s: float, *, repeatable: bool) -> bool:
        """Return whether to accept a request that takes at most `max_duration_s`.

        Parameters
        ----------
        now
            Time at which the request arrived.
        max_duration_s
            Longest time until its response is complete.
        repeatable
            Whether a caller may send it again when it was cut off.
        """
        if now + max_duration_s < self.response_deadline:
            return True
        return repeatable and now < self.balancer_updated_at
