"""One gateway process of a soak."""

from __future__ import annotations

import os
from pathlib import Path

from borageworks_emulator.platform.harness import settings_text
from borageworks_emulator.ports import HOST, free_ports
from borageworks_emulator.process import Program
from borageworks_emulator.soak.stepped_clock import CLOCK_STEP_VARIABLE


class GatewayProcess(Program):
    """Starts the gateway program and controls the process by its id.

    Parameters
    ----------
    name, domain
        Name of the instance and its failure domain.
    directory
        Directory of its settings file and output.
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
        """Base URL for callers."""
        return f"http://{HOST}:{self.ports[0]}"

    @property
    def status_url(self) -> str:
        """Base URL for readiness and metrics."""
        return f"http://{HOST}:{self.ports[1]}"

    def write_settings(self, store: tuple[str, int]) -> None:
        """Write the settings file atomically."""
        text = settings_text(store, self.ports, self.name, domain=self.domain)
        temporary = self.settings_file.with_suffix(".new")
        temporary.write_text(text)
        os.replace(temporary, self.settings_file)

    def step_clock(self, step_s: float) -> None:
        """Step the wall clock by `step_s` seconds from the next start on."""
        self.environment[CLOCK_STEP_VARIABLE] = str(step_s)
