"""`borageworks measure`: runs a scenario against emulated endpoints."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import click
import orjson

from borageworks.commands.loop import run_loop
from borageworks_emulator.report import Result
from borageworks_emulator.scenario import RunOptions, median_checks, run_scenario
from borageworks_emulator.scenarios import SCENARIOS
from borageworks_emulator.slopes import measure_slopes, render_rows
from borageworks_emulator.topology import PATITSA, TOPOLOGIES

EXIT_TARGET_MISSED = 1
SLOPES = "slopes"


@click.command()
@click.argument("name", required=False, type=click.Choice([*sorted(SCENARIOS), SLOPES]))
@click.option("--list", "list_names", is_flag=True, help="List the scenarios.")
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
@click.option(
    "--repeat",
    default=1,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Number of consecutive seeds; the median gap is compared to the baseline too.",
)
@click.option("--routers", default=9, show_default=True, type=click.IntRange(1, 100))
@click.option(
    "--duration",
    default=20.0,
    show_default=True,
    type=click.FloatRange(2.0, 3600.0),
    help="Seconds of load on the fleet, and again on the central queue.",
)
@click.option(
    "--topology",
    default=PATITSA.name,
    show_default=True,
    type=click.Choice(sorted(TOPOLOGIES)),
)
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, allow_dash=True, path_type=Path),
    help="Write the result as JSON; - writes to standard output.",
)
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory for settings files and output of the routers.",
)
def measure(
    name: str | None,
    list_names: bool,
    seed: int,
    repeat: int,
    routers: int,
    duration: float,
    topology: str,
    json_file: Path | None,
    directory: Path | None,
) -> None:
    """Run scenario NAME and exit with 1 if it misses a target."""
    if list_names:
        for scenario in SCENARIOS.values():
            click.echo(f"{scenario.name:18}{scenario.description}")
        click.echo(f"{SLOPES:18}cost of each component at four or more sizes")
        return
    if name is None:
        raise click.UsageError("give a scenario or --list")
    if name == SLOPES:
        _show_slopes(seed, json_file)
        return
    results = []
    for run_seed in range(seed, seed + repeat):
        options = RunOptions(
            TOPOLOGIES[topology], run_seed, routers, duration, directory
        )
        results.append(run_loop(_run(name, options)))
        click.echo(
            results[-1].table(options.topology.shares) + "\n", err=bool(json_file)
        )
    checks = median_checks(SCENARIOS[name], results) if repeat > 1 else []
    for check in checks:
        click.echo(check.line(), err=bool(json_file))
    documents = [result.document() for result in results]
    encoded = orjson.dumps(
        documents if repeat > 1 else documents[0], option=orjson.OPT_INDENT_2
    )
    if json_file is not None and str(json_file) == "-":
        click.echo(encoded)
    elif json_file is not None:
        json_file.write_bytes(encoded)
    if not all(
        [*(result.passed for result in results), *(check.passed for check in checks)]
    ):
        sys.exit(EXIT_TARGET_MISSED)


def _show_slopes(seed: int, json_file: Path | None) -> None:
    slopes = measure_slopes(
        seed, lambda name: click.echo(f"measuring {name}", err=True)
    )
    for name, rows in slopes.items():
        click.echo("\n".join(["", name, *render_rows(rows)]), err=json_file is not None)
    encoded = orjson.dumps(slopes, option=orjson.OPT_INDENT_2)
    if json_file is not None and str(json_file) == "-":
        click.echo(encoded)
    elif json_file is not None:
        json_file.write_bytes(encoded)


async def _run(name: str, options: RunOptions) -> Result:
    """Run a scenario; SIGTERM cancels it, so that started routers are stopped."""
    task = asyncio.ensure_future(run_scenario(SCENARIOS[name], options))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
