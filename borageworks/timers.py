"""Timer service for the components of one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

TimerCallback = Callable[[float], None]


class TimerSubscription:
    """A pending timer; `cancel` stops it.

    Parameters
    ----------
    loop
        Loop that runs the callback.
    callback
        Called with the monotonic time in seconds.
    interval
        Seconds between calls, or None for a single call.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        callback: TimerCallback,
        interval: float | None,
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._interval = interval
        self._handle: asyncio.TimerHandle | None = None
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the timer will not fire again."""
        return self._cancelled

    def start(self, delay: float) -> None:
        """Schedule the first call in `delay` seconds."""
        self._handle = self._loop.call_later(delay, self._fire)

    def cancel(self) -> None:
        """Stop the timer; calling it again has no effect."""
        self._cancelled = True
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        if self._interval is None:
            self._cancelled = True
        else:
            # Rescheduled first, so that the timer continues if the callback raises.
            self.start(self._interval)
        self._callback(self._loop.time())


class Timers:
    """Timers of one process, on the loop that is running at construction."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()

    def every(self, interval: float, callback: TimerCallback) -> TimerSubscription:
        """Call `callback(now)` every `interval` seconds until cancelled."""
        subscription = TimerSubscription(self._loop, callback, interval)
        subscription.start(interval)
        return subscription

    def after(self, delay: float, callback: TimerCallback) -> TimerSubscription:
        """Call `callback(now)` once in `delay` seconds unless cancelled."""
        subscription = TimerSubscription(self._loop, callback, None)
        subscription.start(delay)
        return subscription
