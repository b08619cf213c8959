"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
MICROSECONDS_PER_SECOND = 1_000_000


class Metrics:
    """Counters by name and label, and histograms by name.

    Histograms hold microseconds with two significant digits.
    """

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[tuple[str, str], float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    @property
    def counters(self) -> Mapping[tuple[str, str], int]:
        """Counter values by (name, label)."""
        return self._counters

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self._counters[name, label] += amount

    def value(self, name: str, label: str = "") -> int:
        """Return a counter's value, 0 if it never counted."""
        return self._counters[name, label]

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._gauges[name, label] = value

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms[name] = histogram
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        histogram.record_value(
            min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )

    def quantile(self, name: str, percent: float) -> float:
        """Return a histogram's quantile in seconds, 0.0 if nothing was recorded."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        value = histogram.get_value_at_percentile(percent)
        return float(value) / MICROSECONDS_PER_SECOND

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        self._render_values(lines, "counter", self._counters, "_total")
        self._render_values(lines, "gauge", self._gauges, "")
        for name, histogram in sorted(self._histograms.items()):
            lines.append(f"# TYPE borageworks_{name}_seconds summary")
            lines.extend(
                f'borageworks_{name}_seconds{{quantile="{percent / 100:g}"}} '
                f"{self.quantile(name, percent):.6f}"
                for percent in QUANTILES
            )
            count = histogram.get_total_count()
            lines.append(f"borageworks_{name}_seconds_count {count}")
        return "\n".join(lines) + "\n"

    def _render_values(
        self,
        lines: list[str],
        kind: str,
        values: Mapping[tuple[str, str], float],
        suffix: str,
    ) -> None:
        previous = None
        for (name, label), value in sorted(values.items()):
            if name != previous:
                lines.append(f"# TYPE borageworks_{name}{suffix} {kind}")
                previous = name
            labels = f'{{reason="{label}"}}' if label else ""
            lines.append(f"borageworks_{name}{suffix}{labels} {value!r}")
