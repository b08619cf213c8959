"""Output of `borageworks check` for a configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

import orjson

from borageworks.config.finding import Finding, Severity

# Order of the output.
SEVERITIES = (Severity.ERROR, Severity.WARNING, Severity.INFORMATION)


class CheckExitCode(IntEnum):
    """Exit codes of a check; information alone counts as nothing found."""

    NOTHING_FOUND = 0
    WARNINGS = 1
    ERRORS = 2


@dataclass(frozen=True, slots=True)
class FileFinding:
    """A finding with the name of the file that it refers to."""

    file: str
    finding: Finding


class CheckReport:
    """Findings of a check, most severe first.

    Parameters
    ----------
    file
        Name of the checked file.
    findings
        Findings in any order.
    """

    def __init__(self, file: str, findings: Sequence[FileFinding]) -> None:
        self._file = file
        self._findings = sorted(
            findings, key=lambda item: SEVERITIES.index(item.finding.severity)
        )
        self._counts = Counter(item.finding.severity for item in findings)

    @property
    def exit_code(self) -> CheckExitCode:
        """Exit code of the command."""
        if self._counts[Severity.ERROR]:
            return CheckExitCode.ERRORS
        if self._counts[Severity.WARNING]:
            return CheckExitCode.WARNINGS
        return CheckExitCode.NOTHING_FOUND

    def text(self) -> str:
        """Return one line for each finding, and a last line with their numbers."""
        lines = [
            f"{item.file}: {item.finding.place}: {item.finding.severity}: "
            f"{item.finding.message} [{item.finding.code}]"
            for item in self._findings
        ]
        numbers = ", ".join(f"{name} {self._counts[name]}" for name in SEVERITIES)
        return "\n".join((*lines, f"{self._file}: {numbers}"))

    def json(self) -> str:
        """Return the report as one JSON object."""
        document = {
            "file": self._file,
            "exit_code": int(self.exit_code),
            "counts": {name.value: self._counts[name] for name in SEVERITIES},
            "findings": [
                {
                    "file": item.file,
                    "code": item.finding.code,
                    "severity": item.finding.severity,
                    "place": item.finding.place,
                    "message": item.finding.message,
                    "old": item.finding.old,
                    "new": item.finding.new,
                }
                for item in self._findings
            ],
        }
        return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
