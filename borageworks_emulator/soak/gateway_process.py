"""One gateway process of a soak."""

from __future__ import annotations

import os
from pathlib import Path

from borageworks_emulator.platform.harness import settings_text
from borageworks_emulator.ports import HOST, free_ports
from borageworks_emulator.process import Program
from borageworks_emulator.soak.stepped_clock import STEP_VARIABLE


class GatewayProcess(Program):
    """Starts the platform's program and controls the process by its id.

    Parameters
    ----------
    name, domain
        Instance and its failure domain.
    directory
        Where its settings file and output go.
    """

    def __init__(self, name: str, domain: str, directory: Path) -> None:
        self.name = name
        self.domain = domain
        self.ports = free_ports(4)
        self.settings_file = directory / f"{name}.conf"
        super().__init__(
            ["-m", "borageworks_emulator.soak.stepped_clock"],
            directory / f"{name}.out",
            {"BORAGEWORKS_CONFIG": str(self.settings_file)},
        )

    @property
    def url(self) -> str:
        """Base address for callers."""
        return f"http://{HOST}:{self.ports[0]}"

    @property
    def status_url(self) -> str:
        """Base address for readiness and metrics."""
        return f"http://{HOST}:{self.ports[1]}"

    def write_settings(self, store: tuple[str, int]) -> None:
        """Write the settings file."""
        text = settings_text(store, self.ports, self.name, domain=self.domain)
        written = self.settings_file.with_suffix(".new")
        written.write_text(text)
        os.replace(written, self.settings_file)

    def step_clock(self, step_s: float) -> None:
        """Let the clock of the next start differ by so many seconds."""
        self.environment[STEP_VARIABLE] = str(step_s)
