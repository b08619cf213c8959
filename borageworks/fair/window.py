"""Concurrency window of one endpoint."""

from __future__ import annotations

from borageworks.config.settings import WindowSettings
from borageworks.fair.load import LoadReport

# The window grows below this part of the token interval target and holds above it.
GROWTH_RATIO = 0.8
DECREASE_RATIO = 0.9
# The limit at most doubles or halves per adjustment, so one wrong report costs little.
LARGEST_STEP_RATIO = 2.0
STALE_DECAY_S = 60.0
STALE_FLOOR_RATIO = 0.5
# A plain service grows while its mean time is below the first ratio to the least mean
# seen and shrinks above the second.
LATENCY_GROWTH_RATIO = 1.5
LATENCY_DECREASE_RATIO = 2.0
# Means over fewer requests vary too much to compare.
LATENCY_SAMPLES = 8
# An additive step reaches window_max within a minute of reports.
STEPS_TO_MAX = 64


class Window:
    """Limit of concurrent requests of one endpoint.

    The limit grows while the window is full and the token interval is below 0.8 of its
    target, and shrinks while the interval is over the target or the endpoint itself
    holds requests back. A token interval grows at most in proportion to the number of
    running requests, so a report gives a number of requests that is known to be safe:
    the limit moves to it at once and additively beyond it. Running requests and
    interval are taken from the same report, which makes the rule insensitive to the lag
    of reports.

    Parameters
    ----------
    settings
        Targets and report interval.
    window_initial, window_max
        First and largest limit.
    """

    def __init__(
        self, settings: WindowSettings, window_initial: int, window_max: int
    ) -> None:
        if not 1 <= window_initial <= window_max:
            raise ValueError(
                f"window_initial {window_initial} is not between 1 and {window_max}"
            )
        self._settings = settings
        self._initial = window_initial
        self._max = window_max
        self._limit = window_initial
        self._in_use = 0
        self._peak = 0
        self._failed = False
        self._incarnation: str | None = None
        self._reported_at: float | None = None
        self._fresh_limit = window_initial
        self._adjusted_at: float | None = None
        self._has_tokens = False
        self._intervals: list[float] = []
        self._times: list[float] = []
        self._least_time: float | None = None
        self._shrunk = False

    @property
    def limit(self) -> int:
        """Concurrent requests allowed; 0 while the endpoint has failed."""
        return 0 if self._failed else self._limit

    @property
    def in_use(self) -> int:
        """Requests that hold a slot."""
        return self._in_use

    def configure(self, window_initial: int, window_max: int) -> None:
        """Apply a changed configuration."""
        if not 1 <= window_initial <= window_max:
            raise ValueError(
                f"window_initial {window_initial} is not between 1 and {window_max}"
            )
        self._initial = window_initial
        self._max = window_max
        self._limit = min(self._limit, window_max)
        self._fresh_limit = min(self._fresh_limit, window_max)

    def acquire(self, now: float) -> bool:
        """Take a slot; return False when none is free."""
        self._decay(now)
        if self._in_use >= self.limit:
            return False
        self.occupy(now)
        return True

    def occupy(self, now: float) -> None:
        """Count a request that already runs, even above the limit."""
        self._decay(now)
        self._in_use += 1
        self._peak = max(self._peak, self._in_use)

    def release(self, now: float) -> None:
        """Return a slot."""
        if self._in_use == 0:
            raise ValueError("release without a slot in use")
        self._decay(now)
        self._in_use -= 1

    def on_report(self, now: float, report: LoadReport) -> None:
        """Apply a load report."""
        self._decay(now)
        restarted = self._incarnation not in (None, report.incarnation)
        self._incarnation = report.incarnation
        self._reported_at = now
        self._fresh_limit = self._limit
        if restarted:
            self._restart(now)
        if self._failed or self._adjusted_within(now, 0.5):
            return
        if report.token_interval_s > 0:
            self._has_tokens = True
            self._follow_interval(report.token_interval_s, report)
        else:
            self._follow_latency(report)
        self._finish_adjustment(now)

    def on_latency(
        self, now: float, first_token_s: float, token_interval_s: float
    ) -> None:
        """Record the times of a request that ended; 0.0 where not measured.

        For a plain service `first_token_s` is the time of the whole request.
        """
        self._decay(now)
        if token_interval_s > 0:
            self._has_tokens = True
            self._intervals.append(token_interval_s)
        if first_token_s > 0:
            self._times.append(first_token_s)
        # Reports are more recent than the mean over a request's whole run.
        if self._failed or self._reported_at is not None:
            return
        if self._adjusted_within(now, 1.0):
            return
        self._follow_latency(None)
        self._finish_adjustment(now)

    def on_failure(self, now: float) -> None:
        """Close the window until the endpoint has recovered."""
        self._decay(now)
        self._failed = True

    def on_recovered(self, now: float) -> None:
        """Open the window again, at its initial limit."""
        if self._failed:
            self._failed = False
            self._restart(now)

    def _restart(self, now: float) -> None:
        self._limit = self._fresh_limit = self._initial
        self._least_time = None
        self._shrunk = False
        if self._reported_at is not None:
            self._reported_at = now
        self._finish_adjustment(now)
        self._intervals.clear()
        self._times.clear()

    def _adjusted_within(self, now: float, intervals: float) -> bool:
        if self._adjusted_at is None:
            return False
        return now - self._adjusted_at < intervals * self._settings.report_interval_s

    def _finish_adjustment(self, now: float) -> None:
        self._adjusted_at = now
        self._peak = self._in_use
        self._fresh_limit = self._limit

    def _follow_interval(self, interval: float, report: LoadReport | None) -> None:
        self._intervals.clear()
        self._times.clear()
        target = self._settings.token_interval_target_s
        running = report.running if report and report.running else self._limit
        waiting = report.waiting if report else 0
        if waiting:
            # What runs while others wait is what the endpoint can run at once.
            self._shrink(self._limit, running + waiting, min(running, self._limit))
        elif interval > target:
            self._shrink(int(running * target / interval), running)
        elif interval < GROWTH_RATIO * target:
            self._grow(int(running * GROWTH_RATIO * target / interval))

    def _follow_latency(self, report: LoadReport | None) -> None:
        if report and report.waiting:
            self._times.clear()
            floor = max(1, min(report.running, self._limit))
            self._shrink(self._limit, report.running + report.waiting, floor)
            return
        if self._has_tokens:
            if self._intervals:
                mean = sum(self._intervals) / len(self._intervals)
                self._follow_interval(mean, None)
            return
        if len(self._times) < min(LATENCY_SAMPLES, 2 * self._limit):
            return
        mean = sum(self._times) / len(self._times)
        self._times.clear()
        if self._least_time is None or mean < self._least_time:
            self._least_time = mean
        if mean > LATENCY_DECREASE_RATIO * self._least_time:
            if self._limit > self._initial:
                self._shrink(self._limit, self._in_use, self._initial)
            else:
                # At the configured limit the time is the service's own, not queueing.
                self._least_time = mean
        elif mean < LATENCY_GROWTH_RATIO * self._least_time:
            self._grow(self._limit if self._shrunk else self._limit + self._limit // 4)

    def _grow(self, safe: int) -> None:
        if self._peak < self._limit:
            return
        step = max(1, self._max // STEPS_TO_MAX)
        jump = min(safe, int(self._limit * LARGEST_STEP_RATIO))
        self._limit = min(self._max, max(self._limit + step, jump))

    def _shrink(self, safe: int, seen: int, floor: int = 1) -> None:
        self._shrunk = True
        # A late report can describe more requests than have held a slot since.
        used = min(self._limit, max(1, self._peak, seen))
        lowest = int(self._limit / LARGEST_STEP_RATIO)
        # Until an earlier decrease has taken effect, a report shows the former load.
        if max(seen, self._in_use) <= self._limit:
            safe = min(safe, int(used * DECREASE_RATIO))
        self._limit = max(floor, min(self._limit, max(lowest, safe)))

    def _decay(self, now: float) -> None:
        if self._reported_at is None or self._failed:
            return
        age = now - self._reported_at - self._settings.report_stale_s
        if age > 0:
            part = (1 - STALE_FLOOR_RATIO) * min(1.0, age / STALE_DECAY_S)
            self._limit = max(1, int(self._fresh_limit * (1 - part)))
