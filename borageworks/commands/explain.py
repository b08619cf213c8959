"""`borageworks explain`: events of one request, from the logs of all instances."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import click

from borageworks.commands.exit_codes import ExitCode
from borageworks.commands.timeline import RequestTimeline, read_entries


def _lines(paths: tuple[Path, ...]) -> Iterator[bytes]:
    if not paths:
        yield from sys.stdin.buffer
        return
    for path in paths:
        files = sorted(path.rglob("*")) if path.is_dir() else [path]
        for file in files:
            if file.is_file():
                with file.open("rb") as log_file:
                    yield from log_file


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
    entries, skipped = read_entries(_lines(paths))
    timeline = RequestTimeline(request_id, entries)
    for line in timeline.lines():
        click.echo(line)
    if skipped:
        click.echo(f"skipped {skipped} lines that are not log events", err=True)
    if not timeline.found:
        click.echo(f"no log event found for request {request_id!r}", err=True)
        sys.exit(ExitCode.FAILED)
