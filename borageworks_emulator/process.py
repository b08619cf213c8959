"""Child processes of the emulator."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

import aiohttp

from borageworks.config.settings import Settings
from borageworks.events import Event
from borageworks_emulator.probe import RouterNotReadyError, wait_ready

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 90.0
KILL_TIMEOUT_S = 5.0
INTERNAL_ERROR_PATTERNS = (
    Event.TASK_FAILED.message_type,
    "Traceback",
    "Error handling request",
)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROJECT_ROOT = Path(__file__).resolve().parent.parent


class Program:
    """Python program that runs in a child process and is controlled by its id.

    Parameters
    ----------
    arguments
        Arguments of the Python interpreter.
    output_file
        Receives standard output and standard error.
    environment
        Variables added to those of this process.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        output_file: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self._arguments = arguments
        self.output_file = output_file
        self.environment = dict(environment or {})
        self.starts = 0
        self._process: asyncio.subprocess.Process | None = None

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        self.starts += 1
        with self.output_file.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                cwd=PROJECT_ROOT,
                env={**os.environ, **self.environment},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def output_tail(self) -> str:
        """Return the last 2,000 characters of the output."""
        return self.output_file.read_text(errors="replace")[-2000:]

    def internal_errors(self) -> list[str]:
        """Return output lines that report failed tasks or uncaught exceptions."""
        text = self.output_file.read_text(errors="replace")
        return [
            line[:1000]
            for line in text.splitlines()
            if any(pattern in line for pattern in INTERNAL_ERROR_PATTERNS)
        ]

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.alive:
            self._process.send_signal(number)

    async def wait_exit(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait until the process exits and return its exit code.

        Raises
        ------
        TimeoutError
            If the process is still running after `timeout_s` seconds.
        """
        assert self._process is not None
        async with asyncio.timeout(timeout_s):
            return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process, also if it is stopped by a signal."""
        if not self.alive:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait_exit(KILL_TIMEOUT_S)


class RouterProcess(Program):
    """Instance started with `borageworks run`.

    Parameters
    ----------
    settings
        Settings of the instance.
    directory
        Receives its settings file and output.
    """

    def __init__(self, settings: Settings, directory: Path) -> None:
        self.settings = settings
        self.settings_file = directory / f"{settings.instance}.json"
        self.settings_file.write_text(settings.model_dump_json(indent=2))
        super().__init__(
            ["-m", "borageworks", "run", str(self.settings_file)],
            directory / f"{settings.instance}.out",
        )

    @property
    def url(self) -> str:
        """Base URL of the API for callers."""
        host, port = self.settings.listen.host_port
        return f"http://{host}:{port}"

    @property
    def cpu_s(self) -> float:
        """User and system time of the process in seconds."""
        assert self._process is not None
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    @property
    def memory_mb(self) -> float:
        """Peak resident set size of the process in MiB."""
        assert self._process is not None
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the router is ready.

        Raises
        ------
        RouterNotReadyError
            If the process exits or does not become ready in time.
        """
        try:
            await wait_ready(session, self.url, READY_TIMEOUT_S, lambda: self.alive)
        except RouterNotReadyError as error:
            raise RouterNotReadyError(f"{error}; {self.output_tail()}") from error

    async def status(self, session: aiohttp.ClientSession) -> dict[str, object]:
        """Return the router's status document."""
        async with session.get(f"{self.url}/status") as response:
            document: dict[str, object] = await response.json()
        return document
