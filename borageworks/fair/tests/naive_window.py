"""Reference implementation of the window, from the history of events."""

from borageworks.fair.load import LoadReport


class NaiveWindow:
    """Recomputes slots, peaks and staleness from everything that happened.

    Covers endpoints with a token interval; window steps are those of design section 5.
    """

    def __init__(self, settings, initial, largest):
        self.settings, self.initial, self.largest = settings, initial, largest
        self.history = []

    def record(self, now, event):
        self.history.append((now, event))

    def in_use(self, until=None):
        events = [event for _, event in self.history[:until]]
        return (
            events.count("acquire") + events.count("occupy") - events.count("release")
        )

    def limit(self, now):
        """Replay the history up to `now`."""
        limit, failed, adjusted, adjusted_index = self.initial, False, None, 0
        reported, incarnation, interval = None, None, self.settings.report_interval_s
        for index, (at, event) in enumerate(self.history):
            restarted = False
            if event == "failure":
                limit = self.stale(limit, reported, at)
                failed = True
            if event == "recovered" and failed:
                failed, restarted = False, True
                reported = at if reported is not None else None
            if isinstance(event, LoadReport):
                if not failed:
                    limit = self.stale(limit, reported, at)
                reported = at
                restarted = incarnation not in (None, event.incarnation)
                incarnation = event.incarnation
            if restarted:
                limit, adjusted, adjusted_index = self.initial, at, index
            if not isinstance(event, LoadReport) or failed:
                continue
            if adjusted is not None and at - adjusted < interval / 2:
                continue
            peak = max(self.in_use(end) for end in range(adjusted_index, index + 1))
            limit = self.adjusted(limit, peak, self.in_use(index), event)
            adjusted, adjusted_index = at, index
        return 0 if failed else self.stale(limit, reported, now)

    def stale(self, limit, reported, now):
        silent = 0.0 if reported is None else now - reported
        decay = min(max(silent - self.settings.report_stale_s, 0.0) / 60, 1.0)
        return max(1, int(limit * (1 - 0.5 * decay)))

    def adjusted(self, limit, peak, in_use, report):
        target = self.settings.token_interval_target_s
        interval = report.token_interval_s
        running = report.running or limit
        if report.waiting or interval > target:
            safe = limit if report.waiting else int(running * target / interval)
            seen = running + report.waiting
            used = min(limit, max(1, peak, seen))
            if seen <= limit and in_use <= limit:
                safe = min(safe, int(used * 0.9))
            floor = min(running, limit) if report.waiting else 1
            return max(floor, min(limit, max(safe, limit // 2)))
        if interval < 0.8 * target and peak >= limit:
            safe = int(running * 0.8 * target / interval)
            step = max(1, self.largest // 64)
            return min(self.largest, max(limit + step, min(safe, 2 * limit)))
        return limit
