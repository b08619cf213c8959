"""`borageworks check`: validates a settings file."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from borageworks.config.loader import load_settings
from borageworks.config.schema import render_schema
from borageworks.exceptions import SettingsInvalidError

EXIT_INVALID = 2


@click.command()
@click.argument(
    "settings", required=False, type=click.Path(dir_okay=False, path_type=Path)
)
@click.option("--schema", is_flag=True, help="Print the JSON Schema of the settings.")
def check(settings: Path | None, schema: bool) -> None:
    """Validate a settings file and report every error, one a line."""
    if schema:
        click.echo(render_schema())
        if settings is None:
            return
    if settings is None:
        raise click.UsageError("name a settings file or use --schema")
    try:
        load_settings(settings)
    except SettingsInvalidError as error:
        for reason in error.reasons:
            click.echo(f"{settings}: {reason}", err=True)
        sys.exit(EXIT_INVALID)
    if not schema:
        click.echo(f"{settings}: valid")
