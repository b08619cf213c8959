"""`borageworks soak`: gateway processes under series of random faults."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

import click
import orjson

from borageworks.commands.exits import Exit
from borageworks.commands.loop import run_loop
from borageworks_emulator.soak.regressions import REGRESSIONS
from borageworks_emulator.soak.report import SoakReport
from borageworks_emulator.soak.settings import SoakSettings
from borageworks_emulator.soak.soak import Soak

SECONDS_PER_MINUTE = 60.0
HIGHEST_SEED = 1_000_000


@click.command()
@click.option("--seed", type=int, help="Seed; a fresh one without it.")
@click.option(
    "--minutes",
    default=0.5,
    show_default=True,
    type=click.FloatRange(0.05, 240.0),
    help="Length of the part with faults, for each seed.",
)
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1, 10_000),
    help="Run so many seeds, one after the other.",
)
@click.option("--gateways", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--engines", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option(
    "--regressions", is_flag=True, help="Run the soaks that failed once instead."
)
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep settings, output of the gateways and reports here.",
)
def soak(
    seed: int | None,
    minutes: float,
    seeds: int,
    gateways: int,
    engines: int,
    regressions: bool,
    directory: Path | None,
) -> None:
    """Run gateways under random faults; exit with 1 if a promise is broken."""
    first = random.randrange(HIGHEST_SEED) if seed is None else seed
    failed = []
    with tempfile.TemporaryDirectory() as temporary:
        place = directory or Path(temporary)
        if regressions:
            soaks = [
                _settings(place, one.seed, one.minutes, one.gateways, engines)
                for one in REGRESSIONS
            ]
        else:
            soaks = [
                _settings(place, number, minutes, gateways, engines)
                for number in range(first, first + seeds)
            ]
        for settings in soaks:
            settings.directory.mkdir(parents=True, exist_ok=True)
            report = run_loop(_run(settings))
            document = orjson.dumps(report.document(), option=orjson.OPT_INDENT_2)
            (settings.directory / "report.json").write_bytes(document)
            for line in report.lines():
                click.echo(line)
            if not report.passed:
                failed.append(settings.seed)
    if failed:
        click.echo(f"failed seeds: {', '.join(map(str, failed))}", err=True)
        sys.exit(Exit.FAILED)


def _settings(
    place: Path, seed: int, minutes: float, gateways: int, engines: int
) -> SoakSettings:
    return SoakSettings(
        seed=seed,
        duration_s=minutes * SECONDS_PER_MINUTE,
        directory=place / str(seed),
        gateways=gateways,
        engines=engines,
    )


async def _run(settings: SoakSettings) -> SoakReport:
    """Run a soak; SIGTERM cancels it, so that started processes are ended."""
    task = asyncio.ensure_future(Soak(settings).run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
