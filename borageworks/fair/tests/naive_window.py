"""Reference implementation of the window that replays the event history."""

from borageworks.fair.load_report import LoadReport


class NaiveWindow:
    """Recomputes slots, peaks and staleness from all events on each call.

    Covers endpoints with a token interval; for the adjustments see docs/design.md,
    section 5.
    """

    def __init__(self, settings, window_initial, window_max):
        self.settings, self.window_initial, self.window_max = (
            settings,
            window_initial,
            window_max,
        )
        self.history = []

    def record(self, now, event):
        self.history.append((now, event))

    def in_use(self, until=None):
        events = [event for _, event in self.history[:until]]
        return (
            events.count("acquire") + events.count("occupy") - events.count("release")
        )

    def limit(self, now):
        """Return the limit at `now` by replaying the history."""
        limit, failed, adjusted_at, adjusted_index = self.window_initial, False, None, 0
        reported_at, incarnation, interval_s = (
            None,
            None,
            self.settings.report_interval_s,
        )
        for index, (at, event) in enumerate(self.history):
            restarted = False
            if event == "failure":
                limit = self.decayed_limit(limit, reported_at, at)
                failed = True
            if event == "recovered" and failed:
                failed, restarted = False, True
                reported_at = at if reported_at is not None else None
            if isinstance(event, LoadReport):
                if not failed:
                    limit = self.decayed_limit(limit, reported_at, at)
                reported_at = at
                restarted = incarnation not in (None, event.incarnation)
                incarnation = event.incarnation
            if restarted:
                limit, adjusted_at, adjusted_index = self.window_initial, at, index
            if not isinstance(event, LoadReport) or failed:
                continue
            if adjusted_at is not None and at - adjusted_at < interval_s / 2:
                continue
            peak = max(self.in_use(end) for end in range(adjusted_index, index + 1))
            limit = self.adjusted_limit(limit, peak, self.in_use(index), event)
            adjusted_at, adjusted_index = at, index
        return 0 if failed else self.decayed_limit(limit, reported_at, now)

    def decayed_limit(self, limit, reported_at, now):
        age_s = 0.0 if reported_at is None else now - reported_at
        decay_ratio = min(max(age_s - self.settings.report_stale_s, 0.0) / 60, 1.0)
        return max(1, int(limit * (1 - 0.5 * decay_ratio)))

    def adjusted_limit(self, limit, peak, in_use, report):
        target_s = self.settings.token_interval_target_s
        interval_s = report.token_interval_s
        running = report.running or limit
        if report.waiting or interval_s > target_s:
            safe_limit = (
                limit if report.waiting else int(running * target_s / interval_s)
            )
            observed = running + report.waiting
            used = min(limit, max(1, peak, observed))
            if observed <= limit and in_use <= limit:
                safe_limit = min(safe_limit, int(used * 0.9))
            min_limit = min(running, limit) if report.waiting else 1
            return max(min_limit, min(limit, max(safe_limit, limit // 2)))
        if interval_s < 0.8 * target_s and peak >= limit:
            safe_limit = int(running * 0.8 * target_s / interval_s)
            step = max(1, self.window_max // 64)
            return min(self.window_max, max(limit + step, min(safe_limit, 2 * limit)))
        return limit
