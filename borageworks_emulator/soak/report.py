"""Results of a soak."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.fault_planner import PlannedFault
from borageworks_emulator.soak.guarantee import Violation
from borageworks_emulator.soak.settings import SoakSettings


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Results of a soak.

    Parameters
    ----------
    settings
        Settings of the soak.
    plan
        Faults that were injected.
    calls
        Requests of all callers.
    recovery_s
        Seconds from the last fault until all routes were served, None if they were not.
    violations
        Violations of guarantees.
    """

    settings: SoakSettings
    plan: list[PlannedFault]
    calls: list[Call]
    recovery_s: float | None
    violations: list[Violation]

    @property
    def passed(self) -> bool:
        """Whether all guarantees were met."""
        return not self.violations

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        endings = Counter(call.ending for call in self.calls)
        counts = ", ".join(
            f"{count} {ending.value if ending else 'open'}"
            for ending, count in endings.most_common()
        )
        resumed = [call for call in self.calls if call.origin]
        went_on = sum(call.ending is Ending.ANSWERED for call in resumed)
        recovery = "-" if self.recovery_s is None else f"{self.recovery_s:.1f} s"
        return [
            f"seed {self.settings.seed}: {len(self.plan)} faults in "
            f"{self.settings.duration_s:g} s, {len(self.calls)} requests ({counts}), "
            f"{len(resumed)} streams resumed ({went_on} answered), "
            f"recovery {recovery}, {len(self.violations)} broken promises",
            *(violation.line() for violation in self.violations),
        ]

    def document(self) -> dict[str, Any]:
        """Return the report as JSON types, including the plan."""
        return {
            "seed": self.settings.seed,
            "duration_s": self.settings.duration_s,
            "gateways": self.settings.gateways,
            "recovery_s": self.recovery_s,
            "broken": [violation.line() for violation in self.violations],
            "plan": [f"{item.at_s:.2f} {item.fault}" for item in self.plan],
        }
