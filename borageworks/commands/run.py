"""`borageworks run`: one router process."""

from __future__ import annotations

import asyncio
import math
import signal
import sys
from pathlib import Path

import click
import eliot

from borageworks.commands.loop import run_loop
from borageworks.commands.settings_format import SettingsFormat, detect_format
from borageworks.config.loader import load_settings
from borageworks.config.settings import Settings
from borageworks.exceptions import SettingsInvalidError
from borageworks.platform.main import run as run_gateway
from borageworks.receiving.allocator import return_large_blocks
from borageworks.router.router import Router

EXIT_SETTINGS_INVALID = 2


async def _serve(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    router = Router(settings)
    await router.start()
    host, port = router.address
    click.echo(f"{settings.instance} listens on {host}:{port}", err=True)
    await stop.wait()
    await router.stop()


@click.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def run(path: Path) -> None:
    """Run one instance with the settings in PATH until SIGTERM.

    A JSON file starts a router with the project's own interface; a file in the
    platform's format starts the gateway.
    """
    if detect_format(path) is SettingsFormat.PLATFORM:
        run_gateway(path)
        return
    try:
        settings = load_settings(path)
    except SettingsInvalidError as error:
        for reason in error.reasons:
            click.echo(f"{path}: {reason}", err=True)
        sys.exit(EXIT_SETTINGS_INVALID)
    if settings.log_file is not None:
        eliot.to_file(open(settings.log_file, "ab"))  # noqa: SIM115
    else:
        eliot.to_file(sys.stderr)
    if math.isfinite(settings.limits.memory_bytes):
        return_large_blocks()
    run_loop(_serve(settings))
