"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
US_PER_SECOND = 1_000_000


# Label name of each metric; the default is "reason".
LABEL_NAMES = {
    "engine_report_age_s": "endpoint",
    "first_event": "route",
    "placement_wait": "route",
    "request": "route",
    "share_missed": "organisation",
}


class Metrics:
    """Counters, gauges and histograms by name and label.

    Histograms hold microseconds with two significant digits.
    """

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[tuple[str, str], float] = {}
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._before_render: list[Callable[[], None]] = []

    @property
    def counters(self) -> Mapping[tuple[str, str], int]:
        """Counter values by (name, label)."""
        return self._counters

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self._counters[name, label] += amount

    def value(self, name: str, label: str = "") -> int:
        """Return a counter's value, 0 if it was never incremented."""
        return self._counters[name, label]

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._gauges[name, label] = value

    def before_render(self, update: Callable[[], None]) -> None:
        """Call `update` before each rendering, to set gauges that vary with time."""
        self._before_render.append(update)

    def clear_gauge(self, name: str) -> None:
        """Remove all values of a gauge, so that only current labels are set again."""
        for key in [key for key in self._gauges if key[0] == name]:
            del self._gauges[key]

    def observe(self, name: str, seconds: float, label: str = "") -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self._histograms[name, label] = histogram
        duration_us = int(seconds * US_PER_SECOND)
        histogram.record_value(min(max(duration_us, MIN_DURATION_US), MAX_DURATION_US))

    def quantile(self, name: str, percent: float, label: str = "") -> float:
        """Return a histogram's percentile in seconds, 0.0 if nothing was recorded."""
        histogram = self._histograms.get((name, label))
        if histogram is None:
            return 0.0
        value = histogram.get_value_at_percentile(percent)
        return float(value) / US_PER_SECOND

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        for update in self._before_render:
            update()
        lines: list[str] = []
        self._render_values(lines, "counter", self._counters, "_total")
        self._render_values(lines, "gauge", self._gauges, "")
        previous_name = None
        for (name, label), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            if name != previous_name:
                lines.append(f"# TYPE borageworks_{name}_seconds summary")
                previous_name = name
            for percent in PERCENTILES:
                quantile = {"quantile": f"{percent / 100:g}"}
                labels = _format_labels({**_label_pair(name, label), **quantile})
                value = self.quantile(name, percent, label)
                lines.append(f"borageworks_{name}_seconds{labels} {value:.6f}")
            labels = _format_labels(_label_pair(name, label))
            count = histogram.get_total_count()
            lines.append(f"borageworks_{name}_seconds_count{labels} {count}")
        return "\n".join(lines) + "\n"

    def _render_values(
        self,
        lines: list[str],
        kind: str,
        values: Mapping[tuple[str, str], float],
        suffix: str,
    ) -> None:
        previous_name = None
        for (name, label), value in sorted(values.items()):
            if name != previous_name:
                lines.append(f"# TYPE borageworks_{name}{suffix} {kind}")
                previous_name = name
            labels = _format_labels(_label_pair(name, label))
            lines.append(f"borageworks_{name}{suffix}{labels} {value!r}")


def _label_pair(name: str, label: str) -> dict[str, str]:
    return {LABEL_NAMES.get(name, "reason"): label} if label else {}


def _format_labels(labels: Mapping[str, str]) -> str:
    pairs = ",".join(f'{name}="{value}"' for name, value in labels.items())
    return f"{{{pairs}}}" if pairs else ""
