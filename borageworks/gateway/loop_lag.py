"""Measures event loop lag and detects overload of the process."""

from __future__ import annotations

import math

from borageworks.events import Event, emit
from borageworks.gateway.settings import GatewaySettings
from borageworks.metrics import Metrics
from borageworks.timers import Timers, TimerSubscription

MEASURE_INTERVAL_S = 0.05
# The mean is weighted by time, not by count: an overloaded loop takes few measurements.
TIME_CONSTANT_S = 0.2
# Hysteresis: overload ends when the mean lag falls below this fraction of its limit.
RECOVERY_RATIO = 0.5


class LoopLag:
    """Exponential moving average of the delay of a periodic timer.

    Parameters
    ----------
    settings
        Provides the lag above which the process counts as overloaded.
    metrics
        Records the duration `loop_lag`.
    """

    def __init__(self, settings: GatewaySettings, metrics: Metrics) -> None:
        self._limit_s = settings.lag_limit_s
        self._metrics = metrics
        self._subscription: TimerSubscription | None = None
        self._expected_at = 0.0
        self._mean_s = 0.0
        self._overloaded = False
        self._last_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean lag in seconds."""
        return self._mean_s

    @property
    def overloaded(self) -> bool:
        """Whether the mean lag is above its limit, with hysteresis."""
        return self._overloaded

    @property
    def lagging(self) -> bool:
        """Whether the mean lag and the latest measurement are both too high."""
        return (
            self._mean_s > self._limit_s
            and self._last_s > RECOVERY_RATIO * self._limit_s
        )

    def start(self, timers: Timers) -> None:
        """Start measuring."""
        self._expected_at = timers.now() + MEASURE_INTERVAL_S
        self._subscription = timers.every(MEASURE_INTERVAL_S, self.measure)

    def stop(self) -> None:
        """Stop measuring."""
        if self._subscription is not None:
            self._subscription.cancel()

    def measure(self, now: float) -> None:
        """Record that the timer fired at `now`."""
        lag_s = max(now - self._expected_at, 0.0)
        # The timer is rescheduled when it fires, so delays do not accumulate.
        self._expected_at = now + MEASURE_INTERVAL_S
        gain = 1.0 - math.exp(-(MEASURE_INTERVAL_S + lag_s) / TIME_CONSTANT_S)
        self._mean_s += gain * (lag_s - self._mean_s)
        self._metrics.observe("loop_lag", lag_s)
        overloaded = self._overloaded
        if self._mean_s > self._limit_s:
            overloaded = True
        elif self._mean_s < RECOVERY_RATIO * self._limit_s:
            overloaded = False
        self._last_s = lag_s
        if overloaded != self._overloaded:
            self._overloaded = overloaded
            emit(
                Event.OVERLOAD_BEGAN if overloaded else Event.OVERLOAD_ENDED,
                lag_s=round(self._mean_s, 4),
            )
