"""`borageworks check`: validates a settings file or the operator's configuration."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import click

from borageworks.commands.check_report import CheckReport, FileFinding
from borageworks.commands.exit_codes import exit_with_error
from borageworks.commands.settings_format import SettingsFormat, detect_format
from borageworks.config.deployment_check import check_deployment
from borageworks.config.deployment_diff import compare
from borageworks.config.finding import Finding, FindingCode, error
from borageworks.config.loader import load_settings
from borageworks.config.schema import render_schema
from borageworks.config.settings import Settings
from borageworks.exceptions import SettingsInvalidError
from borageworks.gateway.settings import GatewaySettings
from borageworks.platform.configuration_reader import (
    ConfigurationReading,
    read_configuration,
    resembles_configuration,
)
from borageworks.platform.settings import load_settings as load_platform_settings

ROOT = "$"
FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.argument("file", required=False, type=FILE)
@click.option("--schema", is_flag=True, help="Print the JSON Schema of the settings.")
@click.option(
    "--configuration",
    "is_configuration",
    is_flag=True,
    help="FILE is a configuration, whatever it contains.",
)
@click.option("--against", type=FILE, help="Configuration in force, to compare with.")
@click.option(
    "--settings", type=FILE, help="Settings of an instance that the limits must suit."
)
@click.option("--strict", is_flag=True, help="Report unknown fields as information.")
@click.option("--json", "as_json", is_flag=True, help="Print the findings as JSON.")
def check(
    file: Path | None,
    schema: bool,
    is_configuration: bool,
    against: Path | None,
    settings: Path | None,
    strict: bool,
    as_json: bool,
) -> None:
    """Validate FILE and report every error, one per line.

    FILE is a settings file or the operator's configuration; the content decides which,
    unless an option applies only to a configuration. Exit codes: 0 nothing found, 1
    warnings, 2 errors.
    """
    if file is None and not schema:
        raise click.UsageError("give a file or --schema")
    if schema:
        click.echo(render_schema())
    if file is None:
        return
    options_of_configuration = (is_configuration, against, settings, strict)
    if any(options_of_configuration) or _contains_configuration(file):
        findings = _check_configuration(file, against, settings, strict=strict)
    else:
        findings = _check_settings(file, as_json=as_json)
        if not as_json:
            if not schema:
                click.echo(f"{file}: valid")
            return
    report = CheckReport(click.format_filename(file), findings)
    click.echo(report.json() if as_json else report.text())
    sys.exit(report.exit_code)


def _check_settings(file: Path, *, as_json: bool) -> list[FileFinding]:
    """Return the errors of a settings file; as text, print them and exit."""
    try:
        match detect_format(file):
            case SettingsFormat.JSON:
                load_settings(file)
            case SettingsFormat.PLATFORM:
                load_platform_settings(file)
    except SettingsInvalidError as fault:
        if not as_json:
            exit_with_error(fault, str(file))
        return _settings_findings(file, fault)
    return []


def _settings_findings(file: Path, fault: SettingsInvalidError) -> list[FileFinding]:
    """Return a finding for each reason, which begins with the place in the file."""
    return _findings_of(
        file,
        [error(FindingCode.SETTINGS_INVALID, ROOT, reason) for reason in fault.reasons],
    )


def _contains_configuration(file: Path) -> bool:
    if detect_format(file) is not SettingsFormat.JSON:
        return False
    try:
        data = file.read_bytes()
    except OSError:
        # The loader of the settings reports the reason.
        return False
    return resembles_configuration(data, frozenset(Settings.model_fields))


def _check_configuration(
    file: Path, against: Path | None, settings: Path | None, *, strict: bool
) -> list[FileFinding]:
    findings: list[FileFinding] = []
    gateway_settings: GatewaySettings | None = None
    if settings is not None:
        try:
            gateway_settings = load_platform_settings(settings)
        except SettingsInvalidError as fault:
            findings += _settings_findings(settings, fault)
    current: ConfigurationReading | None = None
    if against is not None:
        current = _read(against, strict=False)
        # What is wrong with the version in force does not concern its successor,
        # unless it prevents the comparison.
        if current.listing is None:
            findings += _findings_of(against, current.findings)
    reading = _read(file, strict=strict)
    findings += _findings_of(file, reading.findings)
    if reading.listing is None:
        return findings
    findings += _findings_of(file, check_deployment(reading.listing, gateway_settings))
    if current is not None and current.listing is not None:
        findings += _findings_of(file, compare(reading.listing, current.listing))
    return findings


def _read(file: Path, *, strict: bool) -> ConfigurationReading:
    try:
        data = file.read_bytes()
    except OSError as fault:
        message = f"cannot read the file: {fault.strerror}"
        return ConfigurationReading(
            None, (error(FindingCode.UNREADABLE, ROOT, message),)
        )
    return read_configuration(data, strict=strict)


def _findings_of(file: Path, findings: Sequence[Finding]) -> list[FileFinding]:
    name = click.format_filename(file)
    return [FileFinding(name, finding) for finding in findings]
