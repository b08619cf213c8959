"""Generates the reference pages in docs/ from the code.

Run `python -m borageworks.config.reference docs` after a change of settings, events or
errors. Texts that explain a row stand in the page and are kept.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from borageworks.config.pages import Row, rewrite
from borageworks.config.schema import settings_schema
from borageworks.events import Event
from borageworks.exceptions import RefusalError, error_types

LIMITS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "above {}",
    "maximum": "at most {}",
    "exclusiveMaximum": "below {}",
    "minItems": "at least {} items",
    "maxItems": "at most {} items",
    "pattern": "`{}`",
}
REQUIRED = "required"


def setting_rows() -> list[Row]:
    """Return key, type, default and limits of each setting."""
    schema = settings_schema()
    return list(_settings(schema, schema["$defs"], ""))


def setting_texts() -> list[Row]:
    """Return key and description of each setting that the model describes."""
    schema = settings_schema()
    return list(_descriptions(schema, schema["$defs"], ""))


def event_rows() -> list[Row]:
    """Return number and name of each log event."""
    return [(str(event.number), event.message_type) for event in Event]


def error_rows() -> list[Row]:
    """Return code and HTTP status of each error; "-" where callers never see it."""
    return [
        (error.code, str(error.status) if issubclass(error, RefusalError) else "-")
        for error in error_types()
    ]


@dataclass(frozen=True, slots=True)
class Page:
    """A page with a generated table."""

    name: str
    header: Row
    rows: Callable[[], list[Row]]
    texts: Callable[[], list[Row]] = list

    def render(self, page: str) -> str:
        """Return the page with its table generated anew."""
        return rewrite(page, self.header, self.rows(), self.texts())


PAGES = (
    Page(
        "settings.md",
        ("key", "type", "default", "limits", "meaning"),
        setting_rows,
        setting_texts,
    ),
    Page("events.md", ("number", "name", "meaning", "what to do"), event_rows),
    Page("errors.md", ("code", "status", "meaning", "what to do"), error_rows),
)


def write_pages(directory: Path) -> None:
    """Generate every page in a directory anew."""
    for page in PAGES:
        path = directory / page.name
        path.write_text(page.render(path.read_text()))


def _properties(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> Iterator[tuple[str, Mapping[str, Any], Mapping[str, Any] | None, bool]]:
    """Yield path, schema, schema of the nested section and need of each key."""
    for name, item in schema["properties"].items():
        path = f"{prefix}{name}"
        target = item
        if item.get("type") == "array":
            target = item["items"]
            path += "[]" if "$ref" in target else ""
        nested = None
        if "$ref" in target:
            nested = definitions[target["$ref"].rpartition("/")[2]]
        yield path, item, nested, name in schema.get("required", ())


def _settings(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> Iterator[Row]:
    for path, item, nested, required in _properties(schema, definitions, prefix):
        if nested is not None:
            yield from _settings(nested, definitions, f"{path}.")
            continue
        default = REQUIRED if required else _json(item.get("default"))
        yield f"`{path}`", _type(item), default, _limits(item)


def _descriptions(
    schema: Mapping[str, Any], definitions: Mapping[str, Any], prefix: str
) -> Iterator[Row]:
    for path, item, nested, _ in _properties(schema, definitions, prefix):
        if nested is not None:
            yield from _descriptions(nested, definitions, f"{path}.")
        elif "description" in item:
            yield f"`{path}`", item["description"]


def _type(item: Mapping[str, Any]) -> str:
    if "anyOf" in item:
        return " or ".join(_type(option) for option in item["anyOf"])
    if item.get("format") == "ipvanyaddress":
        return "IP address"
    if item["type"] == "array":
        return f"list of {_type(item['items'])}"
    return str(item["type"])


def _limits(item: Mapping[str, Any]) -> str:
    limits = [text.format(item[name]) for name, text in LIMITS.items() if name in item]
    if item.get("type") == "array":
        limits.append(_limits(item["items"]))
    return ", ".join(limit for limit in limits if limit)


def _json(value: object) -> str:
    return f"`{orjson.dumps(value).decode()}`"


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]))
