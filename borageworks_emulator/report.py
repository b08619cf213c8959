"""Result of one scenario, as JSON and as a table."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from borageworks_emulator.analysis import Measures


@dataclass(frozen=True, slots=True)
class Check:
    """Measured value of one target, its limit, and whether the target was met."""

    name: str
    measured: float
    limit: float
    passed: bool

    def line(self) -> str:
        """Return the check as a line of text."""
        status = "met" if self.passed else "MISSED"
        return f"{status:6}  {self.name}: {self.measured:.4g} (limit {self.limit:.4g})"


@dataclass(slots=True)
class Result:
    """Measurements of one run of a scenario.

    Attributes
    ----------
    control_bytes_per_second, cpu_percent, idle_cpu_percent
        Maximum over the routers that did not restart; None if no router reported it.
    failures
        Errors of the run itself, such as a router that did not restart.
    emulator_lag_ms
        99th percentile of the emulator's own event loop lag. A large value means that
        the emulator, not the fleet, was the bottleneck.
    """

    scenario: str
    topology: str
    seed: int
    routers: int
    duration_s: float
    measures: Measures = field(default_factory=Measures)
    central: Measures | None = None
    control_bytes_per_second: float | None = None
    cpu_percent: float | None = None
    idle_cpu_percent: float | None = None
    memory_mb: float = 0.0
    store_calls_per_second: float = 0.0
    store_calls: dict[str, int] = field(default_factory=dict)
    emulator_lag_ms: dict[str, float] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    notes: dict[str, float] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    checks: list[Check] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether every target was met."""
        return all(check.passed for check in self.checks)

    def document(self) -> dict[str, Any]:
        """Return the result as a JSON-serialisable dictionary."""
        return {
            "scenario": self.scenario,
            "topology": self.topology,
            "seed": self.seed,
            "routers": self.routers,
            "duration_s": self.duration_s,
            **_measures_document(self.measures),
            "control_bytes_per_second": self.control_bytes_per_second,
            "cpu_percent": self.cpu_percent,
            "idle_cpu_percent": self.idle_cpu_percent,
            "memory_mb": self.memory_mb,
            "store_calls_per_second": self.store_calls_per_second,
            "store_calls": self.store_calls,
            "emulator_lag_ms": self.emulator_lag_ms,
            "faults": self.faults,
            "notes": self.notes,
            "failures": self.failures,
            "central": _measures_document(self.central) if self.central else None,
            "checks": [
                {
                    "name": check.name,
                    "measured": check.measured,
                    "limit": check.limit,
                    "passed": check.passed,
                }
                for check in self.checks
            ],
            "passed": self.passed,
        }

    def json(self) -> bytes:
        """Return the result as indented JSON."""
        return orjson.dumps(self.document(), option=orjson.OPT_INDENT_2)

    def table(self, shares: dict[str, float]) -> str:
        """Return the result as a plain-text table."""
        lines = [
            f"{self.scenario} on {self.topology}: seed {self.seed}, "
            f"{self.routers} routers, {self.duration_s:g} s",
            "",
            f"{'measure':28}{'fleet':>12}{'central':>12}",
        ]
        fleet, central = (
            _measures_document(self.measures),
            _measures_document(self.central or Measures()),
        )
        for name in COUNT_FIELDS:
            lines.append(f"{name:28}{fleet[name]:>12}{central[name]:>12}")
        for name in ("fairness_gap", "utilisation"):
            for pool, value in fleet[name].items():
                central_value = central[name].get(pool, 0.0)
                label = f"{name} {pool}"
                lines.append(f"{label:28}{value:>12.4g}{central_value:>12.4g}")
        lines.append(f"{'store calls/s':28}{self.store_calls_per_second:>12.4g}")
        for label, rate in (
            ("control bytes/s (largest)", self.control_bytes_per_second),
            ("CPU % (largest)", self.cpu_percent),
            ("idle CPU % (largest)", self.idle_cpu_percent),
        ):
            text = "unknown" if rate is None else f"{rate:.4g}"
            lines.append(f"{label:28}{text:>12}")
        lags_ms = [self.emulator_lag_ms.get(side, 0.0) for side in ("fleet", "central")]
        lines.append(
            f"{'emulator loop lag p99, ms':28}{lags_ms[0]:>12.4g}{lags_ms[1]:>12.4g}"
        )
        lines.append("")
        lines.extend(organisation_lines(self.measures, self.central, shares))
        lines.extend(["", *_format_counts("refusals", self.measures.refusals)])
        lines.extend(_format_counts("faults", self.faults))
        lines.extend(f"failure: {text}" for text in self.failures)
        lines.extend(["", *(check.line() for check in self.checks)])
        return "\n".join(lines)


COUNT_FIELDS = (
    "answers",
    "incomplete",
    "wrong",
    "lost",
    "excused",
    "doubled",
    "false_not_run",
    "cut",
)


def organisation_lines(
    measures: Measures, central: Measures | None, shares: dict[str, float]
) -> list[str]:
    """Return a header and one line per organisation with share, service and wait."""
    pools = sorted(measures.service)
    header = f"{'organisation':14}{'share':>7}"
    header += "".join(f"{pool + ' units':>16}" for pool in pools)
    header += f"{'wait ms':>10}{'p95':>8}"
    lines = [header + (f"{'central':>10}" if central else "")]
    for name, share in shares.items():
        line = f"{name:14}{share:>7g}"
        for pool in pools:
            line += f"{measures.service[pool].get(name, 0.0):>16.1f}"
        line += f"{_format_ms(measures.wait.get(name)):>10}"
        line += f"{_format_ms(measures.wait_p95.get(name)):>8}"
        if central:
            line += f"{_format_ms(central.wait.get(name)):>10}"
        lines.append(line)
    return lines


def _format_ms(seconds: float | None) -> str:
    return "-" if seconds is None else f"{1000 * seconds:.0f}"


def _format_counts(title: str, counts: dict[str, int]) -> list[str]:
    return [f"{title}: " + (", ".join(f"{k} {v}" for k, v in counts.items()) or "none")]


def _measures_document(measures: Measures) -> dict[str, Any]:
    document: dict[str, Any] = {name: getattr(measures, name) for name in COUNT_FIELDS}
    return document | {
        "fairness_gap": measures.fairness_gap,
        "fairness_gap_between": {
            pool: [gap.first, gap.second, gap.seconds]
            for pool, gap in measures.gap_detail.items()
        },
        "utilisation": measures.utilisation,
        "largest_units": measures.largest_units,
        "wait": measures.wait,
        "wait_p95": measures.wait_p95,
        "service": measures.service,
        "refusals": measures.refusals,
    }
