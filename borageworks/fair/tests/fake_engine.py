"""Simulated model engine for the tests of the concurrency window."""

from borageworks.fair.load_report import LoadReport


class FakeEngine:
    """Continuous batching; the token interval grows linearly with running requests.

    Reports describe the state one step earlier, like the delayed reports of a real
    engine.
    """

    def __init__(self, base_s=0.02, per_request_s=0.0005):
        self.base_s = base_s
        self.per_request_s = per_request_s
        self.slowdown = 1.0
        self.remaining = []
        self.generated = 0.0
        self._last = LoadReport(0, 0, 0.0, "1")

    def interval(self):
        """Return the current token interval in seconds."""
        running = len(self.remaining)
        return self.slowdown * (self.base_s + self.per_request_s * running)

    def advance(self, seconds):
        """Generate tokens for some seconds; return the number of completed requests."""
        tokens = seconds / self.interval()
        before = len(self.remaining)
        self.generated += sum(min(tokens, left) for left in self.remaining)
        self.remaining = [left - tokens for left in self.remaining if left > tokens]
        return before - len(self.remaining)

    def report(self):
        """Return the report of the previous step and store the current one."""
        report = self._last
        interval = self.interval() if self.remaining else 0.0
        self._last = LoadReport(len(self.remaining), 0, interval, "1")
        return report
