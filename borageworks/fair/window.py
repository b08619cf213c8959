"""Concurrency window of one endpoint."""

from __future__ import annotations

from borageworks.config.settings import WindowSettings
from borageworks.fair.load_report import LoadReport

# The window increases only below this fraction of the target token interval.
INCREASE_THRESHOLD_RATIO = 0.8
DECREASE_RATIO = 0.9
# One adjustment at most doubles or halves the limit, so a wrong report costs little.
MAX_STEP_RATIO = 2.0
STALE_DECAY_S = 60.0
# Without reports the limit decays linearly to this ratio within STALE_DECAY_S.
MIN_STALE_RATIO = 0.5
# The limit of a plain service increases while its mean time is below the first multiple
# of the minimum mean observed, and decreases above the second.
LATENCY_INCREASE_RATIO = 1.5
LATENCY_DECREASE_RATIO = 2.0
# Means over fewer requests vary too much to be compared.
MIN_LATENCY_SAMPLES = 8
# Additive steps reach window_max after about a minute of reports.
STEPS_TO_MAX = 64


class ConcurrencyWindow:
    """Adaptive limit of concurrent requests of one endpoint.

    The limit increases while the window is full and the token interval is below 0.8 of
    its target, and decreases while the interval is above the target or the endpoint
    queues requests itself. A token interval grows at most in proportion to the number
    of running requests, so each report yields a number of requests known to be safe:
    the limit moves to it at once and additively beyond it. The number of running
    requests and the interval come from the same report, which makes the rule
    insensitive to report delay.

    Parameters
    ----------
    settings
        Target token interval and report timing.
    window_initial
        Initial limit.
    window_max
        Maximum limit.
    """

    def __init__(
        self, settings: WindowSettings, window_initial: int, window_max: int
    ) -> None:
        if not 1 <= window_initial <= window_max:
            raise ValueError(
                f"window_initial {window_initial} is not between 1 and "
                f"window_max {window_max}"
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
        self._undecayed_limit = window_initial
        self._adjusted_at: float | None = None
        self._has_tokens = False
        self._token_intervals_s: list[float] = []
        self._request_times_s: list[float] = []
        self._min_mean_time_s: float | None = None
        self._decreased = False

    @property
    def limit(self) -> int:
        """Concurrent requests allowed; 0 while the endpoint has failed."""
        return 0 if self._failed else self._limit

    @property
    def in_use(self) -> int:
        """Number of occupied slots."""
        return self._in_use

    def configure(self, window_initial: int, window_max: int) -> None:
        """Apply changed bounds of the limit."""
        if not 1 <= window_initial <= window_max:
            raise ValueError(
                f"window_initial {window_initial} is not between 1 and "
                f"window_max {window_max}"
            )
        self._initial = window_initial
        self._max = window_max
        self._limit = min(self._limit, window_max)
        self._undecayed_limit = min(self._undecayed_limit, window_max)

    def acquire(self, now: float) -> bool:
        """Occupy a slot; return False if none is free."""
        self._decay(now)
        if self._in_use >= self.limit:
            return False
        self.force_acquire(now)
        return True

    def force_acquire(self, now: float) -> None:
        """Occupy a slot for a request already running, even above the limit."""
        self._decay(now)
        self._in_use += 1
        self._peak = max(self._peak, self._in_use)

    def release(self, now: float) -> None:
        """Free a slot."""
        if self._in_use == 0:
            raise ValueError("release() called with no slot in use")
        self._decay(now)
        self._in_use -= 1

    def on_report(self, now: float, report: LoadReport) -> None:
        """Apply a load report."""
        self._decay(now)
        restarted = self._incarnation not in (None, report.incarnation)
        self._incarnation = report.incarnation
        self._reported_at = now
        self._undecayed_limit = self._limit
        if restarted:
            self._reset(now)
        if self._failed or self._adjusted_within(now, 0.5):
            return
        if report.token_interval_s > 0:
            self._has_tokens = True
            self._adjust_to_token_interval(report.token_interval_s, report)
        else:
            self._adjust_to_latency(report)
        self._finish_adjustment(now)

    def on_latency(
        self, now: float, first_token_s: float, token_interval_s: float
    ) -> None:
        """Record the times of a completed request; 0.0 where not measured.

        For a plain service `first_token_s` is the duration of the whole request.
        """
        self._decay(now)
        if token_interval_s > 0:
            self._has_tokens = True
            self._token_intervals_s.append(token_interval_s)
        if first_token_s > 0:
            self._request_times_s.append(first_token_s)
        # Reports are more recent than a mean over a request's whole duration.
        if self._failed or self._reported_at is not None:
            return
        if self._adjusted_within(now, 1.0):
            return
        self._adjust_to_latency(None)
        self._finish_adjustment(now)

    def on_failure(self, now: float) -> None:
        """Set the limit to 0 until the endpoint has recovered."""
        self._decay(now)
        self._failed = True

    def on_recovered(self, now: float) -> None:
        """Restore the initial limit after a failure."""
        if self._failed:
            self._failed = False
            self._reset(now)

    def _reset(self, now: float) -> None:
        self._limit = self._undecayed_limit = self._initial
        self._min_mean_time_s = None
        self._decreased = False
        if self._reported_at is not None:
            self._reported_at = now
        self._finish_adjustment(now)
        self._token_intervals_s.clear()
        self._request_times_s.clear()

    def _adjusted_within(self, now: float, intervals: float) -> bool:
        if self._adjusted_at is None:
            return False
        return now - self._adjusted_at < intervals * self._settings.report_interval_s

    def _finish_adjustment(self, now: float) -> None:
        self._adjusted_at = now
        self._peak = self._in_use
        self._undecayed_limit = self._limit

    def _adjust_to_token_interval(
        self, token_interval_s: float, report: LoadReport | None
    ) -> None:
        self._token_intervals_s.clear()
        self._request_times_s.clear()
        target_s = self._settings.token_interval_target_s
        running = report.running if report and report.running else self._limit
        waiting = report.waiting if report else 0
        if waiting:
            # Requests running while others wait show how many the endpoint can run.
            self._decrease(self._limit, running + waiting, min(running, self._limit))
        elif token_interval_s > target_s:
            self._decrease(int(running * target_s / token_interval_s), running)
        elif token_interval_s < INCREASE_THRESHOLD_RATIO * target_s:
            self._increase(
                int(running * INCREASE_THRESHOLD_RATIO * target_s / token_interval_s)
            )

    def _adjust_to_latency(self, report: LoadReport | None) -> None:
        if report and report.waiting:
            self._request_times_s.clear()
            min_limit = max(1, min(report.running, self._limit))
            self._decrease(self._limit, report.running + report.waiting, min_limit)
            return
        if self._has_tokens:
            if self._token_intervals_s:
                mean_s = sum(self._token_intervals_s) / len(self._token_intervals_s)
                self._adjust_to_token_interval(mean_s, None)
            return
        if len(self._request_times_s) < min(MIN_LATENCY_SAMPLES, 2 * self._limit):
            return
        mean_s = sum(self._request_times_s) / len(self._request_times_s)
        self._request_times_s.clear()
        if self._min_mean_time_s is None or mean_s < self._min_mean_time_s:
            self._min_mean_time_s = mean_s
        if mean_s > LATENCY_DECREASE_RATIO * self._min_mean_time_s:
            if self._limit > self._initial:
                self._decrease(self._limit, self._in_use, self._initial)
            else:
                # At the initial limit the time is the service's own, not queueing.
                self._min_mean_time_s = mean_s
        elif mean_s < LATENCY_INCREASE_RATIO * self._min_mean_time_s:
            self._increase(
                self._limit if self._decreased else self._limit + self._limit // 4
            )

    def _increase(self, safe_limit: int) -> None:
        if self._peak < self._limit:
            return
        step = max(1, self._max // STEPS_TO_MAX)
        safe_step_limit = min(safe_limit, int(self._limit * MAX_STEP_RATIO))
        self._limit = min(self._max, max(self._limit + step, safe_step_limit))

    def _decrease(self, safe_limit: int, observed: int, min_limit: int = 1) -> None:
        self._decreased = True
        # A delayed report can cover more requests than have occupied a slot since.
        used = min(self._limit, max(1, self._peak, observed))
        min_step_limit = int(self._limit / MAX_STEP_RATIO)
        # Until an earlier decrease takes effect, a report shows the previous load.
        if max(observed, self._in_use) <= self._limit:
            safe_limit = min(safe_limit, int(used * DECREASE_RATIO))
        self._limit = max(min_limit, min(self._limit, max(min_step_limit, safe_limit)))

    def _decay(self, now: float) -> None:
        if self._reported_at is None or self._failed:
            return
        stale_s = now - self._reported_at - self._settings.report_stale_s
        if stale_s > 0:
            reduction = (1 - MIN_STALE_RATIO) * min(1.0, stale_s / STALE_DECAY_S)
            self._limit = max(1, int(self._undecayed_limit * (1 - reduction)))
