"""Program that runs a gateway on the platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path

from borageworks.commands.loop import run_loop
from borageworks.exceptions import SettingsInvalidError
from borageworks.gateway.gateway import Gateway
from borageworks.gateway.reload import SettingsReloader
from borageworks.gateway.settings import GatewaySettings
from borageworks.logs import LogWriter
from borageworks.metrics import Metrics
from borageworks.platform.codec import PlatformCodec
from borageworks.platform.settings import load_settings, parse_port
from borageworks.platform.store import PlatformStore
from borageworks.receiving.allocator import return_large_blocks

SETTINGS_VARIABLE = "BORAGEWORKS_CONFIG"
# The platform reads the metrics of all instances at one port, which the settings file
# does not contain.
METRICS_PORT_VARIABLE = "BORAGEWORKS_METRICS_PORT"
DEFAULT_SETTINGS_PATH = "/etc/borageworks/settings.conf"
EXIT_INVALID_SETTINGS = 2


async def serve(path: Path, settings: GatewaySettings) -> None:
    """Run a gateway until SIGTERM.

    Parameters
    ----------
    path
        Settings file, which is reloaded when it changes.
    settings
        Current content of the file.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    metrics = Metrics()
    writer = LogWriter(sys.stdout.fileno(), metrics, settings.instance)
    writer.start()
    gateway = Gateway(
        settings, PlatformCodec(), PlatformStore(settings, metrics), metrics
    )
    reloader = SettingsReloader(path, load_settings, gateway.configure, metrics)
    loop.add_signal_handler(signal.SIGHUP, reloader.signal)
    await gateway.start()
    reload_task = loop.create_task(reloader.run())
    await stop_requested.wait()
    await gateway.stop()
    reload_task.cancel()
    writer.stop()


def run(path: Path) -> None:
    """Run a gateway with the given settings file; exit with 2 if it is invalid."""
    port = os.environ.get(METRICS_PORT_VARIABLE)
    try:
        settings = load_settings(path)
        if port:
            settings = replace(settings, metrics_port=parse_port(port))
    except SettingsInvalidError as error:
        for reason in error.reasons:
            sys.stderr.write(f"{path}: {reason}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    return_large_blocks()
    run_loop(serve(path, settings))


def main() -> None:
    """Run a gateway with the settings file named in the environment."""
    run(Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)))
