"""`borageworks check`: validates a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from borageworks.commands.exit_codes import exit_with_error
from borageworks.commands.settings_format import SettingsFormat, detect_format
from borageworks.config.loader import load_settings
from borageworks.config.schema import render_schema
from borageworks.exceptions import SettingsInvalidError
from borageworks.platform.settings import load_settings as load_platform_settings


@click.command()
@click.argument(
    "settings", required=False, type=click.Path(dir_okay=False, path_type=Path)
)
@click.option("--schema", is_flag=True, help="Print the JSON Schema of the settings.")
def check(settings: Path | None, schema: bool) -> None:
    """Validate a settings file and report every error, one per line."""
    if settings is None and not schema:
        raise click.UsageError("give a settings file or --schema")
    if schema:
        click.echo(render_schema())
    if settings is None:
        return
    try:
        match detect_format(settings):
            case SettingsFormat.JSON:
                load_settings(settings)
            case SettingsFormat.PLATFORM:
                load_platform_settings(settings)
    except SettingsInvalidError as error:
        exit_with_error(error, str(settings))
    if not schema:
        click.echo(f"{settings}: valid")
