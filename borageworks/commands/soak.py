"""`borageworks soak`: gateway processes under random faults."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

import click
import orjson

from borageworks.commands.exit_codes import ExitCode
from borageworks.commands.loop import run_loop
from borageworks_emulator.soak.regressions import REGRESSIONS
from borageworks_emulator.soak.report import SoakReport
from borageworks_emulator.soak.runner import Soak
from borageworks_emulator.soak.settings import SoakSettings

SECONDS_PER_MINUTE = 60.0
SEED_LIMIT = 1_000_000


@click.command()
@click.option("--seed", type=int, help="Seed of the faults; random if omitted.")
@click.option(
    "--minutes",
    default=0.5,
    show_default=True,
    type=click.FloatRange(0.05, 240.0),
    help="Minutes during which faults are injected, for each seed.",
)
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1, 10_000),
    help="Number of consecutive seeds to run.",
)
@click.option("--gateways", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--engines", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option(
    "--regressions", is_flag=True, help="Run the seeds that failed in the past instead."
)
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory for settings, output of the gateways and reports.",
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
    """Run gateways under random faults; exit with 1 if a guarantee is violated."""
    first_seed = random.randrange(SEED_LIMIT) if seed is None else seed
    failed_seeds = []
    with tempfile.TemporaryDirectory() as temporary:
        base_directory = directory or Path(temporary)
        if regressions:
            soaks = [
                _settings(
                    base_directory,
                    regression.seed,
                    regression.minutes,
                    regression.gateways,
                    engines,
                )
                for regression in REGRESSIONS
            ]
        else:
            soaks = [
                _settings(base_directory, run_seed, minutes, gateways, engines)
                for run_seed in range(first_seed, first_seed + seeds)
            ]
        for settings in soaks:
            settings.directory.mkdir(parents=True, exist_ok=True)
            report = run_loop(_run(settings))
            document = orjson.dumps(report.document(), option=orjson.OPT_INDENT_2)
            (settings.directory / "report.json").write_bytes(document)
            for line in report.lines():
                click.echo(line)
            if not report.passed:
                failed_seeds.append(settings.seed)
    if failed_seeds:
        click.echo(f"failed seeds: {', '.join(map(str, failed_seeds))}", err=True)
        sys.exit(ExitCode.FAILED)


def _settings(
    base_directory: Path, seed: int, minutes: float, gateways: int, engines: int
) -> SoakSettings:
    return SoakSettings(
        seed=seed,
        duration_s=minutes * SECONDS_PER_MINUTE,
        directory=base_directory / str(seed),
        gateways=gateways,
        engines=engines,
    )


async def _run(settings: SoakSettings) -> SoakReport:
    """Run a soak; SIGTERM cancels it, so that started processes are stopped."""
    task = asyncio.ensure_future(Soak(settings).run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
