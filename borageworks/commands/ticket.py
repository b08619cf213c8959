"""`borageworks ticket`: applies tickets and shows the configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import BinaryIO, TypeVar

import click
import orjson

from borageworks.catalog.keys import CATALOG_PREFIX, CatalogKeys
from borageworks.catalog.stored_state import StoredState, read_state
from borageworks.catalog.tickets import apply_ticket
from borageworks.commands.exit_codes import ExitCode, exit_with_error
from borageworks.commands.loop import run_loop
from borageworks.commands.table import render_table
from borageworks.config.loader import load_settings, load_ticket
from borageworks.config.settings import Settings
from borageworks.exceptions import BorageworksError
from borageworks.metrics import Metrics
from borageworks.store.etcd import EtcdStore
from borageworks.store.store import Store

Result = TypeVar("Result")

SETTINGS_OPTION = click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="Settings file of an instance, whose store is used.",
)
KINDS = ("organisation", "pool", "service", "endpoint")


@click.group()
def ticket() -> None:
    """Change and show the configuration of the fleet."""


@ticket.command()
@click.argument("file", type=click.File("rb"))
@SETTINGS_OPTION
@click.option(
    "--domain",
    "domains",
    multiple=True,
    help="Failure domain that endpoints may use; repeatable. Any domain if omitted.",
)
def apply(file: BinaryIO, settings_path: Path, domains: tuple[str, ...]) -> None:
    """Apply the ticket in FILE ("-" reads standard input).

    Applying the same ticket again reports the same result.
    """
    settings = _load_settings_or_exit(settings_path)
    try:
        change = load_ticket(file.read())
        result = run_loop(
            _with_store(
                settings,
                lambda store: apply_ticket(
                    store, CATALOG_PREFIX, change, domains=domains or None
                ),
            )
        )
    except BorageworksError as error:
        exit_with_error(error, file.name)
    verb = "was accepted before" if result.replayed else "accepted"
    click.echo(f"ticket {result.number} {verb}, revision {result.revision}")


@ticket.command()
@click.argument("kind", required=False, type=click.Choice(KINDS))
@click.argument("object_id", metavar="[ID]", required=False)
@SETTINGS_OPTION
def show(kind: str | None, object_id: str | None, settings_path: Path) -> None:
    """Show the counts of the configuration, the objects of a KIND, or one object."""
    settings = _load_settings_or_exit(settings_path)
    try:
        state = run_loop(
            _with_store(
                settings,
                lambda store: read_state(store, CatalogKeys(CATALOG_PREFIX)),
            )
        )
    except BorageworksError as error:
        exit_with_error(error)
    if kind is None:
        click.echo(_summary_table(state))
    elif object_id is None:
        click.echo(_object_table(state, kind))
    else:
        _show_object(state, kind, object_id)


def _load_settings_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except BorageworksError as error:
        exit_with_error(error, str(path))


async def _with_store(
    settings: Settings, operation: Callable[[Store], Awaitable[Result]]
) -> Result:
    store = EtcdStore(settings.store, Metrics())
    try:
        return await operation(store)
    finally:
        await store.close()


def _summary_table(state: StoredState) -> str:
    live = Counter(item.kind for item in state.objects() if item.value is not None)
    deleted = sum(item.value is None for item in state.objects())
    rows: list[tuple[str, int]] = [(kind, live[kind]) for kind in KINDS]
    rows += [
        ("deleted", deleted),
        ("accepted tickets", state.head.tickets),
        ("revision", state.head_revision),
    ]
    return render_table(("configuration", ""), rows)


def _object_table(state: StoredState, kind: str) -> str:
    rows = sorted(
        (item.id, item.ticket)
        for item in state.objects()
        if item.kind == kind and item.value is not None
    )
    return render_table((kind, "ticket"), rows)


def _show_object(state: StoredState, kind: str, object_id: str) -> None:
    for item in state.objects():
        if item.key == (kind, object_id):
            text = orjson.dumps(item.to_document(), option=orjson.OPT_INDENT_2)
            click.echo(text.decode())
            return
    click.echo(f"no {kind} {object_id!r} in the configuration", err=True)
    raise SystemExit(ExitCode.FAILED)
