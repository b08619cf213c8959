"""Notices that the process has more work than its processor can do."""

from __future__ import annotations

import math

from borageworks.events import Event, emit
from borageworks.gateway.settings import GatewaySettings
from borageworks.metrics import Metrics
from borageworks.timers import Subscription, Timers

INTERVAL_S = 0.05
# The mean follows within about this time, however many measurements fall into it: an
# overloaded loop measures seldom.
MEMORY_S = 0.2
# Overload ends when the mean lag has fallen to this part of its limit.
RELEASE_RATIO = 0.5


class LoopLag:
    """Measures by how much timers fire late.

    Parameters
    ----------
    settings
        Lag that counts as overload.
    metrics
        Receives the duration `loop_lag`.
    """

    def __init__(self, settings: GatewaySettings, metrics: Metrics) -> None:
        self._limit_s = settings.lag_limit_s
        self._metrics = metrics
        self._subscription: Subscription | None = None
        self._expected = 0.0
        self._mean = 0.0
        self._overloaded = False
        self._last = 0.0

    @property
    def seconds(self) -> float:
        """Mean lag."""
        return self._mean

    @property
    def overloaded(self) -> bool:
        """Whether the loop has more work than it can do."""
        return self._overloaded

    @property
    def late(self) -> bool:
        """Whether the loop lags, and still did when it was last measured."""
        return self._mean > self._limit_s and self._last > RELEASE_RATIO * self._limit_s

    def start(self, timers: Timers) -> None:
        """Begin to measure."""
        self._expected = timers.now() + INTERVAL_S
        self._subscription = timers.every(INTERVAL_S, self.measure)

    def stop(self) -> None:
        """Stop measuring."""
        if self._subscription is not None:
            self._subscription.cancel()

    def measure(self, now: float) -> None:
        """Take a timer call at `now`."""
        lag = max(now - self._expected, 0.0)
        # The timer is set again when it fires, so its lags do not add up.
        self._expected = now + INTERVAL_S
        gain = 1.0 - math.exp(-(INTERVAL_S + lag) / MEMORY_S)
        self._mean += gain * (lag - self._mean)
        self._metrics.observe("loop_lag", lag)
        overloaded = self._overloaded
        if self._mean > self._limit_s:
            overloaded = True
        elif self._mean < RELEASE_RATIO * self._limit_s:
            overloaded = False
        self._last = lag
        if overloaded != self._overloaded:
            self._overloaded = overloaded
            emit(
                Event.OVERLOAD_BEGAN if overloaded else Event.OVERLOAD_ENDED,
                lag_s=round(self._mean, 4),
            )
