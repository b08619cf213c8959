"""`borageworks status`: prints the status of a router."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

import aiohttp
import click
import orjson

from borageworks.commands.loop import run_loop
from borageworks.commands.table import render_table

REQUEST_TIMEOUT_S = 5.0
DEFAULT_URL = "http://127.0.0.1:8080"

Json = Mapping[str, object] | Sequence[object] | str | float | bool | None


@click.command()
@click.option(
    "--url", default=DEFAULT_URL, show_default=True, help="URL of the router."
)
def status(url: str) -> None:
    """Print the status of a router as tables."""
    try:
        document = run_loop(_fetch(f"{url.rstrip('/')}/status"))
    except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as error:
        reason = str(error) or type(error).__name__
        raise click.ClickException(f"no status from {url}: {reason}") from error
    click.echo("\n\n".join(_tables("", document)))


async def _fetch(url: str) -> Json:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url) as response,
    ):
        response.raise_for_status()
        document: Json = orjson.loads(await response.read())
        return document


def _tables(title: str, value: Json) -> Iterator[str]:
    """Yield one table of an object's scalar values and one for each nested value."""
    if not isinstance(value, Mapping):
        yield from _list_table(title, value if isinstance(value, list) else [value])
        return
    scalars = {
        name: item for name, item in value.items() if not isinstance(item, dict | list)
    }
    if scalars:
        rows = [(name, _text(item)) for name, item in scalars.items()]
        yield render_table((title or "status", ""), rows)
    for name, item in value.items():
        if isinstance(item, dict | list) and item:
            yield from _tables(f"{title}.{name}" if title else name, item)


def _list_table(title: str, items: Sequence[object]) -> Iterator[str]:
    if items and all(isinstance(item, dict) for item in items):
        records = [item for item in items if isinstance(item, dict)]
        columns = list(dict.fromkeys(name for record in records for name in record))
        rows = [[_cell(record.get(name)) for name in columns] for record in records]
        yield f"{title}\n{render_table(columns, rows)}"
    else:
        yield render_table((title or "status",), [(_text(item),) for item in items])


def _cell(value: object) -> object:
    if isinstance(value, int | float) and not isinstance(value, bool):
        return value
    return _text(value)


def _text(value: object) -> str:
    if isinstance(value, str):
        return value
    return "-" if value is None else orjson.dumps(value).decode()
