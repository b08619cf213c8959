"""`borageworks explain`: events of one request, from the logs of all instances."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from borageworks.commands.exit_codes import ExitCode
from borageworks.commands.log_lines import read_lines
from borageworks.commands.timeline import RequestTimeline, read_entries


@click.command()
@click.argument("request_id")
@click.argument(
    "paths", nargs=-1, type=click.Path(exists=True, readable=True, path_type=Path)
)
def explain(request_id: str, paths: tuple[Path, ...]) -> None:
    """Print the events of REQUEST_ID in chronological order.

    PATHS are log files or directories of all instances; without any, standard input is
    read. Lines that are not log events are skipped and counted.
    """
    entries, skipped = read_entries(read_lines(paths))
    timeline = RequestTimeline(request_id, entries)
    for line in timeline.lines():
        click.echo(line)
    if skipped:
        click.echo(f"skipped {skipped} lines that are not log events", err=True)
    if not timeline.found:
        click.echo(f"no log event found for request {request_id!r}", err=True)
        sys.exit(ExitCode.FAILED)
