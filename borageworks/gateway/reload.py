"""Reloading of the settings file at run time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from borageworks.events import Event, emit
from borageworks.exceptions import SettingsInvalidError
from borageworks.gateway.settings import GatewaySettings
from borageworks.metrics import Metrics

# Interval at which the file is checked for changes without a signal.
POLL_INTERVAL_S = 1.0


class SettingsReloader:
    """Reloads the settings file when it changes or on a signal.

    If the file is unreadable or invalid, the previous settings stay in effect.

    Parameters
    ----------
    path
        Settings file.
    load
        Reads and validates a file; raises SettingsInvalidError.
    apply
        Called with the settings after each successful reload.
    metrics
        Counts reloads by outcome.
    """

    def __init__(
        self,
        path: Path,
        load: Callable[[Path], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
        metrics: Metrics,
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._metrics = metrics
        self._file_version = self._read_file_version()
        self._signalled = asyncio.Event()

    def signal(self) -> None:
        """Request an immediate reload."""
        self._signalled.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._signalled.wait()
            except TimeoutError:
                if self._read_file_version() == self._file_version:
                    continue
            self._signalled.clear()
            self._file_version = self._read_file_version()
            self.reload()

    def reload(self) -> None:
        """Read the file and apply its settings if they are valid."""
        try:
            settings = self._load(self._path)
        except SettingsInvalidError as error:
            self._metrics.count("settings_reloads", error.code)
            emit(Event.SETTINGS_RELOADED, outcome=error.code, reasons=error.reasons)
            return
        self._metrics.count("settings_reloads", "applied")
        emit(Event.SETTINGS_RELOADED, outcome="applied", reasons=())
        self._apply(settings)

    def _read_file_version(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
