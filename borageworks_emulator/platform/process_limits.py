"""Gateway process with limits, and what the operating system shows of it."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Mapping
from pathlib import Path

from borageworks_emulator.platform.harness import settings_text
from borageworks_emulator.ports import HOST, free_ports
from borageworks_emulator.process import Program

SAMPLE_INTERVAL_S = 0.1
KIBIBYTE = 1024
TCP_TABLE = Path("/proc/net/tcp")


class LimitedGateway(Program):
    """Gateway program on loopback with limits in its settings.

    Parameters
    ----------
    store
        Address of the store.
    directory
        Directory of its settings file and output.
    limits
        Limits of the settings file by name, such as `memory_mb`.
    """

    def __init__(
        self, store: tuple[str, int], directory: Path, limits: Mapping[str, int]
    ) -> None:
        self.ports = free_ports(4)
        self.peak_bytes = 0
        self.peak_sockets = 0
        settings_file = directory / "gateway.conf"
        lines = [f"limits.{name}={value}" for name, value in limits.items()]
        text = settings_text(store, self.ports, bootstrap=True)
        settings_file.write_text("\n".join((text, *lines)))
        super().__init__(
            ["-m", "borageworks.platform.start"],
            directory / "gateway.out",
            {"BORAGEWORKS_CONFIG": str(settings_file)},
        )

    @property
    def callers_address(self) -> tuple[str, int]:
        """Address for callers."""
        return HOST, self.ports[0]

    @property
    def status_url(self) -> str:
        """Base URL for readiness and metrics."""
        return f"http://{HOST}:{self.ports[1]}"

    async def watch(self) -> None:
        """Record the largest use of memory and sockets until cancelled."""
        while self.alive:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record the present use of memory and sockets."""
        assert self._process is not None
        process = Path(f"/proc/{self._process.pid}")
        status = dict(
            line.split(":", 1) for line in (process / "status").read_text().splitlines()
        )
        unread = _unread_bytes(self.ports[0])
        resident = int(status["VmRSS"].split()[0]) * KIBIBYTE + unread
        peak = int(status["VmHWM"].split()[0]) * KIBIBYTE
        self.peak_bytes = max(self.peak_bytes, resident, peak)
        self.peak_sockets = max(self.peak_sockets, _socket_count(process / "fd"))

    async def stop(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGKILL)
        await self.wait_exit()


def _unread_bytes(port: int) -> int:
    """Return the bytes that a port's connections have received but not read."""
    total = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port and fields[3] == "01":
            total += int(fields[4].rpartition(":")[2], 16)
    return total


def _socket_count(directory: Path) -> int:
    count = 0
    for name in os.listdir(directory):
        try:
            target = os.readlink(directory / name)
        except FileNotFoundError:
            continue
        count += target.startswith(("socket:", "pipe:"))
    return count
