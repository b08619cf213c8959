"""`borageworks shares`: whether an organisation got its share, from the logs."""

from __future__ import annotations

import math
import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from borageworks.commands.exit_codes import ExitCode
from borageworks.commands.log_lines import read_lines
from borageworks.commands.table import render_table
from borageworks.commands.timeline import LogEntry, read_entries
from borageworks.events import Event

HEADER = (
    "second",
    "decided by",
    "of",
    "owed",
    "requested",
    "placed",
    "refused on arrival",
    "after a wait",
    "below its share",
    "withdrawn",
    "waiting",
    "returned",
    "not begun",
)
# Number of amounts of an organisation in event 415: owed, requested and placed first.
AMOUNTS = 10
# The same in lines of former versions, which lack the last ones.
MIN_AMOUNTS = 6


@dataclass(frozen=True, slots=True)
class _Row:
    """Amounts of one organisation in one second at one component.

    `best_served` is what the organisation got that got most, 0 if it is not known.
    """

    second: int
    instance: str
    subject: str
    amounts: tuple[float, ...]
    best_served: float = 0.0


@click.command()
@click.argument("organisation")
@click.argument(
    "paths", nargs=-1, type=click.Path(exists=True, readable=True, path_type=Path)
)
@click.option("--since", type=float, default=-math.inf, help="Earliest log time.")
@click.option("--until", type=float, default=math.inf, help="Latest log time.")
def shares(
    organisation: str, paths: tuple[Path, ...], since: float, until: float
) -> None:
    """Print what ORGANISATION was owed and got, and who refused the rest.

    PATHS are log files or directories of all instances; without any, standard input is
    read. Amounts of placement are in tokens, those of entry instances in requests. Only
    seconds in which requests were refused are in the logs.
    """
    entries, skipped = read_entries(read_lines(paths))
    rows = [
        row
        for entry in entries
        if since <= entry.timestamp <= until
        for row in _rows_of(entry, organisation)
    ]
    if skipped:
        click.echo(f"skipped {skipped} lines that are not log events", err=True)
    if not rows:
        click.echo(f"no log event names organisation {organisation!r}", err=True)
        sys.exit(ExitCode.FAILED)
    table = [(row.second, row.instance, row.subject, *row.amounts) for row in rows]
    click.echo(render_table(HEADER, table))
    for line in _totals(rows):
        click.echo(line)


def _rows_of(entry: LogEntry, organisation: str) -> list[_Row]:
    amounts = _amounts(entry.fields, organisation)
    if amounts is None:
        return []
    second = int(entry.timestamp)
    match entry.event:
        case Event.ORGANISATION_SHARES.number if len(amounts) >= MIN_AMOUNTS:
            absent = [0.0] * (AMOUNTS - len(amounts))
            amounts = [*amounts, *absent][:AMOUNTS]
            subject = f"{entry.fields.get('service')}/{entry.fields.get('shard')}"
            best_served = entry.fields.get("best_served")
            if not isinstance(best_served, int | float):
                best_served = 0.0
            return [_Row(second, entry.instance, subject, tuple(amounts), best_served)]
        case Event.ORGANISATIONS_REFUSED.number if len(amounts) == 2:
            if entry.fields.get("part") != "callers":
                return []
            not_admitted = entry.fields.get("not_admitted")
            if not isinstance(not_admitted, dict):
                return []
            requested, refused = amounts[0], not_admitted.get(organisation, 0)
            # An entry instance does not know what an organisation is owed.
            values = (0, requested, requested - refused, refused)
            absent = [0.0] * (AMOUNTS - len(values))
            return [_Row(second, entry.instance, "entry", (*values, *absent))]
    return []


def _amounts(fields: dict[str, Any], organisation: str) -> list[float] | None:
    organisations = fields.get("organisations")
    if not isinstance(organisations, dict):
        return None
    amounts = organisations.get(organisation)
    if not isinstance(amounts, list):
        return None
    if not all(isinstance(item, int | float) for item in amounts):
        return None
    return amounts


def _totals(rows: list[_Row]) -> list[str]:
    totals: dict[str, list[float]] = defaultdict(lambda: [0.0] * AMOUNTS)
    best_served: dict[str, float] = defaultdict(float)
    for row in rows:
        total = totals[row.subject]
        best_served[row.subject] += row.best_served
        for index, amount in enumerate(row.amounts):
            total[index] += amount
    lines = []
    for subject, total in sorted(totals.items()):
        owed, requested, placed, on_arrival, after_wait, below, *rest = total
        withdrawn, _, _, not_begun = rest
        if subject == "entry":
            lines.append(f"entry: refused {on_arrival:.0f} of {requested:.0f} requests")
            continue
        ratio = placed / owed if owed else 1.0
        lines.append(
            f"{subject}: got {placed:.0f} of {owed:.0f} owed ({ratio:.2f}), of "
            f"{requested:.0f} requested; refused {on_arrival:.0f} on arrival and "
            f"{after_wait:.0f} after a wait, {below:.0f} of it below its share; "
            f"{withdrawn:.0f} withdrawn, {not_begun:.0f} placed and not begun"
        )
        if best_served[subject]:
            lines.append(f"{subject}: the best served got {best_served[subject]:.0f}")
    return lines
