"""What a soak found."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from borageworks_emulator.soak.call import Call
from borageworks_emulator.soak.plan import PlannedFault
from borageworks_emulator.soak.promise import BrokenPromise
from borageworks_emulator.soak.settings import SoakSettings


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a soak found.

    Parameters
    ----------
    settings
        What was run.
    plan
        Faults that were injected.
    calls
        Requests of all callers.
    recovery_s
        Seconds from the last fault until all was served, None if it was not.
    broken
        Promises that were broken.
    """

    settings: SoakSettings
    plan: list[PlannedFault]
    calls: list[Call]
    recovery_s: float | None
    broken: list[BrokenPromise]

    @property
    def passed(self) -> bool:
        """Whether no promise was broken."""
        return not self.broken

    def lines(self) -> list[str]:
        """Return the report for operators."""
        endings = Counter(call.ending for call in self.calls)
        counts = ", ".join(
            f"{count} {ending.value if ending else 'open'}"
            for ending, count in endings.most_common()
        )
        recovery = "-" if self.recovery_s is None else f"{self.recovery_s:.1f} s"
        return [
            f"seed {self.settings.seed}: {len(self.plan)} faults in "
            f"{self.settings.duration_s:g} s, {len(self.calls)} requests ({counts}), "
            f"recovery {recovery}, {len(self.broken)} broken promises",
            *(broken.line() for broken in self.broken),
        ]

    def document(self) -> dict[str, Any]:
        """Return the report as JSON types, with the plan that led to it."""
        return {
            "seed": self.settings.seed,
            "duration_s": self.settings.duration_s,
            "gateways": self.settings.gateways,
            "recovery_s": self.recovery_s,
            "broken": [broken.line() for broken in self.broken],
            "plan": [f"{item.at_s:.2f} {item.fault}" for item in self.plan],
        }
