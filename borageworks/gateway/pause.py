"""Detects that the process has not run for a while."""

from __future__ import annotations

import time
from collections.abc import Callable

from borageworks.events import Event, emit
from borageworks.timers import Timers, TimerSubscription

CHECK_INTERVAL_S = 0.25
# Longer than delays of a busy loop, shorter than any guaranteed bound of a deployment.
MIN_PAUSE_S = 1.0


def boot_time() -> float:
    """Return the seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects that the process was stopped, or its machine suspended.

    What the process was allowed to do may have ended meanwhile, and its timers do not
    tell: the monotonic clock does not count the time of a suspended machine.

    Parameters
    ----------
    on_pause
        Called when a pause has ended.
    clock
        Returns a time in seconds that counts pauses.
    """

    def __init__(
        self, on_pause: Callable[[], None], clock: Callable[[], float] = boot_time
    ) -> None:
        self._on_pause = on_pause
        self._clock = clock
        self._checked_at = clock()
        self._subscription: TimerSubscription | None = None

    def start(self, timers: Timers) -> None:
        """Start checking."""
        self._checked_at = self._clock()
        self._subscription = timers.every(CHECK_INTERVAL_S, lambda _now: self.check())

    def stop(self) -> None:
        """Stop checking."""
        if self._subscription is not None:
            self._subscription.cancel()

    def check(self) -> None:
        """Report a pause since the last check.

        Called also before a request is accepted, which may be the first thing that the
        process does after a pause.
        """
        now = self._clock()
        elapsed_s, self._checked_at = now - self._checked_at, now
        if elapsed_s > CHECK_INTERVAL_S + MIN_PAUSE_S:
            emit(Event.INSTANCE_PAUSED, seconds=round(elapsed_s, 3))
            self._on_pause()
