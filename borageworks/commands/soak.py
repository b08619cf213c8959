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
    directory: Path | None,
) -> None:
    """Run gateways under random faults; exit with 1 if a promise is broken."""
    first = random.randrange(HIGHEST_SEED) if seed is None else seed
    failed = []
    for number in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            place = directory / str(number) if directory else Path(temporary)
            place.mkdir(parents=True, exist_ok=True)
            settings = SoakSettings(
                seed=number,
                duration_s=minutes * SECONDS_PER_MINUTE,
                directory=place,
                gateways=gateways,
                engines=engines,
            )
            report = run_loop(_run(settings))
            document = orjson.dumps(report.document(), option=orjson.OPT_INDENT_2)
            (place / "report.json").write_bytes(document)
        for line in report.lines():
            click.echo(line)
        if not report.passed:
            failed.append(number)
    if failed:
        click.echo(f"failed seeds: {', '.join(map(str, failed))}", err=True)
        sys.exit(Exit.FAILED)


async def _run(settings: SoakSettings) -> SoakReport:
    """Run a soak; SIGTERM cancels it, so that started processes are ended."""
    task = asyncio.ensure_future(Soak(settings).run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
